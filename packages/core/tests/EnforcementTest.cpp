// Guards against starts above a ceiling, a lowered ceiling that stops older work instead of the
// newest, starts in drained failure domains, loss of work there that could have been moved, and a
// burst of starts when a failure domain returns to service.

#include "Harness.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using std::chrono::seconds;
using test::Harness;
using test::MakeResources;

struct EnforcementTest : ::testing::Test
{
  void SetCeiling(const Resources& aCeiling, std::uint32_t aTasks)
  {
    this->harness.scheduler.SetTeams({ { "t", 1, aCeiling, aTasks } }, this->harness.now);
  }

  Harness harness;
};

TEST_F(EnforcementTest, CeilingsOfResourcesAndTasksAreNeverExceeded)
{
  this->harness.AddWorkers(10, MakeResources(4, 4096));
  this->SetCeiling(MakeResources(7, 100000), 1000);
  this->harness.SubmitJob(this->harness.MakeJobSpec("t", 20, MakeResources(2, 100)));
  this->harness.Decide();
  EXPECT_EQ(this->harness.ResourcesUsedBy("t"), MakeResources(6, 300));
  this->SetCeiling(MakeResources(100, 100000), 5);
  this->harness.Decide();
  EXPECT_EQ(this->harness.running.size(), 5U);
}

TEST_F(EnforcementTest, LoweredCeilingStopsTheNewestAttemptsAtOnce)
{
  this->harness.AddWorkers(10, MakeResources(4, 4096));
  this->SetCeiling(MakeResources(100, 100000), 100);
  JobNumber older =
    this->harness.SubmitJob(this->harness.MakeJobSpec("t", 3, MakeResources(2, 100)));
  this->harness.Decide();
  JobNumber newer =
    this->harness.SubmitJob(this->harness.MakeJobSpec("t", 3, MakeResources(2, 100)));
  this->harness.Decide();
  this->SetCeiling(MakeResources(8, 100000), 100);
  this->harness.Decide();
  ASSERT_EQ(this->harness.stops.size(), 2U);
  for (const StopDecision& stop : this->harness.stops) {
    EXPECT_EQ(stop.attempt.task.job, newer);
    EXPECT_EQ(stop.reason, StopReason::CeilingLowered);
  }
  EXPECT_EQ(this->harness.RunningAttemptsOf(older).size(), 3U);
}

TEST_F(EnforcementTest, RestoredAttemptsAreNotStoppedByLimitsThatAnEarlierLeaderHadReduced)
{
  this->SetCeiling(MakeResources(8, 100000), 100);
  JobNumber job = this->harness.SubmitJob(this->harness.MakeJobSpec("t", 6, MakeResources(2, 100)));
  auto attempt = [job](std::uint32_t aIndex) { return AttemptId{ { job, aIndex }, 1 }; };
  for (std::uint32_t i = 0; i < 6; ++i) {
    this->harness.scheduler.RestoreAttempt(
      attempt(i), "w" + std::to_string(i), MakeResources(2, 100), this->harness.now);
  }
  this->harness.Decide();
  EXPECT_TRUE(this->harness.stops.empty());
  for (std::uint32_t i = 0; i < 4; ++i) {
    this->harness.scheduler.RestoreLimit(attempt(i), MakeResources(1, 100));
    this->harness.Decide();
  }
  this->harness.scheduler.RestoreLimit(attempt(5), MakeResources(3, 100));
  this->harness.Decide();
  EXPECT_TRUE(this->harness.stops.empty());
  // The workers are live, so no report about the last attempt will lower its limit.
  this->harness.AddWorkers(6, MakeResources(4, 4096));
  this->harness.Decide();
  ASSERT_EQ(this->harness.stops.size(), 1U) << "9 cores are in use under a ceiling of 8";
  EXPECT_EQ(this->harness.stops[0].attempt, attempt(5));
}

TEST_F(EnforcementTest, RestoredAttemptsBeyondTheNumberOfTasksAreStoppedAtOnce)
{
  this->SetCeiling(MakeResources(100, 100000), 4);
  JobNumber job = this->harness.SubmitJob(this->harness.MakeJobSpec("t", 6, MakeResources(2, 100)));
  for (std::uint32_t i = 0; i < 6; ++i) {
    this->harness.scheduler.RestoreAttempt(
      { { job, i }, 1 }, "w" + std::to_string(i), MakeResources(2, 100), this->harness.now);
  }
  this->harness.Decide();
  EXPECT_EQ(this->harness.stops.size(), 2U);
}

