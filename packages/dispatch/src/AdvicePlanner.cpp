#include "AdvicePlanner.h"

#include <algorithm>

namespace daisydrift::dispatch {

namespace {
/// Request slots that slow requests leave to fast ones.
constexpr std::size_t kRequestSlotsForFastRequests = 2;
/// Factor of expected granted capacity over the needed capacity, since any grant may be refused.
constexpr double kOverRequestFactor = 1.4;
/// Time that the named workers may add to a request, as a fraction of its base time. A request
/// names many workers, since its base time is the main cost.
constexpr double kMaxWorkerTimeShare = 0.4;
/// Bounds on the least number of workers in a request.
constexpr std::size_t kLowestMinWorkers = 4;
constexpr std::size_t kHighestMinWorkers = 50;
/// Most comparisons of a step with a worker in one round, over all steps.
constexpr std::size_t kWorkerChecksPerRound = 4000;
/// Most workers that are compared with one step, and most of those among which a request chooses.
/// On a large fleet that are few, so that a round considers many steps.
constexpr std::size_t kWorkerChecksPerStep = 400;
constexpr std::size_t kMaxCandidates = 150;
/// One in so many request slots, and so many steps considered in one round, are kept for services
/// while one waits long: their turn comes after all steps of a higher priority.
constexpr std::size_t kSlotsPerSlotForServices = 6;
constexpr std::size_t kServiceScansPerRound = 1;
/// Time after which a service waits long. A normal request and a start are done by then.
constexpr std::chrono::milliseconds kLongServiceWait{ 1000 };
/// Most tickets that a step holds in advance for capacity that becomes free.
constexpr std::size_t kMaxSpareTickets = 8;
/// Time until the next request for a step after a failure, or when its tickets cover its waiting
/// tasks or no worker has free capacity.
constexpr std::chrono::milliseconds kRequestRetryDelay{ 100 };
/// Weight of the newest response in the moving average of granted workers.
constexpr double kNewestResponseWeight = 0.1;
} // namespace

AdvicePlanner::AdvicePlanner(FleetState& aState, Placement& aPlacement)
  : state(aState)
  , placement(aPlacement)
{
}

void AdvicePlanner::BeginRound(bool aHasLongWaitingService)
{
  this->hasLongWaitingService = aHasLongWaitingService;
  this->areSlotsScarce = this->stepsWithoutSlot > 0;
  this->stepsWithoutSlot = 0;
  this->stepsPassedOver = 0;
  this->serviceScansLeft = kServiceScansPerRound;
  this->workerChecksLeft = kWorkerChecksPerRound;
}

std::size_t AdvicePlanner::RequestSlotsFor(Duration aBaseTime, std::size_t aRequestSlots) const
{
  if (aBaseTime < this->state.settings.slowAdviceThreshold) {
    return aRequestSlots;
  }
  return aRequestSlots > kRequestSlotsForFastRequests ? aRequestSlots - kRequestSlotsForFastRequests
                                                      : 1;
}

bool AdvicePlanner::IsLongWaitingService(const Step& aStep, TimePoint aNow)
{
  return aStep.spec->isService && aStep.waitingSince <= aNow - kLongServiceWait;
}

bool AdvicePlanner::HasRequestSlot(bool aIsLongWaitingService,
                                   Duration aBaseTime,
                                   std::size_t aRequestSlots) const
{
  std::size_t slots = std::min(aRequestSlots, this->RequestSlotsFor(aBaseTime, aRequestSlots));
  if (this->hasLongWaitingService && aRequestSlots > 1) {
    std::size_t kept = std::max<std::size_t>(aRequestSlots / kSlotsPerSlotForServices, 1);
    std::size_t unused = kept - std::min(this->openServiceRequests.size(), kept);
    slots =
      aIsLongWaitingService && unused > 0 ? aRequestSlots : std::min(slots, aRequestSlots - unused);
  }
  return this->openRequests < slots;
}

bool AdvicePlanner::WillBeReadySoon(const Step& aStep, TimePoint aNow) const
{
  const Job& job = *aStep.job;
  if (!job.queue->advice || aStep.spec->dependencies.empty()) {
    return false;
  }
  Duration lead = job.queue->advice->TimeFor(aStep.tasks.size());
  for (std::uint32_t number : aStep.spec->dependencies) {
    const Step& earlier = job.StepAt(aStep.occurrence, number);
    if (earlier.Waiting() > 0) {
      return false;
    }
    Duration expected =
      earlier.active > 0 ? this->state.ExpectedRunTime(earlier).typical : Duration(0);
    for (const Task& task : earlier.tasks) {
      if (task.attempt != nullptr && !task.hasSucceeded &&
          task.attempt->decidedAt + expected > aNow + lead) {
        return false;
      }
    }
  }
  return true;
}

std::size_t AdvicePlanner::MinWorkersPerRequest(const AdvicePolicy& aPolicy)
{
  if (aPolicy.timePerWorker.count() == 0) {
    return kHighestMinWorkers;
  }
  double workers = kMaxWorkerTimeShare * static_cast<double>(aPolicy.baseTime.count()) /
                   static_cast<double>(aPolicy.timePerWorker.count());
  return std::clamp<std::size_t>(
    static_cast<std::size_t>(workers), kLowestMinWorkers, kHighestMinWorkers);
}

std::vector<AdvicePlanner::Candidate> AdvicePlanner::ListCandidates(const Step& aStep,
                                                                    TimePoint aNow,
                                                                    Coverage& aCoverage) const
{
  const StepAdvice& advice = aStep.advice;
  auto waiting = static_cast<std::uint32_t>(aStep.Waiting() + aStep.wantedCopies);
  std::vector<Candidate> candidates;
  auto addCandidate = [&](Worker& aWorker, std::uint32_t aSlots, bool aWasGranted) {
    aCoverage.hasUncoveredCapacity = aCoverage.hasUncoveredCapacity || aSlots > 0;
    candidates.push_back({ &aWorker, aSlots, aWasGranted, this->placement.Score(aStep, aWorker) });
  };
  for (const Ticket& ticket : advice.granted) {
    ++aCoverage.checks;
    Worker* worker = this->placement.FindAccepting(aStep, ticket.worker);
    if (worker == nullptr) {
      continue;
    }
    std::uint32_t slots = this->placement.CountSlots(aStep, *worker, waiting);
    if (ticket.validUntil - this->state.settings.ticketMargin > aNow) {
      aCoverage.slots += slots;
      ++aCoverage.tickets;
    } else {
      addCandidate(*worker, slots, true);
    }
  }
  std::size_t visited = 0;
  this->placement.VisitAccepting(aStep, advice.workersPassed, [&](Worker& aWorker) {
    ++aCoverage.checks;
    ++visited;
    bool isKnown = advice.IsDenied(aWorker.number) || advice.Find(aWorker.number) != nullptr;
    if (!isKnown && Placement::Matches(aStep, aWorker)) {
      addCandidate(aWorker, this->placement.CountSlots(aStep, aWorker, waiting), false);
    }
    return candidates.size() < kMaxCandidates && visited < kWorkerChecksPerStep;
  });
  // Otherwise a step that few workers may run would never see those behind the first ones.
  bool foundFew = candidates.size() < kMaxCandidates && visited >= kWorkerChecksPerStep;
  aCoverage.workersPassed = foundFew ? advice.workersPassed + visited : 0;
  return candidates;
}

void AdvicePlanner::MaybeRequest(Step& aStep,
                                 TimePoint aNow,
                                 std::size_t aRequestSlots,
                                 std::size_t aPosition,
                                 DispatchRound& aRound)
{
  StepAdvice& advice = aStep.advice;
  const std::optional<AdvicePolicy>& policy = aStep.job->queue->advice;
  if (!policy || advice.isRequestOpen || aNow < advice.notBefore) {
    return;
  }
  bool isLongWaitingService = IsLongWaitingService(aStep, aNow);
  if (!this->HasRequestSlot(isLongWaitingService, policy->baseTime, aRequestSlots)) {
    ++this->stepsWithoutSlot;
    ++this->stepsPassedOver;
    return;
  }
  const Team* team = aStep.job->team;
  if (team != nullptr && !FleetState::FitsCeiling(*team, aStep.spec->size)) {
    return; // The tickets would expire before the team may start more tasks.
  }
  if (this->workerChecksLeft == 0) {
    if (!isLongWaitingService || this->serviceScansLeft == 0) {
      ++this->stepsPassedOver;
      return;
    }
    --this->serviceScansLeft;
  }
  if (!this->placement.MayFit(aStep) && aPosition >= aRequestSlots) {
    advice.notBefore = aNow + kRequestRetryDelay;
    return;
  }
  Coverage coverage;
  std::vector<Candidate> candidates = this->ListCandidates(aStep, aNow, coverage);
  this->workerChecksLeft -= std::min(coverage.checks, this->workerChecksLeft);
  advice.workersPassed = coverage.workersPassed;
  auto waiting = static_cast<double>(aStep.Waiting() + aStep.wantedCopies);
  if (coverage.slots >= waiting) {
    advice.notBefore = aNow + kRequestRetryDelay;
    return;
  }
  // On a full fleet only the first steps in the scheduling order hold tickets, for capacity that
  // becomes free.
  bool isWorthwhile = coverage.hasUncoveredCapacity ||
                      (aPosition < aRequestSlots && coverage.tickets < kMaxSpareTickets);
  if (candidates.empty() || !isWorthwhile) {
    bool hasSeenAll = coverage.workersPassed == 0;
    advice.notBefore = hasSeenAll ? aNow + kRequestRetryDelay : aNow;
    return;
  }
  // While the slots are scarce, capacity is left unused for want of tickets, so each is to cover as
  // many tasks as it can, whatever that does to the packing.
  auto order = [isScarce = this->areSlotsScarce](const Candidate& aCandidate) {
    auto slots = static_cast<std::int64_t>(aCandidate.slots);
    return std::make_tuple(!aCandidate.wasGranted,
                           isScarce ? -slots : static_cast<std::int64_t>(slots == 0),
                           aCandidate.score);
  };
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [&order](const Candidate& aLeft, const Candidate& aRight) {
                     return order(aLeft) < order(aRight);
                   });
  double rate =
    this->grantRates.try_emplace(aStep.job->queue->name, this->state.settings.initialGrantRate)
      .first->second;
  AdviceRequest request;
  request.step = aStep.Name();
  std::size_t minWorkers = MinWorkersPerRequest(*policy);
  std::size_t mostAllowed = this->state.settings.maxWorkersPerAdviceRequest;
  std::size_t usualMax = std::min(minWorkers * 2, mostAllowed);
  double expected = coverage.slots;
  for (const Candidate& candidate : candidates) {
    bool isEnough =
      expected >= waiting * kOverRequestFactor + 1 && request.workers.size() >= minWorkers;
    // A long request grants more in the same time, since its base time counts once.
    std::size_t maxWorkers = this->areSlotsScarce && candidate.slots > 0 ? mostAllowed : usualMax;
    if (isEnough || request.workers.size() >= maxWorkers) {
      break;
    }
    expected += candidate.slots * (candidate.wasGranted ? 1.0 : rate);
    request.workers.push_back(candidate.worker->listing.id);
  }
  request.expected = policy->TimeFor(request.workers.size());
  advice.isRequestOpen = true;
  ++this->openRequests;
  if (isLongWaitingService) {
    this->openServiceRequests.insert(request.step);
  }
  aRound.adviceRequests.push_back(std::move(request));
}

