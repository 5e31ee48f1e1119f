// What workers report: ends of runs, and what runs at the moment.

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
using dispatch::WorkerTrust;

namespace {
/// A service task that ended sooner than this has ended quickly.
constexpr std::chrono::seconds kQuickEnd{ 2 };
/// Pause before the restart of a service task that ends quickly again and again.
constexpr std::chrono::milliseconds kRestartPause{ 500 };
/// Quick ends in a row that are restarted without a pause.
constexpr std::uint32_t kFreeQuickEnds = 3;
} // namespace

void Dispatcher::Impl::Settle(Attempt& aAttempt)
{
  Job& job = *aAttempt.step->job;
  this->state.RemoveAttempt(aAttempt);
  this->state.MarkChanged(job);
}

void Dispatcher::Impl::CompleteIfDone(Job& aJob)
{
  bool isDone = aJob.begunOccurrences >= std::max<std::uint32_t>(aJob.definition.occurrences, 1) &&
                std::all_of(aJob.steps.begin(), aJob.steps.end(), [](const auto& aStep) {
                  return aStep->IsDone();
                });
  if (isDone && !aJob.IsFinished()) {
    this->state.Finish(aJob, DispatchState::Completed, this->wall);
  }
}

void Dispatcher::Impl::OnTaskSucceeded(Attempt& aAttempt, TimePoint aNow)
{
  Step& step = *aAttempt.step;
  Job& job = *step.job;
  this->trust.OnSuccess(aAttempt, aNow);
  std::uint32_t index = aAttempt.index;
  this->Settle(aAttempt);
  if (step.spec->isService) {
    return; // It lasts until it is cancelled, however it ends.
  }
  FleetState::Succeed(step, step.tasks[index]);
  if (step.spec->isGang) {
    // One such end stands for all members, whose own ends come at the same moment.
    for (Task& task : step.tasks) {
      if (task.attempt != nullptr) {
        this->Settle(*task.attempt);
      }
      FleetState::Succeed(step, task);
    }
  }
  FleetState::RefreshReady(job);
  this->CompleteIfDone(job);
}

void Dispatcher::Impl::OnTaskFailed(Attempt& aAttempt, TimePoint aNow)
{
  Step& step = *aAttempt.step;
  Job& job = *step.job;
  std::uint32_t index = aAttempt.index;
  this->trust.OnFailure(aAttempt, aNow);
  // All failures of a gang count as one task's, since its members fail together.
  Task& counted = step.tasks[step.spec->isGang ? 0 : index];
  ++counted.failures;
  step.tasks[index].failedOn.push_back(aAttempt.worker->listing.id);
  if (step.spec->isGang) {
    this->StopGang(step);
  }
  this->Settle(aAttempt);
  if (!step.spec->isService && counted.failures >= job.queue->maxAttempts && !job.IsFinished()) {
    LogLine(LogLevel::Info, "job_failed")
      .Add("job", job.definition.id)
      .Add("step", step.number)
      .Add("task", index)
      .Add("failures", counted.failures);
    this->state.Finish(job, DispatchState::Failed, this->wall);
    this->nextSweep = aNow;
  }
}

