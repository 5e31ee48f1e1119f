#pragma once
// Interface of the scheduling policies that are compared: the scheduler and the baselines.

#include "daisydrift/core.h"

#include <memory>

namespace daisydrift::bench {

/// A scheduling policy under measurement. Its functions have the meaning of those of Scheduler.
class Policy
{
public:
  virtual ~Policy() = default;
  virtual void SetTeams(const std::vector<TeamPolicy>& aTeams, TimePoint aNow) = 0;
  virtual void SetDrained(const std::set<FailureDomain>& aDrained, TimePoint aNow) = 0;
  virtual void UpdateWorker(const WorkerDescription& aWorker, TimePoint aNow) = 0;
  virtual void AddJob(const JobSpec& aSpec, TimePoint aNow) = 0;
  virtual void CancelJob(JobNumber aJob, TimePoint aNow) = 0;
  virtual void OnEnded(const AttemptId& aAttempt, AttemptOutcome aOutcome, TimePoint aNow) = 0;
  virtual void OnUsage(const AttemptId& aAttempt, const Resources& aUsage, TimePoint aNow) = 0;
  virtual std::vector<Decision> Decide(TimePoint aNow, std::size_t aMaxStarts) = 0;
};

/// Creates a policy by its name: first_fit, random_two, fifo, daisydrift_waiting or
/// daisydrift_packing. An unknown name gives fifo.
std::unique_ptr<Policy> MakePolicy(const std::string& aName, std::uint64_t aSeed);

} // namespace daisydrift::bench
