#include "WorkChecks.h"

#include <algorithm>

namespace daisydrift {

namespace {

/// Region and attempt id; job numbers are unique only within a region.
std::string AttemptKey(const HistoryEvent& aEvent)
{
  return aEvent.Text("region") + "/" + aEvent.Text("attempt");
}

/// Key of the task: the attempt's key without the attempt number.
std::string TaskKey(const HistoryEvent& aEvent)
{
  std::string key = AttemptKey(aEvent);
  return key.substr(0, key.rfind('.'));
}

} // namespace

WorkChecks::WorkChecks(ReportBuilder& aBuilder)
  : builder(aBuilder)
{
}

void WorkChecks::ProcessEvent(const HistoryEvent& aEvent)
{
  const std::string& kind = aEvent.kind;
  if (kind == "worker") {
    this->OnWorker(aEvent);
  } else if (kind == "worker_gone") {
    this->OnWorkerGone(aEvent);
  } else if (kind == "task_start") {
    this->OnStart(aEvent);
  } else if (kind == "task_resized") {
    this->OnResized(aEvent);
  } else if (kind == "task_end") {
    this->OnEnd(aEvent);
  } else if (kind == "domain_drained") {
    this->drainedDomains.try_emplace(aEvent.Text("domain"), Drain{ aEvent.at, aEvent.line });
  } else if (kind == "domain_returned") {
    this->drainedDomains.erase(aEvent.Text("domain"));
  } else if (kind == "ceiling") {
    this->teams[aEvent.Text("team")].ceilings.push_back(
      { aEvent.at, aEvent.line, aEvent.Number("tasks"), aEvent.ResourceAmounts() });
  } else if (kind == "submission" && aEvent.Text("outcome") == "not_run") {
    this->refusedSubmissions[aEvent.Text("submission")] = aEvent.line;
  }
}

WorkChecks::Worker* WorkChecks::FindWorker(const HistoryEvent& aEvent)
{
  auto found = this->workers.find(aEvent.Text("worker"));
  if (found == this->workers.end()) {
    this->builder.AddContradiction(
      aEvent, "unknown_worker", "no capacity was recorded for worker " + aEvent.Text("worker"));
    return nullptr;
  }
  return &found->second;
}

void WorkChecks::OnWorker(const HistoryEvent& aEvent)
{
  Worker& worker = this->workers[aEvent.Text("worker")];
  worker.domain = aEvent.Text("failure_domain");
  worker.capacity = aEvent.ResourceAmounts();
  worker.line = aEvent.line;
  if (!worker.running.empty()) {
    this->CheckCapacity(aEvent.Text("worker"), worker, aEvent.line);
  }
}

void WorkChecks::OnWorkerGone(const HistoryEvent& aEvent)
{
  Worker* worker = this->FindWorker(aEvent);
  while (worker && !worker->running.empty()) {
    this->Remove(*worker, worker->running.begin());
  }
}

void WorkChecks::OnStart(const HistoryEvent& aEvent)
{
  Worker* worker = this->FindWorker(aEvent);
  if (!worker) {
    return;
  }
  std::string task = TaskKey(aEvent);
  this->CheckSinglePlacement(aEvent, task);
  this->CheckDomain(aEvent, *worker);
  this->taskStarts[task].push_back(
    { aEvent.line, !aEvent.Find("repeatable") || aEvent.Flag("repeatable") });
  if (aEvent.Find("submission")) {
    this->startsBySubmission[aEvent.Text("submission")].push_back(aEvent.line);
  }
  RunningTask running{ task, aEvent.Text("team"), aEvent.ResourceAmounts(), aEvent.line };
  auto [place, isNew] = worker->running.try_emplace(AttemptKey(aEvent), running);
  if (!isNew) {
    // CheckSinglePlacement has already reported that the task runs twice.
    return;
  }
  this->runningStartLines[task].push_back(aEvent.line);
  Team& team = this->teams[running.team];
  ++team.tasks;
  team.resources += running.resources;
  this->CheckCapacity(aEvent.Text("worker"), *worker, aEvent.line);
  this->CheckCeiling(running.team, team, aEvent.line);
}

void WorkChecks::OnResized(const HistoryEvent& aEvent)
{
  Worker* worker = this->FindWorker(aEvent);
  if (!worker) {
    return;
  }
  auto task = worker->running.find(AttemptKey(aEvent));
  if (task == worker->running.end()) {
    this->builder.AddContradiction(aEvent, "not_running", "the attempt does not run on the worker");
    return;
  }
  Team& team = this->teams[task->second.team];
  team.resources -= task->second.resources;
  task->second.resources = aEvent.ResourceAmounts();
  team.resources += task->second.resources;
  this->CheckCapacity(aEvent.Text("worker"), *worker, aEvent.line);
  this->CheckCeiling(task->second.team, team, aEvent.line);
}

void WorkChecks::OnEnd(const HistoryEvent& aEvent)
{
  Worker* worker = this->FindWorker(aEvent);
  if (!worker) {
    return;
  }
  auto task = worker->running.find(AttemptKey(aEvent));
  if (task == worker->running.end()) {
    this->builder.AddContradiction(aEvent, "not_running", "the attempt does not run on the worker");
    return;
  }
  this->Remove(*worker, task);
}

void WorkChecks::Remove(Worker& aWorker, std::map<std::string, RunningTask>::iterator aTask)
{
  Team& team = this->teams[aTask->second.team];
  --team.tasks;
  team.resources -= aTask->second.resources;
  auto running = this->runningStartLines.find(aTask->second.task);
  auto& lines = running->second;
  lines.erase(std::remove(lines.begin(), lines.end(), aTask->second.line), lines.end());
  if (lines.empty()) {
    this->runningStartLines.erase(running);
  }
  aWorker.running.erase(aTask);
}

void WorkChecks::CheckCapacity(const std::string& aName, const Worker& aWorker, unsigned aLine)
{
  Resources sum;
  for (const auto& [attempt, task] : aWorker.running) {
    sum += task.resources;
  }
  this->builder.RecordCheck(1,
                            sum.FitsIn(aWorker.capacity),
                            { aWorker.line, aLine },
                            "worker " + aName + " is committed beyond its capacity");
}

void WorkChecks::CheckSinglePlacement(const HistoryEvent& aEvent, const std::string& aTask)
{
  auto found = this->runningStartLines.find(aTask);
  unsigned otherLine = found == this->runningStartLines.end() ? 0 : found->second.back();
  this->builder.RecordCheck(
    2, otherLine == 0, { otherLine, aEvent.line }, "task " + aTask + " starts while it still runs");
}

void WorkChecks::CheckDomain(const HistoryEvent& aEvent, const Worker& aWorker)
{
  auto drain = this->drainedDomains.find(aWorker.domain);
  bool isLate = drain != this->drainedDomains.end() &&
                aEvent.at > drain->second.at + this->builder.tolerances.drainedDomain;
  this->builder.RecordCheck(5,
                            !isLate,
                            { isLate ? drain->second.line : 0, aEvent.line },
                            "a task starts in the drained failure domain " + aWorker.domain);
}

void WorkChecks::CheckCeiling(const std::string& aName, Team& aTeam, unsigned aLine)
{
  if (aTeam.ceilings.empty()) {
    return;
  }
  bool isAllowed = false;
  for (std::size_t i = aTeam.firstActiveCeiling; i < aTeam.ceilings.size(); ++i) {
    const Ceiling& ceiling = aTeam.ceilings[i];
    isAllowed =
      isAllowed || (aTeam.tasks <= ceiling.tasks && aTeam.resources.FitsIn(ceiling.resources));
  }
  this->builder.RecordCheck(
    4, isAllowed, { aTeam.ceilings.back().line, aLine }, "team " + aName + " exceeds its ceiling");
}

void WorkChecks::AdvanceTo(Duration aTime)
{
  for (auto& [name, team] : this->teams) {
    while (team.firstActiveCeiling + 1 < team.ceilings.size() &&
           team.ceilings[team.firstActiveCeiling + 1].at + this->builder.tolerances.configuration <
             aTime) {
      ++team.firstActiveCeiling;
      this->CheckCeiling(name, team, team.ceilings[team.firstActiveCeiling].line);
    }
  }
}

void WorkChecks::Finish()
{
  for (const auto& [submission, line] : this->refusedSubmissions) {
    auto started = this->startsBySubmission.find(submission);
    bool neverRan = started == this->startsBySubmission.end();
    this->builder.RecordCheck(7,
                              neverRan,
                              { line, neverRan ? 0 : started->second.front() },
                              "submission " + submission + " was refused as not run, but ran");
  }
  for (const auto& [task, starts] : this->taskStarts) {
    bool isRepeatable = std::all_of(
      starts.begin(), starts.end(), [](const TaskStart& aStart) { return aStart.isRepeatable; });
    if (isRepeatable) {
      continue;
    }
    std::vector<unsigned> lines;
    for (const TaskStart& start : starts) {
      lines.push_back(start.line);
    }
    this->builder.RecordCheck(
      8, starts.size() == 1, lines, "task " + task + " is not repeatable and started again");
  }
}

} // namespace daisydrift
