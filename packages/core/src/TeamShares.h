#pragma once
// Weighted dominant-resource fairness with a bounded, decaying debt.

#include "ClusterState.h"

namespace daisydrift::core {

/// Keeps each team's fair share and debt, and orders teams by what they are owed.
class TeamShares
{
public:
  TeamShares(ClusterState& aState, const PolicySettings& aSettings);

  /// Recomputes fair shares and debts if enough time has passed.
  void Advance(TimePoint aNow);
  /// Order of service: the team with the lowest value is next.
  double Priority(const Team& aTeam) const;
  /// Dominant share of what the team runs, without what is being stopped.
  double Share(const Team& aTeam) const;
  /// True when the team runs less than its fair share and would not exceed it with aMore.
  bool IsUnderserved(const Team& aTeam, const Resources& aMore) const;
  /// True when the team keeps at least its fair share after giving up aLess.
  bool IsOverserved(const Team& aTeam, const Resources& aLess) const;

private:
  void ComputeFairShares();
  void UpdateDebt(Team& aTeam, Duration aStep);
  /// What the team could run now within its ceiling: running plus waiting.
  static Resources Demand(const Team& aTeam);

  ClusterState& state;
  const PolicySettings& settings;
  TimePoint last;
  bool hasStarted = false;
};

} // namespace daisydrift::core
