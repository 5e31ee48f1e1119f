// Export of job progress for storage, and its recovery after a change of leader.

#include "DispatcherImpl.h"

#include <algorithm>
#include <set>
#include <utility>

namespace daisydrift {

using dispatch::Attempt;
using dispatch::AttemptState;
using dispatch::FleetState;
using dispatch::Job;
using dispatch::ProgressLayout;
using dispatch::Step;
using dispatch::Task;
using dispatch::Worker;

namespace {
/// Longer checkpoints are not stored, so that a record has a bounded size; a task whose leader
/// changes then starts from the beginning.
constexpr std::size_t kMaxStoredCheckpointBytes = 512;
/// Most tasks of a job that records can bring back, beside those of its first occurrence. Only a
/// record that this program has not written names more, and they would not fit into memory.
constexpr std::uint64_t kMaxRestoredTasks = 1 << 20;

void AddCheckpoint(StepProgress& aPart, std::uint32_t aIndex, const std::string& aCheckpoint)
{
  if (!aCheckpoint.empty() && aCheckpoint.size() <= kMaxStoredCheckpointBytes) {
    aPart.checkpoints[aIndex] = aCheckpoint;
  }
}

void AddOpenRuns(StepProgress& aPart, const Task& aTask)
{
  for (const Attempt* attempt : { aTask.attempt, aTask.copy }) {
    if (attempt != nullptr) {
      aPart.open.push_back(
        { attempt->index, attempt->run, attempt->worker->listing.id, attempt->longLeaseUntil });
    }
  }
}

/// Adds the progress of the task to that of its step.
void AddTask(StepProgress& aPart, const Step& aStep, std::uint32_t aIndex)
{
  const Task& task = aStep.tasks[aIndex];
  if (task.hasSucceeded || task.hasEarlierSuccess) {
    aPart.succeeded.push_back(aIndex);
    AddOpenRuns(aPart, task);
    return;
  }
  if (task.failures.Count() > 0) {
    aPart.failures[aIndex] = task.failures.Count();
    aPart.failedRuns[aIndex] = task.failures.Runs();
  }
  if (task.lastCompletedRun > 0) {
    aPart.lastCompletedRuns[aIndex] = task.lastCompletedRun;
  }
  AddCheckpoint(aPart, aIndex, task.checkpoint);
  AddOpenRuns(aPart, task);
}

StepProgress WithoutTasks(const Step& aStep)
{
  StepProgress part;
  part.occurrence = aStep.occurrence;
  part.step = aStep.number;
  return part;
}

bool IsEmpty(const StepProgress& aPart)
{
  return !aPart.isDone && aPart.succeeded.empty() && aPart.failures.empty() &&
         aPart.lastCompletedRuns.empty() && aPart.checkpoints.empty() && aPart.open.empty();
}

/// Progress of all steps.
std::vector<StepProgress> StepsOf(const Job& aJob)
{
  std::vector<StepProgress> steps;
  for (const auto& step : aJob.steps) {
    StepProgress part = WithoutTasks(*step);
    for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
      AddTask(part, *step, index);
    }
    if (step->spec->isGang) {
      AddCheckpoint(part, 0, step->gangCheckpoint);
    }
    if (!IsEmpty(part)) {
      steps.push_back(std::move(part));
    }
  }
  return steps;
}

/// Progress of the steps, or of those of their tasks, that one part holds.
std::vector<StepProgress> StepsOfPart(const Job& aJob, std::uint64_t aPart)
{
  std::vector<StepProgress> steps;
  std::uint32_t first = std::max(aJob.layout.FirstOccurrenceOf(aPart), aJob.firstOccurrence);
  std::uint32_t end =
    std::min(aJob.layout.FirstOccurrenceOf(aPart) + aJob.layout.OccurrencesPerPart(),
             aJob.startedOccurrences);
  for (std::uint32_t occurrence = first; occurrence < end; ++occurrence) {
    for (std::uint32_t number = 0; number < aJob.definition.steps.size(); ++number) {
      const Step& step = aJob.StepAt(occurrence, number);
      StepProgress part = WithoutTasks(step);
      auto [begin, last] = aJob.layout.IndicesOf(aPart, number);
      for (std::uint32_t index = begin; index < last; ++index) {
        AddTask(part, step, index);
      }
      if (begin == 0 && last > 0 && step.spec->isGang) {
        AddCheckpoint(part, 0, step.gangCheckpoint);
      }
      if (step.IsDone() && !part.succeeded.empty()) {
        part.isDone = true;
        part.succeeded.clear();
      }
      if (!IsEmpty(part)) {
        steps.push_back(std::move(part));
      }
    }
  }
  return steps;
}

JobProgress HeadOf(const Job& aJob)
{
  JobProgress progress;
  progress.state = aJob.state;
  progress.finishedAt = aJob.finishedAt;
  progress.firstOccurrence = aJob.firstOccurrence;
  progress.isDivided = aJob.layout.IsLarge();
  return progress;
}
} // namespace

