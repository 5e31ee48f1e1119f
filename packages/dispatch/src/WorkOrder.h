#pragma once
// The order in which waiting steps are served.

#include "FleetState.h"

#include <tuple>

namespace daisydrift::dispatch {

/// Load pattern: more work than room, with a team that sends far above its rate or its ceiling.
/// What can still be in time goes first; what is above a team's rate, or earns nothing any more,
/// goes last but runs.
struct WorkRank
{
  bool isLast = false;
  std::uint32_t priority = 0;
  bool isLate = false;
  /// Order among steps that are equal otherwise.
  TimePoint turn;

  auto Key() const { return std::tie(this->isLast, this->priority, this->isLate, this->turn); }
  bool operator<(const WorkRank& aOther) const { return this->Key() < aOther.Key(); }
};

/// Rank of a step at aNow.
WorkRank RankOf(const Step& aStep, OrderOfWork aOrder, TimePoint aNow);
/// For each step, the longest chain of declared run times from its start to the end of the job.
std::vector<Duration> ChainsFrom(const JobDefinition& aDefinition);
/// Latency objective of a job: its stretched longest chain and the queue's target.
Duration ObjectiveOf(const JobDefinition& aDefinition, const QueuePolicy& aQueue);
/// Takes a token of the team's rate for a job that arrives now; false when it comes above it.
bool TakeJobToken(Team& aTeam, TimePoint aNow);

} // namespace daisydrift::dispatch
