#include "Placer.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Maximum number of candidates taken from each end of the index in each failure domain.
constexpr std::size_t kCandidatesPerDomain = 6;
/// Maximum number of candidates from the exact search, used if the bounded search found none.
constexpr std::size_t kExactSearchCandidates = 8;
/// Time for which starts in a failure domain are rate-limited after its return to service.
constexpr std::chrono::seconds kRateLimitDuration{ 60 };
/// Makes spreading outweigh packing for services.
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

bool Placer::HasFailedOn(const Job& aJob, EntityIndex aWorker)
{
  if (aJob.failedPlacements.empty() || aJob.WaitingCount() == 0) {
    return false;
  }
  return std::find(aJob.failedPlacements.begin(),
                   aJob.failedPlacements.end(),
                   std::pair(aJob.waiting[aJob.waitingHead], aWorker)) !=
         aJob.failedPlacements.end();
}

EntityIndex Placer::ChooseWorker(const Job& aJob, const Resources& aSize)
{
  if (!this->state.freeCapacityIndex.FitsLargestFree(aSize)) {
    return kNoEntity;
  }
  auto filter = [this, &aJob](EntityIndex aWorker) {
    return this->HasStartToken(this->state.workers[aWorker].domain) && !HasFailedOn(aJob, aWorker);
  };
  bool prefersSpread =
    this->settings.spreadWeight > this->settings.packingWeight || aJob.IsService();
  this->candidates.clear();
  for (EntityIndex domain = 0; domain < this->state.domains.size(); ++domain) {
    if (!this->HasStartToken(domain)) {
      continue;
    }
    this->state.freeCapacityIndex.CollectBestFit(
      domain, aSize, filter, kCandidatesPerDomain, this->candidates);
    if (prefersSpread) {
      this->state.freeCapacityIndex.CollectWorstFit(
        domain, aSize, filter, kCandidatesPerDomain, this->candidates);
    }
  }
  if (this->candidates.empty()) {
    this->state.freeCapacityIndex.CollectAny(
      aSize, filter, kExactSearchCandidates, this->candidates);
  }
  if (this->candidates.empty() && !aJob.failedPlacements.empty()) {
    // Falls back to workers on which the task has failed.
    auto hasStartToken = [this](EntityIndex aWorker) {
      return this->HasStartToken(this->state.workers[aWorker].domain);
    };
    this->state.freeCapacityIndex.CollectAny(aSize, hasStartToken, 1, this->candidates);
  }
  EntityIndex best = kNoEntity;
  double bestScore = 0;
  for (EntityIndex candidate : this->candidates) {
    double score = this->Score(aJob, aSize, candidate);
    if (best == kNoEntity || score > bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

double Placer::Score(const Job& aJob, const Resources& aSize, EntityIndex aWorker) const
{
  const Worker& worker = this->state.workers[aWorker];
  Resources used = worker.committed + worker.held + aSize;
  double cores = Ratio(used.milliCores, worker.capacity.milliCores);
  double memory = Ratio(used.memoryMiB, worker.capacity.memoryMiB);
  // Prefers even use of cores and memory, so that less of either is stranded.
  double utilization = (cores + memory) / 2 - std::abs(cores - memory) / 4;
  return this->settings.packingWeight * utilization -
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
  double tasksInDomain = aWorker.domain < aJob.tasksByDomain.size()
                           ? static_cast<double>(aJob.tasksByDomain[aWorker.domain])
                           : 0;
  double tasksInRack = aWorker.rack < aJob.tasksByRack.size()
                         ? static_cast<double>(aJob.tasksByRack[aWorker.rack])
                         : 0;
  return kServiceSpreadFactor * (2 * tasksInDomain + tasksInRack) / count;
}

double Placer::AcceleratorPenalty(const Resources& aSize, const Worker& aWorker) const
{
  std::int64_t left = aWorker.FreeCapacity().accelerators - aSize.accelerators;
  return Ratio(left, aWorker.capacity.accelerators);
}

void Placer::OnStart(EntityIndex aWorker)
{
  auto it = this->rateLimitedDomains.find(this->state.workers[aWorker].domain);
  if (it != this->rateLimitedDomains.end()) {
    it->second.limiter.TakeToken();
  }
}

void Placer::OnDomainReturned(EntityIndex aDomain, TimePoint aNow)
{
  DomainRateLimit& rateLimit = this->rateLimitedDomains[aDomain];
  rateLimit.limiter.Reset(this->settings.refillStartsPerSecond, aNow);
  rateLimit.until = aNow + kRateLimitDuration;
}

void Placer::Advance(TimePoint aNow)
{
  for (auto it = this->rateLimitedDomains.begin(); it != this->rateLimitedDomains.end();) {
    if (aNow >= it->second.until) {
      it = this->rateLimitedDomains.erase(it);
      this->state.mustRetryAllGroups = true;
      continue;
    }
    bool hadToken = it->second.limiter.HasToken();
    it->second.limiter.Advance(aNow);
    if (!hadToken && it->second.limiter.HasToken()) {
      this->state.mustRetryAllGroups = true;
    }
    ++it;
  }
}

bool Placer::HasStartToken(EntityIndex aDomain) const
{
  if (this->rateLimitedDomains.empty()) {
    return true;
  }
  auto it = this->rateLimitedDomains.find(aDomain);
  return it == this->rateLimitedDomains.end() || it->second.limiter.HasToken();
}

} // namespace daisydrift::core
