#include "RegionConfig.h"

#include <algorithm>

namespace daisydrift {

namespace {

/// Number of regions in the configuration, at least 1.
std::int64_t RegionCount(const ConfigDocument& aConfig)
{
  std::set<std::string> regions;
  for (const auto& [name, domain] : aConfig.failureDomains) {
    regions.insert(domain.region);
  }
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(regions.size()));
}

} // namespace

std::vector<TeamPolicy> MakeTeamPolicies(const ConfigDocument& aConfig,
                                         const std::map<JobNumber, JobRecord>& aJobs)
{
  std::int64_t regions = RegionCount(aConfig);
  std::map<TeamName, TeamPolicy> teams;
  for (const auto& [name, entry] : aConfig.teams) {
    Resources ceiling{ entry.ceiling.milliCores / regions,
                       entry.ceiling.memoryMiB / regions,
                       entry.ceiling.accelerators / regions };
    teams[name] = {
      name, entry.weight, ceiling, static_cast<std::uint32_t>(entry.maxRunningTasks / regions)
    };
  }
  // The accepted jobs of a removed team stay visible, but none of its tasks may run.
  for (const auto& [number, job] : aJobs) {
    teams.try_emplace(job.team, TeamPolicy{ job.team, 1, {}, 0 });
  }
  std::vector<TeamPolicy> list;
  for (const auto& [name, team] : teams) {
    list.push_back(team);
  }
  return list;
}

std::set<FailureDomain> DrainedDomains(const ConfigDocument& aConfig)
{
  std::set<FailureDomain> drained;
  for (const auto& [name, domain] : aConfig.failureDomains) {
    if (domain.isDrained) {
      drained.insert(name);
    }
  }
  return drained;
}

} // namespace daisydrift
