// Stops of running tasks for tasks of a higher priority, and failures between stop and start.

#include "PreemptionPlanner.h"
#include "daisydrift/dispatch.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using dispatch::PreemptibleRun;
using dispatch::PreemptionNeed;
using dispatch::PreemptionPlanner;
using dispatch::PreemptionWorker;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWorkers = 10;
const Resources kSize{ 4000, 100, 0 };

/// A fleet that is full of batch tasks with checkpoints, one on each worker.
struct FullFleet
{
  explicit FullFleet(bool aIsEnabled)
    : dispatcher(SettingsWith(aIsEnabled), this->now)
  {
    this->SetUp(this->dispatcher);
    this->dispatcher.AddJob(Job("long", "batch", kWorkers, 1, seconds(20)), this->now, this->wall);
    for (const StartCommand& command : this->Round()) {
      this->running[command.worker] = command;
    }
    this->Advance(milliseconds(500));
    // Two steps of one second each: the first has to start within 1.25 s.
    this->dispatcher.AddJob(Job("short", "quick", 1, 2, seconds(1)), this->now, this->wall);
  }

  static DispatchSettings SettingsWith(bool aIsEnabled)
  {
    DispatchSettings settings;
    settings.preemption = aIsEnabled;
    return settings;
  }

  void SetUp(Dispatcher& aDispatcher)
  {
    FleetPolicy policy;
    policy.queues["quick"] = { "quick", "desk", 0, 3, 1.5, milliseconds(250), {} };
    policy.queues["batch"] = { "batch", "desk", 2, 3, 2.2, milliseconds(1200), {} };
    aDispatcher.SetPolicy(policy);
    for (int number = 0; number < kWorkers; ++number) {
      WorkerListing listing;
      listing.id = "w" + std::to_string(number);
      listing.service = "desk";
      listing.endpoint = { "10.0.0.1", 80 };
      listing.capacity = { 4000, 64000, 0 };
      listing.incarnation = 1;
      aDispatcher.ListWorker(listing);
      this->Report(aDispatcher, listing.id, {});
    }
  }

  static JobDefinition Job(const JobId& aId,
                           const QueueName& aQueue,
                           std::uint32_t aTasks,
                           std::uint32_t aSteps,
                           Duration aEstimate)
  {
    JobDefinition job;
    job.id = aId;
    job.queue = aQueue;
    for (std::uint32_t number = 0; number < aSteps; ++number) {
      StepSpec step;
      step.taskCount = aTasks;
      step.size = kSize;
      step.estimate = aEstimate;
      step.canCheckpoint = true;
      if (number > 0) {
        step.dependencies = { number - 1 };
      }
      job.steps.push_back(step);
    }
    return job;
  }

  void Report(Dispatcher& aDispatcher,
              const WorkerId& aWorker,
              std::vector<RunCompletion> aCompletions)
  {
    WorkerReport report;
    report.incarnation = 1;
    report.clock = std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch());
    report.completions = std::move(aCompletions);
    auto found = this->running.find(aWorker);
    if (found != this->running.end()) {
      report.running.push_back({ found->second.task, found->second.run, "", this->percent, 0 });
    }
    aDispatcher.OnReport(aWorker, report, this->now, this->now);
    aDispatcher.ExtendWorkerLease(aWorker, this->now);
  }

  /// Runs a round; with aIsStoreUp the progress of its jobs is stored and the starts are accepted.
  std::vector<StartCommand> Round(bool aIsStoreUp = true)
  {
    DispatchRound round = this->dispatcher.Decide(this->now, this->wall, 0);
    this->stops.insert(this->stops.end(), round.stops.begin(), round.stops.end());
    std::vector<StartCommand> commands;
    for (AttemptKey key : round.starts) {
      ++this->plannedStarts;
      if (!aIsStoreUp) {
        continue;
      }
      if (auto command = this->dispatcher.TakeStartCommand(key, this->now)) {
        this->dispatcher.OnStartResult(key, StartResult::Accepted, this->now);
        commands.push_back(*command);
      }
    }
    return commands;
  }

  /// Time passes; all workers but aSilent report.
  void Advance(Duration aTime, const WorkerId& aSilent = "")
  {
    this->now += aTime;
    this->wall += std::chrono::duration_cast<milliseconds>(aTime);
    ++this->percent;
    for (int number = 0; number < kWorkers; ++number) {
      WorkerId id = "w" + std::to_string(number);
      if (id != aSilent) {
        this->Report(this->dispatcher, id, {});
      }
    }
  }

  /// Runs rounds until the stop is sent, and returns it.
  StopCommand FirstStop()
  {
    this->Round();
    this->Advance(milliseconds(10));
    this->Round();
    EXPECT_EQ(this->stops.size(), 1U);
    return this->stops.empty() ? StopCommand() : this->stops.front();
  }

  void EndStopped(const StopCommand& aStop)
  {
    this->running.erase(aStop.worker);
    RunCompletion completion{ 1, aStop.task, aStop.run, RunOutcome::Stopped, "saved" };
    this->Report(this->dispatcher, aStop.worker, { completion });
  }

  TimePoint now{ std::chrono::hours(1) };
  WallTime wall{ std::chrono::hours(500000) };
  Dispatcher dispatcher;
  std::map<WorkerId, StartCommand> running;
  std::vector<StopCommand> stops;
  std::size_t plannedStarts = 0;
  int percent = 5;
};

// Guards against a task of the first priority that waits behind long tasks until it is late.
TEST(PreemptionTest, ATaskIsStoppedForOneThatWouldBeLate)
{
  FullFleet fleet(true);
  StopCommand stop = fleet.FirstStop();
  fleet.Advance(milliseconds(200));
  fleet.EndStopped(stop);
  std::vector<StartCommand> commands = fleet.Round();
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].task.job, "short");
  EXPECT_EQ(commands[0].worker, stop.worker);
}

