#pragma once
// Protection of services with a tail latency target from tasks on spare cores.

#include "FleetState.h"

namespace daisydrift::dispatch {

/// Throttles tasks on spare cores that slow down services on the same worker; the effect varies
/// within seconds. When a service stays over its tail latency target, these tasks are throttled to
/// a standstill. Their speed is raised again in steps, so that it does not oscillate with every
/// report.
class InterferenceController
{
public:
  explicit InterferenceController(FleetState& aState);

  /// Checks the services on a worker against their targets after its newest report.
  void OnReport(Worker& aWorker, TimePoint aNow) const;
  /// Adds the throttle commands that a worker's tasks need now to aRound.
  void UpdateThrottles(Worker& aWorker, TimePoint aNow, DispatchRound& aRound) const;

private:
  FleetState& state;
};

} // namespace daisydrift::dispatch
