#pragma once
// Writes job records in batches, conditional on this instance's leadership.

#include "daisydrift/coordination/Instance.h"

#include <functional>
#include <map>
#include <set>

namespace daisydrift::coordination {

/// Keys of a job's records.
std::string DefinitionKey(const std::string& aPrefix, const JobId& aJob);
std::string ProgressKey(const std::string& aPrefix, const JobId& aJob);
std::string DefinitionPrefix(const std::string& aPrefix);
std::string ProgressPrefix(const std::string& aPrefix);

/// Writes each batch as several transactions in parallel. A batch starts at once when none is in
/// flight, otherwise a short interval after the previous one, so that a slow store or a lost
/// response delays few records. A key must not be part of two batches in flight. A transaction is
/// retried until it is stored or another instance leads. A transaction whose response was lost may
/// still be applied seconds later; every transaction therefore checks and changes a guard key, so
/// that a late one cannot overwrite newer records.
class RecordStore
{
public:
  struct Hooks
  {
    /// Returns the records of a batch that is about to start, by key; an empty value deletes the
    /// key. Batch numbers start at 1.
    std::function<std::map<std::string, std::string>(std::uint64_t aGroup)> takeGroup;
    /// A batch is stored. Batches may finish out of order.
    std::function<void(std::uint64_t aGroup)> onStored;
    /// Another instance leads.
    std::function<void()> onReplaced;
  };

  RecordStore(EventLoop& aLoop,
              KeyValueStore& aStore,
              KeyValueTransaction::Condition aLeadership,
              std::string aGuardPrefix,
              Hooks aHooks);
  ~RecordStore();

  /// Requests a batch for records that are new or were deferred while in flight.
  void Flush();
  /// Start time of the oldest batch in flight; nothing when there is none.
  std::optional<TimePoint> BusySince() const;

private:
  /// One transaction of a batch, with the position of its guard key.
  struct Part
  {
    std::uint64_t group = 0;
    std::size_t position = 0;
    KeyValueTransaction transaction;
    std::shared_ptr<bool> isStored = std::make_shared<bool>(false);
    /// Remaining attempts that may be sent in parallel to an unanswered one.
    std::shared_ptr<int> triesLeft = std::make_shared<int>(3);
  };

  struct Group
  {
    TimePoint begunAt;
    std::size_t partsLeft = 0;
  };

  void BeginIfDue();
  void Begin();
  /// Reserves a guard position that no transaction in flight uses.
  std::size_t TakePosition();
  void Send(const Part& aPart);
  void SendLater(const Part& aPart);
  void OnAnswer(const Part& aPart, const Result<std::uint64_t>& aRevision);
  /// Handles a failed condition: either an earlier attempt was applied, or another instance leads.
  void CheckGuard(const Part& aPart);
  void OnPartStored(const Part& aPart, std::uint64_t aRevision);
  std::string GuardKey(std::size_t aPosition) const;

  EventLoop& loop;
  KeyValueStore& store;
  KeyValueTransaction::Condition leadership;
  std::string guardPrefix;
  Hooks hooks;
  /// Revisions of the guard keys by position; 0 when the key does not exist yet.
  std::vector<std::uint64_t> guards;
  std::set<std::size_t> freePositions;
  std::uint64_t groups = 0;
  std::map<std::uint64_t, Group> underWay;
  TimePoint lastBegun;
  bool isWanted = false;
  bool isTimerSet = false;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
