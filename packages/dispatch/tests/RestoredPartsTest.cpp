// Restoring a job from records of which each may be older or newer than the others.

#include "DispatcherFixture.h"

#include <functional>
#include <iterator>
#include <random>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kWorker = "w1";
/// Attempts that the queue of the jobs allows.
constexpr std::size_t kMaxAttempts = 3;
/// A job with records that this program would not write.
constexpr const char* kOddJob = "odd";

/// What really runs and has ended on the only worker.
struct World
{
  std::map<TaskName, RunNumber> running;
  std::vector<RunCompletion> completions;
  std::set<TaskName> succeeded;
  /// Runs that have ended as failed; those of a gang count for its first task.
  std::map<TaskName, std::set<RunNumber>> failed;
  bool isFirstStepGang = false;

  /// True if the task, or its gang, has used up its attempts.
  bool IsUsedUp(const TaskName& aTask) const
  {
    auto runs = this->failed.find(this->CountedTask(aTask));
    return runs != this->failed.end() && runs->second.size() >= kMaxAttempts;
  }
  void End(const TaskName& aTask, RunOutcome aOutcome)
  {
    auto run = this->running.extract(aTask);
    ASSERT_FALSE(run.empty());
    this->completions.push_back(
      { this->completions.size() + 1, aTask, run.mapped(), aOutcome, "" });
    if (aOutcome == RunOutcome::Succeeded) {
      this->succeeded.insert(aTask);
    } else if (aOutcome == RunOutcome::Failed) {
      this->failed[this->CountedTask(aTask)].insert(run.mapped());
    }
  }
  void EndAll(const std::function<bool(const TaskName&)>& aSelects, RunOutcome aOutcome)
  {
    std::vector<TaskName> tasks;
    for (const auto& [task, run] : this->running) {
      if (aSelects(task)) {
        tasks.push_back(task);
      }
    }
    for (const TaskName& task : tasks) {
      this->End(task, aOutcome);
    }
  }

private:
  TaskName CountedTask(TaskName aTask) const
  {
    bool isGang = this->isFirstStepGang && aTask.step == 0;
    aTask.index = isGang ? 0 : aTask.index;
    return aTask;
  }
};

/// The records of a job after one stage of its life.
struct Stored
{
  JobProgress head;
  std::map<std::uint64_t, std::vector<StepProgress>> parts;
};

class RestoredPartsTest : public DispatcherFixture
{
protected:
  std::unique_ptr<Dispatcher> NewTerm()
  {
    auto dispatcher = std::make_unique<Dispatcher>(this->settings, this->now);
    dispatcher->SetPolicy(this->policy);
    WorkerListing listing;
    listing.id = kWorker;
    listing.service = "desk";
    listing.endpoint = { "10.0.0.1", 80 };
    listing.capacity = { 10'000'000, 64'000'000, 0 };
    dispatcher->ListWorker(listing);
    return dispatcher;
  }

  void ReportTo(Dispatcher& aDispatcher, const World& aWorld)
  {
    WorkerReport report;
    report.incarnation = 1;
    report.clock = this->workerClock;
    report.completions = aWorld.completions;
    for (const auto& [task, run] : aWorld.running) {
      RunningTask running;
      running.task = task;
      running.run = run;
      report.running.push_back(running);
    }
    aDispatcher.OnReport(kWorker, report, this->now, this->now);
  }

  /// Starts what waits. Expects no second run of a task, nor one after its success or its last
  /// attempt.
  void StartIn(Dispatcher& aDispatcher, World& aWorld)
  {
    this->Advance(milliseconds(50));
    DispatchRound decided = aDispatcher.Decide(this->now, this->wall, 4);
    for (const StopCommand& stop : decided.stops) {
      auto run = aWorld.running.find(stop.task);
      if (run != aWorld.running.end() && run->second == stop.run) {
        aWorld.End(stop.task, RunOutcome::Stopped);
      }
    }
    for (AttemptKey key : decided.starts) {
      if (std::optional<StartCommand> command = aDispatcher.TakeStartCommand(key, this->now)) {
        aDispatcher.OnStartResult(key, StartResult::Accepted, this->now);
        bool isNew = aWorld.running.emplace(command->task, command->run).second;
        bool isOdd = command->task.job == kOddJob; // An odd record may cost its own job.
        bool hasSucceeded = aWorld.succeeded.count(command->task) != 0;
        EXPECT_TRUE(isOdd || (isNew && !hasSucceeded && !aWorld.IsUsedUp(command->task)))
          << command->task.occurrence << "." << command->task.step << "." << command->task.index
          << " run " << command->run;
      }
    }
  }

