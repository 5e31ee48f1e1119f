// Commands for an earlier incarnation of a worker that has started again under its id.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RestartedWorkerTest : public Cluster
{
protected:
  RestartedWorkerTest()
  {
    for (int number = 0; number < 3; ++number) {
      this->StartInstance(number);
    }
    this->loop.RunFor(seconds(2));
  }

  int ReplaceLeader()
  {
    this->KillInstance(this->LeaderNumber());
    this->loop.RunFor(seconds(3));
    return this->LeaderNumber();
  }
};

// Guards against a worker that carries out commands for its earlier incarnation, since it has
// forgotten the fencing number and the leader goes on with the same one.
TEST_F(RestartedWorkerTest, ARestartedWorkerIsFencedByANumberOfItsOwn)
{
  int leader = this->LeaderNumber();
  ASSERT_GE(leader, 0);
  Epoch usual = this->fleet.FencingToken("w1");
  for (Epoch restarts = 1; restarts <= 3; ++restarts) {
    this->fleet.Restart("w0");
    this->loop.RunFor(seconds(2));
    EXPECT_EQ(this->fleet.FencingToken("w0"), usual + restarts);
    EXPECT_EQ(this->fleet.FencingToken("w1"), usual);
  }
  EXPECT_EQ(this->LeaderNumber(), leader);
  ASSERT_EQ(this->Submit(leader, "wide", 16), SubmitOutcome::Accepted);
  this->loop.RunFor(milliseconds(300));
  EXPECT_EQ(this->fleet.CountRuns("w0"), 4U) << "it gets tasks again";
  // The next leader's numbers are above all of this one.
  Epoch highest = this->fleet.FencingToken("w0");
  ASSERT_GE(this->ReplaceLeader(), 0);
  EXPECT_GT(this->fleet.FencingToken("w0"), highest);
  EXPECT_EQ(this->fleet.FencingToken("w0"), this->fleet.FencingToken("w1"));
  EXPECT_TRUE(this->fleet.violations.empty());
}

// Guards against a term that ends since its own worker refuses it: the worker had restarted, left
// the list and came back, and the leader had forgotten the number by which it had fenced the
// worker.
TEST_F(RestartedWorkerTest, ARestartedWorkerThatLeavesTheListAndComesBackEndsNoTerm)
{
  int leader = this->LeaderNumber();
  Epoch usual = this->fleet.FencingToken("w1");
  for (bool restartsMeanwhile : { false, true }) {
    SCOPED_TRACE(restartsMeanwhile);
    this->fleet.Restart("w0");
    this->loop.RunFor(seconds(2));
    Epoch before = this->fleet.FencingToken("w0");
    this->store.Remove("workers/w0");
    this->loop.RunFor(seconds(3));
    if (restartsMeanwhile) {
      this->fleet.Restart("w0");
    }
    this->fleet.AddWorker(this->store, "w0");
    this->loop.RunFor(seconds(3));
    EXPECT_EQ(this->LeaderNumber(), leader);
    EXPECT_EQ(this->fleet.FencingToken("w1"), usual);
    EXPECT_GT(this->fleet.FencingToken("w0"), before)
      << "it may have restarted while nobody polled it";
  }
  ASSERT_EQ(this->Submit(leader, "wide", 16), SubmitOutcome::Accepted);
  this->loop.RunFor(milliseconds(300));
  EXPECT_EQ(this->fleet.CountRuns("w0"), 4U);
}

// A start arrives 2 s late, for each time of the worker's restart. No second run of the task, and
// the refusal by the worker ends no term.
TEST_F(RestartedWorkerTest, ALateStartForTheEarlierIncarnationIsRefused)
{
  constexpr int kRestartTimes = 20;
  this->fleet.reachesNextIncarnation = true;
  int leader = this->LeaderNumber();
  for (int step = 0; step < kRestartTimes; ++step) {
    SCOPED_TRACE(step);
    std::optional<WorkerId> worker;
    this->fleet.startFault = [&worker](const StartCommand& aCommand) {
      bool isFirst = !worker;
      worker = isFirst ? aCommand.worker : worker;
      return isFirst ? StartFault::AppliedLate : StartFault::None;
    };
    JobId id = "job" + std::to_string(step);
    ASSERT_EQ(this->Submit(leader, id, 1), SubmitOutcome::Accepted);
    while (!worker) {
      this->loop.RunFor(milliseconds(1));
    }
    this->loop.RunFor(milliseconds(100 * step));
    this->fleet.Restart(*worker);
    this->loop.RunFor(seconds(5));
    EXPECT_EQ(this->fleet.successes[(TaskName{ id, 0, 0, 0 })], 1);
    EXPECT_EQ(*this->State(leader, id), DispatchState::Completed);
    EXPECT_EQ(this->LeaderNumber(), leader);
  }
  EXPECT_TRUE(this->fleet.violations.empty()) << this->fleet.violations[0];
}

} // namespace
} // namespace daisydrift
