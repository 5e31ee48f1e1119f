#pragma once
// The two-year load (docs/design.md, section 1.6) for the benchmarks of this package.

#include "daisydrift/durable.h"

#include <string>
#include <vector>

namespace daisydrift {

constexpr unsigned kJobs = 14'000;
constexpr unsigned kRunningTasks = 11'000;
constexpr unsigned kStartsPerSecond = 980;
/// Group commits per second.
constexpr unsigned kRecordsPerSecond = 40;
inline const std::string kBenchRegion = "north";

/// Prints one measurement as a line of key=value pairs; aParameters holds further pairs.
void Print(const std::string& aBench,
           const std::string& aMetric,
           double aValue,
           const std::string& aUnit,
           const std::string& aParameters);

/// An accepted job with a specification of aSpecificationBytes and with 32-byte digests.
JobAccepted BenchJob(JobNumber aJob, std::size_t aSpecificationBytes);
/// Assigns an attempt of task 0 of a job to one of aWorkers workers.
TaskAssigned BenchStart(JobNumber aJob, std::uint32_t aAttempt, unsigned aWorkers);
/// The starts, and when aWithCompletions the completions, of batch number aBatch at peak load. The
/// jobs are those of BenchState(), and the attempts follow the ones that it holds.
std::vector<JournalEntry> BenchBatch(std::uint64_t aBatch,
                                     unsigned aWorkers,
                                     bool aWithCompletions);
/// A state with kJobs jobs; when aWithTasks, the first kRunningTasks of them have one running task.
RegionState BenchState(unsigned aWorkers, std::size_t aSpecificationBytes, bool aWithTasks);

} // namespace daisydrift
