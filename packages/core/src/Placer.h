#pragma once
// Placement of a single task.

#include "ClusterState.h"
#include "RateLimiter.h"

namespace daisydrift::core {

/// Scores a bounded number of candidate workers from the index and chooses the best.
class Placer
{
public:
  Placer(ClusterState& aState, const PolicySettings& aSettings);

  /// Best worker for the next task of the job, or kNoEntity if none has aSize free. Workers on
  /// which the task has failed are avoided if possible.
  EntityIndex ChooseWorker(const Job& aJob, const Resources& aSize);
  /// Records a start on the worker; takes a start token if its failure domain is rate-limited.
  void OnStart(EntityIndex aWorker);
  /// Begins to rate-limit starts in a failure domain that has just returned to service.
  void OnDomainReturned(EntityIndex aDomain, TimePoint aNow);
  /// Refills start tokens and ends rate limits that have expired.
  void Advance(TimePoint aNow);
  /// True if the failure domain is not rate-limited or has a start token.
  bool HasStartToken(EntityIndex aDomain) const;
  /// True if the next task of the job has failed on the worker.
  static bool HasFailedOn(const Job& aJob, EntityIndex aWorker);

private:
  struct DomainRateLimit
  {
    RateLimiter limiter;
    TimePoint until;
  };

  double Score(const Job& aJob, const Resources& aSize, EntityIndex aWorker) const;
  double SpreadPenalty(const Job& aJob, const Worker& aWorker) const;
  double AcceleratorPenalty(const Resources& aSize, const Worker& aWorker) const;

  ClusterState& state;
  const PolicySettings& settings;
  /// Rate limits of failure domains that have just returned to service.
  std::map<EntityIndex, DomainRateLimit> rateLimitedDomains;
  std::vector<EntityIndex> candidates;
};

} // namespace daisydrift::core
