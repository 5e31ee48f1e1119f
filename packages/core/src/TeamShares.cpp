#include "TeamShares.h"

#include <algorithm>
#include <cmath>

namespace daisydrift::core {

namespace {

/// Interval between two computations of fair shares; well below the seconds within which the fleet
/// must follow an edit of weights.
constexpr std::chrono::milliseconds kInterval{ 100 };
/// Steps of the bisection: the error of a fair share is below 1e-6.
constexpr int kBisections = 24;
/// Largest debt, as a part of the team's fair share.
constexpr double kMaxDebt = 0.5;

} // namespace

TeamShares::TeamShares(ClusterState& aState, const PolicySettings& aSettings)
  : state(aState)
  , settings(aSettings)
{
}

void TeamShares::Advance(TimePoint aNow)
{
  if (this->hasStarted && aNow - this->last < kInterval) {
    return;
  }
  Duration step = this->hasStarted ? aNow - this->last : Duration::zero();
  this->hasStarted = true;
  this->last = aNow;
  this->ComputeFairShares();
  for (Team& team : this->state.teams) {
    this->UpdateDebt(team, step);
    bool isUnderserved = team.waitingTasks > 0 && this->Share(team) < team.fairShare;
    if (!isUnderserved) {
      team.underservedSince.reset();
    } else if (!team.underservedSince) {
      team.underservedSince = aNow;
    }
  }
}

Resources TeamShares::Demand(const Team& aTeam)
{
  Resources demand = Min(aTeam.running + aTeam.waiting, aTeam.policy.ceiling);
  std::int64_t tasks = static_cast<std::int64_t>(aTeam.runningTasks) + aTeam.waitingTasks;
  auto most = static_cast<std::int64_t>(aTeam.policy.maxRunningTasks);
  if (tasks <= most || tasks == 0) {
    return demand;
  }
  double part = static_cast<double>(most) / static_cast<double>(tasks);
  Resources all = aTeam.running + aTeam.waiting;
  auto scaled = [part](std::int64_t aAmount) {
    return static_cast<std::int64_t>(part * static_cast<double>(aAmount));
  };
  return Min(demand, { scaled(all.milliCores), scaled(all.memoryMiB), scaled(all.accelerators) });
}

void TeamShares::ComputeFairShares()
{
  struct Entry
  {
    Team* team;
    Resources demand;
    double share;
  };
  std::vector<Entry> entries;
  double highest = 0;
  const Resources& total = this->state.regionCapacity;
  for (Team& team : this->state.teams) {
    Resources demand = Demand(team);
    double share = DominantShare(demand, total);
    team.fairShare = 0;
    if (share > 0) {
      entries.push_back({ &team, demand, share });
      highest = std::max(highest, share / team.policy.weight);
    }
  }
  // Raises all teams' weighted dominant shares together until a kind of resource is used up.
  auto fits = [&entries, &total](double aLevel) {
    double cores = 0;
    double memory = 0;
    double accelerators = 0;
    for (const Entry& entry : entries) {
      double part = std::min(1.0, aLevel * entry.team->policy.weight / entry.share);
      cores += part * static_cast<double>(entry.demand.milliCores);
      memory += part * static_cast<double>(entry.demand.memoryMiB);
      accelerators += part * static_cast<double>(entry.demand.accelerators);
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
  for (int i = 0; i < kBisections && low < high; ++i) {
    double middle = (low + high) / 2;
    (fits(middle) ? low : high) = middle;
  }
  for (const Entry& entry : entries) {
    entry.team->fairShare = std::min(entry.share, low * entry.team->policy.weight);
  }
}

void TeamShares::UpdateDebt(Team& aTeam, Duration aStep)
{
  double halfLives = std::chrono::duration<double>(aStep) /
                     std::chrono::duration<double>(this->settings.debtHalfLife);
  aTeam.debt *= std::exp2(-halfLives);
  double lacking = aTeam.fairShare - this->Share(aTeam);
  if (aTeam.waitingTasks > 0 || lacking < 0) {
    aTeam.debt += lacking * halfLives;
  }
  aTeam.debt = std::clamp(aTeam.debt, 0.0, kMaxDebt * aTeam.fairShare);
}

double TeamShares::Share(const Team& aTeam) const
{
  return DominantShare(aTeam.running - aTeam.stopping, this->state.regionCapacity);
}

double TeamShares::Priority(const Team& aTeam) const
{
  return (this->Share(aTeam) - aTeam.debt) / aTeam.policy.weight;
}

bool TeamShares::IsUnderserved(const Team& aTeam, const Resources& aMore) const
{
  Resources after = aTeam.running - aTeam.stopping + aMore;
  return DominantShare(after, this->state.regionCapacity) <= aTeam.fairShare;
}

bool TeamShares::IsOverserved(const Team& aTeam, const Resources& aLess) const
{
  Resources after = aTeam.running - aTeam.stopping - aLess;
  return DominantShare(after, this->state.regionCapacity) >= aTeam.fairShare;
}

} // namespace daisydrift::core
