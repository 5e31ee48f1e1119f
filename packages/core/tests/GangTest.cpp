// Guards against gangs that start only in part, two gangs that deadlock because each holds a part
// of its resources, backfill that delays a gang with a reservation, and gangs that starve because
// smaller tasks take all freed resources.

#include "Harness.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using std::chrono::seconds;
using test::Harness;
using test::MakeResources;

struct GangTest : ::testing::Test
{
  GangTest()
  {
    this->harness.SetTeams({ "t", "u" });
    this->harness.AddWorkers(4, MakeResources(4, 4096));
  }

  JobNumber SubmitGang(std::uint32_t aTasks, const Resources& aSize)
  {
    JobSpec spec = this->harness.MakeJobSpec("t", aTasks, aSize);
    spec.workClass = WorkClass::Gang;
    return this->harness.SubmitJob(spec);
  }

  JobNumber SubmitBatch(std::uint32_t aTasks, const Resources& aSize, seconds aRunTime)
  {
    JobSpec spec = this->harness.MakeJobSpec("u", aTasks, aSize);
    spec.declaredRunTime = aRunTime;
    return this->harness.SubmitJob(spec);
  }

  Harness harness;
};

TEST_F(GangTest, StartsWholeOrNotAtAll)
{
  this->SubmitBatch(1, MakeResources(4, 100), seconds(100));
  this->harness.Decide();
  JobNumber tooLarge = this->SubmitGang(4, MakeResources(4, 100));
  JobNumber fits = this->SubmitGang(3, MakeResources(4, 100));
  this->harness.Decide();
  EXPECT_TRUE(this->harness.RunningAttemptsOf(tooLarge).empty());
  EXPECT_EQ(this->harness.RunningAttemptsOf(fits).size(), 3U);
}

TEST_F(GangTest, TwoGangsDoNotEachHoldAPartOfTheirResources)
{
  JobNumber runningJob = this->SubmitBatch(4, MakeResources(4, 100), seconds(10));
  this->harness.Decide();
  JobNumber first = this->SubmitGang(3, MakeResources(4, 100));
  JobNumber second = this->SubmitGang(3, MakeResources(4, 100));
  this->harness.RunFor(seconds(5));
  // Workers become free one at a time; all of them must go to the older gang.
  for (const AttemptId& attempt : this->harness.RunningAttemptsOf(runningJob)) {
    this->harness.EndAttempt(attempt, AttemptOutcome::Succeeded);
    this->harness.RunFor(seconds(3));
  }
  EXPECT_EQ(this->harness.RunningAttemptsOf(first).size(), 3U);
  EXPECT_TRUE(this->harness.RunningAttemptsOf(second).empty());
  for (const AttemptId& attempt : this->harness.RunningAttemptsOf(first)) {
    this->harness.EndAttempt(attempt, AttemptOutcome::Succeeded);
  }
  this->harness.RunFor(seconds(3));
  EXPECT_EQ(this->harness.RunningAttemptsOf(second).size(), 3U);
}

TEST_F(GangTest, BackfillUsesReservedResourcesOnlyIfItEndsBefore)
{
  JobNumber blocking = this->SubmitBatch(2, MakeResources(4, 100), seconds(100));
  this->harness.Decide();
  JobNumber gang = this->SubmitGang(4, MakeResources(4, 100));
  this->harness.RunFor(seconds(5));
  JobNumber shortWork = this->SubmitBatch(1, MakeResources(1, 100), seconds(10));
  JobNumber longWork = this->SubmitBatch(1, MakeResources(1, 100), seconds(500));
  this->harness.RunFor(seconds(5));
  EXPECT_EQ(this->harness.RunningAttemptsOf(shortWork).size(), 1U);
  EXPECT_TRUE(this->harness.RunningAttemptsOf(longWork).empty());
  // The short task exceeds its declared run time; it must be stopped when it alone blocks the gang.
  for (const AttemptId& attempt : this->harness.RunningAttemptsOf(blocking)) {
    this->harness.EndAttempt(attempt, AttemptOutcome::Succeeded);
  }
  this->harness.RunFor(seconds(2));
  EXPECT_EQ(this->harness.RunningAttemptsOf(gang).size(), 4U);
}

TEST_F(GangTest, StreamOfSmallTasksDoesNotStarveAGang)
{
  JobNumber gang = this->SubmitGang(4, MakeResources(4, 100));
  JobNumber stream = this->SubmitBatch(1000, MakeResources(1, 100), seconds(3));
  std::map<AttemptId, TimePoint> firstSeen;
  for (int i = 0; i < 300 && this->harness.RunningAttemptsOf(gang).empty(); ++i) {
    this->harness.RunFor(std::chrono::milliseconds(200));
    for (const AttemptId& attempt : this->harness.RunningAttemptsOf(stream)) {
      auto [it, isNew] = firstSeen.try_emplace(attempt, this->harness.now);
      if (this->harness.now - it->second >= seconds(3)) {
        this->harness.EndAttempt(attempt, AttemptOutcome::Succeeded);
      }
    }
  }
  EXPECT_EQ(this->harness.RunningAttemptsOf(gang).size(), 4U);
}

TEST_F(GangTest, RejectedTaskStopsTheRestAndTheGangStartsAgain)
{
  JobNumber gang = this->SubmitGang(3, MakeResources(2, 100));
  this->harness.Decide();
  this->harness.EndAttempt(this->harness.RunningAttemptsOf(gang)[1], AttemptOutcome::Rejected);
  this->harness.Decide();
  ASSERT_EQ(this->harness.stops.size(), 2U);
  EXPECT_EQ(this->harness.stops[0].reason, StopReason::GangIncomplete);
  this->harness.EndStoppingAttempts();
  this->harness.RunFor(seconds(2));
  EXPECT_EQ(this->harness.RunningAttemptsOf(gang).size(), 3U);
}

} // namespace
} // namespace daisydrift
