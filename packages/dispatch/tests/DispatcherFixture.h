#pragma once
// Test fixture: a dispatcher with virtual time and workers that are controlled by the test.

#include "daisydrift/dispatch.h"

#include <gtest/gtest.h>

namespace daisydrift {

class DispatcherFixture : public ::testing::Test
{
protected:
  DispatcherFixture();

  /// Adds a worker, by default with four cores, that has answered its first poll.
  void AddWorker(const WorkerId& aId, std::int64_t aMilliCores = 4000);
  /// A job with one step.
  static JobDefinition Job(const JobId& aId, std::uint32_t aTasks, std::int64_t aMilliCores = 1000);
  void Add(const JobDefinition& aJob);
  /// Runs a scheduling round and takes its start commands as if the jobs' progress were stored.
  std::vector<StartCommand> Round();
  /// As Round, but each start is accepted.
  std::vector<StartCommand> RoundAccepted();
  /// The worker reports its running and ended tasks in response to a poll that was sent at `now`.
  void Report(const WorkerId& aWorker,
              std::vector<RunningTask> aRunning,
              std::vector<RunCompletion> aCompletions = {});
  static RunningTask Running(const StartCommand& aCommand, int aPercent = 10);
  RunCompletion Completion(const StartCommand& aCommand, RunOutcome aOutcome);
  void Advance(Duration aStep);

  DispatchSettings settings;
  TimePoint now{ std::chrono::hours(1) };
  WallTime wall{ std::chrono::hours(500000) };
  Dispatcher dispatcher;
  FleetPolicy policy;
  /// Result of the last round.
  DispatchRound round;
  std::uint64_t nextCompletion = 1;
  std::chrono::milliseconds workerClock{ 1000 };
  std::int64_t incarnation = 1;
  std::size_t requestSlots = 4;
};

} // namespace daisydrift
