#include "WorkChecks.h"

#include <algorithm>

namespace daisydrift {

namespace {

std::string AttemptKey(const HistoryEvent& aEvent)
{
  return aEvent.Text("region") + "/" + aEvent.Text("attempt");
}

/// The attempt without its last number. Job numbers are unique within a region only.
std::string TaskKey(const HistoryEvent& aEvent)
{
  std::string key = AttemptKey(aEvent);
  return key.substr(0, key.rfind('.'));
}

} // namespace

WorkChecks::WorkChecks(Verdicts& aVerdicts)
  : verdicts(aVerdicts)
{
}

void WorkChecks::Take(const HistoryEvent& aEvent)
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
    this->drained.try_emplace(aEvent.Text("domain"), Drain{ aEvent.at, aEvent.line });
  } else if (kind == "domain_returned") {
    this->drained.erase(aEvent.Text("domain"));
  } else if (kind == "ceiling") {
    this->teams[aEvent.Text("team")].ceilings.push_back(
      { aEvent.at, aEvent.line, aEvent.Number("tasks"), aEvent.Amounts() });
  } else if (kind == "submission" && aEvent.Text("outcome") == "not_run") {
    this->refusals[aEvent.Text("submission")] = aEvent.line;
  }
}

WorkChecks::Worker* WorkChecks::WorkerOf(const HistoryEvent& aEvent)
{
  auto found = this->workers.find(aEvent.Text("worker"));
  if (found == this->workers.end()) {
    this->verdicts.Contradiction(
      aEvent, "unknown_worker", "no capacity was recorded for worker " + aEvent.Text("worker"));
    return nullptr;
  }
  return &found->second;
}

void WorkChecks::OnWorker(const HistoryEvent& aEvent)
{
  Worker& worker = this->workers[aEvent.Text("worker")];
  worker.domain = aEvent.Text("failure_domain");
  worker.capacity = aEvent.Amounts();
  worker.line = aEvent.line;
  if (!worker.running.empty()) {
    this->CheckCapacity(aEvent.Text("worker"), worker, aEvent.line);
  }
}

void WorkChecks::OnWorkerGone(const HistoryEvent& aEvent)
{
  Worker* worker = this->WorkerOf(aEvent);
  while (worker && !worker->running.empty()) {
    this->Remove(*worker, worker->running.begin());
  }
}

void WorkChecks::OnStart(const HistoryEvent& aEvent)
{
  Worker* worker = this->WorkerOf(aEvent);
  if (!worker) {
    return;
  }
  std::string task = TaskKey(aEvent);
  this->CheckPlaces(aEvent, task);
  this->CheckDomain(aEvent, *worker);
  this->starts[task].push_back(
    { aEvent.line, !aEvent.Find("repeatable") || aEvent.Flag("repeatable") });
  if (aEvent.Find("submission")) {
    this->startsBySubmission[aEvent.Text("submission")].push_back(aEvent.line);
  }
  RunningTask running{ task, aEvent.Text("team"), aEvent.Amounts(), aEvent.line };
  auto [place, isNew] = worker->running.try_emplace(AttemptKey(aEvent), running);
  if (!isNew) {
    // Already reported by CheckPlaces as running twice.
    return;
  }
  this->open[task].push_back(aEvent.line);
  Team& team = this->teams[running.team];
  ++team.tasks;
  team.amounts += running.amounts;
  this->CheckCapacity(aEvent.Text("worker"), *worker, aEvent.line);
  this->CheckCeiling(running.team, team, aEvent.line);
}

void WorkChecks::OnResized(const HistoryEvent& aEvent)
{
  Worker* worker = this->WorkerOf(aEvent);
  if (!worker) {
    return;
  }
  auto task = worker->running.find(AttemptKey(aEvent));
  if (task == worker->running.end()) {
    this->verdicts.Contradiction(aEvent, "not_running", "the attempt does not run on the worker");
    return;
  }
  Team& team = this->teams[task->second.team];
  team.amounts -= task->second.amounts;
  task->second.amounts = aEvent.Amounts();
  team.amounts += task->second.amounts;
  this->CheckCapacity(aEvent.Text("worker"), *worker, aEvent.line);
  this->CheckCeiling(task->second.team, team, aEvent.line);
}

