#include "TaskOutcomes.h"

#include <algorithm>
#include <cassert>

namespace daisydrift::core {

namespace {

/// Run time after which a service task counts as healthy.
constexpr std::chrono::seconds kMinHealthyRunTime{ 30 };
/// Bounds of the delay before a service task is restarted after an early exit.
constexpr std::chrono::seconds kInitialRestartDelay{ 1 };
constexpr std::chrono::seconds kMaxRestartDelay{ 60 };
/// Time for which a worker gets no new tasks after it rejected one.
constexpr std::chrono::seconds kRejectionPause{ 1 };

} // namespace

TaskOutcomes::TaskOutcomes(ClusterState& aState,
                           const PolicySettings& aSettings,
                           WorkerReliability& aReliability,
                           Timers& aTimers)
  : state(aState)
  , settings(aSettings)
  , reliability(aReliability)
  , timers(aTimers)
{
}

void TaskOutcomes::OnEnded(Attempt& aAttempt,
                           AttemptOutcome aOutcome,
                           const std::string& aDetail,
                           TimePoint aNow)
{
  Job& job = *aAttempt.job;
  std::uint32_t index = aAttempt.taskIndex;
  EntityIndex worker = aAttempt.worker;
  bool isProbe = aAttempt.isProbe;
  bool wasStopping = aAttempt.isStopping;
  Duration runTime = aNow - aAttempt.assignedAt;
  bool hasSucceeded = aOutcome == AttemptOutcome::Succeeded;
  Estimates::RecordAttempt(*job.estimate, aAttempt, hasSucceeded && !job.IsService(), aNow);
  this->state.RemoveAttempt(aAttempt);
  Task& task = job.tasks[index];
  this->MarkForReview(job);

  // A failure of a repeatable task that is being stopped was most likely caused by the stop.
  if (aOutcome == AttemptOutcome::Failed && wasStopping && job.spec.isRepeatable) {
    aOutcome = AttemptOutcome::Interrupted;
  }
  if (hasSucceeded) {
    this->reliability.OnSuccess(worker);
  }
  if (hasSucceeded && !(job.IsService() && !job.isEnding)) {
    this->state.ApplyEvent(task, TaskEvent::Succeed);
    ++job.succeededCount;
    job.hasHealthyTask = true;
    this->state.UpdateQueue(job);
    return;
  }
  if (aOutcome == AttemptOutcome::Rejected) {
    this->state.workers[worker].isPausedAfterRejection = true;
    this->state.ReindexWorker(worker);
    this->timers.Add(aNow + kRejectionPause, { {}, worker });
  }
  if (job.isEnding) {
    this->state.ApplyEvent(task, TaskEvent::Cancel);
    return;
  }
  switch (aOutcome) {
    case AttemptOutcome::Succeeded:
      this->RestartServiceTask(job, index, runTime, aNow);
      break;
    case AttemptOutcome::Failed:
      if (isProbe) {
        this->reliability.OnProbeFailure(worker, aNow);
        this->RetryTask(job, index, Duration::zero(), aNow);
      } else {
        job.hasHealthyTask |= job.IsService() && runTime >= kMinHealthyRunTime;
        this->OnFailed(job, index, worker, aDetail, aNow);
      }
      break;
    case AttemptOutcome::Interrupted:
      if (job.spec.isRepeatable) {
        this->RetryTask(job, index, Duration::zero(), aNow);
        break;
      }
      this->state.ApplyEvent(task, TaskEvent::Lose);
      ++job.unknownCount;
      job.reason = "task " + std::to_string(index) + " is not repeatable and ended on worker " +
                   this->state.workers[worker].id + " without an outcome";
      this->state.UpdateQueue(job);
      if (job.IsGang()) {
        this->EndJob(job, JobState::OutcomeUnknown, job.reason);
      }
      break;
    case AttemptOutcome::Rejected:
      this->RetryTask(job, index, Duration::zero(), aNow);
      break;
  }
}

void TaskOutcomes::RestartServiceTask(Job& aJob,
                                      std::uint32_t aTask,
                                      Duration aRunTime,
                                      TimePoint aNow)
{
  this->RetryTask(aJob, aTask, this->RestartDelay(aJob, aTask, aRunTime), aNow);
}

Duration TaskOutcomes::RestartDelay(Job& aJob, std::uint32_t aTask, Duration aRunTime) const
{
  Task& task = aJob.tasks[aTask];
  if (aRunTime >= kMinHealthyRunTime) {
    task.earlyExits = 0;
    aJob.hasHealthyTask = true;
    return Duration::zero();
  }
  Duration delay = kInitialRestartDelay;
  for (std::uint32_t i = 0; i < task.earlyExits && delay < kMaxRestartDelay; ++i) {
    delay *= 2;
  }
  ++task.earlyExits;
  return std::min<Duration>(delay, kMaxRestartDelay);
}

void TaskOutcomes::OnFailed(Job& aJob,
                            std::uint32_t aTask,
                            EntityIndex aWorker,
                            const std::string& aDetail,
                            TimePoint aNow)
{
  Task& task = aJob.tasks[aTask];
  ++task.failures;
  aJob.failedPlacements.emplace_back(aTask, aWorker);
  this->reliability.OnFailure(aWorker, aJob, aTask, aNow);
  std::string lastError = aDetail.empty() ? "" : "; last error: " + aDetail;
  std::size_t workers = CountFailedWorkers(aJob, aTask);
  std::string name = "task " + std::to_string(aTask);
  bool isProvenService = aJob.IsService() && aJob.hasHealthyTask;
  if (workers >= this->settings.poisonWorkerCount && !isProvenService) {
    this->FailTask(aJob,
                   aTask,
                   name + " failed on " + std::to_string(workers) + " different workers" +
                     lastError,
                   true);
    return;
  }
  if (task.failures >= aJob.spec.maxFailures && !aJob.IsService()) {
    this->FailTask(aJob,
                   aTask,
                   name + " failed " + std::to_string(task.failures) + " times on " +
                     std::to_string(workers) + " workers" + lastError,
                   false);
    return;
  }
  Duration delay =
    aJob.IsService() ? this->RestartDelay(aJob, aTask, Duration::zero()) : Duration::zero();
  this->RetryTask(aJob, aTask, delay, aNow);
}

std::size_t TaskOutcomes::CountFailedWorkers(const Job& aJob, std::uint32_t aTask)
{
  std::set<EntityIndex> failedWorkers;
  for (const auto& [task, worker] : aJob.failedPlacements) {
    if (task == aTask) {
      failedWorkers.insert(worker);
    }
  }
  return failedWorkers.size();
}

void TaskOutcomes::FailTask(Job& aJob,
                            std::uint32_t aTask,
                            const std::string& aReason,
                            bool aIsJobAtFault)
{
  this->state.ApplyEvent(aJob.tasks[aTask], TaskEvent::Exhaust);
  ++aJob.failedCount;
  aJob.reason = aReason;
  if (aIsJobAtFault) {
    this->reliability.ClearFailures(aJob);
  }
  // If other tasks of the job succeed, only this task is faulty and the others continue.
  if (aJob.IsGang() || aJob.IsService() || (aIsJobAtFault && !aJob.hasHealthyTask)) {
    this->EndJob(aJob, JobState::Failed, aReason);
    return;
  }
  this->state.UpdateQueue(aJob);
}

void TaskOutcomes::RetryTask(Job& aJob, std::uint32_t aTask, Duration aDelay, TimePoint aNow)
{
  Task& task = aJob.tasks[aTask];
  if (aDelay > Duration::zero()) {
    this->state.ApplyEvent(task, TaskEvent::Delay);
    ++aJob.delayedCount;
    this->timers.Add(aNow + aDelay, { { aJob.spec.number, aTask }, kNoEntity });
  } else {
    this->state.ApplyEvent(task, TaskEvent::Retry);
    aJob.waiting.push_back(aTask);
  }
  aJob.waitingSince = aNow;
  this->state.UpdateQueue(aJob);
}

void TaskOutcomes::OnDelayOver(const TaskId& aTask)
{
  Job* job = this->state.FindJob(aTask.job);
  if (job == nullptr || job->tasks[aTask.index].state != TaskState::Delayed) {
    return;
  }
  this->state.ApplyEvent(job->tasks[aTask.index], TaskEvent::Ready);
  --job->delayedCount;
  job->waiting.push_back(aTask.index);
  this->state.UpdateQueue(*job);
}

void TaskOutcomes::EndJob(Job& aJob, JobState aState, const std::string& aReason)
{
  if (aJob.isEnding) {
    return;
  }
  aJob.isEnding = true;
  aJob.state = aState;
  aJob.reason = aReason;
  for (Task& task : aJob.tasks) {
    if (task.state == TaskState::Waiting || task.state == TaskState::Delayed) {
      this->state.ApplyEvent(task, TaskEvent::Cancel);
    }
  }
  this->state.UpdateQueue(aJob);
  aJob.waiting.clear();
  aJob.waitingHead = 0;
  aJob.delayedCount = 0;
  this->MarkForReview(aJob);
}

bool TaskOutcomes::IsComplete(const Job& aJob)
{
  if (aJob.activeCount > 0) {
    return false;
  }
  return aJob.isEnding ||
         aJob.succeededCount + aJob.failedCount + aJob.unknownCount == aJob.tasks.size();
}

void TaskOutcomes::SetFinalState(Job& aJob)
{
  if (aJob.state == JobState::Cancelled) {
    return;
  }
  if (aJob.unknownCount > 0) {
    aJob.state = JobState::OutcomeUnknown;
  } else if (aJob.failedCount > 0 || aJob.isEnding) {
    aJob.state = JobState::Failed;
  } else {
    aJob.state = JobState::Succeeded;
    aJob.reason.clear();
  }
}

void TaskOutcomes::ReviewJobs(DecisionRecorder& aRecorder)
{
  std::set<JobNumber> numbers;
  numbers.swap(this->jobsToReview);
  for (JobNumber number : numbers) {
    Job* job = this->state.FindJob(number);
    if (job == nullptr || job->isFinished) {
      continue;
    }
    // All tasks of a gang run together: if one needs another attempt, the others are stopped first.
    bool isIncomplete = job->IsGang() && job->WaitingCount() > 0;
    if ((job->isEnding || isIncomplete) && job->activeCount > 0) {
      StopReason reason = job->isEnding ? StopReason::Cancelled : StopReason::GangIncomplete;
      for (Task& task : job->tasks) {
        if (task.attempt != nullptr) {
          aRecorder.Stop(*task.attempt, reason);
        }
      }
    }
    if (IsComplete(*job)) {
      SetFinalState(*job);
      job->isEnding = true;
      this->state.UpdateQueue(*job);
      aRecorder.FinishJob(*job);
    }
  }
}

} // namespace daisydrift::core