TEST(PreemptionTest, NothingIsStoppedWithoutTheSetting)
{
  FullFleet fleet(false);
  for (int round = 0; round < 20; ++round) {
    fleet.Round();
    fleet.Advance(milliseconds(50));
  }
  EXPECT_TRUE(fleet.stops.empty());
}

// The leader ends between the stop and the start: the next one restores a waiting task.
TEST(PreemptionTest, TheNextLeaderContinuesAStoppedTaskFromItsCheckpoint)
{
  FullFleet fleet(true);
  StopCommand stop = fleet.FirstStop();
  fleet.EndStopped(stop);
  Dispatcher next(FullFleet::SettingsWith(true), fleet.now);
  next.RestoreJob(FullFleet::Job("long", "batch", kWorkers, 1, seconds(20)),
                  *fleet.dispatcher.Progress("long"),
                  fleet.now,
                  fleet.wall);
  fleet.SetUp(next);
  DispatchRound round = next.Decide(fleet.now, fleet.wall, 0);
  ASSERT_EQ(round.starts.size(), 1U);
  std::optional<StartCommand> command = next.TakeStartCommand(round.starts[0], fleet.now);
  ASSERT_TRUE(command);
  EXPECT_EQ(command->task, stop.task);
  EXPECT_EQ(command->checkpoint, "saved");
  EXPECT_GT(command->run, stop.run);
}

// The store fails between the stop and the start: no other task is stopped meanwhile, and the
// capacity is given once.
TEST(PreemptionTest, AStartThatIsNotStoredKeepsItsCapacity)
{
  FullFleet fleet(true);
  StopCommand stop = fleet.FirstStop();
  fleet.EndStopped(stop);
  std::size_t before = fleet.plannedStarts;
  for (int round = 0; round < 20; ++round) {
    EXPECT_TRUE(fleet.Round(false).empty());
    fleet.Advance(milliseconds(50));
  }
  EXPECT_EQ(fleet.plannedStarts, before + 1);
  EXPECT_EQ(fleet.stops.size(), 1U);
}

// The stopped task's worker becomes unresponsive: the end of the run is not known, so its capacity
// is not free.
TEST(PreemptionTest, AnUnresponsiveWorkersCapacityIsNotFreeBeforeTheEndIsListed)
{
  FullFleet fleet(true);
  StopCommand stop = fleet.FirstStop();
  fleet.dispatcher.OnPollFailed(stop.worker);
  for (int round = 0; round < 20; ++round) {
    EXPECT_TRUE(fleet.Round().empty());
    fleet.Advance(milliseconds(50), stop.worker);
  }
  fleet.EndStopped(stop);
  std::vector<StartCommand> commands = fleet.Round();
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].worker, stop.worker);
}

PreemptibleRun RunOf(std::uint64_t aKey, Duration aLeft, double aLostWork)
{
  return { aKey, kSize, 2, aLeft, true, true, aLostWork, kSize.milliCores, 0 };
}

std::vector<std::uint64_t> PlanFor(Duration aSlack,
                                   std::vector<PreemptibleRun> aRuns,
                                   std::uint32_t aTasks = 1,
                                   std::int64_t aBudget = 8000)
{
  std::vector<PreemptionWorker> workers(1);
  workers[0].runs = std::move(aRuns);
  return PreemptionPlanner().Plan({ 0, kSize, aTasks, aSlack, { true } }, workers, aBudget);
}

using Keys = std::vector<std::uint64_t>;

TEST(PreemptionPlannerTest, StopsWhatLosesLeast)
{
  PreemptibleRun withoutCheckpoint = RunOf(1, seconds(9), 1);
  withoutCheckpoint.canCheckpoint = false;
  EXPECT_EQ(
    PlanFor(seconds(1), { withoutCheckpoint, RunOf(2, seconds(9), 3), RunOf(3, seconds(9), 2) }),
    Keys{ 3 });
}

// Guards against stops that gain less than they cost, or come too late.
TEST(PreemptionPlannerTest, StopsNothingThatDoesNotHelp)
{
  EXPECT_EQ(PlanFor(seconds(1), { RunOf(1, milliseconds(1900), 1) }), Keys{}) << "ends soon enough";
  EXPECT_EQ(PlanFor(milliseconds(500), { RunOf(1, seconds(9), 1) }), Keys{}) << "late all the same";
  PreemptibleRun service = RunOf(1, seconds(9), 1);
  service.canStop = false;
  EXPECT_EQ(PlanFor(seconds(1), { service }), Keys{});
  PreemptibleRun equal = RunOf(1, seconds(9), 1);
  equal.priority = 0;
  EXPECT_EQ(PlanFor(seconds(1), { equal }), Keys{});
}

TEST(PreemptionPlannerTest, StaysWithinTheBudgetAndStopsAGangOnce)
{
  std::vector<PreemptibleRun> runs = { RunOf(1, seconds(9), 1), RunOf(2, seconds(9), 2) };
  EXPECT_EQ(PlanFor(seconds(1), runs, 2, 4000), Keys{ 1 });
  for (PreemptibleRun& run : runs) {
    run.gang = 1;
    run.stoppedMilliCores = 8000;
  }
  EXPECT_EQ(PlanFor(seconds(1), runs, 1, 4000), Keys{}) << "a gang is stopped as a whole";
  EXPECT_EQ(PlanFor(seconds(1), runs, 2, 16000), Keys{ 1 });
}

} // namespace
} // namespace daisydrift
