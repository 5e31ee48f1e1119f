#include "Commands.h"

#include <cassert>

namespace daisydrift::core {

Commands::Commands(ClusterState& aState, const PolicySettings& aSettings)
  : state(aState)
  , settings(aSettings)
{
}

void Commands::Clear()
{
  this->decisions.clear();
  this->startCount = 0;
}

Attempt& Commands::Start(Job& aJob, Position aWorker, const Resources& aSize, TimePoint aNow)
{
  assert(aJob.WaitingCount() > 0);
  assert(ClusterState::FitsCeiling(*aJob.team, aSize));
  assert(this->state.AcceptsStarts(this->state.workers[aWorker]));
  std::uint32_t index = aJob.waiting[aJob.waitingHead++];
  if (aJob.waitingHead == aJob.waiting.size()) {
    aJob.waiting.clear();
    aJob.waitingHead = 0;
  }
  aJob.state = JobState::Running;
  aJob.waitingSince = aNow;
  Attempt& attempt =
    this->state.AddAttempt(aJob, index, aJob.tasks[index].attempts + 1, aWorker, aSize, aNow);
  assert(this->state.workers[aWorker].committed.FitsIn(this->state.workers[aWorker].capacity));
  this->state.Requeue(aJob);
  ++this->startCount;
  this->decisions.push_back(StartDecision{
    { { aJob.spec.number, index }, attempt.number }, this->state.workers[aWorker].id, aSize });
  return attempt;
}

void Commands::Stop(Attempt& aAttempt, StopReason aReason)
{
  if (aAttempt.isStopping) {
    return;
  }
  const Job& job = *aAttempt.job;
  this->state.MarkStopping(aAttempt);
  this->decisions.push_back(
    StopDecision{ { { job.spec.number, aAttempt.taskIndex }, aAttempt.number },
                  this->state.workers[aAttempt.worker].id,
                  aReason,
                  job.spec.canCheckpoint && !job.isEnding,
                  this->settings.stopGrace });
}

void Commands::StopWhole(Attempt& aAttempt, StopReason aReason)
{
  Job& job = *aAttempt.job;
  this->Stop(aAttempt, aReason);
  if (!job.IsGang()) {
    return;
  }
  for (Task& task : job.tasks) {
    if (task.attempt != nullptr) {
      this->Stop(*task.attempt, StopReason::GangIncomplete);
    }
  }
}

void Commands::Throttle(Attempt& aAttempt, const Resources& aLimit, TimePoint aNow)
{
  aAttempt.limit = aLimit;
  Resources counted = Max(aLimit, aAttempt.counted);
  if (aLimit != counted) {
    aAttempt.reducedAt = aNow;
  }
  this->state.SetCounted(aAttempt, counted);
  this->decisions.push_back(
    ThrottleDecision{ { { aAttempt.job->spec.number, aAttempt.taskIndex }, aAttempt.number },
                      this->state.workers[aAttempt.worker].id,
                      aLimit });
}

void Commands::Finish(Job& aJob)
{
  assert(!aJob.isFinished && aJob.activeCount == 0);
  aJob.isFinished = true;
  this->decisions.push_back(JobFinishedDecision{ aJob.spec.number, aJob.state, aJob.reason });
}

} // namespace daisydrift::core
