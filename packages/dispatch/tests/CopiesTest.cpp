// Second runs of tasks whose first run holds up their step.

#include "../src/StragglerRule.h"
#include "DispatcherFixture.h"

#include <functional>
#include <map>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CopiesTest : public DispatcherFixture
{
protected:
  CopiesTest()
  {
    this->workerClock = seconds(500);
    this->AddWorker("w1");
  }

  static JobDefinition CopyableJob(std::uint32_t aTasks, std::int64_t aMilliCores = 1000)
  {
    JobDefinition job = Job("job", aTasks, aMilliCores);
    job.steps[0].allowsCopies = true;
    return job;
  }

  /// Starts the job on w1, adds w2, and lets w1's run progress so slowly that it would take ten
  /// times the declared time. Returns what starts then.
  std::vector<StartCommand> StartsBesideSlowRun(const JobDefinition& aJob)
  {
    this->Add(aJob);
    this->first = this->RoundAccepted().at(0);
    this->AddWorker("w2");
    this->Advance(milliseconds(500));
    this->Report("w1", { Running(this->first, 5) });
    this->Report("w2", {});
    return this->RoundAccepted();
  }

  StartCommand first;
};

// Guards against a step that waits for one slow run while another worker has room.
TEST_F(CopiesTest, TheFirstSuccessCountsAndTheOtherRunIsStopped)
{
  std::vector<StartCommand> copies = this->StartsBesideSlowRun(CopyableJob(1));
  ASSERT_EQ(copies.size(), 1U);
  EXPECT_EQ(copies[0].worker, "w2");
  EXPECT_GT(copies[0].run, this->first.run);
  this->Advance(seconds(1));
  this->Report("w1", { Running(this->first, 15) });
  this->Report("w2", {}, { this->Completion(copies[0], RunOutcome::Succeeded) });
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Completed);
  EXPECT_TRUE(this->Round().empty());
  ASSERT_EQ(this->round.stops.size(), 1U);
  EXPECT_EQ(this->round.stops[0].run, this->first.run);
  EXPECT_TRUE(this->dispatcher.ClosedJobs().empty()) << "a run still takes resources";
  EXPECT_EQ(this->dispatcher.Counts(this->now).committed.milliCores, 1000);
  // Its failure comes too late to count.
  this->Report("w1", {}, { this->Completion(this->first, RunOutcome::Failed) });
  this->Advance(milliseconds(50));
  this->Round();
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Completed);
  EXPECT_EQ(this->dispatcher.ClosedJobs().size(), 1U);
  EXPECT_EQ(this->dispatcher.Counts(this->now).copiesWon, 1U);
  EXPECT_EQ(this->dispatcher.Counts(this->now).runningCopies, 0U);
}

// Guards against dependent steps that wait until the lease of a silent worker has ended.
TEST_F(CopiesTest, NothingWaitsForTheRunOfASilentWorker)
{
  JobDefinition job = CopyableJob(1);
  StepSpec next = job.steps[0];
  next.dependencies = { 0 };
  job.steps.push_back(next);
  this->Add(job);
  this->RoundAccepted();
  this->AddWorker("w2");
  this->Advance(milliseconds(600));
  this->dispatcher.OnPollFailed("w1");
  this->Report("w2", {});
  std::vector<StartCommand> copies = this->RoundAccepted();
  ASSERT_EQ(copies.size(), 1U);
  this->Report("w2", {}, { this->Completion(copies[0], RunOutcome::Succeeded) });
  std::vector<StartCommand> following = this->RoundAccepted();
  ASSERT_EQ(following.size(), 1U);
  EXPECT_EQ(following[0].task.step, 1U);
  EXPECT_EQ(this->dispatcher.CountRuns("w1"), 1U) << "it may still run there";
}

