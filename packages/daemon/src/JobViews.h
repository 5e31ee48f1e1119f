#pragma once
// JSON documents about jobs and the region.

#include "RegionLeader.h"

#include <optional>
#include <string>

namespace daisydrift {

/// Returns `{"job", "team", "name", "class", "state", "tasks": {...}, "reason"}` of a job. Returns
/// nothing when the job is unknown, or when aTeam is not empty and the job belongs to another team.
std::optional<std::string> JobJson(const RegionLeader& aLeader,
                                   const std::string& aRegion,
                                   JobNumber aJob,
                                   const TeamName& aTeam);

/// Returns `{"jobs": [...]}` with the jobs of one team, or of all teams when aTeam is empty.
std::string JobListJson(const RegionLeader& aLeader,
                        const std::string& aRegion,
                        const TeamName& aTeam);

/// Returns `{"job", "code", "message", "advice"}`: why a job is in its state. Returns nothing when
/// the job is unknown, or when aTeam is not empty and the job belongs to another team.
std::optional<std::string> ExplainJson(const RegionLeader& aLeader,
                                       const std::string& aRegion,
                                       JobNumber aJob,
                                       const TeamName& aTeam,
                                       TimePoint aNow);

/// Returns `{"waiting": [{"job", "team", "class", "tasks_waiting", "code", "message"}]}` with all
/// jobs that have waiting tasks.
std::string QueueJson(const RegionLeader& aLeader, const std::string& aRegion, TimePoint aNow);

/// Returns the state of the region for operators: epoch, workers, teams with their shares, and
/// failure domains with the number of tasks assigned in each.
std::string RegionJson(const RegionLeader& aLeader, const ConfigDocument& aConfig, TimePoint aNow);

/// Returns the numbers of the unfinished jobs of aTeam (empty: any team) that are named aName
/// (empty: any name).
std::vector<JobNumber> SelectJobs(const RegionLeader& aLeader,
                                  const TeamName& aTeam,
                                  const std::string& aName);

} // namespace daisydrift
