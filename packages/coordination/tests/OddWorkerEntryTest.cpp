// One odd entry of another writer among those of the workers.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kOdd = "odd";

class OddWorkerEntryTest : public Cluster
{
protected:
  void StartLeader()
  {
    this->StartInstance(0);
    this->loop.RunFor(seconds(2));
    ASSERT_EQ(this->LeaderNumber(), 0);
  }
  std::uint64_t CountOdd() const
  {
    return this->metrics.CounterValue("worker_entries_unreadable_total");
  }
};

// Guards against a list that is no longer followed, and against workers that are lost with the odd
// entry's page.
TEST_F(OddWorkerEntryTest, OthersOfTheListHold)
{
  for (int number = 4; number < 350; ++number) {
    this->fleet.AddWorker(this->store, "w" + std::to_string(number));
  }
  this->store.pageSize = 100;
  this->store.Put("workers/v", kOdd);    // before all others
  this->store.Put("workers/w17x", kOdd); // among them
  this->store.Put("workers/z", kOdd);    // the last one of the last page
  this->StartLeader();
  EXPECT_EQ(this->CountOdd(), 3U);
  // A worker that joins later gets its share: 351 workers of four cores each.
  this->fleet.AddWorker(this->store, "late");
  this->loop.RunFor(seconds(1));
  this->fleet.runTime = seconds(2);
  ASSERT_EQ(this->Submit(0, "job", 4 * 351), SubmitOutcome::Accepted);
  this->loop.RunFor(seconds(1));
  EXPECT_EQ(this->fleet.CountRuns("late"), 4U);
  EXPECT_EQ(this->fleet.CountRuns("w349"), 4U);
  EXPECT_EQ(this->fleet.startedRuns, 4 * 351U);
  EXPECT_TRUE(this->fleet.violations.empty()) << this->fleet.violations[0];
}

// Guards against tasks that run twice when the entry of their worker turns odd.
TEST_F(OddWorkerEntryTest, RunsOfAWorkerWhoseEntryTurnsOddAreNotDoubled)
{
  this->StartLeader();
  this->fleet.runTime = seconds(2);
  ASSERT_EQ(this->Submit(0, "job", 16), SubmitOutcome::Accepted);
  this->loop.RunFor(milliseconds(500));
  ASSERT_EQ(this->fleet.CountRuns("w1"), 4U);
  this->store.Put("workers/w1", kOdd);
  this->loop.RunFor(seconds(1));
  EXPECT_EQ(this->fleet.CountRuns("w1"), 4U);
  // Nothing else starts there.
  ASSERT_EQ(this->Submit(0, "later", 16), SubmitOutcome::Accepted);
  this->loop.RunFor(seconds(2));
  EXPECT_EQ(this->fleet.CountRuns("w1"), 0U);
  EXPECT_EQ(*this->State(0, "job"), DispatchState::Completed);
  this->loop.RunFor(seconds(6));
  EXPECT_EQ(*this->State(0, "later"), DispatchState::Completed);
  EXPECT_EQ(this->fleet.startedRuns, 32U);
  EXPECT_TRUE(this->fleet.violations.empty()) << this->fleet.violations[0];
}

// Guards against tasks that run twice after a change of the leader: the next one has no address of
// the worker whose entry is odd.
TEST_F(OddWorkerEntryTest, RunsOfSuchAWorkerAreNotDoubledByTheNextLeader)
{
  this->StartLeader();
  this->StartInstance(1);
  this->loop.RunFor(seconds(1));
  this->fleet.runTime = seconds(2);
  ASSERT_EQ(this->Submit(0, "job", 16), SubmitOutcome::Accepted);
  this->loop.RunFor(milliseconds(300));
  this->store.Put("workers/w1", kOdd);
  this->loop.RunFor(milliseconds(600));
  ASSERT_EQ(this->fleet.CountRuns("w1"), 4U);
  this->KillInstance(0);
  this->loop.RunFor(seconds(20));
  EXPECT_EQ(*this->State(1, "job"), DispatchState::Completed);
  EXPECT_TRUE(this->fleet.violations.empty()) << this->fleet.violations[0];
}

// Guards against a count and a log line at each reading of the list.
TEST_F(OddWorkerEntryTest, EachVersionOfAnEntryIsCountedOnce)
{
  this->store.Put("workers/x", kOdd);
  this->StartLeader();
  EXPECT_EQ(this->CountOdd(), 1U);
  for (int reading = 0; reading < 3; ++reading) {
    this->store.Compact(); // The list is read anew.
    this->fleet.AddWorker(this->store, "y" + std::to_string(reading));
    this->store.Compact();
    this->loop.RunFor(seconds(2));
  }
  EXPECT_EQ(this->CountOdd(), 1U);
  this->store.Put("workers/x", kOdd);
  this->loop.RunFor(seconds(1));
  EXPECT_EQ(this->CountOdd(), 2U);
}

} // namespace
} // namespace daisydrift
