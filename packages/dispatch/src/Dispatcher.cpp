#include "daisydrift/dispatch/Dispatcher.h"

#include "DispatcherImpl.h"

#include <algorithm>

namespace daisydrift {

using dispatch::Attempt;
using dispatch::AttemptState;
using dispatch::FleetState;
using dispatch::Job;
using dispatch::Step;
using dispatch::Task;
using dispatch::Team;
using dispatch::Worker;
using dispatch::WorkerReliability;

TaskName NameOf(const Attempt& aAttempt)
{
  const Step& step = *aAttempt.step;
  return { step.job->definition.id, step.occurrence, step.number, aAttempt.index };
}

namespace {
/// Time in which the longest lease that a worker grants ends on the slowest clock.
Duration LongestLeaseByOurClock(const DispatchSettings& aSettings)
{
  return std::chrono::ceil<Duration>(aSettings.maxLease * (1 + aSettings.maxClockDrift));
}
} // namespace

Dispatcher::Impl::Impl(const DispatchSettings& aSettings, TimePoint aTermStart)
  : settings(aSettings)
  , termStart(aTermStart)
  , longestLeaseBound(aTermStart + LongestLeaseByOurClock(aSettings) + aSettings.leaseMargin)
  , restoredLeaseBound(this->longestLeaseBound)
  , state(this->settings)
  , reliability(this->state)
  , placement(this->state, this->reliability)
  , advicePlanner(this->state, this->placement)
  , copyPlanner(this->state, this->placement, aTermStart)
  , overloadSelector(this->state, this->reliability)
  , headroomController(aSettings.headroom)
  , interference(this->state)
{
}

Dispatcher::Dispatcher(const DispatchSettings& aSettings, TimePoint aTermStart)
  : impl(std::make_unique<Impl>(aSettings, aTermStart))
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetPolicy(const FleetPolicy& aPolicy)
{
  FleetState& state = this->impl->state;
  for (const auto& [name, rules] : aPolicy.queues) {
    this->impl->AdoptRules(rules);
  }
  for (const auto& [name, rules] : aPolicy.teams) {
    state.EnsureTeam(name).AdoptRules(rules);
  }
}

void Dispatcher::SetDrainedDomains(const std::set<FailureDomain>& aDomains)
{
  this->impl->state.drainedDomains = aDomains;
}

void Dispatcher::SetDrainingWorkers(const std::set<WorkerId>& aWorkers)
{
  for (auto& [id, worker] : this->impl->state.workers) {
    worker->isMarkedForDrain = aWorkers.count(id) != 0;
  }
}

std::size_t Dispatcher::CountRuns(const WorkerId& aWorker) const
{
  const Worker* worker = this->impl->state.FindWorker(aWorker);
  return worker == nullptr ? 0 : worker->attempts.size();
}

void Dispatcher::ListWorker(const WorkerListing& aListing)
{
  Worker& worker = this->impl->state.EnsureWorker(aListing.id);
  if (!worker.hasReported && worker.leaseExpiryBound == TimePoint()) {
    worker.leaseExpiryBound = this->impl->restoredLeaseBound;
  }
  if (worker.isListed && aListing.isDraining && !worker.listing.isDraining) {
    LogLine(LogLevel::Info, "worker_draining")
      .Add("worker", aListing.id)
      .Add("remaining_ms", aListing.remaining);
  }
  worker.listing = aListing;
  worker.isListed = true;
}

void Dispatcher::UnlistWorker(const WorkerId& aWorker)
{
  Worker* worker = this->impl->state.FindWorker(aWorker);
  if (worker != nullptr && worker->isListed) {
    worker->isListed = false;
    LogLine(LogLevel::Info, "worker_unlisted").Add("worker", aWorker);
  }
}

void Dispatcher::OnReport(const WorkerId& aWorker,
                          const WorkerReport& aReport,
                          TimePoint aSentAt,
                          TimePoint aNow)
{
  Worker* worker = this->impl->state.FindWorker(aWorker);
  if (worker == nullptr) {
    return;
  }
  if (worker->incarnation != aReport.incarnation) {
    this->impl->OnIncarnationChange(*worker, aReport, aNow);
  } else if (!worker->isFenced) {
    this->impl->UpdateFence(*worker, aReport, aSentAt);
  }
  if (!worker->hasReported) {
    worker->maxLeaseEnd = aReport.clock + std::chrono::ceil<std::chrono::milliseconds>(
                                            this->impl->LongestLeaseBefore(*worker, aReport, aNow));
  }
  worker->hasReported = true;
  worker->isUnresponsive = false;
  worker->reportedAt = aNow;
  worker->clock = aReport.clock;
  Duration left = std::max<Duration>(worker->maxLeaseEnd - worker->clock, Duration(0));
  worker->leaseExpiryBound =
    aNow + this->impl->settings.leaseMargin +
    std::chrono::duration_cast<Duration>(left * (1 + this->impl->settings.maxClockDrift));
  this->impl->ProcessCompletions(*worker, aReport, aNow);
  this->impl->ReconcileRunningTasks(*worker, aReport, aSentAt, aNow);
  this->impl->interference.OnReport(*worker, aNow);
}

void Dispatcher::OnPollFailed(const WorkerId& aWorker)
{
  Worker* worker = this->impl->state.FindWorker(aWorker);
  if (worker != nullptr) {
    // Its runs count until their leases end. Neither a refused connection nor a missing entry, not
    // even of a draining worker, shows that it has shut down.
    worker->isUnresponsive = true;
  }
}

std::uint64_t Dispatcher::LastCompletion(const WorkerId& aWorker) const
{
  Worker* worker = this->impl->state.FindWorker(aWorker);
  return worker == nullptr ? 0 : worker->lastCompletion;
}

std::vector<WorkerId> Dispatcher::Workers() const
{
  std::vector<WorkerId> ids;
  for (const auto& [id, worker] : this->impl->state.workers) {
    if (worker->isListed || !worker->attempts.empty()) {
      ids.push_back(id);
    }
  }
  return ids;
}

const WorkerListing* Dispatcher::FindWorker(const WorkerId& aWorker) const
{
  Worker* worker = this->impl->state.FindWorker(aWorker);
  return worker == nullptr ? nullptr : &worker->listing;
}

void Dispatcher::Impl::AdoptRules(const QueuePolicy& aRules)
{
  if (!this->state.AdoptRules(aRules)) {
    return;
  }
  for (Job* job : this->state.openJobs) {
    if (job->definition.queue == aRules.name) {
      job->latencyObjective = dispatch::LatencyObjectiveOf(job->definition, *job->queue);
      this->FailIfAttemptsAreUsedUp(*job);
    }
  }
}

Job& Dispatcher::Impl::InsertJob(const JobDefinition& aDefinition, TimePoint aNow)
{
  auto job = std::make_unique<Job>();
  job->definition = aDefinition;
  if (aDefinition.rules) {
    this->AdoptRules(*aDefinition.rules);
  }
  job->queue = this->state.EnsureQueue(aDefinition.queue);
  job->addedAt = aNow;
  job->latencyObjective = dispatch::LatencyObjectiveOf(aDefinition, *job->queue);
  job->criticalPaths = dispatch::CriticalPathsOf(aDefinition);
  job->expectedPaths = dispatch::ExpectedPathsOf(aDefinition);
  job->layout = dispatch::ProgressLayout(aDefinition);
  job->finiteTasks = dispatch::CountFiniteTasks(aDefinition);
  for (const StepSpec& step : aDefinition.steps) {
    job->tasksPerOccurrence += step.taskCount;
  }
  if (!aDefinition.team.empty()) {
    job->team = &this->state.EnsureTeam(aDefinition.team);
    if (aDefinition.teamRules) {
      job->team->AdoptRules(*aDefinition.teamRules);
    }
  }
  job->sequence = this->nextSequence++;
  this->overloadSelector.OnAdded(*job, aNow);
  Job& added = *job;
  this->state.jobs.emplace(aDefinition.id, std::move(job));
  this->state.openJobs.insert(&added);
  return added;
}

bool Dispatcher::AddJob(const JobDefinition& aDefinition, TimePoint aNow, WallTime aWall)
{
  if (this->impl->state.FindJob(aDefinition.id) != nullptr) {
    return false;
  }
  Job& job = this->impl->InsertJob(aDefinition, aNow);
  job.isOverRate = job.team != nullptr && !dispatch::TakeJobToken(*job.team, aNow);
  this->impl->NoteExpectedEnd(job, aNow, aWall);
  this->impl->StartDueOccurrences(job, aWall);
  return true;
}

bool Dispatcher::CancelJob(const JobId& aJob, TimePoint aNow, WallTime aWall)
{
  Job* job = this->impl->state.FindJob(aJob);
  if (job == nullptr) {
    return false;
  }
  if (!job->IsFinished()) {
    this->impl->state.Finish(*job, DispatchState::Cancelled, aWall);
    this->impl->nextSweep = aNow;
  }
  return true;
}

void Dispatcher::EraseJob(const JobId& aJob)
{
  this->impl->state.RemoveJob(aJob);
}

const JobId* Dispatcher::JobOf(AttemptKey aAttempt) const
{
  const Attempt* attempt = this->impl->state.FindAttempt(aAttempt);
  return attempt == nullptr ? nullptr : &attempt->step->job->definition.id;
}

std::optional<StartCommand> Dispatcher::TakeStartCommand(AttemptKey aAttempt, TimePoint aNow)
{
  Attempt* attempt = this->impl->state.FindAttempt(aAttempt);
  if (attempt == nullptr || attempt->state != AttemptState::Planned) {
    return std::nullopt;
  }
  Step& step = *attempt->step;
  Task& task = step.tasks[attempt->index];
  Worker& worker = *attempt->worker;
  const dispatch::Ticket* ticket = step.advice.Find(worker.number);
  bool hasTicket = ticket != nullptr && ticket->validUntil > aNow;
  // WorkerReliability::AcceptsStarts can't be used here: it rejects a probing worker with an
  // attempt, and this attempt is one.
  bool isWanted = this->IsStartAllowed(aAttempt) && !worker.isUnresponsive && worker.isFenced &&
                  (hasTicket || !step.job->queue->advice);
  if (!isWanted) {
    if (step.spec->isGang) {
      this->impl->StopGang(step);
    }
    this->impl->CloseAttempt(*attempt);
    return std::nullopt;
  }
  attempt->state = AttemptState::Sent;
  StartCommand command;
  command.attempt = aAttempt;
  command.task = NameOf(*attempt);
  command.run = attempt->run;
  command.worker = worker.listing.id;
  command.payload = step.job->definition.payload;
  command.checkpoint = step.spec->isGang ? step.gangCheckpoint : task.checkpoint;
  if (hasTicket) {
    command.ticket = ticket->text;
  }
  return command;
}

bool Dispatcher::IsStartAllowed(AttemptKey aAttempt) const
{
  const Attempt* attempt = this->impl->state.FindAttempt(aAttempt);
  if (attempt == nullptr || attempt->isStopping || attempt->step->job->IsFinished()) {
    return false;
  }
  const Worker& worker = *attempt->worker;
  return worker.isListed && !worker.IsDraining() &&
         this->impl->state.drainedDomains.count(worker.listing.domain) == 0;
}

void Dispatcher::OnStartResult(AttemptKey aAttempt, StartResult aResult, TimePoint aNow)
{
  Attempt* attempt = this->impl->state.FindAttempt(aAttempt);
  if (attempt == nullptr) {
    return;
  }
  Step& step = *attempt->step;
  Worker& worker = *attempt->worker;
  const DispatchSettings& settings = this->impl->settings;
  switch (aResult) {
    case StartResult::Accepted:
      if (attempt->state != AttemptState::Running) {
        attempt->state = AttemptState::Running;
        attempt->confirmedAt = aNow;
        attempt->progressChangedAt = aNow;
      }
      return;
    case StartResult::Unknown:
      // The stop makes the worker reject the start command if it arrives later.
      attempt->isStopping = true;
      this->impl->nextSweep = aNow;
      if (step.spec->isGang) {
        this->impl->StopGang(step);
      }
      return;
    case StartResult::TicketRejected:
      step.advice.Remove(worker.number);
      break;
    case StartResult::InsufficientResources:
    case StartResult::TooLate:
    case StartResult::Malformed:
      this->impl->reliability.OnRefusal(worker, settings.refusalBackoff, aNow);
      break;
    case StartResult::Unhealthy:
      this->impl->reliability.OnRefusal(worker, settings.initialQuarantine, aNow);
      break;
    case StartResult::IncarnationMismatch:
    case StartResult::NotSent:
      worker.isUnresponsive = true;
      break;
    case StartResult::Superseded:
      // This run or a higher one has already ended on the worker. If it was this run, the next poll
      // returns its completion.
      attempt->isStopping = true;
      attempt->stopConfirmedAt = aNow;
      return;
  }
  LogLine(LogLevel::Info, "start_refused")
    .Add("job", step.job->definition.id)
    .Add("step", step.number)
    .Add("task", attempt->index)
    .Add("run", attempt->run)
    .Add("worker", worker.listing.id)
    .Add("answer", static_cast<int>(aResult));
  if (step.spec->isGang) {
    this->impl->StopGang(step);
  }
  this->impl->CloseAttempt(*attempt);
}

void Dispatcher::OnStopConfirmed(const StopCommand& aCommand, TimePoint aNow)
{
  Worker* worker = this->impl->state.FindWorker(aCommand.worker);
  if (worker == nullptr) {
    return;
  }
  Attempt* attempt = this->impl->state.FindAttempt(*worker, aCommand.task, aCommand.run);
  if (attempt != nullptr && attempt->stopConfirmedAt == TimePoint::max()) {
    attempt->stopConfirmedAt = aNow;
  }
}

void Dispatcher::OnAdvice(const AdviceRequest& aRequest,
                          const std::vector<AdviceGrant>& aGrants,
                          TimePoint aValidUntil)
{
  this->impl->advicePlanner.OnResponse(aRequest, aGrants, aValidUntil);
}

void Dispatcher::OnAdviceFailed(const AdviceRequest& aRequest, TimePoint aNow)
{
  this->impl->advicePlanner.OnFailure(aRequest, aNow);
}

std::vector<JobId> Dispatcher::TakeChangedJobs()
{
  std::vector<JobId> changed = std::move(this->impl->state.changedJobs);
  this->impl->state.changedJobs.clear();
  for (const JobId& id : changed) {
    if (Job* job = this->impl->state.FindJob(id)) {
      job->isDirty = false;
    }
  }
  return changed;
}

std::optional<DispatchState> Dispatcher::State(const JobId& aJob) const
{
  Job* job = this->impl->state.FindJob(aJob);
  return job == nullptr ? std::nullopt : std::optional(job->state);
}

std::size_t Dispatcher::CountQueuedJobs(const QueueName& aQueue) const
{
  const auto& jobs = this->impl->state.openJobs;
  return static_cast<std::size_t>(
    std::count_if(jobs.begin(), jobs.end(), [&aQueue](const Job* aJob) {
      return aJob->state == DispatchState::Queued && aJob->definition.queue == aQueue;
    }));
}

std::vector<JobId> Dispatcher::ClosedJobs() const
{
  std::vector<JobId> ids;
  for (const auto& [id, job] : this->impl->state.jobs) {
    if (job->IsFinished() && this->impl->state.openJobs.count(job.get()) == 0) {
      ids.push_back(id);
    }
  }
  return ids;
}

DispatchCounts Dispatcher::Counts(TimePoint aNow) const
{
  DispatchCounts counts;
  counts.openAdviceRequests = this->impl->advicePlanner.OpenRequestCount();
  counts.stepsPassedOver = this->impl->advicePlanner.StepsPassedOver();
  counts.jobs = this->impl->state.openJobs.size();
  counts.runningCopies = this->impl->state.runningCopies;
  counts.copiesStarted = this->impl->copiesStarted;
  counts.copiesWon = this->impl->copiesWon;
  for (const Job* job : this->impl->state.openJobs) {
    for (const auto& step : job->steps) {
      counts.runningTasks += step->active;
      if (!step->isReady || job->IsFinished()) {
        continue;
      }
      counts.waitingTasks += step->Waiting();
      if (step->spec->isService && step->waitingSince <= aNow) {
        counts.waitingServiceTasks += step->Waiting();
        if (aNow - step->waitingSince >= counts.longestServiceWait) {
          counts.longestServiceWait = aNow - step->waitingSince;
          counts.longestWaitingService = job->definition.id;
        }
      }
      counts.waitingHighestPriority += job->queue->priority == 0 ? step->Waiting() : 0;
      bool isAtCeiling =
        job->team != nullptr && !FleetState::FitsCeiling(*job->team, step->spec->size);
      counts.tasksAtCeiling += isAtCeiling ? step->Waiting() : 0;
    }
  }
  for (const auto& [id, worker] : this->impl->state.workers) {
    ++counts.workers;
    counts.reachableWorkers += worker->hasReported && !worker->isUnresponsive ? 1 : 0;
    counts.quarantinedWorkers += aNow < worker->quarantinedUntil ? 1 : 0;
    counts.capacity += worker->listing.capacity;
    counts.committed += worker->committed;
  }
  return counts;
}

DispatchRound Dispatcher::Decide(TimePoint aNow, WallTime aWall, std::size_t aRequestSlots)
{
  DispatchRound round;
  FleetState& state = this->impl->state;
  this->impl->wall = aWall;
  bool isSweepDue = aNow >= this->impl->nextSweep;
  if (isSweepDue) {
    this->impl->Sweep(aNow, round);
  }
  this->impl->overloadSelector.Update(aNow, round);
  std::vector<dispatch::WaitingStep> waiting;
  for (Job* job : state.openJobs) {
    if (job->IsFinished() || !FleetState::HasRules(*job->queue)) {
      continue;
    }
    for (const auto& step : job->steps) {
      bool isWaiting = step->isReady && step->Waiting() > 0;
      step->waitingSince = isWaiting ? std::min(step->waitingSince, aNow) : TimePoint::max();
      if (step->Waiting() > 0 &&
          (step->isReady || this->impl->advicePlanner.WillBeReadySoon(*step, aNow))) {
        waiting.emplace_back(dispatch::RankOf(*step, this->impl->settings.order, aNow), step.get());
      }
    }
  }
  std::sort(waiting.begin(), waiting.end());
  this->impl->UpdateHeadroom(waiting, aNow);
  this->impl->placement.BeginRound(aNow);
  this->impl->advicePlanner.BeginRound(
    std::any_of(waiting.begin(), waiting.end(), [aNow](const auto& aEntry) {
      return dispatch::AdvicePlanner::IsLongWaitingService(*aEntry.step, aNow);
    }));
  std::size_t position = 0;
  for (const dispatch::WaitingStep& entry : waiting) {
    Step* step = entry.step;
    if (round.starts.size() >= this->impl->settings.maxStartsPerRound) {
      break;
    }
    if (step->isReady && step->spec->isGang) {
      this->impl->PlaceGang(*step, aNow, round);
    } else if (step->isReady) {
      this->impl->PlaceStep(*step, aNow, round);
    }
    if (step->Waiting() > 0) {
      this->impl->advicePlanner.MaybeRequest(*step, aNow, aRequestSlots, position++, round);
    }
  }
  this->impl->PlanPreemptions(waiting, aNow, round);
  if (isSweepDue) {
    this->impl->PlaceCopies(waiting, aNow, aRequestSlots, position, round);
  }
  return round;
}

} // namespace daisydrift
