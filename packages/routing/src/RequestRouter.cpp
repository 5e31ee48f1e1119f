#include "daisydrift/routing/RequestRouter.h"

#include "AttemptThreadPool.h"

#include <algorithm>
#include <exception>
#include <strings.h>

namespace daisydrift {

namespace {

using std::chrono::milliseconds;

/// Shortest wait for a change that only time brings, such as the release of a held slot; limits how
/// often a waiting request polls.
constexpr Duration kMinWait = milliseconds(5);
/// Interval at which a drain checks for slots that became free by time alone.
constexpr Duration kDrainInterval = milliseconds(100);

RoutedResponse Refusal(int aStatus, const char* aCode)
{
  RoutedResponse response;
  response.status = aStatus;
  response.outcome = RequestOutcome::NotRun;
  response.code = aCode;
  response.retryAfter = std::chrono::seconds(1);
  return response;
}

} // namespace

/// State of one request, shared by the thread of its caller and the threads of its attempts.
/// Guarded by the router's mutex, except `request`, which doesn't change.
struct RequestRouter::PendingRequest : public RefCounted<PendingRequest>
{
  RequestId id = 0;
  UpstreamRequest request;
  bool isRepeatable = false;
  TimePoint deadline{};
  std::condition_variable changed;
  std::optional<UpstreamAttempt> attempt;
  std::optional<RequestResult> result;
  /// Response of the attempt named by `result`.
  UpstreamResponse response;
  std::optional<TimePoint> requeueAt;
  std::optional<TimePoint> hedgeAt;
};

RequestRouter::RequestRouter(const RoutingSettings& aSettings,
                             UpstreamClient& aClient,
                             const Clock& aClock,
                             Metrics& aMetrics,
                             RoutingHooks aHooks)
  : settings(aSettings)
  , client(aClient)
  , clock(aClock)
  , metrics(aMetrics)
  , hooks(std::move(aHooks))
  , engine(aSettings)
  , threadPool(std::make_unique<AttemptThreadPool>(aSettings.maxAttemptThreads))
{
}

RequestRouter::~RequestRouter()
{
  this->threadPool.reset();
}

void RequestRouter::UpdateUpstreams(const std::vector<InstanceInfo>& aList)
{
  std::lock_guard lock(this->mutex);
  this->engine.UpdateUpstreams(aList, this->clock.Now());
  this->DeliverEvents();
}

void RequestRouter::SetSeat(std::optional<unsigned> aSeat)
{
  std::lock_guard lock(this->mutex);
  this->engine.SetSeat(aSeat, this->clock.Now());
  this->DeliverEvents();
}

void RequestRouter::SetLimits(const std::string& aService, const UpstreamLimits& aLimits)
{
  std::lock_guard lock(this->mutex);
  this->engine.SetLimits(aService, aLimits, this->clock.Now());
  this->DeliverEvents();
}

RoutedResponse RequestRouter::Route(const std::string& aService,
                                    const TeamName& aTeam,
                                    double aWeight,
                                    const UpstreamRequest& aRequest,
                                    bool aIsRepeatable,
                                    TimePoint aDeadline)
{
  return this->Route({ aService, aTeam, aWeight, aRequest, aIsRepeatable, aDeadline });
}

RoutedResponse RequestRouter::Route(const RoutedRequest& aRequest)
{
  TimePoint start = this->clock.Now();
  std::optional<RoutedResponse> response = this->ForwardIfSaturated(aRequest);
  if (!response) {
    response = this->RouteLocally(aRequest);
  }
  this->RecordResponse(aRequest, *response, start);
  return std::move(*response);
}

std::optional<RoutedResponse> RequestRouter::ForwardIfSaturated(const RoutedRequest& aRequest)
{
  {
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.Now();
    if (now >= aRequest.deadline || !this->engine.Table().IsKnown(aRequest.service) ||
        this->engine.IsDraining() ||
        this->engine.CanSendImmediately(aRequest.service, aRequest.isRepeatable, now)) {
      return std::nullopt;
    }
  }
  if (aRequest.isForwarded) {
    return Refusal(503, "no_free_slot");
  }
  if (!this->hooks.forwardToPeer) {
    return std::nullopt;
  }
  std::optional<RoutedResponse> response = this->hooks.forwardToPeer(aRequest);
  if (response && response->outcome == RequestOutcome::NotRun) {
    // The peer proved that the request was not executed, so it may be queued here.
    return std::nullopt;
  }
  if (response) {
    this->metrics.Count("routing_forwarded_total");
  }
  return response;
}

RoutedResponse RequestRouter::RouteLocally(const RoutedRequest& aRequest)
{
  Ref<PendingRequest> pending = MakeRef<PendingRequest>();
  pending->request = aRequest.request;
  pending->isRepeatable = aRequest.isRepeatable;
  std::unique_lock lock(this->mutex);
  TimePoint now = this->clock.Now();
  pending->deadline = std::min(aRequest.deadline, now + this->settings.maxRequestTimeout);
  pending->id = this->engine.Submit(
    { aRequest.service, aRequest.team, aRequest.weight, aRequest.isRepeatable, pending->deadline },
    now);
  this->pendingRequests[pending->id] = pending;
  this->DeliverEvents();
  this->RunUntilComplete(lock, *pending);
  this->pendingRequests.erase(pending->id);
  this->drained.notify_all();
  RoutedResponse response;
  response.status =
    pending->result->responseAttempt != 0 ? pending->response.status : pending->result->status;
  response.headers = std::move(pending->response.headers);
  response.body = std::move(pending->response.body);
  response.outcome = pending->result->outcome;
  response.code = pending->result->code;
  response.retryAfter = pending->result->retryAfter;
  return response;
}

void RequestRouter::RunUntilComplete(std::unique_lock<std::mutex>& aLock, PendingRequest& aPending)
{
  while (!aPending.result) {
    if (aPending.attempt) {
      this->LaunchAttempt(aLock, aPending);
      continue;
    }
    TimePoint now = this->clock.Now();
    if (now >= aPending.deadline) {
      this->engine.Expire(aPending.id, now);
      this->DeliverEvents();
      continue;
    }
    if (aPending.requeueAt && now >= *aPending.requeueAt) {
      aPending.requeueAt.reset();
      this->engine.Requeue(aPending.id, now);
      this->DeliverEvents();
      continue;
    }
    if (aPending.hedgeAt && now >= *aPending.hedgeAt) {
      aPending.hedgeAt.reset();
      this->engine.StartHedge(aPending.id, now);
      this->DeliverEvents();
      continue;
    }
    TimePoint until = aPending.deadline;
    if (aPending.requeueAt) {
      until = std::min(until, *aPending.requeueAt);
    }
    if (aPending.hedgeAt) {
      until = std::min(until, *aPending.hedgeAt);
    }
    if (auto change = this->engine.NextDispatchTime(now)) {
      until = std::min(until, std::max(*change, now + kMinWait));
    }
    this->Wait(aPending.changed, aLock, until);
    if (!aPending.result && !aPending.attempt) {
      this->engine.Dispatch(this->clock.Now());
      this->DeliverEvents();
    }
  }
}

void RequestRouter::LaunchAttempt(std::unique_lock<std::mutex>& aLock, PendingRequest& aPending)
{
  UpstreamAttempt attempt = std::move(*aPending.attempt);
  aPending.attempt.reset();
  auto hedgeDelay = this->engine.HedgeDelay(aPending.id);
  // With a thread of its own for the attempt, the caller can start a hedged attempt and return at
  // its deadline. An attempt abandoned at a short deadline would keep its slot held for
  // maxRequestTimeout, so a team with short deadlines could take all slots from other teams. Other
  // attempts run on the caller's thread to save a thread switch.
  bool needsOwnThread = hedgeDelay || this->engine.IsDeadlineTight(aPending.id, this->clock.Now());
  Ref<PendingRequest> pending(&aPending);
  if (needsOwnThread && this->threadPool->TryRun([this, pending, attempt] {
        this->RunAttempt(*pending, attempt, true);
      })) {
    if (hedgeDelay) {
      aPending.hedgeAt = this->clock.Now() + *hedgeDelay;
    }
    return;
  }
  aLock.unlock();
  this->RunAttempt(aPending, attempt, false);
  aLock.lock();
}

void RequestRouter::RunAttempt(PendingRequest& aPending,
                               const UpstreamAttempt& aAttempt,
                               bool aCanOutlastDeadline)
{
  bool canSend = !this->hooks.canSend || this->hooks.canSend();
  TimePoint sentAt = this->clock.Now();
  if (!canSend || sentAt >= aAttempt.deadline) {
    std::lock_guard lock(this->mutex);
    SkipReason reason = canSend ? SkipReason::DeadlinePassed : SkipReason::SeatNotUsable;
    this->engine.OnAttemptSkipped(aAttempt, reason, sentAt);
    this->DeliverEvents();
    return;
  }
  Duration timeLeft = aAttempt.deadline - sentAt;
  UpstreamResult sendResult =
    this->Send(aPending,
               aAttempt,
               timeLeft,
               aCanOutlastDeadline ? this->settings.maxRequestTimeout : timeLeft);
  std::lock_guard lock(this->mutex);
  bool wasComplete = aPending.result.has_value();
  this->engine.OnAttemptEnded(aAttempt, ClassifyResult(sendResult), sentAt, this->clock.Now());
  this->DeliverEvents();
  if (!wasComplete && aPending.result && aPending.result->responseAttempt == aAttempt.number) {
    aPending.response = std::move(sendResult.response);
  }
}

UpstreamResult RequestRouter::Send(const PendingRequest& aPending,
                                   const UpstreamAttempt& aAttempt,
                                   Duration aTimeLeft,
                                   Duration aTimeout)
{
  auto toWholeMilliseconds = [](Duration aTime) {
    return std::max(milliseconds(1), std::chrono::floor<milliseconds>(aTime));
  };
  UpstreamRequest request = aPending.request;
  auto& headers = request.headers;
  headers.erase(std::remove_if(headers.begin(),
                               headers.end(),
                               [](const auto& aField) {
                                 return strcasecmp(aField.first.c_str(), kDeadlineHeader) == 0;
                               }),
                headers.end());
  headers.emplace_back(kDeadlineHeader, std::to_string(toWholeMilliseconds(aTimeLeft).count()));
  try {
    return this->client.Send(aAttempt.slot.endpoint, request, toWholeMilliseconds(aTimeout));
  } catch (const std::exception& exception) {
    // The slot must be accounted for in every case, and it is unknown how far the send got.
    LogLine(LogLevel::Error, "upstream_send_failed").Add("reason", exception.what());
    return { Errc::OutcomeUnknown, SendProgress::Sent, {} };
  }
}

void RequestRouter::DeliverEvents()
{
  for (RoutingEvent& event : this->engine.TakeEvents()) {
    auto found = this->pendingRequests.find(event.request);
    if (found == this->pendingRequests.end()) {
      continue;
    }
    PendingRequest& pending = *found->second;
    if (event.attempt) {
      pending.attempt = std::move(event.attempt);
    } else if (event.retry) {
      pending.requeueAt = this->clock.Now() + event.retry->delay;
      pending.hedgeAt.reset();
    } else {
      pending.result = std::move(event.result);
    }
    pending.changed.notify_all();
  }
  this->drained.notify_all();
  this->PublishCounters();
}

void RequestRouter::PublishCounters()
{
  const RoutingCounts& counts = this->engine.Counts();
  auto report = [this](const char* aName, std::uint64_t aCurrent, std::uint64_t& aReported) {
    if (aCurrent > aReported) {
      this->metrics.Count(aName, aCurrent - aReported);
      aReported = aCurrent;
    }
  };
  report("routing_tries_total", counts.attempts, this->reportedCounts.attempts);
  report("routing_retries_total", counts.retries, this->reportedCounts.retries);
  report("routing_hedges_total", counts.hedges, this->reportedCounts.hedges);
  for (const Ejection& ejection : this->engine.Table().TakeEjections()) {
    this->metrics.Count("routing_ejections_total{service=\"" + ejection.service + "\"}");
    LogLine(LogLevel::Warning, "upstream_ejected")
      .Add("service", ejection.service)
      .Add("upstream", ejection.upstream)
      .Add("failures_in_a_row", ejection.consecutiveFailures)
      .Add("next_probe_ms", ejection.duration);
  }
}

void RequestRouter::UpdateGauges() const
{
  std::lock_guard lock(this->mutex);
  for (const std::string& name : this->engine.Table().Services()) {
    UpstreamCounts counts = this->engine.Table().Counts(name, this->clock.Now());
    std::string label = "{service=\"" + name + "\"";
    this->metrics.Set("routing_upstreams" + label + ",state=\"live\"}", counts.live);
    this->metrics.Set("routing_upstreams" + label + ",state=\"leaving\"}", counts.leaving);
    this->metrics.Set("routing_upstreams" + label + ",state=\"ejected\"}", counts.ejected);
    this->metrics.Set("routing_slots" + label + "}", counts.slots);
    this->metrics.Set("routing_slots_in_use" + label + "}", counts.slotsInUse);
    this->metrics.Set("routing_waiting" + label + "}",
                      static_cast<double>(this->engine.CountWaiting(name)));
  }
}

void RequestRouter::Wait(std::condition_variable& aCondition,
                         std::unique_lock<std::mutex>& aLock,
                         TimePoint aUntil)
{
  if (this->hooks.waitUntil) {
    this->hooks.waitUntil(aCondition, aLock, aUntil);
    return;
  }
  Duration wait = aUntil - this->clock.Now();
  if (wait > Duration::zero()) {
    aCondition.wait_for(aLock, wait);
  }
}

void RequestRouter::RecordResponse(const RoutedRequest& aRequest,
                                   const RoutedResponse& aResponse,
                                   TimePoint aStart)
{
  if (aResponse.code == "unknown_service") {
    // A service name made up by a caller must not become a metric label.
    this->metrics.Count("routing_unknown_service_total");
    return;
  }
  std::string service = "{service=\"" + aRequest.service + "\"";
  this->metrics.Count("routing_requests_total" + service + ",outcome=\"" +
                      ToString(aResponse.outcome) + "\"}");
  this->metrics.Observe("routing_seconds" + service + "}", this->clock.Now() - aStart);
  if (!aResponse.code.empty()) {
    this->metrics.Count("routing_errors_total" + service + ",code=\"" + aResponse.code + "\"}");
  }
}

std::size_t RequestRouter::CancelTeam(const TeamName& aTeam)
{
  std::lock_guard lock(this->mutex);
  std::size_t cancelled = this->engine.CancelTeam(aTeam, this->clock.Now());
  this->DeliverEvents();
  return cancelled;
}

bool RequestRouter::Drain(Duration aTimeout)
{
  std::unique_lock lock(this->mutex);
  this->engine.BeginDrain();
  TimePoint limit = this->clock.Now() + aTimeout;
  while (true) {
    TimePoint now = this->clock.Now();
    bool isDrained = this->pendingRequests.empty() && this->engine.OpenAttempts() == 0 &&
                     this->engine.Table().SlotsInUse(now) == 0;
    if (isDrained || now >= limit) {
      return isDrained;
    }
    this->Wait(this->drained, lock, std::min(limit, now + kDrainInterval));
  }
}

UpstreamCounts RequestRouter::Counts(const std::string& aService) const
{
  std::lock_guard lock(this->mutex);
  return this->engine.Table().Counts(aService, this->clock.Now());
}

std::size_t RequestRouter::CountWaiting(const std::string& aService) const
{
  std::lock_guard lock(this->mutex);
  return this->engine.CountWaiting(aService);
}

} // namespace daisydrift
