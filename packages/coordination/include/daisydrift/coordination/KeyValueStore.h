#pragma once
// Asynchronous interface of the key-value store.

#include "daisydrift/base.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// A key with its value.
struct KeyValueItem
{
  std::string key;
  std::string value;
  /// Revision of the last change.
  std::uint64_t revision = 0;
  /// Lease on whose expiry the key is deleted; 0 for none.
  std::uint64_t lease = 0;
};

/// A change of a key; the value is empty when the key was deleted.
struct KeyValueChange
{
  std::string key;
  std::optional<std::string> value;
  std::uint64_t revision = 0;
  std::uint64_t lease = 0;
};

struct KeyValuePage
{
  std::vector<KeyValueItem> items;
  bool hasMore = false;
  /// Revision of the store at the time of the read.
  std::uint64_t revision = 0;
};

struct KeyValueChanges
{
  std::vector<KeyValueChange> changes;
  /// Revision after which the next watch continues.
  std::uint64_t revision = 0;
};

/// Writes that are applied atomically, and only if all conditions hold.
struct KeyValueTransaction
{
  struct Condition
  {
    std::string key;
    /// Expected revision of the key; 0 when it must not exist.
    std::uint64_t revision = 0;
  };
  struct Put
  {
    std::string key;
    std::string value;
    std::uint64_t lease = 0;
  };
  std::vector<Condition> conditions;
  std::vector<Put> puts;
  std::vector<std::string> removals;
};

/// Most entries in one transaction, set by the platform.
inline constexpr std::size_t kMaxTransactionEntries = 32;

/// A linearizable store with leases and watches. Errors of all calls: Unreachable and
/// DeadlineExceeded (not applied), OutcomeUnknown, Overloaded (not applied), InvalidArgument.
/// Callbacks run on the event loop, never from within the call.
class KeyValueStore
{
public:
  virtual ~KeyValueStore() = default;
  /// Returns one item, or nothing when the key does not exist.
  virtual void Read(const std::string& aKey,
                    std::function<void(const Result<std::optional<KeyValueItem>>&)> aDone) = 0;
  /// Returns the items with the prefix whose keys sort after aAfter, ordered by key. Pages are not
  /// taken from one snapshot.
  /// @param aOnProgress Called when a part of the response has arrived. A response is waited for as
  /// long as it keeps arriving, so a call is late only when there is no progress. Returns false to
  /// give up the response, which then ends with OutcomeUnknown and takes no more of the link.
  virtual void ReadPage(const std::string& aPrefix,
                        const std::string& aAfter,
                        std::function<void(const Result<KeyValuePage>&)> aDone,
                        std::function<bool()> aOnProgress) = 0;
  /// Returns the changes after a revision, as soon as there is one or after aWait. Error NotFound:
  /// the store no longer keeps that history.
  /// @param aOnProgress As for ReadPage.
  virtual void Watch(const std::string& aPrefix,
                     std::uint64_t aAfterRevision,
                     Duration aWait,
                     std::function<void(const Result<KeyValueChanges>&)> aDone,
                     std::function<bool()> aOnProgress) = 0;
  /// Returns the revision of the writes. Errors: Conflict (a condition does not hold),
  /// LeaseExpired.
  virtual void Commit(const KeyValueTransaction& aTransaction,
                      std::function<void(const Result<std::uint64_t>&)> aDone) = 0;
  /// Creates a lease and returns its id; the time to live counts from the arrival of the call.
  virtual void GrantLease(Duration aTimeToLive,
                          std::function<void(const Result<std::uint64_t>&)> aDone) = 0;
  /// Error LeaseExpired: the lease no longer exists.
  virtual void RenewLease(std::uint64_t aLease, std::function<void(std::error_code)> aDone) = 0;
};

} // namespace daisydrift
