#include "TaskOutcomes.h"

#include <algorithm>
#include <cassert>

namespace daisydrift::core {

namespace {

/// A service task that ran this long was healthy.
constexpr std::chrono::seconds kHealthyRunTime{ 30 };
/// Delays before a service task that ended early is started again.
constexpr std::chrono::seconds kFirstServiceDelay{ 1 };
constexpr std::chrono::seconds kLongestServiceDelay{ 60 };
/// Time for which a worker that rejected a start gets no other.
constexpr std::chrono::seconds kRejectionPause{ 1 };

} // namespace

TaskOutcomes::TaskOutcomes(ClusterState& aState,
                           const PolicySettings& aSettings,
                           WorkerTrust& aTrust,
                           Timers& aTimers)
  : state(aState)
  , settings(aSettings)
  , trust(aTrust)
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
  Position worker = aAttempt.worker;
  bool isProbe = aAttempt.isProbe;
  bool wasStopping = aAttempt.isStopping;
  Duration runTime = aNow - aAttempt.assignedAt;
  bool hasSucceeded = aOutcome == AttemptOutcome::Succeeded;
  Estimates::Learn(*job.estimate, aAttempt, hasSucceeded && !job.IsService(), aNow);
  this->state.RemoveAttempt(aAttempt);
  Task& task = job.tasks[index];
  this->Review(job);

  // A repeatable task that reports a failure while it is stopped most likely failed because of it.
  if (aOutcome == AttemptOutcome::Failed && wasStopping && job.spec.isRepeatable) {
    aOutcome = AttemptOutcome::Interrupted;
  }
  if (hasSucceeded) {
    this->trust.OnSuccess(worker);
  }
  if (hasSucceeded && !(job.IsService() && !job.isEnding)) {
    this->state.Apply(task, TaskEvent::Succeed);
    ++job.succeededCount;
    job.hasHealthyTask = true;
    this->state.Requeue(job);
    return;
  }
  if (aOutcome == AttemptOutcome::Rejected) {
    this->state.workers[worker].isRejecting = true;
    this->state.RefreshWorker(worker);
    this->timers.Add(aNow + kRejectionPause, { {}, worker });
  }
  if (job.isEnding) {
    this->state.Apply(task, TaskEvent::Cancel);
    return;
  }
  switch (aOutcome) {
    case AttemptOutcome::Succeeded:
      this->OnSucceeded(job, index, runTime, aNow);
      break;
    case AttemptOutcome::Failed:
      if (isProbe) {
        this->trust.OnProbeFailure(worker, aNow);
        this->Retry(job, index, Duration::zero(), aNow);
      } else {
        job.hasHealthyTask |= job.IsService() && runTime >= kHealthyRunTime;
        this->OnFailed(job, index, worker, aDetail, aNow);
      }
      break;
    case AttemptOutcome::Interrupted:
      if (job.spec.isRepeatable) {
        this->Retry(job, index, Duration::zero(), aNow);
        break;
      }
      this->state.Apply(task, TaskEvent::Lose);
      ++job.unknownCount;
      job.reason = "task " + std::to_string(index) + " is not repeatable and ended on worker " +
                   this->state.workers[worker].id + " without an outcome";
      this->state.Requeue(job);
      if (job.IsGang()) {
        this->EndJob(job, JobState::OutcomeUnknown, job.reason);
      }
      break;
    case AttemptOutcome::Rejected:
      this->Retry(job, index, Duration::zero(), aNow);
      break;
  }
}

void TaskOutcomes::OnSucceeded(Job& aJob, std::uint32_t aTask, Duration aRunTime, TimePoint aNow)
{
  this->Retry(aJob, aTask, this->ServiceDelay(aJob, aTask, aRunTime), aNow);
}

Duration TaskOutcomes::ServiceDelay(Job& aJob, std::uint32_t aTask, Duration aRunTime) const
{
  Task& task = aJob.tasks[aTask];
  if (aRunTime >= kHealthyRunTime) {
    task.quickEnds = 0;
    aJob.hasHealthyTask = true;
    return Duration::zero();
  }
  Duration delay = kFirstServiceDelay;
  for (std::uint32_t i = 0; i < task.quickEnds && delay < kLongestServiceDelay; ++i) {
    delay *= 2;
  }
  ++task.quickEnds;
  return std::min<Duration>(delay, kLongestServiceDelay);
}

