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

class ReturnScheduleTest : public ::testing::Test
{
protected:
  /// 1,000 callers come evenly over the outage and the same rate of callers goes on afterwards.
  /// Each returns until it is served or no longer waits. Returns the number that come in each
  /// second after the outage.
  std::vector<int> ReturnsAfter(seconds aOutage, Duration aPatience, bool aIsSpread)
  {
    constexpr int kCallers = 1000;
    Duration interval = Duration(aOutage) / kCallers;
    TimePoint end = kOutageBegin + aOutage;
    this->schedule.SetServing(false, kOutageBegin);
    std::vector<int> arrivals(10);
    for (int number = 0; number < 4 * kCallers; ++number) {
      JobId job = "job" + std::to_string(number);
      TimePoint first = kOutageBegin + interval * number;
      TimePoint time = first;
      while (time < end && time <= first + aPatience) {
        time += aIsSpread ? this->schedule.DelayFor(job, aPatience, time) : seconds(2);
      }
      if (time >= end && time <= first + aPatience && time < end + seconds(10)) {
        ++arrivals[static_cast<std::size_t>((time - end) / seconds(1))];
      }
    }
    return arrivals;
  }

  static bool IsWave(const std::vector<int>& aArrivals, std::size_t aSecond)
  {
    auto next = aArrivals.begin() + static_cast<std::ptrdiff_t>(aSecond) + 1;
    double mean = std::accumulate(next, next + 5, 0.0) / 5;
    return aArrivals[aSecond] > 2 * mean;
  }

  ReturnSchedule schedule;
};

// Guards against a wave of all refused callers in the first second after an outage.
TEST_F(ReturnScheduleTest, NoSecondAfterAnOutageHasTwiceTheCallersOfTheNext)
{
  for (seconds outage : { seconds(3), seconds(5), seconds(8) }) {
    for (seconds patience : { seconds(3), seconds(8), seconds(20) }) {
      std::vector<int> arrivals = this->ReturnsAfter(outage, patience, true);
      for (std::size_t second = 0; second < 4; ++second) {
        EXPECT_FALSE(IsWave(arrivals, second))
          << "outage " << outage.count() << " s, patience " << patience.count() << " s, second "
          << second << ": " << arrivals[second];
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
