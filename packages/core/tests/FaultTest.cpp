// Guards against: workers that fail everything consuming all work, jobs that always fail being
// tried for ever, one blamed for the other, limits above a worker's capacity while sizes are
// corrected, and refusals or waits without a reason.

#include "Harness.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using std::chrono::seconds;
using test::Harness;
using test::Size;

struct FaultTest : ::testing::Test
{
  FaultTest() { this->harness.SetTeams({ "t", "u" }); }

  /// Ends what runs: failing on aBadWorker or for aBadJob, else succeeding.
  void EndAll(const WorkerId& aBadWorker, JobNumber aBadJob)
  {
    auto copy = this->harness.running;
    for (const auto& [attempt, entry] : copy) {
      bool fails = entry.worker == aBadWorker || attempt.task.job == aBadJob;
      this->failures[entry.worker] += fails ? 1 : 0;
      this->harness.End(
        attempt, fails ? AttemptOutcome::Failed : AttemptOutcome::Succeeded, "exit 1");
    }
  }

  Harness harness;
  std::map<WorkerId, int> failures;
};

TEST_F(FaultTest, WorkerThatFailsEverythingIsQuarantinedAndNoJobFailsByIt)
{
  this->harness.AddWorkers(8, Size(4, 4096));
  for (int i = 0; i < 200; ++i) {
    this->harness.Add(this->harness.Spec("t", 1, Size(1, 100)));
  }
  for (int i = 0; i < 300; ++i) {
    this->harness.RunFor(std::chrono::milliseconds(200));
    this->EndAll("w3", 0);
  }
  this->harness.Decide();
  EXPECT_EQ(this->harness.finished.size(), 200U);
  for (const JobFinishedDecision& done : this->harness.finished) {
    EXPECT_EQ(done.state, JobState::Succeeded) << done.reason;
  }
  // The first tasks before the quarantine, then single probes at doubling intervals.
  EXPECT_LE(this->failures["w3"], 12);
}

TEST_F(FaultTest, RecoveredWorkerReturnsToService)
{
  this->harness.AddWorkers(8, Size(4, 4096));
  for (int i = 0; i < 20; ++i) {
    this->harness.Add(this->harness.Spec("t", 1, Size(1, 100)));
    this->harness.RunFor(std::chrono::milliseconds(200));
    this->EndAll("w0", 0);
  }
  for (int i = 0; i < 200; ++i) {
    this->harness.Add(this->harness.Spec("t", 1, Size(1, 100)));
    this->harness.RunFor(std::chrono::milliseconds(500));
    this->EndAll("", 0);
  }
  JobNumber large = this->harness.Add(this->harness.Spec("t", 8, Size(4, 100)));
  this->harness.RunFor(seconds(1));
  EXPECT_EQ(this->harness.RunningOf(large).size(), 8U);
}

TEST_F(FaultTest, JobThatFailsOnThreeWorkersFailsWithAReasonAndNoWorkerIsBlamed)
{
  this->harness.AddWorkers(8, Size(4, 4096));
  for (int round = 0; round < 6; ++round) {
    JobNumber bad = this->harness.Add(this->harness.Spec("t", 1, Size(1, 100)));
    for (int i = 0; i < 5; ++i) {
      this->harness.RunFor(std::chrono::milliseconds(200));
      this->EndAll("", bad);
    }
    EXPECT_EQ(this->harness.StateOf(bad), JobState::Failed);
    std::string reason = this->harness.scheduler.Status(bad)->reason;
    EXPECT_NE(reason.find("3 different workers; last error: exit 1"), std::string::npos) << reason;
  }
  JobNumber large = this->harness.Add(this->harness.Spec("t", 8, Size(4, 100)));
  this->harness.RunFor(seconds(1));
  EXPECT_EQ(this->harness.RunningOf(large).size(), 8U) << "healthy workers were quarantined";
}

TEST_F(FaultTest, UnusedSizeIsReclaimedAfterTheReductionTookEffect)
{
  this->harness.AddWorkers(1, Size(8, 8192));
  JobNumber wasteful = this->harness.Add(this->harness.Spec("t", 1, Size(8, 8192)));
  JobNumber waiting = this->harness.Add(this->harness.Spec("u", 1, Size(4, 1024)));
  this->harness.Decide();
  AttemptId attempt = this->harness.RunningOf(wasteful)[0];
  bool wasReduced = false;
  for (int i = 0; i < 20; ++i) {
    this->harness.RunFor(seconds(2));
    bool isReduced = this->harness.running[attempt].limit.milliCores < 8000;
    if (isReduced && !wasReduced) {
      EXPECT_EQ(this->harness.scheduler.Committed("w0"), Size(8, 8192))
        << "a reduction must not count before it has taken effect";
    }
    wasReduced = isReduced;
    this->harness.scheduler.OnUsage(attempt, { 1000, 512, 0 }, this->harness.now);
  }
  EXPECT_TRUE(wasReduced);
  EXPECT_EQ(this->harness.RunningOf(waiting).size(), 1U);
}

