#pragma once
// Human-readable reasons why a job cannot run or is waiting.

#include "GangPlanner.h"
#include "Preemption.h"
#include "WorkerReliability.h"

namespace daisydrift::core {

/// Builds explanations from the state without changing it.
class Explainer
{
public:
  Explainer(const ClusterState& aState,
            const TeamShares& aShares,
            const GangPlanner& aGangs,
            const Preemption& aPreemption,
            const WorkerReliability& aReliability);

  /// Why a job can never run, or nothing if it can.
  std::optional<Explanation> CheckJob(const JobSpec& aSpec) const;
  /// Why the job waits, or nothing if it is not waiting.
  std::optional<Explanation> Explain(const Job& aJob, TimePoint aNow) const;

private:
  std::optional<Explanation> CheckCeiling(const JobSpec& aSpec) const;
  std::optional<Explanation> CheckWorkers(const JobSpec& aSpec) const;
  Explanation ExplainCeilingReached(const Job& aJob, const Resources& aSize) const;
  Explanation ExplainFleetFull(const Job& aJob, const Resources& aSize) const;
  Explanation ExplainGangWait(const Job& aJob, TimePoint aNow) const;

  const ClusterState& state;
  const TeamShares& shares;
  const GangPlanner& gangs;
  const Preemption& preemption;
  const WorkerReliability& reliability;
};

/// Text such as "2.5 cores, 1024 MiB, 1 accelerators".
std::string ToText(const Resources& aResources);

} // namespace daisydrift::core
