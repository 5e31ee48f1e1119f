#pragma once
// Adjusts the limits of running attempts to their reported usage.

#include "DecisionRecorder.h"

#include <utility>

namespace daisydrift::core {

/// Lowers the limits of attempts that do not use them, raises limits that attempts have reached if
/// their worker has free capacity, and stops attempts that exceed their memory limit if it has
/// none. The sum of limits on a worker never exceeds its capacity: a reduction releases resources
/// only after a later usage report shows that the worker has received it.
class LimitAdjuster
{
public:
  LimitAdjuster(ClusterState& aState, DecisionRecorder& aRecorder);

  /// Handles a usage report.
  void OnUsage(Attempt& aAttempt, const Resources& aUsage, TimePoint aNow);
  /// Reviews attempts with new usage reports, at most a bounded number.
  void Run(TimePoint aNow);
  /// Returns the jobs that have outgrown their size since the last call, and clears the list.
  std::vector<JobNumber> TakeOutgrownJobs() { return std::exchange(this->outgrownJobs, {}); }

private:
  void ReviewAttempt(Attempt& aAttempt, TimePoint aNow);
  void RaiseLimit(Attempt& aAttempt, TimePoint aNow);
  void ReclaimUnused(Attempt& aAttempt, TimePoint aNow);

  ClusterState& state;
  DecisionRecorder& recorder;
  /// Attempts with unreviewed usage reports, in order of arrival.
  std::deque<AttemptId> pendingReviews;
  std::vector<JobNumber> outgrownJobs;
};

} // namespace daisydrift::core
