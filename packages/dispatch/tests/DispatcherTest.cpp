// Rules for all starts: a task's next run starts only after proof that the previous one has ended;
// worker capacity, team ceilings and stops.

#include "DispatcherFixture.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_F(DispatcherFixture, CompletesAJobWhenAllItsTasksHaveSucceeded)
{
  this->AddWorker("w1");
  this->Add(Job("job", 2));
  std::vector<StartCommand> commands = this->RoundAccepted();
  ASSERT_EQ(commands.size(), 2U);
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Running);
  this->Report("w1",
               {},
               { this->Completion(commands[0], RunOutcome::Succeeded),
                 this->Completion(commands[1], RunOutcome::Succeeded) });
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Completed);
}

TEST_F(DispatcherFixture, StopsTheRunsOfACancelledJobAndRepeatsAnUnconfirmedStop)
{
  this->AddWorker("w1");
  this->Add(Job("job", 1));
  std::vector<StartCommand> commands = this->RoundAccepted();
  this->dispatcher.CancelJob("job", this->now, this->wall);
  this->Round();
  ASSERT_EQ(this->round.stops.size(), 1U);
  EXPECT_EQ(this->round.stops[0].task, commands[0].task);
  EXPECT_EQ(this->round.stops[0].run, commands[0].run);
  this->Advance(this->settings.stopRetryInterval + milliseconds(50));
  this->Report("w1", { Running(commands[0]) });
  this->Round();
  EXPECT_EQ(this->round.stops.size(), 1U);
}

TEST_F(DispatcherFixture, NeverOvercommitsAWorker)
{
  this->AddWorker("w1");
  this->Add(Job("job", 6));
  EXPECT_EQ(this->RoundAccepted().size(), 4U);
  EXPECT_TRUE(this->RoundAccepted().empty());
}

TEST_F(DispatcherFixture, KeepsResourcesOfAnUnansweredStartCommittedUntilItsStopIsConfirmed)
{
  this->AddWorker("w1", 1000);
  this->AddWorker("w2", 1000);
  this->Add(Job("job", 1));
  std::vector<StartCommand> commands = this->Round();
  ASSERT_EQ(commands.size(), 1U);
  this->dispatcher.OnStartResult(commands[0].attempt, StartResult::Unknown, this->now);
  EXPECT_TRUE(this->Round().empty()) << "the first start may still be carried out";
  ASSERT_EQ(this->round.stops.size(), 1U) << "the stop is sent at once";
  StopCommand stop = this->round.stops[0];
  this->Advance(milliseconds(30));
  EXPECT_TRUE(this->Round().empty()) << "the stop is not confirmed yet";
  this->dispatcher.OnStopConfirmed(stop, this->now);
  this->Advance(milliseconds(5));
  this->Report(commands[0].worker, {});
  std::vector<StartCommand> next = this->Round();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_GT(next[0].run, commands[0].run);
}

TEST_F(DispatcherFixture, TasksOfAnUnresponsiveWorkerRestartElsewhereOnlyAfterTheirLease)
{
  this->AddWorker("w1", 1000);
  this->AddWorker("w2", 1000);
  this->Add(Job("job", 1));
  std::vector<StartCommand> commands = this->RoundAccepted();
  const WorkerId other = commands[0].worker == "w1" ? "w2" : "w1";
  this->dispatcher.OnPollFailed(commands[0].worker);
  TimePoint startedAt = this->now;
  std::vector<StartCommand> next;
  while (next.empty() && this->now - startedAt < seconds(20)) {
    this->Advance(milliseconds(50));
    this->Report(other, {});
    // The worker is still polled, which must not extend its lease.
    this->dispatcher.ExtendWorkerLease(commands[0].worker, this->now);
    next = this->Round();
  }
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].worker, other);
  EXPECT_GE(this->now - startedAt,
            std::chrono::duration_cast<Duration>(this->settings.lease * 1.02));
}

TEST_F(DispatcherFixture, KeepsATeamWithinItsCeiling)
{
  this->policy.teams["team"].ceiling = { 2500, 0, 0 };
  this->dispatcher.SetPolicy(this->policy);
  this->AddWorker("w1", 16000);
  this->Add(Job("job", 6));
  EXPECT_EQ(this->RoundAccepted().size(), 2U);
}