void Dispatcher::Impl::OnEnd(Attempt& aAttempt, const EndedTask& aEnd, TimePoint aNow)
{
  Step& step = *aAttempt.step;
  Task& task = step.tasks[aAttempt.index];
  if (!aEnd.checkpoint.empty()) {
    (step.spec->isGang ? step.gangCheckpoint : task.checkpoint) = aEnd.checkpoint;
  }
  if (step.spec->isService) {
    bool wasQuick = aNow - aAttempt.decidedAt < kQuickEnd;
    task.quickEnds = wasQuick ? task.quickEnds + 1 : 0;
    if (task.quickEnds > kFreeQuickEnds) {
      task.notBefore = aNow + kRestartPause;
    }
  }
  switch (aEnd.outcome) {
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
  this->Settle(aAttempt);
}

void Dispatcher::Impl::TakeEnds(Worker& aWorker, const WorkerReport& aReport, TimePoint aNow)
{
  for (const EndedTask& end : aReport.ended) {
    if (end.number <= aWorker.lastEnd) {
      continue;
    }
    aWorker.lastEnd = end.number;
    Attempt* attempt = this->state.FindAttempt(aWorker, end.task, end.run);
    if (attempt != nullptr) {
      this->OnEnd(*attempt, end, aNow);
      continue;
    }
    // A run that was given up, or one settled before a change of leader. Its success still counts.
    Step* step = this->state.FindStep({ end.task.job, end.task.occurrence, end.task.step });
    if (step == nullptr || end.task.index >= step->tasks.size()) {
      continue;
    }
    Task& task = step->tasks[end.task.index];
    if (end.outcome == RunOutcome::Succeeded && !task.hasSucceeded && !step->spec->isService &&
        !step->spec->isGang) {
      if (task.attempt != nullptr) {
        task.attempt->isStopping = true;
        continue;
      }
      FleetState::Succeed(*step, task);
      this->state.MarkChanged(*step->job);
      FleetState::RefreshReady(*step->job);
      this->CompleteIfDone(*step->job);
    }
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
    this->strayStops.push_back({ aRunning.task, aRunning.run, aWorker.listing.id });
    return;
  }
  Attempt& attempt =
    this->state.AddAttempt(*step, aRunning.task.index, aWorker, aRunning.run, aNow);
  attempt.state = AttemptState::Running;
  attempt.confirmedAt = aNow;
  this->state.MarkChanged(*step->job);
}

void Dispatcher::Impl::TakeRunning(Worker& aWorker,
                                   const WorkerReport& aReport,
                                   TimePoint aSentAt,
                                   TimePoint aNow)
{
  std::set<Attempt*> listed;
  for (const RunningTask& running : aReport.running) {
    Attempt* attempt = this->state.FindAttempt(aWorker, running.task, running.run);
    if (attempt == nullptr) {
      this->OnUnknownRun(aWorker, running, aNow);
      continue;
    }
    listed.insert(attempt);
    if (attempt->state != AttemptState::Running) {
      attempt->state = AttemptState::Running;
      attempt->confirmedAt = aNow;
      attempt->percentChangedAt = aNow;
    }
    if (attempt->percent != running.percent) {
      attempt->percent = running.percent;
      attempt->percentChangedAt = aNow;
    }
    attempt->load = running.load;
    if (!running.checkpoint.empty()) {
      Step& step = *attempt->step;
      (step.spec->isGang ? step.gangCheckpoint : step.tasks[attempt->index].checkpoint) =
        running.checkpoint;
    }
  }
  std::vector<Attempt*> missing;
  for (Attempt& attempt : aWorker.attempts) {
    if (listed.count(&attempt) != 0) {
      continue;
    }
    // Its fencing number was raised before the first report, so a start of an earlier leader that
    // is not listed never begins.
    bool neverBegins = attempt.state == AttemptState::Restored;
    bool hasVanished = attempt.state == AttemptState::Running && attempt.confirmedAt < aSentAt;
    bool isFenced = attempt.stopConfirmedAt < aSentAt;
    if (neverBegins || hasVanished || isFenced) {
      missing.push_back(&attempt);
    }
  }
  for (Attempt* attempt : missing) {
    if (attempt->step->spec->isGang) {
      this->StopGang(*attempt->step);
    }
    this->Settle(*attempt);
  }
}

void Dispatcher::Impl::OnIncarnation(Worker& aWorker, std::int64_t aIncarnation)
{
  bool isFirst = aWorker.incarnation == 0;
  aWorker.incarnation = aIncarnation;
  if (isFirst) {
    return;
  }
  LogLine(LogLevel::Info, "worker_restarted").Add("worker", aWorker.listing.id);
  aWorker.lastEnd = 0;
  aWorker.sentLease = std::chrono::milliseconds(0);
  aWorker.possibleLease = std::chrono::milliseconds(0);
  WorkerTrust::Reset(aWorker);
  std::vector<Attempt*> lost;
  for (Attempt& attempt : aWorker.attempts) {
    if (attempt.state == AttemptState::Restored) {
      lost.push_back(&attempt); // An earlier leader's orders are refused there.
    } else if (attempt.state == AttemptState::Running) {
      // A second try of the start may be on its way still, and the worker has forgotten the run.
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
    this->Settle(*attempt);
  }
}

} // namespace daisydrift
