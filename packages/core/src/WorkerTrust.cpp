#include "WorkerTrust.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Different jobs that must fail in a row on a worker. With fewer, one team's broken release would
/// take out healthy workers.
constexpr std::size_t kJobsToQuarantine = 3;
/// Of the workers, at most this share may be quarantined: if more fail, the cause is elsewhere.
constexpr std::size_t kMaxQuarantinedShare = 4;
/// Time to the first probe; doubles with each failed probe.
constexpr std::chrono::seconds kFirstProbe{ 2 };
constexpr std::chrono::seconds kLongestProbe{ 60 };
/// A worker due for a probe that finds no suitable task for this time is put on probation.
constexpr std::chrono::seconds kWaitForProbe{ 30 };

} // namespace

WorkerTrust::WorkerTrust(ClusterState& aState)
  : state(aState)
{
}

void WorkerTrust::OnSuccess(Position aWorker)
{
  if (!this->streaks.empty()) {
    this->streaks.erase(aWorker);
  }
  this->probation.erase(aWorker);
  this->Release(aWorker);
}

void WorkerTrust::Advance(TimePoint aNow)
{
  std::vector<Position> unprobed;
  for (const auto& [position, probe] : this->quarantined) {
    const WorkerAttempts& attempts = this->state.workers[position].attempts;
    bool isProbing = std::any_of(
      attempts.begin(), attempts.end(), [](const Attempt& aAttempt) { return aAttempt.isProbe; });
    if (!isProbing && probe.at + kWaitForProbe <= aNow) {
      unprobed.push_back(position);
    }
  }
  for (Position position : unprobed) {
    this->probation[position] = this->quarantined[position].delay;
    this->Release(position);
  }
}

void WorkerTrust::OnFailure(Position aWorker, Job& aJob, std::uint32_t aTask, TimePoint aNow)
{
  std::vector<Failure>& streak = this->streaks[aWorker];
  streak.push_back({ &aJob, aTask });
  std::set<JobNumber> different;
  for (const Failure& failure : streak) {
    different.insert(failure.job->spec.number);
  }
  if (this->state.workers[aWorker].isQuarantined) {
    return;
  }
  auto onProbation = this->probation.find(aWorker);
  if (onProbation != this->probation.end()) {
    this->Quarantine(aWorker, std::min<Duration>(2 * onProbation->second, kLongestProbe), aNow);
    return;
  }
  if (different.size() < kJobsToQuarantine) {
    return;
  }
  if ((this->quarantined.size() + 1) * kMaxQuarantinedShare <= this->state.workers.size()) {
    this->Quarantine(aWorker, kFirstProbe, aNow);
  }
}

void WorkerTrust::Quarantine(Position aWorker, Duration aDelay, TimePoint aNow)
{
  this->probation.erase(aWorker);
  this->state.workers[aWorker].isQuarantined = true;
  this->quarantined[aWorker] = { aNow + aDelay, aDelay };
  for (const Failure& failure : this->streaks[aWorker]) {
    TakeOff(failure, aWorker);
  }
  this->streaks.erase(aWorker);
  this->state.RefreshWorker(aWorker);
}

void WorkerTrust::TakeOff(const Failure& aFailure, Position aWorker)
{
  Job& job = *aFailure.job;
  Task& task = job.tasks[aFailure.task];
  auto it = std::find(job.failedOn.begin(), job.failedOn.end(), std::pair(aFailure.task, aWorker));
  if (it != job.failedOn.end()) {
    job.failedOn.erase(it);
    task.failures -= std::min(1U, task.failures);
  }
}

void WorkerTrust::OnProbeFailure(Position aWorker, TimePoint aNow)
{
  auto it = this->quarantined.find(aWorker);
  if (it == this->quarantined.end()) {
    return;
  }
  it->second.delay = std::min<Duration>(2 * it->second.delay, kLongestProbe);
  it->second.at = aNow + it->second.delay;
}

void WorkerTrust::OnJobAtFault(const Job& aJob)
{
  for (auto it = this->streaks.begin(); it != this->streaks.end();) {
    std::erase_if(it->second, [&aJob](const Failure& aFailure) { return aFailure.job == &aJob; });
    it = it->second.empty() ? this->streaks.erase(it) : std::next(it);
  }
}

void WorkerTrust::Release(Position aWorker)
{
  if (!this->state.workers[aWorker].isQuarantined) {
    return;
  }
  this->state.workers[aWorker].isQuarantined = false;
  this->quarantined.erase(aWorker);
  this->state.RefreshWorker(aWorker);
}

void WorkerTrust::Reset(Position aWorker)
{
  this->streaks.erase(aWorker);
  this->probation.erase(aWorker);
  this->Release(aWorker);
}

Position WorkerTrust::ProbeFor(const Job& aJob, const Resources& aSize, TimePoint aNow) const
{
  bool isSuitable = aJob.spec.workClass == WorkClass::Batch && aJob.spec.isRepeatable &&
                    !aJob.spec.isUrgent && aJob.failedOn.empty();
  if (this->quarantined.empty() || !isSuitable) {
    return kNoPosition;
  }
  for (const auto& [position, probe] : this->quarantined) {
    const Worker& worker = this->state.workers[position];
    if (probe.at <= aNow && worker.attempts.empty() && !worker.isReserved &&
        this->state.AcceptsStarts(worker) && aSize.FitsIn(worker.Free())) {
      return position;
    }
  }
  return kNoPosition;
}

} // namespace daisydrift::core
