// Leadership leaves an instance that is too small for it, without a gap for the jobs.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Campaign delay of an instance with half the cores of the largest ones.
constexpr milliseconds kSmallInstanceDelay{ 325 };

class LeadershipHandoverTest : public Cluster
{};

// A small instance that was elected while the store refused the large ones would otherwise lead for
// good, and be overloaded by a large fleet.
TEST_F(LeadershipHandoverTest, SmallLeaderHandsOverToALargeInstance)
{
  this->StartInstance(0, kSmallInstanceDelay);
  this->loop.RunFor(seconds(2));
  ASSERT_EQ(this->LeaderNumber(), 0);
  ASSERT_EQ(this->Submit(0, "job", 16), SubmitOutcome::Accepted);
  this->StartInstance(1);
  this->StartInstance(2, kSmallInstanceDelay);
  for (int round = 0; round < 20; ++round) {
    this->loop.RunFor(milliseconds(200));
    ASSERT_EQ(this->Submit(2, "during" + std::to_string(round), 1), SubmitOutcome::Accepted);
  }
  this->loop.RunFor(seconds(3));
  EXPECT_EQ(this->LeaderNumber(), 1);
  for (int round = 0; round < 20; ++round) {
    Result<DispatchState> state = this->State(2, "during" + std::to_string(round));
    EXPECT_TRUE(state && *state == DispatchState::Completed) << round;
  }
  EXPECT_TRUE(this->fleet.violations.empty()) << this->fleet.violations[0];
}

// Each change of leader costs a recovery.
TEST_F(LeadershipHandoverTest, LargeInstanceThatTheStoreRefusesNowAndThenIsNotGivenLeadership)
{
  this->StartInstance(0, kSmallInstanceDelay);
  this->loop.RunFor(seconds(2));
  this->StartInstance(1);
  for (int round = 0; round < 10; ++round) {
    this->processes[1]->store.isRefusingCalls = true;
    this->loop.RunFor(milliseconds(350));
    this->processes[1]->store.isRefusingCalls = false;
    this->loop.RunFor(milliseconds(400));
    EXPECT_EQ(this->LeaderNumber(), 0) << round;
  }
  this->loop.RunFor(seconds(5));
  EXPECT_EQ(this->LeaderNumber(), 1);
}

// Guards against a small leader that leads on while the large instances send more writes than the
// store's rate limit allows: single refusals counted as if the store did not serve them.
TEST_F(LeadershipHandoverTest, LargeInstanceWithSingleRefusedWritesIsGivenLeadership)
{
  this->StartInstance(0, kSmallInstanceDelay);
  this->loop.RunFor(seconds(2));
  this->StartInstance(1);
  this->loop.RunFor(milliseconds(500));
  for (int round = 0; round < 10 && this->LeaderNumber() == 0; ++round) {
    bool isRefused = false;
    this->store.commitFault = [&isRefused](const KeyValueTransaction& aTransaction) {
      if (isRefused || aTransaction.puts.empty() ||
          aTransaction.puts[0].key.rfind("daisydrift/jobs/", 0) != 0) {
        return CommitFault::None;
      }
      isRefused = true;
      return CommitFault::Refused;
    };
    ASSERT_EQ(this->Submit(1, "job" + std::to_string(round), 1), SubmitOutcome::Accepted);
    EXPECT_TRUE(isRefused);
    this->store.commitFault = nullptr;
    this->loop.RunFor(milliseconds(500));
  }
  EXPECT_EQ(this->LeaderNumber(), 1);
}

// Guards against a group without a leader until the lease ends, while the store serves one of many.
TEST_F(LeadershipHandoverTest, RefusedLeaderFindsTheMemberThatTheStoreServes)
{
  constexpr int kRefused = 11;
  this->StartInstance(0);
  this->loop.RunFor(seconds(2));
  ASSERT_EQ(this->LeaderNumber(), 0);
  for (int number = 1; number < kRefused; ++number) {
    this->StartInstance(number);
    this->loop.RunFor(milliseconds(10));
  }
  this->StartInstance(kRefused, kSmallInstanceDelay);
  this->loop.RunFor(seconds(3));
  ASSERT_EQ(this->LeaderNumber(), 0);
  for (int number = 0; number < kRefused; ++number) {
    this->processes[number]->store.isRefusingCalls = true;
  }
  // Covers the next renewal, its confirmation, the offers and an election; shorter than the lease.
  this->loop.RunFor(milliseconds(900));
  EXPECT_TRUE(this->instances[kRefused]->IsLeading());
}

TEST_F(LeadershipHandoverTest, LeadershipStaysAmongInstancesOfOneSize)
{
  this->StartInstance(0, kSmallInstanceDelay);
  this->loop.RunFor(seconds(2));
  this->StartInstance(1, kSmallInstanceDelay);
  this->StartInstance(2, kSmallInstanceDelay + milliseconds(300));
  this->loop.RunFor(seconds(10));
  EXPECT_EQ(this->LeaderNumber(), 0);
}

} // namespace
} // namespace daisydrift
