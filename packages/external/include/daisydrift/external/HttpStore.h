#pragma once
// Client of the store over HTTP, as described in docs/platform-contract.md.

#include "daisydrift/external/Endpoint.h"
#include "daisydrift/external/Store.h"

#include <memory>

namespace daisydrift {

class HttpConnections;

/// Time beyond its wait that a watch may take before its connection is considered unresponsive.
constexpr std::chrono::milliseconds kWatchTimeoutMargin{ 500 };

/// HTTP client of the store. Thread-safe. Connections are kept open between calls; a connection on
/// which a call failed is closed.
class HttpStore : public Store
{
public:
  explicit HttpStore(Endpoint aEndpoint);
  /// All endpoints belong to the same store. A call that certainly did not reach one endpoint is
  /// retried at the next.
  explicit HttpStore(std::vector<Endpoint> aEndpoints);
  ~HttpStore() override;

  Result<StoreEntry> Get(const std::string& aKey, std::chrono::milliseconds aTimeout) override;
  Result<std::vector<StoreEntry>> List(const std::string& aPrefix,
                                       std::chrono::milliseconds aTimeout) override;
  Result<Revision> CompareAndSwap(const std::string& aKey,
                                  const std::string& aValue,
                                  Revision aExpected,
                                  LeaseId aLease,
                                  std::chrono::milliseconds aTimeout) override;
  std::error_code Delete(const std::string& aKey,
                         Revision aExpected,
                         std::chrono::milliseconds aTimeout) override;
  Result<WatchResult> Watch(const std::string& aPrefix,
                            Revision aAfter,
                            std::chrono::milliseconds aWait) override;
  Result<LeaseId> GrantLease(std::chrono::milliseconds aTtl,
                             std::chrono::milliseconds aTimeout) override;
  std::error_code RenewLease(LeaseId aLease, std::chrono::milliseconds aTimeout) override;
  std::error_code RevokeLease(LeaseId aLease, std::chrono::milliseconds aTimeout) override;

private:
  std::vector<Endpoint> endpoints;
  std::unique_ptr<HttpConnections> connections;
};

} // namespace daisydrift
