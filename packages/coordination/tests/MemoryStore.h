#pragma once
// The store in memory, with faults that the tests choose.

#include "VirtualLoop.h"
#include "daisydrift/coordination.h"

#include <map>

namespace daisydrift {

/// What happens to one transaction.
enum class CommitFault
{
  None,
  /// Nothing is done; the answer says so.
  Refused,
  /// It is done; the answer is lost.
  AnswerLost,
  /// The answer is lost and it is done after `lateBy`, if its conditions still hold.
  DoneLate
};

class MemoryStore : public KeyValueStore
{
public:
  explicit MemoryStore(VirtualLoop& aLoop)
    : loop(aLoop)
  {
  }

  void Read(const std::string& aKey,
            std::function<void(const Result<std::optional<KeyValueItem>>&)> aDone) override;
  void ReadPage(const std::string& aPrefix,
                const std::string& aAfter,
                std::function<void(const Result<KeyValuePage>&)> aDone) override;
  void Watch(const std::string& aPrefix,
             std::uint64_t aAfterRevision,
             Duration aWait,
             std::function<void(const Result<KeyValueChanges>&)> aDone) override;
  void Commit(const KeyValueTransaction& aTransaction,
              std::function<void(const Result<std::uint64_t>&)> aDone) override;
  void GrantLease(Duration aTimeToLive,
                  std::function<void(const Result<std::uint64_t>&)> aDone) override;
  void RenewLease(std::uint64_t aLease, std::function<void(std::error_code)> aDone) override;

  /// Writes as the operator or the platform would.
  void Put(const std::string& aKey, const std::string& aValue);
  void Remove(const std::string& aKey);
  std::string Value(const std::string& aKey) const;

  /// Decides about each transaction; empty for no faults.
  std::function<CommitFault(const KeyValueTransaction&)> commitFault;
  /// True for a prefix that can't be read now; empty for none.
  std::function<bool(const std::string&)> isPrefixAway;
  /// True for a renewal that is carried out and whose answer is lost; empty for none.
  std::function<bool()> isRenewalLost;
  /// While true all calls fail as Unreachable.
  bool isDown = false;
  Duration lateBy = std::chrono::seconds(2);
  Duration answerTime = std::chrono::milliseconds(4);
  /// Transactions that were carried out.
  std::size_t commits = 0;

private:
  Result<std::uint64_t> Apply(const KeyValueTransaction& aTransaction);
  void ExpireLease(std::uint64_t aLease);

  VirtualLoop& loop;
  std::map<std::string, KeyValueItem> items;
  std::vector<KeyValueChange> history;
  std::map<std::uint64_t, std::pair<Duration, TimePoint>> leases;
  std::uint64_t revision = 100;
  std::uint64_t nextLease = 1;
};

} // namespace daisydrift
