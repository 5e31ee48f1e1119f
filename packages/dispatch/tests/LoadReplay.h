#pragma once
// Replays a recorded load against the dispatcher on virtual time.

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
  /// Tasks of each step; each step follows the one before.
  std::vector<std::uint32_t> widths;
};

/// Reads tests/data/NAME.
std::vector<RecordedJob> ReadRecordedLoad(const std::string& aName);

/// What a replay came to.
struct ReplayResult
{
  std::size_t jobs = 0;
  std::size_t inTime = 0;
  std::size_t late = 0;
  /// Jobs in time, or late and still worth something, of the widest tenth.
  std::size_t widest = 0;
  std::size_t widestServed = 0;
  /// In time counts 1, late 0.2; as a share of the jobs.
  double Worth() const;
  /// Share of all jobs that were in time or late.
  double Served() const;
  double WidestServed() const;
};

/// A fleet with more room than the load needs, where each team has a ceiling.
class LoadReplay
{
public:
  LoadReplay(OrderOfWork aOrder, std::int64_t aCeilingMilliCores);
  ReplayResult Play(const std::vector<RecordedJob>& aLoad);

private:
  struct Running
  {
    StartOrder order;
    TimePoint endsAt;
  };
  struct Expectation
  {
    TimePoint arrival;
    Duration objective{ 0 };
    std::uint32_t tasks = 0;
  };

  void Add(const RecordedJob& aJob);
  void Start();
  void EndDue(ReplayResult& aResult);
  /// True run time of a task: near its estimate, the same in each replay.
  static Duration RunTimeOf(const TaskName& aTask);

  DispatchSettings settings;
  TimePoint now{ std::chrono::hours(1) };
  WallTime wall{ std::chrono::hours(500000) };
  Dispatcher dispatcher;
  std::map<WorkerId, std::vector<Running>> running;
  std::map<WorkerId, std::uint64_t> lastEnd;
  std::map<JobId, Expectation> open;
  std::chrono::milliseconds workerClock{ 1000 };
  std::size_t nextJob = 0;
  std::uint32_t widestFrom = 0;
};

} // namespace daisydrift
