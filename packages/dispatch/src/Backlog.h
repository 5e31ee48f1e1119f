#pragma once
// Unfinished work of the fleet, for forecasts.

#include "FleetState.h"
#include "daisydrift/dispatch/WaitForecast.h"

namespace daisydrift::dispatch {

/// The unfinished work of all jobs, with the capacity and the limits within which it is done.
/// Leaves out waiting work that may never use the capacity: tasks that need a label, that fit on no
/// worker or exceed their team's ceiling, and tasks on spare cores.
ForecastInput BacklogOf(const FleetState& aState, TimePoint aNow);

} // namespace daisydrift::dispatch
