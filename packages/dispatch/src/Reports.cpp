// Processing of worker reports: ended and running tasks, and restarts of workers.

#include "DispatcherImpl.h"

#include <algorithm>
#include <set>

namespace daisydrift {

using dispatch::Attempt;
using dispatch::AttemptState;
using dispatch::FleetState;
using dispatch::Job;
using dispatch::Step;
using dispatch::Task;
using dispatch::Worker;
using dispatch::WorkerReliability;

namespace {
/// A service task that ends sooner than this after its start counts as an early exit.
constexpr std::chrono::seconds kMinServiceUptime{ 2 };
/// Delay before the restart of a service task that exits early repeatedly.
constexpr std::chrono::milliseconds kRestartBackoff{ 500 };
/// Consecutive early exits after which a task is still restarted without delay.
constexpr std::uint32_t kEarlyExitsWithoutBackoff = 3;

/// False when the task has another run that has progressed further, whose checkpoint is kept.
bool IsAhead(const Attempt& aAttempt)
{
  const Task& task = aAttempt.step->tasks[aAttempt.index];
  return task.copy == nullptr || aAttempt.progressPercent >= std::max(task.attempt->progressPercent,
                                                                      task.copy->progressPercent);
}
} // namespace

void Dispatcher::Impl::CloseAttempt(Attempt& aAttempt)
{
  Step& step = *aAttempt.step;
  std::uint32_t index = aAttempt.index;
  this->state.RemoveAttempt(aAttempt);
  this->state.MarkChanged(*step.job);
  if (step.tasks[index].hasEarlierSuccess && step.tasks[index].attempt == nullptr) {
    this->MarkTaskSucceeded(step, index);
  }
}

void Dispatcher::Impl::MarkTaskSucceeded(Step& aStep, std::uint32_t aIndex)
{
  FleetState::MarkSucceeded(aStep, aIndex);
  this->state.MarkChanged(*aStep.job);
  FleetState::UpdateReadySteps(*aStep.job, aStep.occurrence);
  this->CompleteIfDone(*aStep.job);
}

void Dispatcher::Impl::OnEarlierSuccess(Step& aStep, std::uint32_t aIndex)
{
  Task& task = aStep.tasks[aIndex];
  if (task.hasSucceeded) {
    return;
  }
  if (task.attempt == nullptr || aStep.CanHaveCopies()) {
    this->StopRuns(task);
    this->MarkTaskSucceeded(aStep, aIndex);
    return;
  }
  task.hasEarlierSuccess = true;
  task.attempt->isStopping = true;
  FleetState::MarkPartChanged(aStep, aIndex);
  this->state.MarkChanged(*aStep.job);
}

void Dispatcher::Impl::StopRuns(Task& aTask)
{
  for (Attempt* attempt : { aTask.attempt, aTask.copy }) {
    if (attempt != nullptr) {
      attempt->isStopping = true;
      this->nextSweep = TimePoint();
    }
  }
}

void Dispatcher::Impl::CompleteIfDone(Job& aJob)
{
  bool isDone =
    aJob.startedOccurrences >= std::max<std::uint32_t>(aJob.definition.occurrences, 1) &&
    std::all_of(
      aJob.steps.begin(), aJob.steps.end(), [](const auto& aStep) { return aStep->IsDone(); });
  if (isDone && !aJob.IsFinished()) {
    this->overloadSelector.OnCompleted(aJob);
    this->state.Finish(aJob, DispatchState::Completed, this->wall);
    if (aJob.expectedTime > Duration(0)) {
      this->forecastErrors[aJob.definition.queue].Add(aJob.expectedTime,
                                                      this->wall - aJob.addedWall);
    }
  }
}

void Dispatcher::Impl::FailIfAttemptsAreUsedUp(Step& aStep, std::uint32_t aIndex)
{
  const Task& task = aStep.tasks[aIndex];
  Job& job = *aStep.job;
  if (aStep.spec->isService || task.hasSucceeded || task.hasEarlierSuccess || job.IsFinished() ||
      task.failures.Count() < job.queue->maxAttempts) {
    return;
  }
  LogLine(LogLevel::Info, "job_failed")
    .Add("job", job.definition.id)
    .Add("step", aStep.number)
    .Add("task", aIndex)
    .Add("failures", task.failures.Count())
    .Add("last_failed_run", task.failures.LastRun());
  this->state.Finish(job, DispatchState::Failed, this->wall);
}

void Dispatcher::Impl::FailIfAttemptsAreUsedUp(Job& aJob)
{
  for (const auto& step : aJob.steps) {
    for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
      this->FailIfAttemptsAreUsedUp(*step, index);
    }
  }
}

