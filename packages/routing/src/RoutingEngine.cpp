#include "daisydrift/routing/RoutingEngine.h"

#include <algorithm>
#include <cassert>

namespace daisydrift {

namespace {

using std::chrono::seconds;

/// Suggested to callers when nothing better is known.
constexpr seconds kShortRetryAfter{ 1 };
/// A repeatable request is given up at half of its deadline, to leave time for another try, only
/// when that half is this many times the 95th percentile of latencies; otherwise long requests
/// would be cut off again and again.
constexpr int kCutOffFactor = 10;

seconds RetryAfter(Duration aWait)
{
  return std::max(kShortRetryAfter, std::chrono::ceil<seconds>(aWait));
}

} // namespace

RoutingEngine::Service::Service(const RoutingSettings& aSettings)
  : queue(aSettings.queueBound, aSettings.teamQueueBound)
  , retries(aSettings.retryShare, aSettings.retryReserve, aSettings.retryReserve)
  , hedge(aSettings.hedgeShare, aSettings.hedgeReserve)
{
}

RoutingEngine::RoutingEngine(const RoutingSettings& aSettings)
  : settings(aSettings)
  , table(aSettings)
  , policy(aSettings.maxTries)
  , backoff(aSettings.firstRetryDelay, aSettings.maxRetryDelay, aSettings.seed)
{
}

RoutingEngine::Service& RoutingEngine::ServiceOf(const std::string& aName)
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

RequestNumber RoutingEngine::Submit(const RequestSpec& aSpec, TimePoint aNow)
{
  RequestNumber number = ++this->lastNumber;
  ++this->openRequests;
  ++this->counts.requests;
  Request& request = this->requests[number];
  request.spec = aSpec;
  request.spec.deadline = std::min(aSpec.deadline, aNow + this->settings.longestDeadline);
  if (this->isDraining) {
    this->EndUnanswered(number, 503, "draining", kShortRetryAfter);
  } else if (!this->table.IsKnown(aSpec.service)) {
    this->EndUnanswered(number, 404, "unknown_service");
  } else if (aSpec.deadline <= aNow) {
    this->EndUnanswered(number, 504, "deadline_exceeded");
  } else if (!this->table.Seat()) {
    this->EndUnanswered(number, 503, "not_permitted", kShortRetryAfter);
  } else if (!this->table.HasLive(aSpec.service)) {
    this->EndUnanswered(number, 503, "no_upstream", kShortRetryAfter);
  } else {
    this->Admit(number, request, aNow);
  }
  return number;
}

void RoutingEngine::Admit(RequestNumber aNumber, Request& aRequest, TimePoint aNow)
{
  Service& service = this->ServiceOf(aRequest.spec.service);
  if (service.queue.Size() == 0 && this->StartTry(aNumber, aRequest, aNow)) {
    return;
  }
  const RequestSpec& spec = aRequest.spec;
  PushResult pushed = service.queue.Push({ aNumber, spec.team, spec.weight, spec.deadline }, aNow);
  if (pushed.evicted != 0) {
    this->requests.at(pushed.evicted).isWaiting = false;
    this->EndUnanswered(pushed.evicted, 503, "queue_full", RetryAfter(pushed.expectedWait));
  }
  switch (pushed.verdict) {
    case PushVerdict::Waiting:
      aRequest.isWaiting = true;
      this->DispatchService(service, aNow);
      break;
    case PushVerdict::QueueFull:
      this->EndUnanswered(aNumber, 503, "queue_full", RetryAfter(pushed.expectedWait));
      break;
    case PushVerdict::TeamQueueFull:
      this->EndUnanswered(aNumber, 429, "team_queue_full", RetryAfter(pushed.expectedWait));
      break;
    case PushVerdict::DeadlineUnreachable:
      this->EndUnanswered(aNumber, 503, "deadline_unreachable", RetryAfter(pushed.expectedWait));
      break;
  }
}

bool RoutingEngine::StartTry(RequestNumber aNumber, Request& aRequest, TimePoint aNow)
{
  SlotRequest wanted{ aRequest.spec.service, aRequest.spec.isRepeatable, aRequest.tried };
  auto slot = this->table.Acquire(wanted, aNow);
  if (!slot && !wanted.excluded.empty()) {
    wanted.excluded.clear();
    slot = this->table.Acquire(wanted, aNow);
  }
  if (!slot) {
    return false;
  }
  Service& service = this->ServiceOf(aRequest.spec.service);
  if (aRequest.tries == 0) {
    service.retries.OnRequest();
    service.hedge.OnRequest();
  }
  this->OrderTry(aNumber, aRequest, std::move(*slot), aNow);
  return true;
}

void RoutingEngine::OrderTry(RequestNumber aNumber,
                             Request& aRequest,
                             UpstreamSlot aSlot,
                             TimePoint aNow)
{
  ++aRequest.tries;
  ++aRequest.openTries;
  ++this->openTries;
  ++this->counts.tries;
  aRequest.tried.push_back(aSlot.upstream);
  TryOrder order{ aNumber, aRequest.tries, std::move(aSlot), aNow, this->GiveUpAt(aRequest, aNow) };
  this->events.push_back({ aNumber, std::move(order), std::nullopt, std::nullopt });
}

TimePoint RoutingEngine::GiveUpAt(const Request& aRequest, TimePoint aNow)
{
  TimePoint deadline = aRequest.spec.deadline;
  auto p95 = this->ServiceOf(aRequest.spec.service).hedge.P95();
  if (!aRequest.spec.isRepeatable || !p95 || aRequest.tries >= this->settings.maxTries) {
    return deadline;
  }
  Duration half = (deadline - aNow) / 2;
  return half >= *p95 * kCutOffFactor ? aNow + half : deadline;
}

void RoutingEngine::CloseTry(Request& aRequest)
{
  assert(aRequest.openTries > 0 && this->openTries > 0);
  --aRequest.openTries;
  --this->openTries;
}

void RoutingEngine::TryEnded(const TryOrder& aOrder,
                             TryOutcome aOutcome,
                             TimePoint aSentAt,
                             TimePoint aNow)
{
  Request& request = this->requests.at(aOrder.request);
  std::string name = aOrder.slot.service;
  Service& service = this->ServiceOf(name);
  this->CloseTry(request);
  this->table.Release(aOrder.slot, aOutcome, aSentAt, aNow);
  if (aOutcome == TryOutcome::Answered) {
    service.hedge.OnLatency(aNow - aSentAt);
  }
  if (!request.isEnded) {
    this->AfterTry(aOrder, request, aOutcome, aNow);
  }
  this->ForgetIfDone(aOrder.request);
  this->DispatchService(service, aNow);
}

void RoutingEngine::AfterTry(const TryOrder& aOrder,
                             Request& aRequest,
                             TryOutcome aOutcome,
                             TimePoint aNow)
{
  bool mayOther = aRequest.mayHaveStarted || aRequest.openTries > 0;
  TryDecision decision = this->policy.Decide({ aOutcome,
                                               mayOther,
                                               aRequest.spec.isRepeatable,
                                               aRequest.tries,
                                               aRequest.spec.deadline - aNow });
  aRequest.mayHaveStarted = aRequest.mayHaveStarted || MayHaveStarted(aOutcome);
  bool isAnswer = decision.outcome == RequestOutcome::Ran;
  if (!isAnswer && aRequest.openTries > 0) {
    // A concurrent try may still bring the answer.
    return;
  }
  if (decision.maySendAgain) {
    Duration delay = this->backoff.Delay(aRequest.tries);
    if (aNow + delay < aRequest.spec.deadline &&
        this->ServiceOf(aRequest.spec.service).retries.TrySpend()) {
      ++this->counts.retries;
      this->events.push_back({ aOrder.request, std::nullopt, RetryOrder{ delay }, std::nullopt });
      return;
    }
  }
  RequestEnd end;
  end.outcome = decision.outcome;
  end.answeredTry = decision.isAnswerFinal ? aOrder.number : 0;
  end.status = decision.status;
  end.code = decision.code;
  if (decision.outcome == RequestOutcome::NotRun) {
    end.retryAfter = kShortRetryAfter;
  }
  this->End(aOrder.request, aRequest, std::move(end));
}

void RoutingEngine::TrySkipped(const TryOrder& aOrder, SkipReason aReason, TimePoint aNow)
{
  Request& request = this->requests.at(aOrder.request);
  this->CloseTry(request);
  this->table.ReleaseUnused(aOrder.slot);
  if (!request.isEnded && request.openTries == 0) {
    if (aReason == SkipReason::SeatNotUsable) {
      this->EndUnanswered(aOrder.request, 503, "not_permitted", kShortRetryAfter);
    } else {
      this->EndUnanswered(aOrder.request, 504, "deadline_exceeded");
    }
  }
  this->ForgetIfDone(aOrder.request);
  std::string name = aOrder.slot.service;
  this->DispatchService(this->ServiceOf(name), aNow);
}

void RoutingEngine::Requeue(RequestNumber aRequest, TimePoint aNow)
{
  Request& request = this->requests.at(aRequest);
  assert(!request.isEnded && !request.isWaiting && request.openTries == 0);
  const RequestSpec& spec = request.spec;
  Service& service = this->ServiceOf(spec.service);
  if (service.queue.Size() == 0 && this->StartTry(aRequest, request, aNow)) {
    return;
  }
  service.queue.PushFront({ aRequest, spec.team, spec.weight, spec.deadline }, aNow);
  request.isWaiting = true;
  this->DispatchService(service, aNow);
}

std::optional<Duration> RoutingEngine::HedgeDelay(RequestNumber aRequest) const
{
  auto found = this->requests.find(aRequest);
  if (found == this->requests.end() || !found->second.spec.isRepeatable) {
    return std::nullopt;
  }
  auto service = this->services.find(found->second.spec.service);
  return service == this->services.end() ? std::nullopt : service->second->hedge.Delay();
}

void RoutingEngine::HedgeNow(RequestNumber aRequest, TimePoint aNow)
{
  auto found = this->requests.find(aRequest);
  if (found == this->requests.end()) {
    return;
  }
  Request& request = found->second;
  Service& service = this->ServiceOf(request.spec.service);
  bool isAllowed = request.spec.isRepeatable && !request.isEnded && !request.isHedged &&
                   request.openTries == 1 && request.tries < this->settings.maxTries &&
                   service.queue.Size() == 0;
  if (!isAllowed) {
    return;
  }
  auto slot = this->table.Acquire({ request.spec.service, true, request.tried }, aNow);
  if (!slot) {
    return;
  }
  if (!service.hedge.TrySpend()) {
    this->table.ReleaseUnused(*slot);
    return;
  }
  request.isHedged = true;
  ++this->counts.hedges;
  this->OrderTry(aRequest, request, std::move(*slot), aNow);
}

void RoutingEngine::Expire(RequestNumber aRequest, TimePoint aNow)
{
  auto found = this->requests.find(aRequest);
  if (found == this->requests.end() || found->second.isEnded) {
    return;
  }
  std::string name = found->second.spec.service;
  if (found->second.isWaiting) {
    this->ServiceOf(name).queue.Cancel(aRequest);
  }
  this->EndUnanswered(aRequest, 504, "deadline_exceeded");
  this->DispatchService(this->ServiceOf(name), aNow);
}

std::size_t RoutingEngine::CancelTeam(const TeamName& aTeam, TimePoint aNow)
{
  std::size_t cancelled = 0;
  for (auto& [name, service] : this->services) {
    std::vector<RequestNumber> numbers = service->queue.RequestsOf(aTeam);
    cancelled += service->queue.Cancel(numbers);
    for (RequestNumber number : numbers) {
      this->EndUnanswered(number, 503, "cancelled");
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
  while (RequestNumber number = aService.queue.Front()) {
    Request& request = this->requests.at(number);
    if (request.spec.deadline <= aNow) {
      aService.queue.Cancel(number);
      this->EndUnanswered(number, 504, "deadline_exceeded");
      continue;
    }
    if (!this->StartTry(number, request, aNow)) {
      return;
    }
    request.isWaiting = false;
    aService.queue.Pop(aNow);
  }
}

void RoutingEngine::EndUnanswered(RequestNumber aNumber,
                                  int aStatus,
                                  const char* aCode,
                                  std::optional<seconds> aRetryAfter)
{
  Request& request = this->requests.at(aNumber);
  bool mayHaveRun = request.mayHaveStarted || request.openTries > 0;
  RequestEnd end;
  end.outcome = mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
  end.status = aStatus;
  end.code = aCode;
  end.retryAfter = aRetryAfter;
  this->End(aNumber, request, std::move(end));
  this->ForgetIfDone(aNumber);
}

void RoutingEngine::End(RequestNumber aNumber, Request& aRequest, RequestEnd aEnd)
{
  assert(!aRequest.isEnded);
  aRequest.isEnded = true;
  aRequest.isWaiting = false;
  --this->openRequests;
  this->events.push_back({ aNumber, std::nullopt, std::nullopt, std::move(aEnd) });
}

void RoutingEngine::ForgetIfDone(RequestNumber aNumber)
{
  auto found = this->requests.find(aNumber);
  if (found != this->requests.end() && found->second.isEnded && found->second.openTries == 0) {
    this->requests.erase(found);
  }
}

std::vector<RoutingEvent> RoutingEngine::TakeEvents()
{
  std::vector<RoutingEvent> taken;
  taken.swap(this->events);
  return taken;
}

bool RoutingEngine::WouldSendNow(const std::string& aService, bool aIsRepeatable, TimePoint aNow)
{
  return !this->isDraining && this->Waiting(aService) == 0 &&
         this->table.HasFreeSlot(aService, aIsRepeatable, aNow);
}

std::optional<TimePoint> RoutingEngine::NextChange(TimePoint aNow) const
{
  std::optional<TimePoint> next;
  for (const auto& [name, service] : this->services) {
    if (service->queue.Size() == 0) {
      continue;
    }
    auto change = this->table.NextChange(name, aNow);
    if (change && (!next || *change < *next)) {
      next = change;
    }
  }
  return next;
}

std::size_t RoutingEngine::Waiting(const std::string& aService) const
{
  auto found = this->services.find(aService);
  return found == this->services.end() ? 0 : found->second->queue.Size();
}

} // namespace daisydrift
