// A leader whose process is suspended, and whose successor has started its tasks, starts none of
// them again when it goes on.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SuspendedLeaderTest : public Cluster
{};

// Guards against two runs of a task at once: the former leader goes on with a start whose record
// was stored before its suspension, and the worker has lost the successor's fencing number by a
// restart.
TEST_F(SuspendedLeaderTest, StartIsNotSentToARestartedWorkerAfterTheSuspension)
{
  for (int number = 0; number < 3; ++number) {
    this->StartInstance(number);
  }
  this->loop.RunFor(seconds(2));
  this->fleet.runTime = seconds(4);
  ProcessState& leader = this->processes[this->LeaderNumber()]->state;
  this->store.commitFault = [&leader](const KeyValueTransaction& aTransaction) {
    for (const auto& put : aTransaction.puts) {
      leader.isPaused = leader.isPaused || put.key.rfind("daisydrift/progress/", 0) == 0;
    }
    return CommitFault::None;
  };
  ASSERT_EQ(this->Submit(this->LeaderNumber(), "job", 1), SubmitOutcome::Accepted);
  auto hasSuccessor = [this, former = this->LeaderNumber()] {
    for (const auto& [number, instance] : this->instances) {
      if (number != former && instance->IsLeading()) {
        return true;
      }
    }
    return false;
  };
  while (!hasSuccessor()) {
    this->loop.RunFor(milliseconds(1));
  }
  ASSERT_TRUE(leader.isPaused);
  this->store.commitFault = nullptr;
  // The worker on which the former leader placed the task has answered the successor, which has
  // placed the task on another one.
  this->loop.RunFor(milliseconds(6));
  this->fleet.Kill("w0");
  this->loop.RunFor(milliseconds(150));
  ASSERT_EQ(this->fleet.startedRuns, 1U);
  this->fleet.Restart("w0");
  leader.isPaused = false;
  this->loop.RunFor(seconds(1));
  EXPECT_EQ(this->fleet.startedRuns, 1U);
  EXPECT_TRUE(this->fleet.violations.empty()) << this->fleet.violations[0];
}

} // namespace
} // namespace daisydrift
