#pragma once
// Starts waiting jobs in the order of the policy within one scheduling round.

#include "GangPlanner.h"
#include "Preemption.h"
#include "WorkerReliability.h"

namespace daisydrift::core {

/// Starts urgent jobs first, then jobs of the team with the lowest priority value (see TeamShares),
/// until nothing fits or the round's limit of starts is reached.
class JobStarter
{
public:
  JobStarter(ClusterState& aState,
             const PolicySettings& aSettings,
             Placer& aPlacer,
             DecisionRecorder& aRecorder,
             GangPlanner& aGangs,
             Preemption& aPreemption,
             TeamShares& aShares,
             WorkerReliability& aReliability);

  /// Starts waiting jobs until the round has aMaxStarts starts.
  void Run(TimePoint aNow, std::size_t aMaxStarts);

private:
  /// Starts tasks for which preemption has freed capacity.
  void StartOnReadyHolds(TimePoint aNow, std::size_t aMaxStarts);
  void StartUrgentJobs(TimePoint aNow, std::size_t aMaxStarts);
  /// Starts the next task of an urgent job or preempts attempts for it; false if neither is
  /// possible.
  bool StartOrPreemptForUrgent(Job& aJob, TimePoint aNow);
  /// Makes blocked groups ready that may fit now.
  void RetryBlockedGroups(TimePoint aNow);
  void StartByFairShare(TimePoint aNow, std::size_t aMaxStarts);
  /// Starts the team's next task or gang; returns false after marking the first ready group
  /// blocked.
  bool StartNextInTeam(Team& aTeam, TimePoint aNow);
  /// Starts the next task of the job on a worker to be probed, on free capacity, or as backfill on
  /// a reserved worker.
  bool StartTask(Job& aJob, const Resources& aSize, TimePoint aNow);
  /// True if an older job of the team is blocked by the ceiling and capacity under it is kept for
  /// that job.
  bool MustWaitForOlderJob(const Team& aTeam, const Job& aJob, TimePoint aNow) const;
  /// Preempts attempts for urgent gangs, for teams that have been below their fair share for long,
  /// and for jobs that services have kept waiting for long.
  void ReclaimCapacity(TimePoint aNow);
  /// Preempts attempts for a job if it is entitled to that.
  bool ReclaimForJob(Job& aJob, TimePoint aNow);
  /// Preempts attempts for urgent gangs, whatever their team's share.
  void PreemptForUrgentGangs(TimePoint aNow);

  ClusterState& state;
  const PolicySettings& settings;
  Placer& placer;
  DecisionRecorder& recorder;
  GangPlanner& gangs;
  Preemption& preemption;
  TeamShares& shares;
  WorkerReliability& reliability;
  TimePoint nextGangRetry;
  TimePoint nextFullRetry;
  TimePoint nextUrgentPreemption;
  TimePoint nextShareReclaim;
  TimePoint nextGangReclaim;
  /// Index of the team with which the next ReclaimCapacity starts.
  std::size_t nextReclaimTeam = 0;
};

} // namespace daisydrift::core
