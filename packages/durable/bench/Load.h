#pragma once
// The two-year load of the design page (section 1.6) for the benchmarks of this package.

#include "daisydrift/durable.h"

#include <string>
#include <vector>

namespace daisydrift {

constexpr unsigned kJobs = 14'000;
constexpr unsigned kRunningTasks = 11'000;
constexpr unsigned kStartsPerSecond = 980;
/// Group commits a second.
constexpr unsigned kRecordsPerSecond = 40;
inline const std::string kBenchRegion = "north";

/// Prints one figure as a key=value line; aParameters are further pairs.
void Print(const std::string& aBench,
           const std::string& aMetric,
           double aValue,
           const std::string& aUnit,
           const std::string& aParameters);

/// An accepted job with a specification of aSpecificationBytes and 32-byte digests.
JobAccepted BenchJob(JobNumber aJob, std::size_t aSpecificationBytes);
/// An attempt of task 0 of a job, on one of aWorkers workers.
TaskAssigned BenchStart(JobNumber aJob, std::uint32_t aAttempt, unsigned aWorkers);
/// The starts and ends of one group commit at peak; aGroup counts the groups. The jobs are those of
/// BenchState, and the attempts follow those it holds.
std::vector<JournalEntry> BenchGroup(std::uint64_t aGroup, unsigned aWorkers, bool aWithEnds);
/// kJobs jobs, the first kRunningTasks of them with one running task (when aWithTasks).
RegionState BenchState(unsigned aWorkers, std::size_t aSpecificationBytes, bool aWithTasks);

} // namespace daisydrift
