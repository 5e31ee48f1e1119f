// Guards against urgent work that waits for running tasks to end, preemption that loses more work
// than needed or stops unrepeatable tasks, and freed resources that go to another job.

#include "Harness.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using std::chrono::seconds;
using test::Harness;
using test::MakeResources;

struct PreemptionTest : ::testing::Test
{
  PreemptionTest()
  {
    this->harness.SetTeams({ "t", "u" });
    this->harness.AddWorkers(2, MakeResources(4, 4096));
  }

  JobNumber SubmitJobFillingAWorker(bool aIsRepeatable, bool aCanCheckpoint)
  {
    JobSpec spec = this->harness.MakeJobSpec("t", 1, MakeResources(4, 100));
    spec.isRepeatable = aIsRepeatable;
    spec.canCheckpoint = aCanCheckpoint;
    JobNumber job = this->harness.SubmitJob(spec);
    this->harness.Decide();
    return job;
  }

  JobNumber SubmitUrgentJob(std::uint32_t aTasks = 1)
  {
    JobSpec spec = this->harness.MakeJobSpec("u", aTasks, MakeResources(2, 100));
    spec.isUrgent = true;
    return this->harness.SubmitJob(spec);
  }

  Harness harness;
};

TEST_F(PreemptionTest, UrgentWorkStartsWithinItsTarget)
{
  this->SubmitJobFillingAWorker(true, false);
  this->SubmitJobFillingAWorker(true, false);
  this->harness.RunFor(seconds(100));
  JobNumber urgent = this->SubmitUrgentJob();
  TimePoint added = this->harness.now;
  // Stops may take the whole grace period.
  while (this->harness.RunningAttemptsOf(urgent).empty() &&
         this->harness.now - added < seconds(10)) {
    this->harness.RunFor(std::chrono::milliseconds(100), PolicySettings().stopGrace);
  }
  EXPECT_LE(this->harness.now - added, PolicySettings().urgentTarget);
}

TEST_F(PreemptionTest, UrgentGangStartsWholeWithinItsTarget)
{
  this->SubmitJobFillingAWorker(true, false);
  this->SubmitJobFillingAWorker(true, false);
  this->harness.RunFor(seconds(100));
  JobSpec spec = this->harness.MakeJobSpec("u", 3, MakeResources(2, 100));
  spec.isUrgent = true;
  spec.workClass = WorkClass::Gang;
  JobNumber urgent = this->harness.SubmitJob(spec);
  this->harness.RunFor(PolicySettings().urgentTarget, PolicySettings().stopGrace);
  EXPECT_EQ(this->harness.RunningAttemptsOf(urgent).size(), 3U);
}

TEST_F(PreemptionTest, UrgentWorkAtTheCeilingReplacesOtherWorkOfItsTeam)
{
  this->harness.scheduler.SetTeams({ { "u", 1, MakeResources(4, 4096), 100 } }, this->harness.now);
  JobNumber other =
    this->harness.SubmitJob(this->harness.MakeJobSpec("u", 4, MakeResources(1, 100)));
  this->harness.RunFor(seconds(10));
  JobNumber urgent = this->SubmitUrgentJob();
  this->harness.RunFor(PolicySettings().urgentTarget, PolicySettings().stopGrace);
  EXPECT_EQ(this->harness.RunningAttemptsOf(urgent).size(), 1U);
  EXPECT_EQ(this->harness.RunningAttemptsOf(other).size(), 2U) << "more was stopped than needed";
}

TEST_F(PreemptionTest, AttemptThatLosesTheLeastWorkIsPreempted)
{
  JobNumber older = this->SubmitJobFillingAWorker(true, false);
  this->harness.RunFor(seconds(100));
  JobNumber newer = this->SubmitJobFillingAWorker(true, false);
  this->harness.RunFor(seconds(10));
  this->SubmitUrgentJob();
  this->harness.Decide();
  ASSERT_EQ(this->harness.stops.size(), 1U);
  EXPECT_EQ(this->harness.stops[0].attempt.task.job, newer);
  EXPECT_EQ(this->harness.RunningAttemptsOf(older).size(), 1U);
}

TEST_F(PreemptionTest, OlderWorkThatCanCheckpointIsPreemptedFirst)
{
  JobNumber older = this->SubmitJobFillingAWorker(true, true);
  this->harness.RunFor(seconds(100));
  this->SubmitJobFillingAWorker(true, false);
  this->harness.RunFor(seconds(50));
  this->SubmitUrgentJob();
  this->harness.Decide();
  ASSERT_EQ(this->harness.stops.size(), 1U);
  EXPECT_EQ(this->harness.stops[0].attempt.task.job, older);
  EXPECT_TRUE(this->harness.stops[0].checkpointFirst);
}

TEST_F(PreemptionTest, UnrepeatableWorkIsNeverPreempted)
{
  this->SubmitJobFillingAWorker(false, true);
  this->SubmitJobFillingAWorker(false, false);
  this->SubmitUrgentJob();
  this->harness.RunFor(seconds(100));
  EXPECT_TRUE(this->harness.stops.empty());
}

TEST_F(PreemptionTest, StartsOnFreedResourcesKeepTheLimitPerRound)
{
  this->SubmitJobFillingAWorker(true, false);
  this->SubmitJobFillingAWorker(true, false);
  JobNumber urgent = this->SubmitUrgentJob(4);
  this->harness.Decide();
  this->harness.EndStoppingAttempts();
  this->harness.Decide(std::chrono::milliseconds(25), 1);
  EXPECT_EQ(this->harness.RunningAttemptsOf(urgent).size(), 1U);
  this->harness.RunFor(seconds(1));
  EXPECT_EQ(this->harness.RunningAttemptsOf(urgent).size(), 4U);
}

TEST_F(PreemptionTest, FreedResourcesAreKeptForTheUrgentTask)
{
  this->SubmitJobFillingAWorker(true, false);
  this->SubmitJobFillingAWorker(true, false);
  JobNumber urgent = this->SubmitUrgentJob();
  this->harness.Decide();
  this->harness.SubmitJob(this->harness.MakeJobSpec("t", 10, MakeResources(4, 100)));
  this->harness.EndStoppingAttempts();
  this->harness.Decide();
  EXPECT_EQ(this->harness.RunningAttemptsOf(urgent).size(), 1U);
}

} // namespace
} // namespace daisydrift
