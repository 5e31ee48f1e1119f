#pragma once
// Collects the histories of worker and upstream stand-ins in the text format that the history
// checker reads.

#include "daisydrift/external.h"

#include <ostream>
#include <vector>

namespace daisydrift {

/// Stand-ins to query.
struct CollectorTargets
{
  /// Workers and upstreams from the instance list.
  std::vector<InstanceInfo> instances;
};

/// Numbers of collected events.
struct CollectorCounts
{
  std::size_t taskStarts = 0;
  std::size_t taskSuccesses = 0;
  std::size_t upstreamStarts = 0;
  /// Stand-ins that sent no response or an invalid one.
  std::size_t missing = 0;
};

/// Writes one line per event to aOut, with times in milliseconds of the machine's monotonic clock.
/// The team of a task is the field `team` of its JSON payload.
CollectorCounts CollectHistory(const CollectorTargets& aTargets, std::ostream& aOut);

} // namespace daisydrift
