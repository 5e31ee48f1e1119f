#include "WorkerSession.h"

#include <algorithm>
#include <cassert>

namespace daisydrift {

WorkerSession::WorkerSession(WorkerId aId, Endpoint aEndpoint, TimePoint aNow)
  : id(std::move(aId))
  , endpoint(std::move(aEndpoint))
  , lastRenewal(aNow)
  , lastExchange(aNow - std::chrono::hours(1))
{
}

void WorkerSession::Enqueue(WorkerCommand aCommand, TimePoint aCommitted)
{
  this->queue.push_back({ std::move(aCommand), aCommitted, false });
}

std::vector<AttemptId> WorkerSession::TakeExpiredStarts(TimePoint aNow)
{
  std::vector<AttemptId> expired;
  if (this->isBusy) {
    return expired;
  }
  std::erase_if(this->queue, [&](const QueuedCommand& aQueued) {
    bool isExpired = aQueued.command.kind == WorkerCommandKind::Start && !aQueued.wasSent &&
                     aNow - aQueued.committed > kMaxStartAge;
    if (isExpired) {
      expired.push_back(aQueued.command.attempt);
    }
    return isExpired;
  });
  return expired;
}

std::optional<SyncRequest> WorkerSession::Begin(Epoch aEpoch,
                                                TimePoint aNow,
                                                Duration aInterval,
                                                bool aMayRenew)
{
  if (this->isBusy) {
    return std::nullopt;
  }
  bool isFirst = !this->HasReported();
  bool hasCommands = !isFirst && !this->IsSilent() && !this->queue.empty();
  if (!hasCommands && aNow - this->lastExchange < aInterval) {
    return std::nullopt;
  }
  SyncRequest request;
  request.epoch = aEpoch;
  request.incarnation = this->incarnation;
  request.observedReport = this->lastReport;
  request.acknowledgedEvent = this->durableEvent;
  if (aMayRenew && !isFirst && !this->IsSilent()) {
    request.renewFor = kTaskLease;
    this->lastRenewal = aNow;
  }
  this->sending = 0;
  if (!isFirst) {
    for (QueuedCommand& queued : this->queue) {
      bool isOldStart =
        queued.command.kind == WorkerCommandKind::Start && aNow - queued.committed > kMaxStartAge;
      if (isOldStart) {
        // An earlier exchange may still deliver this start. A stop makes the worker refuse it from
        // then on, and its event proves whether the attempt ran.
        queued.command.kind = WorkerCommandKind::Stop;
      }
      request.commands.push_back(queued.command);
      queued.wasSent = true;
      ++this->sending;
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
  this->failures = 0;
  SessionUpdate update;
  update.report = aReport;
  update.isFirstReport = !this->HasReported();
  update.hasRestarted = !update.isFirstReport && this->incarnation != aReport.incarnation;
  if (update.isFirstReport || update.hasRestarted) {
    this->incarnation = aReport.incarnation;
    this->lastEvent = 0;
    this->durableEvent = 0;
  }
  this->lastReport = aReport.number;
  if (update.hasRestarted) {
    // Commands were addressed to the earlier incarnation and have been ignored.
    for (const QueuedCommand& queued : this->queue) {
      if (queued.command.kind == WorkerCommandKind::Start && !queued.wasSent) {
        update.unsentStarts.push_back(queued.command.attempt);
      }
    }
    this->queue.clear();
  } else {
    this->queue.erase(this->queue.begin(),
                      this->queue.begin() + static_cast<std::ptrdiff_t>(this->sending));
  }
  this->sending = 0;
  for (const WorkerEvent& event : aReport.events) {
    if (event.number > this->lastEvent) {
      this->lastEvent = event.number;
      update.events.push_back(event);
    }
  }
  return update;
}

void WorkerSession::OnFailure(TimePoint)
{
  this->isBusy = false;
  this->sending = 0;
  ++this->failures;
}

void WorkerSession::AcknowledgeEvents(const std::string& aIncarnation, std::uint64_t aNumber)
{
  if (aIncarnation == this->incarnation) {
    this->durableEvent = std::max(this->durableEvent, aNumber);
  }
}

} // namespace daisydrift
