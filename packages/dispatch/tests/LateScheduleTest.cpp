// Which occurrences of a late schedule are considered at the same time.

#include "DispatcherFixture.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class LateScheduleTest : public DispatcherFixture
{
protected:
  LateScheduleTest()
  {
    for (int number = 0; number < 100; ++number) {
      this->AddWorker("w" + std::to_string(number), 16000);
    }
  }

  JobDefinition Schedule(std::size_t aSteps, std::uint32_t aOccurrences) const
  {
    JobDefinition job = Job("job", 1, 100);
    job.steps.resize(aSteps, job.steps[0]);
    for (std::uint32_t number = 1; number < aSteps; ++number) {
      job.steps[number].dependencies = { number - 1 };
    }
    job.occurrences = aOccurrences;
    job.firstDue = this->wall - minutes(60);
    job.interval = milliseconds(100);
    return job;
  }

  /// Starts what may start, and lets all that runs succeed.
  std::size_t RunAll()
  {
    std::vector<StartCommand> commands = this->RoundAccepted();
    this->Advance(milliseconds(50));
    std::map<WorkerId, std::vector<RunCompletion>> ended;
    for (const StartCommand& command : commands) {
      ended[command.worker].push_back(this->Completion(command, RunOutcome::Succeeded));
    }
    for (auto& [worker, completions] : ended) {
      this->Report(worker, {}, std::move(completions));
    }
    return commands.size();
  }
};

// Guards against memory and time of a round that grow with a schedule's delay: of 30,000 due
// occurrences of 64 steps, only so many are considered that a few thousand tasks are open.
TEST_F(LateScheduleTest, DueOccurrencesBeyondALimitWaitForEarlierOnes)
{
  this->Add(this->Schedule(64, 30000));
  std::uint64_t limit = this->settings.maxOpenTasksPerSchedule;
  for (int round = 0; round < 100; ++round) {
    EXPECT_GT(this->RunAll(), 0U);
    // One task of each occurrence may start.
    EXPECT_LE(this->dispatcher.Counts(this->now).waitingTasks, limit / 64);
  }
}

// Guards against an accepted job that ends each leader for want of memory: occurrences of services
// are never over, so the limit of open ones does not hold for them.
TEST_F(LateScheduleTest, OccurrencesOfServicesAreLimitedAsWell)
{
  JobDefinition job = this->Schedule(1, 100);
  job.steps[0].isService = true;
  job.steps[0].taskCount = 4096;
  this->Add(job);
  for (int round = 0; round < 5; ++round) {
    this->RoundAccepted();
    this->Advance(milliseconds(50));
    DispatchCounts counts = this->dispatcher.Counts(this->now);
    EXPECT_LE(counts.waitingTasks + counts.runningTasks, this->settings.maxTasksPerSchedule);
    EXPECT_GT(counts.runningTasks, 0U);
  }
}

// The same when the first occurrence does not end and the others do. It is the only one with runs
// that must be known.
TEST_F(LateScheduleTest, ASlowFirstOccurrenceHoldsBackOnlyWhatMemoryHasNoRoomFor)
{
  this->settings.maxTasksPerSchedule = 50;
  Dispatcher limited(this->settings, this->now);
  limited.SetPolicy(this->policy);
  WorkerListing listing = *this->dispatcher.FindWorker("w1");
  limited.ListWorker(listing);
  std::map<TaskName, RunNumber> running;
  std::uint64_t completion = 0;
  auto report = [&](bool aWithFirst) {
    WorkerReport report;
    report.incarnation = this->incarnation;
    report.clock = this->workerClock;
    for (auto run = running.begin(); run != running.end();) {
      if (run->first.occurrence == 0 && !aWithFirst) {
        report.running.push_back({ run->first, run->second, "", 1 + int(completion % 90) });
        ++run;
        continue;
      }
      report.completions.push_back(
        { ++completion, run->first, run->second, RunOutcome::Succeeded, "" });
      run = running.erase(run);
    }
    limited.OnReport("w1", report, this->now, this->now);
  };
  report(false);
  limited.AddJob(this->Schedule(1, 200), this->now, this->wall);
  std::uint32_t last = 0;
  auto runFor = [&](int aRounds, bool aWithFirst) {
    for (int round = 0; round < aRounds; ++round) {
      for (AttemptKey key : limited.Decide(this->now, this->wall, 4).starts) {
        if (std::optional<StartCommand> command = limited.TakeStartCommand(key, this->now)) {
          limited.OnStartResult(key, StartResult::Accepted, this->now);
          running[command->task] = command->run;
          last = std::max(last, command->task.occurrence);
        }
      }
      this->Advance(milliseconds(50));
      report(aWithFirst);
    }
  };
  runFor(20, false);
  EXPECT_EQ(last, 49U);
  runFor(200, true);
  EXPECT_EQ(limited.State("job"), DispatchState::Completed);
}

TEST_F(LateScheduleTest, AllOccurrencesSucceedInTheEnd)
{
  this->Add(this->Schedule(3, 20000));
  std::size_t started = 0;
  for (int round = 0; round < 2000 && this->dispatcher.State("job") != DispatchState::Completed;
       ++round) {
    started += this->RunAll();
  }
  EXPECT_EQ(this->dispatcher.State("job"), DispatchState::Completed);
  EXPECT_EQ(started, 60000U);
}

// Guards against occurrences that wait for ever behind tasks that never succeed.
TEST_F(LateScheduleTest, ServicesDoNotKeepLaterOccurrencesWaiting)
{
  JobDefinition job = this->Schedule(2, 400);
  job.steps[0].isService = true;
  job.steps[0].taskCount = 10;
  job.steps[0].size = { 1, 1, 0 };
  this->Add(job);
  std::size_t started = 0;
  for (int round = 0; round < 40; ++round) {
    started += this->RoundAccepted().size();
    this->Advance(milliseconds(50));
  }
  EXPECT_EQ(started, 4000U);
}

} // namespace
} // namespace daisydrift
