#pragma once
// JSON answers about jobs.

#include "RegionLeader.h"

#include <optional>
#include <string>

namespace daisydrift {

/// `{"job", "team", "name", "class", "state", "tasks": {...}, "reason"}` of a job, or nothing when
/// it is unknown or, with a team given, not that team's.
std::optional<std::string> JobJson(const RegionLeader& aLeader,
                                   const std::string& aRegion,
                                   JobNumber aJob,
                                   const TeamName& aTeam);

/// `{"jobs": [...]}` of one team, or of all teams when aTeam is empty.
std::string JobListJson(const RegionLeader& aLeader,
                        const std::string& aRegion,
                        const TeamName& aTeam);

/// `{"job", "code", "message", "advice"}`, or nothing when the job is unknown or not the team's.
std::optional<std::string> ExplainJson(const RegionLeader& aLeader,
                                       const std::string& aRegion,
                                       JobNumber aJob,
                                       const TeamName& aTeam,
                                       TimePoint aNow);

/// `{"waiting": [{"job", "team", "class", "code", "message"}]}` of all jobs with waiting tasks.
std::string QueueJson(const RegionLeader& aLeader, const std::string& aRegion, TimePoint aNow);

/// State of the region for operators: teams with shares, workers, epoch, work left in drained
/// failure domains.
std::string RegionJson(const RegionLeader& aLeader, const ConfigDocument& aConfig, TimePoint aNow);

/// Numbers of the unfinished jobs of aTeam (empty: any) with aName (empty: any).
std::vector<JobNumber> SelectJobs(const RegionLeader& aLeader,
                                  const TeamName& aTeam,
                                  const std::string& aName);

} // namespace daisydrift
