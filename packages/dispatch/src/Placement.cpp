#include "Placement.h"

#include <algorithm>

namespace daisydrift::dispatch {

namespace {
/// Weight of free cores relative to run time in the score; decides between otherwise equal workers.
constexpr double kPackingWeight = 0.3;
/// Added to the score of workers to use only when there is no other: those on which the task
/// failed, and for tasks on spare cores those with a service over its tail latency target.
constexpr double kAvoidancePenalty = 10;
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
  for (auto& [service, workers] : this->accepting) {
    workers.clear();
  }
  for (auto& [id, worker] : this->state.workers) {
    if (this->reliability.AcceptsStarts(*worker, aNow)) {
      this->accepting[worker->listing.service].push_back(worker.get());
    }
  }
}

const std::vector<Worker*>& Placement::Accepting(const Step& aStep) const
{
  static const std::vector<Worker*> kNone;
  auto found = this->accepting.find(aStep.job->queue->service);
  return found == this->accepting.end() ? kNone : found->second;
}

bool Placement::Fits(const Step& aStep, const Worker& aWorker) const
{
  return this->CountSlots(aStep, aWorker, 1) == 1;
}

std::uint32_t Placement::CountSlots(const Step& aStep,
                                    const Worker& aWorker,
                                    std::uint32_t aMaxSlots) const
{
  const StepSpec& spec = *aStep.spec;
  Resources free = aWorker.Free();
  bool isHighestPriority = aStep.job->queue->priority == 0;
  if (!isHighestPriority && !spec.isService && !spec.usesSpareCores && !aWorker.attempts.empty()) {
    free.milliCores -= static_cast<std::int64_t>(
      static_cast<double>(aWorker.listing.capacity.milliCores) * this->state.settings.headroom);
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

std::vector<Worker*> Placement::Candidates(Step& aStep, TimePoint aNow)
{
  std::vector<Worker*> candidates;
  bool needsTicket = aStep.job->queue->advice.has_value();
  // On a full fleet most waiting steps have expired tickets only.
  if (needsTicket && aStep.advice.validUntil - this->state.settings.ticketMargin <= aNow) {
    return candidates;
  }
  for (Worker* worker : this->Accepting(aStep)) {
    const Ticket* ticket = needsTicket ? aStep.advice.Find(worker->number) : nullptr;
    bool isAllowed =
      !needsTicket ||
      (ticket != nullptr && ticket->validUntil - this->state.settings.ticketMargin > aNow);
    // A worker that is probed after a quarantine takes one task at a time.
    bool isFree = !worker->isProbing || worker->attempts.empty();
    if (isAllowed && isFree && Matches(aStep, *worker)) {
      candidates.push_back(worker);
    }
  }
  return candidates;
}

Worker* Placement::Choose(Step& aStep, const Task& aTask, TimePoint aNow)
{
  Worker* best = nullptr;
  double bestScore = 0;
  for (Worker* worker : this->Candidates(aStep, aNow)) {
    if (!this->Fits(aStep, *worker)) {
      continue;
    }
    double score = this->Score(aStep, *worker);
    const auto& failedPlacements = aTask.failedPlacements;
    if (std::find(failedPlacements.begin(), failedPlacements.end(), worker->listing.id) !=
        failedPlacements.end()) {
      score += kAvoidancePenalty;
    }
    if (best == nullptr || score < bestScore) {
      best = worker;
      bestScore = score;
    }
  }
  return best;
}

std::vector<Worker*> Placement::ChooseForGang(Step& aStep, TimePoint aNow)
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
