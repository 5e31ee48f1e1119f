#pragma once
// Determines which end reports may be acknowledged to the workers, which then drop them.

#include "daisydrift/dispatch.h"

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace daisydrift::coordination {

/// Number of the last end report that was processed from one incarnation of a worker.
struct TakenEnd
{
  WorkerId worker;
  std::int64_t incarnation = 0;
  std::uint64_t number = 0;
};
using TakenEnds = std::vector<TakenEnd>;

/// Batches of records are stored in parallel. The end reports that were processed before a batch
/// started are durable once that batch and all earlier ones are stored, and so are the batches with
/// the changes of those jobs that were deferred because an earlier record of theirs was in flight.
class StoredEnds
{
public:
  /// aTaken are the jobs whose records the batch contains, aDeferred those that have to wait for a
  /// later one. Batch numbers increase in the order of their starts.
  void OnGroupBegun(std::uint64_t aGroup,
                    TakenEnds aEnds,
                    const std::set<JobId>& aTaken,
                    const std::set<JobId>& aDeferred);
  /// Returns the end reports that have become durable.
  std::vector<TakenEnds> OnGroupStored(std::uint64_t aGroup);

private:
  struct Snapshot
  {
    TakenEnds ends;
    /// Deferred jobs whose changes no batch contains yet.
    std::set<JobId> missing;
    /// All batches up to this one must be stored.
    std::uint64_t lastGroup = 0;
  };

  /// Ordered by time.
  std::deque<Snapshot> snapshots;
  std::set<std::uint64_t> openGroups;
};

} // namespace daisydrift::coordination
