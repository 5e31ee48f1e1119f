#pragma once
// Protection of services with a tail latency target from tasks on spare cores.

#include "FleetState.h"

namespace daisydrift::dispatch {

/// Throttles tasks on spare cores that slow down services on the same worker; the effect varies
/// within seconds. When a service stays over its tail latency target, these tasks are throttled to
/// a standstill. Their speed is raised again in steps, so that it does not oscillate with every
/// report.
///
/// The speed of a task is a desired state: its command is repeated until the worker has confirmed
/// it, and again when the progress in the worker's reports, which don't contain the speed, shows
/// another one: a late command of an earlier leader, or of this one, may have changed it.
class InterferenceController
{
public:
  explicit InterferenceController(FleetState& aState);

  /// Checks the services on a worker against their targets after its newest report.
  void OnReport(Worker& aWorker, TimePoint aNow) const;
  /// Adds the throttle commands that a worker's tasks need now to aRound.
  void UpdateThrottles(Worker& aWorker, TimePoint aNow, DispatchRound& aRound) const;
  /// The worker has confirmed a throttle command.
  static void OnConfirmed(Attempt& aAttempt, int aPercent, TimePoint aNow);
  /// An earlier leader may have throttled the run.
  static void MarkSpeedUnknown(Attempt& aAttempt);

private:
  /// True if a worker's reports show another speed than it has confirmed.
  bool IsContradicted(const Attempt& aAttempt) const;

  FleetState& state;
};

} // namespace daisydrift::dispatch
