// Runs on a draining worker that is cut off and refuses connections.

#include "Cluster.h"

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class DrainingWorkerTest : public Cluster
{
protected:
  DrainingWorkerTest()
  {
    this->fleet.runTime = minutes(5);
    this->dispatch.stallTimeout = minutes(10); // The runs show no progress.
    for (int number = 0; number < 3; ++number) {
      this->StartInstance(number);
    }
    this->loop.RunFor(seconds(2));
  }

  /// Drains a worker with runs, lets its entry expire and makes it refuse connections. Its runs go
  /// on until their leases end.
  void DrainAndCutOff()
  {
    this->lost = "w0";
    while (this->fleet.CountRuns(this->lost) == 0) {
      ++this->lost[1];
    }
    FakeFleet::Drain(this->store, this->lost);
    this->loop.RunFor(milliseconds(500));
    this->runsLost = this->fleet.CountRuns(this->lost);
    this->startsBefore = this->fleet.startedRuns;
    this->fleet.SetRefusing(this->lost, true);
    this->store.Remove("workers/" + this->lost);
  }

  /// Expects that the lost runs start elsewhere, none beside the lost one.
  void ExpectRestart(Duration aWithin)
  {
    ASSERT_GT(this->runsLost, 0U);
    this->loop.RunFor(aWithin);
    EXPECT_EQ(this->fleet.startedRuns - this->startsBefore, this->runsLost);
    EXPECT_TRUE(this->fleet.violations.empty()) << this->fleet.violations.front();
  }

  WorkerId lost;
  std::size_t runsLost = 0;
  std::size_t startsBefore = 0;
};

// Guards against two runs of one task while the cut-off worker still has its leases.
TEST_F(DrainingWorkerTest, RunsStartElsewhereOnlyWhenTheirLeasesHaveEnded)
{
  ASSERT_EQ(this->Submit(0, "job", 4), SubmitOutcome::Accepted);
  this->loop.RunFor(seconds(1));
  this->DrainAndCutOff();
  this->ExpectRestart(milliseconds(5600));
}

// The same when the leader is replaced just then.
TEST_F(DrainingWorkerTest, RunsStartElsewhereOnlyWhenTheirLeasesHaveEndedAfterAChangeOfLeader)
{
  ASSERT_EQ(this->Submit(0, "job", 4), SubmitOutcome::Accepted);
  this->loop.RunFor(seconds(1));
  this->DrainAndCutOff();
  this->KillInstance(this->LeaderNumber());
  this->ExpectRestart(seconds(9));
}

} // namespace
} // namespace daisydrift
