// Guards against: urgent work that waits for others to end, preemption that loses more work than
// needed or stops what may not run twice, and reclaimed room given to somebody else.

#include "Harness.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using std::chrono::seconds;
using test::Harness;
using test::Size;

struct PreemptionTest : ::testing::Test
{
  PreemptionTest()
  {
    this->harness.SetTeams({ "t", "u" });
    this->harness.AddWorkers(2, Size(4, 4096));
  }

  JobNumber AddFull(bool aIsRepeatable, bool aCanCheckpoint)
  {
    JobSpec spec = this->harness.Spec("t", 1, Size(4, 100));
    spec.isRepeatable = aIsRepeatable;
    spec.canCheckpoint = aCanCheckpoint;
    JobNumber job = this->harness.Add(spec);
    this->harness.Decide();
    return job;
  }

  JobNumber AddUrgent(std::uint32_t aTasks = 1)
  {
    JobSpec spec = this->harness.Spec("u", aTasks, Size(2, 100));
    spec.isUrgent = true;
    return this->harness.Add(spec);
  }

  Harness harness;
};

TEST_F(PreemptionTest, UrgentWorkStartsWithinItsTarget)
{
  this->AddFull(true, false);
  this->AddFull(true, false);
  this->harness.RunFor(seconds(100));
  JobNumber urgent = this->AddUrgent();
  TimePoint added = this->harness.now;
  // Stops may take the whole grace time.
  while (this->harness.RunningOf(urgent).empty() && this->harness.now - added < seconds(10)) {
    this->harness.RunFor(std::chrono::milliseconds(100), PolicySettings().stopGrace);
  }
  EXPECT_LE(this->harness.now - added, PolicySettings().urgentTarget);
}

TEST_F(PreemptionTest, UrgentGangStartsWholeWithinItsTarget)
{
  this->AddFull(true, false);
  this->AddFull(true, false);
  this->harness.RunFor(seconds(100));
  JobSpec spec = this->harness.Spec("u", 3, Size(2, 100));
  spec.isUrgent = true;
  spec.workClass = WorkClass::Gang;
  JobNumber urgent = this->harness.Add(spec);
  this->harness.RunFor(PolicySettings().urgentTarget, PolicySettings().stopGrace);
  EXPECT_EQ(this->harness.RunningOf(urgent).size(), 3U);
}

TEST_F(PreemptionTest, UrgentWorkUnderAFullCeilingReplacesOtherWorkOfItsTeam)
{
  this->harness.scheduler.SetTeams({ { "u", 1, Size(4, 4096), 100 } }, this->harness.now);
  JobNumber other = this->harness.Add(this->harness.Spec("u", 4, Size(1, 100)));
  this->harness.RunFor(seconds(10));
  JobNumber urgent = this->AddUrgent();
  this->harness.RunFor(PolicySettings().urgentTarget, PolicySettings().stopGrace);
  EXPECT_EQ(this->harness.RunningOf(urgent).size(), 1U);
  EXPECT_EQ(this->harness.RunningOf(other).size(), 2U) << "more was stopped than needed";
}

TEST_F(PreemptionTest, LeastWorkIsLost)
{
  JobNumber old = this->AddFull(true, false);
  this->harness.RunFor(seconds(100));
  JobNumber young = this->AddFull(true, false);
  this->harness.RunFor(seconds(10));
  this->AddUrgent();
  this->harness.Decide();
  ASSERT_EQ(this->harness.stops.size(), 1U);
  EXPECT_EQ(this->harness.stops[0].attempt.task.job, young);
  EXPECT_EQ(this->harness.RunningOf(old).size(), 1U);
}

TEST_F(PreemptionTest, CheckpointMakesOldWorkTheBetterVictim)
{
  JobNumber old = this->AddFull(true, true);
  this->harness.RunFor(seconds(100));
  this->AddFull(true, false);
  this->harness.RunFor(seconds(50));
  this->AddUrgent();
  this->harness.Decide();
  ASSERT_EQ(this->harness.stops.size(), 1U);
  EXPECT_EQ(this->harness.stops[0].attempt.task.job, old);
  EXPECT_TRUE(this->harness.stops[0].checkpointFirst);
}

TEST_F(PreemptionTest, WorkThatMayNotRunTwiceIsNeverStoppedForOthers)
{
  this->AddFull(false, true);
  this->AddFull(false, false);
  this->AddUrgent();
  this->harness.RunFor(seconds(100));
  EXPECT_TRUE(this->harness.stops.empty());
}

TEST_F(PreemptionTest, StartsInFreedRoomKeepTheLimitOfTheRound)
{
  this->AddFull(true, false);
  this->AddFull(true, false);
  JobNumber urgent = this->AddUrgent(4);
  this->harness.Decide();
  this->harness.EndStopping();
  this->harness.Decide(std::chrono::milliseconds(25), 1);
  EXPECT_EQ(this->harness.RunningOf(urgent).size(), 1U);
  this->harness.RunFor(seconds(1));
  EXPECT_EQ(this->harness.RunningOf(urgent).size(), 4U);
}

TEST_F(PreemptionTest, FreedRoomIsKeptForTheUrgentTask)
{
  this->AddFull(true, false);
  this->AddFull(true, false);
  JobNumber urgent = this->AddUrgent();
  this->harness.Decide();
  this->harness.Add(this->harness.Spec("t", 10, Size(4, 100)));
  this->harness.EndStopping();
  this->harness.Decide();
  EXPECT_EQ(this->harness.RunningOf(urgent).size(), 1U);
}

} // namespace
} // namespace daisydrift