TEST_F(FaultTest, TaskThatOutgrowsItsMemoryIsGivenRoomOrStopped)
{
  this->harness.AddWorkers(2, Size(8, 8192));
  JobNumber full = this->harness.Add(this->harness.Spec("u", 1, Size(1, 6000)));
  JobNumber growing = this->harness.Add(this->harness.Spec("t", 1, Size(1, 1000)));
  this->harness.Add(this->harness.Spec("u", 1, Size(1, 5000)));
  this->harness.Decide();
  AttemptId attempt = this->harness.RunningOf(growing)[0];
  this->harness.scheduler.OnUsage(attempt, { 100, 990, 0 }, this->harness.now);
  this->harness.Decide();
  EXPECT_GT(this->harness.running[attempt].limit.memoryMiB, 1000);
  this->harness.scheduler.OnUsage(attempt, { 100, 4000, 0 }, this->harness.now);
  this->harness.Decide();
  ASSERT_EQ(this->harness.stops.size(), 1U);
  EXPECT_EQ(this->harness.stops[0].reason, StopReason::OutgrewSize);
  this->harness.EndStopping();
  this->harness.End(this->harness.RunningOf(full)[0], AttemptOutcome::Succeeded);
  this->harness.RunFor(seconds(2));
  ASSERT_EQ(this->harness.RunningOf(growing).size(), 1U);
  EXPECT_GE(this->harness.running[this->harness.RunningOf(growing)[0]].limit.memoryMiB, 4000);
}

TEST_F(FaultTest, EstimateReplacesAWrongDeclarationAndShowsItsError)
{
  this->harness.AddWorkers(4, Size(16, 65536));
  for (int i = 0; i < 10; ++i) {
    JobSpec spec = this->harness.Spec("t", 1, Size(10, 20000));
    spec.kind = "render";
    JobNumber job = this->harness.Add(spec);
    this->harness.RunFor(seconds(2));
    AttemptId attempt = this->harness.RunningOf(job)[0];
    this->harness.scheduler.OnUsage(attempt, { 1000, 2000 + 10 * i, 0 }, this->harness.now);
    this->harness.scheduler.OnUsage(attempt, { 900, 1000, 0 }, this->harness.now);
    this->harness.End(attempt, AttemptOutcome::Succeeded);
  }
  JobSpec spec = this->harness.Spec("t", 1, Size(10, 20000));
  spec.kind = "render";
  JobNumber job = this->harness.Add(spec);
  this->harness.Decide();
  Resources limit = this->harness.running[this->harness.RunningOf(job)[0]].limit;
  EXPECT_LT(limit.milliCores, 2000);
  EXPECT_LT(limit.memoryMiB, 4000);
  auto estimates = this->harness.scheduler.SizeEstimates();
  ASSERT_EQ(estimates.size(), 1U);
  EXPECT_EQ(estimates[0].samples, 10U);
  EXPECT_GT(estimates[0].memoryError, 0);
}

TEST_F(FaultTest, JobsThatCanNeverRunAreRefusedWithAReason)
{
  this->harness.AddWorkers(4, Size(4, 4096));
  this->harness.scheduler.SetTeams({ { "t", 1, Size(8, 100000), 3 } }, this->harness.now);
  auto code = [this](const JobSpec& aSpec) {
    auto reason = this->harness.scheduler.CheckJob(aSpec);
    EXPECT_TRUE(!reason || (!reason->message.empty() && !reason->advice.empty()));
    return reason ? reason->code : "";
  };
  JobSpec gang = this->harness.Spec("t", 3, Size(1, 100));
  gang.workClass = WorkClass::Gang;
  EXPECT_EQ(code(gang), "");
  gang.taskCount = 4;
  EXPECT_EQ(code(gang), "ceiling_too_low");
  EXPECT_EQ(code(this->harness.Spec("t", 1, Size(9, 100))), "ceiling_too_low");
  EXPECT_EQ(code(this->harness.Spec("t", 1, Size(5, 100))), "no_worker_fits");
  EXPECT_EQ(code(this->harness.Spec("x", 1, Size(1, 100))), "unknown_team");
  EXPECT_EQ(code(this->harness.Spec("t", 100, Size(1, 100))), "");
}

TEST_F(FaultTest, EveryWaitingJobIsExplained)
{
  this->harness.AddWorkers(2, Size(4, 4096));
  this->harness.scheduler.SetTeams(
    { { "t", 1, Size(100, 100000), 100 }, { "u", 1, Size(1, 100000), 100 } }, this->harness.now);
  JobSpec unmovable = this->harness.Spec("t", 2, Size(3, 100));
  unmovable.isRepeatable = false;
  JobNumber running = this->harness.Add(unmovable);
  JobNumber large = this->harness.Add(this->harness.Spec("t", 1, Size(4, 100)));
  JobNumber capped = this->harness.Add(this->harness.Spec("u", 2, Size(1, 100)));
  JobSpec spec = this->harness.Spec("t", 2, Size(4, 100));
  spec.workClass = WorkClass::Gang;
  JobNumber gang = this->harness.Add(spec);
  this->harness.RunFor(seconds(1));
  auto code = [this](JobNumber aJob) {
    auto reason = this->harness.scheduler.Explain(aJob, this->harness.now);
    return reason ? reason->code : "";
  };
  EXPECT_EQ(code(running), "");
  EXPECT_EQ(code(large), "fleet_full");
  EXPECT_EQ(code(capped), "ceiling_reached");
  EXPECT_EQ(code(gang), "fleet_full");
  for (const AttemptId& attempt : this->harness.RunningOf(running)) {
    this->harness.End(attempt, AttemptOutcome::Succeeded);
  }
  this->harness.RunFor(seconds(8));
  EXPECT_EQ(this->harness.RunningOf(large).size(), 1U);
}

} // namespace
} // namespace daisydrift