TEST_F(DispatcherFixture, AStepWaitsForAllTasksOfTheStepsBeforeIt)
{
  this->AddWorker("w1");
  JobDefinition job = Job("job", 2);
  job.steps.push_back(job.steps[0]);
  job.steps[1].dependencies = { 0 };
  this->Add(job);
  std::vector<StartCommand> commands = this->RoundAccepted();
  ASSERT_EQ(commands.size(), 2U);
  this->Report(
    "w1", { Running(commands[1]) }, { this->Completion(commands[0], RunOutcome::Succeeded) });
  EXPECT_TRUE(this->RoundAccepted().empty());
  this->Report("w1", {}, { this->Completion(commands[1], RunOutcome::Succeeded) });
  EXPECT_EQ(this->RoundAccepted().size(), 2U);
}

TEST_F(DispatcherFixture, FailsAJobAfterMaxAttemptsCountingOnlyFailures)
{
  this->AddWorker("w1", 16000);
  this->AddWorker("w2", 16000);
  this->Add(Job("job", 1));
  for (int failures = 0; failures < 3; ++failures) {
    std::vector<StartCommand> commands = this->RoundAccepted();
    ASSERT_EQ(commands.size(), 1U);
    this->Report(commands[0].worker, {}, { this->Completion(commands[0], RunOutcome::Stopped) });
    commands = this->RoundAccepted();
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Running);
    this->Report(commands[0].worker, {}, { this->Completion(commands[0], RunOutcome::Failed) });
  }
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Failed);
}

TEST_F(DispatcherFixture, RestoredRunsThatAWorkerDoesNotReportAreStartedAgain)
{
  JobProgress progress;
  progress.state = DispatchState::Running;
  progress.steps.push_back({ 0, 0, {}, {}, {}, {}, { { 0, 7, "w1" } } });
  this->dispatcher.RestoreJob(Job("job", 1), progress, this->now, this->wall);
  this->AddWorker("w2");
  EXPECT_TRUE(this->Round().empty()) << "w1 has not been polled";
  this->AddWorker("w1");
  std::vector<StartCommand> commands = this->Round();
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_GT(commands[0].run, 7U);
}

TEST_F(DispatcherFixture, ASupersededStartIsResolvedByTheCompletionOfItsRun)
{
  this->AddWorker("w1");
  this->Add(Job("job", 1));
  std::vector<StartCommand> commands = this->Round();
  ASSERT_EQ(commands.size(), 1U);
  // The response to the first start command was lost, and the task had ended when the command was
  // repeated.
  this->dispatcher.OnStartResult(commands[0].attempt, StartResult::Superseded, this->now);
  EXPECT_TRUE(this->Round().empty());
  this->Advance(milliseconds(5));
  this->Report("w1", {}, { this->Completion(commands[0], RunOutcome::Succeeded) });
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Completed);
}

TEST_F(DispatcherFixture, LeasesOfAnEarlierLeaderStayValidAfterTheFirstReport)
{
  JobProgress progress;
  progress.state = DispatchState::Running;
  progress.steps.push_back({ 0, 0, {}, {}, {}, {}, { { 0, 7, "w1" } } });
  this->dispatcher.RestoreJob(Job("job", 1), progress, this->now, this->wall);
  this->AddWorker("w2");
  WorkerListing listing = *this->dispatcher.FindWorker("w2");
  listing.id = "w1";
  this->dispatcher.ListWorker(listing);
  RunningTask running;
  running.task = { "job", 0, 0, 0 };
  running.run = 7;
  this->Report("w1", { running });
  // The next poll is delayed by a slow store.
  this->Advance(milliseconds(900));
  this->Report("w2", {});
  EXPECT_TRUE(this->Round().empty()) << "the run still holds its lease on w1";
}

// Guards against a job of huge declared times and sizes whose work overflows when it is added up,
// and then changes the order of all jobs of its service.
TEST_F(DispatcherFixture, JobsOfYearsDontDisturbTheOrderOfOthers)
{
  constexpr std::int64_t kHugeMilliCores = 100'000'000;
  this->policy.teams["odd"] = { "odd", 1000, { 1, 1, 1 } };
  this->dispatcher.SetPolicy(this->policy);
  this->AddWorker("w1", 1000);
  for (int number = 0; number < 8; ++number) {
    JobDefinition odd = Job("odd" + std::to_string(number), 4096, kHugeMilliCores);
    odd.team = "odd";
    odd.steps[0].estimate = std::chrono::hours(24) * 3653;
    odd.steps.resize(16, odd.steps[0]);
    this->Add(odd);
  }
  // Only the small one can be in time beside the other, which came first.
  JobDefinition wide = Job("wide", 40);
  wide.steps[0].estimate = std::chrono::milliseconds(1000);
  this->Add(wide);
  JobDefinition small = Job("small", 1);
  small.steps[0].estimate = std::chrono::milliseconds(1000);
  this->Add(small);
  std::vector<StartCommand> commands = this->Round();
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].task.job, "small");
}

} // namespace
} // namespace daisydrift
