// Callers' requests while instances, the leader among them, are told to stop.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kCallTimeout{ 2500 };

class PlannedStopTest : public Cluster
{
protected:
  PlannedStopTest()
  {
    for (int number = 0; number < 3; ++number) {
      this->StartInstance(number);
    }
    this->loop.RunFor(seconds(2));
  }
};

// Guards against cancellations that a planned stop gives up: the leader is told to stop while it
// stores them, and the next leader has to carry them out.
TEST_F(PlannedStopTest, CancellationThatAStoppingLeaderHasNotStoredIsCarriedThrough)
{
  this->fleet.runTime = seconds(30);
  int leader = this->LeaderNumber();
  ASSERT_EQ(this->Submit(leader, "job", 4), SubmitOutcome::Accepted);
  this->loop.RunFor(milliseconds(300));
  std::optional<std::error_code> result;
  this->store.responseTime = milliseconds(100);
  this->instances[leader]->Cancel(
    "job", kCallTimeout, [&result](std::error_code aError) { result = aError; });
  this->loop.RunFor(milliseconds(20));
  this->instances[leader]->BeginStop();
  this->store.responseTime = milliseconds(4);
  this->loop.RunFor(kCallTimeout);
  ASSERT_TRUE(result);
  EXPECT_FALSE(*result) << result->message();
  this->loop.RunFor(seconds(3));
  EXPECT_EQ(*this->State((leader + 1) % 3, "job"), DispatchState::Cancelled);
}

// Guards against a group without a leader until a lease expires: the store refused the one write
// with which a stopping leader resigns.
TEST_F(PlannedStopTest, StoppingLeaderResignsAlthoughTheStoreRefusesItAtFirst)
{
  int leader = this->LeaderNumber();
  for (CommitFault fault : { CommitFault::Refused, CommitFault::ResponseLost }) {
    int refusals = 0;
    this->store.commitFault = [&](const KeyValueTransaction& aTransaction) {
      bool isResignation = aTransaction.puts.empty() && !aTransaction.removals.empty();
      return isResignation && ++refusals == 1 ? fault : CommitFault::None;
    };
    leader = this->LeaderNumber();
    this->instances[leader]->BeginStop();
    this->loop.RunFor(milliseconds(800));
    EXPECT_GE(this->LeaderNumber(), 0);
    this->KillInstance(leader);
    this->StartInstance(leader);
    this->loop.RunFor(seconds(2));
  }
}

// Guards against calls to a leader that has been replaced: a stopping instance did not learn of the
// leaders that followed the one it knew.
TEST_F(PlannedStopTest, StoppingInstanceFollowsChangesOfLeader)
{
  this->StartInstance(3);
  this->loop.RunFor(seconds(1));
  int stopping = (this->LeaderNumber() + 1) % 4;
  this->fleet.runTime = seconds(30);
  this->instances[stopping]->BeginStop();
  // Its membership expires, so that no leader announces itself to it.
  this->loop.RunFor(seconds(4));
  for (int change = 0; change < 2; ++change) {
    int leader = this->LeaderNumber();
    ASSERT_GE(leader, 0);
    this->instances[leader]->BeginStop();
    this->loop.RunFor(milliseconds(500));
    this->KillInstance(leader);
    JobId job = "job" + std::to_string(change);
    ASSERT_EQ(this->Submit(stopping, job, 2), SubmitOutcome::Accepted);
    TimePoint begin = this->loop.Now();
    EXPECT_FALSE(this->Cancel(stopping, job));
    EXPECT_LT(this->loop.Now() - begin, milliseconds(500));
  }
}

// Guards against requests that wait until their deadline although their own instance has become the
// leader meanwhile.
TEST_F(PlannedStopTest, RequestThatWaitsForALeaderIsServedByItsOwnInstanceOnceItLeads)
{
  this->fleet.runTime = seconds(30);
  int leader = this->LeaderNumber();
  ASSERT_EQ(this->Submit(leader, "job", 2), SubmitOutcome::Accepted);
  this->loop.RunFor(milliseconds(200));
  this->store.responseTime = milliseconds(80);
  this->instances[leader]->BeginStop();
  std::map<int, std::error_code> cancelled;
  std::map<int, Result<std::size_t>> counted;
  // Long enough for an election; the new leader has not loaded the jobs yet.
  while (this->metrics.CounterValue("terms_total") < 2) {
    this->loop.RunFor(milliseconds(1));
  }
  for (int number = 0; number < 3; ++number) {
    this->instances[number]->Cancel(
      "job", kCallTimeout, [&cancelled, number](std::error_code aError) {
        cancelled[number] = aError;
      });
    this->instances[number]->CountPending(
      "queue", kCallTimeout, [&counted, number](const Result<std::size_t>& aCount) {
        counted.emplace(number, aCount);
      });
  }
  this->loop.RunFor(milliseconds(1500));
  EXPECT_EQ(cancelled.size(), 3U);
  EXPECT_EQ(counted.size(), 3U);
  for (const auto& [number, error] : cancelled) {
    EXPECT_FALSE(error) << number << " " << error.message();
  }
  for (const auto& [number, count] : counted) {
    EXPECT_TRUE(count.HasValue()) << number;
  }
}

} // namespace
} // namespace daisydrift
