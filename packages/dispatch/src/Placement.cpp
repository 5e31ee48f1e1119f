#include "Placement.h"

#include <algorithm>
#include <bit>

namespace daisydrift::dispatch {

namespace {
/// Weight of free cores relative to run time in the score; decides between otherwise equal workers.
constexpr double kPackingWeight = 0.3;
/// Added to the score of workers to use only when there is no other: those on which the task
/// failed, and for tasks on spare cores those with a service over its tail latency target.
constexpr double kAvoidancePenalty = 10;
/// Added to the score of workers on which the task takes room of a gang that waits: the task may
/// end later by half its run time, less than the gang would wait for it.
constexpr double kGangRoomPenalty = 0.5;
/// Members of a gang up to which the room on one worker is counted.
constexpr std::uint32_t kMaxGangSlots = 64;
/// Free cores, in thousandths, of the lowest class of workers; half a core.
constexpr std::int64_t kLowestRoomMilliCores = 512;
/// Distance between the first workers that consecutive jobs consider; a prime, so that it has no
/// factor in common with the number of workers.
constexpr std::uint64_t kVisitStride = 97;
} // namespace

Placement::Placement(FleetState& aState, WorkerReliability& aReliability)
  : state(aState)
  , reliability(aReliability)
{
}

bool Placement::Matches(const Step& aStep, const Worker& aWorker)
{
  const std::string& label = aStep.spec->requiredLabel;
  const auto& labels = aWorker.listing.labels;
  return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

void Placement::BeginRound(TimePoint aNow)
{
  ++this->round;
  this->roomAtRoundStart.assign(this->state.WorkerNumbers(), -1);
  for (auto& [service, workers] : this->services) {
    workers.accepting.clear();
    for (std::vector<Worker*>& inClass : workers.byRoom) {
      inClass.clear();
    }
    workers.mostFree = Resources();
    workers.waitingGang = nullptr;
  }
  const std::string* service = nullptr;
  ServiceWorkers* found = nullptr;
  for (auto& [id, worker] : this->state.workers) {
    if (!this->reliability.AcceptsStarts(*worker, aNow)) {
      continue;
    }
    worker->acceptingRound = this->round;
    // Workers of one service mostly follow each other.
    if (service == nullptr || *service != worker->listing.service) {
      service = &worker->listing.service;
      found = &this->services[*service];
    }
    ServiceWorkers& workers = *found;
    workers.accepting.push_back(worker.get());
    Resources free = worker->Free();
    this->roomAtRoundStart[worker->number] = std::max<std::int64_t>(free.milliCores, 0);
    workers.byRoom[RoomClassOf(free.milliCores)].push_back(worker.get());
    workers.mostFree.milliCores = std::max(workers.mostFree.milliCores, free.milliCores);
    workers.mostFree.memoryMiB = std::max(workers.mostFree.memoryMiB, free.memoryMiB);
    workers.mostFree.accelerators = std::max(workers.mostFree.accelerators, free.accelerators);
  }
}

const std::vector<Worker*>& Placement::Accepting(const Step& aStep) const
{
  static const std::vector<Worker*> kNone;
  auto found = this->services.find(aStep.job->queue->service);
  return found == this->services.end() ? kNone : found->second.accepting;
}

Worker* Placement::FindAccepting(const Step& aStep, std::uint32_t aNumber) const
{
  Worker* worker = this->state.FindWorker(aNumber);
  bool isAccepting = worker != nullptr && worker->acceptingRound == this->round &&
                     worker->listing.service == aStep.job->queue->service;
  return isAccepting ? worker : nullptr;
}

std::size_t Placement::RoomClassOf(std::int64_t aMilliCores)
{
  auto units =
    static_cast<std::uint64_t>(std::max<std::int64_t>(aMilliCores, 0) / kLowestRoomMilliCores);
  return std::min<std::size_t>(std::bit_width(units), kRoomClasses - 1);
}

void Placement::VisitAccepting(const Step& aStep,
                               std::size_t aPassed,
                               const std::function<bool(Worker&)>& aVisit) const
{
  auto found = this->services.find(aStep.job->queue->service);
  if (found == this->services.end() || found->second.accepting.empty()) {
    return;
  }
  std::size_t lowest = RoomClassOf(FleetState::CommittedResources(*aStep.spec).milliCores);
  // Of those with room, long tasks get the fullest first, and short ones the emptiest.
  bool isHighestPriority = aStep.job->queue->priority == 0;
  std::array<std::size_t, kRoomClasses> order;
  for (std::size_t offset = 0; offset < kRoomClasses; ++offset) {
    bool hasRoom = offset < kRoomClasses - lowest;
    order[offset] = hasRoom && !isHighestPriority ? lowest + offset : kRoomClasses - 1 - offset;
  }
  if (!isHighestPriority) {
    for (std::size_t inClass = 0; inClass < lowest; ++inClass) {
      order[kRoomClasses - 1 - inClass] = inClass;
    }
  }
  std::size_t total = found->second.accepting.size();
  std::size_t passed = aPassed % total;
  std::size_t position = 0;
  // Twice, so that the workers that are passed over at first come last.
  for (std::size_t turn = 0; turn < 2 * kRoomClasses; ++turn) {
    const std::vector<Worker*>& workers = found->second.byRoom[order[turn % kRoomClasses]];
    std::size_t first = aStep.job->sequence * kVisitStride;
    std::size_t begin = position < passed ? std::min(passed - position, workers.size()) : 0;
    for (std::size_t index = begin; index < workers.size(); ++index) {
      bool isSecondVisit = position + index >= total + passed;
      if (isSecondVisit || !aVisit(*workers[(first + index) % workers.size()])) {
        return;
      }
    }
    position += workers.size();
  }
}

bool Placement::MayFit(const Step& aStep) const
{
  auto found = this->services.find(aStep.job->queue->service);
  if (found == this->services.end()) {
    return false;
  }
  Resources needed = FleetState::CommittedResources(*aStep.spec);
  const Resources& free = found->second.mostFree;
  return needed.milliCores <= free.milliCores && needed.memoryMiB <= free.memoryMiB &&
         needed.accelerators <= free.accelerators;
}

bool Placement::Fits(const Step& aStep, const Worker& aWorker) const
{
  return this->CountSlots(aStep, aWorker, 1) == 1;
}

std::uint32_t Placement::CountSlots(const Step& aStep,
                                    const Worker& aWorker,
                                    std::uint32_t aMaxSlots,
                                    const Resources& aTaken) const
{
  const StepSpec& spec = *aStep.spec;
  Resources free = aWorker.Free() - aTaken;
  bool isEmpty = aWorker.attempts.empty() && aTaken == Resources();
  bool isHighestPriority = aStep.job->queue->priority == 0;
  if (!isHighestPriority && !spec.isService && !spec.usesSpareCores && !isEmpty) {
    free.milliCores -= static_cast<std::int64_t>(
      static_cast<double>(aWorker.listing.capacity.milliCores) * this->state.headroom);
  }
  Resources needed = FleetState::CommittedResources(spec);
  std::int64_t slots = aMaxSlots;
  auto limit = [&slots](std::int64_t aFree, std::int64_t aNeeded) {
    if (aNeeded > 0) {
      slots = std::min(slots, std::max<std::int64_t>(aFree, 0) / aNeeded);
    }
  };
  limit(free.milliCores, needed.milliCores);
  limit(free.memoryMiB, needed.memoryMiB);
  limit(free.accelerators, needed.accelerators);
  if (spec.usesSpareCores) {
    // More such tasks than free cores would only slow each other down.
    limit(free.milliCores - aWorker.requestedSpareMilliCores, spec.size.milliCores);
  }
  if (spec.maxPerWorker > 0) {
    auto present = aStep.tasksByWorker.find(&aWorker);
    std::int64_t count = present == aStep.tasksByWorker.end() ? 0 : present->second;
    slots = std::min(slots, std::max<std::int64_t>(spec.maxPerWorker - count, 0));
  }
  return static_cast<std::uint32_t>(slots);
}

void Placement::AddWaitingGang(const Step& aGang)
{
  const Step*& first = this->services[aGang.job->queue->service].waitingGang;
  first = first == nullptr ? &aGang : first;
}

const Step* Placement::GangAheadOf(const Step& aStep) const
{
  // Tasks of the highest priority are over before the gang starts.
  bool isLong = aStep.spec->isService || aStep.job->queue->priority != 0;
  if (!isLong || aStep.spec->isGang || aStep.spec->usesSpareCores) {
    return nullptr;
  }
  auto found = this->services.find(aStep.job->queue->service);
  return found == this->services.end() ? nullptr : found->second.waitingGang;
}

bool Placement::TakesRoomOf(const Step& aGang, const Step& aStep, const Worker& aWorker) const
{
  std::uint32_t slots =
    Matches(aGang, aWorker) ? this->CountSlots(aGang, aWorker, kMaxGangSlots) : 0;
  Resources taken = FleetState::CommittedResources(*aStep.spec);
  return slots > 0 && this->CountSlots(aGang, aWorker, slots, taken) < slots;
}

double Placement::Score(const Step& aStep, const Worker& aWorker) const
{
  const StepSpec& spec = *aStep.spec;
  double time = aWorker.slowdown;
  if (!spec.dataRack.empty() && spec.dataRack != aWorker.listing.rack) {
    time *= this->state.settings.remotePenalty;
  }
  double capacity = std::max<double>(static_cast<double>(aWorker.listing.capacity.milliCores), 1);
  double freeShare = static_cast<double>(aWorker.Free().milliCores) / capacity;
  bool isHighestPriority = aStep.job->queue->priority == 0;
  double score = time + kPackingWeight * (isHighestPriority ? 1 - freeShare : freeShare);
  if (spec.usesSpareCores && aWorker.overTargetSince != TimePoint::max()) {
    score += kAvoidancePenalty;
  }
  if (spec.usesSpareCores) {
    score -= freeShare; // The speed of such a task depends on the free cores.
  }
  return score;
}

std::vector<Worker*> Placement::Candidates(const Step& aStep, TimePoint aNow)
{
  std::vector<Worker*> candidates;
  if (!this->MayFit(aStep)) {
    return candidates;
  }
  auto addIfFree = [&](Worker* aWorker) {
    if (!IsBusyProbe(*aWorker) && Matches(aStep, *aWorker)) {
      candidates.push_back(aWorker);
    }
  };
  if (!aStep.job->queue->advice) {
    for (Worker* worker : this->Accepting(aStep)) {
      addIfFree(worker);
    }
    return candidates;
  }
  TimePoint usableUntil = aNow + this->state.settings.ticketMargin;
  // On a full fleet most waiting steps have expired tickets only.
  if (aStep.advice.validUntil <= usableUntil) {
    return candidates;
  }
  std::int64_t needed = FleetState::CommittedResources(*aStep.spec).milliCores;
  for (const Ticket& ticket : aStep.advice.granted) {
    if (ticket.validUntil <= usableUntil || this->RoomAtRoundStart(ticket.worker) < needed) {
      continue;
    }
    if (Worker* worker = this->FindAccepting(aStep, ticket.worker)) {
      addIfFree(worker);
    }
  }
  return candidates;
}

Worker* Placement::Choose(const Step& aStep,
                          const Task& aTask,
                          const std::vector<Worker*>& aCandidates) const
{
  Worker* best = nullptr;
  double bestScore = 0;
  const Step* gang = this->GangAheadOf(aStep);
  for (Worker* worker : aCandidates) {
    if (IsBusyProbe(*worker) || !this->Fits(aStep, *worker)) {
      continue;
    }
    double score = this->Score(aStep, *worker);
    const auto& failedPlacements = aTask.failedPlacements;
    if (std::find(failedPlacements.begin(), failedPlacements.end(), worker->listing.id) !=
        failedPlacements.end()) {
      score += kAvoidancePenalty;
    }
    if (gang != nullptr && this->TakesRoomOf(*gang, aStep, *worker)) {
      score += kGangRoomPenalty;
    }
    if (best == nullptr || score < bestScore) {
      best = worker;
      bestScore = score;
    }
  }
  return best;
}

std::vector<Worker*> Placement::ChooseForGang(const Step& aStep, TimePoint aNow)
{
  std::vector<Worker*> candidates = this->Candidates(aStep, aNow);
  auto needed = static_cast<std::uint32_t>(aStep.tasks.size());
  std::stable_sort(candidates.begin(), candidates.end(), [&](Worker* aLeft, Worker* aRight) {
    return this->Score(aStep, *aLeft) < this->Score(aStep, *aRight);
  });
  auto fill = [&](const std::string* aRack) {
    std::vector<Worker*> chosen;
    for (Worker* worker : candidates) {
      if (aRack != nullptr && worker->listing.rack != *aRack) {
        continue;
      }
      auto left = needed - static_cast<std::uint32_t>(chosen.size());
      chosen.insert(chosen.end(), this->CountSlots(aStep, *worker, left), worker);
    }
    return chosen;
  };
  if (aStep.spec->isRackLocal) {
    std::set<std::string> racks;
    for (Worker* worker : candidates) {
      if (racks.insert(worker->listing.rack).second) {
        std::vector<Worker*> chosen = fill(&worker->listing.rack);
        if (chosen.size() == needed) {
          return chosen;
        }
      }
    }
  }
  std::vector<Worker*> chosen = fill(nullptr);
  if (chosen.size() < needed) {
    chosen.clear();
  }
  return chosen;
}

} // namespace daisydrift::dispatch
