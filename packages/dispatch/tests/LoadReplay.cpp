#include "LoadReplay.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace daisydrift {

using std::chrono::milliseconds;

namespace {
constexpr milliseconds kTick{ 10 };
constexpr milliseconds kEstimate{ 640 };
constexpr milliseconds kTargetLatency{ 250 };
constexpr double kStretch = 1.5;
constexpr int kNoValueFactor = 3;
constexpr double kLateValue = 0.2;
constexpr std::int64_t kTaskMilliCores = 2000;
constexpr std::int64_t kWorkerMilliCores = 32000;
constexpr int kWorkerCount = 60;
/// Run times are at least this fraction of the estimate, plus up to the spread.
constexpr double kMinRunShare = 0.7;
constexpr double kRunShareSpread = 0.6;
constexpr int kHashSteps = 1000;
} // namespace

std::vector<RecordedJob> ReadRecordedLoad(const std::string& aName)
{
  std::ifstream file(std::string(TEST_DATA_FOLDER) + "/" + aName);
  std::vector<RecordedJob> load;
  std::string line;
  while (std::getline(file, line)) {
    if (line.empty() || line[0] == '#') {
      continue;
    }
    std::istringstream fields(line);
    std::int64_t arrival = 0;
    RecordedJob job;
    fields >> arrival >> job.team;
    job.arrival = milliseconds(arrival);
    for (std::uint32_t width = 0; fields >> width;) {
      job.widths.push_back(width);
    }
    load.push_back(std::move(job));
  }
  return load;
}

double ReplayResult::MeanValue() const
{
  return (static_cast<double>(this->inTime) + kLateValue * static_cast<double>(this->late)) /
         static_cast<double>(std::max<std::size_t>(this->jobs, 1));
}

double ReplayResult::ServedShare() const
{
  return static_cast<double>(this->inTime + this->late) /
         static_cast<double>(std::max<std::size_t>(this->jobs, 1));
}

double ReplayResult::WidestJobsServedShare() const
{
  return static_cast<double>(this->widestJobsServed) /
         static_cast<double>(std::max<std::size_t>(this->widestJobs, 1));
}

LoadReplay::LoadReplay(SchedulingOrder aOrder, std::int64_t aCeilingMilliCores)
  : settings{ .order = aOrder }
  , dispatcher(this->settings, this->now)
{
  FleetPolicy policy;
  policy.queues["quick"] = { "quick", "desk", 0, 3, kStretch, kTargetLatency, {} };
  for (int team = 0; team < 20; ++team) {
    std::string name = std::to_string(team);
    policy.teams[name] = { name, 1000, { aCeilingMilliCores, 0, 0 } };
  }
  this->dispatcher.SetPolicy(policy);
  for (int number = 0; number < kWorkerCount; ++number) {
    WorkerListing listing;
    listing.id = "w" + std::to_string(100 + number);
    listing.service = "desk";
    listing.endpoint = { "10.0.0.1", 80 };
    listing.domain = "north";
    listing.labels = { "a", "r1" };
    listing.rack = "r1";
    listing.capacity = { kWorkerMilliCores, 640000, 0 };
    listing.incarnation = 1;
    this->dispatcher.ListWorker(listing);
    this->running[listing.id];
  }
}

Duration LoadReplay::RunTimeOf(const TaskName& aTask)
{
  std::size_t hash = std::hash<std::string>()(aTask.job + "." + std::to_string(aTask.step) + "." +
                                              std::to_string(aTask.index));
  double share = static_cast<double>(hash % kHashSteps) / kHashSteps;
  return std::chrono::duration_cast<Duration>(kEstimate * (kMinRunShare + kRunShareSpread * share));
}

