// How the tasks of a job are divided among the parts of its progress.

#include "ProgressLayout.h"

#include <gtest/gtest.h>

#include <map>

namespace daisydrift::dispatch {
namespace {

JobDefinition Job(const std::vector<std::uint32_t>& aTasks, std::uint32_t aOccurrences)
{
  JobDefinition job;
  job.occurrences = aOccurrences;
  for (std::uint32_t tasks : aTasks) {
    job.steps.emplace_back().taskCount = tasks;
  }
  return job;
}

/// Expects that each task is in one part, that parts have a bounded number of tasks, and that those
/// of occurrences that follow one another do as well.
void ExpectDivided(const JobDefinition& aJob)
{
  ProgressLayout layout(aJob);
  std::map<std::uint64_t, std::uint64_t> tasksByPart;
  for (std::uint32_t occurrence = 0; occurrence < aJob.occurrences; ++occurrence) {
    std::uint64_t first = layout.FirstPartOf(occurrence);
    EXPECT_LE(layout.FirstOccurrenceOf(first), occurrence);
    EXPECT_GT(layout.FirstOccurrenceOf(first) + layout.OccurrencesPerPart(), occurrence);
    for (std::uint32_t step = 0; step < aJob.steps.size(); ++step) {
      for (std::uint32_t index = 0; index < aJob.steps[step].taskCount; ++index) {
        std::uint64_t part = layout.PartOf(occurrence, step, index);
        EXPECT_GE(part, first);
        EXPECT_LT(part, layout.FirstPartOf(occurrence + layout.OccurrencesPerPart()));
        auto [begin, end] = layout.IndicesOf(part, step);
        EXPECT_LE(begin, index);
        EXPECT_GT(end, index);
        ++tasksByPart[part];
      }
    }
  }
  for (const auto& [part, tasks] : tasksByPart) {
    EXPECT_LE(tasks, ProgressLayout::kTasksPerPart) << part;
  }
}

// Guards against a part that outgrows the store's limit, and against a task whose change is written
// to another part than its state.
TEST(ProgressLayoutTest, EachTaskIsInOnePartOfBoundedSize)
{
  ExpectDivided(Job({ 1 }, 3000));
  ExpectDivided(Job(std::vector<std::uint32_t>(64, 1), 50));
  ExpectDivided(Job({ 3, 4096, 1, 700, 512 }, 3));
  ExpectDivided(Job({ 512 }, 5));
  ExpectDivided(Job({ 513 }, 5));
}

TEST(ProgressLayoutTest, OnlyAJobWithMoreTasksThanAPartIsDivided)
{
  EXPECT_FALSE(ProgressLayout(Job({ 500, 12 }, 0)).IsLarge());
  EXPECT_TRUE(ProgressLayout(Job({ 500, 13 }, 0)).IsLarge());
  EXPECT_FALSE(ProgressLayout(Job({ 8 }, 64)).IsLarge());
  EXPECT_TRUE(ProgressLayout(Job({ 8 }, 65)).IsLarge());
}

} // namespace
} // namespace daisydrift::dispatch
