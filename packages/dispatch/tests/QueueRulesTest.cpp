// The rules of a queue that the leader's configuration has no more, or not yet.

#include "DispatcherFixture.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;

class QueueRulesTest : public DispatcherFixture
{
protected:
  static QueuePolicy Rules(std::uint64_t aVersion)
  {
    return { "other", "desk", 1, 2, 3, milliseconds(500), {}, aVersion };
  }

  static JobDefinition OtherJob(const JobId& aId, std::optional<QueuePolicy> aRules)
  {
    JobDefinition job = Job(aId, 1);
    job.queue = "other";
    job.rules = std::move(aRules);
    return job;
  }

  /// A round with the job's only start, and the end of that run.
  void RunOnce(RunOutcome aOutcome)
  {
    std::vector<StartCommand> commands = this->RoundAccepted();
    ASSERT_EQ(commands.size(), 1U);
    this->Advance(milliseconds(100));
    this->Report(commands[0].worker, {}, { this->Completion(commands[0], aOutcome) });
  }
};

// Guards against jobs that wait until the leader has a newer configuration.
TEST_F(QueueRulesTest, AJobRunsByTheRulesThatItWasAcceptedUnder)
{
  this->AddWorker("w1");
  this->Add(OtherJob("job", Rules(7)));
  this->RunOnce(RunOutcome::Failed);
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Running);
  this->Advance(milliseconds(500));
  this->RunOnce(RunOutcome::Failed);
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Failed);
}

TEST_F(QueueRulesTest, ARestoredJobKeepsItsRules)
{
  this->AddWorker("w1");
  this->dispatcher.RestoreJob(OtherJob("job", Rules(7)), {}, this->now, this->wall);
  this->RunOnce(RunOutcome::Failed);
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Running);
}

TEST_F(QueueRulesTest, TheNewestRulesOfAQueueAreInForce)
{
  this->AddWorker("w1");
  QueuePolicy newest = Rules(8);
  newest.service = "elsewhere";
  this->policy.version = 8;
  this->policy.queues["other"] = newest;
  this->dispatcher.SetPolicy(this->policy);
  this->Add(OtherJob("old", Rules(7)));
  EXPECT_TRUE(this->Round().empty()) << "the record's rules are older than the configuration";
  this->Add(OtherJob("new", Rules(9)));
  EXPECT_EQ(this->Round().size(), 2U);
  this->policy.version = 9;
  this->policy.queues.erase("other");
  this->dispatcher.SetPolicy(this->policy);
  this->Advance(milliseconds(10));
  this->Add(OtherJob("newer", Rules(7)));
  EXPECT_EQ(this->Round().size(), 1U) << "a removed queue keeps its rules";
}

// Records of versions that did not store the rules.
TEST_F(QueueRulesTest, AJobWithoutKnownRulesNeitherStartsNorFailsUntilTheyAreKnown)
{
  this->AddWorker("w1");
  JobProgress progress;
  progress.state = DispatchState::Running;
  progress.steps.push_back({ 0, 0, {}, {}, {}, {}, { { 0, 7, "w1" } } });
  this->dispatcher.RestoreJob(OtherJob("job", std::nullopt), progress, this->now, this->wall);
  StartCommand command;
  command.task = { "job", 0, 0, 0 };
  command.run = 7;
  this->Report("w1", {}, { this->Completion(command, RunOutcome::Failed) });
  EXPECT_TRUE(this->Round().empty());
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Running);
  this->policy.queues["other"] = Rules(1);
  this->dispatcher.SetPolicy(this->policy);
  this->Advance(milliseconds(500));
  this->RunOnce(RunOutcome::Failed);
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Failed) << "two attempts are allowed";
}

TEST_F(QueueRulesTest, AJobWhoseAttemptsAreUsedUpFailsOnceItsRulesAreKnown)
{
  this->AddWorker("w1");
  JobProgress progress;
  progress.state = DispatchState::Running;
  progress.steps.push_back({ 0, 0, {}, { { 0, 2 } }, {}, {}, {} });
  this->dispatcher.RestoreJob(OtherJob("job", std::nullopt), progress, this->now, this->wall);
  EXPECT_TRUE(this->Round().empty());
  this->Add(OtherJob("next", Rules(1)));
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Failed);
  EXPECT_EQ(this->Round().size(), 1U);
}

// Guards against a latency objective from made-up rules: such a job came before jobs that are due
// earlier.
TEST_F(QueueRulesTest, TheLatencyObjectiveFollowsFromTheRulesOfTheQueue)
{
  this->AddWorker("w1", 1000);
  QueuePolicy rules = Rules(7);
  rules.priority = 0; // As the queue `quick`, whose objective is shorter.
  this->Add(OtherJob("slow", std::nullopt));
  this->policy.queues["other"] = rules;
  this->dispatcher.SetPolicy(this->policy);
  this->Add(Job("fast", 1));
  std::vector<StartCommand> commands = this->Round();
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].task.job, "fast");
}

} // namespace
} // namespace daisydrift
