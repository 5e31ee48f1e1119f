#pragma once
// Client of workers over HTTP, as described in docs/platform-contract.md.

#include "daisydrift/external/WorkerClient.h"

#include <memory>

namespace daisydrift {

class HttpConnections;

/// HTTP client of workers. Thread-safe.
class HttpWorkerClient : public WorkerClient
{
public:
  HttpWorkerClient();
  ~HttpWorkerClient() override;

  Result<SyncReport> Sync(const Endpoint& aEndpoint,
                          const SyncRequest& aRequest,
                          std::chrono::milliseconds aTimeout) override;

private:
  std::unique_ptr<HttpConnections> connections;
};

/// Encodes a request as the JSON that is sent to a worker.
std::string EncodeSyncRequest(const SyncRequest& aRequest);
/// Decodes a request from JSON. Errors: Corrupt.
Result<SyncRequest> DecodeSyncRequest(const std::string& aText);
/// Encodes a report as JSON.
std::string EncodeSyncReport(const SyncReport& aReport);
/// Decodes a report from JSON. Errors: Corrupt.
Result<SyncReport> DecodeSyncReport(const std::string& aText);

} // namespace daisydrift