void Dispatcher::Impl::CountFailure(Step& aStep,
                                    std::uint32_t aIndex,
                                    RunNumber aRun,
                                    TimePoint aNow)
{
  // The members of a gang fail together, and each of them may be listed as failed.
  std::uint32_t countedIndex = aStep.spec->isGang ? 0 : aIndex;
  if (aStep.spec->isService || !aStep.tasks[countedIndex].failures.Add(aRun)) {
    return;
  }
  FleetState::MarkPartChanged(aStep, countedIndex);
  this->state.MarkChanged(*aStep.job);
  this->FailIfAttemptsAreUsedUp(aStep, countedIndex);
  if (aStep.job->IsFinished()) {
    this->nextSweep = aNow; // Stops the other runs of the job.
  }
}

void Dispatcher::Impl::OnTaskSucceeded(Attempt& aAttempt, TimePoint aNow)
{
  Step& step = *aAttempt.step;
  Job& job = *step.job;
  this->reliability.OnSuccess(aAttempt, aNow);
  std::uint32_t index = aAttempt.index;
  this->LogCopyResult(aAttempt, aNow);
  if (step.CanHaveCopies() && step.tasks[index].checkpoint.empty() && aAttempt.isStartKnown &&
      aAttempt.confirmedAt != TimePoint::max()) {
    step.runTimes.push_back(aNow - aAttempt.confirmedAt);
  }
  this->CloseAttempt(aAttempt);
  if (step.spec->isService) {
    return; // A service runs until it is cancelled, whatever the outcome of its tasks.
  }
  // The run of another worker may go on for as long as its lease lasts; nothing waits for it.
  this->StopRuns(step.tasks[index]);
  FleetState::MarkSucceeded(step, index);
  if (step.spec->isGang) {
    // The success of one member implies that of all others, which end at the same time.
    for (std::uint32_t member = 0; member < step.tasks.size(); ++member) {
      if (step.tasks[member].attempt != nullptr) {
        this->CloseAttempt(*step.tasks[member].attempt);
      }
      FleetState::MarkSucceeded(step, member);
    }
  }
  FleetState::UpdateReadySteps(job, step.occurrence);
  this->CompleteIfDone(job);
}

void Dispatcher::Impl::OnTaskFailed(Attempt& aAttempt, TimePoint aNow)
{
  Step& step = *aAttempt.step;
  std::uint32_t index = aAttempt.index;
  this->reliability.OnFailure(aAttempt, aNow);
  RunNumber run = aAttempt.run;
  step.tasks[index].failedPlacements.push_back(aAttempt.worker->listing.id);
  if (step.spec->isGang) {
    this->StopGang(step);
  }
  this->CloseAttempt(aAttempt);
  this->CountFailure(step, index, run, aNow);
}

void Dispatcher::Impl::OnCompletion(Attempt& aAttempt,
                                    const RunCompletion& aCompletion,
                                    TimePoint aNow)
{
  Step& step = *aAttempt.step;
  Task& task = step.tasks[aAttempt.index];
  if (task.hasEarlierSuccess || task.hasSucceeded) {
    this->CloseAttempt(aAttempt);
    return;
  }
  if (aCompletion.outcome == RunOutcome::Stopped && task.preemptedAt >= aAttempt.decidedAt) {
    this->preemptionPlanner.OnStopped(aNow - task.preemptedAt);
  }
  if (!aCompletion.checkpoint.empty() && IsAhead(aAttempt)) {
    (step.spec->isGang ? step.gangCheckpoint : task.checkpoint) = aCompletion.checkpoint;
  }
  if (step.spec->isService) {
    bool wasEarlyExit = aNow - aAttempt.decidedAt < kMinServiceUptime;
    task.earlyExits = wasEarlyExit ? task.earlyExits + 1 : 0;
    if (task.earlyExits > kEarlyExitsWithoutBackoff) {
      task.notBefore = aNow + kRestartBackoff;
    }
  }
  switch (aCompletion.outcome) {
    case RunOutcome::Succeeded:
      this->OnTaskSucceeded(aAttempt, aNow);
      return;
    case RunOutcome::Failed:
      this->OnTaskFailed(aAttempt, aNow);
      return;
    case RunOutcome::GangIncomplete:
      LogLine(LogLevel::Warning, "gang_incomplete")
        .Add("job", step.job->definition.id)
        .Add("task", aAttempt.index)
        .Add("run", aAttempt.run)
        .Add("worker", aAttempt.worker->listing.id);
      break;
    case RunOutcome::Stopped:
    case RunOutcome::LeaseExpired:
    case RunOutcome::GangBroken:
      break;
  }
  if (step.spec->isGang) {
    this->StopGang(step);
  }
  this->CloseAttempt(aAttempt);
}

