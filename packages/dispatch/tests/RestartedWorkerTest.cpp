// How long a leader waits for the runs of a worker that has restarted and does not answer any more.

#include "DispatcherFixture.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kPollInterval{ 50 };

/// A worker that restarts under its id. It keeps the fencing number that it has seen in this life
/// and the end of its lease, on a clock that starts anew.
struct RestartingWorker
{
  static constexpr milliseconds kMaxLease{ 10000 };

  /// Carries out a command unless its number is lower than one it has seen. aLeaseEnd is on the
  /// clock of the life that the command was meant for.
  bool Execute(std::uint32_t aFence, std::optional<milliseconds> aLeaseEnd, milliseconds aClock)
  {
    if (aFence < this->fence) {
      return false;
    }
    this->fence = aFence;
    if (aLeaseEnd) {
      this->leaseEnd = std::max(this->leaseEnd, std::min(*aLeaseEnd, aClock + kMaxLease));
    }
    return true;
  }

  std::uint32_t fence = 0;
  milliseconds leaseEnd{ 0 };
};

/// Times of events, from the restart of the worker on.
struct Order
{
  /// A command for the earlier life is carried out by the new one.
  milliseconds late;
  /// The worker is cut off for good.
  milliseconds cut;
  /// The leader changes that long after the cut, or before it; empty if it does not.
  std::optional<milliseconds> newTermAfterCut;
  /// The worker says when it was started.
  bool isStartKnown = true;

  std::string ToText() const
  {
    std::string newTerm =
      this->newTermAfterCut ? std::to_string(this->newTermAfterCut->count()) : "none";
    return "late " + std::to_string(this->late.count()) + " cut " +
           std::to_string(this->cut.count()) + " new term " + newTerm;
  }
};

/// A worker that grants 10 s restarts, is given a task, and is cut off, in one order of events.
class RestartPlay
{
public:
  RestartPlay(const DispatchSettings& aSettings, const FleetPolicy& aPolicy, const Order& aOrder)
    : settings(aSettings)
    , policy(aPolicy)
    , order(aOrder)
  {
    this->job.id = "job";
    this->job.queue = "quick";
    this->job.steps.resize(1);
    this->job.steps[0].size = { 1000, 100, 0 };
    this->job.steps[0].estimate = seconds(1);
    this->BeginTerm();
    this->ListWorkers(false);
  }

  /// Plays until the task has been started elsewhere, or the worker was cut off without it.
  void Run()
  {
    constexpr std::chrono::seconds kMaxTime{ 60 };
    TimePoint begin = this->now;
    while (!this->isOver && this->now - begin < kMaxTime && !::testing::Test::HasFatalFailure()) {
      this->RunEvents();
      this->Start();
      this->now += kPollInterval;
      this->wall += kPollInterval;
    }
    EXPECT_TRUE(this->isOver) << "the task is not started again";
  }
  /// The task was started on the restarted worker, and then elsewhere.
  bool HasMoved() const { return this->isOver && this->isStarted; }

private:
  void BeginTerm()
  {
    this->dispatcher = std::make_unique<Dispatcher>(this->settings, this->now);
    this->dispatcher->SetPolicy(this->policy);
  }

  /// The other worker has room only once the task was started.
  void ListWorkers(bool aHasRoomElsewhere)
  {
    this->dispatcher->OnEarlierLeadersEnded(this->now);
    for (const auto& [id, cores] :
         { std::pair("w1", 1000), { "w2", aHasRoomElsewhere ? 4000 : 0 } }) {
      WorkerListing listing;
      listing.id = id;
      listing.service = "desk";
      listing.endpoint = { "10.0.0.1", 80 };
      listing.capacity = { cores, 64000, 0 };
      this->dispatcher->ListWorker(listing);
    }
  }

  milliseconds Clock() const
  {
    return std::chrono::duration_cast<milliseconds>(this->now - this->clockZero);
  }
  std::uint32_t Fence() const { return this->firstFence + this->dispatcher->CountRestarts("w1"); }
  Duration SinceRestart() const { return this->now - this->restartAt; }

