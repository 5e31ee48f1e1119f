#pragma once
// Weighted dominant resource fairness with a bounded, decaying debt to teams that waited.

#include "ClusterState.h"

namespace daisydrift::core {

/// Maintains each team's fair share and debt, and defines the order in which teams are served.
class TeamShares
{
public:
  TeamShares(ClusterState& aState, const PolicySettings& aSettings);

  /// Recomputes fair shares and debts if the update interval has passed.
  void Advance(TimePoint aNow);
  /// Service order: the team with the lowest value is served next.
  double Priority(const Team& aTeam) const;
  /// Dominant share of the team's attempts, without those that are being stopped.
  double Share(const Team& aTeam) const;
  /// True if the team would not exceed its fair share with aMore added.
  bool StaysWithinFairShare(const Team& aTeam, const Resources& aMore) const;
  /// True if the team would still run at least its fair share after giving up aReleased.
  bool KeepsFairShare(const Team& aTeam, const Resources& aReleased) const;

private:
  void ComputeFairShares();
  void UpdateDebt(Team& aTeam, Duration aStep);
  /// Resources that the team could use now within its ceiling: running plus waiting.
  static Resources Demand(const Team& aTeam);

  ClusterState& state;
  const PolicySettings& settings;
  TimePoint lastUpdate;
  bool isInitialized = false;
};

} // namespace daisydrift::core
