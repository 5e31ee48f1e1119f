#include "daisydrift/routing/RoutingEngine.h"

#include <algorithm>
#include <cassert>

namespace daisydrift {

namespace {

using std::chrono::seconds;

/// Retry-After value when no better estimate is known.
constexpr seconds kDefaultRetryAfter{ 1 };

/// Multiple of the 95th percentile below which the time left counts as tight. One latency in twenty
/// exceeds the percentile, but hardly any exceeds ten times it while the upstream works.
constexpr int kTightDeadlineFactor = 10;

seconds RetryAfter(Duration aWait)
{
  return std::max(kDefaultRetryAfter, std::chrono::ceil<seconds>(aWait));
}

} // namespace

RoutingEngine::Service::Service(const RoutingSettings& aSettings)
  : queue(aSettings.queueCapacity, aSettings.teamQueueCapacity)
  , retryBudget(aSettings.retryTokenRatio, aSettings.maxRetryTokens, aSettings.maxRetryTokens)
  , hedging(aSettings.hedgeTokenRatio, aSettings.maxHedgeTokens)
{
}

RoutingEngine::RoutingEngine(const RoutingSettings& aSettings)
  : settings(aSettings)
  , table(aSettings)
  , policy(aSettings.maxAttempts)
  , backoff(aSettings.initialRetryDelay, aSettings.maxRetryDelay, aSettings.seed)
{
}

RoutingEngine::Service& RoutingEngine::GetOrCreateService(const std::string& aName)
{
  auto& service = this->services[aName];
  if (!service) {
    service = std::make_unique<Service>(this->settings);
  }
  return *service;
}

void RoutingEngine::UpdateUpstreams(const std::vector<InstanceInfo>& aList, TimePoint aNow)
{
  this->table.Update(aList);
  this->Dispatch(aNow);
}

void RoutingEngine::SetSeat(std::optional<unsigned> aSeat, TimePoint aNow)
{
  this->table.SetSeat(aSeat);
  this->Dispatch(aNow);
}

void RoutingEngine::SetLimits(const std::string& aService,
                              const UpstreamLimits& aLimits,
                              TimePoint aNow)
{
  this->table.SetLimits(aService, aLimits);
  this->Dispatch(aNow);
}

RequestId RoutingEngine::Submit(const RequestSpec& aSpec, TimePoint aNow)
{
  RequestId id = ++this->lastId;
  ++this->openRequests;
  ++this->counts.requests;
  Request& request = this->requests[id];
  request.spec = aSpec;
  request.spec.deadline = std::min(aSpec.deadline, aNow + this->settings.maxRequestTimeout);
  if (this->isDraining) {
    this->CompleteWithError(id, 503, "draining", kDefaultRetryAfter);
  } else if (!this->table.IsKnown(aSpec.service)) {
    this->CompleteWithError(id, 404, "unknown_service");
  } else if (aSpec.deadline <= aNow) {
    this->CompleteWithError(id, 504, "deadline_exceeded");
  } else if (!this->table.Seat()) {
    this->CompleteWithError(id, 503, "not_permitted", kDefaultRetryAfter);
  } else if (!this->table.HasLiveUpstream(aSpec.service)) {
    this->CompleteWithError(id, 503, "no_upstream", kDefaultRetryAfter);
  } else {
    this->Admit(id, request, aNow);
  }
  return id;
}

void RoutingEngine::Admit(RequestId aRequestId, Request& aRequest, TimePoint aNow)
{
  Service& service = this->GetOrCreateService(aRequest.spec.service);
  if (service.queue.Size() == 0 && this->StartAttempt(aRequestId, aRequest, aNow)) {
    return;
  }
  const RequestSpec& spec = aRequest.spec;
  PushResult pushResult =
    service.queue.Push({ aRequestId, spec.team, spec.weight, spec.deadline }, aNow);
  if (pushResult.evicted != 0) {
    this->requests.at(pushResult.evicted).isWaiting = false;
    this->CompleteWithError(
      pushResult.evicted, 503, "queue_full", RetryAfter(pushResult.expectedWait));
  }
  switch (pushResult.status) {
    case PushStatus::Queued:
      aRequest.isWaiting = true;
      this->DispatchService(service, aNow);
      break;
    case PushStatus::QueueFull:
      this->CompleteWithError(aRequestId, 503, "queue_full", RetryAfter(pushResult.expectedWait));
      break;
    case PushStatus::TeamQueueFull:
      this->CompleteWithError(
        aRequestId, 429, "team_queue_full", RetryAfter(pushResult.expectedWait));
      break;
    case PushStatus::DeadlineUnreachable:
      this->CompleteWithError(
        aRequestId, 503, "deadline_unreachable", RetryAfter(pushResult.expectedWait));
      break;
  }
}

bool RoutingEngine::StartAttempt(RequestId aRequestId, Request& aRequest, TimePoint aNow)
{
  SlotRequest slotRequest{ aRequest.spec.service,
                           aRequest.spec.isRepeatable,
                           aRequest.triedUpstreams };
  auto slot = this->table.Acquire(slotRequest, aNow);
  if (!slot && !slotRequest.excluded.empty()) {
    slotRequest.excluded.clear();
    slot = this->table.Acquire(slotRequest, aNow);
  }
  if (!slot) {
    return false;
  }
  Service& service = this->GetOrCreateService(aRequest.spec.service);
  if (aRequest.attempts == 0) {
    service.retryBudget.OnRequest();
    service.hedging.OnRequest();
  }
  this->IssueAttempt(aRequestId, aRequest, std::move(*slot), aNow);
  return true;
}

void RoutingEngine::IssueAttempt(RequestId aRequestId,
                                 Request& aRequest,
                                 UpstreamSlot aSlot,
                                 TimePoint aNow)
{
  ++aRequest.attempts;
  ++aRequest.openAttempts;
  ++this->openAttempts;
  ++this->counts.attempts;
  aRequest.triedUpstreams.push_back(aSlot.upstream);
  UpstreamAttempt attempt{
    aRequestId, aRequest.attempts, std::move(aSlot), aNow, aRequest.spec.deadline
  };
  this->events.push_back({ aRequestId, std::move(attempt), std::nullopt, std::nullopt });
}

void RoutingEngine::CloseAttempt(Request& aRequest)
{
  assert(aRequest.openAttempts > 0 && this->openAttempts > 0);
  --aRequest.openAttempts;
  --this->openAttempts;
}

void RoutingEngine::OnAttemptEnded(const UpstreamAttempt& aAttempt,
                                   SendOutcome aOutcome,
                                   TimePoint aSentAt,
                                   TimePoint aNow)
{
  Request& request = this->requests.at(aAttempt.request);
  std::string name = aAttempt.slot.service;
  Service& service = this->GetOrCreateService(name);
  this->CloseAttempt(request);
  this->table.Release(aAttempt.slot, aOutcome, aSentAt, aNow);
  if (aOutcome == SendOutcome::Responded) {
    service.hedging.OnLatency(aNow - aSentAt);
  }
  if (!request.isComplete) {
    this->HandleAttemptOutcome(aAttempt, request, aOutcome, aNow);
  }
  this->EraseIfDone(aAttempt.request);
  this->DispatchService(service, aNow);
}

void RoutingEngine::HandleAttemptOutcome(const UpstreamAttempt& aAttempt,
                                         Request& aRequest,
                                         SendOutcome aOutcome,
                                         TimePoint aNow)
{
  bool mayOtherHaveStarted = aRequest.mayHaveStarted || aRequest.openAttempts > 0;
  RetryDecision decision = this->policy.Decide({ aOutcome,
                                                 mayOtherHaveStarted,
                                                 aRequest.spec.isRepeatable,
                                                 aRequest.attempts,
                                                 aRequest.spec.deadline - aNow });
  aRequest.mayHaveStarted = aRequest.mayHaveStarted || MayHaveStarted(aOutcome);
  bool isResponse = decision.outcome == RequestOutcome::Ran;
  if (!isResponse && aRequest.openAttempts > 0) {
    // A concurrent attempt may still get a response.
    return;
  }
  if (decision.canRetry) {
    Duration delay = this->backoff.Delay(aRequest.attempts);
    if (aNow + delay < aRequest.spec.deadline &&
        this->GetOrCreateService(aRequest.spec.service).retryBudget.TryAcquire()) {
      ++this->counts.retries;
      this->events.push_back(
        { aAttempt.request, std::nullopt, ScheduledRetry{ delay }, std::nullopt });
      return;
    }
  }
  RequestResult result;
  result.outcome = decision.outcome;
  result.responseAttempt = decision.isResponseFinal ? aAttempt.number : 0;
  result.status = decision.status;
  result.code = decision.code;
  if (decision.outcome == RequestOutcome::NotRun) {
    result.retryAfter = kDefaultRetryAfter;
  }
  this->Complete(aAttempt.request, aRequest, std::move(result));
}

void RoutingEngine::OnAttemptSkipped(const UpstreamAttempt& aAttempt,
                                     SkipReason aReason,
                                     TimePoint aNow)
{
  Request& request = this->requests.at(aAttempt.request);
  this->CloseAttempt(request);
  this->table.ReleaseUnused(aAttempt.slot);
  if (!request.isComplete && request.openAttempts == 0) {
    if (aReason == SkipReason::SeatNotUsable) {
      this->CompleteWithError(aAttempt.request, 503, "not_permitted", kDefaultRetryAfter);
    } else {
      this->CompleteWithError(aAttempt.request, 504, "deadline_exceeded");
    }
  }
  this->EraseIfDone(aAttempt.request);
  std::string name = aAttempt.slot.service;
  this->DispatchService(this->GetOrCreateService(name), aNow);
}

void RoutingEngine::Requeue(RequestId aRequest, TimePoint aNow)
{
  Request& request = this->requests.at(aRequest);
  assert(!request.isComplete && !request.isWaiting && request.openAttempts == 0);
  const RequestSpec& spec = request.spec;
  Service& service = this->GetOrCreateService(spec.service);
  if (service.queue.Size() == 0 && this->StartAttempt(aRequest, request, aNow)) {
    return;
  }
  service.queue.PushFront({ aRequest, spec.team, spec.weight, spec.deadline }, aNow);
  request.isWaiting = true;
  this->DispatchService(service, aNow);
}

std::optional<Duration> RoutingEngine::HedgeDelay(RequestId aRequest) const
{
  auto found = this->requests.find(aRequest);
  if (found == this->requests.end() || !found->second.spec.isRepeatable) {
    return std::nullopt;
  }
  auto service = this->services.find(found->second.spec.service);
  return service == this->services.end() ? std::nullopt : service->second->hedging.Delay();
}

bool RoutingEngine::IsDeadlineTight(RequestId aRequest, TimePoint aNow) const
{
  auto found = this->requests.find(aRequest);
  if (found == this->requests.end()) {
    return true;
  }
  auto service = this->services.find(found->second.spec.service);
  auto p95 = service == this->services.end() ? std::nullopt : service->second->hedging.P95();
  return !p95 || found->second.spec.deadline - aNow < *p95 * kTightDeadlineFactor;
}

void RoutingEngine::StartHedge(RequestId aRequest, TimePoint aNow)
{
  auto found = this->requests.find(aRequest);
  if (found == this->requests.end()) {
    return;
  }
  Request& request = found->second;
  Service& service = this->GetOrCreateService(request.spec.service);
  bool isAllowed = request.spec.isRepeatable && !request.isComplete && !request.isHedged &&
                   request.openAttempts == 1 && request.attempts < this->settings.maxAttempts &&
                   service.queue.Size() == 0;
  if (!isAllowed) {
    return;
  }
  auto slot = this->table.Acquire({ request.spec.service, true, request.triedUpstreams }, aNow);
  if (!slot) {
    return;
  }
  if (!service.hedging.TryAcquire()) {
    this->table.ReleaseUnused(*slot);
    return;
  }
  request.isHedged = true;
  ++this->counts.hedges;
  this->IssueAttempt(aRequest, request, std::move(*slot), aNow);
}

void RoutingEngine::Expire(RequestId aRequest, TimePoint aNow)
{
  auto found = this->requests.find(aRequest);
  if (found == this->requests.end() || found->second.isComplete) {
    return;
  }
  std::string name = found->second.spec.service;
  if (found->second.isWaiting) {
    this->GetOrCreateService(name).queue.Cancel(aRequest);
  }
  this->CompleteWithError(aRequest, 504, "deadline_exceeded");
  this->DispatchService(this->GetOrCreateService(name), aNow);
}

std::size_t RoutingEngine::CancelTeam(const TeamName& aTeam, TimePoint aNow)
{
  std::size_t cancelled = 0;
  for (auto& [name, service] : this->services) {
    std::vector<RequestId> requestIds = service->queue.RequestsOf(aTeam);
    cancelled += service->queue.Cancel(requestIds);
    for (RequestId id : requestIds) {
      this->CompleteWithError(id, 503, "cancelled");
    }
  }
  this->Dispatch(aNow);
  return cancelled;
}

void RoutingEngine::Dispatch(TimePoint aNow)
{
  for (auto& [name, service] : this->services) {
    this->DispatchService(*service, aNow);
  }
}

void RoutingEngine::DispatchService(Service& aService, TimePoint aNow)
{
  while (RequestId id = aService.queue.Front()) {
    Request& request = this->requests.at(id);
    if (request.spec.deadline <= aNow) {
      aService.queue.Cancel(id);
      this->CompleteWithError(id, 504, "deadline_exceeded");
      continue;
    }
    if (!this->StartAttempt(id, request, aNow)) {
      return;
    }
    request.isWaiting = false;
    aService.queue.Pop(aNow);
  }
}

void RoutingEngine::CompleteWithError(RequestId aRequestId,
                                      int aStatus,
                                      const char* aCode,
                                      std::optional<seconds> aRetryAfter)
{
  Request& request = this->requests.at(aRequestId);
  bool mayHaveRun = request.mayHaveStarted || request.openAttempts > 0;
  RequestResult result;
  result.outcome = mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
  result.status = aStatus;
  result.code = aCode;
  result.retryAfter = aRetryAfter;
  this->Complete(aRequestId, request, std::move(result));
  this->EraseIfDone(aRequestId);
}

void RoutingEngine::Complete(RequestId aRequestId, Request& aRequest, RequestResult aResult)
{
  assert(!aRequest.isComplete);
  aRequest.isComplete = true;
  aRequest.isWaiting = false;
  --this->openRequests;
  this->events.push_back({ aRequestId, std::nullopt, std::nullopt, std::move(aResult) });
}

void RoutingEngine::EraseIfDone(RequestId aRequestId)
{
  auto found = this->requests.find(aRequestId);
  if (found != this->requests.end() && found->second.isComplete &&
      found->second.openAttempts == 0) {
    this->requests.erase(found);
  }
}

std::vector<RoutingEvent> RoutingEngine::TakeEvents()
{
  std::vector<RoutingEvent> taken;
  taken.swap(this->events);
  return taken;
}

bool RoutingEngine::CanSendImmediately(const std::string& aService,
                                       bool aIsRepeatable,
                                       TimePoint aNow)
{
  return !this->isDraining && this->CountWaiting(aService) == 0 &&
         this->table.HasFreeSlot(aService, aIsRepeatable, aNow);
}

std::optional<TimePoint> RoutingEngine::NextDispatchTime(TimePoint aNow) const
{
  std::optional<TimePoint> next;
  for (const auto& [name, service] : this->services) {
    if (service->queue.Size() == 0) {
      continue;
    }
    auto change = this->table.NextAvailabilityChange(name, aNow);
    if (change && (!next || *change < *next)) {
      next = change;
    }
  }
  return next;
}

std::size_t RoutingEngine::CountWaiting(const std::string& aService) const
{
  auto found = this->services.find(aService);
  return found == this->services.end() ? 0 : found->second->queue.Size();
}

} // namespace daisydrift
