// Failures of tasks and gangs, which count once for each run, however their ends become known.

#include "DispatcherFixture.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMembers = 3;
constexpr std::uint32_t kMaxAttempts = 2;

class FailureCountTest : public DispatcherFixture
{
protected:
  FailureCountTest() { this->policy.queues["quick"].maxAttempts = kMaxAttempts; }

  static WorkerId WorkerOf(std::uint32_t aMember) { return "w" + std::to_string(aMember); }

  /// A dispatcher that knows the workers, each of which has room for one member of the gang.
  std::unique_ptr<Dispatcher> NewTerm()
  {
    auto dispatcher = std::make_unique<Dispatcher>(this->settings, this->now);
    dispatcher->SetPolicy(this->policy);
    for (std::uint32_t member = 0; member < kMembers; ++member) {
      WorkerListing listing;
      listing.id = WorkerOf(member);
      listing.service = "desk";
      listing.endpoint = { "10.0.0.1", 80 };
      listing.capacity = { 1000, 64000, 0 };
      dispatcher->ListWorker(listing);
    }
    return dispatcher;
  }

  void ReportTo(Dispatcher& aDispatcher,
                const WorkerId& aWorker,
                std::vector<RunCompletion> aCompletions)
  {
    WorkerReport report;
    report.incarnation = 1;
    report.clock = this->workerClock;
    report.completions = std::move(aCompletions);
    aDispatcher.OnReport(aWorker, report, this->now, this->now);
  }

  /// Starts what waits; the starts are accepted.
  std::vector<StartCommand> Start(Dispatcher& aDispatcher)
  {
    this->Advance(milliseconds(50));
    std::vector<StartCommand> commands;
    for (AttemptKey key : aDispatcher.Decide(this->now, this->wall, 4).starts) {
      if (std::optional<StartCommand> command = aDispatcher.TakeStartCommand(key, this->now)) {
        aDispatcher.OnStartResult(key, StartResult::Accepted, this->now);
        commands.push_back(*command);
      }
    }
    return commands;
  }

  static JobDefinition Gang()
  {
    JobDefinition job = Job("job", kMembers);
    job.steps[0].isGang = true;
    return job;
  }
};

// Guards against a gang that is given up after its first run, since the failures of several members
// were counted as several attempts.
TEST_F(FailureCountTest, MembersThatFailTogetherAreOneFailureOfTheGang)
{
  std::unique_ptr<Dispatcher> term = this->NewTerm();
  for (std::uint32_t member = 0; member < kMembers; ++member) {
    this->ReportTo(*term, WorkerOf(member), {});
  }
  term->AddJob(Gang(), this->now, this->wall);
  for (std::uint32_t attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    std::vector<StartCommand> run = this->Start(*term);
    ASSERT_EQ(run.size(), kMembers);
    for (const StartCommand& command : run) {
      this->ReportTo(
        *term, command.worker, { { attempt, command.task, command.run, RunOutcome::Failed, "" } });
    }
    EXPECT_EQ(term->State("job"),
              attempt < kMaxAttempts ? DispatchState::Running : DispatchState::Failed);
  }
}