void WorkChecks::OnEnd(const HistoryEvent& aEvent)
{
  Worker* worker = this->WorkerOf(aEvent);
  if (!worker) {
    return;
  }
  auto task = worker->running.find(AttemptKey(aEvent));
  if (task == worker->running.end()) {
    this->verdicts.Contradiction(aEvent, "not_running", "the attempt does not run on the worker");
    return;
  }
  this->Remove(*worker, task);
}

void WorkChecks::Remove(Worker& aWorker, std::map<std::string, RunningTask>::iterator aTask)
{
  Team& team = this->teams[aTask->second.team];
  --team.tasks;
  team.amounts -= aTask->second.amounts;
  auto places = this->open.find(aTask->second.task);
  auto& lines = places->second;
  lines.erase(std::remove(lines.begin(), lines.end(), aTask->second.line), lines.end());
  if (lines.empty()) {
    this->open.erase(places);
  }
  aWorker.running.erase(aTask);
}

void WorkChecks::CheckCapacity(const std::string& aName, const Worker& aWorker, unsigned aLine)
{
  Resources sum;
  for (const auto& [attempt, task] : aWorker.running) {
    sum += task.amounts;
  }
  this->verdicts.Check(1,
                       sum.FitsIn(aWorker.capacity),
                       { aWorker.line, aLine },
                       "worker " + aName + " is committed beyond its capacity");
}

void WorkChecks::CheckPlaces(const HistoryEvent& aEvent, const std::string& aTask)
{
  auto found = this->open.find(aTask);
  unsigned otherLine = found == this->open.end() ? 0 : found->second.back();
  this->verdicts.Check(
    2, otherLine == 0, { otherLine, aEvent.line }, "task " + aTask + " starts while it still runs");
}

void WorkChecks::CheckDomain(const HistoryEvent& aEvent, const Worker& aWorker)
{
  auto drain = this->drained.find(aWorker.domain);
  bool isLate = drain != this->drained.end() &&
                aEvent.at > drain->second.at + this->verdicts.tolerances.drainedDomain;
  this->verdicts.Check(5,
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
  for (std::size_t i = aTeam.current; i < aTeam.ceilings.size(); ++i) {
    const Ceiling& ceiling = aTeam.ceilings[i];
    isAllowed =
      isAllowed || (aTeam.tasks <= ceiling.tasks && aTeam.amounts.FitsIn(ceiling.amounts));
  }
  this->verdicts.Check(4,
                       isAllowed,
                       { aTeam.ceilings.back().line, aLine },
                       "team " + aName + " has more running than its ceiling");
}

void WorkChecks::AdvanceTo(Duration aTime)
{
  for (auto& [name, team] : this->teams) {
    while (team.current + 1 < team.ceilings.size() &&
           team.ceilings[team.current + 1].at + this->verdicts.tolerances.configuration < aTime) {
      ++team.current;
      this->CheckCeiling(name, team, team.ceilings[team.current].line);
    }
  }
}

void WorkChecks::Finish()
{
  for (const auto& [submission, line] : this->refusals) {
    auto started = this->startsBySubmission.find(submission);
    bool isTrue = started == this->startsBySubmission.end();
    this->verdicts.Check(7,
                         isTrue,
                         { line, isTrue ? 0 : started->second.front() },
                         "submission " + submission + " was refused as not run, but ran");
  }
  for (const auto& [task, starts] : this->starts) {
    bool isRepeatable = std::all_of(
      starts.begin(), starts.end(), [](const TaskStart& aStart) { return aStart.isRepeatable; });
    if (isRepeatable) {
      continue;
    }
    std::vector<unsigned> lines;
    for (const TaskStart& start : starts) {
      lines.push_back(start.line);
    }
    this->verdicts.Check(
      8, starts.size() == 1, lines, "task " + task + " is not repeatable and started again");
  }
}

} // namespace daisydrift
