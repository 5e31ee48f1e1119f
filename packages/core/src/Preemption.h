#pragma once
// Preemption: stops running attempts to free capacity for urgent jobs and for teams below their
// fair share.

#include "DecisionRecorder.h"
#include "TeamShares.h"

#include <functional>

namespace daisydrift::core {

/// Selects the victims whose preemption loses the least work, and holds the freed capacity for the
/// job that it was freed for.
class Preemption
{
public:
  /// Returns whether an attempt may be preempted.
  using AttemptFilter = std::function<bool(const Attempt&)>;

  Preemption(ClusterState& aState, DecisionRecorder& aRecorder);

  /// Work lost by stopping the attempt now, in core-seconds of its dominant resource type.
  double LostWork(const Attempt& aAttempt, TimePoint aNow) const;
  /// Stops attempts so that a task of the job will fit on a worker, and holds the capacity there
  /// until aNow + aHoldTime. Returns false if no worker with suitable victims was found.
  bool PreemptForTask(Job& aJob,
                      const Resources& aSize,
                      const AttemptFilter& aIsPreemptible,
                      Duration aHoldTime,
                      TimePoint aNow);
  /// Victims on one worker and the work lost by stopping them, in core-seconds.
  struct Plan
  {
    double lostWork = 0;
    std::vector<Attempt*> victims;
  };

  /// Cheapest set of victims on a worker so that aSize fits there, or nothing if there is none.
  std::optional<Plan> PlanOnWorker(EntityIndex aWorker,
                                   const Resources& aSize,
                                   const AttemptFilter& aIsPreemptible,
                                   TimePoint aNow) const;

  /// Stops attempts of the team itself, least lost work first, until aCount tasks of aSize fit
  /// under its ceiling once those attempts have ended. Returns false, and stops nothing, if that is
  /// not possible.
  bool PreemptWithinCeiling(Team& aTeam,
                            const Resources& aSize,
                            std::uint32_t aCount,
                            TimePoint aNow);
  /// Held capacity that is free now and that its job can use.
  struct ReadyHold
  {
    Job* job = nullptr;
    EntityIndex worker = kNoEntity;
    Resources size;
  };
  /// Ends the next hold whose capacity is free now and that its job can use, and returns it;
  /// nothing if there is none.
  std::optional<ReadyHold> TakeReadyHold();
  /// Number of holds for the job.
  std::size_t HoldCount(const Job& aJob) const;
  /// Ends holds that have expired, that their job no longer needs, or whose worker gets no new
  /// tasks.
  void ExpireHolds(TimePoint aNow);

private:
  struct CapacityHold
  {
    JobNumber job = 0;
    EntityIndex worker = kNoEntity;
    Resources size;
    TimePoint until;
  };
  ClusterState& state;
  DecisionRecorder& recorder;
  std::vector<CapacityHold> holds;
  /// Worker at which the next search for victims starts.
  EntityIndex searchStart = 0;
};

} // namespace daisydrift::core
