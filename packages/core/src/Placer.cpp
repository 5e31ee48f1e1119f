#include "Placer.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Candidates scored in each failure domain from each end of the index.
constexpr std::size_t kCandidatesPerDomain = 6;
/// Candidates scored when the bounded search found none.
constexpr std::size_t kCandidatesOfExactSearch = 8;
/// Time for which starts in a returned failure domain are limited.
constexpr std::chrono::seconds kRefillTime{ 60 };
/// Makes the spread of a service outweigh packing.
constexpr double kServiceSpreadFactor = 8.0;

double Ratio(std::int64_t aPart, std::int64_t aWhole)
{
  return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole) : 0;
}

} // namespace

Placer::Placer(ClusterState& aState, const PolicySettings& aSettings)
  : state(aState)
  , settings(aSettings)
{
}

bool Placer::HasFailedOn(const Job& aJob, Position aWorker)
{
  if (aJob.failedOn.empty() || aJob.WaitingCount() == 0) {
    return false;
  }
  return std::find(aJob.failedOn.begin(),
                   aJob.failedOn.end(),
                   std::pair(aJob.waiting[aJob.waitingHead], aWorker)) != aJob.failedOn.end();
}

Position Placer::Choose(const Job& aJob, const Resources& aSize)
{
  if (!this->state.index.MayFit(aSize)) {
    return kNoPosition;
  }
  auto filter = [this, &aJob](Position aWorker) {
    return this->IsOpen(this->state.workers[aWorker].domain) && !HasFailedOn(aJob, aWorker);
  };
  bool isSpreading = this->settings.spreadWeight > this->settings.packingWeight || aJob.IsService();
  this->candidates.clear();
  for (Position domain = 0; domain < this->state.domains.size(); ++domain) {
    if (!this->IsOpen(domain)) {
      continue;
    }
    this->state.index.CollectTightest(
      domain, aSize, filter, kCandidatesPerDomain, this->candidates);
    if (isSpreading) {
      this->state.index.CollectLoosest(
        domain, aSize, filter, kCandidatesPerDomain, this->candidates);
    }
  }
  if (this->candidates.empty()) {
    this->state.index.CollectAny(aSize, filter, kCandidatesOfExactSearch, this->candidates);
  }
  if (this->candidates.empty() && !aJob.failedOn.empty()) {
    // Better a worker on which it failed than none.
    auto isOpen = [this](Position aWorker) {
      return this->IsOpen(this->state.workers[aWorker].domain);
    };
    this->state.index.CollectAny(aSize, isOpen, 1, this->candidates);
  }
  Position best = kNoPosition;
  double bestScore = 0;
  for (Position candidate : this->candidates) {
    double score = this->Score(aJob, aSize, candidate);
    if (best == kNoPosition || score > bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

double Placer::Score(const Job& aJob, const Resources& aSize, Position aWorker) const
{
  const Worker& worker = this->state.workers[aWorker];
  Resources used = worker.committed + worker.held + aSize;
  double cores = Ratio(used.milliCores, worker.capacity.milliCores);
  double memory = Ratio(used.memoryMiB, worker.capacity.memoryMiB);
  // An even use of both kinds strands less of the other.
  double fill = (cores + memory) / 2 - std::abs(cores - memory) / 4;
  return this->settings.packingWeight * fill -
         this->settings.spreadWeight * this->SpreadPenalty(aJob, worker) -
         this->settings.acceleratorWeight * this->AcceleratorPenalty(aSize, worker);
}

double Placer::SpreadPenalty(const Job& aJob, const Worker& aWorker) const
{
  if (!aJob.IsService()) {
    const Domain& domain = this->state.domains[aWorker.domain];
    return Ratio(domain.committed.milliCores, domain.capacity.milliCores);
  }
  auto count = static_cast<double>(std::max(1U, aJob.spec.taskCount));
  double inDomain = aWorker.domain < aJob.tasksByDomain.size()
                      ? static_cast<double>(aJob.tasksByDomain[aWorker.domain])
                      : 0;
  double inRack = aWorker.rack < aJob.tasksByRack.size()
                    ? static_cast<double>(aJob.tasksByRack[aWorker.rack])
                    : 0;
  return kServiceSpreadFactor * (2 * inDomain + inRack) / count;
}

double Placer::AcceleratorPenalty(const Resources& aSize, const Worker& aWorker) const
{
  std::int64_t left = aWorker.Free().accelerators - aSize.accelerators;
  return Ratio(left, aWorker.capacity.accelerators);
}

void Placer::OnStart(Position aWorker)
{
  auto it = this->refills.find(this->state.workers[aWorker].domain);
  if (it != this->refills.end()) {
    it->second.limiter.Take();
  }
}

void Placer::OnDomainReturned(Position aDomain, TimePoint aNow)
{
  Refill& refill = this->refills[aDomain];
  refill.limiter.Reset(this->settings.refillStartsPerSecond, aNow);
  refill.until = aNow + kRefillTime;
}

void Placer::Advance(TimePoint aNow)
{
  for (auto it = this->refills.begin(); it != this->refills.end();) {
    if (aNow >= it->second.until) {
      it = this->refills.erase(it);
      this->state.mustRetryAll = true;
      continue;
    }
    bool wasOpen = it->second.limiter.HasToken();
    it->second.limiter.Advance(aNow);
    if (!wasOpen && it->second.limiter.HasToken()) {
      this->state.mustRetryAll = true;
    }
    ++it;
  }
}

bool Placer::IsOpen(Position aDomain) const
{
  if (this->refills.empty()) {
    return true;
  }
  auto it = this->refills.find(aDomain);
  return it == this->refills.end() || it->second.limiter.HasToken();
}

} // namespace daisydrift::core
