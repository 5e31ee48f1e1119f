#pragma once
// Generated fleets and workloads with fixed seeds.

#include "daisydrift/core.h"

namespace daisydrift::bench {

/// Size of a deployment and of its load.
struct Scale
{
  std::string name;
  std::size_t workers = 0;
  std::size_t teams = 0;
  std::vector<FailureDomain> domains;
  std::size_t rackSize = 8;
  Resources capacity;
  /// Accelerators of the whole fleet, eight on each worker that has any.
  std::size_t accelerators = 0;
  std::size_t serviceTasks = 0;
  /// Mean number of tasks submitted per second.
  double tasksPerSecond = 0;
  /// Time during which jobs are submitted.
  std::chrono::seconds duration{ 0 };
};

/// A job with the properties that the scheduler does not know.
struct BenchJob
{
  JobSpec spec;
  Duration arrival{ 0 };
  /// Actual resource usage and run time of each task.
  Resources trueSize;
  Duration trueRunTime{ 0 };
  bool alwaysFails = false;
  /// Time of its cancellation since the begin; zero when it is not cancelled.
  Duration cancelAt{ 0 };
};

/// A fleet, its teams and their jobs.
struct Workload
{
  std::vector<WorkerDescription> workers;
  /// Workers on which every task fails.
  std::set<WorkerId> faultyWorkers;
  std::vector<TeamPolicy> teams;
  /// Ordered by arrival.
  std::vector<BenchJob> jobs;
  /// When a failure domain is drained, and when it returns to service, since the begin.
  Duration drainAt{ 0 };
  Duration returnAt{ 0 };
};

/// The scales measured: the two present deployments, 100 workers, and the size expected in two
/// years.
std::vector<Scale> AllScales();
/// Generates the workload of a scale.
Workload GenerateWorkload(const Scale& aScale, std::uint64_t aSeed);

} // namespace daisydrift::bench
