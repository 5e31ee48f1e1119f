#pragma once
// Key-value store in memory with injected faults.

#include "VirtualLoop.h"
#include "daisydrift/coordination.h"

#include <map>

namespace daisydrift {

/// Fault of one transaction.
enum class CommitFault
{
  None,
  /// Not applied; the response says so.
  Refused,
  /// Not applied; the response says that it is invalid.
  Invalid,
  /// Applied; the response is lost.
  ResponseLost,
  /// The response is lost, and the transaction is applied after `lateDelay` if its conditions still
  /// hold.
  AppliedLate
};

class InMemoryStore : public KeyValueStore
{
public:
  explicit InMemoryStore(VirtualLoop& aLoop)
    : loop(aLoop)
  {
  }

  void Read(const std::string& aKey,
            std::function<void(const Result<std::optional<KeyValueItem>>&)> aDone) override;
  void ReadPage(const std::string& aPrefix,
                const std::string& aAfter,
                std::function<void(const Result<KeyValuePage>&)> aDone,
                std::function<bool()> aOnProgress) override;
  void Watch(const std::string& aPrefix,
             std::uint64_t aAfterRevision,
             Duration aWait,
             std::function<void(const Result<KeyValueChanges>&)> aDone,
             std::function<bool()> aOnProgress) override;
  void Commit(const KeyValueTransaction& aTransaction,
              std::function<void(const Result<std::uint64_t>&)> aDone) override;
  void GrantLease(Duration aTimeToLive,
                  std::function<void(const Result<std::uint64_t>&)> aDone) override;
  void RenewLease(std::uint64_t aLease, std::function<void(std::error_code)> aDone) override;

  /// Writes a key on behalf of the operators or the platform.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  std::string Value(const std::string& aKey) const;
  std::size_t CountKeys(const std::string& aPrefix) const;
  /// Drops the history: watches from an earlier revision fail with NotFound.
  void Compact() { this->oldestRevision = this->revision; }

  /// Selects the fault of each transaction; empty for none.
  std::function<CommitFault(const KeyValueTransaction&)> commitFault;
  /// True for a prefix that cannot be read at present; empty for none.
  std::function<bool(const std::string&)> isPrefixUnavailable;
  /// True for a renewal that is applied but whose response is lost; empty for none.
  std::function<bool()> isRenewalResponseLost;
  /// True for a read, of one key or a page, or a grant of a lease whose response is lost; empty for
  /// none.
  std::function<bool()> isReadResponseLost;
  std::function<bool()> isGrantResponseLost;
  /// True for a renewal that is applied `lateDelay` later and whose response is lost; empty for
  /// none.
  std::function<bool()> isRenewalLate;
  /// True for a watch whose response is lost; empty for none.
  std::function<bool(const std::string& aPrefix)> isWatchResponseLost;
  /// Most bytes of keys and values that arrive within the time limit of a call; 0 for no limit. A
  /// page of a read ends before it. The response to a watch has no pages, so a longer one counts as
  /// lost.
  std::size_t maxResponseBytes = 0;
  /// While true, all calls fail with Unreachable.
  bool isDown = false;
  /// While true, no call is carried out or answered, and the waiting watches are lost: the callers
  /// get OutcomeUnknown when the platform adapter's timeouts have passed.
  bool isSilent = false;
  /// Most items in a page.
  std::size_t pageSize = 500;
  Duration lateDelay = std::chrono::seconds(2);
  Duration responseTime = std::chrono::milliseconds(4);
  /// Most bytes of a value; a transaction with a longer one is invalid. Defined by the platform.
  std::size_t maxValueBytes = 1048576;
  /// Number of transactions with a longer value.
  std::size_t tooLongValues = 0;
  /// Number of applied transactions.
  std::size_t commits = 0;

private:
  /// Calls aDone with the error of a call whose response is lost.
  template<typename Callback>
  void LoseResponse(Duration aTimeout, const Callback& aDone)
  {
    this->loop.After(aTimeout, [aDone] { aDone(make_error_code(Errc::OutcomeUnknown)); });
  }
  Result<std::uint64_t> Apply(const KeyValueTransaction& aTransaction);
  void ExpireLease(std::uint64_t aLease);

  VirtualLoop& loop;
  std::map<std::string, KeyValueItem> items;
  std::vector<KeyValueChange> history;
  std::map<std::uint64_t, std::pair<Duration, TimePoint>> leases;
  std::uint64_t revision = 100;
  /// Watches must start at this revision or a later one.
  std::uint64_t oldestRevision = 0;
  std::uint64_t nextLease = 1;
};

} // namespace daisydrift
