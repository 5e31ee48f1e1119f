// How long a new leader waits for runs on a worker that it can't reach.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Workers that would grant leases of 10 s; leaders ask for 5 s.
class LeaseOfEarlierLeaderTest : public Cluster
{
protected:
  LeaseOfEarlierLeaderTest()
  {
    this->dispatch.maxLease = seconds(10);
    this->fleet.maxLease = seconds(10);
    this->fleet.runTime = std::chrono::minutes(5);
    this->isServiceSubmitted = true;
    for (int number = 0; number < 3; ++number) {
      this->StartInstance(number);
    }
    this->loop.RunFor(seconds(2));
    EXPECT_EQ(this->Submit(0, "job", 4), SubmitOutcome::Accepted);
    this->loop.RunFor(seconds(1));
    EXPECT_EQ(this->fleet.startedRuns, 4U);
  }

  /// Kills the leader, and runs until another has recovered and polled all workers.
  void ChangeLeader()
  {
    this->KillInstance(this->LeaderNumber());
    for (int step = 0; step < 100 && this->LeaderNumber() < 0; ++step) {
      this->loop.RunFor(milliseconds(50));
    }
    this->loop.RunFor(milliseconds(200));
    ASSERT_GE(this->LeaderNumber(), 0);
  }

  /// The leader's machine is gone: it neither answers nor refuses connections.
  void LoseLeaderMachine()
  {
    int leader = this->LeaderNumber();
    this->KillInstance(leader);
    this->peers.unresponsive.insert(static_cast<unsigned short>(9000 + leader));
  }

  /// Replaces the record of the leaders' leases by one that leaders of an earlier version store.
  void StoreLeasesOfEarlierVersion()
  {
    nlohmann::json record =
      nlohmann::json::parse(this->store.Value("daisydrift/group/leases"), nullptr, false);
    record.erase("voters");
    this->store.Put("daisydrift/group/leases", record.dump());
    this->loop.RunFor(milliseconds(500));
  }

  /// A worker with running tasks.
  WorkerId BusyWorker() const
  {
    WorkerId id = "w0";
    while (this->fleet.CountRuns(id) == 0) {
      ++id[1];
    }
    return id;
  }

  /// Time until the tasks of a worker, which is cut off now, have started elsewhere.
  Duration TimeUntilRestart(const WorkerId& aLost)
  {
    std::size_t wanted = this->fleet.startedRuns + this->fleet.CountRuns(aLost);
    TimePoint cutAt = this->loop.Now();
    this->fleet.SetUnreachable(aLost, true);
    while (this->fleet.startedRuns < wanted && this->loop.Now() - cutAt < seconds(20)) {
      this->loop.RunFor(milliseconds(10));
    }
    EXPECT_TRUE(this->fleet.violations.empty()) << this->fleet.violations[0];
    return this->loop.Now() - cutAt;
  }
};

// Guards against a task that stands still for up to the longest lease, though no leader asks for
// one: its worker was lost after a new leader had reached it.
TEST_F(LeaseOfEarlierLeaderTest, WorkerLostAfterAChangeOfLeaderIsWaitedForAsLongAsItsLease)
{
  this->ChangeLeader();
  EXPECT_LT(this->TimeUntilRestart(this->BusyWorker()), seconds(6));
}

// The same for a worker that was lost before the new leader reached it; the earlier leader's
// process starts again.
TEST_F(LeaseOfEarlierLeaderTest, WorkerLostBeforeAChangeOfLeaderIsWaitedForAsLongAsItsLease)
{
  WorkerId lost = this->BusyWorker();
  this->fleet.SetUnreachable(lost, true);
  int earlier = this->LeaderNumber();
  this->ChangeLeader();
  this->StartInstance(earlier);
  EXPECT_LT(this->TimeUntilRestart(lost), seconds(6));
}

// The earlier leader hands its leadership over and goes on running.
TEST_F(LeaseOfEarlierLeaderTest, WorkerLostBeforeAHandoverIsWaitedForAsLongAsItsLease)
{
  WorkerId lost = this->BusyWorker();
  this->fleet.SetUnreachable(lost, true);
  this->instances[this->LeaderNumber()]->BeginStop();
  this->loop.RunFor(milliseconds(200));
  EXPECT_LT(this->TimeUntilRestart(lost), seconds(6));
}

