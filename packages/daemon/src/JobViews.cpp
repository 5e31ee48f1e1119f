#include "JobViews.h"

#include <nlohmann/json.hpp>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxListedJobs = 10'000;

Json ToJson(const JobStatus& aStatus, const std::string& aRegion)
{
  return { { "job", FormatJobId(aRegion, aStatus.job) },
           { "team", aStatus.team },
           { "name", aStatus.name },
           { "class", NameOf(aStatus.workClass) },
           { "state", NameOf(aStatus.state) },
           { "tasks",
             { { "waiting", aStatus.tasksWaiting },
               { "running", aStatus.tasksRunning },
               { "succeeded", aStatus.tasksSucceeded },
               { "failed", aStatus.tasksFailed } } },
           { "reason", aStatus.reason } };
}

/// Status of a job that finished under an earlier leader, from its durable record. Returns nothing
/// when the job has not finished or its specification can't be parsed.
std::optional<JobStatus> StatusFromRecord(const JobRecord& aRecord)
{
  Findings findings;
  std::optional<JobSubmission> submission = ParseJobSubmission(aRecord.specification, findings);
  if (!submission || !aRecord.isFinished) {
    return std::nullopt;
  }
  JobStatus status;
  status.job = aRecord.number;
  status.team = aRecord.team;
  status.name = submission->spec.name;
  status.workClass = submission->spec.workClass;
  status.state = static_cast<JobState>(aRecord.finalState);
  status.reason = aRecord.reason;
  for (const TaskRecord& task : aRecord.tasks) {
    ++(task.Succeeded() ? status.tasksSucceeded : status.tasksFailed);
  }
  return status;
}

std::optional<JobStatus> FindStatus(const RegionLeader& aLeader,
                                    JobNumber aJob,
                                    const TeamName& aTeam)
{
  std::optional<JobStatus> status = aLeader.GetScheduler().Status(aJob);
  if (!status) {
    const JobRecord* record = aLeader.Commits().State().FindJob(aJob);
    if (record != nullptr) {
      status = StatusFromRecord(*record);
    }
  }
  if (status && !aTeam.empty() && status->team != aTeam) {
    return std::nullopt;
  }
  return status;
}

std::string Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json ToJson(const Resources& aResources)
{
  return { { "milli_cores", aResources.milliCores },
           { "memory_mib", aResources.memoryMiB },
           { "accelerators", aResources.accelerators } };
}

} // namespace

std::optional<std::string> JobJson(const RegionLeader& aLeader,
                                   const std::string& aRegion,
                                   JobNumber aJob,
                                   const TeamName& aTeam)
{
  std::optional<JobStatus> status = FindStatus(aLeader, aJob, aTeam);
  if (!status) {
    return std::nullopt;
  }
  return Dump(ToJson(*status, aRegion));
}

std::string JobListJson(const RegionLeader& aLeader,
                        const std::string& aRegion,
                        const TeamName& aTeam)
{
  Json list = Json::array();
  for (const auto& [number, record] : aLeader.Commits().State().Jobs()) {
    std::optional<JobStatus> status = FindStatus(aLeader, number, aTeam);
    if (status && list.size() < kMaxListedJobs) {
      list.push_back(ToJson(*status, aRegion));
    }
  }
  return Dump({ { "jobs", list } });
}

std::optional<std::string> ExplainJson(const RegionLeader& aLeader,
                                       const std::string& aRegion,
                                       JobNumber aJob,
                                       const TeamName& aTeam,
                                       TimePoint aNow)
{
  std::optional<JobStatus> status = FindStatus(aLeader, aJob, aTeam);
  if (!status) {
    return std::nullopt;
  }
  Explanation explanation{ NameOf(status->state), status->reason, "" };
  if (std::optional<Explanation> waiting = aLeader.GetScheduler().Explain(aJob, aNow)) {
    explanation = *waiting;
  }
  return Dump({ { "job", FormatJobId(aRegion, aJob) },
                { "code", explanation.code },
                { "message", explanation.message },
                { "advice", explanation.advice } });
}

std::string QueueJson(const RegionLeader& aLeader, const std::string& aRegion, TimePoint aNow)
{
  Json list = Json::array();
  for (const JobStatus& status : aLeader.GetScheduler().Jobs()) {
    if (status.tasksWaiting == 0 || list.size() >= kMaxListedJobs) {
      continue;
    }
    std::optional<Explanation> explanation = aLeader.GetScheduler().Explain(status.job, aNow);
    list.push_back({ { "job", FormatJobId(aRegion, status.job) },
                     { "team", status.team },
                     { "class", NameOf(status.workClass) },
                     { "tasks_waiting", status.tasksWaiting },
                     { "code", explanation ? explanation->code : "" },
                     { "message", explanation ? explanation->message : "" } });
  }
  return Dump({ { "waiting", list } });
}

std::string RegionJson(const RegionLeader& aLeader, const ConfigDocument& aConfig, TimePoint aNow)
{
  Json teams = Json::array();
  for (const TeamUsage& team : aLeader.GetScheduler().Teams(aNow)) {
    teams.push_back({ { "team", team.team },
                      { "weight", team.weight },
                      { "running", ToJson(team.running) },
                      { "tasks_running", team.tasksRunning },
                      { "tasks_waiting", team.tasksWaiting },
                      { "dominant_share", team.dominantShare },
                      { "fair_share", team.fairShare } });
  }
  Json domains = Json::array();
  for (const auto& [name, domain] : aConfig.failureDomains) {
    domains.push_back({ { "name", name },
                        { "region", domain.region },
                        { "drained", domain.isDrained },
                        { "tasks_assigned", aLeader.CountAssignedAttempts(name) } });
  }
  return Dump({ { "epoch", aLeader.LeaderEpoch() },
                { "workers", aLeader.WorkerCount() },
                { "workers_reporting", aLeader.ReportingWorkerCount() },
                { "starts", aLeader.StartCount() },
                { "journal_records", aLeader.Commits().RecordCount() },
                { "teams", teams },
                { "failure_domains", domains } });
}

std::vector<JobNumber> SelectJobs(const RegionLeader& aLeader,
                                  const TeamName& aTeam,
                                  const std::string& aName)
{
  std::vector<JobNumber> selected;
  for (const JobStatus& status : aLeader.GetScheduler().Jobs()) {
    bool isOpen = status.state == JobState::Waiting || status.state == JobState::Running;
    bool matches =
      (aTeam.empty() || status.team == aTeam) && (aName.empty() || status.name == aName);
    if (isOpen && matches) {
      selected.push_back(status.job);
    }
  }
  return selected;
}

} // namespace daisydrift