  /// Runs all that is started until the job has ended: as failed if a task has used up its
  /// attempts.
  void ExpectEnded(Dispatcher& aDispatcher, World& aWorld, const JobId& aJob)
  {
    constexpr int kMaxRounds = 60;
    for (int round = 0; round < kMaxRounds; ++round) {
      this->ReportTo(aDispatcher, aWorld);
      if (aDispatcher.State(aJob) == DispatchState::Completed ||
          aDispatcher.State(aJob) == DispatchState::Failed) {
        bool isUsedUp =
          std::any_of(aWorld.failed.begin(), aWorld.failed.end(), [&](const auto& aEntry) {
            return aWorld.IsUsedUp(aEntry.first);
          });
        EXPECT_EQ(aDispatcher.State(aJob) == DispatchState::Failed, isUsedUp);
        return;
      }
      this->StartIn(aDispatcher, aWorld);
      aWorld.EndAll([](const TaskName&) { return true; }, RunOutcome::Succeeded);
    }
    ADD_FAILURE() << aJob << " is in state " << static_cast<int>(*aDispatcher.State(aJob));
  }

  /// Plays the stages of a job's life and keeps its records and the truth after each.
  void Play(const JobDefinition& aJob,
            const std::vector<std::function<void(Dispatcher&, World&)>>& aStages)
  {
    this->job = aJob;
    std::unique_ptr<Dispatcher> term = this->NewTerm();
    World world;
    world.isFirstStepGang = aJob.steps[0].isGang;
    this->ReportTo(*term, world);
    term->AddJob(aJob, this->now, this->wall);
    this->stored.emplace_back();
    this->worlds.push_back(world);
    for (const auto& stage : aStages) {
      stage(*term, world);
      ChangedProgress changed = *term->TakeChangedProgress(aJob.id);
      Stored records = this->stored.back();
      records.head = changed.head;
      for (auto& [part, steps] : changed.parts) {
        records.parts[part] = steps;
        this->partNumbers.insert(part);
      }
      this->stored.push_back(records);
      this->worlds.push_back(world);
    }
  }

  /// Restores the job from a head and parts of those stages, and expects that it ends well.
  void ExpectRestored(std::size_t aHead, const std::map<std::uint64_t, std::size_t>& aStages)
  {
    for (bool isReversed : { false, true }) {
      JobProgress progress = this->stored[aHead].head;
      progress.isDivided = true;
      std::size_t newest = aHead;
      std::vector<StepProgress> steps;
      for (const auto& [part, stage] : aStages) {
        newest = std::max(newest, stage);
        auto found = this->stored[stage].parts.find(part);
        if (found != this->stored[stage].parts.end()) {
          steps.insert(steps.end(), found->second.begin(), found->second.end());
        }
      }
      if (isReversed) {
        std::reverse(steps.begin(), steps.end());
      }
      progress.steps = steps;
      World world = this->worlds[newest];
      std::unique_ptr<Dispatcher> next = this->NewTerm();
      next->RestoreJob(this->job, progress, this->now, this->wall);
      this->ExpectEnded(*next, world, this->job.id);
    }
  }

  /// All combinations of the stages of head and parts.
  void ExpectRestoredFromAllCombinations()
  {
    std::vector<std::uint64_t> parts(this->partNumbers.begin(), this->partNumbers.end());
    std::size_t stages = this->stored.size();
    std::size_t combinations = stages;
    for (std::size_t part = 0; part < parts.size(); ++part) {
      combinations *= stages;
    }
    for (std::size_t code = 0; code < combinations && !this->HasFailure(); ++code) {
      SCOPED_TRACE(code);
      std::size_t rest = code / stages;
      std::map<std::uint64_t, std::size_t> stageOf;
      for (std::uint64_t part : parts) {
        stageOf[part] = rest % stages;
        rest /= stages;
      }
      this->ExpectRestored(code % stages, stageOf);
    }
  }

