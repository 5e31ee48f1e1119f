// Stops of running tasks for tasks of a higher priority.

#include "DispatcherImpl.h"

#include <algorithm>

namespace daisydrift {

using dispatch::Attempt;
using dispatch::AttemptState;
using dispatch::FleetState;
using dispatch::Job;
using dispatch::PreemptibleRun;
using dispatch::PreemptionNeed;
using dispatch::PreemptionPlanner;
using dispatch::PreemptionWorker;
using dispatch::Step;
using dispatch::Task;
using dispatch::Worker;

namespace {
/// Time between two plans; a stop takes several times as long.
constexpr std::chrono::milliseconds kPlanInterval{ 100 };
/// Most steps that one plan considers, first in the scheduling order first.
constexpr std::size_t kMaxNeeds = 20;
/// Larger gangs are not stopped: each of their runs looks at all others, and they would seldom fit
/// into the tenth of the running work that may be stopped.
constexpr std::size_t kMaxGangTasks = 64;

/// Expected time until the run ends by itself, by its progress and declared run time.
Duration TimeLeft(const Attempt& aAttempt, TimePoint aNow)
{
  const StepSpec& spec = *aAttempt.step->spec;
  if (aAttempt.progressPercent > 0) {
    return spec.estimate * (100 - std::min(aAttempt.progressPercent, 100)) / 100;
  }
  return std::max<Duration>(spec.estimate - (aNow - aAttempt.decidedAt), Duration(0));
}

/// Work that a stop of the run loses, in core seconds.
double LostWork(const Attempt& aAttempt, TimePoint aNow)
{
  constexpr double kMilliCoresPerCore = 1000;
  const StepSpec& spec = *aAttempt.step->spec;
  Duration lost =
    spec.canCheckpoint ? Duration(PreemptionPlanner::kRestoreTime) : aNow - aAttempt.confirmedAt;
  return std::chrono::duration<double>(lost).count() * static_cast<double>(spec.size.milliCores) /
         kMilliCoresPerCore;
}

/// A run of a gang can be stopped only with all others.
bool CanStop(const Attempt& aAttempt, TimePoint aNow)
{
  const Step& step = *aAttempt.step;
  auto isStoppable = [aNow](const Task& aTask) {
    const Attempt* attempt = aTask.attempt;
    return attempt != nullptr && attempt->state == AttemptState::Running && !attempt->isStopping &&
           !attempt->worker->isUnresponsive &&
           aNow - aTask.preemptedAt >= PreemptionPlanner::kRepeatDelay;
  };
  bool isLargeGang = step.spec->isGang && step.tasks.size() > kMaxGangTasks;
  if (step.spec->isService || step.spec->usesSpareCores || isLargeGang || step.job->IsFinished()) {
    return false;
  }
  return step.spec->isGang ? std::all_of(step.tasks.begin(), step.tasks.end(), isStoppable)
                           : isStoppable(step.tasks[aAttempt.index]);
}
} // namespace

PreemptibleRun Dispatcher::Impl::DescribeRun(const Attempt& aAttempt, TimePoint aNow) const
{
  const Step& step = *aAttempt.step;
  PreemptibleRun run;
  run.key = aAttempt.key;
  run.size = FleetState::CommittedResources(*step.spec);
  run.priority = step.job->queue->priority;
  run.canCheckpoint = step.spec->canCheckpoint;
  run.canStop = CanStop(aAttempt, aNow);
  run.left = aAttempt.isStopping ? this->preemptionPlanner.StopTime() : TimeLeft(aAttempt, aNow);
  if (step.spec->isService && !aAttempt.isStopping) {
    run.left = Duration::max();
  }
  if (aAttempt.worker->isUnresponsive) {
    run.left = Duration::max(); // Its capacity is free when its leases have ended.
  }
  auto members = static_cast<std::int64_t>(step.spec->isGang ? step.tasks.size() : 1);
  run.lostWork = LostWork(aAttempt, aNow) * static_cast<double>(members);
  run.stoppedMilliCores = run.size.milliCores * members;
  bool isWholeGang = step.spec->isGang && step.tasks.front().attempt != nullptr;
  run.gang = isWholeGang ? step.tasks.front().attempt->key : 0;
  return run;
}

PreemptionNeed Dispatcher::Impl::DescribeNeed(const Step& aStep, TimePoint aNow) const
{
  const Job& job = *aStep.job;
  PreemptionNeed need;
  need.priority = job.queue->priority;
  need.size = FleetState::CommittedResources(*aStep.spec);
  need.tasks = static_cast<std::uint32_t>(aStep.Waiting());
  while (need.tasks > 1 && job.team != nullptr &&
         !FleetState::FitsCeiling(*job.team, aStep.spec->size, need.tasks)) {
    --need.tasks;
  }
  need.slack = job.addedAt + job.latencyObjective - job.criticalPaths[aStep.number] - aNow;
  need.usable.assign(this->state.WorkerNumbers(), false);
  TimePoint startsAt = aNow + this->preemptionPlanner.StopTime() + this->settings.ticketMargin;
  for (const Worker* worker : this->placement.Accepting(aStep)) {
    const dispatch::Ticket* ticket = aStep.advice.Find(worker->number);
    bool hasTicket = !job.queue->advice || (ticket != nullptr && ticket->validUntil > startsAt);
    need.usable[worker->number] = hasTicket && dispatch::Placement::Matches(aStep, *worker);
  }
  return need;
}

bool Dispatcher::Impl::MayPreempt(const Step& aStep, TimePoint aNow) const
{
  const Job& job = *aStep.job;
  bool fitsCeiling = job.team == nullptr || FleetState::FitsCeiling(*job.team, aStep.spec->size);
  return aStep.isReady && aStep.Waiting() > 0 && !aStep.spec->isGang &&
         !aStep.spec->usesSpareCores && !job.isOverRate &&
         job.outlook == dispatch::JobOutlook::InTime && fitsCeiling &&
         aNow < job.addedAt + job.latencyObjective;
}

void Dispatcher::Impl::PlanPreemptions(const std::vector<dispatch::WaitingStep>& aWaiting,
                                       TimePoint aNow,
                                       DispatchRound& aRound)
{
  if (!this->settings.preemption || aNow < this->nextPreemptionPlan) {
    return;
  }
  this->nextPreemptionPlan = aNow + kPlanInterval;
  std::map<std::string, std::vector<const Step*>> needs;
  std::size_t count = 0;
  for (const dispatch::WaitingStep& entry : aWaiting) {
    if (count < kMaxNeeds && this->MayPreempt(*entry.step, aNow)) {
      needs[entry.step->job->queue->service].push_back(entry.step);
      ++count;
    }
  }
  for (const auto& [service, steps] : needs) {
    this->PlanPreemptionsOf(steps, aNow, aRound);
  }
}

void Dispatcher::Impl::PlanPreemptionsOf(const std::vector<const Step*>& aSteps,
                                         TimePoint aNow,
                                         DispatchRound& aRound)
{
  std::vector<PreemptionWorker> workers;
  // Cores of lower priorities than the first step's, and those of them that are being stopped.
  std::int64_t running = 0;
  std::int64_t stopping = 0;
  std::uint32_t priority = aSteps.front()->job->queue->priority;
  for (Worker* worker : this->placement.Accepting(*aSteps.front())) {
    PreemptionWorker& described = workers.emplace_back();
    described.number = worker->number;
    described.free = worker->Free();
    for (const Attempt& attempt : worker->attempts) {
      described.runs.push_back(this->DescribeRun(attempt, aNow));
      const PreemptibleRun& run = described.runs.back();
      if (run.priority > priority && !attempt.step->spec->isService) {
        running += run.size.milliCores;
        stopping += attempt.isStopping ? run.size.milliCores : 0;
      }
    }
  }
  auto budget =
    static_cast<std::int64_t>(static_cast<double>(running) * PreemptionPlanner::kMaxStoppedShare) -
    stopping;
  for (const Step* step : aSteps) {
    PreemptionNeed need = this->DescribeNeed(*step, aNow);
    for (AttemptKey key : this->preemptionPlanner.Plan(need, workers, budget)) {
      this->Preempt(*this->state.FindAttempt(key), *step, need.slack, aNow, aRound);
    }
  }
}

void Dispatcher::Impl::Preempt(Attempt& aAttempt,
                               const Step& aFor,
                               Duration aSlack,
                               TimePoint aNow,
                               DispatchRound& aRound)
{
  if (aAttempt.isStopping) {
    return; // Another member of its gang was chosen as well.
  }
  Step& step = *aAttempt.step;
  if (step.spec->isGang) {
    this->StopGang(step);
  }
  aAttempt.isStopping = true;
  for (Task& task : step.tasks) {
    if (task.attempt != nullptr && (step.spec->isGang || task.attempt == &aAttempt)) {
      task.preemptedAt = aNow;
      aRound.tasksPreempted.push_back(step.job->definition.queue);
    }
  }
  this->nextSweep = aNow; // Sends the stops.
  LogLine(LogLevel::Info, "task_preempted")
    .Add("job", step.job->definition.id)
    .Add("queue", step.job->definition.queue)
    .Add("step", step.number)
    .Add("task", aAttempt.index)
    .Add("run", aAttempt.run)
    .Add("worker", aAttempt.worker->listing.id)
    .Add("percent", aAttempt.progressPercent)
    .Add("cause", aFor.spec->isService ? "service_waits" : "step_waits")
    .Add("for_job", aFor.job->definition.id)
    .Add("for_slack_ms", aSlack)
    .Add("stop_ms", this->preemptionPlanner.StopTime());
}

} // namespace daisydrift
