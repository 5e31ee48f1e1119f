// Leases on workers: how long they last, by when those of earlier leaders and for earlier
// incarnations have ended, and the fencing of restarted workers.

#include "DispatcherImpl.h"

#include <algorithm>

namespace daisydrift {

using dispatch::Attempt;
using dispatch::AttemptState;
using dispatch::Worker;

void Dispatcher::OnEarlierLeadersEnded(TimePoint aNow)
{
  const DispatchSettings& settings = this->impl->settings;
  Duration longest = std::min(settings.longestEarlierLease, settings.maxLease);
  TimePoint bound = aNow + settings.leaseMargin +
                    std::chrono::ceil<Duration>(longest * (1 + settings.maxClockDrift));
  this->impl->restoredLeaseBound = std::min(this->impl->restoredLeaseBound, bound);
  for (auto& [id, worker] : this->impl->state.workers) {
    if (!worker->hasReported) {
      worker->leaseExpiryBound =
        std::min(worker->leaseExpiryBound, std::max(bound, worker->restoredLongLeaseBound));
    }
  }
}

Duration Dispatcher::Impl::LongestLeaseBefore(const Worker& aWorker,
                                              const WorkerReport& aReport,
                                              TimePoint aNow) const
{
  // The poll that led to the report has raised the fencing token, so no earlier leader has extended
  // a lease since.
  Duration longest = std::min(this->settings.longestEarlierLease, this->settings.maxLease);
  Duration settled = this->settings.incarnationSettleTime + longest;
  // The clock of an incarnation may start at any value, so only the wall clock shows its age.
  // Before the first round or restored job, when that is not known, there are no runs to wait for.
  bool isAgeKnown = aReport.startedAt != WallTime() && this->wall != WallTime();
  Duration age = this->wall - aReport.startedAt;
  bool isRecent = isAgeKnown && age <= settled + this->settings.maxClockSkew;
  if (isRecent || aReport.clock <= settled) {
    return this->settings.maxLease;
  }
  return std::clamp<Duration>(
    aWorker.restoredLongLeaseBound - aNow, longest, this->settings.maxLease);
}

std::optional<std::chrono::milliseconds> Dispatcher::ExtendWorkerLease(const WorkerId& aWorker,
                                                                       TimePoint aConfirmedAt)
{
  Worker* worker = this->impl->state.FindWorker(aWorker);
  // Extending the lease of an unresponsive worker would delay the time at which its runs are known
  // to have ended.
  if (worker == nullptr || !worker->hasReported || worker->isUnresponsive) {
    return std::nullopt;
  }
  using Milliseconds = std::chrono::milliseconds;
  const DispatchSettings& settings = this->impl->settings;
  Duration lease = std::min(settings.lease, settings.maxLease);
  // The worker's clock at the confirmation, or less, so that the lease is never longer there.
  // Before the report the clock has advanced by no more than ours, after it by no less than the
  // drift allows. A report that arrives late has an older clock, which only shortens the lease.
  Duration passed = aConfirmedAt - worker->reportedAt;
  if (passed > Duration(0)) {
    passed = std::chrono::duration_cast<Duration>(passed / (1 + settings.maxClockDrift));
  }
  auto end = worker->clock + std::chrono::duration_cast<Milliseconds>(passed + lease);
  worker->sentLeaseEnd = std::max(worker->sentLeaseEnd, end);
  worker->maxLeaseEnd = std::max(worker->maxLeaseEnd, worker->sentLeaseEnd);
  Duration left = worker->maxLeaseEnd - worker->clock;
  Duration bound = std::chrono::duration_cast<Duration>(left * (1 + settings.maxClockDrift));
  worker->leaseExpiryBound =
    std::max(worker->leaseExpiryBound, worker->reportedAt + bound + settings.leaseMargin);
  return worker->sentLeaseEnd;
}

std::uint32_t Dispatcher::CountRestarts(const WorkerId& aWorker) const
{
  return std::min(this->impl->state.CountRestarts(aWorker), this->impl->settings.maxFencedRestarts);
}

bool Dispatcher::IsFenced(const WorkerId& aWorker) const
{
  Worker* worker = this->impl->state.FindWorker(aWorker);
  return worker == nullptr || worker->isFenced;
}

void Dispatcher::Impl::UpdateFence(Worker& aWorker, const WorkerReport& aReport, TimePoint aSentAt)
{
  // A command for an earlier incarnation may have been carried out until now, and its lease end, on
  // the earlier clock, is cut to the longest lease.
  auto longest = std::chrono::ceil<std::chrono::milliseconds>(this->settings.maxLease);
  auto settleTime =
    std::chrono::ceil<std::chrono::milliseconds>(this->settings.incarnationSettleTime);
  bool hasNumber = aWorker.restarts <= this->settings.maxFencedRestarts;
  aWorker.isFenced =
    hasNumber ? aSentAt >= aWorker.restartKnownAt : aSentAt > aWorker.restartKnownAt + settleTime;
  aWorker.maxLeaseEnd = aReport.clock + longest;
  if (!aWorker.isFenced) {
    aWorker.maxLeaseEnd += settleTime;
    return;
  }
  LogLine(LogLevel::Info, "worker_fenced")
    .Add("worker", aWorker.listing.id)
    .Add("incarnation", aWorker.incarnation)
    .Add("restarts", aWorker.restarts)
    .Add("clock_ms", aReport.clock)
    .Add("longest_lease_end_ms", aWorker.maxLeaseEnd);
}

WallTime Dispatcher::Impl::LongLeaseUntil(const Worker& aWorker, TimePoint aNow) const
{
  Duration asked = std::min(this->settings.lease, this->settings.maxLease);
  auto usual = std::chrono::ceil<Duration>(asked * (1 + this->settings.maxClockDrift));
  Duration left = aWorker.leaseExpiryBound - aNow;
  bool isLong = left > usual + this->settings.leaseMargin;
  return isLong ? this->wall + std::chrono::ceil<std::chrono::milliseconds>(left) : WallTime();
}

void Dispatcher::Impl::CloseExpiredAttempts(Worker& aWorker, TimePoint aNow)
{
  if (aNow <= aWorker.leaseExpiryBound) {
    return;
  }
  std::vector<Attempt*> expired;
  for (Attempt& attempt : aWorker.attempts) {
    if (attempt.state != AttemptState::Planned) {
      expired.push_back(&attempt);
    }
  }
  for (Attempt* attempt : expired) {
    LogLine(LogLevel::Info, "run_expired")
      .Add("job", attempt->step->job->definition.id)
      .Add("task", attempt->index)
      .Add("run", attempt->run)
      .Add("worker", aWorker.listing.id)
      .Add("restored", attempt->state == AttemptState::Restored)
      .Add("has_reported", aWorker.hasReported)
      .Add("report_age_ms", aNow - aWorker.reportedAt)
      .Add("listed", aWorker.isListed)
      .Add("draining", aWorker.IsDraining())
      .Add("term_age_ms", aNow - this->termStart);
    if (attempt->step->spec->isGang) {
      this->StopGang(*attempt->step);
    }
    this->CloseAttempt(*attempt);
  }
}

} // namespace daisydrift
