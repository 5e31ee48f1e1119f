#pragma once
// A scheduler that recomputes everything from scratch, to compare with.

#include "daisydrift/core.h"

#include <map>
#include <set>

namespace daisydrift::test {

/// Knows batch work only: shares by weight, ceilings, capacity and drained failure domains. All
/// sums are recomputed from the list of what runs at every question.
class NaiveScheduler
{
public:
  struct Job
  {
    JobSpec spec;
    std::uint32_t waiting = 0;
  };
  struct Running
  {
    JobNumber job = 0;
    WorkerId worker;
  };

  std::map<WorkerId, WorkerDescription> workers;
  std::set<FailureDomain> drained;
  std::vector<TeamPolicy> teams;
  std::map<JobNumber, Job> jobs;
  std::map<AttemptId, Running> running;

  /// The jobs that may be started next: of the teams with the least weighted dominant share, each
  /// team's oldest job that fits somewhere. Shares that differ by rounding only count as equal.
  /// Empty when no task can start.
  std::set<JobNumber> Next() const;
  /// True when a task of the job may start on the worker.
  bool MayStart(const JobSpec& aSpec, const WorkerId& aWorker) const;
  /// Sum of what runs on the worker.
  Resources Committed(const WorkerId& aWorker) const;

private:
  bool FitsSomewhere(const JobSpec& aSpec) const;
  double WeightedShare(const TeamPolicy& aTeam) const;
  std::pair<Resources, std::uint32_t> UsedBy(const TeamName& aTeam) const;
};

} // namespace daisydrift::test
