// Stored records can be read back, also those of former versions.

#include "RecordCodec.h"

#include <gtest/gtest.h>

#include <set>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;

TEST(RecordCodecTest, AJobDefinitionKeepsTheRulesOfItsQueueAndTeam)
{
  JobDefinition job;
  job.id = "job";
  job.queue = "queue";
  job.team = "team";
  job.rules = QueuePolicy{ "queue", "desk", 2, 4, 1.5, milliseconds(250), {}, 17 };
  job.rules->advice = AdvicePolicy{ milliseconds(120), milliseconds(3), milliseconds(4000) };
  job.teamRules = TeamRules{ "team", 2.5, { 2000, 300, 4 }, 17 };
  job.steps.emplace_back();
  std::optional<JobDefinition> read =
    coordination::JobDefinitionFromJson(coordination::ToJson(job));
  ASSERT_TRUE(read && read->rules);
  EXPECT_EQ(read->rules->name, "queue");
  EXPECT_EQ(read->rules->service, "desk");
  EXPECT_EQ(read->rules->priority, 2U);
  EXPECT_EQ(read->rules->maxAttempts, 4U);
  EXPECT_EQ(read->rules->stretchFactor, 1.5);
  EXPECT_EQ(read->rules->targetLatency, milliseconds(250));
  EXPECT_EQ(read->rules->version, 17U);
  ASSERT_TRUE(read->rules->advice);
  EXPECT_EQ(read->rules->advice->baseTime, milliseconds(120));
  EXPECT_EQ(read->rules->advice->timePerWorker, milliseconds(3));
  EXPECT_EQ(read->rules->advice->validity, milliseconds(4000));
  ASSERT_TRUE(read->teamRules);
  EXPECT_EQ(read->teamRules->name, "team");
  EXPECT_EQ(read->teamRules->weight, 2.5);
  EXPECT_EQ(read->teamRules->ceiling.milliCores, 2000);
  EXPECT_EQ(read->teamRules->ceiling.memoryMiB, 300);
  EXPECT_EQ(read->teamRules->ceiling.accelerators, 4);
  EXPECT_EQ(read->teamRules->version, 17U);
}

// Guards against accepted jobs that are lost in an upgrade.
TEST(RecordCodecTest, ARecordOfAFormerVersionWithoutRulesIsRead)
{
  const char* record = R"({"id":"job","queue":"queue","team":"team","payload":"text",
    "accepted_ms":1000,"steps":[{"tasks":3,"size":[500,100,0],"estimate_us":600000}]})";
  std::optional<JobDefinition> job =
    coordination::JobDefinitionFromJson(nlohmann::json::parse(record));
  ASSERT_TRUE(job);
  EXPECT_EQ(job->queue, "queue");
  EXPECT_FALSE(job->rules);
  EXPECT_FALSE(job->teamRules);
  ASSERT_EQ(job->steps.size(), 1U);
  EXPECT_EQ(job->steps[0].taskCount, 3U);
}

// Guards against a record that ends each leader which restores it, since its tasks take more memory
// than a process has.
TEST(RecordCodecTest, AJobWithMoreTasksThanAnyThatIsAcceptedIsRefused)
{
  JobDefinition job;
  job.id = "job";
  job.queue = "queue";
  job.steps.resize(64);
  for (StepSpec& step : job.steps) {
    step.taskCount = 4096;
  }
  EXPECT_TRUE(coordination::JobDefinitionFromJson(coordination::ToJson(job)));
  job.steps.resize(1024);
  for (StepSpec& step : job.steps) {
    step.taskCount = 65'536;
  }
  std::string error;
  EXPECT_FALSE(coordination::JobDefinitionFromJson(coordination::ToJson(job), &error));
  EXPECT_EQ(error, "steps: too many tasks");
  // Occurrences without tasks are over at once, so that nothing bounds how many begin.
  job.steps.resize(1);
  job.steps[0].taskCount = 0;
  EXPECT_FALSE(coordination::JobDefinitionFromJson(coordination::ToJson(job), &error));
  EXPECT_EQ(error, "steps: tasks: out of range");
}

