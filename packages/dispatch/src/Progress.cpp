// Export of job progress for storage, and its recovery after a change of leader.

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

std::optional<JobProgress> Dispatcher::Progress(const JobId& aJob) const
{
  Job* job = this->impl->state.FindJob(aJob);
  if (job == nullptr) {
    return std::nullopt;
  }
  JobProgress progress;
  progress.state = job->state;
  progress.finishedAt = job->finishedAt;
  for (const auto& step : job->steps) {
    StepProgress part;
    part.occurrence = step->occurrence;
    part.step = step->number;
    for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
      const Task& task = step->tasks[index];
      if (task.hasSucceeded) {
        part.succeeded.push_back(index);
        continue;
      }
      if (task.failures > 0) {
        part.failures[index] = task.failures;
      }
      if (task.lastCompletedRun > 0) {
        part.lastCompletedRuns[index] = task.lastCompletedRun;
      }
      if (!task.checkpoint.empty()) {
        part.checkpoints[index] = task.checkpoint;
      }
      if (task.attempt != nullptr) {
        part.open.push_back({ index, task.attempt->run, task.attempt->worker->listing.id });
      }
    }
    if (step->spec->isGang && !step->gangCheckpoint.empty()) {
      part.checkpoints[0] = step->gangCheckpoint;
    }
    progress.steps.push_back(std::move(part));
  }
  return progress;
}

void Dispatcher::RestoreJob(const JobDefinition& aDefinition,
                            const JobProgress& aProgress,
                            TimePoint aNow,
                            WallTime aWall)
{
  FleetState& state = this->impl->state;
  if (state.FindJob(aDefinition.id) != nullptr) {
    return;
  }
  this->impl->wall = aWall;
  Job& job = this->impl->InsertJob(aDefinition, aNow);
  job.state = aProgress.state;
  job.finishedAt = aProgress.finishedAt;
  // The latency objective counts from when the job was accepted. The clocks of two instances may
  // differ, so a negative age counts as zero.
  auto age = std::chrono::duration_cast<Duration>(aWall - aDefinition.acceptedAt);
  job.addedAt = aNow - std::max(age, Duration(0));
  for (const StepProgress& part : aProgress.steps) {
    if (part.step >= aDefinition.steps.size() || part.occurrence > job.startedOccurrences) {
      continue;
    }
    if (part.occurrence == job.startedOccurrences) {
      state.AddOccurrence(job, part.occurrence);
    }
    Step& step = *state.FindStep({ aDefinition.id, part.occurrence, part.step });
    auto valid = [&step](std::uint32_t aIndex) { return aIndex < step.tasks.size(); };
    for (std::uint32_t index : part.succeeded) {
      if (valid(index)) {
        FleetState::MarkSucceeded(step, step.tasks[index]);
      }
    }
    for (const auto& [index, failures] : part.failures) {
      if (valid(index)) {
        step.tasks[index].failures = failures;
      }
    }
    for (const auto& [index, run] : part.lastCompletedRuns) {
      if (valid(index)) {
        step.tasks[index].lastCompletedRun = run;
        step.tasks[index].lastRun = run;
      }
    }
    for (const auto& [index, checkpoint] : part.checkpoints) {
      if (valid(index) && step.spec->isGang) {
        step.gangCheckpoint = checkpoint;
      } else if (valid(index)) {
        step.tasks[index].checkpoint = checkpoint;
      }
    }
    for (const OpenRun& open : part.open) {
      if (!valid(open.index) || step.tasks[open.index].hasSucceeded) {
        continue;
      }
      Worker& worker = state.EnsureWorker(open.worker);
      if (worker.leaseExpiryBound == TimePoint()) {
        worker.leaseExpiryBound = this->impl->restoredLeaseBound;
      }
      Attempt& attempt = state.AddAttempt(step, open.index, worker, open.run, aNow);
      attempt.state = AttemptState::Restored;
    }
  }
  this->impl->StartDueOccurrences(job, aWall);
  this->impl->CompleteIfDone(job);
}

} // namespace daisydrift
