#pragma once
// Settings of the scheduling policy.

#include "daisydrift/base.h"

namespace daisydrift {

/// Weights, delays and rates of the scheduling policy. Every setting has a default; the two presets
/// favour different goals.
struct PolicySettings
{
  /// Weight of bin packing (filling workers) in the score of a worker.
  double packingWeight = 1.0;
  /// Weight of spreading over failure domains and racks in the score of a worker.
  double spreadWeight = 0.5;
  /// Weight of avoiding accelerator fragmentation, which keeps workers free for tasks that need
  /// many accelerators.
  double acceleratorWeight = 1.0;
  /// Time within which urgent tasks should start.
  Duration urgentTarget = std::chrono::milliseconds(4500);
  /// Half-life of the debt owed to a team for the time that it waited below its fair share.
  Duration debtHalfLife = std::chrono::minutes(10);
  /// Grace period for a task to exit after a stop command.
  Duration stopGrace = std::chrono::seconds(2);
  /// Maximum number of starts per second in a failure domain that has just returned to service, and
  /// of tasks per second that are stopped in the region to evacuate workers.
  std::uint32_t refillStartsPerSecond = 200;
  /// Number of different workers on which a task must fail before the job is considered faulty.
  std::uint32_t poisonWorkerCount = 3;
  /// Time for which a team must have been below its fair share with tasks waiting before attempts
  /// of teams above their share are preempted for it. Bounds starvation by services and long tasks.
  Duration shareReclaimDelay = std::chrono::seconds(30);

  /// Preset that favours short waiting times and little disruption when a failure domain is lost.
  static PolicySettings ForWaitingTime();
  /// Preset that favours dense packing and close adherence to fair shares.
  static PolicySettings ForPacking();
};

} // namespace daisydrift
