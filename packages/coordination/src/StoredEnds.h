#pragma once
// Which ends of runs may be confirmed to the workers, which then forget them.

#include "daisydrift/dispatch.h"

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace daisydrift::coordination {

/// Highest end of one incarnation of a worker that was taken in.
struct TakenEnd
{
  WorkerId worker;
  std::int64_t incarnation = 0;
  std::uint64_t number = 0;
};
using TakenEnds = std::vector<TakenEnd>;

/// Groups of records are stored side by side. The ends that were taken in before a group began are
/// stored when that group and all before it are, and so are the changes of the jobs that had to
/// wait for a later group because an earlier record of theirs was still under way.
class StoredEnds
{
public:
  /// aTaken are the jobs whose records the group holds, aDeferred those that have to wait. Groups
  /// are numbered in the order in which they begin.
  void OnGroupBegun(std::uint64_t aGroup,
                    TakenEnds aEnds,
                    const std::set<JobId>& aTaken,
                    const std::set<JobId>& aDeferred);
  /// Returns the ends that are stored now.
  std::vector<TakenEnds> OnGroupStored(std::uint64_t aGroup);

private:
  struct Snapshot
  {
    TakenEnds ends;
    /// Jobs whose changes are in no group yet.
    std::set<JobId> missing;
    /// Up to this group all must be stored.
    std::uint64_t lastGroup = 0;
  };

  /// In order of time.
  std::deque<Snapshot> snapshots;
  std::set<std::uint64_t> openGroups;
};

} // namespace daisydrift::coordination