// The same for each combination of the members' ends, each listed before a change of leader, after
// it, or both, and acknowledged to neither leader.
TEST_F(FailureCountTest, EachRunOfAGangCountsOnceInAnyOrderOfItsMembersEnds)
{
  enum Listed
  {
    Before,
    After,
    Both
  };
  constexpr std::uint32_t kVariants = 6; // Two outcomes, three kinds of listing.
  for (std::uint32_t code = 0; code < kVariants * kVariants * kVariants; ++code) {
    SCOPED_TRACE(code);
    std::unique_ptr<Dispatcher> first = this->NewTerm();
    for (std::uint32_t member = 0; member < kMembers; ++member) {
      this->ReportTo(*first, WorkerOf(member), {});
    }
    first->AddJob(Gang(), this->now, this->wall);
    std::vector<StartCommand> run = this->Start(*first);
    ASSERT_EQ(run.size(), kMembers);
    bool hasFailed = false;
    std::uint32_t rest = code;
    std::vector<std::pair<Listed, RunCompletion>> ends;
    for (const StartCommand& command : run) {
      bool isFailure = rest % 2 == 0;
      auto listed = static_cast<Listed>(rest / 2 % 3);
      rest /= kVariants;
      hasFailed = hasFailed || isFailure;
      RunOutcome outcome = isFailure ? RunOutcome::Failed : RunOutcome::GangBroken;
      ends.emplace_back(listed, RunCompletion{ 1, command.task, command.run, outcome, "" });
      if (listed != After) {
        this->ReportTo(*first, command.worker, { ends.back().second });
      }
    }
    JobProgress stored = *first->Progress("job");
    std::unique_ptr<Dispatcher> next = this->NewTerm();
    next->RestoreJob(Gang(), stored, this->now, this->wall);
    for (std::uint32_t member = 0; member < kMembers; ++member) {
      std::vector<RunCompletion> completions;
      if (ends[member].first != Before) {
        completions.push_back(ends[member].second);
      }
      this->ReportTo(*next, run[member].worker, completions);
    }
    EXPECT_EQ(next->State("job"), DispatchState::Running);
    std::vector<StartCommand> second = this->Start(*next);
    ASSERT_EQ(second.size(), kMembers);
    for (const StartCommand& command : second) {
      this->ReportTo(
        *next, command.worker, { { 2, command.task, command.run, RunOutcome::Failed, "" } });
    }
    EXPECT_EQ(next->State("job"), hasFailed ? DispatchState::Failed : DispatchState::Running);
  }
}

// Guards against a task that starts after its last attempt, since a failure is not counted whose
// run was given up before the worker could list it.
TEST_F(FailureCountTest, AFailureOfARunThatWasGivenUpCountsOnce)
{
  this->policy.queues["quick"].maxAttempts = kMaxAttempts;
  this->dispatcher.SetPolicy(this->policy);
  this->AddWorker("w1", 1000);
  this->Add(Job("job", 1));
  std::vector<StartCommand> first = this->RoundAccepted();
  ASSERT_EQ(first.size(), 1U);
  this->dispatcher.OnPollFailed("w1");
  this->AddWorker("w2", 1000);
  std::vector<StartCommand> second;
  while (second.empty()) {
    this->Advance(milliseconds(50));
    this->Report("w2", {});
    second = this->RoundAccepted();
  }
  RunCompletion late = this->Completion(first[0], RunOutcome::Failed);
  this->Report("w1", {}, { late });
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Running);
  Dispatcher next(this->settings, this->now);
  next.SetPolicy(this->policy);
  next.RestoreJob(Job("job", 1), *this->dispatcher.Progress("job"), this->now, this->wall);
  for (const char* id : { "w1", "w2" }) {
    next.ListWorker(*this->dispatcher.FindWorker(id));
  }
  this->ReportTo(next, "w1", { late });
  EXPECT_EQ(next.State("job"), DispatchState::Running) << "the same end counts once";
  this->ReportTo(next, "w2", { { 1, second[0].task, second[0].run, RunOutcome::Failed, "" } });
  EXPECT_EQ(next.State("job"), DispatchState::Failed);
}

// Guards against a failure that counts twice after an upgrade: records of earlier versions have
// counts only, and the worker lists the end again that the earlier version had counted.
TEST_F(FailureCountTest, ACountWithoutRunsIncludesTheRunsThatHadEnded)
{
  JobProgress stored;
  stored.state = DispatchState::Running;
  stored.steps.resize(1);
  stored.steps[0].failures[0] = 1;
  stored.steps[0].lastCompletedRuns[0] = 7;
  this->dispatcher.SetPolicy(this->policy);
  this->dispatcher.RestoreJob(Job("job", 1), stored, this->now, this->wall);
  this->AddWorker("w1", 1000);
  TaskName task{ "job", 0, 0, 0 };
  this->Report("w1", {}, { { 1, task, 7, RunOutcome::Failed, "" } });
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Running);
  this->Report("w1", {}, { { 2, task, 8, RunOutcome::Failed, "" } });
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Failed);
}

} // namespace
} // namespace daisydrift
