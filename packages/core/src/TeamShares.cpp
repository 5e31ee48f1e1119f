#include "TeamShares.h"

#include <algorithm>
#include <cmath>

namespace daisydrift::core {

namespace {

/// Interval between two computations of fair shares, well below the few seconds within which the
/// scheduler must follow an edit of weights.
constexpr std::chrono::milliseconds kUpdateInterval{ 100 };
/// Number of bisection steps; keeps the error of a fair share below 1e-6.
constexpr int kBisectionSteps = 24;
/// Maximum debt as a fraction of the team's fair share.
constexpr double kMaxDebtFraction = 0.5;

} // namespace

TeamShares::TeamShares(ClusterState& aState, const PolicySettings& aSettings)
  : state(aState)
  , settings(aSettings)
{
}

void TeamShares::Advance(TimePoint aNow)
{
  if (this->isInitialized && aNow - this->lastUpdate < kUpdateInterval) {
    return;
  }
  Duration step = this->isInitialized ? aNow - this->lastUpdate : Duration::zero();
  this->isInitialized = true;
  this->lastUpdate = aNow;
  this->ComputeFairShares();
  for (Team& team : this->state.teams) {
    this->UpdateDebt(team, step);
    bool isBelowFairShare = team.waitingTasks > 0 && this->Share(team) < team.fairShare;
    if (!isBelowFairShare) {
      team.belowFairShareSince.reset();
    } else if (!team.belowFairShareSince) {
      team.belowFairShareSince = aNow;
    }
  }
}

Resources TeamShares::Demand(const Team& aTeam)
{
  Resources demand = Min(aTeam.running + aTeam.waiting, aTeam.policy.ceiling);
  std::int64_t tasks = static_cast<std::int64_t>(aTeam.runningTasks) + aTeam.waitingTasks;
  auto maxTasks = static_cast<std::int64_t>(aTeam.policy.maxRunningTasks);
  if (tasks <= maxTasks || tasks == 0) {
    return demand;
  }
  double fraction = static_cast<double>(maxTasks) / static_cast<double>(tasks);
  Resources all = aTeam.running + aTeam.waiting;
  auto scaled = [fraction](std::int64_t aAmount) {
    return static_cast<std::int64_t>(fraction * static_cast<double>(aAmount));
  };
  return Min(demand, { scaled(all.milliCores), scaled(all.memoryMiB), scaled(all.accelerators) });
}

void TeamShares::ComputeFairShares()
{
  struct TeamDemand
  {
    Team* team;
    Resources demand;
    double share;
  };
  std::vector<TeamDemand> demands;
  double highest = 0;
  const Resources& total = this->state.regionCapacity;
  for (Team& team : this->state.teams) {
    Resources demand = Demand(team);
    double share = DominantShare(demand, total);
    team.fairShare = 0;
    if (share > 0) {
      demands.push_back({ &team, demand, share });
      highest = std::max(highest, share / team.policy.weight);
    }
  }
  // Progressive filling: raises the weighted dominant shares of all teams together until a resource
  // type is exhausted.
  auto fits = [&demands, &total](double aLevel) {
    double cores = 0;
    double memory = 0;
    double accelerators = 0;
    for (const TeamDemand& entry : demands) {
      double fraction = std::min(1.0, aLevel * entry.team->policy.weight / entry.share);
      cores += fraction * static_cast<double>(entry.demand.milliCores);
      memory += fraction * static_cast<double>(entry.demand.memoryMiB);
      accelerators += fraction * static_cast<double>(entry.demand.accelerators);
    }
    return cores <= static_cast<double>(total.milliCores) &&
           memory <= static_cast<double>(total.memoryMiB) &&
           accelerators <= static_cast<double>(total.accelerators);
  };
  double low = 0;
  double high = highest;
  if (fits(high)) {
    low = high;
  }
  for (int i = 0; i < kBisectionSteps && low < high; ++i) {
    double middle = (low + high) / 2;
    (fits(middle) ? low : high) = middle;
  }
  for (const TeamDemand& entry : demands) {
    entry.team->fairShare = std::min(entry.share, low * entry.team->policy.weight);
  }
}

void TeamShares::UpdateDebt(Team& aTeam, Duration aStep)
{
  double halfLives = std::chrono::duration<double>(aStep) /
                     std::chrono::duration<double>(this->settings.debtHalfLife);
  aTeam.debt *= std::exp2(-halfLives);
  double deficit = aTeam.fairShare - this->Share(aTeam);
  // A team below its fair share is owed more only while it has waiting tasks. A team above it has
  // its debt reduced in any case.
  if (aTeam.waitingTasks > 0 || deficit < 0) {
    aTeam.debt += deficit * halfLives;
  }
  aTeam.debt = std::clamp(aTeam.debt, 0.0, kMaxDebtFraction * aTeam.fairShare);
}

double TeamShares::Share(const Team& aTeam) const
{
  return DominantShare(aTeam.running - aTeam.stopping, this->state.regionCapacity);
}

double TeamShares::Priority(const Team& aTeam) const
{
  return (this->Share(aTeam) - aTeam.debt) / aTeam.policy.weight;
}

bool TeamShares::StaysWithinFairShare(const Team& aTeam, const Resources& aMore) const
{
  Resources after = aTeam.running - aTeam.stopping + aMore;
  return DominantShare(after, this->state.regionCapacity) <= aTeam.fairShare;
}

bool TeamShares::KeepsFairShare(const Team& aTeam, const Resources& aReleased) const
{
  Resources after = aTeam.running - aTeam.stopping - aReleased;
  return DominantShare(after, this->state.regionCapacity) >= aTeam.fairShare;
}

} // namespace daisydrift::core