// Guards against a lasting task that stands still for over 9 s: its worker is lost, and half a
// second later the leader's machine, which never answers again.
TEST_F(LeaseOfEarlierLeaderTest, SilentEarlierLeaderIsFencedByTheWorkersThatTheNewOneReaches)
{
  WorkerId lost = this->BusyWorker();
  TimePoint lostAt = this->loop.Now();
  this->fleet.SetUnreachable(lost, true);
  this->loop.RunFor(milliseconds(500));
  this->LoseLeaderMachine();
  this->TimeUntilRestart(lost);
  EXPECT_LT(this->loop.Now() - lostAt, seconds(9));
}

// The same with two silent leaders; the workers fence both.
TEST_F(LeaseOfEarlierLeaderTest, TwoSilentEarlierLeadersAreFencedByTheWorkers)
{
  this->LoseLeaderMachine();
  this->loop.RunFor(seconds(2));
  WorkerId lost = this->BusyWorker();
  TimePoint lostAt = this->loop.Now();
  this->fleet.SetUnreachable(lost, true);
  this->loop.RunFor(milliseconds(500));
  this->LoseLeaderMachine();
  this->TimeUntilRestart(lost);
  EXPECT_LT(this->loop.Now() - lostAt, seconds(9));
}

// Guards against two runs of a task: an earlier leader that does not answer goes on extending
// leases while more than half of the workers accept its polls, so the new leader may not take it
// for ended while it reaches fewer than half.
TEST_F(LeaseOfEarlierLeaderTest, LeaseOfASilentEarlierLeaderOfMostWorkersIsTakenToBeTheLongest)
{
  WorkerId lost = this->BusyWorker();
  for (const char* id : { "w0", "w1", "w2" }) {
    this->fleet.SetUnreachable(id, true);
  }
  if (lost == "w3") {
    lost = "w0";
  }
  TimePoint lostAt = this->loop.Now();
  this->LoseLeaderMachine();
  while (this->fleet.startedRuns < 5 && this->loop.Now() - lostAt < seconds(20)) {
    this->loop.RunFor(milliseconds(10));
  }
  EXPECT_GT(this->loop.Now() - lostAt, seconds(10));
  EXPECT_TRUE(this->fleet.violations.empty());
}

// The leader before last is of an earlier version, which does not store that it follows the rule:
// its end is not known when the last one ends.
TEST_F(LeaseOfEarlierLeaderTest, LeaseOfASilentLeaderOfAnEarlierVersionIsTakenToBeTheLongest)
{
  this->StoreLeasesOfEarlierVersion();
  this->ChangeLeader();
  WorkerId lost = this->BusyWorker();
  this->fleet.SetUnreachable(lost, true);
  int last = this->LeaderNumber();
  this->ChangeLeader();
  this->StartInstance(last);
  EXPECT_GT(this->TimeUntilRestart(lost), seconds(8));
}

// The last leader is of an earlier version, and is not heard of again.
TEST_F(LeaseOfEarlierLeaderTest, LeaseOfASilentLastLeaderOfAnEarlierVersionIsTakenToBeTheLongest)
{
  this->StoreLeasesOfEarlierVersion();
  WorkerId lost = this->BusyWorker();
  this->fleet.SetUnreachable(lost, true);
  this->ChangeLeader();
  EXPECT_GT(this->TimeUntilRestart(lost), seconds(8));
}

TEST_F(LeaseOfEarlierLeaderTest, LeaseThatAnEarlierLeaderAskedForIsWaitedFor)
{
  for (int number = 0; number < 3; ++number) {
    this->KillInstance(number);
  }
  this->loop.RunFor(milliseconds(100));
  this->dispatch.lease = seconds(9);
  this->StartInstance(0);
  this->loop.RunFor(seconds(3));
  this->dispatch.lease = seconds(5);
  this->StartInstance(1);
  this->loop.RunFor(seconds(1));
  this->ChangeLeader();
  EXPECT_GT(this->TimeUntilRestart(this->BusyWorker()), seconds(7));
}

// A leader of a version that does not store which leases it asks for changes only the term.
TEST_F(LeaseOfEarlierLeaderTest, UnknownLeaseOfAnEarlierLeaderIsTakenToBeTheLongest)
{
  this->store.Remove("daisydrift/group/leases");
  this->loop.RunFor(milliseconds(500));
  this->ChangeLeader();
  EXPECT_GT(this->TimeUntilRestart(this->BusyWorker()), seconds(8));
}

} // namespace
} // namespace daisydrift
