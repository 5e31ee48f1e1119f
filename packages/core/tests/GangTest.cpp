// Guards against: gangs that start in part, two gangs that each hold a part, backfill that delays a
// reserved gang, and gangs that never start because smaller work takes all freed room.

#include "Harness.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using std::chrono::seconds;
using test::Harness;
using test::Size;

struct GangTest : ::testing::Test
{
  GangTest()
  {
    this->harness.SetTeams({ "t", "u" });
    this->harness.AddWorkers(4, Size(4, 4096));
  }

  JobNumber AddGang(std::uint32_t aTasks, const Resources& aSize)
  {
    JobSpec spec = this->harness.Spec("t", aTasks, aSize);
    spec.workClass = WorkClass::Gang;
    return this->harness.Add(spec);
  }

  JobNumber AddBatch(std::uint32_t aTasks, const Resources& aSize, seconds aRunTime)
  {
    JobSpec spec = this->harness.Spec("u", aTasks, aSize);
    spec.declaredRunTime = aRunTime;
    return this->harness.Add(spec);
  }

  Harness harness;
};

TEST_F(GangTest, StartsWholeOrNotAtAll)
{
  this->AddBatch(1, Size(4, 100), seconds(100));
  this->harness.Decide();
  JobNumber tooLarge = this->AddGang(4, Size(4, 100));
  JobNumber fits = this->AddGang(3, Size(4, 100));
  this->harness.Decide();
  EXPECT_TRUE(this->harness.RunningOf(tooLarge).empty());
  EXPECT_EQ(this->harness.RunningOf(fits).size(), 3U);
}

TEST_F(GangTest, TwoGangsDoNotEachHoldAPart)
{
  JobNumber long1 = this->AddBatch(4, Size(4, 100), seconds(10));
  this->harness.Decide();
  JobNumber first = this->AddGang(3, Size(4, 100));
  JobNumber second = this->AddGang(3, Size(4, 100));
  this->harness.RunFor(seconds(5));
  // Room is freed one worker at a time: all of it goes to the older gang.
  for (const AttemptId& attempt : this->harness.RunningOf(long1)) {
    this->harness.End(attempt, AttemptOutcome::Succeeded);
    this->harness.RunFor(seconds(3));
  }
  EXPECT_EQ(this->harness.RunningOf(first).size(), 3U);
  EXPECT_TRUE(this->harness.RunningOf(second).empty());
  for (const AttemptId& attempt : this->harness.RunningOf(first)) {
    this->harness.End(attempt, AttemptOutcome::Succeeded);
  }
  this->harness.RunFor(seconds(3));
  EXPECT_EQ(this->harness.RunningOf(second).size(), 3U);
}

TEST_F(GangTest, BackfillUsesReservedRoomOnlyIfItEndsBefore)
{
  JobNumber blocking = this->AddBatch(2, Size(4, 100), seconds(100));
  this->harness.Decide();
  JobNumber gang = this->AddGang(4, Size(4, 100));
  this->harness.RunFor(seconds(5));
  JobNumber shortWork = this->AddBatch(1, Size(1, 100), seconds(10));
  JobNumber longWork = this->AddBatch(1, Size(1, 100), seconds(500));
  this->harness.RunFor(seconds(5));
  EXPECT_EQ(this->harness.RunningOf(shortWork).size(), 1U);
  EXPECT_TRUE(this->harness.RunningOf(longWork).empty());
  // The short task runs over its time; it is stopped when only it is in the gang's way.
  for (const AttemptId& attempt : this->harness.RunningOf(blocking)) {
    this->harness.End(attempt, AttemptOutcome::Succeeded);
  }
  this->harness.RunFor(seconds(2));
  EXPECT_EQ(this->harness.RunningOf(gang).size(), 4U);
}

TEST_F(GangTest, StreamOfSmallTasksDoesNotStarveAGang)
{
  JobNumber gang = this->AddGang(4, Size(4, 100));
  JobNumber stream = this->AddBatch(1000, Size(1, 100), seconds(3));
  std::map<AttemptId, TimePoint> seen;
  for (int i = 0; i < 300 && this->harness.RunningOf(gang).empty(); ++i) {
    this->harness.RunFor(std::chrono::milliseconds(200));
    for (const AttemptId& attempt : this->harness.RunningOf(stream)) {
      auto [it, isNew] = seen.try_emplace(attempt, this->harness.now);
      if (this->harness.now - it->second >= seconds(3)) {
        this->harness.End(attempt, AttemptOutcome::Succeeded);
      }
    }
  }
  EXPECT_EQ(this->harness.RunningOf(gang).size(), 4U);
}

TEST_F(GangTest, RefusedTaskStopsTheRestAndTheGangStartsAgain)
{
  JobNumber gang = this->AddGang(3, Size(2, 100));
  this->harness.Decide();
  this->harness.End(this->harness.RunningOf(gang)[1], AttemptOutcome::Rejected);
  this->harness.Decide();
  ASSERT_EQ(this->harness.stops.size(), 2U);
  EXPECT_EQ(this->harness.stops[0].reason, StopReason::GangIncomplete);
  this->harness.EndStopping();
  this->harness.RunFor(seconds(2));
  EXPECT_EQ(this->harness.RunningOf(gang).size(), 3U);
}

} // namespace
} // namespace daisydrift
