#pragma once
// Interface to the platform's key-value store.

#include "daisydrift/base.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace daisydrift {

/// Store-wide number of a write, which increases with every write to any key. 0 means "key absent".
using Revision = std::uint64_t;

/// ID of a store lease. 0 means "no lease".
using LeaseId = std::uint64_t;

/// Maximum size of a value, in bytes.
constexpr std::size_t kMaxStoreValueBytes = 1'000'000;

/// A key with its value and the revision of its last write.
struct StoreEntry
{
  std::string key;
  std::string value;
  Revision revision = 0;
};

/// Result of a watch.
struct WatchResult
{
  /// Revision of the store when the watch returned; pass it to the next watch.
  Revision revision = 0;
  /// Entries with the prefix that changed after the requested revision. A deleted key has revision
  /// 0.
  std::vector<StoreEntry> changes;
};

/// Client of the store. Calls block for at most the given timeout and may be made from any thread.
/// Errors of every call: Unreachable (not executed), OutcomeUnknown (sent, but no response was
/// received), Overloaded (rejected by the store's rate limit), Corrupt (malformed response).
class Store
{
public:
  virtual ~Store() = default;

  /// Reads one key. Errors: NotFound.
  virtual Result<StoreEntry> Get(const std::string& aKey, std::chrono::milliseconds aTimeout) = 0;

  /// Reads all keys that start with aPrefix, sorted by key. The result is a consistent snapshot.
  virtual Result<std::vector<StoreEntry>> List(const std::string& aPrefix,
                                               std::chrono::milliseconds aTimeout) = 0;

  /// Writes aValue if the key's revision is aExpected (0: the key must be absent); returns the new
  /// revision. With a lease, the key is deleted when the lease ends. Errors: Conflict,
  /// LeaseExpired, InvalidArgument (value too large or empty key). After OutcomeUnknown the caller
  /// must read the key before it writes again.
  virtual Result<Revision> CompareAndSwap(const std::string& aKey,
                                          const std::string& aValue,
                                          Revision aExpected,
                                          LeaseId aLease,
                                          std::chrono::milliseconds aTimeout) = 0;

  /// Deletes the key if its revision is aExpected. Errors: Conflict, NotFound.
  virtual std::error_code Delete(const std::string& aKey,
                                 Revision aExpected,
                                 std::chrono::milliseconds aTimeout) = 0;

  /// Waits at most aWait until a key that starts with aPrefix changes after revision aAfter.
  /// Without a change the result has no entries.
  virtual Result<WatchResult> Watch(const std::string& aPrefix,
                                    Revision aAfter,
                                    std::chrono::milliseconds aWait) = 0;

  /// Creates a lease that expires aTtl after its last renewal, measured by the store's clock.
  virtual Result<LeaseId> GrantLease(std::chrono::milliseconds aTtl,
                                     std::chrono::milliseconds aTimeout) = 0;

  /// Renews a lease. Errors: LeaseExpired.
  virtual std::error_code RenewLease(LeaseId aLease, std::chrono::milliseconds aTimeout) = 0;

  /// Revokes a lease and deletes its keys. Errors: LeaseExpired.
  virtual std::error_code RevokeLease(LeaseId aLease, std::chrono::milliseconds aTimeout) = 0;
};

} // namespace daisydrift
