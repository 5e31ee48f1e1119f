#pragma once
// Choice of the jobs that can be in time when there is more work than room.

#include "WorkerReliability.h"

namespace daisydrift::dispatch {

/// Decides which jobs are still expected to be in time. Answers a burst, or a team that submits
/// more work than its resource ceiling allows: in the order of their due times all jobs end up
/// shortly too late. When the work up to a due time is more than can be done until then, the
/// selector gives up the job with the most work left, so that as many jobs as possible are in time.
/// Work above the mean counts as the mean, since otherwise wide jobs would never be served. Jobs
/// that are given up are served after the others while they still have some value, and then last.
class OverloadSelector
{
public:
  OverloadSelector(FleetState& aState, const WorkerReliability& aReliability);

  /// Updates the outlook of all jobs; does so only from time to time.
  void Update(TimePoint aNow);

private:
  struct Candidate
  {
    Job* job;
    /// Time for which the rest of the job would take all of the limit.
    Duration load;
    /// The load, bounded by the mean; the jobs with the most are given up.
    Duration weight;
  };
  using Candidates = std::vector<Candidate>;

  void UpdateTeam(const Team& aTeam, const std::vector<Job*>& aJobs, TimePoint aNow) const;
  /// Considers the jobs of the first priority, which go before all others on their workers.
  void UpdateService(const std::string& aService,
                     const std::vector<Job*>& aJobs,
                     TimePoint aNow) const;
  /// Lowers the outlook of the jobs that aLimit has no room for in time.
  static void Select(const std::vector<Job*>& aJobs, const Resources& aLimit, TimePoint aNow);
  /// Of the jobs with the outlook aFrom, those that have to be given up get the next one. A job's
  /// time is over after aFactor times its latency objective. Those with a better outlook go first.
  static void GiveUp(Candidates& aCandidates, JobOutlook aFrom, int aFactor, TimePoint aNow);

  FleetState& state;
  const WorkerReliability& reliability;
  TimePoint nextUpdate;
};

} // namespace daisydrift::dispatch
