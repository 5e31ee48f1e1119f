// Waves of callers that return after an outage.

#include "daisydrift/dispatch.h"

#include <gtest/gtest.h>

#include <map>
#include <numeric>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kOutageBegin{ std::chrono::hours(1) };
/// Seconds after an outage that are checked, each against the mean of those that follow it. The
/// longest delay is 10 s.
constexpr std::size_t kSeconds = 12;
constexpr std::size_t kFollowing = 5;

class ReturnScheduleTest : public ::testing::Test
{
protected:
  /// 1,000 callers come evenly over the outage and the same rate of callers goes on afterwards.
  /// Each returns until it is served or no longer waits. Returns the number that come in each
  /// second after the outage.
  std::vector<int> ReturnsAfter(Duration aOutage, Duration aPatience, bool aIsSpread)
  {
    constexpr int kCallers = 1000;
    Duration interval = aOutage / kCallers;
    TimePoint end = kOutageBegin + aOutage;
    this->schedule.SetServing(false, kOutageBegin);
    std::vector<int> arrivals(kSeconds + kFollowing);
    for (int number = 0; kOutageBegin + interval * number < end + seconds(20); ++number) {
      JobId job = "job" + std::to_string(number);
      TimePoint first = kOutageBegin + interval * number;
      TimePoint time = first;
      while (time < end && time <= first + aPatience) {
        time += aIsSpread ? this->schedule.DelayFor(job, aPatience, time) : seconds(2);
      }
      if (time >= end && time <= first + aPatience && time < end + seconds(kSeconds + kFollowing)) {
        ++arrivals[static_cast<std::size_t>((time - end) / seconds(1))];
      }
    }
    return arrivals;
  }

  static bool IsWave(const std::vector<int>& aArrivals, std::size_t aSecond)
  {
    auto next = aArrivals.begin() + static_cast<std::ptrdiff_t>(aSecond) + 1;
    double mean = std::accumulate(next, next + kFollowing, 0.0) / kFollowing;
    return aArrivals[aSecond] > 2 * mean;
  }

  ReturnSchedule schedule;
};

// Guards against a wave of all refused callers in any second after an outage. A caller with a
// patience of 1 s can't be spread: all of the last second return in the next one.
TEST_F(ReturnScheduleTest, NoSecondAfterAnOutageHasTwiceTheCallersOfTheNext)
{
  for (int outage :
       { 500, 1000, 2000, 3000, 3500, 4200, 5000, 6000, 8000, 10000, 15000, 20000, 30000 }) {
    for (int patience : { 2, 3, 4, 5, 6, 8, 12, 20, 30 }) {
      std::vector<int> arrivals = this->ReturnsAfter(milliseconds(outage), seconds(patience), true);
      for (std::size_t second = 0; second < kSeconds; ++second) {
        EXPECT_FALSE(IsWave(arrivals, second))
          << "outage " << outage << " ms, patience " << patience << " s, second " << second << ": "
          << arrivals[second];
      }
    }
  }
}

// The constant delay that this schedule replaces.
TEST_F(ReturnScheduleTest, ConstantDelayReturnsInAWave)
{
  EXPECT_TRUE(IsWave(this->ReturnsAfter(seconds(8), seconds(20), false), 0));
}

TEST_F(ReturnScheduleTest, NobodyIsToldToReturnAfterItHasGivenUp)
{
  this->schedule.SetServing(false, kOutageBegin);
  for (int number = 0; number < 1000; ++number) {
    JobId job = "job" + std::to_string(number);
    TimePoint now = kOutageBegin + milliseconds(20) * number;
    EXPECT_LE(this->schedule.DelayFor(job, milliseconds(2700), now), seconds(2));
    EXPECT_EQ(this->schedule.DelayFor(job, milliseconds(200), now), seconds(1));
  }
}

TEST_F(ReturnScheduleTest, DelaysGrowWithTheAgeOfTheOutageUpToABound)
{
  auto longestAt = [this](Duration aAge) {
    seconds longest{ 0 };
    for (int number = 0; number < 1000; ++number) {
      longest = std::max(
        longest,
        this->schedule.DelayFor("job" + std::to_string(number), seconds(60), kOutageBegin + aAge));
    }
    return longest;
  };
  this->schedule.SetServing(false, kOutageBegin);
  EXPECT_EQ(longestAt(seconds(0)), seconds(3));
  EXPECT_EQ(longestAt(seconds(4)), seconds(8));
  EXPECT_EQ(longestAt(seconds(100)), seconds(10));
  this->schedule.SetServing(true, kOutageBegin + seconds(100));
  EXPECT_EQ(longestAt(seconds(200)), seconds(3));
}

} // namespace
} // namespace daisydrift
