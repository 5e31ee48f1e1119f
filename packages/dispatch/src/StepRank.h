#pragma once
// Rank of waiting steps in the scheduling order.

#include "FleetState.h"

#include <tuple>

namespace daisydrift::dispatch {

/// Position of a step in the scheduling order; a lower rank is scheduled first. Designed for an
/// overloaded fleet on which a team submits jobs far above its rate or its resource ceiling: jobs
/// that can still be in time go first, and jobs above the team's rate or too late to have any value
/// go last, but still run.
struct StepRank
{
  bool isDeprioritized = false;
  std::uint32_t priority = 0;
  bool isLate = false;
  /// Orders steps that are equal otherwise; earlier goes first.
  TimePoint orderTime;

  auto Key() const
  {
    return std::tie(this->isDeprioritized, this->priority, this->isLate, this->orderTime);
  }
  bool operator<(const StepRank& aOther) const { return this->Key() < aOther.Key(); }
};

/// Rank of a step at aNow under the given scheduling order.
StepRank RankOf(const Step& aStep, SchedulingOrder aOrder, TimePoint aNow);
/// For each step, the critical path of declared run times from its start to the end of the job.
std::vector<Duration> CriticalPathsOf(const JobDefinition& aDefinition);
/// Latency objective of a job: its critical path times the queue's stretch factor, plus the queue's
/// target latency.
Duration LatencyObjectiveOf(const JobDefinition& aDefinition, const QueuePolicy& aQueue);
/// Takes a token from the team's token bucket for a job that arrives at aNow. Returns false when
/// the job is above the team's rate.
bool TakeJobToken(Team& aTeam, TimePoint aNow);

} // namespace daisydrift::dispatch
