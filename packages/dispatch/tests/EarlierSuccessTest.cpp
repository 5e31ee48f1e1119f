// Successes of runs that have been followed by another run of their task.

#include "DispatcherFixture.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A run whose lease was thought to have ended, and the run that followed it.
class EarlierSuccessTest : public DispatcherFixture
{
protected:
  EarlierSuccessTest()
  {
    this->workerClock = seconds(500);
    this->AddWorker("w1");
  }

  void StartAgain(const JobDefinition& aJob)
  {
    this->Add(aJob);
    this->earlier = this->RoundAccepted();
    this->dispatcher.OnPollFailed("w1");
    this->AddWorker("w3");
    while (this->later.empty()) {
      this->Advance(milliseconds(50));
      this->Report("w3", {});
      this->later = this->RoundAccepted();
    }
    ASSERT_EQ(this->later.size(), this->earlier.size());
  }

  /// The later runs end as they are stopped. Expects that nothing starts a third time.
  void ExpectCompletedOnceStopped()
  {
    this->Advance(milliseconds(50));
    EXPECT_TRUE(this->Round().empty());
    EXPECT_EQ(this->round.stops.size(), this->later.size());
    EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Running);
    std::vector<RunCompletion> stopped;
    std::uint64_t number = 1;
    for (const StartCommand& command : this->later) {
      // One fails just before its stop, which is no failure of the task.
      RunOutcome outcome = number == 1 ? RunOutcome::Failed : RunOutcome::Stopped;
      stopped.push_back({ number++, command.task, command.run, outcome, "" });
    }
    this->Report("w3", {}, stopped);
    EXPECT_TRUE(this->Round().empty());
    EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Completed);
  }

  std::vector<StartCommand> earlier;
  std::vector<StartCommand> later;
};

// Guards against a success that is acknowledged and forgotten, so that the task runs a third time.
TEST_F(EarlierSuccessTest, ASuccessOfAnEarlierRunCounts)
{
  this->StartAgain(Job("job", 2));
  this->Report("w1",
               {},
               { this->Completion(this->earlier[0], RunOutcome::Succeeded),
                 this->Completion(this->earlier[1], RunOutcome::Succeeded) });
  this->ExpectCompletedOnceStopped();
}

TEST_F(EarlierSuccessTest, ASuccessOfAnEarlierRunOfAGangCounts)
{
  JobDefinition job = Job("job", 3);
  job.steps[0].isGang = true;
  this->StartAgain(job);
  this->Report("w1", {}, { this->Completion(this->earlier[1], RunOutcome::Succeeded) });
  this->ExpectCompletedOnceStopped();
}

// The same when the leader changes before the later runs have ended.
TEST_F(EarlierSuccessTest, ASuccessOfAnEarlierRunCountsForTheNextLeader)
{
  this->StartAgain(Job("job", 1));
  this->Report("w1", {}, { this->Completion(this->earlier[0], RunOutcome::Succeeded) });
  Dispatcher next(this->settings, this->now);
  next.SetPolicy(this->policy);
  next.RestoreJob(Job("job", 1), *this->dispatcher.Progress("job"), this->now, this->wall);
  next.ListWorker(*this->dispatcher.FindWorker("w3"));
  EXPECT_EQ(next.CountRuns("w3"), 1U) << "the later run still takes resources";
  WorkerReport report;
  report.incarnation = this->incarnation;
  report.clock = this->workerClock;
  report.running = { Running(this->later[0]) };
  next.OnReport("w3", report, this->now, this->now);
  this->Advance(milliseconds(50));
  DispatchRound decided = next.Decide(this->now, this->wall, 4);
  EXPECT_TRUE(decided.starts.empty());
  EXPECT_EQ(decided.stops.size(), 1U);
  report.running.clear();
  report.completions = { { 1, this->later[0].task, this->later[0].run, RunOutcome::Stopped, "" } };
  next.OnReport("w3", report, this->now, this->now);
  EXPECT_TRUE(next.Decide(this->now, this->wall, 4).starts.empty());
  EXPECT_EQ(next.State("job"), DispatchState::Completed);
}

// Guards against a process that ends when it restores a gang of which the store has only some
// parts: a leader ended while it wrote the success of all members.
TEST_F(EarlierSuccessTest, ASuccessOfOneMemberOfARestoredGangCountsForAll)
{
  JobDefinition job = Job("job", 600, 1);
  job.steps[0].isGang = true;
  JobProgress progress;
  progress.state = DispatchState::Running;
  progress.isDivided = true;
  progress.steps.resize(2);
  progress.steps[0].succeeded = { 0, 1, 2 };
  progress.steps[1].open = { { 598, 1, "w1" }, { 599, 1, "w1" } };
  this->dispatcher.RestoreJob(job, progress, this->now, this->wall);
  EXPECT_TRUE(this->Round().empty());
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Running);
  this->Report("w1", {});
  EXPECT_TRUE(this->Round().empty());
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Completed);
}

} // namespace
} // namespace daisydrift
