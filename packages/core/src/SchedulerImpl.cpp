#include "SchedulerImpl.h"

#include <algorithm>

namespace daisydrift {

using core::Attempt;
using core::EntityIndex;
using core::Job;
using core::Task;
using core::TaskEvent;
using core::TaskState;
using core::Team;
using core::Worker;

Scheduler::Impl::Impl(const PolicySettings& aSettings)
  : settings(aSettings)
  , recorder(this->state, this->settings)
  , placer(this->state, this->settings)
  , reliability(this->state)
  , outcomes(this->state, this->settings, this->reliability, this->timers)
  , shares(this->state, this->settings)
  , preemption(this->state, this->recorder)
  , gangs(this->state, this->placer, this->recorder)
  , enforcement(this->state, this->settings, this->recorder)
  , limitAdjuster(this->state, this->recorder)
  , jobStarter(this->state,
               this->settings,
               this->placer,
               this->recorder,
               this->gangs,
               this->preemption,
               this->shares,
               this->reliability)
  , explainer(this->state, this->shares, this->gangs, this->preemption, this->reliability)
{
}

std::error_code Scheduler::Impl::AddJob(const JobSpec& aSpec, TimePoint aNow)
{
  bool hasSize =
    aSpec.size.milliCores > 0 || aSpec.size.memoryMiB > 0 || aSpec.size.accelerators > 0;
  if (aSpec.number == 0 || aSpec.taskCount == 0 || !Resources().FitsIn(aSpec.size) || !hasSize ||
      aSpec.declaredRunTime < Duration::zero()) {
    return Errc::InvalidArgument;
  }
  if (this->state.FindTeam(aSpec.team) == nullptr) {
    return Errc::NotFound;
  }
  if (this->state.FindJob(aSpec.number) != nullptr) {
    return Errc::Conflict;
  }
  this->state.AddJob(aSpec, aNow);
  return {};
}

std::error_code Scheduler::Impl::CancelJob(JobNumber aJob)
{
  Job* job = this->state.FindJob(aJob);
  if (job == nullptr) {
    return Errc::NotFound;
  }
  this->outcomes.EndJob(*job, JobState::Cancelled, "cancelled");
  return {};
}

std::error_code Scheduler::Impl::EraseJob(JobNumber aJob)
{
  Job* job = this->state.FindJob(aJob);
  if (job == nullptr) {
    return Errc::NotFound;
  }
  if (!job->isFinished) {
    return Errc::NotPermitted;
  }
  this->reliability.EraseJob(*job);
  this->state.RemoveJob(aJob);
  return {};
}

void Scheduler::Impl::SetTeams(const std::vector<TeamPolicy>& aTeams)
{
  for (Team& team : this->state.teams) {
    team.isConfigured = false;
    team.policy.ceiling = {};
    team.policy.maxRunningTasks = 0;
  }
  for (const TeamPolicy& policy : aTeams) {
    Team& team = this->state.FindOrAddTeam(policy.name);
    team.isConfigured = true;
    team.policy = policy;
    team.policy.weight = std::max(1U, policy.weight);
  }
  for (Team& team : this->state.teams) {
    core::TeamQueue::RetryCeilingReached(team);
  }
  this->enforcement.OnCeilingsChanged();
}

void Scheduler::Impl::SetDrained(const std::set<FailureDomain>& aDrained, TimePoint aNow)
{
  for (EntityIndex i = 0; i < this->state.domains.size(); ++i) {
    const core::Domain& domain = this->state.domains[i];
    if (domain.isDrained && !aDrained.contains(domain.name)) {
      this->placer.OnDomainReturned(i, aNow);
    }
  }
  this->state.SetDrained(aDrained);
  for (EntityIndex i = 0; i < this->state.workers.size(); ++i) {
    this->enforcement.OnWorkerChanged(i);
  }
}

void Scheduler::Impl::UpdateWorker(const WorkerDescription& aWorker, TimePoint aNow)
{
  EntityIndex workerIndex = this->state.FindOrAddWorker(aWorker.id);
  Worker& worker = this->state.workers[workerIndex];
  bool isReplaced = aWorker.health == WorkerHealth::Gone || worker.health == WorkerHealth::Gone;
  this->state.SetWorkerDescription(workerIndex, aWorker);
  this->enforcement.OnWorkerChanged(workerIndex);
  if (isReplaced) {
    this->reliability.Reset(workerIndex);
  }
  if (worker.HasReported()) {
    this->ConfirmLimits(worker);
  }
  while (aWorker.health == WorkerHealth::Gone && !worker.attempts.empty()) {
    this->outcomes.OnEnded(
      worker.attempts.front(), AttemptOutcome::Interrupted, "worker gone", aNow);
  }
}

void Scheduler::Impl::ConfirmLimits(Worker& aWorker)
{
  for (Attempt& attempt : aWorker.attempts) {
    if (attempt.isLimitUnconfirmed) {
      this->state.SetLimitUnconfirmed(attempt, false);
      this->enforcement.OnCeilingsChanged();
    }
  }
}

void Scheduler::Impl::OnStarted(const AttemptId& aAttempt, TimePoint aNow)
{
  Attempt* attempt = this->state.FindAttempt(aAttempt);
  if (attempt == nullptr || attempt->hasStarted) {
    return;
  }
  this->state.ApplyEvent(attempt->job->tasks[attempt->taskIndex], TaskEvent::Start);
  attempt->hasStarted = true;
  attempt->workSavedAt = aNow;
  attempt->expectedEnd += aNow - attempt->assignedAt;
}

void Scheduler::Impl::OnEnded(const AttemptId& aAttempt,
                              AttemptOutcome aOutcome,
                              const std::string& aDetail,
                              TimePoint aNow)
{
  Attempt* attempt = this->state.FindAttempt(aAttempt);
  if (attempt != nullptr) {
    this->outcomes.OnEnded(*attempt, aOutcome, aDetail, aNow);
  }
}

void Scheduler::Impl::OnCheckpointed(const AttemptId& aAttempt, TimePoint aNow)
{
  Attempt* attempt = this->state.FindAttempt(aAttempt);
  if (attempt != nullptr) {
    attempt->workSavedAt = aNow;
  }
}

void Scheduler::Impl::OnUsage(const AttemptId& aAttempt, const Resources& aUsage, TimePoint aNow)
{
  Attempt* attempt = this->state.FindAttempt(aAttempt);
  if (attempt != nullptr) {
    this->limitAdjuster.OnUsage(*attempt, aUsage, aNow);
  }
}

Task* Scheduler::Impl::RemoveWaitingTask(const TaskId& aTask)
{
  Job* job = this->state.FindJob(aTask.job);
  if (job == nullptr || aTask.index >= job->tasks.size()) {
    return nullptr;
  }
  auto first = job->waiting.begin() + static_cast<std::ptrdiff_t>(job->waitingHead);
  auto it = std::find(first, job->waiting.end(), aTask.index);
  if (it == job->waiting.end()) {
    return nullptr;
  }
  job->waiting.erase(it);
  return &job->tasks[aTask.index];
}

bool Scheduler::Impl::ReopenTask(const TaskId& aTask)
{
  Job* job = this->state.FindJob(aTask.job);
  if (job == nullptr || job->isFinished || aTask.index >= job->tasks.size() ||
      job->tasks[aTask.index].state != TaskState::Cancelled) {
    return false;
  }
  job->tasks[aTask.index].state = core::TaskChart::Instance().Initial();
  return true;
}

void Scheduler::Impl::RestoreAttempt(const AttemptId& aAttempt,
                                     const WorkerId& aWorker,
                                     const Resources& aLimit,
                                     TimePoint aNow)
{
  if (this->RemoveWaitingTask(aAttempt.task) == nullptr && !this->ReopenTask(aAttempt.task)) {
    return;
  }
  Job& job = *this->state.FindJob(aAttempt.task.job);
  Attempt& attempt = this->state.AddAttempt(
    job, aAttempt.task.index, aAttempt.attempt, this->state.FindOrAddWorker(aWorker), aLimit, aNow);
  this->state.SetLimitUnconfirmed(attempt, !this->state.workers[attempt.worker].HasReported());
  if (!job.isEnding) {
    job.state = JobState::Running;
  }
  this->state.UpdateQueue(job);
  // A gang that is only partly restored must be stopped.
  this->outcomes.MarkForReview(job);
  this->enforcement.OnCeilingsChanged();
}

void Scheduler::Impl::RestoreLimit(const AttemptId& aAttempt, const Resources& aLimit)
{
  Attempt* attempt = this->state.FindAttempt(aAttempt);
  if (attempt == nullptr) {
    return;
  }
  attempt->limit = aLimit;
  this->state.SetCommitted(*attempt, aLimit);
  this->state.SetLimitUnconfirmed(*attempt, false);
  this->enforcement.OnCeilingsChanged();
}

void Scheduler::Impl::RestoreTask(const TaskId& aTask,
                                  std::uint32_t aAttempts,
                                  std::uint32_t aFailures,
                                  bool aHasSucceeded)
{
  Job* job = this->state.FindJob(aTask.job);
  if (job == nullptr || aTask.index >= job->tasks.size()) {
    return;
  }
  Task& task = job->tasks[aTask.index];
  task.attempts = std::max(task.attempts, aAttempts);
  task.failures = std::max(task.failures, aFailures);
  bool hasFailed = task.failures >= job->spec.maxFailures && !job->IsService();
  if ((!aHasSucceeded && !hasFailed) || this->RemoveWaitingTask(aTask) == nullptr) {
    return;
  }
  this->state.ApplyEvent(task, aHasSucceeded ? TaskEvent::Succeed : TaskEvent::Exhaust);
  ++(aHasSucceeded ? job->succeededCount : job->failedCount);
  job->hasHealthyTask |= aHasSucceeded;
  this->state.UpdateQueue(*job);
  this->outcomes.MarkForReview(*job);
  if (job->IsGang() && !aHasSucceeded) {
    this->outcomes.EndJob(*job, JobState::Failed, "a task failed for the last time");
  }
}

void Scheduler::Impl::RestoreTaskWithUnknownOutcome(const TaskId& aTask, std::uint32_t aAttempts)
{
  Task* task = this->RemoveWaitingTask(aTask);
  if (task == nullptr) {
    return;
  }
  Job& job = *this->state.FindJob(aTask.job);
  task->attempts = std::max(task->attempts, aAttempts);
  this->state.ApplyEvent(*task, TaskEvent::Lose);
  ++job.unknownCount;
  job.reason = "task " + std::to_string(aTask.index) + " ended without an outcome";
  this->state.UpdateQueue(job);
  if (job.IsGang()) {
    this->outcomes.EndJob(job, JobState::OutcomeUnknown, job.reason);
  }
  this->outcomes.MarkForReview(job);
}

void Scheduler::Impl::FireTimers(TimePoint aNow)
{
  while (auto timer = this->timers.Pop(aNow)) {
    if (timer->task.job != 0) {
      this->outcomes.OnDelayOver(timer->task);
      continue;
    }
    this->state.workers[timer->worker].isPausedAfterRejection = false;
    this->state.ReindexWorker(timer->worker);
  }
}

void Scheduler::Impl::FailOversizedJobs()
{
  for (JobNumber number : this->limitAdjuster.TakeOutgrownJobs()) {
    Job* job = this->state.FindJob(number);
    if (job == nullptr || job->isEnding) {
      continue;
    }
    JobSpec grown = job->spec;
    grown.size = core::Max(grown.size, job->grownSize);
    if (auto rejection = this->explainer.CheckJob(grown)) {
      this->outcomes.EndJob(*job, JobState::Failed, "outgrew its size: " + rejection->message);
    }
  }
}

std::vector<Decision> Scheduler::Impl::Decide(TimePoint aNow, std::size_t aMaxStarts)
{
  this->recorder.BeginRound();
  this->FireTimers(aNow);
  this->placer.Advance(aNow);
  this->shares.Advance(aNow);
  this->reliability.Advance(aNow);
  this->outcomes.ReviewJobs(this->recorder);
  this->enforcement.Run(aNow);
  this->limitAdjuster.Run(aNow);
  this->FailOversizedJobs();
  this->jobStarter.Run(aNow, aMaxStarts);
  return this->recorder.Take();
}

std::vector<TeamUsage> Scheduler::Impl::Teams() const
{
  std::vector<TeamUsage> all;
  for (const Team& team : this->state.teams) {
    all.push_back({ team.policy.name,
                    team.policy.weight,
                    team.running,
                    team.runningTasks,
                    team.waitingTasks,
                    core::DominantShare(team.running, this->state.regionCapacity),
                    team.fairShare });
  }
  std::sort(all.begin(), all.end(), [](const TeamUsage& aLeft, const TeamUsage& aRight) {
    return aLeft.team < aRight.team;
  });
  return all;
}

} // namespace daisydrift
