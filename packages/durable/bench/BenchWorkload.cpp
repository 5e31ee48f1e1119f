#include "BenchWorkload.h"

#include <cstdio>
#include <random>

namespace daisydrift {

namespace {

/// Incompressible bytes, like those of a digest.
std::string RandomBytes(std::uint64_t aSeed, std::size_t aBytes)
{
  std::mt19937_64 generator(aSeed);
  std::string bytes(aBytes, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(generator());
  }
  return bytes;
}

} // namespace

void Print(const std::string& aBench,
           const std::string& aMetric,
           double aValue,
           const std::string& aUnit,
           const std::string& aParameters)
{
  std::printf("bench=%s metric=%s value=%.6g unit=%s%s%s\n",
              aBench.c_str(),
              aMetric.c_str(),
              aValue,
              aUnit.c_str(),
              aParameters.empty() ? "" : " ",
              aParameters.c_str());
}

JobAccepted BenchJob(JobNumber aJob, std::size_t aSpecificationBytes)
{
  std::string specification = "{\"name\":\"job-" + std::to_string(aJob) + "\"";
  specification.resize(std::max(specification.size(), aSpecificationBytes), 'x');
  return { aJob,
           "team-" + std::to_string(aJob % 61),
           aSpecificationBytes == 0 ? "" : specification,
           RandomBytes(aJob, 32),
           RandomBytes(aJob + kJobs, 32),
           1'790'000'000 };
}

TaskAssigned BenchStart(JobNumber aJob, std::uint32_t aAttempt, unsigned aWorkers)
{
  std::string worker = "worker-" + std::to_string(aJob * 7 % aWorkers);
  return { { { aJob, 0 }, aAttempt }, worker, worker + "-inc-1", { 2500, 4096, 0 } };
}

std::vector<JournalEntry> BenchBatch(std::uint64_t aBatch, unsigned aWorkers, bool aWithCompletions)
{
  std::vector<JournalEntry> entries;
  std::uint64_t first = aBatch * kStartsPerSecond / kRecordsPerSecond;
  std::uint64_t last = (aBatch + 1) * kStartsPerSecond / kRecordsPerSecond;
  for (std::uint64_t i = first; i < last; ++i) {
    JobNumber job = 1 + i % kRunningTasks;
    auto attempt = static_cast<std::uint32_t>(1 + i / kRunningTasks);
    if (aWithCompletions) {
      entries.emplace_back(
        AttemptEnded{ { { job, 0 }, attempt }, StoredAttemptOutcome::Succeeded, "" });
    }
    entries.emplace_back(BenchStart(job, attempt + 1, aWorkers));
  }
  return entries;
}

RegionState BenchState(unsigned aWorkers, std::size_t aSpecificationBytes, bool aWithTasks)
{
  RegionState state;
  std::vector<JournalEntry> entries;
  for (JobNumber job = 1; job <= kJobs; ++job) {
    entries.emplace_back(BenchJob(job, aSpecificationBytes));
    if (aWithTasks && job <= kRunningTasks) {
      entries.emplace_back(BenchStart(job, 1, aWorkers));
    }
  }
  static_cast<void>(state.ApplyEntries(1, entries));
  return state;
}

} // namespace daisydrift
