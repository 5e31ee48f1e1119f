// Callers' requests are answered by their deadlines while the leader or the store is silent.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CallerDeadlineTest : public Cluster
{
protected:
  CallerDeadlineTest()
  {
    for (int number = 0; number < 3; ++number) {
      this->StartInstance(number);
    }
    this->loop.RunFor(seconds(2));
    this->leader = this->LeaderNumber();
    this->follower = (this->leader + 1) % 3;
    EXPECT_EQ(this->Submit(this->follower, "job", 1), SubmitOutcome::Accepted);
    this->loop.RunFor(seconds(2));
    this->peers.unresponsive.insert(static_cast<unsigned short>(9000 + this->leader));
  }

  int leader = -1;
  int follower = -1;
};

// Guards against queries that get no answer in time while a leader does not answer: the store was
// read only after the caller's time had passed.
TEST_F(CallerDeadlineTest, AQueryIsAnsweredFromTheStoreInTime)
{
  this->store.responseTime = milliseconds(100);
  for (milliseconds timeout : { milliseconds(400), milliseconds(850), milliseconds(1850) }) {
    std::optional<Result<DispatchState>> state;
    TimePoint begin = this->loop.Now();
    this->instances[this->follower]->Query(
      "job", timeout, [&state](const Result<DispatchState>& aState) { state = aState; });
    while (!state) {
      this->loop.RunFor(milliseconds(1));
    }
    EXPECT_TRUE(*state && **state == DispatchState::Completed) << timeout.count() << " ms";
    EXPECT_LE((this->loop.Now() - begin) / milliseconds(1), timeout.count());
  }
}

// Guards against a caller that gets no answer: while the store was silent, the outcome was reported
// only when all open writes had timed out.
TEST_F(CallerDeadlineTest, ASubmissionIsAnsweredInTimeWhileTheStoreIsSilent)
{
  this->store.isSilent = true;
  for (milliseconds timeout : { milliseconds(400), milliseconds(850), milliseconds(1850) }) {
    JobDefinition job;
    job.id = "late" + std::to_string(timeout.count());
    job.queue = "queue";
    job.team = "team";
    job.steps.resize(1);
    job.acceptedAt = this->loop.WallClockNow();
    std::optional<SubmitOutcome> outcome;
    TimePoint begin = this->loop.Now();
    this->instances[this->follower]->Submit(
      job, timeout, [&outcome](SubmitOutcome aOutcome) { outcome = aOutcome; });
    while (!outcome) {
      this->loop.RunFor(milliseconds(1));
    }
    EXPECT_LE((this->loop.Now() - begin) / milliseconds(1), timeout.count());
    EXPECT_NE(*outcome, SubmitOutcome::Accepted);
  }
}

} // namespace
} // namespace daisydrift
