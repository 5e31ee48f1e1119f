// Workers that have more completions than one report lists.

#include "DispatcherFixture.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ManyCompletionsTest : public DispatcherFixture
{
protected:
  ManyCompletionsTest()
  {
    this->workerClock = seconds(500);
    this->AddWorker("w1");
    this->AddWorker("w2", 0);
  }

  /// A report of w1 that lists only some of its completions.
  void ReportSome(Dispatcher& aDispatcher,
                  std::vector<RunningTask> aRunning,
                  std::vector<RunCompletion> aCompletions,
                  bool aHasAll = false)
  {
    WorkerReport report;
    report.incarnation = this->incarnation;
    report.clock = this->workerClock;
    report.running = std::move(aRunning);
    report.completions = std::move(aCompletions);
    report.hasAllCompletions = aHasAll;
    aDispatcher.OnReport("w1", report, this->now, this->now);
  }

  /// Two runs end, of which the first report lists only one. Expects that the other run counts
  /// until its completion arrives.
  void ExpectNoStartBeforeTheOtherCompletion(const JobDefinition& aJob, DispatchState aState)
  {
    this->Add(aJob);
    std::vector<StartCommand> commands = this->RoundAccepted();
    ASSERT_EQ(commands.size(), 2U);
    this->Advance(milliseconds(500));
    RunCompletion first = this->Completion(commands[0], RunOutcome::Succeeded);
    RunCompletion second = this->Completion(commands[1], RunOutcome::Succeeded);
    for (int count = 0; count < 10; ++count) {
      this->ReportSome(this->dispatcher, {}, { first });
      EXPECT_TRUE(this->Round().empty());
      this->Advance(milliseconds(300));
    }
    this->ReportSome(this->dispatcher, {}, { second }, true);
    EXPECT_TRUE(this->Round().empty());
    EXPECT_EQ(this->dispatcher.State("job"), aState);
  }
};

// Guards against a second run of a task that has succeeded, but whose completion is beyond the end
// of the list, since the earlier ones can't be acknowledged while the store is unavailable.
TEST_F(ManyCompletionsTest, ARunBeyondTheEndOfTheListIsNotStartedAgain)
{
  this->ExpectNoStartBeforeTheOtherCompletion(Job("job", 2), DispatchState::Completed);
}

TEST_F(ManyCompletionsTest, ARunBeyondTheEndOfTheListIsNoStall)
{
  this->Add(Job("job", 2));
  std::vector<StartCommand> commands = this->RoundAccepted();
  RunCompletion first = this->Completion(commands[0], RunOutcome::Succeeded);
  for (int count = 0; count < 20; ++count) {
    this->Advance(milliseconds(300));
    this->ReportSome(this->dispatcher, {}, { first });
    this->Round();
    EXPECT_TRUE(this->round.stops.empty());
  }
  EXPECT_EQ(this->dispatcher.Counts(this->now).quarantinedWorkers, 0U);
}

// The same for a run that was stopped: it may have succeeded before.
TEST_F(ManyCompletionsTest, AStoppedRunBeyondTheEndOfTheListIsNotStartedAgain)
{
  this->Add(Job("job", 2));
  std::vector<StartCommand> commands = this->Round();
  ASSERT_EQ(commands.size(), 2U);
  this->dispatcher.OnStartResult(commands[0].attempt, StartResult::Accepted, this->now);
  this->dispatcher.OnStartResult(commands[1].attempt, StartResult::Unknown, this->now);
  this->Round();
  ASSERT_EQ(this->round.stops.size(), 1U);
  this->dispatcher.OnStopConfirmed(this->round.stops[0], this->now);
  this->Advance(milliseconds(50));
  RunCompletion first = this->Completion(commands[0], RunOutcome::Succeeded);
  this->ReportSome(this->dispatcher, {}, { first });
  EXPECT_TRUE(this->Round().empty());
  this->ReportSome(
    this->dispatcher, {}, { this->Completion(commands[1], RunOutcome::Succeeded) }, true);
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Completed);
}

