#pragma once
// Choice of a worker for one task.

#include "ClusterState.h"
#include "RateLimiter.h"

namespace daisydrift::core {

/// Scores a bounded number of candidate workers from the index and takes the best.
class Placer
{
public:
  Placer(ClusterState& aState, const PolicySettings& aSettings);

  /// The worker for a task of the job, or kNoPosition when none has room. Workers on which the task
  /// has failed are avoided.
  Position Choose(const Job& aJob, const Resources& aSize);
  /// Records that a start was made on the worker; uses up a token of a failure domain that refills.
  void OnStart(Position aWorker);
  /// Limits starts in failure domains that have just returned to service.
  void OnDomainReturned(Position aDomain, TimePoint aNow);
  /// Passes time to the limits.
  void Advance(TimePoint aNow);
  /// True when the failure domain may get a start now.
  bool IsOpen(Position aDomain) const;
  /// Workers on which the next task of the job must not start because it failed there.
  static bool HasFailedOn(const Job& aJob, Position aWorker);

private:
  struct Refill
  {
    RateLimiter limiter;
    TimePoint until;
  };

  double Score(const Job& aJob, const Resources& aSize, Position aWorker) const;
  double SpreadPenalty(const Job& aJob, const Worker& aWorker) const;
  double AcceleratorPenalty(const Resources& aSize, const Worker& aWorker) const;

  ClusterState& state;
  const PolicySettings& settings;
  /// Failure domains that refill, by position.
  std::map<Position, Refill> refills;
  std::vector<Position> candidates;
};

} // namespace daisydrift::core