TEST_F(EnforcementTest, RemovedTeamHasACeilingOfZero)
{
  this->harness.AddWorkers(2, MakeResources(4, 4096));
  this->SetCeiling(MakeResources(100, 100000), 100);
  this->harness.SubmitJob(this->harness.MakeJobSpec("t", 3, MakeResources(2, 100)));
  this->harness.Decide();
  this->harness.scheduler.SetTeams({}, this->harness.now);
  this->harness.Decide();
  EXPECT_EQ(this->harness.stops.size(), 3U);
  this->harness.EndStoppingAttempts();
  this->harness.RunFor(seconds(5));
  EXPECT_TRUE(this->harness.running.empty());
}

TEST_F(EnforcementTest, DrainedFailureDomainGetsNoStartAndItsMovableWorkMoves)
{
  this->harness.AddWorkers(4, MakeResources(4, 4096), { "a", "b" });
  this->SetCeiling(MakeResources(100, 100000), 100);
  JobSpec spec = this->harness.MakeJobSpec("t", 2, MakeResources(4, 100));
  spec.canCheckpoint = true;
  JobNumber movable = this->harness.SubmitJob(spec);
  JobNumber fixed =
    this->harness.SubmitJob(this->harness.MakeJobSpec("t", 2, MakeResources(4, 100)));
  this->harness.Decide();
  this->harness.scheduler.SetDrainedFailureDomains({ "a" }, this->harness.now);
  this->harness.RunFor(seconds(2));
  for (const StopDecision& stop : this->harness.stops) {
    EXPECT_EQ(stop.attempt.task.job, movable);
    EXPECT_EQ(stop.reason, StopReason::FailureDomainDrained);
    EXPECT_TRUE(stop.checkpointFirst);
  }
  EXPECT_EQ(this->harness.RunningAttemptsOf(fixed).size(), 2U)
    << "work that can't checkpoint must be left to finish";
  for (const auto& [attempt, entry] : this->harness.running) {
    bool isDrained = this->harness.workers[entry.worker].failureDomain == "a";
    EXPECT_TRUE(!isDrained || attempt.task.job == fixed);
  }
}

TEST_F(EnforcementTest, ReturnedFailureDomainIsRefilledAtABoundedRate)
{
  PolicySettings settings;
  settings.refillStartsPerSecond = 10;
  Harness limitedHarness(settings);
  limitedHarness.SetTeams({ "t" });
  limitedHarness.AddWorkers(10, MakeResources(16, 65536));
  limitedHarness.scheduler.SetDrainedFailureDomains({ "a" }, limitedHarness.now);
  limitedHarness.SubmitJob(limitedHarness.MakeJobSpec("t", 100, MakeResources(1, 100)));
  limitedHarness.RunFor(seconds(2));
  EXPECT_TRUE(limitedHarness.running.empty());
  limitedHarness.scheduler.SetDrainedFailureDomains({}, limitedHarness.now);
  limitedHarness.RunFor(seconds(5));
  EXPECT_GE(limitedHarness.running.size(), 45U);
  EXPECT_LE(limitedHarness.running.size(), 52U);
}

TEST_F(EnforcementTest, DrainingWorkerGetsNoStartAndShrunkWorkerStopsWork)
{
  this->harness.AddWorkers(1, MakeResources(4, 4096));
  this->SetCeiling(MakeResources(100, 100000), 100);
  this->harness.SubmitJob(this->harness.MakeJobSpec("t", 6, MakeResources(1, 100)));
  this->harness.Decide();
  WorkerDescription worker = this->harness.workers["w0"];
  worker.capacity = MakeResources(2, 4096);
  this->harness.scheduler.UpdateWorker(worker, this->harness.now);
  this->harness.Decide();
  EXPECT_EQ(this->harness.stops.size(), 2U);
  this->harness.EndStoppingAttempts();
  worker.capacity = MakeResources(4, 4096);
  worker.health = WorkerHealth::Draining;
  this->harness.scheduler.UpdateWorker(worker, this->harness.now);
  this->harness.RunFor(seconds(2));
  EXPECT_EQ(this->harness.running.size(), 2U);
}

} // namespace
} // namespace daisydrift
