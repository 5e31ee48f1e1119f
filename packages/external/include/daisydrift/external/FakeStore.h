#pragma once
// In-memory store for tests, with fault injection and call counters.

#include "daisydrift/external/StoreModel.h"

#include <functional>
#include <mutex>

namespace daisydrift {

/// Fault injected into one call of a FakeStore.
enum class StoreFault
{
  None,
  /// The call does not reach the store.
  Unreachable,
  /// The call takes effect but its response is lost.
  ResponseLost,
  /// The request is lost in transit after it was sent; the caller can't tell this from a lost
  /// response.
  RequestLost,
  /// The store rejects the call because its rate limit is exceeded.
  Overloaded
};

/// Store kept in memory; leases expire by the given clock. A Watch returns at once instead of
/// waiting for a change. Thread-safe.
class FakeStore : public Store
{
public:
  /// Selects the fault of one call, given the operation ("get", "list", "cas", "delete", "watch",
  /// "grant", "renew", "revoke") and the key, prefix or lease ID; the key is empty for "grant".
  using FaultHook =
    std::function<StoreFault(const std::string& aOperation, const std::string& aKey)>;

  explicit FakeStore(const Clock& aClock);

  /// Sets the hook that is called before each call; an empty hook injects no faults.
  void SetFaultHook(FaultHook aHook);
  /// Number of write calls so far (cas, delete, grant, renew, revoke), failed ones included.
  std::uint64_t WriteCalls() const;
  /// Number of read calls so far (get, list, watch), failed ones included.
  std::uint64_t ReadCalls() const;

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
  /// Counts the call and runs aCall under the lock, subject to the fault that the hook selects;
  /// returns what the caller sees.
  template<typename CallResult, typename Call>
  CallResult RunCall(bool aIsWrite, const char* aOperation, const std::string& aKey, Call aCall);

  const Clock& clock;
  mutable std::mutex mutex;
  FaultHook faultHook;
  StoreModel model;
  std::uint64_t writeCalls = 0;
  std::uint64_t readCalls = 0;
};

} // namespace daisydrift
