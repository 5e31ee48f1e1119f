// Jobs that are cancelled while it is not known whether they are stored.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kJobKey = "daisydrift/jobs/job";

class WithdrawnJobTest : public Cluster
{
protected:
  void StartInstances()
  {
    this->fleet.runTime = seconds(60);
    for (int number = 0; number < 3; ++number) {
      this->StartInstance(number);
    }
    this->loop.RunFor(seconds(2));
    ASSERT_GE(this->LeaderNumber(), 0);
  }

  static JobDefinition LongJob()
  {
    JobDefinition job;
    job.id = "job";
    job.queue = "queue";
    job.team = "team";
    job.steps.resize(1);
    job.steps[0].taskCount = 2;
    job.steps[0].size = { 1000, 100, 0 };
    job.steps[0].estimate = seconds(6);
    return job;
  }

  /// Submits the job; the caller does not wait.
  void SubmitLater(int aInstance, Duration aDelay)
  {
    this->loop.After(aDelay, [this, aInstance] {
      JobDefinition job = LongJob();
      job.acceptedAt = this->loop.WallClockNow();
      auto found = this->instances.find(aInstance);
      Instance* instance =
        found == this->instances.end() ? this->instances.rbegin()->second : found->second;
      instance->Submit(
        job, this->timeout, [this](SubmitOutcome aOutcome) { this->outcomes.push_back(aOutcome); });
    });
  }

  /// Cancels the job until that is acknowledged.
  void CancelUntilAcknowledged(int aInstance)
  {
    constexpr int kMaxTries = 8;
    for (int tries = 0; tries < kMaxTries; ++tries) {
      this->answer = this->Cancel(aInstance, "job");
      if (!this->answer || this->answer == make_error_code(Errc::NotFound)) {
        return;
      }
    }
    ADD_FAILURE() << "the cancelling was not acknowledged";
  }

  /// From some time after the acknowledgement on, no task of the job runs or starts.
  void ExpectNotRunning(Duration aFor)
  {
    constexpr milliseconds kStep{ 20 };
    this->loop.RunFor(seconds(2));
    std::size_t started = this->fleet.startedRuns;
    for (Duration passed{ 0 }; passed < aFor; passed += kStep) {
      this->loop.RunFor(kStep);
      ASSERT_EQ(this->CountRuns(), 0U);
    }
    EXPECT_EQ(this->fleet.startedRuns, started);
  }

  std::size_t CountRuns() const
  {
    return this->fleet.CountRuns({ "job", 0, 0, 0 }) + this->fleet.CountRuns({ "job", 0, 0, 1 });
  }

  int Follower()
  {
    int leader = this->LeaderNumber();
    for (const auto& [number, instance] : this->instances) {
      if (number != leader) {
        return number;
      }
    }
    return -1;
  }

  void ReplaceLeader()
  {
    if (int leader = this->LeaderNumber(); leader >= 0) {
      this->KillInstance(leader);
      this->StartInstance(this->nextInstance++);
    }
  }

  static bool WritesDefinition(const KeyValueTransaction& aTransaction)
  {
    return aTransaction.puts.size() == 1 && aTransaction.puts[0].key == kJobKey &&
           aTransaction.puts[0].value.front() == '{';
  }
  /// The write that keeps the job from being stored.
  static bool WritesTombstone(const KeyValueTransaction& aTransaction)
  {
    return aTransaction.puts.size() == 1 && aTransaction.puts[0].key == kJobKey &&
           aTransaction.puts[0].value.front() != '{';
  }

  Duration timeout = milliseconds(2500);
  int nextInstance = 3;
  std::vector<SubmitOutcome> outcomes;
  std::error_code answer;
};

// Guards against a job that is run in full after its cancelling was answered: the job was not in
// the store at that time, but a write of it was on its way.
TEST_F(WithdrawnJobTest, ALateOrRepeatedWriteDoesNotRunAWithdrawnJob)
{
  this->StartInstances();
  int writes = 0;
  this->store.lateDelay = seconds(5);
  this->store.commitFault = [&writes](const KeyValueTransaction& aTransaction) {
    bool isFirst = WritesDefinition(aTransaction) && ++writes == 1;
    return isFirst ? CommitFault::AppliedLate : CommitFault::None;
  };
  this->SubmitLater(this->Follower(), Duration(0));
  this->loop.RunFor(milliseconds(100));
  this->CancelUntilAcknowledged(this->LeaderNumber());
  EXPECT_EQ(this->answer, make_error_code(Errc::NotFound));
  this->ExpectNotRunning(seconds(10));
  EXPECT_GT(writes, 1);
  ASSERT_EQ(this->outcomes.size(), 1U);
  EXPECT_EQ(this->outcomes[0], SubmitOutcome::Refused);
  EXPECT_EQ(this->State(this->Follower(), "job").Error(), make_error_code(Errc::NotFound));
  EXPECT_EQ(this->Cancel(this->Follower(), "job"), make_error_code(Errc::NotFound));
}

