// How long an outage is expected to last, and which requests wait for its end.

#include "daisydrift/dispatch.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };
/// A caller waits for 3 s; 150 ms of it are kept for the response.
constexpr milliseconds kCallersTime{ 2850 };

class OutageEstimatorTest : public ::testing::Test
{
protected:
  OutageEstimatorTest() { this->outage.SetAvailable(true, kStart); }

  /// An earlier outage, noticed after 500 ms.
  void PassOutage(Duration aDuration)
  {
    this->now += seconds(20);
    this->outage.SetAvailable(true, this->now);
    this->outage.SetAvailable(false, this->now + milliseconds(500));
    this->now += aDuration;
    this->outage.SetAvailable(true, this->now);
  }
  void BeginOutage(Duration aAge)
  {
    this->outage.SetAvailable(true, this->now);
    this->now += aAge;
    this->outage.SetAvailable(false, this->now);
  }
  bool IsHeld(Duration aTimeLeft = kCallersTime, std::size_t aAhead = 0) const
  {
    return HoldPolicy::IsWorthWaiting(this->outage, aTimeLeft, aAhead, 44, this->now);
  }

  OutageEstimator outage;
  TimePoint now = kStart;
};

TEST_F(OutageEstimatorTest, WithoutAnOutageItHasEnded)
{
  EXPECT_EQ(this->outage.ChanceOfEndWithin(Duration(0), this->now), 1);
  EXPECT_EQ(this->outage.Age(this->now), Duration(0));
}

// Guards against requests that are held until their deadlines in an outage that goes on.
TEST_F(OutageEstimatorTest, AFirstOutageIsWaitedForOnlyWhileItIsYoung)
{
  this->BeginOutage(milliseconds(600));
  EXPECT_TRUE(this->IsHeld());
  EXPECT_FALSE(this->IsHeld(milliseconds(1000)));
  Duration heldFor(0);
  while (this->IsHeld(kCallersTime - heldFor)) {
    heldFor += milliseconds(10);
    this->now += milliseconds(10);
  }
  EXPECT_LE(heldFor, kCallersTime / 3) << "refused early, with time left to try elsewhere";
  this->now += seconds(2);
  EXPECT_FALSE(this->IsHeld(kCallersTime));
}

// Outages of 4.2 s, as on `trouble-3`: the callers of the last seconds are served, those before are
// refused at once.
TEST_F(OutageEstimatorTest, EarlierOutagesTellWhenThisOneEnds)
{
  for (int number = 0; number < 3; ++number) {
    this->PassOutage(milliseconds(4200));
  }
  this->BeginOutage(milliseconds(600));
  EXPECT_FALSE(this->IsHeld());
  this->now += milliseconds(1400);
  EXPECT_TRUE(this->IsHeld());
  this->now += milliseconds(2000);
  EXPECT_TRUE(this->IsHeld(milliseconds(1000)));
  // It has lasted longer than any earlier one.
  this->now += milliseconds(600);
  EXPECT_FALSE(this->IsHeld());
}

TEST_F(OutageEstimatorTest, AProcessThatHasSeenNoSuccessCountsFromTheFirstFailure)
{
  OutageEstimator fresh;
  fresh.SetAvailable(false, kStart);
  EXPECT_EQ(fresh.Age(kStart + seconds(1)), seconds(1));
}

TEST_F(OutageEstimatorTest, ARequestBehindManyOthersDoesNotWait)
{
  // After the outage, 44 instances store one request each in 110 ms.
  EXPECT_EQ(HoldPolicy::ReleaseInterval(44), milliseconds(110));
  EXPECT_TRUE(this->IsHeld(kCallersTime, 20));
  EXPECT_FALSE(this->IsHeld(kCallersTime, 24));
}

TEST_F(OutageEstimatorTest, NumberAndBytesOfHeldRequestsAreBounded)
{
  EXPECT_TRUE(HoldPolicy::HasRoom({ 63, 1000 }, 1000));
  EXPECT_FALSE(HoldPolicy::HasRoom({ 64, 1000 }, 1000));
  EXPECT_TRUE(HoldPolicy::HasRoom({ 1, 1048576 - 1000 }, 1000));
  EXPECT_FALSE(HoldPolicy::HasRoom({ 1, 1048576 - 1000 }, 1001));
  EXPECT_FALSE(HoldPolicy::HasRoom({ 1, 1048577 }, 1));
}

} // namespace
} // namespace daisydrift
