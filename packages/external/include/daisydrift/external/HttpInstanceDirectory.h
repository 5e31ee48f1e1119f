#pragma once
// Client of the platform's instance list over HTTP, as described in docs/platform-contract.md.

#include "daisydrift/external/InstanceDirectory.h"

#include <memory>

namespace daisydrift {

class HttpConnections;

/// HTTP client of the instance list. Thread-safe.
class HttpInstanceDirectory : public InstanceDirectory
{
public:
  explicit HttpInstanceDirectory(Endpoint aEndpoint);
  ~HttpInstanceDirectory() override;

  Result<std::vector<InstanceInfo>> List(std::chrono::milliseconds aTimeout) override;

private:
  Endpoint endpoint;
  std::unique_ptr<HttpConnections> connections;
};

/// Encodes a list of instances as JSON.
std::string EncodeInstances(const std::vector<InstanceInfo>& aInstances);
/// Decodes a list of instances from JSON. Errors: Corrupt (malformed, or with an unknown kind or
/// state).
Result<std::vector<InstanceInfo>> DecodeInstances(const std::string& aText);

} // namespace daisydrift
