// Stored records can be read back, also those of former versions.

#include "RecordCodec.h"

#include <gtest/gtest.h>

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

} // namespace
} // namespace daisydrift
