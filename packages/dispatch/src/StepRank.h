#pragma once
// Rank of waiting steps in the scheduling order.

#include "FleetState.h"

#include <tuple>

namespace daisydrift::dispatch {

/// Position of a step in the scheduling order; a lower rank is scheduled first. Designed for an
/// overloaded fleet on which a team submits jobs far above its rate or its resource ceiling: jobs
/// that can still be in time go first, jobs above the team's rate go after those of other teams of
/// the same priority, and jobs too late to have any value go last, but still run.
struct StepRank
{
  bool hasNoValue = false;
  std::uint32_t priority = 0;
  bool isOverRate = false;
  bool isLate = false;
  /// Orders steps that are equal otherwise; earlier goes first.
  TimePoint orderTime;

  /// Orders ranks before orderTime does.
  std::uint64_t Band() const
  {
    constexpr unsigned kPriorityBits = 32;
    std::uint64_t band = this->hasNoValue ? 1 : 0;
    band = (band << kPriorityBits) | this->priority;
    band = (band << 1U) | (this->isOverRate ? 1 : 0);
    return (band << 1U) | (this->isLate ? 1 : 0);
  }
};

/// A step with waiting tasks and its place in the scheduling order. A round sorts all of them, so
/// they are compared by integers that are computed once.
struct WaitingStep
{
  WaitingStep(const StepRank& aRank, Step* aStep)
    : band(aRank.Band())
    , orderTime(aRank.orderTime)
    , sequence(aStep->job->sequence)
    , step(aStep)
  {
  }
  bool operator<(const WaitingStep& aOther) const
  {
    if (this->band != aOther.band) {
      return this->band < aOther.band;
    }
    if (this->orderTime != aOther.orderTime) {
      return this->orderTime < aOther.orderTime;
    }
    if (this->sequence != aOther.sequence) {
      return this->sequence < aOther.sequence;
    }
    return std::tie(this->step->occurrence, this->step->number) <
           std::tie(aOther.step->occurrence, aOther.step->number);
  }

  std::uint64_t band;
  TimePoint orderTime;
  std::uint64_t sequence;
  Step* step;
};

/// A job that takes more than this many times its latency objective has no value; defined by the
/// platform.
constexpr int kNoValueFactor = 3;

/// Rank of a step at aNow under the given scheduling order.
StepRank RankOf(const Step& aStep, SchedulingOrder aOrder, TimePoint aNow);
/// For each step, the critical path of declared run times from its start to the end of the job.
std::vector<Duration> CriticalPathsOf(const JobDefinition& aDefinition);
/// The same with the run times that are expected for the slowest task of each step: a step is done
/// when its last task is, so wide steps take longer than declared. Without it wide jobs start as
/// late as others, and end too late.
std::vector<Duration> ExpectedPathsOf(const JobDefinition& aDefinition);
/// Latency objective of a job: its critical path times the queue's stretch factor, plus the queue's
/// target latency.
Duration LatencyObjectiveOf(const JobDefinition& aDefinition, const QueuePolicy& aQueue);
/// Number of tasks of one occurrence that can succeed: those of steps that neither are services nor
/// depend on one.
std::uint64_t CountFiniteTasks(const JobDefinition& aDefinition);
/// Takes a token from the team's token bucket for a job that arrives at aNow. Returns false when
/// the job is above the team's rate.
bool TakeJobToken(Team& aTeam, TimePoint aNow);

} // namespace daisydrift::dispatch
