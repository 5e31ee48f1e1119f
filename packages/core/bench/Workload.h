#pragma once
// Generated fleets and work with fixed seeds.

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
  /// Accelerators in all, eight to a worker that has them.
  std::size_t accelerators = 0;
  std::size_t serviceTasks = 0;
  /// Task starts a second that are submitted.
  double startsPerSecond = 0;
  /// Time during which work is submitted.
  std::chrono::seconds duration{ 0 };
};

/// A job with what the scheduler does not know of it.
struct BenchJob
{
  JobSpec spec;
  Duration arrival{ 0 };
  /// What each task really uses, and for how long.
  Resources trueSize;
  Duration trueRunTime{ 0 };
  bool alwaysFails = false;
  /// Cancelled at this time; zero when not.
  Duration cancelAt{ 0 };
};

/// A fleet, its teams and its work.
struct Workload
{
  std::vector<WorkerDescription> workers;
  /// Workers that fail everything.
  std::set<WorkerId> broken;
  std::vector<TeamPolicy> teams;
  /// By arrival.
  std::vector<BenchJob> jobs;
  Duration drainAt{ 0 };
  Duration returnAt{ 0 };
};

/// The scales measured: the two deployments of today, 100 workers, and two years from now.
std::vector<Scale> Scales();
/// Generates the workload of a scale.
Workload Generate(const Scale& aScale, std::uint64_t aSeed);

} // namespace daisydrift::bench
