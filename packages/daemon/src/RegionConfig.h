#pragma once
// What the configuration says for one region.

#include "daisydrift/config.h"
#include "daisydrift/core.h"
#include "daisydrift/durable.h"

#include <map>
#include <set>
#include <vector>

namespace daisydrift {

/// Teams with the region's part of their ceilings. Each region that the configuration names gets an
/// equal part, so that the parts never sum to more than the ceiling. Teams that were removed but
/// have jobs in aJobs get a ceiling of zero.
std::vector<TeamPolicy> TeamsOf(const ConfigDocument& aConfig,
                                const std::map<JobNumber, JobRecord>& aJobs);

/// Failure domains that operators have taken out of service.
std::set<FailureDomain> DrainedDomains(const ConfigDocument& aConfig);

} // namespace daisydrift
