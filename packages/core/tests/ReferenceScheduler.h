#pragma once
// Reference model of the scheduler for differential tests.

#include "daisydrift/core.h"

#include <map>
#include <set>

namespace daisydrift::test {

/// Schedules batch jobs by weighted shares, ceilings, capacity and drained failure domains. Each
/// call recomputes all sums from the list of running attempts.
class ReferenceScheduler
{
public:
  struct Job
  {
    JobSpec spec;
    std::uint32_t waiting = 0;
  };
  struct RunningAttempt
  {
    JobNumber job = 0;
    WorkerId worker;
  };

  std::map<WorkerId, WorkerDescription> workers;
  std::set<FailureDomain> drained;
  std::vector<TeamPolicy> teams;
  std::map<JobNumber, Job> jobs;
  std::map<AttemptId, RunningAttempt> running;

  /// The jobs of which a task may start next: for each team with the least weighted dominant share,
  /// its oldest job that fits on a worker. Shares that differ only by rounding count as equal.
  /// Empty when no task can start.
  std::set<JobNumber> StartableJobs() const;
  /// True when a task of the job can start on the worker.
  bool CanStart(const JobSpec& aSpec, const WorkerId& aWorker) const;
  /// Sum of the resources of the attempts on the worker.
  Resources Committed(const WorkerId& aWorker) const;

private:
  bool FitsOnAnyWorker(const JobSpec& aSpec) const;
  double WeightedDominantShare(const TeamPolicy& aTeam) const;
  std::pair<Resources, std::uint32_t> UsedBy(const TeamName& aTeam) const;
};

} // namespace daisydrift::test