std::optional<JobProgress> Dispatcher::Progress(const JobId& aJob) const
{
  Job* job = this->impl->state.FindJob(aJob);
  if (job == nullptr) {
    return std::nullopt;
  }
  JobProgress progress = HeadOf(*job);
  progress.steps = StepsOf(*job);
  return progress;
}

std::optional<ChangedProgress> Dispatcher::TakeChangedProgress(const JobId& aJob)
{
  Job* job = this->impl->state.FindJob(aJob);
  if (job == nullptr) {
    return std::nullopt;
  }
  ChangedProgress changed;
  changed.head = HeadOf(*job);
  if (!job->layout.IsLarge()) {
    changed.head.steps = StepsOf(*job);
    return changed;
  }
  changed.firstPart = job->layout.FirstPartOf(job->firstOccurrence);
  std::set<std::uint64_t> parts = std::exchange(job->changedParts, {});
  if (job->state != DispatchState::Completed) {
    for (std::uint64_t part : parts) {
      changed.parts[part] = StepsOfPart(*job, part);
    }
  }
  return changed;
}

void Dispatcher::FailJob(const JobId& aJob, TimePoint aNow, WallTime aWall)
{
  Job* job = this->impl->state.FindJob(aJob);
  if (job != nullptr && !job->IsFinished()) {
    this->impl->state.Finish(*job, DispatchState::Failed, aWall);
    this->impl->nextSweep = aNow;
  }
}

Step* Dispatcher::Impl::EnsureRestoredStep(Job& aJob, const StepProgress& aPart)
{
  if (aPart.occurrence < aJob.firstOccurrence) {
    return nullptr; // Over, by a newer part of the record.
  }
  std::uint32_t occurrences = std::max<std::uint32_t>(aJob.definition.occurrences, 1);
  std::uint64_t kept = std::uint64_t(aPart.occurrence) - aJob.firstOccurrence + 1;
  std::uint64_t tasks = kept * aJob.tasksPerOccurrence;
  bool isTooFar = aPart.occurrence > aJob.firstOccurrence && tasks > kMaxRestoredTasks;
  if (aPart.step >= aJob.definition.steps.size() || aPart.occurrence >= occurrences || isTooFar) {
    LogLine(LogLevel::Error, "progress_left_out")
      .Add("job", aJob.definition.id)
      .Add("occurrence", aPart.occurrence)
      .Add("step", aPart.step)
      .Add("first_occurrence", aJob.firstOccurrence)
      .Add("tasks", tasks);
    return nullptr;
  }
  while (aPart.occurrence >= aJob.startedOccurrences) {
    this->state.AddOccurrence(aJob, aJob.startedOccurrences);
  }
  return &aJob.StepAt(aPart.occurrence, aPart.step);
}

void Dispatcher::Impl::RestoreSuccesses(Job& aJob, const StepProgress& aPart)
{
  Step* step = this->EnsureRestoredStep(aJob, aPart);
  if (step == nullptr) {
    return;
  }
  // The success of one member of a gang implies that of the others.
  if (aPart.isDone || (step->spec->isGang && !aPart.succeeded.empty())) {
    for (Task& task : step->tasks) {
      task.hasEarlierSuccess = true;
    }
  }
  for (std::uint32_t index : aPart.succeeded) {
    if (index < step->tasks.size()) {
      step->tasks[index].hasEarlierSuccess = true;
    }
  }
}