void AdvicePlanner::OnResponse(const AdviceRequest& aRequest,
                               const std::vector<AdviceGrant>& aGrants,
                               TimePoint aValidUntil)
{
  --this->openRequests;
  this->openServiceRequests.erase(aRequest.step);
  Step* step = this->state.FindStep(aRequest.step);
  if (step == nullptr) {
    return;
  }
  step->advice.isRequestOpen = false;
  double& rate =
    this->grantRates.try_emplace(step->job->queue->name, this->state.settings.initialGrantRate)
      .first->second;
  std::set<WorkerId> granted;
  for (const AdviceGrant& grant : aGrants) {
    if (const Worker* worker = this->state.FindWorker(grant.worker)) {
      step->advice.Add({ worker->number, grant.ticket, aValidUntil });
      granted.insert(grant.worker);
    }
  }
  std::vector<bool>& denied = step->advice.denied;
  for (const WorkerId& id : aRequest.workers) {
    bool isGranted = granted.count(id) != 0;
    rate += kNewestResponseWeight * ((isGranted ? 1.0 : 0.0) - rate);
    const Worker* worker = this->state.FindWorker(id);
    if (!isGranted && worker != nullptr) {
      denied.resize(std::max<std::size_t>(denied.size(), worker->number + 1));
      denied[worker->number] = true;
    }
  }
}

void AdvicePlanner::OnFailure(const AdviceRequest& aRequest, TimePoint aNow)
{
  --this->openRequests;
  this->openServiceRequests.erase(aRequest.step);
  if (Step* step = this->state.FindStep(aRequest.step)) {
    step->advice.isRequestOpen = false;
    step->advice.notBefore = aNow + kRequestRetryDelay;
  }
}

} // namespace daisydrift::dispatch
