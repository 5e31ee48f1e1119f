#pragma once
// Determines which completions may be acknowledged to the workers, which then drop them.

#include "daisydrift/dispatch.h"

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace daisydrift::coordination {

/// Number of the last completion that was processed from one incarnation of a worker.
struct ProcessedCompletion
{
  WorkerId worker;
  std::int64_t incarnation = 0;
  std::uint64_t number = 0;
};
using ProcessedCompletions = std::vector<ProcessedCompletion>;

/// Batches of records are stored in parallel. A job whose earlier record is still in flight is
/// deferred to a later batch. The completions that were processed before a batch started are
/// durable once these batches are stored: that batch, all earlier ones, and those with the changes
/// of the jobs that were deferred when it started.
class CompletionTracker
{
public:
  /// aIncluded are the jobs whose records the batch contains, aDeferred those that have to wait for
  /// a later one. Batch numbers increase in the order of their starts.
  void OnBatchStarted(std::uint64_t aBatch,
                      ProcessedCompletions aCompletions,
                      const std::set<JobId>& aIncluded,
                      const std::set<JobId>& aDeferred);
  /// Returns the completions that have become durable.
  std::vector<ProcessedCompletions> OnBatchStored(std::uint64_t aBatch);

private:
  struct Snapshot
  {
    ProcessedCompletions completions;
    /// Deferred jobs whose changes no batch contains yet.
    std::set<JobId> unbatchedJobs;
    /// All batches up to this one must be stored.
    std::uint64_t lastBatch = 0;
  };

  /// Ordered by time.
  std::deque<Snapshot> snapshots;
  std::set<std::uint64_t> openBatches;
};

} // namespace daisydrift::coordination
