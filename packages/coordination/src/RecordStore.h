#pragma once
// Writes the records of jobs in groups, under the condition that this instance still leads.

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

/// Records are written in groups, each in transactions side by side. A group begins at once when
/// none is under way, else a while after the one before, so that a slow store or a lost answer
/// holds up few records; no key may be in two groups under way. A transaction is repeated until it
/// is stored or another instance leads. A transaction whose answer was lost may be carried out
/// seconds later: a guard key that each one changes keeps it from overwriting newer records.
class RecordStore
{
public:
  struct Hooks
  {
    /// Records of a group, taken when it begins: key and value; an empty value removes the key.
    /// Groups are numbered from 1.
    std::function<std::map<std::string, std::string>(std::uint64_t aGroup)> takeGroup;
    /// A group is stored; not always in the order of their numbers.
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

  /// Something has changed, or has had to wait for a group under way: begins a group soon.
  void Flush();
  /// Time since when the oldest group has been waiting for the store; nothing when none is.
  std::optional<TimePoint> BusySince() const;

private:
  /// One transaction of a group, with the guard of its position.
  struct Part
  {
    std::uint64_t group = 0;
    std::size_t position = 0;
    KeyValueTransaction transaction;
    std::shared_ptr<bool> isStored = std::make_shared<bool>(false);
    /// Tries that may still be sent beside one without an answer.
    std::shared_ptr<int> triesLeft = std::make_shared<int>(3);
  };

  struct Group
  {
    TimePoint begunAt;
    std::size_t partsLeft = 0;
  };

  void BeginIfDue();
  void Begin();
  /// Position of a guard that no transaction under way uses.
  std::size_t TakePosition();
  void Send(const Part& aPart);
  void SendLater(const Part& aPart);
  void OnAnswer(const Part& aPart, const Result<std::uint64_t>& aRevision);
  /// A condition did not hold: an earlier try was carried out, or another instance leads.
  void CheckGuard(const Part& aPart);
  void OnPartStored(const Part& aPart, std::uint64_t aRevision);
  std::string GuardKey(std::size_t aPosition) const;

  EventLoop& loop;
  KeyValueStore& store;
  KeyValueTransaction::Condition leadership;
  std::string guardPrefix;
  Hooks hooks;
  /// Revisions of the guard keys by position; 0 for one that does not exist yet.
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