void LoadReplay::Add(const RecordedJob& aJob)
{
  JobDefinition job;
  job.id = "job" + std::to_string(this->nextJob++);
  job.queue = "quick";
  job.team = aJob.team;
  Expectation expectation;
  expectation.arrival = this->now;
  Duration criticalPath{ 0 };
  for (std::uint32_t number = 0; number < aJob.widths.size(); ++number) {
    StepSpec step;
    step.taskCount = aJob.widths[number];
    step.size = { kTaskMilliCores, 100, 0 };
    step.estimate = kEstimate;
    if (number > 0) {
      step.dependencies = { number - 1 };
    }
    job.steps.push_back(step);
    Duration longest{ 0 };
    for (std::uint32_t index = 0; index < step.taskCount; ++index) {
      longest = std::max(longest, RunTimeOf({ job.id, 0, number, index }));
    }
    criticalPath += longest;
    expectation.tasks += step.taskCount;
  }
  expectation.latencyObjective =
    std::chrono::duration_cast<Duration>(criticalPath * kStretch) + kTargetLatency;
  this->open[job.id] = expectation;
  this->dispatcher.AddJob(job, this->now, this->wall);
}

void LoadReplay::Start()
{
  DispatchRound round = this->dispatcher.Decide(this->now, this->wall, 0);
  for (AttemptKey key : round.starts) {
    if (std::optional<StartCommand> command = this->dispatcher.TakeStartCommand(key, this->now)) {
      this->dispatcher.OnStartResult(key, StartResult::Accepted, this->now);
      this->running[command->worker].push_back({ *command, this->now + RunTimeOf(command->task) });
    }
  }
}

void LoadReplay::ReportCompletions(ReplayResult& aResult)
{
  for (auto& [id, runs] : this->running) {
    WorkerReport report;
    report.incarnation = 1;
    report.clock = this->workerClock;
    std::erase_if(runs, [&](const Running& aRun) {
      if (aRun.endsAt > this->now) {
        return false;
      }
      report.completions.push_back({ ++this->lastCompletion[id],
                                     aRun.command.task,
                                     aRun.command.run,
                                     RunOutcome::Succeeded,
                                     "" });
      return true;
    });
    for (const Running& run : runs) {
      RunningTask running;
      running.task = run.command.task;
      running.run = run.command.run;
      running.percent = static_cast<int>(run.command.attempt % 2); // Progress keeps changing.
      report.running.push_back(running);
    }
    this->dispatcher.OnReport(id, report, this->now, this->now);
    this->dispatcher.ExtendWorkerLease(id, this->now);
  }
  for (auto entry = this->open.begin(); entry != this->open.end();) {
    const Expectation& job = entry->second;
    if (this->dispatcher.State(entry->first) != DispatchState::Completed) {
      ++entry;
      continue;
    }
    Duration taken = this->now - job.arrival;
    bool isInTime = taken <= job.latencyObjective;
    bool isLate = !isInTime && taken <= job.latencyObjective * kNoValueFactor;
    aResult.inTime += isInTime ? 1 : 0;
    aResult.late += isLate ? 1 : 0;
    aResult.widestJobsServed += job.tasks >= this->widestMinTasks && (isInTime || isLate) ? 1 : 0;
    entry = this->open.erase(entry);
  }
}

ReplayResult LoadReplay::Run(const std::vector<RecordedJob>& aLoad)
{
  std::vector<std::uint32_t> sizes;
  for (const RecordedJob& job : aLoad) {
    std::uint32_t tasks = 0;
    for (std::uint32_t width : job.widths) {
      tasks += width;
    }
    sizes.push_back(tasks);
  }
  std::vector<std::uint32_t> sorted = sizes;
  std::sort(sorted.begin(), sorted.end());
  this->widestMinTasks = sorted.empty() ? 0 : sorted[sorted.size() * 9 / 10];
  ReplayResult result;
  result.jobs = aLoad.size();
  result.widestJobs =
    static_cast<std::size_t>(std::count_if(sizes.begin(), sizes.end(), [&](std::uint32_t aTasks) {
      return aTasks >= this->widestMinTasks;
    }));
  TimePoint begin = this->now;
  std::size_t next = 0;
  while (next < aLoad.size() || !this->open.empty()) {
    while (next < aLoad.size() && begin + aLoad[next].arrival <= this->now) {
      this->Add(aLoad[next++]);
    }
    this->ReportCompletions(result);
    this->Start();
    this->now += kTick;
    this->wall += kTick;
    this->workerClock += kTick;
  }
  return result;
}

} // namespace daisydrift
