// Decisions of one scheduling round.

#include "DispatcherImpl.h"

#include <algorithm>

namespace daisydrift {

using dispatch::Attempt;
using dispatch::AttemptState;
using dispatch::FleetState;
using dispatch::Job;
using dispatch::Step;
using dispatch::Task;
using dispatch::Worker;

namespace {
/// Time between two sweeps over all jobs and attempts.
constexpr std::chrono::milliseconds kSweepInterval{ 40 };
/// A task is migrated when its remaining run time is more than this many times that on another
/// worker.
constexpr double kMigrationFactor = 2.5;
/// Least run time before a task's progress is judged.
constexpr std::chrono::milliseconds kMinObservationTime{ 1500 };
/// Time that a migration takes: a stop, an advice request and a start.
constexpr std::chrono::milliseconds kMigrationCost{ 1200 };
/// Tasks that are expected to end within this time stay on a draining worker.
constexpr std::chrono::milliseconds kMinTimeLeftToMigrate{ 1000 };
/// Time after which a worker that has confirmed a stop has ended the run, which takes up to 0.9 s,
/// and no longer lists it.
constexpr std::chrono::milliseconds kMaxStopTime{ 2000 };
/// Stragglers for which a worker is sought in one sweep. Each may be compared with all workers, and
/// hundreds appear at once when a part of the fleet is cut off.
constexpr std::size_t kMaxStragglersPerSweep = 50;
} // namespace

RunNumber Dispatcher::Impl::NextRunNumber(const Task& aTask) const
{
  return std::max(aTask.lastRun + 1, this->settings.firstRunNumber);
}

void Dispatcher::Impl::StartDueOccurrences(Job& aJob, WallTime aWall)
{
  const JobDefinition& definition = aJob.definition;
  std::uint32_t wanted = std::max<std::uint32_t>(definition.occurrences, 1);
  // The other due occurrences follow when one of these, or the first one, has succeeded.
  auto hasRoom = [&] {
    std::uint64_t kept = aJob.startedOccurrences - aJob.firstOccurrence;
    bool fitsOpen = aJob.openOccurrences == 0 || (aJob.openOccurrences + 1) * aJob.finiteTasks <=
                                                   this->settings.maxOpenTasksPerSchedule;
    bool fitsKept =
      kept == 0 || (kept + 1) * aJob.tasksPerOccurrence <= this->settings.maxTasksPerSchedule;
    return fitsOpen && fitsKept;
  };
  while (aJob.startedOccurrences < wanted && !aJob.IsFinished() && hasRoom()) {
    if (definition.occurrences > 0) {
      WallTime due = definition.firstDue + std::chrono::duration_cast<std::chrono::milliseconds>(
                                             definition.interval * aJob.startedOccurrences);
      if (aWall < due) {
        break;
      }
    }
    this->state.AddOccurrence(aJob, aJob.startedOccurrences);
    FleetState::UpdateReadySteps(aJob, aJob.startedOccurrences - 1);
  }
}

void Dispatcher::Impl::PlanStart(Step& aStep,
                                 std::uint32_t aIndex,
                                 Worker& aWorker,
                                 RunNumber aRun,
                                 TimePoint aNow,
                                 DispatchRound& aRound)
{
  Attempt& attempt = this->state.AddAttempt(aStep, aIndex, aWorker, aRun, aNow);
  attempt.longLeaseUntil = this->LongLeaseUntil(aWorker, aNow);
  attempt.isStartKnown = true;
  Job& job = *aStep.job;
  if (job.state == DispatchState::Queued) {
    job.state = DispatchState::Running;
  }
  this->state.MarkChanged(job);
  aRound.starts.push_back(attempt.key);
  Duration waited = std::max<Duration>(aNow - std::min(aStep.waitingSince, aNow), Duration(0));
  aRound.waits.emplace_back(job.definition.queue, waited);
}

void Dispatcher::Impl::UpdateHeadroom(const std::vector<dispatch::WaitingStep>& aWaiting,
                                      TimePoint aNow)
{
  using dispatch::HeadroomController;
  HeadroomController::Waiting first;
  HeadroomController::Waiting lower;
  for (const dispatch::WaitingStep& entry : aWaiting) {
    const Step& step = *entry.step;
    const Job& job = *step.job;
    // The headroom is no concern of steps that wait for something else.
    if (!step.isReady || step.spec->usesSpareCores || job.isOverRate ||
        (job.team != nullptr && !FleetState::FitsCeiling(*job.team, step.spec->size))) {
      continue;
    }
    Duration slack =
      job.latencyObjective - *std::max_element(job.criticalPaths.begin(), job.criticalPaths.end());
    if (step.spec->isService) {
      first.Add(aNow - step.waitingSince, slack, HeadroomController::kFirstPriorityRisk);
    } else if (job.queue->priority > 0 && job.outlook != dispatch::JobOutlook::WithoutValue) {
      lower.Add(aNow - step.waitingSince, slack, HeadroomController::kLowerPriorityRisk);
    } else if (job.queue->priority == 0 && job.outlook == dispatch::JobOutlook::InTime) {
      first.Add(aNow - step.waitingSince, slack, HeadroomController::kFirstPriorityRisk);
    }
  }
  this->headroomController.Update(first, lower, aNow);
  this->state.headroom = this->headroomController.Headroom();
}

void Dispatcher::Impl::PlaceStep(Step& aStep, TimePoint aNow, DispatchRound& aRound)
{
  // Most waiting steps of an overloaded team are at its ceiling.
  if (aStep.job->team != nullptr && !FleetState::FitsCeiling(*aStep.job->team, aStep.spec->size)) {
    return;
  }
  std::vector<Worker*> candidates = this->placement.Candidates(aStep, aNow);
  if (candidates.empty()) {
    return;
  }
  for (std::uint32_t index = 0; index < aStep.tasks.size(); ++index) {
    Task& task = aStep.tasks[index];
    if (task.hasSucceeded || task.attempt != nullptr || aNow < task.notBefore) {
      continue;
    }
    if (aRound.starts.size() >= this->settings.maxStartsPerRound ||
        (aStep.job->team != nullptr &&
         !FleetState::FitsCeiling(*aStep.job->team, aStep.spec->size))) {
      return;
    }
    Worker* worker = this->placement.Choose(aStep, task, candidates);
    if (worker == nullptr) {
      return;
    }
    this->PlanStart(aStep, index, *worker, this->NextRunNumber(task), aNow, aRound);
  }
}

void Dispatcher::Impl::PlaceGang(Step& aStep, TimePoint aNow, DispatchRound& aRound)
{
  auto count = static_cast<std::int64_t>(aStep.tasks.size());
  if (aStep.active > 0 || aNow < aStep.tasks[0].notBefore ||
      (aStep.job->team != nullptr &&
       !FleetState::FitsCeiling(*aStep.job->team, aStep.spec->size, count))) {
    return;
  }
  std::vector<Worker*> workers = this->placement.ChooseForGang(aStep, aNow);
  if (workers.empty()) {
    this->placement.AddWaitingGang(aStep);
    return;
  }
  RunNumber run = 0;
  for (const Task& task : aStep.tasks) {
    run = std::max(run, this->NextRunNumber(task));
  }
  for (std::uint32_t index = 0; index < aStep.tasks.size(); ++index) {
    this->PlanStart(aStep, index, *workers[index], run, aNow, aRound);
  }
}

void Dispatcher::Impl::PlaceCopies(const std::vector<dispatch::WaitingStep>& aWaiting,
                                   TimePoint aNow,
                                   std::size_t aRequestSlots,
                                   std::size_t aPosition,
                                   DispatchRound& aRound)
{
  std::vector<dispatch::CopyPlanner::Straggler> stragglers = this->copyPlanner.Find(aNow);
  if (stragglers.empty()) {
    return;
  }
  this->copyPlanner.BeginRound();
  for (const dispatch::WaitingStep& entry : aWaiting) {
    if (entry.step->Waiting() > 0) {
      this->copyPlanner.AddWaiting(*entry.step);
    }
  }
  Step* lastWanting = nullptr;
  // With more of them, the next sweep goes on behind these.
  std::size_t first = this->stragglersPassed % stragglers.size();
  std::size_t count = std::min(stragglers.size(), kMaxStragglersPerSweep);
  this->stragglersPassed = count < stragglers.size() ? first + count : 0;
  for (std::size_t offset = 0; offset < count; ++offset) {
    const auto& straggler = stragglers[(first + offset) % stragglers.size()];
    Step& step = *straggler.step;
    if (aRound.starts.size() >= this->settings.maxStartsPerRound) {
      return;
    }
    Worker* worker = this->copyPlanner.Choose(straggler, aNow);
    if (worker != nullptr) {
      this->StartCopy(straggler, *worker, aNow, aRound);
    } else if (this->copyPlanner.NeedsAdvice(step)) {
      ++step.wantedCopies;
      if (lastWanting != &step) {
        lastWanting = &step;
        this->advicePlanner.MaybeRequest(step, aNow, aRequestSlots, aPosition++, aRound);
      }
    }
  }
}

void Dispatcher::Impl::StartCopy(const dispatch::CopyPlanner::Straggler& aStraggler,
                                 Worker& aWorker,
                                 TimePoint aNow,
                                 DispatchRound& aRound)
{
  Step& step = *aStraggler.step;
  const Task& task = step.tasks[aStraggler.index];
  const Attempt& first = *task.attempt;
  RunNumber run = this->NextRunNumber(task);
  LogLine(LogLevel::Info, "copy_started")
    .Add("job", step.job->definition.id)
    .Add("step", step.number)
    .Add("task", aStraggler.index)
    .Add("run", run)
    .Add("worker", aWorker.listing.id)
    .Add("first_run", first.run)
    .Add("first_worker", first.worker->listing.id)
    .Add("cause", NameOf(aStraggler.cause))
    .Add("elapsed_ms", aStraggler.run.elapsed)
    .Add("expected_ms", aStraggler.run.expected)
    .Add("percent", aStraggler.run.percent)
    .Add("report_age_ms", aStraggler.run.silentFor);
  ++this->copiesStarted;
  this->PlanStart(step, aStraggler.index, aWorker, run, aNow, aRound);
}

void Dispatcher::Impl::LogCopyResult(const Attempt& aSucceeded, TimePoint aNow)
{
  const Task& task = aSucceeded.step->tasks[aSucceeded.index];
  if (task.copy == nullptr) {
    return;
  }
  bool hasWon = task.copy == &aSucceeded;
  this->copiesWon += hasWon ? 1 : 0;
  LogLine(LogLevel::Info, "copy_ended")
    .Add("job", aSucceeded.step->job->definition.id)
    .Add("step", aSucceeded.step->number)
    .Add("task", aSucceeded.index)
    .Add("run", task.copy->run)
    .Add("won", hasWon)
    .Add("age_ms", aNow - task.copy->decidedAt);
}

void Dispatcher::Impl::StopGang(Step& aStep)
{
  for (Task& task : aStep.tasks) {
    if (task.attempt != nullptr) {
      task.attempt->isStopping = true;
    }
  }
}

bool Dispatcher::Impl::CanDisrupt(const Step& aStep) const
{
  if (!aStep.spec->isService || aStep.spec->maxUnavailable == 0) {
    return true;
  }
  std::uint32_t unavailable = 0;
  for (const Task& task : aStep.tasks) {
    bool isServing =
      task.attempt != nullptr && task.attempt->progressPercent >= 100 && !task.attempt->isStopping;
    unavailable += isServing ? 0 : 1;
  }
  return unavailable < aStep.spec->maxUnavailable;
}

void Dispatcher::Impl::CheckProgress(Attempt& aAttempt, TimePoint aNow)
{
  const StepSpec& spec = *aAttempt.step->spec;
  Worker& worker = *aAttempt.worker;
  if (spec.isService || spec.usesSpareCores || spec.isGang || worker.isUnresponsive ||
      aNow - aAttempt.confirmedAt < kMinObservationTime) {
    return;
  }
  if (aAttempt.listedAt - aAttempt.progressChangedAt > this->settings.stallTimeout) {
    this->reliability.OnStall(worker, aNow);
    aAttempt.isStopping = true;
    LogLine(LogLevel::Info, "task_stalled")
      .Add("job", aAttempt.step->job->definition.id)
      .Add("task", aAttempt.index)
      .Add("worker", worker.listing.id)
      .Add("percent", aAttempt.progressPercent);
    return;
  }
  bool hasCopy = aAttempt.step->tasks[aAttempt.index].copy != nullptr;
  if (aAttempt.progressPercent <= 0 || spec.estimate.count() == 0 || hasCopy) {
    return;
  }
  double secondsElapsed =
    std::chrono::duration<double>(aAttempt.listedAt - aAttempt.confirmedAt).count();
  double secondsLeft = secondsElapsed * (100 - aAttempt.progressPercent) / aAttempt.progressPercent;
  double estimatedSeconds =
    std::chrono::duration<double>(this->state.ExpectedRunTime(*aAttempt.step).typical).count();
  double remainingFraction = spec.canCheckpoint ? (100 - aAttempt.progressPercent) / 100.0 : 1.0;
  double secondsElsewhere =
    estimatedSeconds * remainingFraction + std::chrono::duration<double>(kMigrationCost).count();
  if (secondsLeft > kMigrationFactor * secondsElsewhere && worker.slowdown > 1) {
    // Makes Placement prefer other workers for the restart.
    worker.slowdown = std::max(worker.slowdown, kMigrationFactor);
    aAttempt.isStopping = true;
  }
}

void Dispatcher::Impl::MigrateFromDrainingWorker(Attempt& aAttempt, TimePoint aNow)
{
  const StepSpec& spec = *aAttempt.step->spec;
  if (spec.isService) {
    aAttempt.isStopping = this->CanDisrupt(*aAttempt.step);
    return;
  }
  Duration left = this->state.ExpectedRunTime(*aAttempt.step).typical - (aNow - aAttempt.decidedAt);
  bool hasCopy = aAttempt.step->tasks[aAttempt.index].copy != nullptr;
  if (spec.canCheckpoint && !spec.isGang && !hasCopy && left > kMinTimeLeftToMigrate) {
    aAttempt.isStopping = true;
  }
}

void Dispatcher::Impl::Sweep(TimePoint aNow, DispatchRound& aRound)
{
  this->nextSweep = aNow + kSweepInterval;
  for (auto job = this->state.openJobs.begin(); job != this->state.openJobs.end();) {
    FleetState::RetireOccurrences(**job);
    this->StartDueOccurrences(**job, this->wall);
    bool hasAttempts = std::any_of((*job)->steps.begin(),
                                   (*job)->steps.end(),
                                   [](const auto& aStep) { return aStep->runs > 0; });
    job = (*job)->IsFinished() && !hasAttempts ? this->state.openJobs.erase(job) : std::next(job);
  }
  aRound.stops = std::move(this->unknownRunStops);
  this->unknownRunStops.clear();
  for (auto& [id, entry] : this->state.workers) {
    Worker& worker = *entry;
    this->CloseExpiredAttempts(worker, aNow);
    for (Attempt& attempt : worker.attempts) {
      if (attempt.step->job->IsFinished()) {
        attempt.isStopping = true;
      }
      if (!attempt.isStopping && attempt.state == AttemptState::Running) {
        this->CheckProgress(attempt, aNow);
        if (worker.IsDraining() && !attempt.isStopping) {
          this->MigrateFromDrainingWorker(attempt, aNow);
        }
      }
      // A confirmed stop is repeated when the worker goes on listing the run.
      bool isStopDue = attempt.stopConfirmedAt == TimePoint::max() ||
                       attempt.listedAt - attempt.stopConfirmedAt > kMaxStopTime;
      if (attempt.isStopping && attempt.state != AttemptState::Planned && isStopDue &&
          aNow - attempt.stopSentAt > this->settings.stopRetryInterval) {
        attempt.stopSentAt = aNow;
        aRound.stops.push_back({ NameOf(attempt), attempt.run, worker.listing.id });
      }
    }
    this->interference.UpdateThrottles(worker, aNow, aRound);
  }
  this->state.RemoveUnlistedWorkers();
}

} // namespace daisydrift
