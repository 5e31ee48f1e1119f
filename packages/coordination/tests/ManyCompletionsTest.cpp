// Workers that list only some of their completions, while the store is unavailable.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ManyCompletionsTest : public Cluster
{
protected:
  ManyCompletionsTest()
  {
    this->fleet.maxCompletionsPerReport = 2;
    this->fleet.runTime = milliseconds(1500);
    for (int number = 0; number < 3; ++number) {
      this->StartInstance(number);
    }
    this->loop.RunFor(seconds(2));
    EXPECT_EQ(this->Submit(0, "job", kTasks), SubmitOutcome::Accepted);
    this->loop.RunFor(milliseconds(500));
    EXPECT_EQ(this->fleet.startedRuns, kTasks);
  }

  void ExpectCompletedWithoutMoreStarts()
  {
    this->loop.RunFor(seconds(4));
    EXPECT_EQ(*this->State(this->instances.begin()->first, "job"), DispatchState::Completed);
    EXPECT_EQ(this->fleet.startedRuns, kTasks);
    EXPECT_TRUE(this->fleet.violations.empty()) << this->fleet.violations.front();
  }

  /// All that the workers can run at the same time.
  static constexpr std::uint32_t kTasks = 16;
};

// Guards against second runs of tasks that have succeeded during an outage of the store.
TEST_F(ManyCompletionsTest, TasksThatSucceedDuringAnOutageRunOnce)
{
  this->store.isDown = true;
  this->loop.RunFor(milliseconds(4500));
  this->store.isDown = false;
  this->ExpectCompletedWithoutMoreStarts();
}

// The same with a new leader, which knows of no completion.
TEST_F(ManyCompletionsTest, TasksThatSucceedBeforeAChangeOfLeaderRunOnce)
{
  this->store.isDown = true;
  this->loop.RunFor(milliseconds(3000));
  this->KillInstance(this->LeaderNumber());
  this->loop.RunFor(milliseconds(500));
  this->store.isDown = false;
  this->ExpectCompletedWithoutMoreStarts();
}

} // namespace
} // namespace daisydrift
