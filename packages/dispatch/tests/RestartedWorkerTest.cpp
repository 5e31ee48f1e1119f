// How long a leader waits for the runs of a worker that has restarted and does not answer any more.

#include "DispatcherFixture.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kPollInterval{ 50 };

/// A worker that restarts under its id. It keeps the fencing number that it has seen in this life
/// and the end of its lease, on a clock that starts anew.
class RestartingWorker
{
public:
  /// Carries out a command unless its number is lower than one it has seen. aLeaseEnd is on the
  /// clock of the life that the command was meant for.
  bool Execute(std::uint32_t aFence,
               std::optional<milliseconds> aLeaseEnd,
               milliseconds aClock,
               milliseconds aMaxLease)
  {
    if (aFence < this->fence) {
      return false;
    }
    this->fence = aFence;
    if (aLeaseEnd) {
      this->leaseEnd = std::max(this->leaseEnd, std::min(*aLeaseEnd, aClock + aMaxLease));
    }
    return true;
  }
  void Restart() { *this = RestartingWorker(); }

  std::uint32_t fence = 0;
  milliseconds leaseEnd{ 0 };
};

class RestartedWorkerTest : public DispatcherFixture
{
protected:
  RestartedWorkerTest()
  {
    this->settings.maxLease = seconds(10);
    this->settings.longestEarlierLease = this->settings.lease;
  }

  static WorkerListing Listing(const WorkerId& aId, std::int64_t aMilliCores)
  {
    WorkerListing listing;
    listing.id = aId;
    listing.service = "desk";
    listing.endpoint = { "10.0.0.1", 80 };
    listing.capacity = { aMilliCores, 64000, 0 };
    return listing;
  }

  static std::vector<StartCommand> Start(Dispatcher& aDispatcher, TimePoint aNow, WallTime aWall)
  {
    std::vector<StartCommand> commands;
    for (AttemptKey key : aDispatcher.Decide(aNow, aWall, 4).starts) {
      if (std::optional<StartCommand> command = aDispatcher.TakeStartCommand(key, aNow)) {
        commands.push_back(*command);
      }
    }
    return commands;
  }

