#pragma once
// Replays a recorded load against the dispatcher in virtual time.

#include "daisydrift/dispatch.h"

#include <map>
#include <string>
#include <vector>

namespace daisydrift {

/// One recorded job.
struct RecordedJob
{
  Duration arrival{ 0 };
  std::string team;
  /// Number of tasks of each step; each step depends on the one before.
  std::vector<std::uint32_t> widths;
};

/// Reads the file tests/data/aName.
std::vector<RecordedJob> ReadRecordedLoad(const std::string& aName);

/// Result of a replay.
struct ReplayResult
{
  std::size_t jobs = 0;
  std::size_t inTime = 0;
  std::size_t late = 0;
  /// Jobs with the most tasks (the widest tenth of all), and those of them that were in time or
  /// late but still of value.
  std::size_t widestJobs = 0;
  std::size_t widestJobsServed = 0;
  /// Mean value of a job: 1 when in time, 0.2 when late, 0 otherwise.
  double MeanValue() const;
  /// Fraction of all jobs that were in time or late but still of value.
  double ServedShare() const;
  double WidestJobsServedShare() const;
};

/// Simulates a fleet with more capacity than the load needs, where each team has a resource
/// ceiling.
class LoadReplay
{
public:
  LoadReplay(SchedulingOrder aOrder, std::int64_t aCeilingMilliCores);
  ReplayResult Run(const std::vector<RecordedJob>& aLoad);

private:
  struct Running
  {
    StartCommand command;
    TimePoint endsAt;
  };
  struct Expectation
  {
    TimePoint arrival;
    Duration latencyObjective{ 0 };
    std::uint32_t tasks = 0;
  };

  void Add(const RecordedJob& aJob);
  void Start();
  void ReportCompletions(ReplayResult& aResult);
  /// Actual run time of a task: close to its estimate, and the same in each replay.
  static Duration RunTimeOf(const TaskName& aTask);

  DispatchSettings settings;
  TimePoint now{ std::chrono::hours(1) };
  WallTime wall{ std::chrono::hours(500000) };
  Dispatcher dispatcher;
  std::map<WorkerId, std::vector<Running>> running;
  std::map<WorkerId, std::uint64_t> lastCompletion;
  std::map<JobId, Expectation> open;
  std::chrono::milliseconds workerClock{ 1000 };
  std::size_t nextJob = 0;
  std::uint32_t widestMinTasks = 0;
};

} // namespace daisydrift
