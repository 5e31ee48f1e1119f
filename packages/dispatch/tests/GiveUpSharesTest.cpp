// Shares of jobs that are given up, by width and team.

#include "GiveUpShares.h"

#include <gtest/gtest.h>

namespace daisydrift::dispatch {
namespace {

constexpr TimePoint kNow{ std::chrono::hours(2) };

/// 100 jobs with 1 to 100 tasks, a tenth of them of a small team.
std::vector<JobShare> AddJobs(GiveUpShares& aShares)
{
  for (std::uint64_t tasks = 1; tasks <= 100; ++tasks) {
    aShares.Add(tasks, 1, "earlier", kNow - std::chrono::hours(1));
  }
  std::vector<JobShare> jobs;
  for (std::uint64_t tasks = 1; tasks <= 100; ++tasks) {
    jobs.push_back(aShares.Add(tasks, 1, tasks % 10 == 0 ? "small" : "large", kNow));
  }
  return jobs;
}

// Guards against wide jobs and small teams that bear the whole shortage, since their jobs have the
// least value for their work.
TEST(GiveUpSharesTest, NoClassIsGivenUpMoreThanOneAndAHalfTimesAsOftenAsTheQueue)
{
  GiveUpShares shares;
  std::vector<JobShare> jobs = AddJobs(shares);
  shares.BeginSelection();
  std::array<int, 3> ofWidth{};
  for (const JobShare& job : jobs) {
    ++ofWidth[static_cast<std::size_t>(job.width)];
  }
  std::array<int, 3> givenUp{};
  int ofSmallTeam = 0;
  int all = 0;
  for (std::size_t turn = 0; turn < 50; ++turn) {
    // The widest that may be given up.
    for (std::size_t index = jobs.size(); index-- > 0;) {
      if (!shares.MayGiveUp(jobs[index], 0)) {
        continue;
      }
      shares.CountGivenUp(jobs[index], 0);
      ++givenUp[static_cast<std::size_t>(jobs[index].width)];
      ofSmallTeam += shares.IsSmall(*jobs[index].team) ? 1 : 0;
      ++all;
      jobs.erase(jobs.begin() + static_cast<std::ptrdiff_t>(index));
      break;
    }
  }
  EXPECT_EQ(all, 50);
  // Half of all jobs were given up, so at most three quarters of each class.
  for (WidthClass width : { WidthClass::Wide, WidthClass::Widest }) {
    auto index = static_cast<std::size_t>(width);
    EXPECT_GT(ofWidth[index], 0);
    EXPECT_LE(givenUp[index] * 4, ofWidth[index] * 3);
  }
  EXPECT_LE(ofSmallTeam * 4, 10 * 3);
}

// Guards against a queue of equal jobs in which all count as wide, so that none may be given up.
TEST(GiveUpSharesTest, EqualJobsAreNotWide)
{
  GiveUpShares shares;
  JobShare job;
  for (int number = 0; number < 100; ++number) {
    job = shares.Add(7, 1, "team", kNow);
  }
  EXPECT_EQ(job.width, WidthClass::Common);
  EXPECT_TRUE(shares.MayGiveUp(job, 0));
  EXPECT_DOUBLE_EQ(job.value, 1);
}

} // namespace
} // namespace daisydrift::dispatch
