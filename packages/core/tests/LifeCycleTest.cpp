// Guards against tasks that are lost, run twice or finish in a wrong state over starts, ends,
// retries, cancellation and recovery.

#include "Harness.h"
#include "TaskChart.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using test::Harness;
using test::MakeResources;

struct LifeCycleTest : ::testing::Test
{
  LifeCycleTest()
  {
    this->harness.SetTeams({ "t" });
    this->harness.AddWorkers(4, MakeResources(4, 4096));
  }

  Harness harness;
};

TEST_F(LifeCycleTest, ChartMatchesTheCodeAndItsFinalStates)
{
  const auto& chart = core::TaskChart::Instance();
  EXPECT_EQ(chart.Initial(), core::TaskState::Waiting);
  EXPECT_TRUE(chart.IsFinal(core::TaskState::Unknown));
  EXPECT_FALSE(chart.Allows(core::TaskState::Succeeded, core::TaskEvent::Assign));
  EXPECT_FALSE(chart.Allows(core::TaskState::Running, core::TaskEvent::Assign));
}

TEST_F(LifeCycleTest, BatchJobRunsAndSucceeds)
{
  JobNumber job = this->harness.SubmitJob(this->harness.MakeJobSpec("t", 3, MakeResources(1, 100)));
  this->harness.Decide();
  ASSERT_EQ(this->harness.RunningAttemptsOf(job).size(), 3U);
  for (const AttemptId& attempt : this->harness.RunningAttemptsOf(job)) {
    this->harness.EndAttempt(attempt, AttemptOutcome::Succeeded);
  }
  this->harness.Decide();
  ASSERT_EQ(this->harness.finished.size(), 1U);
  EXPECT_EQ(this->harness.finished[0].state, JobState::Succeeded);
  EXPECT_EQ(this->harness.scheduler.Committed("w0"), Resources());
  EXPECT_FALSE(this->harness.scheduler.EraseJob(job));
  EXPECT_FALSE(this->harness.scheduler.Status(job));
}

TEST_F(LifeCycleTest, RepeatedAndUnknownReportsAreIgnored)
{
  JobNumber job = this->harness.SubmitJob(this->harness.MakeJobSpec("t", 1, MakeResources(1, 100)));
  this->harness.Decide();
  AttemptId attempt = this->harness.RunningAttemptsOf(job)[0];
  this->harness.EndAttempt(attempt, AttemptOutcome::Interrupted);
  this->harness.Decide();
  this->harness.EndAttempt(attempt, AttemptOutcome::Succeeded);
  this->harness.scheduler.OnEnded({ { 99, 0 }, 1 }, AttemptOutcome::Failed, "", this->harness.now);
  EXPECT_EQ(this->harness.scheduler.Status(job)->tasksRunning, 1U);
  EXPECT_EQ(this->harness.RunningAttemptsOf(job)[0].attempt, 2U);
}

TEST_F(LifeCycleTest, InterruptedUnrepeatableTaskIsNotRunAgain)
{
  JobSpec spec = this->harness.MakeJobSpec("t", 1, MakeResources(1, 100));
  spec.isRepeatable = false;
  JobNumber job = this->harness.SubmitJob(spec);
  this->harness.Decide();
  this->harness.EndAttempt(this->harness.RunningAttemptsOf(job)[0], AttemptOutcome::Interrupted);
  this->harness.RunFor(std::chrono::seconds(5));
  EXPECT_TRUE(this->harness.RunningAttemptsOf(job).empty());
  ASSERT_EQ(this->harness.finished.size(), 1U);
  EXPECT_EQ(this->harness.finished[0].state, JobState::OutcomeUnknown);
}

TEST_F(LifeCycleTest, RejectedAttemptOfAnUnrepeatableTaskIsRunElsewhere)
{
  JobSpec spec = this->harness.MakeJobSpec("t", 1, MakeResources(1, 100));
  spec.isRepeatable = false;
  JobNumber job = this->harness.SubmitJob(spec);
  this->harness.Decide();
  AttemptId first = this->harness.RunningAttemptsOf(job)[0];
  WorkerId rejecting = this->harness.running[first].worker;
  this->harness.EndAttempt(first, AttemptOutcome::Rejected);
  this->harness.Decide();
  ASSERT_EQ(this->harness.RunningAttemptsOf(job).size(), 1U);
  EXPECT_NE(this->harness.running[this->harness.RunningAttemptsOf(job)[0]].worker, rejecting);
}

TEST_F(LifeCycleTest, CancelledJobStopsAndFinishesOnceItsAttemptsEnded)
{
  JobNumber job =
    this->harness.SubmitJob(this->harness.MakeJobSpec("t", 20, MakeResources(2, 100)));
  this->harness.Decide();
  EXPECT_FALSE(this->harness.scheduler.CancelJob(job, this->harness.now));
  this->harness.Decide();
  EXPECT_EQ(this->harness.stops.size(), 8U);
  EXPECT_TRUE(this->harness.finished.empty());
  this->harness.EndStoppingAttempts();
  this->harness.Decide();
  ASSERT_EQ(this->harness.finished.size(), 1U);
  EXPECT_EQ(this->harness.finished[0].state, JobState::Cancelled);
  EXPECT_EQ(this->harness.scheduler.CancelJob(77, this->harness.now), Errc::NotFound);
}