  void Start(Dispatcher& aDispatcher, World& aWorld)
  {
    // A round starts a limited number of tasks.
    std::size_t before = 0;
    do {
      before = aWorld.running.size();
      this->StartIn(aDispatcher, aWorld);
    } while (aWorld.running.size() > before);
  }

  /// A stage in which the selected runs end.
  std::function<void(Dispatcher&, World&)> Ends(
    const std::function<bool(const TaskName&)>& aSelects,
    RunOutcome aOutcome = RunOutcome::Succeeded)
  {
    return [this, aSelects, aOutcome](Dispatcher& aDispatcher, World& aWorld) {
      aWorld.EndAll(aSelects, aOutcome);
      this->ReportTo(aDispatcher, aWorld);
    };
  }

  std::function<void(Dispatcher&, World&)> Starts()
  {
    return [this](Dispatcher& aDispatcher, World& aWorld) { this->Start(aDispatcher, aWorld); };
  }

  JobDefinition job;
  std::vector<Stored> stored;
  std::vector<World> worlds;
  std::set<std::uint64_t> partNumbers;
};

bool IsAny(const TaskName&)
{
  return true;
}

JobDefinition TwoSteps(std::uint32_t aTasks, bool aIsGang)
{
  JobDefinition job;
  job.id = "job";
  job.queue = "quick";
  job.steps.resize(2);
  job.steps[0].taskCount = aTasks;
  job.steps[0].isGang = aIsGang;
  job.steps[1].dependencies = { 0 };
  for (StepSpec& step : job.steps) {
    step.size = { 1, 1, 0 };
    step.estimate = milliseconds(300);
  }
  return job;
}

// Guards against a leader that ends by itself when it restores a part that says that a step is done
// beside an older one that names open runs of that step.
TEST_F(RestoredPartsTest, AGangIsRestoredFromAnyCombinationOfItsParts)
{
  this->Play(TwoSteps(520, true),
             { this->Starts(),
               this->Ends(IsAny, RunOutcome::GangBroken),
               this->Starts(),
               this->Ends([](const TaskName& aTask) { return aTask.index == 515; }),
               this->Ends(IsAny),
               this->Starts(),
               this->Ends(IsAny) });
  this->ExpectRestoredFromAllCombinations();
}

// The same for tasks that succeed and fail one by one.
TEST_F(RestoredPartsTest, AStepIsRestoredFromAnyCombinationOfItsParts)
{
  this->Play(
    TwoSteps(520, false),
    { this->Starts(),
      this->Ends([](const TaskName& aTask) { return aTask.index == 7; }, RunOutcome::Failed),
      this->Ends([](const TaskName& aTask) { return aTask.index < 512; }),
      this->Starts(),
      this->Ends(IsAny),
      this->Starts(),
      this->Ends(IsAny) });
  this->ExpectRestoredFromAllCombinations();
}

// Guards against a task that starts after its last attempt: its part says that all have failed, and
// the head, which is older, that the job runs.
TEST_F(RestoredPartsTest, AJobThatHasFailedIsRestoredFromAnyCombinationOfItsParts)
{
  for (bool isGang : { false, true }) {
    SCOPED_TRACE(isGang);
    this->stored.clear();
    this->worlds.clear();
    auto isLastTask = [](const TaskName& aTask) { return aTask.index == 515; };
    std::vector<std::function<void(Dispatcher&, World&)>> stages;
    for (std::size_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
      stages.push_back(this->Starts());
      stages.push_back(this->Ends(isLastTask, RunOutcome::Failed));
      if (isGang) {
        stages.push_back(this->Ends(IsAny, RunOutcome::GangBroken));
      }
    }
    this->Play(TwoSteps(520, isGang), stages);
    this->ExpectRestoredFromAllCombinations();
  }
}