// Guards against a part of a job's progress that the store refuses: the largest one, with the
// longest ids of workers and checkpoints that are stored, is shorter than the platform's limit of a
// value.
TEST(RecordCodecTest, TheLargestPartOfAJobsProgressFitsIntoAValue)
{
  constexpr std::size_t kMaxValueBytes = 1048576;
  constexpr std::size_t kMaxWorkerIdBytes = 200;
  constexpr std::uint32_t kTasks = 512;
  constexpr RunNumber kMaxRun = 1'000'000'000'000'000'000;
  std::vector<StepProgress> steps;
  for (std::uint32_t number = 0; number < kTasks; ++number) {
    StepProgress& step = steps.emplace_back();
    step.occurrence = 99'999;
    step.step = 63;
    step.failures[number] = 4'000'000'000;
    step.failedRuns[number] = std::vector<RunNumber>(8, kMaxRun);
    step.lastCompletedRuns[number] = kMaxRun;
    step.checkpoints[number] = std::string(512, 'x');
    step.open.push_back({ number,
                          kMaxRun,
                          std::string(kMaxWorkerIdBytes, 'w'),
                          WallTime(milliseconds(1'764'000'000'000)) });
    // The copy of the task, which may run on an earlier lease.
    step.open.push_back({ number,
                          kMaxRun,
                          std::string(kMaxWorkerIdBytes, 'v'),
                          WallTime(milliseconds(1'763'000'000'000)) });
  }
  std::string text = coordination::ProgressPartToText(steps);
  EXPECT_LE(text.size(), kMaxValueBytes);
  std::optional<std::vector<StepProgress>> read = coordination::ProgressPartFromText(text);
  ASSERT_TRUE(read);
  ASSERT_EQ(read->size(), steps.size());
  EXPECT_EQ(read->at(0).failedRuns, steps[0].failedRuns);
  EXPECT_EQ(read->at(0).open[0].longLeaseUntil, steps[0].open[0].longLeaseUntil);
  EXPECT_GE(read->at(0).open[1].longLeaseUntil, steps[0].open[1].longLeaseUntil);
}

TEST(RecordCodecTest, StepsThatHaveSucceededAreReadBackFromRuns)
{
  std::vector<StepProgress> steps;
  for (std::uint32_t number : { 0U, 1U, 2U, 5U, 6U }) {
    StepProgress& step = steps.emplace_back();
    step.occurrence = number < 6 ? 7 : 8;
    step.step = number;
    step.isDone = true;
  }
  steps.emplace_back().succeeded = { 3 };
  std::optional<std::vector<StepProgress>> read =
    coordination::ProgressPartFromText(coordination::ProgressPartToText(steps));
  ASSERT_TRUE(read);
  std::set<std::pair<std::uint32_t, std::uint32_t>> done;
  for (const StepProgress& step : *read) {
    if (step.isDone) {
      done.emplace(step.occurrence, step.step);
    } else {
      EXPECT_EQ(step.succeeded, std::vector<std::uint32_t>{ 3 });
    }
  }
  std::set<std::pair<std::uint32_t, std::uint32_t>> expected{
    { 7, 0 }, { 7, 1 }, { 7, 2 }, { 7, 5 }, { 8, 6 }
  };
  EXPECT_EQ(done, expected);
}

TEST(RecordCodecTest, OddPartsOfAJobsProgressAreRefused)
{
  for (const char* text : { "",
                            "[]",
                            R"({"steps":3})",
                            R"({"done":[[0,1]]})",
                            R"({"done":[[0,-1,2]]})",
                            R"({"done":[[0,0,4000000000]]})",
                            R"({"steps":[{"step":0}]})",
                            R"({"steps":[{"occurrence":0,"step":0,"failed_runs":[[0,7]]}]})",
                            R"({"steps":[{"occurrence":0,"step":0,"failed_runs":[[0,[-1]]]}]})" }) {
    std::string error;
    EXPECT_FALSE(coordination::ProgressPartFromText(text, &error)) << text;
    EXPECT_FALSE(error.empty()) << text;
  }
}

// Guards against the record of a large job that an earlier version wrote in one piece, and that
// parts would replace only bit by bit.
TEST(RecordCodecTest, AnUndividedRecordOfALargeJobStaysUndivided)
{
  JobDefinition job;
  job.id = "job";
  job.queue = "queue";
  job.steps.resize(1);
  job.steps[0].taskCount = 2000;
  std::optional<JobProgress> progress = coordination::JobProgressFromText(
    R"({"state":1,"steps":[{"occurrence":0,"step":0,"succeeded":[0,1999]}]})");
  ASSERT_TRUE(progress);
  Dispatcher dispatcher(DispatchSettings{}, TimePoint{});
  dispatcher.RestoreJob(job, *progress, TimePoint(), WallTime());
  std::optional<ChangedProgress> changed = dispatcher.TakeChangedProgress("job");
  ASSERT_TRUE(changed);
  EXPECT_TRUE(changed->parts.empty());
  ASSERT_EQ(changed->head.steps.size(), 1U);
  EXPECT_EQ(changed->head.steps[0].succeeded, (std::vector<std::uint32_t>{ 0, 1999 }));
}

} // namespace
} // namespace daisydrift