void TaskOutcomes::OnFailed(Job& aJob,
                            std::uint32_t aTask,
                            Position aWorker,
                            const std::string& aDetail,
                            TimePoint aNow)
{
  Task& task = aJob.tasks[aTask];
  ++task.failures;
  aJob.failedOn.emplace_back(aTask, aWorker);
  this->trust.OnFailure(aWorker, aJob, aTask, aNow);
  std::string last = aDetail.empty() ? "" : "; last error: " + aDetail;
  std::size_t workers = DifferentWorkers(aJob, aTask);
  std::string name = "task " + std::to_string(aTask);
  bool isProvenService = aJob.IsService() && aJob.hasHealthyTask;
  if (workers >= this->settings.poisonWorkerCount && !isProvenService) {
    this->Fail(aJob,
               aTask,
               name + " failed on " + std::to_string(workers) + " different workers" + last,
               true);
    return;
  }
  if (task.failures >= aJob.spec.maxFailures && !aJob.IsService()) {
    this->Fail(aJob,
               aTask,
               name + " failed " + std::to_string(task.failures) + " times on " +
                 std::to_string(workers) + " workers" + last,
               false);
    return;
  }
  Duration delay =
    aJob.IsService() ? this->ServiceDelay(aJob, aTask, Duration::zero()) : Duration::zero();
  this->Retry(aJob, aTask, delay, aNow);
}

std::size_t TaskOutcomes::DifferentWorkers(const Job& aJob, std::uint32_t aTask)
{
  std::set<Position> different;
  for (const auto& [task, worker] : aJob.failedOn) {
    if (task == aTask) {
      different.insert(worker);
    }
  }
  return different.size();
}

void TaskOutcomes::Fail(Job& aJob,
                        std::uint32_t aTask,
                        const std::string& aReason,
                        bool aIsJobAtFault)
{
  this->state.Apply(aJob.tasks[aTask], TaskEvent::Exhaust);
  ++aJob.failedCount;
  aJob.reason = aReason;
  if (aIsJobAtFault) {
    this->trust.OnJobAtFault(aJob);
  }
  // When other tasks of the job succeed, only this one is at fault and the rest goes on.
  if (aJob.IsGang() || aJob.IsService() || (aIsJobAtFault && !aJob.hasHealthyTask)) {
    this->EndJob(aJob, JobState::Failed, aReason);
    return;
  }
  this->state.Requeue(aJob);
}

void TaskOutcomes::Retry(Job& aJob, std::uint32_t aTask, Duration aDelay, TimePoint aNow)
{
  Task& task = aJob.tasks[aTask];
  if (aDelay > Duration::zero()) {
    this->state.Apply(task, TaskEvent::Delay);
    ++aJob.delayedCount;
    this->timers.Add(aNow + aDelay, { { aJob.spec.number, aTask }, kNoPosition });
  } else {
    this->state.Apply(task, TaskEvent::Retry);
    aJob.waiting.push_back(aTask);
  }
  aJob.waitingSince = aNow;
  this->state.Requeue(aJob);
}

void TaskOutcomes::OnDelayOver(const TaskId& aTask)
{
  Job* job = this->state.FindJob(aTask.job);
  if (job == nullptr || job->tasks[aTask.index].state != TaskState::Delayed) {
    return;
  }
  this->state.Apply(job->tasks[aTask.index], TaskEvent::Ready);
  --job->delayedCount;
  job->waiting.push_back(aTask.index);
  this->state.Requeue(*job);
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
      this->state.Apply(task, TaskEvent::Cancel);
    }
  }
  this->state.Requeue(aJob);
  aJob.waiting.clear();
  aJob.waitingHead = 0;
  aJob.delayedCount = 0;
  this->Review(aJob);
}

bool TaskOutcomes::IsComplete(const Job& aJob)
{
  if (aJob.activeCount > 0) {
    return false;
  }
  return aJob.isEnding ||
         aJob.succeededCount + aJob.failedCount + aJob.unknownCount == aJob.tasks.size();
}

void TaskOutcomes::Conclude(Job& aJob)
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

void TaskOutcomes::Settle(Commands& aCommands)
{
  std::set<JobNumber> numbers;
  numbers.swap(this->reviewed);
  for (JobNumber number : numbers) {
    Job* job = this->state.FindJob(number);
    if (job == nullptr || job->isFinished) {
      continue;
    }
    // A gang runs whole: when one task needs another attempt, all others stop first.
    bool isBroken = job->IsGang() && job->WaitingCount() > 0;
    if ((job->isEnding || isBroken) && job->activeCount > 0) {
      StopReason reason = job->isEnding ? StopReason::Cancelled : StopReason::GangIncomplete;
      for (Task& task : job->tasks) {
        if (task.attempt != nullptr) {
          aCommands.Stop(*task.attempt, reason);
        }
      }
    }
    if (IsComplete(*job)) {
      Conclude(*job);
      job->isEnding = true;
      this->state.Requeue(*job);
      aCommands.Finish(*job);
    }
  }
}

} // namespace daisydrift::core
