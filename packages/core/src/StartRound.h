#pragma once
// The order in which waiting work is started within one round.

#include "GangPlanner.h"
#include "Preemption.h"
#include "WorkerTrust.h"

namespace daisydrift::core {

/// Starts urgent work first, then the team that is owed most, until nothing fits or the limit of
/// the round is reached.
class StartRound
{
public:
  StartRound(ClusterState& aState,
             const PolicySettings& aSettings,
             Placer& aPlacer,
             Commands& aCommands,
             GangPlanner& aGangs,
             Preemption& aPreemption,
             TeamShares& aShares,
             WorkerTrust& aTrust);

  /// Makes starts until aMaxStarts are made in this round.
  void Run(TimePoint aNow, std::size_t aMaxStarts);

private:
  /// Starts tasks for which room was made.
  void StartInFreedRoom(TimePoint aNow, std::size_t aMaxStarts);
  void StartUrgent(TimePoint aNow, std::size_t aMaxStarts);
  /// Starts or makes room for the next task of an urgent job; false when it can do neither.
  bool AdvanceUrgent(Job& aJob, TimePoint aNow);
  /// Makes groups ready again that may fit now.
  void RetryBlocked(TimePoint aNow);
  void StartByShare(TimePoint aNow, std::size_t aMaxStarts);
  /// Starts the team's next task or gang; false when its first ready group was set aside.
  bool StartNext(Team& aTeam, TimePoint aNow);
  /// Starts the next task of the job in its own or in reserved room.
  bool StartTask(Job& aJob, const Resources& aSize, TimePoint aNow);
  /// True when an older job of the team waits for the ceiling and room is kept for it.
  bool IsHeldBack(const Team& aTeam, const Job& aJob, TimePoint aNow) const;
  /// Makes room for teams that have been below their fair share for long, and for jobs that
  /// services keep waiting.
  void ReclaimShares(TimePoint aNow);
  /// Makes room for one job if it is entitled to it.
  bool ReclaimFor(Job& aJob, TimePoint aNow);
  /// Makes room for urgent gangs, which do not wait for their turn.
  void ReclaimForUrgentGangs(TimePoint aNow);

  ClusterState& state;
  const PolicySettings& settings;
  Placer& placer;
  Commands& commands;
  GangPlanner& gangs;
  Preemption& preemption;
  TeamShares& shares;
  WorkerTrust& trust;
  TimePoint nextGangRetry;
  TimePoint nextFullRetry;
  TimePoint nextUrgentPreemption;
  TimePoint nextShareReclaim;
  TimePoint nextGangReclaim;
  /// Team with which the next search for room begins.
  std::size_t firstTeam = 0;
};

} // namespace daisydrift::core
