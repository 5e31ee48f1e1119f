#include "FleetState.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace daisydrift::dispatch {

FleetState::FleetState(const DispatchSettings& aSettings)
  : settings(aSettings)
  , headroom(aSettings.headroom)
{
}

FleetState::~FleetState() = default;

Team& FleetState::EnsureTeam(const TeamName& aName)
{
  auto [found, isNew] = this->teams.try_emplace(aName);
  if (isNew) {
    found->second.rules.name = aName;
  }
  return found->second;
}

const QueuePolicy* FleetState::EnsureQueue(const QueueName& aName)
{
  auto [found, isNew] = this->queues.try_emplace(aName);
  if (isNew) {
    found->second.name = aName;
    found->second.maxAttempts = std::numeric_limits<std::uint32_t>::max();
  }
  return &found->second;
}

bool FleetState::AdoptRules(const QueuePolicy& aRules)
{
  auto [known, isNew] = this->queues.try_emplace(aRules.name, aRules);
  if (isNew) {
    return false;
  }
  bool hadRules = HasRules(known->second);
  if (!hadRules || aRules.version >= known->second.version) {
    known->second = aRules;
  }
  return !hadRules;
}

Worker& FleetState::EnsureWorker(const WorkerId& aId)
{
  std::unique_ptr<Worker>& worker = this->workers[aId];
  if (!worker) {
    worker = std::make_unique<Worker>();
    worker->listing.id = aId;
    worker->number = static_cast<std::uint32_t>(this->workersByNumber.size());
    this->workersByNumber.push_back(worker.get());
    if (auto removed = this->restartsOfRemovedWorkers.extract(aId)) {
      worker->restarts = removed.mapped();
    }
  }
  return *worker;
}

Worker* FleetState::FindWorker(const WorkerId& aId)
{
  auto found = this->workers.find(aId);
  return found == this->workers.end() ? nullptr : found->second.get();
}

std::uint32_t FleetState::CountRestarts(const WorkerId& aWorker) const
{
  auto worker = this->workers.find(aWorker);
  if (worker != this->workers.end()) {
    return worker->second->restarts;
  }
  auto removed = this->restartsOfRemovedWorkers.find(aWorker);
  return removed == this->restartsOfRemovedWorkers.end() ? 0 : removed->second;
}

Job* FleetState::FindJob(const JobId& aId)
{
  auto found = this->jobs.find(aId);
  return found == this->jobs.end() ? nullptr : found->second.get();
}

Step* FleetState::FindStep(const StepName& aName)
{
  Job* job = this->FindJob(aName.job);
  if (job == nullptr || aName.step >= job->definition.steps.size() ||
      aName.occurrence < job->firstOccurrence || aName.occurrence >= job->startedOccurrences) {
    return nullptr;
  }
  return &job->StepAt(aName.occurrence, aName.step);
}

Attempt* FleetState::FindAttempt(AttemptKey aKey)
{
  auto found = this->attempts.find(aKey);
  return found == this->attempts.end() ? nullptr : found->second.get();
}

Attempt* FleetState::FindAttempt(const Worker& aWorker, const TaskName& aTask, RunNumber aRun)
{
  Step* step = this->FindStep({ aTask.job, aTask.occurrence, aTask.step });
  if (step == nullptr || aTask.index >= step->tasks.size()) {
    return nullptr;
  }
  const Task& task = step->tasks[aTask.index];
  for (Attempt* attempt : { task.attempt, task.copy }) {
    if (attempt != nullptr && attempt->worker == &aWorker && attempt->run == aRun) {
      return attempt;
    }
  }
  return nullptr;
}

void FleetState::AddOccurrence(Job& aJob, std::uint32_t aOccurrence)
{
  assert(aOccurrence == aJob.startedOccurrences);
  ++aJob.startedOccurrences;
  for (std::uint32_t number = 0; number < aJob.definition.steps.size(); ++number) {
    auto step = std::make_unique<Step>();
    step->job = &aJob;
    step->spec = &aJob.definition.steps[number];
    step->occurrence = aOccurrence;
    step->number = number;
    step->tasks.resize(step->spec->taskCount);
    step->isFinite =
      !step->spec->isService && std::all_of(step->spec->dependencies.begin(),
                                            step->spec->dependencies.end(),
                                            [&](std::uint32_t aEarlier) {
                                              return aJob.StepAt(aOccurrence, aEarlier).isFinite;
                                            });
    aJob.steps.push_back(std::move(step));
  }
  aJob.openTasks.push_back(aJob.finiteTasks);
  aJob.openOccurrences += aJob.finiteTasks > 0 ? 1 : 0;
}