void Dispatcher::Impl::ProcessCompletions(Worker& aWorker,
                                          const WorkerReport& aReport,
                                          TimePoint aNow)
{
  for (const RunCompletion& completion : aReport.completions) {
    if (completion.number <= aWorker.lastCompletion) {
      continue;
    }
    aWorker.lastCompletion = completion.number;
    Attempt* attempt = this->state.FindAttempt(aWorker, completion.task, completion.run);
    if (attempt != nullptr) {
      this->OnCompletion(*attempt, completion, aNow);
      continue;
    }
    // The attempt of this run was given up, or removed before a change of leader. Its outcome still
    // counts.
    Step* step = this->state.FindStep(
      { completion.task.job, completion.task.occurrence, completion.task.step });
    if (step == nullptr || completion.task.index >= step->tasks.size()) {
      continue;
    }
    if (completion.outcome == RunOutcome::Failed) {
      this->CountFailure(*step, completion.task.index, completion.run, aNow);
    }
    if (completion.outcome != RunOutcome::Succeeded || step->spec->isService) {
      continue;
    }
    LogLine(LogLevel::Info, "earlier_run_succeeded")
      .Add("job", completion.task.job)
      .Add("step", completion.task.step)
      .Add("task", completion.task.index)
      .Add("run", completion.run)
      .Add("worker", aWorker.listing.id);
    // The success of one member of a gang implies that of all others.
    std::uint32_t first = step->spec->isGang ? 0 : completion.task.index;
    std::uint32_t end =
      step->spec->isGang ? static_cast<std::uint32_t>(step->tasks.size()) : first + 1;
    for (std::uint32_t index = first; index < end; ++index) {
      this->OnEarlierSuccess(*step, index);
    }
  }
  if (!aReport.hasAllCompletions) {
    // A full list of completions that could not be read would hide all later ones for ever.
    aWorker.lastCompletion = std::max(aWorker.lastCompletion, aReport.lastCompletion);
  }
}

void Dispatcher::OnThrottleConfirmed(const ThrottleCommand& aCommand, TimePoint aNow)
{
  Worker* worker = this->impl->state.FindWorker(aCommand.worker);
  Attempt* attempt = worker == nullptr
                       ? nullptr
                       : this->impl->state.FindAttempt(*worker, aCommand.task, aCommand.run);
  if (attempt != nullptr) {
    dispatch::InterferenceController::OnConfirmed(*attempt, aCommand.percent, aNow);
  }
}

void Dispatcher::Impl::OnUnknownRun(Worker& aWorker, const RunningTask& aRunning, TimePoint aNow)
{
  Step* step =
    this->state.FindStep({ aRunning.task.job, aRunning.task.occurrence, aRunning.task.step });
  bool isAdopted = step != nullptr && aRunning.task.index < step->tasks.size() &&
                   !step->spec->isGang && !step->job->IsFinished();
  if (isAdopted) {
    Task& task = step->tasks[aRunning.task.index];
    isAdopted = task.attempt == nullptr && !task.hasSucceeded && aRunning.run >= task.lastRun;
  }
  LogLine(LogLevel::Warning, isAdopted ? "run_adopted" : "run_unknown")
    .Add("job", aRunning.task.job)
    .Add("step", aRunning.task.step)
    .Add("task", aRunning.task.index)
    .Add("run", aRunning.run)
    .Add("worker", aWorker.listing.id);
  if (!isAdopted) {
    this->unknownRunStops.push_back({ aRunning.task, aRunning.run, aWorker.listing.id });
    return;
  }
  Attempt& attempt =
    this->state.AddAttempt(*step, aRunning.task.index, aWorker, aRunning.run, aNow);
  attempt.state = AttemptState::Running;
  attempt.confirmedAt = aNow;
  attempt.listedAt = aNow;
  attempt.longLeaseUntil = this->LongLeaseUntil(aWorker, aNow);
  dispatch::InterferenceController::MarkSpeedUnknown(attempt);
  this->state.MarkChanged(*step->job);
}

