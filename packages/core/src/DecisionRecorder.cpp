#include "DecisionRecorder.h"

#include <cassert>

namespace daisydrift::core {

DecisionRecorder::DecisionRecorder(ClusterState& aState, const PolicySettings& aSettings)
  : state(aState)
  , settings(aSettings)
{
}

void DecisionRecorder::BeginRound()
{
  this->decisions.clear();
  this->startCount = 0;
}

Attempt& DecisionRecorder::Start(Job& aJob,
                                 EntityIndex aWorker,
                                 const Resources& aSize,
                                 TimePoint aNow)
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
  this->state.UpdateQueue(aJob);
  ++this->startCount;
  this->decisions.push_back(StartDecision{
    { { aJob.spec.number, index }, attempt.number }, this->state.workers[aWorker].id, aSize });
  return attempt;
}

void DecisionRecorder::Stop(Attempt& aAttempt, StopReason aReason)
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

void DecisionRecorder::StopWithGang(Attempt& aAttempt, StopReason aReason)
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

void DecisionRecorder::Throttle(Attempt& aAttempt, const Resources& aLimit, TimePoint aNow)
{
  aAttempt.limit = aLimit;
  Resources committed = Max(aLimit, aAttempt.committed);
  if (aLimit != committed) {
    aAttempt.limitReducedAt = aNow;
  }
  this->state.SetCommitted(aAttempt, committed);
  this->decisions.push_back(
    ThrottleDecision{ { { aAttempt.job->spec.number, aAttempt.taskIndex }, aAttempt.number },
                      this->state.workers[aAttempt.worker].id,
                      aLimit });
}

void DecisionRecorder::FinishJob(Job& aJob)
{
  assert(!aJob.isFinished && aJob.activeCount == 0);
  aJob.isFinished = true;
  this->decisions.push_back(JobFinishedDecision{ aJob.spec.number, aJob.state, aJob.reason });
}

} // namespace daisydrift::core
