// How long a leader waits for the runs of a worker that has restarted and does not answer any more.

#include "DispatcherFixture.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RestartedWorkerTest : public DispatcherFixture
{};

// Guards against two runs of one task. A command for the worker's earlier incarnation is carried
// out late by the next one, which grants the longest lease, as the lease end is on the earlier
// clock.
TEST_F(RestartedWorkerTest, WorkerThatRestartedInThisTermMayHaveTheLongestLease)
{
  this->workerClock = milliseconds(500000);
  this->AddWorker("w1");
  this->AddWorker("w2", 0);
  this->Advance(milliseconds(50));
  ASSERT_TRUE(this->dispatcher.ExtendWorkerLease("w1", this->now).has_value());
  this->incarnation = 2;
  this->workerClock = milliseconds(300);
  this->Report("w1", {});
  this->Add(Job("job", 1));
  std::vector<StartCommand> commands = this->RoundAccepted();
  ASSERT_EQ(commands.size(), 1U);
  ASSERT_EQ(commands[0].worker, "w1");
  this->Advance(milliseconds(500));
  this->Report("w1", { Running(commands[0]) });
  // Now the late command is carried out, and the worker is cut off.
  TimePoint leaseEnd = this->now + this->settings.maxLease;
  this->dispatcher.OnPollFailed("w1");
  this->incarnation = 1;
  this->AddWorker("w3");
  while (this->Round().empty()) {
    ASSERT_LT(this->now, leaseEnd + seconds(20));
    this->Advance(milliseconds(50));
    this->Report("w3", {});
  }
  EXPECT_GE((this->now - leaseEnd) / milliseconds(1), 0);
}

} // namespace
} // namespace daisydrift
