#pragma once
// Settings of the policy.

#include "daisydrift/base.h"

namespace daisydrift {

/// Weights and times of the policy. All have defaults; two presets favour different measures.
struct PolicySettings
{
  /// Weight of tight packing in the score of a worker.
  double packingWeight = 1.0;
  /// Weight of spreading a job over failure domains and racks in the score of a worker.
  double spreadWeight = 0.5;
  /// Weight of keeping accelerators whole for tasks that need many.
  double acceleratorWeight = 1.0;
  /// Target for the start of urgent work.
  Duration urgentTarget = std::chrono::milliseconds(4500);
  /// Time after which the debt owed to a team that waited has halved.
  Duration debtHalfLife = std::chrono::minutes(10);
  /// Time that a task gets to end by itself when it is stopped.
  Duration stopGrace = std::chrono::seconds(2);
  /// Starts in one failure domain a second while it refills after its return.
  std::uint32_t refillStartsPerSecond = 200;
  /// Different workers on which a task must fail before its job is held to be at fault.
  std::uint32_t poisonWorkerCount = 3;
  /// Time for which a team must have waited below its fair share before work of teams above theirs
  /// is stopped for it. Bounds starvation by services and long tasks.
  Duration shareReclaimDelay = std::chrono::seconds(30);

  /// Favours short waits and smooth departures of failure domains.
  static PolicySettings ForWaitingTime();
  /// Favours tight packing and shares close to fair.
  static PolicySettings ForPacking();
};

} // namespace daisydrift
