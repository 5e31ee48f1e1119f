// Guards against: starts above a ceiling, old work stopped instead of the newest when a ceiling is
// lowered, starts in drained failure domains, work lost there that could have been moved, and a
// rush of starts when a failure domain returns.

#include "Harness.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using std::chrono::seconds;
using test::Harness;
using test::Size;

struct EnforcementTest : ::testing::Test
{
  void SetCeiling(const Resources& aCeiling, std::uint32_t aTasks)
  {
    this->harness.scheduler.SetTeams({ { "t", 1, aCeiling, aTasks } }, this->harness.now);
  }

  Harness harness;
};

TEST_F(EnforcementTest, CeilingsOfResourcesAndTasksAreHard)
{
  this->harness.AddWorkers(10, Size(4, 4096));
  this->SetCeiling(Size(7, 100000), 1000);
  this->harness.Add(this->harness.Spec("t", 20, Size(2, 100)));
  this->harness.Decide();
  EXPECT_EQ(this->harness.UsedBy("t"), Size(6, 300));
  this->SetCeiling(Size(100, 100000), 5);
  this->harness.Decide();
  EXPECT_EQ(this->harness.running.size(), 5U);
}

TEST_F(EnforcementTest, LoweredCeilingStopsTheNewestAtOnce)
{
  this->harness.AddWorkers(10, Size(4, 4096));
  this->SetCeiling(Size(100, 100000), 100);
  JobNumber old = this->harness.Add(this->harness.Spec("t", 3, Size(2, 100)));
  this->harness.Decide();
  JobNumber young = this->harness.Add(this->harness.Spec("t", 3, Size(2, 100)));
  this->harness.Decide();
  this->SetCeiling(Size(8, 100000), 100);
  this->harness.Decide();
  ASSERT_EQ(this->harness.stops.size(), 2U);
  for (const StopDecision& stop : this->harness.stops) {
    EXPECT_EQ(stop.attempt.task.job, young);
    EXPECT_EQ(stop.reason, StopReason::CeilingLowered);
  }
  EXPECT_EQ(this->harness.RunningOf(old).size(), 3U);
}

TEST_F(EnforcementTest, MissingTeamKeepsACeilingOfZero)
{
  this->harness.AddWorkers(2, Size(4, 4096));
  this->SetCeiling(Size(100, 100000), 100);
  this->harness.Add(this->harness.Spec("t", 3, Size(2, 100)));
  this->harness.Decide();
  this->harness.scheduler.SetTeams({}, this->harness.now);
  this->harness.Decide();
  EXPECT_EQ(this->harness.stops.size(), 3U);
  this->harness.EndStopping();
  this->harness.RunFor(seconds(5));
  EXPECT_TRUE(this->harness.running.empty());
}

TEST_F(EnforcementTest, DrainedFailureDomainGetsNoStartAndItsWorkMoves)
{
  this->harness.AddWorkers(4, Size(4, 4096), { "a", "b" });
  this->SetCeiling(Size(100, 100000), 100);
  JobSpec spec = this->harness.Spec("t", 2, Size(4, 100));
  spec.canCheckpoint = true;
  JobNumber movable = this->harness.Add(spec);
  JobNumber fixed = this->harness.Add(this->harness.Spec("t", 2, Size(4, 100)));
  this->harness.Decide();
  this->harness.scheduler.SetDrainedFailureDomains({ "a" }, this->harness.now);
  this->harness.RunFor(seconds(2));
  for (const StopDecision& stop : this->harness.stops) {
    EXPECT_EQ(stop.attempt.task.job, movable);
    EXPECT_EQ(stop.reason, StopReason::FailureDomainDrained);
    EXPECT_TRUE(stop.checkpointFirst);
  }
  EXPECT_EQ(this->harness.RunningOf(fixed).size(), 2U) << "what cannot move may finish";
  for (const auto& [attempt, entry] : this->harness.running) {
    bool isDrained = this->harness.workers[entry.worker].failureDomain == "a";
    EXPECT_TRUE(!isDrained || attempt.task.job == fixed);
  }
}

TEST_F(EnforcementTest, ReturnedFailureDomainIsRefilledAtABoundedRate)
{
  PolicySettings settings;
  settings.refillStartsPerSecond = 10;
  Harness slow(settings);
  slow.SetTeams({ "t" });
  slow.AddWorkers(10, Size(16, 65536));
  slow.scheduler.SetDrainedFailureDomains({ "a" }, slow.now);
  slow.Add(slow.Spec("t", 100, Size(1, 100)));
  slow.RunFor(seconds(2));
  EXPECT_TRUE(slow.running.empty());
  slow.scheduler.SetDrainedFailureDomains({}, slow.now);
  slow.RunFor(seconds(5));
  EXPECT_GE(slow.running.size(), 45U);
  EXPECT_LE(slow.running.size(), 52U);
}

TEST_F(EnforcementTest, LeavingWorkerGetsNoStartAndShrunkWorkerSheds)
{
  this->harness.AddWorkers(1, Size(4, 4096));
  this->SetCeiling(Size(100, 100000), 100);
  this->harness.Add(this->harness.Spec("t", 6, Size(1, 100)));
  this->harness.Decide();
  WorkerDescription worker = this->harness.workers["w0"];
  worker.capacity = Size(2, 4096);
  this->harness.scheduler.UpdateWorker(worker, this->harness.now);
  this->harness.Decide();
  EXPECT_EQ(this->harness.stops.size(), 2U);
  this->harness.EndStopping();
  worker.capacity = Size(4, 4096);
  worker.health = WorkerHealth::Leaving;
  this->harness.scheduler.UpdateWorker(worker, this->harness.now);
  this->harness.RunFor(seconds(2));
  EXPECT_EQ(this->harness.running.size(), 2U);
}

} // namespace
} // namespace daisydrift
