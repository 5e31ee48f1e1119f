// A leader that is cut off from the store and the other instances but still reaches some workers:
// no task may run twice, and what it can't keep must continue elsewhere soon.

#include "Cluster.h"

#include <algorithm>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Six workers that would grant leases of 10 s, with two lasting tasks each.
class CutOffLeaderTest : public Cluster
{
protected:
  CutOffLeaderTest()
  {
    this->dispatch.maxLease = seconds(10);
    this->fleet.maxLease = seconds(10);
    this->fleet.runTime = std::chrono::minutes(5);
    this->isServiceSubmitted = true;
    this->fleet.AddWorker(this->store, "w4");
    this->fleet.AddWorker(this->store, "w5");
    for (int number = 0; number < 3; ++number) {
      this->StartInstance(number);
    }
    this->loop.RunFor(seconds(2));
    EXPECT_EQ(this->Submit(0, "job", kTasks), SubmitOutcome::Accepted);
    this->loop.RunFor(seconds(3));
    this->former = this->LeaderNumber();
    EXPECT_EQ(this->CountTasksAtWork(), kTasks);
  }

  /// Separates the leader and these workers from everything else.
  void CutOffLeaderWith(const std::set<WorkerId>& aReached)
  {
    this->former = this->LeaderNumber();
    ProcessState& state = this->processes[this->former]->state;
    state.isCutOff = true;
    state.unreachable = this->Others(aReached);
    this->peers.unresponsive.insert(static_cast<unsigned short>(9000 + this->former));
    this->CutOffOthersFrom(aReached);
  }

  void CutOffOthersFrom(const std::set<WorkerId>& aWorkers)
  {
    for (auto& [number, process] : this->processes) {
      if (number != this->former) {
        process->state.unreachable = aWorkers;
      }
    }
  }

  void Heal()
  {
    for (auto& [number, process] : this->processes) {
      process->state.isCutOff = false;
      process->state.unreachable.clear();
    }
    this->peers.unresponsive.clear();
  }

  std::set<WorkerId> Others(const std::set<WorkerId>& aWorkers) const
  {
    std::set<WorkerId> others = this->workerIds;
    for (const WorkerId& id : aWorkers) {
      others.erase(id);
    }
    return others;
  }

  std::size_t CountRunsOn(const std::set<WorkerId>& aWorkers) const
  {
    std::size_t runs = 0;
    for (const WorkerId& id : aWorkers) {
      runs += this->fleet.CountRuns(id);
    }
    return runs;
  }

  std::size_t CountTasksAtWork() const
  {
    std::size_t atWork = 0;
    for (std::uint32_t index = 0; index < kTasks; ++index) {
      atWork += this->fleet.CountRuns(TaskName{ "job", 0, 0, index }) > 0 ? 1U : 0U;
    }
    return atWork;
  }

  std::string Violations() const
  {
    return this->fleet.violations.empty() ? "" : this->fleet.violations[0];
  }

  static constexpr std::uint32_t kTasks = 12;
  std::set<WorkerId> workerIds{ "w0", "w1", "w2", "w3", "w4", "w5" };
  /// The leader that is cut off.
  int former = -1;
};

class CutOffLeaderHealTest
  : public CutOffLeaderTest
  , public ::testing::WithParamInterface<int>
{};

// Guards against two runs of a task at once, or more runs on a worker than fit: the new leader
// gives up the runs that it can't reach while the former one extends their leases.
TEST_P(CutOffLeaderHealTest, TasksNeverRunTwice)
{
  this->CutOffLeaderWith({ "w0", "w1" });
  this->loop.RunFor(milliseconds(GetParam()));
  this->Heal();
  this->loop.RunFor(seconds(15));
  EXPECT_EQ(this->Violations(), "");
  EXPECT_EQ(this->CountTasksAtWork(), kTasks);
}

// The new leader waits until some 6.5 s after the cut.
INSTANTIATE_TEST_SUITE_P(Durations,
                         CutOffLeaderHealTest,
                         ::testing::Values(500,
                                           1500,
                                           3000,
                                           5000,
                                           5500,
                                           5900,
                                           6000,
                                           6100,
                                           6200,
                                           6300,
                                           6400,
                                           6500,
                                           6600,
                                           6800,
                                           7000,
                                           8000,
                                           10000,
                                           12000,
                                           20000));

// Guards against lasting tasks that stand still for over 9 s, since the former leader's end is
// never known.
TEST_F(CutOffLeaderTest, TasksOfAFormerLeaderWithFewWorkersContinueElsewhere)
{
  this->CutOffLeaderWith({ "w0", "w1" });
  this->loop.RunFor(seconds(9));
  EXPECT_EQ(this->CountRunsOn({ "w0", "w1" }), 0U);
  EXPECT_EQ(this->CountTasksAtWork(), kTasks);
  EXPECT_EQ(this->Violations(), "");
}

// Guards against a loss of all runs in an outage of the store: no leader is elected, and the polls
// that the workers accept confirm the present one.
TEST_F(CutOffLeaderTest, NothingLapsesInAnOutageOfTheStore)
{
  for (bool isSilent : { false, true }) {
    (isSilent ? this->store.isSilent : this->store.isDown) = true;
    std::size_t started = this->fleet.startedRuns;
    for (int step = 0; step < 200; ++step) {
      this->loop.RunFor(milliseconds(100));
      ASSERT_EQ(this->CountTasksAtWork(), kTasks) << step;
    }
    this->store.isSilent = false;
    this->store.isDown = false;
    this->loop.RunFor(seconds(5));
    EXPECT_EQ(this->fleet.startedRuns, started);
    EXPECT_EQ(this->Violations(), "");
  }
}

