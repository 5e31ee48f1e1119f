#pragma once
// Counts the failed runs of a task or a gang.

#include "daisydrift/dispatch/DispatchTypes.h"

#include <vector>

namespace daisydrift::dispatch {

/// Counts each failed run once. The end of a run becomes known more than once: each member of a
/// gang has one, and a worker lists an end again until it is acknowledged, also to the next leader.
class FailureCount
{
public:
  /// Most runs that are told apart; bounds the size of the records. Earlier ones count as known.
  static constexpr std::size_t kMaxRuns = 8;

  FailureCount() = default;
  /// Restores a count. Records of earlier versions name no runs; all that had ended by then, up to
  /// aLastCompletedRun, are included in the count.
  FailureCount(std::uint32_t aCount, std::vector<RunNumber> aRuns, RunNumber aLastCompletedRun);

  /// Counts a failed run. Returns false if it was counted before.
  bool Add(RunNumber aRun);
  std::uint32_t Count() const { return this->count; }
  /// The last run that is known to have failed; 0 when there is none.
  RunNumber LastRun() const { return this->runs.empty() ? this->lastKnownRun : this->runs.back(); }
  /// The runs that are told apart, in order.
  const std::vector<RunNumber>& Runs() const { return this->runs; }

private:
  std::uint32_t count = 0;
  std::vector<RunNumber> runs;
  /// Runs up to this one are known.
  RunNumber lastKnownRun = 0;
};

} // namespace daisydrift::dispatch
