// Every stored job becomes known to the leader within a bounded time after a fault, although its
// notice was lost and the job list has changed much in the meantime.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time in which a leader that is reachable must know an accepted job (the platform's bound).
constexpr milliseconds kMaxTimeUntilKnown{ 3000 };
/// Run time of a task, with the start.
constexpr milliseconds kRunTime{ 800 };
constexpr int kFollowers = 2;

class StoredJobsTest : public Cluster
{
protected:
  StoredJobsTest()
  {
    for (int number = 0; number <= kFollowers; ++number) {
      this->StartInstance(number);
    }
    this->loop.RunFor(seconds(2));
    this->leader = this->LeaderNumber();
    this->follower = (this->leader + 1) % (kFollowers + 1);
    this->peers.isCallLost = [this](const std::string& aMethod) {
      return this->areNoticesLost && aMethod.rfind("notice", 0) == 0;
    };
  }

  /// Submits aCount small jobs through a follower.
  void SubmitMany(int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      JobId id = "job" + std::to_string(this->submitted++);
      ASSERT_EQ(this->Submit(this->follower, id, 1), SubmitOutcome::Accepted);
    }
  }

  std::size_t CountCompleted()
  {
    std::size_t completed = 0;
    for (int number = 0; number < this->submitted; ++number) {
      Result<DispatchState> state = this->State(this->leader, "job" + std::to_string(number));
      completed += state && *state == DispatchState::Completed ? 1 : 0;
    }
    return completed;
  }

  int leader = -1;
  int follower = -1;
  int submitted = 0;
  bool areNoticesLost = false;
};

TEST_F(StoredJobsTest, JobsAreFoundAfterMoreChangesThanOnePollCanReceive)
{
  this->areNoticesLost = true;
  // The poll of the job list fails until the changes since the last one are too many for it.
  bool isWatchLost = true;
  this->store.isWatchResponseLost = [&isWatchLost](const std::string& aPrefix) {
    return isWatchLost && aPrefix == "daisydrift/jobs/";
  };
  this->store.maxResponseBytes = 4096;
  this->SubmitMany(40);
  this->loop.RunFor(seconds(4));
  isWatchLost = false;
  // 40 tasks on 16 cores.
  this->loop.RunFor(kMaxTimeUntilKnown + 3 * kRunTime);
  EXPECT_EQ(this->CountCompleted(), 40U);
}

TEST_F(StoredJobsTest, WorkersAreFoundAfterMoreChangesThanOnePollCanReceive)
{
  bool isWatchLost = true;
  this->store.isWatchResponseLost = [&isWatchLost](const std::string& aPrefix) {
    return isWatchLost && aPrefix == "workers/";
  };
  this->store.maxResponseBytes = 512;
  for (int number = 0; number < 4; ++number) {
    this->fleet.Kill("w" + std::to_string(number));
    this->store.Remove("workers/w" + std::to_string(number));
  }
  for (int number = 0; number < 100; ++number) {
    this->fleet.AddWorker(this->store, "new" + std::to_string(number));
  }
  this->loop.RunFor(seconds(2));
  isWatchLost = false;
  this->SubmitMany(1);
  this->loop.RunFor(kMaxTimeUntilKnown + kRunTime);
  EXPECT_EQ(this->CountCompleted(), 1U);
}

TEST_F(StoredJobsTest, NoticeIsRepeatedUntilTheLeaderHasTakenIt)
{
  this->areNoticesLost = true;
  this->store.isWatchResponseLost = [](const std::string& aPrefix) {
    return aPrefix == "daisydrift/jobs/";
  };
  this->store.isPrefixUnavailable = [](const std::string& aPrefix) {
    return aPrefix == "daisydrift/jobs/";
  };
  this->SubmitMany(5);
  this->loop.RunFor(seconds(6));
  this->areNoticesLost = false;
  this->loop.RunFor(kMaxTimeUntilKnown + kRunTime);
  EXPECT_EQ(this->CountCompleted(), 5U);
}