  void RunEvents()
  {
    if (!this->isRestarted && this->now >= this->restartAt) {
      this->isRestarted = true;
      this->worker = RestartingWorker();
      // The clock of the new life starts at any value.
      this->clockZero = this->now - seconds(100);
      this->startedAt = this->wall;
      this->dispatcher->AddJob(this->job, this->now, this->wall);
    }
    if (!this->isLateDone && this->SinceRestart() >= this->order.late) {
      this->isLateDone = true;
      this->worker.Execute(1, this->earlierLeaseEnd, this->Clock());
    }
    if (this->SinceRestart() >= this->order.cut) {
      this->dispatcher->OnPollFailed("w1");
    } else {
      this->PollRestarted();
    }
    this->Report("w2", seconds(500), {});
    bool isNewTermDue = this->order.newTermAfterCut &&
                        this->SinceRestart() >= this->order.cut + *this->order.newTermAfterCut;
    if (this->isStarted && isNewTermDue && this->firstFence == 1) {
      JobProgress stored = *this->dispatcher->Progress("job");
      this->firstFence = 1000;
      this->BeginTerm();
      this->dispatcher->RestoreJob(this->job, stored, this->now, this->wall);
      this->ListWorkers(true);
    }
  }

  void PollRestarted()
  {
    std::optional<milliseconds> lease = this->dispatcher->ExtendWorkerLease("w1", this->now);
    if (!this->isRestarted && lease) {
      this->earlierLeaseEnd = lease;
    }
    ASSERT_TRUE(this->worker.Execute(this->Fence(), lease, this->Clock()));
    this->Report("w1", this->Clock(), this->running);
  }

  void Report(const WorkerId& aId, milliseconds aClock, const std::vector<RunningTask>& aRunning)
  {
    bool isRestarting = aId == "w1";
    WorkerReport report;
    report.incarnation = isRestarting && this->isRestarted ? 2 : 1;
    report.clock = aClock;
    report.startedAt = isRestarting && this->order.isStartKnown ? this->startedAt : WallTime();
    report.running = aRunning;
    this->dispatcher->OnReport(aId, report, this->now, this->now);
  }

  void Start()
  {
    for (AttemptKey key : this->dispatcher->Decide(this->now, this->wall, 4).starts) {
      std::optional<StartCommand> command = this->dispatcher->TakeStartCommand(key, this->now);
      if (command && !this->isStarted && command->worker == "w1") {
        this->StartOnRestarted(*command);
      } else if (command) {
        this->ExpectLeaseIsOver(*command);
      }
    }
    if (!this->isStarted && this->SinceRestart() >= this->order.cut) {
      this->isOver = true;
    }
  }

  void StartOnRestarted(const StartCommand& aCommand)
  {
    ASSERT_LT(this->SinceRestart(), this->order.cut);
    this->isStarted = true;
    std::optional<milliseconds> lease = this->dispatcher->ExtendWorkerLease("w1", this->now);
    ASSERT_TRUE(this->worker.Execute(this->Fence(), lease, this->Clock()));
    this->running.push_back({ aCommand.task, aCommand.run, "", 10 });
    this->dispatcher->OnStartResult(aCommand.attempt, StartResult::Accepted, this->now);
    this->ListWorkers(true);
  }

  /// The task starts elsewhere after the worker's lease has ended, and not much later than it can
  /// have.
  void ExpectLeaseIsOver(const StartCommand& aCommand)
  {
    ASSERT_EQ(aCommand.worker, "w2");
    ASSERT_TRUE(this->isStarted);
    EXPECT_GE(this->Clock(), this->worker.leaseEnd);
    // 10 s, the clocks' drift of 2%, and two polls; a new leader allows for other wall clocks.
    Duration longest = milliseconds(10500);
    longest += this->order.newTermAfterCut ? this->settings.maxClockSkew : Duration(0);
    EXPECT_LE(this->SinceRestart(), this->order.cut + longest);
    this->isOver = true;
  }

  DispatchSettings settings;
  FleetPolicy policy;
  Order order;
  JobDefinition job;
  TimePoint now{ std::chrono::hours(1) };
  WallTime wall{ std::chrono::hours(500000) };
  TimePoint restartAt = this->now + seconds(1);
  /// Of the worker that restarts.
  TimePoint clockZero = this->now - seconds(500);
  WallTime startedAt = this->wall - seconds(500);
  RestartingWorker worker;
  std::vector<RunningTask> running;
  /// Last lease end that was sent to the earlier life.
  std::optional<milliseconds> earlierLeaseEnd;
  std::unique_ptr<Dispatcher> dispatcher;
  std::uint32_t firstFence = 1;
  bool isRestarted = false;
  bool isLateDone = false;
  bool isStarted = false;
  bool isOver = false;
};

class RestartedWorkerTest : public DispatcherFixture
{};

