#include "daisydrift/routing/RequestRouter.h"

#include "TryThreads.h"

#include <algorithm>
#include <exception>
#include <strings.h>

namespace daisydrift {

namespace {

using std::chrono::milliseconds;

/// Shortest wait of a request for a change that nobody announces.
constexpr Duration kMinWait = milliseconds(5);
/// Interval at which a drain looks for slots that became free by time alone.
constexpr Duration kDrainInterval = milliseconds(100);

RoutedAnswer Refusal(int aStatus, const char* aCode)
{
  RoutedAnswer answer;
  answer.status = aStatus;
  answer.outcome = RequestOutcome::NotRun;
  answer.code = aCode;
  answer.retryAfter = std::chrono::seconds(1);
  return answer;
}

} // namespace

/// State of one request, shared by its caller and the threads of its tries. Guarded by the router's
/// mutex, except `request`, which doesn't change.
struct RequestRouter::InFlight : public RefCounted<InFlight>
{
  RequestNumber number = 0;
  UpstreamRequest request;
  bool isRepeatable = false;
  TimePoint deadline{};
  std::condition_variable changed;
  std::optional<TryOrder> order;
  std::optional<RequestEnd> end;
  /// Answer of the try named by `end`.
  UpstreamResponse answer;
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
  , threads(std::make_unique<TryThreads>(aSettings.maxTryThreads))
{
}

RequestRouter::~RequestRouter()
{
  this->threads.reset();
}

void RequestRouter::UpdateUpstreams(const std::vector<InstanceInfo>& aList)
{
  std::lock_guard lock(this->mutex);
  this->engine.UpdateUpstreams(aList, this->clock.Now());
  this->Deliver();
}

void RequestRouter::SetSeat(std::optional<unsigned> aSeat)
{
  std::lock_guard lock(this->mutex);
  this->engine.SetSeat(aSeat, this->clock.Now());
  this->Deliver();
}

void RequestRouter::SetLimits(const std::string& aService, const UpstreamLimits& aLimits)
{
  std::lock_guard lock(this->mutex);
  this->engine.SetLimits(aService, aLimits, this->clock.Now());
  this->Deliver();
}

RoutedAnswer RequestRouter::Route(const std::string& aService,
                                  const TeamName& aTeam,
                                  double aWeight,
                                  const UpstreamRequest& aRequest,
                                  bool aIsRepeatable,
                                  TimePoint aDeadline)
{
  return this->Route({ aService, aTeam, aWeight, aRequest, aIsRepeatable, aDeadline });
}

RoutedAnswer RequestRouter::Route(const RoutedRequest& aRequest)
{
  TimePoint start = this->clock.Now();
  std::optional<RoutedAnswer> answer = this->AskPeer(aRequest);
  if (!answer) {
    answer = this->Serve(aRequest);
  }
  this->CountAnswer(aRequest, *answer, start);
  return std::move(*answer);
}

std::optional<RoutedAnswer> RequestRouter::AskPeer(const RoutedRequest& aRequest)
{
  {
    std::lock_guard lock(this->mutex);
    TimePoint now = this->clock.Now();
    if (now >= aRequest.deadline || !this->engine.Table().IsKnown(aRequest.service) ||
        this->engine.IsDraining() ||
        this->engine.WouldSendNow(aRequest.service, aRequest.isRepeatable, now)) {
      return std::nullopt;
    }
  }
  if (aRequest.isForwarded) {
    return Refusal(503, "no_free_slot");
  }
  if (!this->hooks.forwardToPeer) {
    return std::nullopt;
  }
  std::optional<RoutedAnswer> answer = this->hooks.forwardToPeer(aRequest);
  if (answer && answer->outcome == RequestOutcome::NotRun) {
    // The peer proved that it was not run, so it may wait here.
    return std::nullopt;
  }
  if (answer) {
    this->metrics.Count("routing_forwarded_total");
  }
  return answer;
}

RoutedAnswer RequestRouter::Serve(const RoutedRequest& aRequest)
{
  Ref<InFlight> flight = MakeRef<InFlight>();
  flight->request = aRequest.request;
  flight->isRepeatable = aRequest.isRepeatable;
  std::unique_lock lock(this->mutex);
  TimePoint now = this->clock.Now();
  flight->deadline = std::min(aRequest.deadline, now + this->settings.longestDeadline);
  flight->number = this->engine.Submit(
    { aRequest.service, aRequest.team, aRequest.weight, aRequest.isRepeatable, flight->deadline },
    now);
  this->inFlight[flight->number] = flight;
  this->Deliver();
  this->RunLoop(lock, *flight);
  this->inFlight.erase(flight->number);
  this->drained.notify_all();
  RoutedAnswer answer;
  answer.status = flight->end->answeredTry != 0 ? flight->answer.status : flight->end->status;
  answer.headers = std::move(flight->answer.headers);
  answer.body = std::move(flight->answer.body);
  answer.outcome = flight->end->outcome;
  answer.code = flight->end->code;
  answer.retryAfter = flight->end->retryAfter;
  return answer;
}

void RequestRouter::RunLoop(std::unique_lock<std::mutex>& aLock, InFlight& aFlight)
{
  while (!aFlight.end) {
    if (aFlight.order) {
      this->CarryOut(aLock, aFlight);
      continue;
    }
    TimePoint now = this->clock.Now();
    if (now >= aFlight.deadline) {
      this->engine.Expire(aFlight.number, now);
      this->Deliver();
      continue;
    }
    if (aFlight.requeueAt && now >= *aFlight.requeueAt) {
      aFlight.requeueAt.reset();
      this->engine.Requeue(aFlight.number, now);
      this->Deliver();
      continue;
    }
    if (aFlight.hedgeAt && now >= *aFlight.hedgeAt) {
      aFlight.hedgeAt.reset();
      this->engine.HedgeNow(aFlight.number, now);
      this->Deliver();
      continue;
    }
    TimePoint until = aFlight.deadline;
    if (aFlight.requeueAt) {
      until = std::min(until, *aFlight.requeueAt);
    }
    if (aFlight.hedgeAt) {
      until = std::min(until, *aFlight.hedgeAt);
    }
    if (auto change = this->engine.NextChange(now)) {
      until = std::min(until, std::max(*change, now + kMinWait));
    }
    this->Wait(aFlight.changed, aLock, until);
    if (!aFlight.end && !aFlight.order) {
      this->engine.Dispatch(this->clock.Now());
      this->Deliver();
    }
  }
}

void RequestRouter::CarryOut(std::unique_lock<std::mutex>& aLock, InFlight& aFlight)
{
  TryOrder order = std::move(*aFlight.order);
  aFlight.order.reset();
  auto hedgeDelay = this->engine.HedgeDelay(aFlight.number);
  // The caller stays free to send a second try and to return at its deadline. A try that was given
  // up at a short deadline would keep its slot held for the longest one, and a team with short
  // deadlines could so take all slots from the others. Other tries save the change of threads.
  bool needsThread = hedgeDelay || this->engine.IsDeadlineTight(aFlight.number, this->clock.Now());
  Ref<InFlight> flight(&aFlight);
  if (needsThread &&
      this->threads->TryRun([this, flight, order] { this->RunTry(*flight, order, true); })) {
    if (hedgeDelay) {
      aFlight.hedgeAt = this->clock.Now() + *hedgeDelay;
    }
    return;
  }
  aLock.unlock();
  this->RunTry(aFlight, order, false);
  aLock.lock();
}

void RequestRouter::RunTry(InFlight& aFlight, const TryOrder& aOrder, bool aMayOutlast)
{
  bool maySend = !this->hooks.maySend || this->hooks.maySend();
  TimePoint sentAt = this->clock.Now();
  if (!maySend || sentAt >= aOrder.deadline) {
    std::lock_guard lock(this->mutex);
    SkipReason reason = maySend ? SkipReason::DeadlinePassed : SkipReason::SeatNotUsable;
    this->engine.TrySkipped(aOrder, reason, sentAt);
    this->Deliver();
    return;
  }
  Duration left = aOrder.deadline - sentAt;
  UpstreamResult result =
    this->Send(aFlight, aOrder, left, aMayOutlast ? this->settings.longestDeadline : left);
  std::lock_guard lock(this->mutex);
  bool wasEnded = aFlight.end.has_value();
  this->engine.TryEnded(aOrder, Classify(result), sentAt, this->clock.Now());
  this->Deliver();
  if (!wasEnded && aFlight.end && aFlight.end->answeredTry == aOrder.number) {
    aFlight.answer = std::move(result.response);
  }
}

UpstreamResult RequestRouter::Send(const InFlight& aFlight,
                                   const TryOrder& aOrder,
                                   Duration aTimeLeft,
                                   Duration aTimeout)
{
  auto whole = [](Duration aTime) {
    return std::max(milliseconds(1), std::chrono::floor<milliseconds>(aTime));
  };
  UpstreamRequest request = aFlight.request;
  auto& headers = request.headers;
  headers.erase(std::remove_if(headers.begin(),
                               headers.end(),
                               [](const auto& aField) {
                                 return strcasecmp(aField.first.c_str(), kDeadlineHeader) == 0;
                               }),
                headers.end());
  headers.emplace_back(kDeadlineHeader, std::to_string(whole(aTimeLeft).count()));
  try {
    return this->client.Send(aOrder.slot.endpoint, request, whole(aTimeout));
  } catch (const std::exception& exception) {
    // The slot must be accounted for whatever happens; nothing is known about the send.
    LogLine(LogLevel::Error, "upstream_send_failed").Add("reason", exception.what());
    return { Errc::OutcomeUnknown, SendProgress::Sent, {} };
  }
}

void RequestRouter::Deliver()
{
  for (RoutingEvent& event : this->engine.TakeEvents()) {
    auto found = this->inFlight.find(event.request);
    if (found == this->inFlight.end()) {
      continue;
    }
    InFlight& flight = *found->second;
    if (event.order) {
      flight.order = std::move(event.order);
    } else if (event.retry) {
      flight.requeueAt = this->clock.Now() + event.retry->delay;
      flight.hedgeAt.reset();
    } else {
      flight.end = std::move(event.end);
    }
    flight.changed.notify_all();
  }
  this->drained.notify_all();
  this->ReportCounts();
}

void RequestRouter::ReportCounts()
{
  const RoutingCounts& counts = this->engine.Counts();
  auto report = [this](const char* aName, std::uint64_t aNow, std::uint64_t& aBefore) {
    if (aNow > aBefore) {
      this->metrics.Count(aName, aNow - aBefore);
      aBefore = aNow;
    }
  };
  report("routing_tries_total", counts.tries, this->reported.tries);
  report("routing_retries_total", counts.retries, this->reported.retries);
  report("routing_hedges_total", counts.hedges, this->reported.hedges);
  for (const Ejection& ejection : this->engine.Table().TakeEjections()) {
    this->metrics.Count("routing_ejections_total{service=\"" + ejection.service + "\"}");
    LogLine(LogLevel::Warning, "upstream_ejected")
      .Add("service", ejection.service)
      .Add("upstream", ejection.upstream)
      .Add("failures_in_a_row", ejection.failures)
      .Add("next_probe_ms", ejection.time);
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
                      static_cast<double>(this->engine.Waiting(name)));
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

void RequestRouter::CountAnswer(const RoutedRequest& aRequest,
                                const RoutedAnswer& aAnswer,
                                TimePoint aStart)
{
  if (aAnswer.code == "unknown_service") {
    // A name invented by a caller must not become a label.
    this->metrics.Count("routing_unknown_service_total");
    return;
  }
  std::string service = "{service=\"" + aRequest.service + "\"";
  this->metrics.Count("routing_requests_total" + service + ",outcome=\"" +
                      ToString(aAnswer.outcome) + "\"}");
  this->metrics.Observe("routing_seconds" + service + "}", this->clock.Now() - aStart);
  if (!aAnswer.code.empty()) {
    this->metrics.Count("routing_errors_total" + service + ",code=\"" + aAnswer.code + "\"}");
  }
}

std::size_t RequestRouter::CancelTeam(const TeamName& aTeam)
{
  std::lock_guard lock(this->mutex);
  std::size_t cancelled = this->engine.CancelTeam(aTeam, this->clock.Now());
  this->Deliver();
  return cancelled;
}

bool RequestRouter::Drain(Duration aLongest)
{
  std::unique_lock lock(this->mutex);
  this->engine.BeginDrain();
  TimePoint limit = this->clock.Now() + aLongest;
  while (true) {
    TimePoint now = this->clock.Now();
    bool isDone = this->inFlight.empty() && this->engine.OpenTries() == 0 &&
                  this->engine.Table().SlotsInUse(now) == 0;
    if (isDone || now >= limit) {
      return isDone;
    }
    this->Wait(this->drained, lock, std::min(limit, now + kDrainInterval));
  }
}

UpstreamCounts RequestRouter::Counts(const std::string& aService) const
{
  std::lock_guard lock(this->mutex);
  return this->engine.Table().Counts(aService, this->clock.Now());
}

std::size_t RequestRouter::Waiting(const std::string& aService) const
{
  std::lock_guard lock(this->mutex);
  return this->engine.Waiting(aService);
}

} // namespace daisydrift