TEST_F(StoredJobsTest, JobOfAKilledInstanceIsCancelledThoughTheLeaderDoesNotKnowIt)
{
  this->areNoticesLost = true;
  this->store.isWatchResponseLost = [](const std::string& aPrefix) {
    return aPrefix == "daisydrift/jobs/";
  };
  this->store.isPrefixUnavailable = [](const std::string& aPrefix) {
    return aPrefix == "daisydrift/jobs/";
  };
  this->SubmitMany(1);
  this->KillInstance(this->follower);
  this->areNoticesLost = false;
  int other = 3 - this->leader - this->follower;
  EXPECT_FALSE(this->Cancel(other, "job0"));
  Result<DispatchState> state = this->State(other, "job0");
  ASSERT_TRUE(state.HasValue());
  EXPECT_EQ(*state, DispatchState::Cancelled);
}

// The notice waits in an instance that the leader can't hear, for longer than finished jobs are
// kept.
TEST_F(StoredJobsTest, NoticeThatArrivesAfterTheRetentionTimeDoesNotRunTheJobAgain)
{
  this->areNoticesLost = true;
  this->SubmitMany(1);
  for (int second = 0; second < 140; ++second) {
    ASSERT_EQ(this->Submit(this->leader, "other" + std::to_string(second), 1),
              SubmitOutcome::Accepted);
    this->loop.RunFor(seconds(1));
  }
  this->areNoticesLost = false;
  this->loop.RunFor(seconds(3));
  for (const auto& [task, successes] : this->fleet.successes) {
    EXPECT_EQ(successes, 1) << task.job;
  }
}

// Without other work the records of a finished job are cleaned up late.
TEST_F(StoredJobsTest, ListThatIsReadAnewAfterTheRetentionTimeDoesNotRunAJobAgain)
{
  this->SubmitMany(1);
  this->loop.RunFor(seconds(140));
  bool isWatchLost = true;
  this->store.isWatchResponseLost = [&isWatchLost](const std::string& aPrefix) {
    return isWatchLost && aPrefix == "daisydrift/jobs/";
  };
  this->loop.RunFor(seconds(4));
  isWatchLost = false;
  this->loop.RunFor(seconds(3));
  EXPECT_EQ(this->fleet.startedRuns, 1U);
  for (const auto& [task, successes] : this->fleet.successes) {
    EXPECT_EQ(successes, 1) << task.job;
  }
}

// Guards against a finished job that is shown as queued: its progress is deleted after the
// retention time, and its marker with another transaction.
TEST_F(StoredJobsTest, AJobOfWhichOnlyTheMarkerIsLeftIsUnknown)
{
  this->store.Put("daisydrift/jobs/old", "closed");
  for (int instance : { this->leader, this->follower }) {
    EXPECT_EQ(this->State(instance, "old").Error(), make_error_code(Errc::NotFound));
  }
}

// The same marker beside a final state that was stored between the reads of progress and marker.
TEST_F(StoredJobsTest, AJobThatIsClosedWhileItIsReadHasItsFinalState)
{
  // Another instance leads that has closed the job; this one asks the store.
  this->peers.isCallLost = [](const std::string& aMethod) { return aMethod == "query"; };
  bool isFirst = true;
  this->store.isReadResponseLost = [this, &isFirst] {
    if (std::exchange(isFirst, false)) {
      this->store.Put("daisydrift/progress/job", R"({"state":2,"finished_ms":1})");
      this->store.Put("daisydrift/jobs/job", "closed");
    }
    return false;
  };
  Result<DispatchState> state = this->State(this->follower, "job");
  ASSERT_TRUE(state);
  EXPECT_EQ(*state, DispatchState::Completed);
}

// During an upgrade the leader may be of a version that takes one job a call.
TEST_F(StoredJobsTest, LeaderOfAnEarlierVersionGetsOneJobACall)
{
  this->peers.isCallUnknown = [](const std::string& aMethod) { return aMethod == "notices"; };
  this->store.isWatchResponseLost = [](const std::string& aPrefix) {
    return aPrefix == "daisydrift/jobs/";
  };
  this->store.isPrefixUnavailable = [](const std::string& aPrefix) {
    return aPrefix == "daisydrift/jobs/";
  };
  this->SubmitMany(5);
  this->loop.RunFor(seconds(1) + kRunTime);
  EXPECT_EQ(this->CountCompleted(), 5U);
}

} // namespace
} // namespace daisydrift
