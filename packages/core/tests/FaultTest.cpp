// Guards against a faulty worker that consumes all tasks by failing them, endless retries of a job
// that always fails, a worker quarantined for a faulty job or a job failed by a faulty worker,
// limits above a worker's capacity while sizes are corrected, and refusals or waits without a
// reason.

#include "Harness.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using std::chrono::seconds;
using test::Harness;
using test::MakeResources;

struct FaultTest : ::testing::Test
{
  FaultTest() { this->harness.SetTeams({ "t", "u" }); }

  /// Ends all running attempts: as failed on aFaultyWorker or of aFailingJob, else as succeeded.
  void EndAllAttempts(const WorkerId& aFaultyWorker, JobNumber aFailingJob)
  {
    auto copy = this->harness.running;
    for (const auto& [attempt, entry] : copy) {
      bool fails = entry.worker == aFaultyWorker || attempt.task.job == aFailingJob;
      this->failures[entry.worker] += fails ? 1 : 0;
      this->harness.EndAttempt(
        attempt, fails ? AttemptOutcome::Failed : AttemptOutcome::Succeeded, "exit 1");
    }
  }

  Harness harness;
  std::map<WorkerId, int> failures;
};

TEST_F(FaultTest, WorkerThatFailsEverythingIsQuarantinedAndFailsNoJob)
{
  this->harness.AddWorkers(8, MakeResources(4, 4096));
  for (int i = 0; i < 200; ++i) {
    this->harness.SubmitJob(this->harness.MakeJobSpec("t", 1, MakeResources(1, 100)));
  }
  for (int i = 0; i < 300; ++i) {
    this->harness.RunFor(std::chrono::milliseconds(200));
    this->EndAllAttempts("w3", 0);
  }
  this->harness.Decide();
  EXPECT_EQ(this->harness.finished.size(), 200U);
  for (const JobFinishedDecision& done : this->harness.finished) {
    EXPECT_EQ(done.state, JobState::Succeeded) << done.reason;
  }
  // Some tasks fail before the quarantine, then single probes at doubling intervals.
  EXPECT_LE(this->failures["w3"], 12);
}

TEST_F(FaultTest, RecoveredWorkerReturnsToService)
{
  this->harness.AddWorkers(8, MakeResources(4, 4096));
  for (int i = 0; i < 20; ++i) {
    this->harness.SubmitJob(this->harness.MakeJobSpec("t", 1, MakeResources(1, 100)));
    this->harness.RunFor(std::chrono::milliseconds(200));
    this->EndAllAttempts("w0", 0);
  }
  for (int i = 0; i < 200; ++i) {
    this->harness.SubmitJob(this->harness.MakeJobSpec("t", 1, MakeResources(1, 100)));
    this->harness.RunFor(std::chrono::milliseconds(500));
    this->EndAllAttempts("", 0);
  }
  JobNumber large =
    this->harness.SubmitJob(this->harness.MakeJobSpec("t", 8, MakeResources(4, 100)));
  this->harness.RunFor(seconds(1));
  EXPECT_EQ(this->harness.RunningAttemptsOf(large).size(), 8U);
}

TEST_F(FaultTest, JobThatFailsOnThreeWorkersFailsWithAReasonAndNoWorkerIsBlamed)
{
  this->harness.AddWorkers(8, MakeResources(4, 4096));
  for (int round = 0; round < 6; ++round) {
    JobNumber failing =
      this->harness.SubmitJob(this->harness.MakeJobSpec("t", 1, MakeResources(1, 100)));
    for (int i = 0; i < 5; ++i) {
      this->harness.RunFor(std::chrono::milliseconds(200));
      this->EndAllAttempts("", failing);
    }
    EXPECT_EQ(this->harness.JobStateOf(failing), JobState::Failed);
    std::string reason = this->harness.scheduler.Status(failing)->reason;
    EXPECT_NE(reason.find("3 different workers; last error: exit 1"), std::string::npos) << reason;
  }
  JobNumber large =
    this->harness.SubmitJob(this->harness.MakeJobSpec("t", 8, MakeResources(4, 100)));
  this->harness.RunFor(seconds(1));
  EXPECT_EQ(this->harness.RunningAttemptsOf(large).size(), 8U)
    << "healthy workers were quarantined";
}

