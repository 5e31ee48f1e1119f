#pragma once
// Stops work that may no longer run where it runs.

#include "Commands.h"
#include "RateLimiter.h"

namespace daisydrift::core {

/// Enforces lowered ceilings, shrunk workers, and the evacuation of workers that leave.
class Enforcement
{
public:
  Enforcement(ClusterState& aState, const PolicySettings& aSettings, Commands& aCommands);

  /// Ceilings must be looked at in the next round.
  void OnCeilingsChanged() { this->mustCheckCeilings = true; }
  /// The worker must be looked at in the next round.
  void OnWorkerChanged(Position aWorker) { this->changedWorkers.insert(aWorker); }
  /// Stops what must not go on.
  void Run(TimePoint aNow);

private:
  /// Stops the newest work of the team until the rest is within its ceiling.
  void EnforceCeiling(Team& aTeam);
  /// Stops the newest work of a worker until the rest is within its capacity.
  void EnforceCapacity(Worker& aWorker);
  void BeginEvacuation();
  /// Moves checkpointable tasks and services away, at a bounded rate.
  void Evacuate(TimePoint aNow);

  ClusterState& state;
  Commands& commands;
  bool mustCheckCeilings = false;
  std::set<Position> changedWorkers;
  /// Workers with attempts that may have to move.
  std::set<Position> evacuating;
  RateLimiter moveLimiter;
};

} // namespace daisydrift::core