Resources FleetState::CommittedResources(const StepSpec& aSpec)
{
  Resources committed = aSpec.size;
  if (aSpec.usesSpareCores) {
    committed.milliCores = 0;
  }
  return committed;
}

bool FleetState::CanAddAttempt(const Step& aStep, std::uint32_t aIndex, const Worker& aWorker)
{
  const Task& task = aStep.tasks[aIndex];
  return task.attempt == nullptr ||
         (aStep.CanHaveCopies() && task.copy == nullptr && task.attempt->worker != &aWorker);
}

RunTime FleetState::ExpectedRunTime(const Step& aStep) const
{
  const JobDefinition& definition = aStep.job->definition;
  return this->runTimes.Expected(
    definition.queue, definition.team, aStep.spec->image, aStep.spec->estimate);
}

Attempt& FleetState::AddAttempt(Step& aStep,
                                std::uint32_t aIndex,
                                Worker& aWorker,
                                RunNumber aRun,
                                TimePoint aNow)
{
  Task& task = aStep.tasks[aIndex];
  assert(!task.hasSucceeded && CanAddAttempt(aStep, aIndex, aWorker));
  auto attempt = std::make_unique<Attempt>();
  attempt->key = this->nextKey++;
  attempt->step = &aStep;
  attempt->index = aIndex;
  attempt->run = aRun;
  attempt->worker = &aWorker;
  attempt->decidedAt = aNow;
  attempt->progressChangedAt = aNow;
  if (task.attempt == nullptr) {
    task.attempt = attempt.get();
    ++aStep.active;
  } else {
    task.copy = attempt.get();
    task.hadCopy = true;
    ++this->runningCopies;
  }
  ++aStep.runs;
  MarkPartChanged(aStep, aIndex);
  task.lastRun = std::max(task.lastRun, aRun);
  ++aStep.tasksByWorker[&aWorker];
  aWorker.committed += CommittedResources(*aStep.spec);
  if (aStep.spec->usesSpareCores) {
    aWorker.requestedSpareMilliCores += aStep.spec->size.milliCores;
  }
  if (aStep.job->team != nullptr) {
    aStep.job->team->running += aStep.spec->size;
  }
  aWorker.attempts.push_back(*attempt);
  Attempt& added = *attempt;
  this->attempts.emplace(added.key, std::move(attempt));
  return added;
}

void FleetState::RemoveAttempt(Attempt& aAttempt)
{
  Step& step = *aAttempt.step;
  Task& task = step.tasks[aAttempt.index];
  assert(task.attempt == &aAttempt || task.copy == &aAttempt);
  if (task.attempt == &aAttempt) {
    task.attempt = task.copy;
  }
  this->runningCopies -= task.copy != nullptr ? 1 : 0;
  task.copy = nullptr;
  MarkPartChanged(step, aAttempt.index);
  task.lastCompletedRun = std::max(task.lastCompletedRun, aAttempt.run);
  --step.runs;
  if (task.attempt == nullptr && !task.hasSucceeded) {
    --step.active;
  }
  auto count = step.tasksByWorker.find(aAttempt.worker);
  if (--count->second == 0) {
    step.tasksByWorker.erase(count);
  }
  aAttempt.worker->committed -= CommittedResources(*step.spec);
  if (step.spec->usesSpareCores) {
    aAttempt.worker->requestedSpareMilliCores -= step.spec->size.milliCores;
  }
  if (step.job->team != nullptr) {
    step.job->team->running -= step.spec->size;
  }
  this->attempts.erase(aAttempt.key);
}

void FleetState::MarkSucceeded(Step& aStep, std::uint32_t aIndex)
{
  Task& task = aStep.tasks[aIndex];
  assert(task.attempt == nullptr || aStep.CanHaveCopies());
  if (!task.hasSucceeded) {
    task.hasSucceeded = true;
    ++aStep.succeeded;
    if (task.attempt != nullptr) {
      --aStep.active;
    }
    MarkPartChanged(aStep, aIndex);
    Job& job = *aStep.job;
    if (aStep.isFinite && --job.openTasks[aStep.occurrence - job.firstOccurrence] == 0) {
      --job.openOccurrences;
    }
  }
}

