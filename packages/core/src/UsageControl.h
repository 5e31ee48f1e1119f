#pragma once
// Fits the limits of running attempts to their lagged usage.

#include "Commands.h"

#include <utility>

namespace daisydrift::core {

/// Reclaims what attempts do not use by lowering their limits, raises limits that bind where there
/// is room, and stops attempts that outgrew their size where there is none. The sum of limits on a
/// worker never exceeds its capacity: a reduction counts only when a later report shows that the
/// worker has been reached since.
class UsageControl
{
public:
  UsageControl(ClusterState& aState, Commands& aCommands);

  /// Notes a report.
  void OnUsage(Attempt& aAttempt, const Resources& aUsage, TimePoint aNow);
  /// Looks at attempts with new reports, at most a bounded number.
  void Run(TimePoint aNow);
  /// Hands over the jobs that outgrew their size since the last call.
  std::vector<JobNumber> TakeOutgrown() { return std::exchange(this->outgrown, {}); }

private:
  void Review(Attempt& aAttempt, TimePoint aNow);
  void Raise(Attempt& aAttempt, TimePoint aNow);
  void Reclaim(Attempt& aAttempt, TimePoint aNow);

  ClusterState& state;
  Commands& commands;
  /// Attempts with new reports, in order of arrival.
  std::deque<AttemptId> dirty;
  std::vector<JobNumber> outgrown;
};

} // namespace daisydrift::core
