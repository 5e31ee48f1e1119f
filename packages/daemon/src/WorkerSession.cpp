#include "WorkerSession.h"

#include <algorithm>
#include <cassert>

namespace daisydrift {

// The last exchange is set far into the past, so that the first one is due at once.
WorkerSession::WorkerSession(WorkerId aId, Endpoint aEndpoint, TimePoint aNow)
  : id(std::move(aId))
  , endpoint(std::move(aEndpoint))
  , lastRenewal(aNow)
  , lastExchange(aNow - std::chrono::hours(1))
{
}

void WorkerSession::Enqueue(WorkerCommand aCommand, TimePoint aCommittedAt)
{
  this->queue.push_back({ std::move(aCommand), aCommittedAt, false });
}

std::vector<AttemptId> WorkerSession::TakeExpiredStarts(TimePoint aNow)
{
  std::vector<AttemptId> expired;
  if (this->isBusy) {
    return expired;
  }
  std::erase_if(this->queue, [&](const QueuedCommand& aQueued) {
    bool isExpired = aQueued.command.kind == WorkerCommandKind::Start && !aQueued.wasSent &&
                     aNow - aQueued.committedAt > kMaxStartAge;
    if (isExpired) {
      expired.push_back(aQueued.command.attempt);
    }
    return isExpired;
  });
  return expired;
}

std::optional<SyncRequest> WorkerSession::BeginExchange(Epoch aEpoch,
                                                        TimePoint aNow,
                                                        Duration aInterval,
                                                        bool aCanRenew)
{
  if (this->isBusy) {
    return std::nullopt;
  }
  bool isFirst = !this->HasReported();
  bool hasCommands = !isFirst && !this->IsUnresponsive() && !this->queue.empty();
  if (!hasCommands && aNow - this->lastExchange < aInterval) {
    return std::nullopt;
  }
  SyncRequest request;
  request.epoch = aEpoch;
  request.incarnation = this->incarnation;
  request.observedReport = this->lastReportNumber;
  request.acknowledgedEvent = this->durableEventNumber;
  if (aCanRenew && !isFirst && !this->IsUnresponsive()) {
    request.renewFor = kTaskLeaseDuration;
    this->lastRenewal = aNow;
  }
  this->inFlightCount = 0;
  if (!isFirst) {
    for (QueuedCommand& queued : this->queue) {
      bool isOldStart =
        queued.command.kind == WorkerCommandKind::Start && aNow - queued.committedAt > kMaxStartAge;
      if (isOldStart) {
        // An earlier exchange may still deliver this start. A stop makes the worker reject it from
        // then on, and the worker's event proves whether the attempt ran.
        queued.command.kind = WorkerCommandKind::Stop;
      }
      request.commands.push_back(queued.command);
      queued.wasSent = true;
      ++this->inFlightCount;
    }
  }
  this->isBusy = true;
  this->lastExchange = aNow;
  return request;
}

SessionUpdate WorkerSession::OnReport(const SyncReport& aReport, TimePoint)
{
  assert(this->isBusy);
  this->isBusy = false;
  this->failedExchanges = 0;
  SessionUpdate update;
  update.report = aReport;
  update.isFirstReport = !this->HasReported();
  update.hasRestarted = !update.isFirstReport && this->incarnation != aReport.incarnation;
  if (update.isFirstReport || update.hasRestarted) {
    this->incarnation = aReport.incarnation;
    this->lastEventNumber = 0;
    this->durableEventNumber = 0;
  }
  this->lastReportNumber = aReport.number;
  if (update.hasRestarted) {
    // The commands were addressed to the earlier incarnation, so the worker has ignored them.
    for (const QueuedCommand& queued : this->queue) {
      if (queued.command.kind == WorkerCommandKind::Start && !queued.wasSent) {
        update.unsentStarts.push_back(queued.command.attempt);
      }
    }
    this->queue.clear();
  } else {
    this->queue.erase(this->queue.begin(),
                      this->queue.begin() + static_cast<std::ptrdiff_t>(this->inFlightCount));
  }
  this->inFlightCount = 0;
  for (const WorkerEvent& event : aReport.events) {
    if (event.number > this->lastEventNumber) {
      this->lastEventNumber = event.number;
      update.events.push_back(event);
    }
  }
  return update;
}

void WorkerSession::OnFailure(TimePoint)
{
  this->isBusy = false;
  this->inFlightCount = 0;
  ++this->failedExchanges;
}

void WorkerSession::AcknowledgeEvents(const std::string& aIncarnation, std::uint64_t aNumber)
{
  if (aIncarnation == this->incarnation) {
    this->durableEventNumber = std::max(this->durableEventNumber, aNumber);
  }
}

} // namespace daisydrift
