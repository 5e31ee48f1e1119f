#include "WorkerReliability.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Number of different jobs that must fail in a row on a worker. With fewer, one team's broken
/// release would quarantine healthy workers.
constexpr std::size_t kMinFailedJobs = 3;
/// At most one in this many workers may be quarantined: if more fail, the cause lies elsewhere.
constexpr std::size_t kMinWorkersPerQuarantined = 4;
/// Bounds of the delay before a probe, which doubles with each failed probe.
constexpr std::chrono::seconds kInitialProbeDelay{ 2 };
constexpr std::chrono::seconds kMaxProbeDelay{ 60 };
/// Time after which a worker that is due for a probe but got no suitable task is put on probation.
constexpr std::chrono::seconds kProbeTimeout{ 30 };

} // namespace

WorkerReliability::WorkerReliability(ClusterState& aState)
  : state(aState)
{
}

void WorkerReliability::OnSuccess(EntityIndex aWorker)
{
  if (!this->consecutiveFailures.empty()) {
    this->consecutiveFailures.erase(aWorker);
  }
  this->probation.erase(aWorker);
  this->EndQuarantine(aWorker);
}

void WorkerReliability::Advance(TimePoint aNow)
{
  std::vector<EntityIndex> unprobed;
  for (const auto& [workerIndex, probe] : this->quarantined) {
    const WorkerAttempts& attempts = this->state.workers[workerIndex].attempts;
    bool isProbing = std::any_of(
      attempts.begin(), attempts.end(), [](const Attempt& aAttempt) { return aAttempt.isProbe; });
    if (!isProbing && probe.dueAt + kProbeTimeout <= aNow) {
      unprobed.push_back(workerIndex);
    }
  }
  for (EntityIndex workerIndex : unprobed) {
    this->probation[workerIndex] = this->quarantined[workerIndex].delay;
    this->EndQuarantine(workerIndex);
  }
}

void WorkerReliability::OnFailure(EntityIndex aWorker,
                                  Job& aJob,
                                  std::uint32_t aTask,
                                  TimePoint aNow)
{
  std::vector<Failure>& failures = this->consecutiveFailures[aWorker];
  failures.push_back({ &aJob, aTask });
  std::set<JobNumber> failedJobs;
  for (const Failure& failure : failures) {
    failedJobs.insert(failure.job->spec.number);
  }
  if (this->state.workers[aWorker].isQuarantined) {
    return;
  }
  auto onProbation = this->probation.find(aWorker);
  if (onProbation != this->probation.end()) {
    this->BeginQuarantine(
      aWorker, std::min<Duration>(2 * onProbation->second, kMaxProbeDelay), aNow);
    return;
  }
  if (failedJobs.size() < kMinFailedJobs) {
    return;
  }
  if ((this->quarantined.size() + 1) * kMinWorkersPerQuarantined <= this->state.workers.size()) {
    this->BeginQuarantine(aWorker, kInitialProbeDelay, aNow);
  }
}

void WorkerReliability::BeginQuarantine(EntityIndex aWorker, Duration aDelay, TimePoint aNow)
{
  this->probation.erase(aWorker);
  this->state.workers[aWorker].isQuarantined = true;
  this->quarantined[aWorker] = { aNow + aDelay, aDelay };
  for (const Failure& failure : this->consecutiveFailures[aWorker]) {
    DeductFailure(failure, aWorker);
  }
  this->consecutiveFailures.erase(aWorker);
  this->state.ReindexWorker(aWorker);
}

void WorkerReliability::DeductFailure(const Failure& aFailure, EntityIndex aWorker)
{
  Job& job = *aFailure.job;
  Task& task = job.tasks[aFailure.task];
  auto it = std::find(
    job.failedPlacements.begin(), job.failedPlacements.end(), std::pair(aFailure.task, aWorker));
  if (it != job.failedPlacements.end()) {
    job.failedPlacements.erase(it);
    task.failures -= std::min(1U, task.failures);
  }
}

void WorkerReliability::OnProbeFailure(EntityIndex aWorker, TimePoint aNow)
{
  auto it = this->quarantined.find(aWorker);
  if (it == this->quarantined.end()) {
    return;
  }
  it->second.delay = std::min<Duration>(2 * it->second.delay, kMaxProbeDelay);
  it->second.dueAt = aNow + it->second.delay;
}

void WorkerReliability::ClearFailures(const Job& aJob)
{
  for (auto it = this->consecutiveFailures.begin(); it != this->consecutiveFailures.end();) {
    std::erase_if(it->second, [&aJob](const Failure& aFailure) { return aFailure.job == &aJob; });
    it = it->second.empty() ? this->consecutiveFailures.erase(it) : std::next(it);
  }
}

void WorkerReliability::EndQuarantine(EntityIndex aWorker)
{
  if (!this->state.workers[aWorker].isQuarantined) {
    return;
  }
  this->state.workers[aWorker].isQuarantined = false;
  this->quarantined.erase(aWorker);
  this->state.ReindexWorker(aWorker);
}

void WorkerReliability::Reset(EntityIndex aWorker)
{
  this->consecutiveFailures.erase(aWorker);
  this->probation.erase(aWorker);
  this->EndQuarantine(aWorker);
}

EntityIndex WorkerReliability::FindWorkerToProbe(const Job& aJob,
                                                 const Resources& aSize,
                                                 TimePoint aNow) const
{
  bool isSuitable = aJob.spec.workClass == WorkClass::Batch && aJob.spec.isRepeatable &&
                    !aJob.spec.isUrgent && aJob.failedPlacements.empty();
  if (this->quarantined.empty() || !isSuitable) {
    return kNoEntity;
  }
  for (const auto& [workerIndex, probe] : this->quarantined) {
    const Worker& worker = this->state.workers[workerIndex];
    if (probe.dueAt <= aNow && worker.attempts.empty() && !worker.isReserved &&
        this->state.AcceptsStarts(worker) && aSize.FitsIn(worker.FreeCapacity())) {
      return workerIndex;
    }
  }
  return kNoEntity;
}

} // namespace daisydrift::core