TEST_F(FaultTest, UnusedResourcesAreReclaimedOnlyAfterTheReductionTookEffect)
{
  this->harness.AddWorkers(1, MakeResources(8, 8192));
  JobNumber oversized =
    this->harness.SubmitJob(this->harness.MakeJobSpec("t", 1, MakeResources(8, 8192)));
  JobNumber waiting =
    this->harness.SubmitJob(this->harness.MakeJobSpec("u", 1, MakeResources(4, 1024)));
  this->harness.Decide();
  AttemptId attempt = this->harness.RunningAttemptsOf(oversized)[0];
  bool wasReduced = false;
  for (int i = 0; i < 20; ++i) {
    this->harness.RunFor(seconds(2));
    bool isReduced = this->harness.running[attempt].limit.milliCores < 8000;
    if (isReduced && !wasReduced) {
      EXPECT_EQ(this->harness.scheduler.Committed("w0"), MakeResources(8, 8192))
        << "a reduction must not count before it has taken effect";
    }
    wasReduced = isReduced;
    this->harness.scheduler.OnUsage(attempt, { 1000, 512, 0 }, this->harness.now);
  }
  EXPECT_TRUE(wasReduced);
  EXPECT_EQ(this->harness.RunningAttemptsOf(waiting).size(), 1U);
}

TEST_F(FaultTest, TaskThatOutgrowsItsMemoryGetsMoreOrIsStopped)
{
  this->harness.AddWorkers(2, MakeResources(8, 8192));
  JobNumber full =
    this->harness.SubmitJob(this->harness.MakeJobSpec("u", 1, MakeResources(1, 6000)));
  JobNumber growing =
    this->harness.SubmitJob(this->harness.MakeJobSpec("t", 1, MakeResources(1, 1000)));
  this->harness.SubmitJob(this->harness.MakeJobSpec("u", 1, MakeResources(1, 5000)));
  this->harness.Decide();
  AttemptId attempt = this->harness.RunningAttemptsOf(growing)[0];
  this->harness.scheduler.OnUsage(attempt, { 100, 990, 0 }, this->harness.now);
  this->harness.Decide();
  EXPECT_GT(this->harness.running[attempt].limit.memoryMiB, 1000);
  this->harness.scheduler.OnUsage(attempt, { 100, 4000, 0 }, this->harness.now);
  this->harness.Decide();
  ASSERT_EQ(this->harness.stops.size(), 1U);
  EXPECT_EQ(this->harness.stops[0].reason, StopReason::OutgrewSize);
  this->harness.EndStoppingAttempts();
  this->harness.EndAttempt(this->harness.RunningAttemptsOf(full)[0], AttemptOutcome::Succeeded);
  this->harness.RunFor(seconds(2));
  ASSERT_EQ(this->harness.RunningAttemptsOf(growing).size(), 1U);
  EXPECT_GE(this->harness.running[this->harness.RunningAttemptsOf(growing)[0]].limit.memoryMiB,
            4000);
}

TEST_F(FaultTest, EstimateReplacesAWrongDeclarationAndReportsItsError)
{
  this->harness.AddWorkers(4, MakeResources(16, 65536));
  for (int i = 0; i < 10; ++i) {
    JobSpec spec = this->harness.MakeJobSpec("t", 1, MakeResources(10, 20000));
    spec.kind = "render";
    JobNumber job = this->harness.SubmitJob(spec);
    this->harness.RunFor(seconds(2));
    AttemptId attempt = this->harness.RunningAttemptsOf(job)[0];
    this->harness.scheduler.OnUsage(attempt, { 1000, 2000 + 10 * i, 0 }, this->harness.now);
    this->harness.scheduler.OnUsage(attempt, { 900, 1000, 0 }, this->harness.now);
    this->harness.EndAttempt(attempt, AttemptOutcome::Succeeded);
  }
  JobSpec spec = this->harness.MakeJobSpec("t", 1, MakeResources(10, 20000));
  spec.kind = "render";
  JobNumber job = this->harness.SubmitJob(spec);
  this->harness.Decide();
  Resources limit = this->harness.running[this->harness.RunningAttemptsOf(job)[0]].limit;
  EXPECT_LT(limit.milliCores, 2000);
  EXPECT_LT(limit.memoryMiB, 4000);
  auto estimates = this->harness.scheduler.SizeEstimates();
  ASSERT_EQ(estimates.size(), 1U);
  EXPECT_EQ(estimates[0].samples, 10U);
  EXPECT_GT(estimates[0].memoryError, 0);
}