TEST_F(LifeCycleTest, RestoredAttemptsAreCountedAndNotStartedAgain)
{
  JobNumber job = this->harness.SubmitJob(this->harness.MakeJobSpec("t", 3, MakeResources(1, 100)));
  this->harness.scheduler.RestoreAttempt(
    { { job, 1 }, 2 }, "w3", MakeResources(1, 100), this->harness.now);
  this->harness.scheduler.RestoreTask({ job, 0 }, 1, 0, true);
  this->harness.Decide();
  auto started = this->harness.RunningAttemptsOf(job);
  ASSERT_EQ(started.size(), 1U);
  EXPECT_EQ(started[0].task.index, 2U);
  EXPECT_EQ(this->harness.scheduler.Status(job)->tasksRunning, 2U);
  this->harness.EndAttempt({ { job, 1 }, 2 }, AttemptOutcome::Succeeded);
  this->harness.EndAttempt(started[0], AttemptOutcome::Succeeded);
  this->harness.Decide();
  EXPECT_EQ(this->harness.finished.size(), 1U);
}

TEST_F(LifeCycleTest, RestoredTaskWithUnknownOutcomeIsNotRunAgain)
{
  JobSpec spec = this->harness.MakeJobSpec("t", 1, MakeResources(1, 100));
  spec.isRepeatable = false;
  JobNumber job = this->harness.SubmitJob(spec);
  this->harness.scheduler.RestoreTaskWithUnknownOutcome({ job, 0 }, 1);
  this->harness.Decide();
  EXPECT_TRUE(this->harness.RunningAttemptsOf(job).empty());
  EXPECT_EQ(this->harness.finished.at(0).state, JobState::OutcomeUnknown);
}

TEST_F(LifeCycleTest, PartlyRestoredGangIsStoppedAndThenStartedWhole)
{
  JobSpec spec = this->harness.MakeJobSpec("t", 2, MakeResources(1, 100));
  spec.workClass = WorkClass::Gang;
  JobNumber job = this->harness.SubmitJob(spec);
  this->harness.scheduler.RestoreAttempt(
    { { job, 0 }, 1 }, "w0", MakeResources(1, 100), this->harness.now);
  this->harness.Decide();
  ASSERT_EQ(this->harness.stops.size(), 1U);
  EXPECT_EQ(this->harness.stops[0].reason, StopReason::GangIncomplete);
  this->harness.EndStoppingAttempts();
  this->harness.Decide();
  EXPECT_EQ(this->harness.RunningAttemptsOf(job).size(), 2U);
}

TEST_F(LifeCycleTest, AttemptRestoredAfterItsJobWasCancelledIsCountedAndStopped)
{
  JobNumber job = this->harness.SubmitJob(this->harness.MakeJobSpec("t", 2, MakeResources(1, 100)));
  EXPECT_FALSE(this->harness.scheduler.CancelJob(job, this->harness.now));
  this->harness.scheduler.RestoreAttempt(
    { { job, 1 }, 1 }, "w0", MakeResources(1, 100), this->harness.now);
  EXPECT_EQ(this->harness.scheduler.Committed("w0"), MakeResources(1, 100));
  this->harness.Decide();
  EXPECT_EQ(this->harness.stops.size(), 1U);
  EXPECT_EQ(this->harness.JobStateOf(job), JobState::Cancelled);
}

TEST_F(LifeCycleTest, InvalidJobsAreRefused)
{
  JobSpec spec = this->harness.MakeJobSpec("t", 0, MakeResources(1));
  EXPECT_EQ(this->harness.scheduler.AddJob(spec, this->harness.now), Errc::InvalidArgument);
  spec = this->harness.MakeJobSpec("nobody", 1, MakeResources(1));
  EXPECT_EQ(this->harness.scheduler.AddJob(spec, this->harness.now), Errc::NotFound);
  spec = this->harness.MakeJobSpec("t", 1, MakeResources(1));
  EXPECT_FALSE(this->harness.scheduler.AddJob(spec, this->harness.now));
  EXPECT_EQ(this->harness.scheduler.AddJob(spec, this->harness.now), Errc::Conflict);
}

TEST_F(LifeCycleTest, GoneWorkerEndsItsAttemptsAndTheyRunElsewhere)
{
  JobNumber job = this->harness.SubmitJob(this->harness.MakeJobSpec("t", 1, MakeResources(1, 100)));
  this->harness.Decide();
  AttemptId attempt = this->harness.RunningAttemptsOf(job)[0];
  WorkerDescription worker = this->harness.workers[this->harness.running[attempt].worker];
  worker.health = WorkerHealth::Unresponsive;
  this->harness.scheduler.UpdateWorker(worker, this->harness.now);
  this->harness.Decide();
  EXPECT_EQ(this->harness.RunningAttemptsOf(job).size(), 1U)
    << "an unresponsive worker may still run the task";
  worker.health = WorkerHealth::Gone;
  this->harness.scheduler.UpdateWorker(worker, this->harness.now);
  this->harness.running.clear();
  this->harness.Decide();
  ASSERT_EQ(this->harness.RunningAttemptsOf(job).size(), 1U);
  EXPECT_NE(this->harness.running.begin()->second.worker, worker.id);
}

} // namespace
} // namespace daisydrift