void Dispatcher::Impl::RestoreTasks(Job& aJob, const StepProgress& aPart, TimePoint aNow)
{
  Step* step = this->EnsureRestoredStep(aJob, aPart);
  if (step == nullptr) {
    return;
  }
  std::size_t invalid = 0;
  auto valid = [step, &invalid](std::uint32_t aIndex) {
    bool isValid = aIndex < step->tasks.size();
    invalid += isValid ? 0 : 1;
    return isValid;
  };
  for (const auto& [index, failures] : aPart.failures) {
    if (valid(index)) {
      auto runs = aPart.failedRuns.find(index);
      auto lastCompletedRun = aPart.lastCompletedRuns.find(index);
      step->tasks[index].failures = dispatch::FailureCount(
        failures,
        runs == aPart.failedRuns.end() ? std::vector<RunNumber>() : runs->second,
        lastCompletedRun == aPart.lastCompletedRuns.end() ? 0 : lastCompletedRun->second);
    }
  }
  for (const auto& [index, run] : aPart.lastCompletedRuns) {
    if (valid(index)) {
      Task& task = step->tasks[index];
      task.lastCompletedRun = std::max(task.lastCompletedRun, run);
      task.lastRun = std::max(task.lastRun, run);
    }
  }
  for (const auto& [index, checkpoint] : aPart.checkpoints) {
    if (valid(index) && step->spec->isGang) {
      step->gangCheckpoint = checkpoint;
    } else if (valid(index)) {
      step->tasks[index].checkpoint = checkpoint;
    }
  }
  for (const OpenRun& run : aPart.open) {
    if (!valid(run.index)) {
      continue;
    }
    Worker& worker = this->state.EnsureWorker(run.worker);
    if (!FleetState::CanAddAttempt(*step, run.index, worker)) {
      continue;
    }
    if (worker.leaseExpiryBound == TimePoint()) {
      worker.leaseExpiryBound = this->restoredLeaseBound;
    }
    // The worker may still hold the long lease, at the longest one from the start of the term.
    Duration longLeaseLeft = run.longLeaseUntil + this->settings.maxClockSkew - this->wall;
    if (longLeaseLeft > Duration(0)) {
      TimePoint bound = std::min(aNow + longLeaseLeft, this->longestLeaseBound);
      worker.restoredLongLeaseBound = std::max(worker.restoredLongLeaseBound, bound);
      worker.leaseExpiryBound = std::max(worker.leaseExpiryBound, bound);
    }
    Attempt& attempt = this->state.AddAttempt(*step, run.index, worker, run.run, aNow);
    attempt.state = AttemptState::Restored;
    attempt.longLeaseUntil = run.longLeaseUntil;
    attempt.isStopping = step->tasks[run.index].hasEarlierSuccess;
    dispatch::InterferenceController::MarkSpeedUnknown(attempt);
  }
  if (invalid > 0) {
    LogLine(LogLevel::Error, "progress_entries_left_out")
      .Add("job", aJob.definition.id)
      .Add("occurrence", aPart.occurrence)
      .Add("step", aPart.step)
      .Add("entries", invalid);
  }
}

void Dispatcher::Impl::RestoreSteps(Job& aJob,
                                    const std::vector<StepProgress>& aParts,
                                    TimePoint aNow)
{
  // Each part is true by itself, and may be older than any other: one may name open runs of tasks
  // of which another says that they have succeeded. So all successes are known first.
  for (const StepProgress& part : aParts) {
    this->RestoreSuccesses(aJob, part);
  }
  for (const StepProgress& part : aParts) {
    this->RestoreTasks(aJob, part, aNow);
  }
  for (const auto& step : aJob.steps) {
    for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
      Task& task = step->tasks[index];
      if (task.hasEarlierSuccess && (task.attempt == nullptr || step->CanHaveCopies())) {
        task.hasEarlierSuccess = false;
        FleetState::MarkSucceeded(*step, index);
      }
    }
  }
}

void Dispatcher::RestoreJob(const JobDefinition& aDefinition,
                            const JobProgress& aProgress,
                            TimePoint aNow,
                            WallTime aWall)
{
  if (this->impl->state.FindJob(aDefinition.id) != nullptr) {
    return;
  }
  this->impl->wall = aWall;
  Job& job = this->impl->InsertJob(aDefinition, aNow);
  job.state = aProgress.state;
  job.finishedAt = aProgress.finishedAt;
  job.firstOccurrence = std::min(aProgress.firstOccurrence, aDefinition.occurrences);
  job.startedOccurrences = job.firstOccurrence;
  if (!aProgress.isDivided && !aProgress.steps.empty()) {
    // The record of an earlier version, which knew no parts. They can't replace it, since they
    // would not be stored together.
    job.layout = ProgressLayout();
  }
  // The latency objective counts from when the job was accepted. The clocks of two instances may
  // differ, so a negative age counts as zero.
  auto age = std::chrono::duration_cast<Duration>(aWall - aDefinition.acceptedAt);
  job.addedAt = aNow - std::max(age, Duration(0));
  this->impl->RestoreSteps(job, aProgress.steps, aNow);
  for (std::uint32_t number = job.firstOccurrence; number < job.startedOccurrences; ++number) {
    FleetState::UpdateReadySteps(job, number);
  }
  job.changedParts.clear();
  if (job.state == DispatchState::Queued && aProgress.isDivided && !aProgress.steps.empty()) {
    // Parts are stored in no order with the head.
    job.state = DispatchState::Running;
  }
  // Likewise, the head may not say yet that the job has failed.
  this->impl->FailIfAttemptsAreUsedUp(job);
  this->impl->StartDueOccurrences(job, aWall);
  this->impl->CompleteIfDone(job);
}

} // namespace daisydrift