// Guards against two runs of one task: a command for the worker's earlier incarnation is carried
// out late by the next one, which grants the longest lease, as the lease end is on the earlier
// clock.
TEST_F(RestartedWorkerTest, NoTaskIsStartedElsewhereBeforeTheLeaseOfARestartedWorkerEnds)
{
  this->settings.maxLease = RestartingWorker::kMaxLease;
  this->settings.longestEarlierLease = this->settings.lease;
  int moved = 0;
  auto play = [this, &moved](const Order& aOrder) {
    SCOPED_TRACE(aOrder.ToText());
    RestartPlay restart(this->settings, this->policy, aOrder);
    restart.Run();
    moved += restart.HasMoved() ? 1 : 0;
  };
  for (int late : { 0, 50, 100, 150, 300, 1000, 3000, 7000, 12000 }) {
    for (int cut : { 0, 50, 100, 150, 200, 500, 2000, 4900, 5100, 6000, 9000 }) {
      play({ milliseconds(late), milliseconds(cut), std::nullopt });
      for (int newTerm : { -2000, -400, -100, 0, 500, 3000 }) {
        for (bool isStartKnown : { false, true }) {
          play({ milliseconds(late), milliseconds(cut), milliseconds(newTerm), isStartKnown });
        }
      }
    }
  }
  EXPECT_GT(moved, 200);
}

// Guards against a restarted worker that is waited for as long as the longest lease for ever.
TEST_F(RestartedWorkerTest, TheWaitIsTheUsualOneOnceTheLongestLeaseHasPassed)
{
  this->AddWorker("w1");
  this->AddWorker("w2", 0);
  this->incarnation = 2;
  this->workerClock = milliseconds(300);
  this->Report("w1", {});
  this->Advance(kPollInterval);
  this->Report("w1", {});
  this->Add(Job("job", 1));
  std::vector<StartCommand> commands = this->RoundAccepted();
  ASSERT_EQ(commands.size(), 1U);
  for (int poll = 0; poll < 200; ++poll) {
    this->Advance(kPollInterval);
    this->dispatcher.ExtendWorkerLease("w1", this->now);
    this->Report("w1", { Running(commands[0], poll / 3) });
  }
  TimePoint cutAt = this->now;
  this->dispatcher.OnPollFailed("w1");
  this->incarnation = 1;
  this->AddWorker("w3");
  while (this->Round().empty()) {
    ASSERT_LT(this->now - cutAt, seconds(6));
    this->Advance(kPollInterval);
    this->Report("w3", {});
  }
}

// Guards against a start on a worker that may still carry out commands for its earlier incarnation.
TEST_F(RestartedWorkerTest, ARestartedWorkerGetsNoStartBeforeItIsFenced)
{
  this->AddWorker("w1");
  EXPECT_TRUE(this->dispatcher.IsFenced("w1"));
  this->Add(Job("planned", 1));
  this->round = this->dispatcher.Decide(this->now, this->wall, this->requestSlots);
  ASSERT_EQ(this->round.starts.size(), 1U);
  this->incarnation = 2;
  this->Report("w1", {});
  EXPECT_EQ(this->dispatcher.CountRestarts("w1"), 1U);
  EXPECT_FALSE(this->dispatcher.IsFenced("w1"));
  EXPECT_FALSE(this->dispatcher.TakeStartCommand(this->round.starts[0], this->now).has_value());
  EXPECT_TRUE(this->Round().empty());
  this->Advance(kPollInterval);
  this->Report("w1", {});
  EXPECT_TRUE(this->dispatcher.IsFenced("w1"));
  EXPECT_EQ(this->Round().size(), 1U);
}

// The same when the worker has restarted more often than a term has fencing numbers: it gets starts
// once all commands for its earlier incarnations have arrived.
TEST_F(RestartedWorkerTest, WithoutAFencingNumberAWorkerWaitsUntilLateCommandsHaveArrived)
{
  this->AddWorker("w1");
  for (std::uint32_t restart = 0; restart <= this->settings.maxFencedRestarts; ++restart) {
    ++this->incarnation;
    this->Report("w1", {});
  }
  EXPECT_EQ(this->dispatcher.CountRestarts("w1"), this->settings.maxFencedRestarts);
  this->workerClock = milliseconds(100);
  this->Add(Job("job", 1));
  TimePoint begin = this->now;
  while (this->Round().empty()) {
    ASSERT_LT(this->now - begin, seconds(20));
    this->Advance(kPollInterval);
    this->Report("w1", {});
  }
  EXPECT_GE(this->now - begin, this->settings.incarnationSettleTime - seconds(1));
}

} // namespace
} // namespace daisydrift