// Guards against a new leader that forgets one of two runs, and so starts a third one beside them
// or a task on capacity that is in use.
TEST_F(CopiesTest, TheNextLeaderKeepsBothRunsUntilOneSucceeds)
{
  JobDefinition job = CopyableJob(1);
  std::vector<StartCommand> copies = this->StartsBesideSlowRun(job);
  ASSERT_EQ(copies.size(), 1U);
  Dispatcher next(this->settings, this->now);
  next.SetPolicy(this->policy);
  next.RestoreJob(job, *this->dispatcher.Progress("job"), this->now, this->wall);
  std::map<WorkerId, StartCommand> runs = { { "w1", this->first }, { "w2", copies[0] } };
  std::uint64_t number = 0;
  auto report = [&](const WorkerId& aWorker, bool aHasSucceeded) {
    WorkerReport answer;
    answer.incarnation = this->incarnation;
    answer.clock = this->workerClock;
    if (aHasSucceeded) {
      const StartCommand& ended = runs[aWorker];
      answer.completions = { { ++number, ended.task, ended.run, RunOutcome::Succeeded, "" } };
    } else {
      answer.running = { Running(runs[aWorker], 20) };
    }
    next.OnReport(aWorker, answer, this->now, this->now);
  };
  for (const auto& [worker, run] : runs) {
    next.ListWorker(*this->dispatcher.FindWorker(worker));
    EXPECT_EQ(next.CountRuns(worker), 1U);
    report(worker, false);
  }
  this->Advance(milliseconds(50));
  DispatchRound decided = next.Decide(this->now, this->wall, 4);
  EXPECT_TRUE(decided.starts.empty());
  EXPECT_TRUE(decided.stops.empty());
  report("w1", true);
  EXPECT_EQ(next.State("job"), DispatchState::Completed);
  this->Advance(milliseconds(50));
  decided = next.Decide(this->now, this->wall, 4);
  ASSERT_EQ(decided.stops.size(), 1U);
  EXPECT_EQ(decided.stops[0].run, copies[0].run);
  // A leader that follows now knows of the success and of the run that is being stopped.
  Dispatcher third(this->settings, this->now);
  third.SetPolicy(this->policy);
  third.RestoreJob(job, *next.Progress("job"), this->now, this->wall);
  EXPECT_EQ(third.State("job"), DispatchState::Completed);
  EXPECT_EQ(third.CountRuns("w2"), 1U);
  EXPECT_TRUE(third.ClosedJobs().empty());
}

// Guards against a task that loses its second run when the first one ends otherwise, and against
// failures that count once for two runs.
TEST_F(CopiesTest, EachRunFailsForItself)
{
  std::vector<StartCommand> copies = this->StartsBesideSlowRun(CopyableJob(1));
  ASSERT_EQ(copies.size(), 1U);
  this->Report("w1", {}, { this->Completion(this->first, RunOutcome::Failed) });
  this->Advance(milliseconds(50));
  EXPECT_TRUE(this->Round().empty()) << "the copy goes on";
  EXPECT_TRUE(this->round.stops.empty());
  this->Report("w2", {}, { this->Completion(copies[0], RunOutcome::Failed) });
  EXPECT_EQ(this->dispatcher.Progress("job")->steps.at(0).failures.at(0), 2U);
  std::vector<StartCommand> third = this->RoundAccepted();
  ASSERT_EQ(third.size(), 1U);
  EXPECT_GT(third[0].run, copies[0].run);
}

// Guards against a step of a schedule that is removed while a run of it still takes resources.
TEST_F(CopiesTest, AnOccurrenceIsKeptUntilItsLastRunHasEnded)
{
  JobDefinition job = CopyableJob(1);
  job.occurrences = 2;
  job.interval = std::chrono::hours(1);
  job.firstDue = this->wall;
  std::vector<StartCommand> copies = this->StartsBesideSlowRun(job);
  ASSERT_EQ(copies.size(), 1U);
  this->Report("w2", {}, { this->Completion(copies[0], RunOutcome::Succeeded) });
  this->Advance(milliseconds(50));
  this->Round();
  EXPECT_EQ(this->dispatcher.CountRuns("w1"), 1U);
  EXPECT_EQ(this->dispatcher.Progress("job")->firstOccurrence, 0U);
  this->Report("w1", {}, { this->Completion(this->first, RunOutcome::Stopped) });
  this->Advance(milliseconds(50));
  this->Round();
  EXPECT_EQ(this->dispatcher.Progress("job")->firstOccurrence, 1U);
  EXPECT_EQ(this->dispatcher.CountRuns("w1"), 0U);
}