// Guards against ids that can never be used again, and against a store that fills with tombstones.
TEST_F(WithdrawnJobTest, ATombstoneEndsWithTheRetentionTime)
{
  this->StartInstances();
  this->CancelUntilAcknowledged(this->Follower());
  EXPECT_EQ(this->answer, make_error_code(Errc::NotFound));
  this->loop.RunFor(seconds(60));
  EXPECT_EQ(this->Submit(this->Follower(), LongJob()), SubmitOutcome::Refused);
  this->ReplaceLeader();
  this->loop.RunFor(seconds(60));
  EXPECT_EQ(this->Submit(this->Follower(), LongJob()), SubmitOutcome::Refused);
  this->loop.RunFor(seconds(90));
  // Although there is no other record to write.
  EXPECT_EQ(this->store.Value(kJobKey), "");
  EXPECT_EQ(this->Submit(this->Follower(), LongJob()), SubmitOutcome::Accepted);
  this->loop.RunFor(seconds(3));
  EXPECT_EQ(this->CountRuns(), 2U);
}

// Guards against a tombstone that ends before the writes that it is there for: the caller's time is
// longer than the retention time, and the store does not answer the instance.
TEST_F(WithdrawnJobTest, NoWriteIsRepeatedAfterTheTombstoneHasEnded)
{
  this->StartInstances();
  this->store.lateDelay = std::chrono::hours(1);
  bool isLossy = true;
  this->store.commitFault = [&isLossy](const KeyValueTransaction& aTransaction) {
    return isLossy && WritesDefinition(aTransaction) ? CommitFault::AppliedLate : CommitFault::None;
  };
  this->timeout = std::chrono::minutes(10);
  this->SubmitLater(this->Follower(), Duration(0));
  this->loop.RunFor(milliseconds(100));
  this->CancelUntilAcknowledged(this->LeaderNumber());
  this->loop.RunFor(seconds(200));
  isLossy = false;
  this->ExpectNotRunning(seconds(60));
  EXPECT_EQ(this->outcomes, std::vector<SubmitOutcome>{ SubmitOutcome::Unknown });
}

// Guards against a tombstone that ends at once, since the wall clock was set.
TEST_F(WithdrawnJobTest, ATombstoneLastsThoughTheWallClockIsSet)
{
  this->StartInstances();
  this->CancelUntilAcknowledged(this->Follower());
  this->loop.RunFor(seconds(1));
  this->loop.StepWallClock(std::chrono::minutes(5));
  this->loop.RunFor(seconds(10));
  EXPECT_EQ(this->Submit(this->Follower(), LongJob()), SubmitOutcome::Refused);
  this->ExpectNotRunning(seconds(5));
}

struct Combination
{
  CommitFault definitionFault;
  CommitFault tombstoneFault;
  /// Time from the submission to the cancelling.
  milliseconds cancelAfter;
  /// The leader ends after the submission, and after the acknowledgement.
  bool isReplacedBefore;
  bool isReplacedAfter;
  /// The caller submits the job again, to another instance, after the acknowledgement.
  bool isRepeated;
};

class WithdrawnJobCombinationTest
  : public WithdrawnJobTest
  , public ::testing::WithParamInterface<int>
{
protected:
  static Combination Decode(int aCode)
  {
    constexpr CommitFault kFaults[] = {
      CommitFault::None, CommitFault::Refused, CommitFault::ResponseLost, CommitFault::AppliedLate
    };
    constexpr milliseconds kDelays[] = {
      milliseconds(0), milliseconds(5), milliseconds(100), milliseconds(1200)
    };
    Combination combination;
    combination.definitionFault = kFaults[aCode % 4];
    combination.tombstoneFault = kFaults[aCode / 4 % 4];
    combination.cancelAfter = kDelays[aCode / 16 % 4];
    combination.isReplacedBefore = aCode / 64 % 2 != 0;
    combination.isReplacedAfter = aCode / 128 % 2 != 0;
    combination.isRepeated = aCode / 256 % 2 != 0;
    return combination;
  }
};

constexpr int kCombinations = 512;

// Each write of a job and of its cancelling applied, refused, answered or not, or late, before and
// after each other, with changes of leader and repeated requests.
TEST_P(WithdrawnJobCombinationTest, NothingRunsOnceACancellingIsAcknowledged)
{
  Combination combination = Decode(this->GetParam());
  this->StartInstances();
  this->store.lateDelay = milliseconds(2500);
  // The first two writes of the definition, which the instance sends side by side, and the first
  // write of the tombstone.
  int definitionFaults = 2;
  int tombstoneFaults = 1;
  this->store.commitFault = [&](const KeyValueTransaction& aTransaction) {
    if (WritesDefinition(aTransaction) && definitionFaults-- > 0) {
      return combination.definitionFault;
    }
    if (WritesTombstone(aTransaction) && tombstoneFaults-- > 0) {
      return combination.tombstoneFault;
    }
    return CommitFault::None;
  };
  int first = this->Follower();
  this->SubmitLater(first, Duration(0));
  this->loop.RunFor(combination.cancelAfter);
  if (combination.isReplacedBefore) {
    this->ReplaceLeader();
  }
  this->CancelUntilAcknowledged(this->instances.rbegin()->first);
  if (combination.isRepeated) {
    this->SubmitLater(this->instances.rbegin()->first, milliseconds(30));
  }
  if (combination.isReplacedAfter) {
    this->ReplaceLeader();
  }
  this->ExpectNotRunning(seconds(6));
  EXPECT_TRUE(this->fleet.violations.empty());
  this->store.commitFault = nullptr;
}

INSTANTIATE_TEST_SUITE_P(All, WithdrawnJobCombinationTest, ::testing::Range(0, kCombinations));

} // namespace
} // namespace daisydrift