TEST_F(FaultTest, JobsThatCanNeverRunAreRefusedWithAReason)
{
  this->harness.AddWorkers(4, MakeResources(4, 4096));
  this->harness.scheduler.SetTeams({ { "t", 1, MakeResources(8, 100000), 3 } }, this->harness.now);
  auto code = [this](const JobSpec& aSpec) {
    auto reason = this->harness.scheduler.CheckJob(aSpec);
    EXPECT_TRUE(!reason || (!reason->message.empty() && !reason->advice.empty()));
    return reason ? reason->code : "";
  };
  JobSpec gang = this->harness.MakeJobSpec("t", 3, MakeResources(1, 100));
  gang.workClass = WorkClass::Gang;
  EXPECT_EQ(code(gang), "");
  gang.taskCount = 4;
  EXPECT_EQ(code(gang), "ceiling_too_low");
  EXPECT_EQ(code(this->harness.MakeJobSpec("t", 1, MakeResources(9, 100))), "ceiling_too_low");
  EXPECT_EQ(code(this->harness.MakeJobSpec("t", 1, MakeResources(5, 100))), "no_worker_fits");
  EXPECT_EQ(code(this->harness.MakeJobSpec("x", 1, MakeResources(1, 100))), "unknown_team");
  EXPECT_EQ(code(this->harness.MakeJobSpec("t", 100, MakeResources(1, 100))), "");
}

TEST_F(FaultTest, NoJobIsRuledOutByWorkersThatHaveNotReportedTheirCapacity)
{
  this->harness.AddWorkers(1, MakeResources(4, 4096));
  WorkerDescription unknown{ "x", "a", "r", {}, WorkerHealth::Unresponsive };
  this->harness.scheduler.UpdateWorker(unknown, this->harness.now);
  JobSpec large = this->harness.MakeJobSpec("t", 1, MakeResources(8, 100));
  JobSpec gang = this->harness.MakeJobSpec("t", 8, MakeResources(1, 100));
  gang.workClass = WorkClass::Gang;
  EXPECT_FALSE(this->harness.scheduler.CheckJob(large));
  EXPECT_FALSE(this->harness.scheduler.CheckJob(gang));
  unknown.capacity = MakeResources(2, 4096);
  unknown.health = WorkerHealth::Live;
  this->harness.scheduler.UpdateWorker(unknown, this->harness.now);
  EXPECT_EQ(this->harness.scheduler.CheckJob(large)->code, "no_worker_fits");
  EXPECT_EQ(this->harness.scheduler.CheckJob(gang)->code, "fleet_too_small");
}

TEST_F(FaultTest, EveryWaitingJobIsExplained)
{
  this->harness.AddWorkers(2, MakeResources(4, 4096));
  this->harness.scheduler.SetTeams(
    { { "t", 1, MakeResources(100, 100000), 100 }, { "u", 1, MakeResources(1, 100000), 100 } },
    this->harness.now);
  JobSpec unmovable = this->harness.MakeJobSpec("t", 2, MakeResources(3, 100));
  unmovable.isRepeatable = false;
  JobNumber running = this->harness.SubmitJob(unmovable);
  JobNumber large =
    this->harness.SubmitJob(this->harness.MakeJobSpec("t", 1, MakeResources(4, 100)));
  JobNumber capped =
    this->harness.SubmitJob(this->harness.MakeJobSpec("u", 2, MakeResources(1, 100)));
  JobSpec spec = this->harness.MakeJobSpec("t", 2, MakeResources(4, 100));
  spec.workClass = WorkClass::Gang;
  JobNumber gang = this->harness.SubmitJob(spec);
  this->harness.RunFor(seconds(1));
  auto code = [this](JobNumber aJob) {
    auto reason = this->harness.scheduler.Explain(aJob, this->harness.now);
    return reason ? reason->code : "";
  };
  EXPECT_EQ(code(running), "");
  EXPECT_EQ(code(large), "fleet_full");
  EXPECT_EQ(code(capped), "ceiling_reached");
  EXPECT_EQ(code(gang), "fleet_full");
  for (const AttemptId& attempt : this->harness.RunningAttemptsOf(running)) {
    this->harness.EndAttempt(attempt, AttemptOutcome::Succeeded);
  }
  this->harness.RunFor(seconds(8));
  EXPECT_EQ(this->harness.RunningAttemptsOf(large).size(), 1U);
}

} // namespace
} // namespace daisydrift