  /// A worker that grants 10 s restarts and runs a task. A command for its earlier life is carried
  /// out that long after the restart, and the worker is cut off for good. Expects that the task
  /// starts elsewhere after the worker's lease has ended, and not much later than it can have.
  void Play(milliseconds aLateAfter,
            milliseconds aCutAfter,
            std::optional<milliseconds> aNewTermAfter,
            bool aIsStartKnown = true)
  {
    SCOPED_TRACE("late " + std::to_string(aLateAfter.count()) + " cut " +
                 std::to_string(aCutAfter.count()) + " new term " +
                 std::to_string(aNewTermAfter.value_or(milliseconds(-1)).count()));
    TimePoint begin = this->now;
    auto dispatcher = std::make_unique<Dispatcher>(this->settings, this->now);
    dispatcher->SetPolicy(this->policy);
    dispatcher->OnEarlierLeadersEnded(this->now);
    dispatcher->ListWorker(Listing("w1", 1000));
    dispatcher->ListWorker(Listing("w2", 0));
    RestartingWorker worker;
    std::optional<RunningTask> running;
    std::int64_t life = 1;
    std::uint32_t firstFence = 1;
    TimePoint clockZero = this->now - seconds(500);
    WallTime startedAt = this->wall - seconds(500);
    auto clock = [&] { return std::chrono::duration_cast<milliseconds>(this->now - clockZero); };
    std::optional<TimePoint> restartedAt;
    bool isCut = false;
    bool isLateDone = false;
    std::optional<milliseconds> earlierLeaseEnd;
    std::optional<StartCommand> first;
    JobDefinition job = Job("job", 1);
    bool isNewTerm = false;
    auto answer = [&](const WorkerId& aId, milliseconds aClock, std::int64_t aLife) {
      WorkerReport report;
      report.incarnation = aLife;
      report.clock = aClock;
      report.startedAt = aId == "w1" && aIsStartKnown ? startedAt : WallTime();
      if (aId == "w1" && running) {
        report.running.push_back(*running);
      }
      dispatcher->OnReport(aId, report, this->now, this->now);
    };
    for (; this->now - begin < seconds(60);
         this->now += kPollInterval, this->wall += kPollInterval) {
      if (!restartedAt && this->now - begin >= seconds(1)) {
        restartedAt = this->now;
        // The clock of the new life starts at any value.
        clockZero = this->now - seconds(100);
        startedAt = this->wall;
        ++life;
        worker.Restart();
        dispatcher->AddJob(job, this->now, this->wall);
      }
      Duration age = restartedAt ? this->now - *restartedAt : Duration(-1);
      if (!isLateDone && restartedAt && age >= aLateAfter) {
        isLateDone = true;
        // Sent to the earlier life, on its clock.
        worker.Execute(1, earlierLeaseEnd, clock(), seconds(10));
      }
      isCut = isCut || (restartedAt && age >= aCutAfter);
      if (isCut) {
        dispatcher->OnPollFailed("w1");
      } else {
        std::uint32_t fence = firstFence + dispatcher->CountRestarts("w1");
        std::optional<milliseconds> lease = dispatcher->ExtendWorkerLease("w1", this->now);
        if (!restartedAt && lease) {
          earlierLeaseEnd = lease;
        }
        ASSERT_TRUE(worker.Execute(fence, lease, clock(), seconds(10)));
        answer("w1", clock(), life);
      }
      answer("w2", std::chrono::duration_cast<milliseconds>(this->now - begin) + seconds(500), 1);
      if (first && aNewTermAfter && !isNewTerm && age >= aCutAfter + *aNewTermAfter) {
        isNewTerm = true;
        firstFence = 1000;
        JobProgress stored = *dispatcher->Progress("job");
        dispatcher = std::make_unique<Dispatcher>(this->settings, this->now);
        dispatcher->SetPolicy(this->policy);
        dispatcher->RestoreJob(job, stored, this->now, this->wall);
        dispatcher->OnEarlierLeadersEnded(this->now);
        dispatcher->ListWorker(Listing("w1", 1000));
        dispatcher->ListWorker(Listing("w2", 4000));
        continue;
      }
      for (const StartCommand& command : Start(*dispatcher, this->now, this->wall)) {
        if (!first && command.worker == "w1") {
          ASSERT_FALSE(isCut);
          first = command;
          std::optional<milliseconds> lease = dispatcher->ExtendWorkerLease("w1", this->now);
          ASSERT_TRUE(worker.Execute(
            firstFence + dispatcher->CountRestarts("w1"), lease, clock(), seconds(10)));
          running = Running(command);
          dispatcher->OnStartResult(command.attempt, StartResult::Accepted, this->now);
          dispatcher->ListWorker(Listing("w2", 4000));
          continue;
        }
        ASSERT_EQ(command.worker, "w2");
        EXPECT_TRUE(!first || clock() >= worker.leaseEnd)
          << (worker.leaseEnd - clock()).count() << " ms before the lease ends";
        // 10 s, the clocks' drift of 2%, and two polls; a new leader allows for other wall clocks.
        Duration longest = milliseconds(10500);
        longest += aNewTermAfter ? this->settings.maxClockSkew : Duration(0);
        EXPECT_LE(age, aCutAfter + longest);
        this->startsElsewhere += first ? 1 : 0;
        return;
      }
      if (!first && isCut) {
        return; // Cut off before it was given the task.
      }
    }
    ADD_FAILURE() << "the task is not started again";
  }

  /// Plays in which the task was started on the restarted worker, and then elsewhere.
  int startsElsewhere = 0;
};

// Guards against two runs of one task: a command for the worker's earlier incarnation is carried
// out late by the next one, which grants the longest lease, as the lease end is on the earlier
// clock.
TEST_F(RestartedWorkerTest, NoTaskIsStartedElsewhereBeforeTheLeaseOfARestartedWorkerEnds)
{
  for (int late : { 0, 50, 100, 150, 300, 1000, 3000, 7000, 12000 }) {
    for (int cut : { 0, 50, 100, 150, 200, 500, 2000, 4900, 5100, 6000, 9000 }) {
      this->Play(milliseconds(late), milliseconds(cut), std::nullopt);
      for (int newTerm : { -2000, -400, -100, 0, 500, 3000 }) {
        this->Play(milliseconds(late), milliseconds(cut), milliseconds(newTerm));
        this->Play(milliseconds(late), milliseconds(cut), milliseconds(newTerm), false);
      }
    }
  }
  EXPECT_GT(this->startsElsewhere, 200);
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
