#pragma once
// Parts of the configuration that apply to one region.

#include "daisydrift/config.h"
#include "daisydrift/core.h"
#include "daisydrift/durable.h"

#include <map>
#include <set>
#include <vector>

namespace daisydrift {

/// Returns the teams with the region's share of their ceilings. Each region in the configuration
/// gets an equal share, rounded down, so that the shares never add up to more than the ceiling.
/// Teams that were removed but have jobs in aJobs get a ceiling of zero.
std::vector<TeamPolicy> MakeTeamPolicies(const ConfigDocument& aConfig,
                                         const std::map<JobNumber, JobRecord>& aJobs);

/// Returns the failure domains that operators have drained.
std::set<FailureDomain> DrainedDomains(const ConfigDocument& aConfig);

} // namespace daisydrift