// Guards against a leader that counts other voters than a later one reads: the record of the new
// voters gets no response and is applied late.
TEST_F(CutOffLeaderTest, VotersAreStoredThoughTheirRecordGotNoResponse)
{
  int attempts = 0;
  this->store.commitFault = [&attempts](const KeyValueTransaction& aTransaction) {
    bool isLeases =
      std::any_of(aTransaction.puts.begin(), aTransaction.puts.end(), [](const auto& aPut) {
        return aPut.key == "daisydrift/group/leases";
      });
    return isLeases && ++attempts == 1 ? CommitFault::AppliedLate : CommitFault::None;
  };
  this->fleet.AddWorker(this->store, "w6");
  this->loop.RunFor(seconds(6));
  EXPECT_GT(attempts, 1);
  nlohmann::json record = nlohmann::json::parse(this->store.Value("daisydrift/group/leases"));
  EXPECT_EQ(record["voters"].size(), 7U);
  this->store.isDown = true;
  this->loop.RunFor(seconds(20));
  EXPECT_EQ(this->CountTasksAtWork(), kTasks);
}

// The leader can't reach two of the six workers either; their leases end, the others' do not.
TEST_F(CutOffLeaderTest, OutageOfTheStoreAndSomeWorkersLosesOnlyTheirRuns)
{
  this->store.isDown = true;
  this->fleet.SetUnreachable("w0", true);
  this->fleet.SetUnreachable("w1", true);
  std::size_t kept = this->CountRunsOn(this->Others({ "w0", "w1" }));
  this->loop.RunFor(seconds(20));
  EXPECT_EQ(this->CountRunsOn({ "w0", "w1" }), 0U);
  EXPECT_EQ(this->CountRunsOn(this->Others({ "w0", "w1" })), kept);
}

// Guards against two runs of a task: workers that restart forget that they have accepted a poll of
// the new leader, and may accept those of the former one again.
TEST_F(CutOffLeaderTest, RestartedWorkersDoNotConfirmTheFormerLeader)
{
  this->CutOffLeaderWith({ "w0", "w1" });
  this->loop.RunFor(seconds(3));
  for (const char* id : { "w2", "w3", "w4" }) {
    this->fleet.Restart(id);
  }
  this->processes[this->former]->state.unreachable = { "w5" };
  this->CutOffOthersFrom({ "w0", "w1", "w2", "w3", "w4" });
  this->loop.RunFor(seconds(12));
  EXPECT_EQ(this->Violations(), "");
  EXPECT_EQ(this->CountRunsOn({ "w0", "w1" }), 0U);
}

// Guards against two runs of a task: the former leader's voters are most workers of its time, and
// the new leader knows more workers that have joined since than these.
TEST_F(CutOffLeaderTest, WorkersThatJoinedLaterDoNotFenceTheFormerLeader)
{
  this->CutOffLeaderWith({ "w0", "w1", "w2", "w3" });
  this->loop.RunFor(seconds(1));
  for (int number = 6; number < 20; ++number) {
    WorkerId id = "w" + std::to_string(number);
    this->fleet.AddWorker(this->store, id);
    this->processes[this->former]->state.unreachable.insert(id);
  }
  this->loop.RunFor(seconds(8));
  EXPECT_EQ(this->CountTasksAtWork(), kTasks);
  EXPECT_EQ(this->Violations(), "");
  this->Heal();
  this->loop.RunFor(seconds(10));
  EXPECT_EQ(this->CountTasksAtWork(), kTasks);
  EXPECT_EQ(this->Violations(), "");
}

class SuspendedLeaderTest
  : public CutOffLeaderTest
  , public ::testing::WithParamInterface<int>
{};

// Guards against two runs of a task: after a suspension the former leader processes responses that
// arrived meanwhile, and confirmations from before it, as if they were new.
TEST_P(SuspendedLeaderTest, ResumedLeaderDoesNotExtendLeasesBeyondItsLastConfirmation)
{
  this->former = this->LeaderNumber();
  ProcessState& state = this->processes[this->former]->state;
  state.isPaused = true;
  this->CutOffOthersFrom({ "w0", "w1" });
  this->loop.RunFor(milliseconds(GetParam()));
  // Only the two workers that the new leader can't reach do not reject it.
  state.isCutOff = true;
  state.unreachable = this->Others({ "w0", "w1" });
  state.isPaused = false;
  this->loop.RunFor(seconds(12));
  EXPECT_EQ(this->Violations(), "");
  this->Heal();
  this->loop.RunFor(seconds(10));
  EXPECT_EQ(this->Violations(), "");
  EXPECT_EQ(this->CountTasksAtWork(), kTasks);
}

INSTANTIATE_TEST_SUITE_P(Durations,
                         SuspendedLeaderTest,
                         ::testing::Values(900, 2000, 3500, 4500, 5500, 7000));

} // namespace
} // namespace daisydrift
