#include "daisydrift/external/WorkerModel.h"

#include <algorithm>

namespace daisydrift {

namespace {

/// Simulated usage of a task, as a percentage of the limit it was started with. A task that always
/// used its entire limit would appear to need more, and the scheduler would keep raising the limit.
constexpr std::int64_t kUsagePercent = 75;

Resources SimulatedUsage(const Resources& aLimit)
{
  return { aLimit.milliCores * kUsagePercent / 100,
           aLimit.memoryMiB * kUsagePercent / 100,
           aLimit.accelerators };
}

Resources ElementwiseMin(const Resources& aLeft, const Resources& aRight)
{
  return { std::min(aLeft.milliCores, aRight.milliCores),
           std::min(aLeft.memoryMiB, aRight.memoryMiB),
           std::min(aLeft.accelerators, aRight.accelerators) };
}

} // namespace

WorkerModel::WorkerModel(std::string aIncarnation,
                         Resources aCapacity,
                         std::chrono::milliseconds aInitialLease)
  : incarnation(std::move(aIncarnation))
  , capacity(aCapacity)
  , initialLease(aInitialLease)
{
}

Result<SyncReport> WorkerModel::Sync(const SyncRequest& aRequest,
                                     TimePoint aNow,
                                     Epoch* aHighestEpoch)
{
  this->Advance(aNow);
  if (aHighestEpoch != nullptr) {
    *aHighestEpoch = this->highestEpoch;
  }
  if (aRequest.epoch < this->highestEpoch) {
    return Errc::Fenced;
  }
  this->highestEpoch = aRequest.epoch;
  if (aRequest.incarnation == this->incarnation) {
    this->ApplyRequest(aRequest, aNow);
  }
  SyncReport report;
  report.incarnation = this->incarnation;
  report.number = ++this->lastReportNumber;
  report.capacity = this->capacity;
  for (const auto& [attempt, task] : this->running) {
    report.running.push_back({ attempt, task.limit, ElementwiseMin(task.usage, task.limit) });
  }
  report.events.assign(this->events.begin(), this->events.end());
  this->reportTimes.emplace_back(report.number, aNow);
  while (this->reportTimes.front().second + kMaxObservedReportAge < aNow) {
    this->reportTimes.pop_front();
  }
  return report;
}

void WorkerModel::ApplyRequest(const SyncRequest& aRequest, TimePoint aNow)
{
  if (aRequest.renewFor > std::chrono::milliseconds::zero() &&
      this->IsRenewalFresh(aRequest.observedReport, aNow)) {
    for (auto& [attempt, task] : this->running) {
      task.leaseExpiry = std::max(task.leaseExpiry, aNow + aRequest.renewFor);
    }
  }
  while (!this->events.empty() && this->events.front().number <= aRequest.acknowledgedEvent) {
    this->events.pop_front();
  }
  for (const WorkerCommand& command : aRequest.commands) {
    this->ExecuteCommand(command, aNow);
  }
}

bool WorkerModel::IsRenewalFresh(std::uint64_t aObservedReport, TimePoint aNow) const
{
  for (const auto& [number, time] : this->reportTimes) {
    if (number == aObservedReport) {
      return time + kMaxObservedReportAge >= aNow;
    }
  }
  return false;
}

void WorkerModel::Advance(TimePoint aNow)
{
  std::vector<std::pair<AttemptId, WorkerEventKind>> endedAttempts;
  for (const auto& [attempt, task] : this->running) {
    bool isFinished = task.hasRunTime && task.endTime <= aNow;
    bool isLeaseExpired = task.leaseExpiry <= aNow;
    if (isFinished && (!isLeaseExpired || task.endTime <= task.leaseExpiry)) {
      endedAttempts.emplace_back(
        attempt, task.succeeds ? WorkerEventKind::Succeeded : WorkerEventKind::Failed);
    } else if (isLeaseExpired) {
      endedAttempts.emplace_back(attempt, WorkerEventKind::Stopped);
    }
  }
  for (const auto& [attempt, kind] : endedAttempts) {
    const Task& task = this->running.at(attempt);
    std::string detail = kind == WorkerEventKind::Stopped ? "lease expired" : task.detail;
    TimePoint time = kind == WorkerEventKind::Stopped ? task.leaseExpiry : task.endTime;
    this->FinishAttempt(attempt, kind, detail, time);
  }
}

void WorkerModel::Restart(std::string aIncarnation, TimePoint aNow)
{
  this->Advance(aNow);
  for (const auto& [attempt, task] : this->running) {
    this->history.push_back({ aNow, WorkerEventKind::Stopped, attempt, {}, "" });
  }
  this->incarnation = std::move(aIncarnation);
  this->running.clear();
  this->knownAttempts.clear();
  this->events.clear();
  this->reportTimes.clear();
  this->lastEventNumber = 0;
  this->lastReportNumber = 0;
  this->highestEpoch = 0;
}

void WorkerModel::ExecuteCommand(const WorkerCommand& aCommand, TimePoint aNow)
{
  auto found = this->running.find(aCommand.attempt);
  bool isRunning = found != this->running.end();
  switch (aCommand.kind) {
    case WorkerCommandKind::Start:
      this->StartAttempt(aCommand, aNow);
      return;
    case WorkerCommandKind::Stop:
      if (isRunning) {
        this->FinishAttempt(aCommand.attempt, WorkerEventKind::Stopped, "stopped on command", aNow);
      } else if (this->knownAttempts.insert(aCommand.attempt).second) {
        // The stop arrived before the start; a start that arrives later is ignored.
        this->RecordEvent(
          aCommand.attempt, WorkerEventKind::Rejected, "stopped before its start", aNow);
      }
      return;
    case WorkerCommandKind::Checkpoint:
      if (isRunning) {
        this->RecordEvent(aCommand.attempt, WorkerEventKind::Checkpointed, "", aNow);
      }
      return;
    case WorkerCommandKind::Throttle:
      if (isRunning) {
        found->second.limit = aCommand.limit;
        this->history.push_back(
          { aNow, WorkerEventKind::Started, aCommand.attempt, aCommand.limit, "", true });
      }
      return;
  }
}

void WorkerModel::StartAttempt(const WorkerCommand& aCommand, TimePoint aNow)
{
  if (!this->knownAttempts.insert(aCommand.attempt).second) {
    return;
  }
  Resources committedTotal = this->CommittedResources() + aCommand.limit;
  // The model accepts any start and records the peak, so that tests can detect an overcommitment.
  this->peakCommitment.milliCores =
    std::max(this->peakCommitment.milliCores, committedTotal.milliCores);
  this->peakCommitment.memoryMiB =
    std::max(this->peakCommitment.memoryMiB, committedTotal.memoryMiB);
  this->peakCommitment.accelerators =
    std::max(this->peakCommitment.accelerators, committedTotal.accelerators);
  TaskBehaviour taskBehaviour =
    this->behaviour ? this->behaviour(aCommand.attempt, aCommand.payload) : TaskBehaviour{};
  Task task;
  task.limit = aCommand.limit;
  task.usage = SimulatedUsage(aCommand.limit);
  task.hasRunTime = taskBehaviour.runTime > std::chrono::milliseconds::zero();
  task.endTime = aNow + taskBehaviour.runTime;
  task.succeeds = taskBehaviour.succeeds;
  task.detail = taskBehaviour.detail;
  task.leaseExpiry = aNow + this->initialLease;
  this->running.emplace(aCommand.attempt, task);
  this->RecordEvent(aCommand.attempt, WorkerEventKind::Started, "", aNow);
  this->history.back().limit = aCommand.limit;
  this->history.back().payload = aCommand.payload;
}

void WorkerModel::FinishAttempt(const AttemptId& aAttempt,
                                WorkerEventKind aKind,
                                const std::string& aDetail,
                                TimePoint aNow)
{
  this->running.erase(aAttempt);
  this->RecordEvent(aAttempt, aKind, aDetail, aNow);
}

void WorkerModel::RecordEvent(const AttemptId& aAttempt,
                              WorkerEventKind aKind,
                              const std::string& aDetail,
                              TimePoint aNow)
{
  this->events.push_back({ ++this->lastEventNumber, aKind, aAttempt, aDetail });
  this->history.push_back({ aNow, aKind, aAttempt, {}, "" });
}

Resources WorkerModel::CommittedResources() const
{
  Resources sum;
  for (const auto& [attempt, task] : this->running) {
    sum += task.limit;
  }
  return sum;
}

} // namespace daisydrift
