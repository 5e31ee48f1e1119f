#pragma once
// Stops attempts that violate lowered limits or must move to other workers.

#include "DecisionRecorder.h"
#include "RateLimiter.h"

namespace daisydrift::core {

/// Enforces lowered ceilings and reduced worker capacities, and evacuates workers that are about to
/// be removed or whose failure domain is drained.
class Enforcement
{
public:
  Enforcement(ClusterState& aState, const PolicySettings& aSettings, DecisionRecorder& aRecorder);

  /// Requests a check of all ceilings in the next round.
  void OnCeilingsChanged() { this->mustCheckCeilings = true; }
  /// Requests a check of the worker in the next round.
  void OnWorkerChanged(EntityIndex aWorker) { this->changedWorkers.insert(aWorker); }
  /// Performs the requested checks and continues evacuations.
  void Run(TimePoint aNow);

private:
  /// Stops the newest attempts of the team until the rest is within its ceiling.
  void EnforceCeiling(Team& aTeam);
  /// Stops the newest attempts on a worker until the rest is within its capacity.
  void EnforceCapacity(Worker& aWorker);
  void CheckChangedWorkers();
  /// Stops services and tasks that can write checkpoints on evacuating workers, at a limited rate.
  void StopMovableTasks(TimePoint aNow);

  ClusterState& state;
  DecisionRecorder& recorder;
  bool mustCheckCeilings = false;
  std::set<EntityIndex> changedWorkers;
  /// Workers with attempts that may have to be moved.
  std::set<EntityIndex> evacuatingWorkers;
  RateLimiter evacuationLimiter;
};

} // namespace daisydrift::core