TEST_F(ManyCompletionsTest, AServiceTaskBeyondTheEndOfTheListIsStartedAgainOnlyWhenItIsListed)
{
  JobDefinition job = Job("job", 2);
  job.steps[0].isService = true;
  this->Add(job);
  std::vector<StartCommand> commands = this->RoundAccepted();
  ASSERT_EQ(commands.size(), 2U);
  this->Advance(milliseconds(500));
  RunCompletion first = this->Completion(commands[0], RunOutcome::Failed);
  this->ReportSome(this->dispatcher, {}, { first });
  EXPECT_EQ(this->RoundAccepted().size(), 1U);
  this->Advance(milliseconds(50));
  this->ReportSome(
    this->dispatcher, {}, { this->Completion(commands[1], RunOutcome::Failed) }, false);
  EXPECT_EQ(this->Round().size(), 1U);
}

TEST_F(ManyCompletionsTest, AGangBeyondTheEndOfTheListIsNotStartedAgain)
{
  JobDefinition job = Job("job", 2);
  job.steps[0].isGang = true;
  this->Add(job);
  std::vector<StartCommand> commands = this->RoundAccepted();
  ASSERT_EQ(commands.size(), 2U);
  this->Advance(milliseconds(500));
  this->ReportSome(this->dispatcher, {}, {});
  EXPECT_TRUE(this->Round().empty());
  EXPECT_TRUE(this->round.stops.empty());
  this->ReportSome(
    this->dispatcher, {}, { this->Completion(commands[1], RunOutcome::Succeeded) }, false);
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Completed);
}

// The same for a new leader, whose first poll lists the completions from the start.
TEST_F(ManyCompletionsTest, ANewLeaderDoesNotStartRunsBeyondTheEndOfTheListAgain)
{
  this->Add(Job("job", 2));
  std::vector<StartCommand> commands = this->RoundAccepted();
  ASSERT_EQ(commands.size(), 2U);
  Dispatcher next(this->settings, this->now);
  next.SetPolicy(this->policy);
  next.RestoreJob(Job("job", 2), *this->dispatcher.Progress("job"), this->now, this->wall);
  next.ListWorker(*this->dispatcher.FindWorker("w1"));
  RunCompletion first = this->Completion(commands[0], RunOutcome::Succeeded);
  this->ReportSome(next, {}, { first });
  EXPECT_TRUE(next.Decide(this->now, this->wall, 4).starts.empty());
  this->Advance(milliseconds(50));
  this->ReportSome(next, {}, { this->Completion(commands[1], RunOutcome::Succeeded) }, true);
  EXPECT_TRUE(next.Decide(this->now, this->wall, 4).starts.empty());
  EXPECT_EQ(next.State("job"), DispatchState::Completed);
}

// Guards against a full list of completions that can't be read, behind which the others are never
// seen.
TEST_F(ManyCompletionsTest, UnreadableCompletionsThatFillTheListAreAcknowledged)
{
  WorkerReport report;
  report.incarnation = this->incarnation;
  report.clock = this->workerClock;
  report.lastCompletion = 500;
  this->dispatcher.OnReport("w1", report, this->now, this->now);
  EXPECT_EQ(this->dispatcher.LastCompletion("w1"), 0U);
  report.hasAllCompletions = false;
  this->dispatcher.OnReport("w1", report, this->now, this->now);
  EXPECT_EQ(this->dispatcher.LastCompletion("w1"), 500U);
}

// Guards against a wait that does not end: a worker that does not answer any more keeps its runs no
// longer than their leases.
TEST_F(ManyCompletionsTest, RunsBeyondTheEndOfTheListCountUntilTheirLeasesEnd)
{
  this->Add(Job("job", 2));
  std::vector<StartCommand> commands = this->RoundAccepted();
  this->Advance(milliseconds(500));
  this->ReportSome(this->dispatcher, {}, { this->Completion(commands[0], RunOutcome::Succeeded) });
  this->dispatcher.OnPollFailed("w1");
  this->AddWorker("w3");
  TimePoint lostAt = this->now;
  while (this->Round().empty() && this->now - lostAt < seconds(20)) {
    this->Advance(milliseconds(50));
    this->Report("w3", {});
  }
  EXPECT_LT(this->now - lostAt, this->settings.maxLease * 1.02 + milliseconds(300));
}

} // namespace
} // namespace daisydrift