void Dispatcher::Impl::ReconcileRunningTasks(Worker& aWorker,
                                             const WorkerReport& aReport,
                                             TimePoint aSentAt,
                                             TimePoint aNow)
{
  std::set<Attempt*> reported;
  for (const RunningTask& running : aReport.running) {
    Attempt* attempt = this->state.FindAttempt(aWorker, running.task, running.run);
    if (attempt == nullptr) {
      this->OnUnknownRun(aWorker, running, aNow);
      continue;
    }
    reported.insert(attempt);
    attempt->listedAt = aNow;
    if (attempt->state != AttemptState::Running) {
      attempt->state = AttemptState::Running;
      attempt->confirmedAt = aNow;
      attempt->progressChangedAt = aNow;
    }
    if (attempt->progressPercent != running.percent) {
      attempt->progressPercent = running.percent;
      attempt->progressChangedAt = aNow;
    }
    attempt->tailLatencyMs = running.tailLatencyMs;
    if (!running.checkpoint.empty() && IsAhead(*attempt)) {
      Step& step = *attempt->step;
      (step.spec->isGang ? step.gangCheckpoint : step.tasks[attempt->index].checkpoint) =
        running.checkpoint;
    }
  }
  if (!aReport.hasAllCompletions) {
    // A run that is in neither list may have ended with any outcome. What becomes of it shows when
    // the completions before its own are acknowledged, or when the leases end.
    return;
  }
  std::vector<Attempt*> missing;
  for (Attempt& attempt : aWorker.attempts) {
    if (reported.count(&attempt) != 0) {
      continue;
    }
    // The worker's fencing token was raised before its first report, so a start by an earlier
    // leader that is not in the report can no longer be carried out.
    bool cannotStart = attempt.state == AttemptState::Restored;
    bool hasVanished = attempt.state == AttemptState::Running && attempt.confirmedAt < aSentAt;
    bool isFenced = attempt.stopConfirmedAt < aSentAt;
    if (cannotStart || hasVanished || isFenced) {
      missing.push_back(&attempt);
    }
  }
  for (Attempt* attempt : missing) {
    if (attempt->step->spec->isGang) {
      this->StopGang(*attempt->step);
    }
    this->CloseAttempt(*attempt);
  }
}

void Dispatcher::Impl::OnIncarnationChange(Worker& aWorker,
                                           const WorkerReport& aReport,
                                           TimePoint aNow)
{
  bool isFirst = aWorker.incarnation == 0;
  aWorker.incarnation = aReport.incarnation;
  if (isFirst) {
    return;
  }
  ++aWorker.restarts;
  aWorker.restartKnownAt = aNow;
  LogLine(LogLevel::Info, "worker_restarted")
    .Add("worker", aWorker.listing.id)
    .Add("incarnation", aWorker.incarnation)
    .Add("restarts", aWorker.restarts)
    .Add("clock_ms", aReport.clock);
  aWorker.lastCompletion = 0;
  aWorker.sentLeaseEnd = std::chrono::milliseconds(0);
  // This poll was sent before the restart was known.
  this->UpdateFence(aWorker, aReport, aNow - Duration(1));
  WorkerReliability::Reset(aWorker);
  this->state.runTimes.ForgetWorker(aWorker.listing.id);
  std::vector<Attempt*> lost;
  for (Attempt& attempt : aWorker.attempts) {
    if (attempt.state == AttemptState::Restored) {
      lost.push_back(&attempt); // The worker rejects commands of an earlier leader.
    } else if (attempt.state == AttemptState::Running) {
      // A repeated start command may still be in flight, and the restarted worker no longer knows
      // the run.
      attempt.state = AttemptState::Sent;
      attempt.confirmedAt = TimePoint::max();
      attempt.isStopping = true;
      attempt.stopSentAt = TimePoint();
      attempt.stopConfirmedAt = TimePoint::max();
      if (attempt.step->spec->isGang) {
        this->StopGang(*attempt.step);
      }
    }
  }
  for (Attempt* attempt : lost) {
    if (attempt->step->spec->isGang) {
      this->StopGang(*attempt->step);
    }
    this->CloseAttempt(*attempt);
  }
}

} // namespace daisydrift