// Guards against copies of runs that end soon, and against none for runs that don't.
TEST(StragglerRuleTest, JudgesByTheTimeThatIsLeft)
{
  using dispatch::StragglerCause;
  auto judge = [](auto aChange) {
    dispatch::RunObservation run;
    run.elapsed = milliseconds(600);
    run.percent = 60;
    run.expected = milliseconds(1000);
    aChange(run);
    return dispatch::StragglerRule::Judge(run);
  };
  EXPECT_EQ(judge([](auto&) {}), StragglerCause::None);
  EXPECT_EQ(judge([](auto& aRun) { aRun.percent = 20; }), StragglerCause::Slow);
  EXPECT_EQ(judge([](auto& aRun) { aRun.percent = 40; }), StragglerCause::None);
  EXPECT_EQ(judge([](auto& aRun) { aRun.percent = 0; }), StragglerCause::None);
  EXPECT_EQ(judge([](auto& aRun) { aRun.sinceProgress = milliseconds(501); }),
            StragglerCause::Stalled);
  EXPECT_EQ(judge([](auto& aRun) { aRun.isDraining = true; }), StragglerCause::Draining);
  EXPECT_EQ(judge([](auto& aRun) {
              aRun.isDraining = true;
              aRun.remaining = milliseconds(500);
            }),
            StragglerCause::None);
  EXPECT_EQ(judge([](auto& aRun) { aRun.isSilent = true; }), StragglerCause::None);
}

struct NoCopyCase
{
  const char* name;
  std::function<void(JobDefinition&, FleetPolicy&)> change;
  std::int64_t secondWorkerMilliCores = 4000;
  /// A gang of tasks that fit on the second worker, but not all of them.
  bool hasWaitingWork = false;
  std::size_t copies = 0;
};

class NoCopyTest
  : public CopiesTest
  , public ::testing::WithParamInterface<NoCopyCase>
{};

// Guards against second runs where they are not allowed, and against copies that take what other
// work needs: capacity, a team's ceiling, or the last attempts of a task.
TEST_P(NoCopyTest, StartsNoCopy)
{
  const NoCopyCase& param = GetParam();
  JobDefinition job = CopyableJob(1);
  param.change(job, this->policy);
  this->dispatcher.SetPolicy(this->policy);
  this->Add(job);
  this->first = this->RoundAccepted().at(0);
  this->AddWorker("w2", param.secondWorkerMilliCores);
  if (param.hasWaitingWork) {
    JobDefinition waiting = Job("waiting", 5, 3000);
    waiting.steps[0].isGang = true;
    this->Add(waiting);
  }
  this->Advance(milliseconds(500));
  this->Report("w1", { Running(this->first, 5) });
  this->Report("w2", {});
  EXPECT_EQ(this->Round().size(), param.copies);
}

using Definition = JobDefinition;
using Policy = FleetPolicy;
const NoCopyCase kNoCopyCases[] = {
  { "NotAllowed", [](Definition& aJob, Policy&) { aJob.steps[0].allowsCopies = false; } },
  { "Gang", [](Definition& aJob, Policy&) { aJob.steps[0].isGang = true; } },
  { "Service", [](Definition& aJob, Policy&) { aJob.steps[0].isService = true; } },
  { "SpareCores", [](Definition& aJob, Policy&) { aJob.steps[0].usesSpareCores = true; } },
  { "Ceiling",
    [](Definition&, Policy& aPolicy) { aPolicy.teams["team"].ceiling.milliCores = 1999; } },
  { "Attempts", [](Definition&, Policy& aPolicy) { aPolicy.queues["quick"].maxAttempts = 1; } },
  { "NoRoom", [](Definition&, Policy&) {}, 999 },
  { "WaitingWork", [](Definition&, Policy&) {}, 4000, true },
  { "NoneOfThese", [](Definition&, Policy&) {}, 4000, false, 1 },
};
INSTANTIATE_TEST_SUITE_P(Cases,
                         NoCopyTest,
                         ::testing::ValuesIn(kNoCopyCases),
                         [](const auto& aInfo) { return aInfo.param.name; });

} // namespace
} // namespace daisydrift