// Guards against occurrences that are run again, or never: the head says which are over, and each
// is in a part of its own.
TEST_F(RestoredPartsTest, AScheduleIsRestoredFromAnyCombinationOfItsParts)
{
  JobDefinition schedule = TwoSteps(299, false);
  schedule.occurrences = 3;
  schedule.firstDue = this->wall;
  schedule.interval = milliseconds(1);
  this->Advance(seconds(1));
  this->Play(schedule,
             { this->Starts(),
               this->Ends([](const TaskName& aTask) { return aTask.occurrence != 1; }),
               this->Starts(),
               this->Ends([](const TaskName& aTask) { return aTask.occurrence == 0; }),
               this->Ends(IsAny) });
  this->ExpectRestoredFromAllCombinations();
}

// Guards against a record that ends every leader, whatever it says: it may cost its own job, and no
// other.
TEST_F(RestoredPartsTest, OddRecordsLeaveOtherJobsAlone)
{
  constexpr int kTrials = 400;
  for (int seed = 0; seed < kTrials && !this->HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(static_cast<unsigned>(seed));
    JobDefinition odd = TwoSteps(6, random() % 2 == 0);
    odd.id = kOddJob;
    odd.occurrences = random() % 4;
    odd.firstDue = this->wall;
    odd.steps[1].isService = random() % 4 == 0;
    JobProgress progress;
    progress.state = static_cast<DispatchState>(random() % 5);
    progress.isDivided = random() % 2 == 0;
    progress.firstOccurrence =
      static_cast<std::uint32_t>(random() % 5 == 0 ? random() : random() % 3);
    for (unsigned count = random() % 8; count > 0; --count) {
      StepProgress& part = progress.steps.emplace_back();
      part.occurrence = static_cast<std::uint32_t>(random() % 10 == 0 ? random() : random() % 4);
      part.step = random() % 3;
      part.isDone = random() % 4 == 0;
      auto index = [&random] {
        return static_cast<std::uint32_t>(random() % 20 == 0 ? random() : random() % 8);
      };
      auto run = [&random] { return RunNumber(random() % 4); };
      for (unsigned entry = random() % 6; entry > 0; --entry) {
        part.succeeded.push_back(index());
        part.failures[index()] = random() % 3;
        part.failedRuns[index()] = { run(), run() };
        part.lastCompletedRuns[index()] = run();
        part.checkpoints[index()] = "text";
        part.open.push_back({ index(), run(), random() % 2 == 0 ? kWorker : "" });
      }
    }
    std::unique_ptr<Dispatcher> next = this->NewTerm();
    next->RestoreJob(odd, progress, this->now, this->wall);
    next->RestoreJob(Job("sound", 2), JobProgress(), this->now, this->wall);
    World world;
    this->ReportTo(*next, world);
    for (int round = 0; round < 8; ++round) {
      this->Start(*next, world);
      for (const JobId& id : next->TakeChangedJobs()) {
        next->TakeChangedProgress(id);
      }
      world.EndAll([&random](const TaskName&) { return random() % 2 == 0; }, RunOutcome::Succeeded);
      world.EndAll([](const TaskName& aTask) { return aTask.job == "sound"; },
                   RunOutcome::Succeeded);
      this->ReportTo(*next, world);
    }
    EXPECT_EQ(next->State("sound"), DispatchState::Completed);
  }
}

// Guards against a record that names an occurrence so late that all before it take more memory than
// a process has.
TEST_F(RestoredPartsTest, ARecordOfAFarOccurrenceIsLeftOut)
{
  JobDefinition schedule = TwoSteps(60'000, false);
  schedule.occurrences = 100'000;
  schedule.firstDue = this->wall;
  schedule.interval = seconds(1);
  JobProgress progress;
  progress.state = DispatchState::Running;
  progress.isDivided = true;
  progress.steps.emplace_back().occurrence = 99'999;
  progress.steps[0].isDone = true;
  std::unique_ptr<Dispatcher> next = this->NewTerm();
  next->RestoreJob(schedule, progress, this->now, this->wall);
  EXPECT_EQ(next->State("job"), DispatchState::Running);
}

} // namespace
} // namespace daisydrift