void FleetState::MarkPartChanged(Step& aStep, std::uint32_t aIndex)
{
  Job& job = *aStep.job;
  if (job.layout.IsLarge()) {
    job.changedParts.insert(job.layout.PartOf(aStep.occurrence, aStep.number, aIndex));
  }
}

void FleetState::MarkChanged(Job& aJob)
{
  if (!aJob.isDirty) {
    aJob.isDirty = true;
    this->changedJobs.push_back(aJob.definition.id);
  }
}

void FleetState::UpdateReadySteps(Job& aJob, std::uint32_t aOccurrence)
{
  for (std::uint32_t number = 0; number < aJob.definition.steps.size(); ++number) {
    Step& step = aJob.StepAt(aOccurrence, number);
    if (step.isReady) {
      continue;
    }
    step.isReady = std::all_of(
      step.spec->dependencies.begin(), step.spec->dependencies.end(), [&](std::uint32_t aEarlier) {
        return aJob.StepAt(aOccurrence, aEarlier).IsDone();
      });
  }
}

void FleetState::RetireOccurrences(Job& aJob)
{
  std::uint32_t count = aJob.layout.IsLarge() ? aJob.layout.OccurrencesPerPart() : 1;
  std::size_t steps = count * aJob.definition.steps.size();
  while (aJob.definition.occurrences > 0 && aJob.steps.size() >= steps &&
         std::all_of(aJob.steps.begin(),
                     aJob.steps.begin() + static_cast<std::ptrdiff_t>(steps),
                     [](const auto& aStep) { return aStep->IsDone() && aStep->runs == 0; })) {
    aJob.steps.erase(aJob.steps.begin(), aJob.steps.begin() + static_cast<std::ptrdiff_t>(steps));
    aJob.openTasks.erase(aJob.openTasks.begin(), aJob.openTasks.begin() + count);
    aJob.firstOccurrence += count;
    aJob.changedParts.erase(
      aJob.changedParts.begin(),
      aJob.changedParts.lower_bound(aJob.layout.FirstPartOf(aJob.firstOccurrence)));
  }
}

void FleetState::Finish(Job& aJob, DispatchState aState, WallTime aWall)
{
  aJob.state = aState;
  aJob.finishedAt = aWall;
  this->MarkChanged(aJob);
}

Worker* FleetState::FindWorker(std::uint32_t aNumber)
{
  return aNumber < this->workersByNumber.size() ? this->workersByNumber[aNumber] : nullptr;
}

void FleetState::RemoveUnlistedWorkers()
{
  for (auto entry = this->workers.begin(); entry != this->workers.end();) {
    Worker& worker = *entry->second;
    if (worker.isListed || !worker.attempts.empty()) {
      ++entry;
      continue;
    }
    this->workersByNumber[worker.number] = nullptr;
    if (worker.hasReported) {
      // It may restart before it is listed again, while it is not polled.
      this->restartsOfRemovedWorkers[entry->first] = worker.restarts + 1;
    }
    entry = this->workers.erase(entry);
  }
}

void FleetState::RemoveJob(const JobId& aId)
{
  auto found = this->jobs.find(aId);
  if (found == this->jobs.end()) {
    return;
  }
  for (const std::unique_ptr<Step>& step : found->second->steps) {
    for (Task& task : step->tasks) {
      while (task.attempt != nullptr) {
        this->RemoveAttempt(*task.attempt);
      }
    }
  }
  this->openJobs.erase(found->second.get());
  this->jobs.erase(found);
}

bool FleetState::FitsCeiling(const Team& aTeam, const Resources& aSize, std::int64_t aCount)
{
  const Resources& ceiling = aTeam.rules.ceiling;
  auto fits = [aCount](std::int64_t aRunning, std::int64_t aMore, std::int64_t aLimit) {
    return aLimit == 0 || aRunning + aMore * aCount <= aLimit;
  };
  return fits(aTeam.running.milliCores, aSize.milliCores, ceiling.milliCores) &&
         fits(aTeam.running.memoryMiB, aSize.memoryMiB, ceiling.memoryMiB) &&
         fits(aTeam.running.accelerators, aSize.accelerators, ceiling.accelerators);
}

} // namespace daisydrift::dispatch
