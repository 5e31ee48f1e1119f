// How long the tasks of a draining worker wait that has left the directory and refuses connections.

#include "DispatcherFixture.h"

#include <algorithm>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class DrainingWorkerTest : public DispatcherFixture
{
protected:
  DrainingWorkerTest()
  {
    this->AddWorker("w1");
    this->AddWorker("w2", 0);
  }

  void DrainAndUnlist(Dispatcher& aDispatcher)
  {
    WorkerListing listing = *this->dispatcher.FindWorker("w1");
    listing.isDraining = true;
    aDispatcher.ListWorker(listing);
    aDispatcher.UnlistWorker("w1");
  }

  /// Expects that the tasks on w1, which is refusing connections from now on, start elsewhere when
  /// the leases on it have ended, and not before.
  void ExpectRestartAfterLeaseEnd(Dispatcher& aDispatcher, std::size_t aTasks)
  {
    TimePoint lostAt = this->now;
    this->AddWorker("w3");
    aDispatcher.ListWorker(*this->dispatcher.FindWorker("w3"));
    std::size_t started = 0;
    while (started < aTasks && this->now - lostAt < seconds(20)) {
      this->Advance(milliseconds(50));
      aDispatcher.OnPollFailed("w1");
      aDispatcher.ExtendWorkerLease("w1", this->now);
      this->ReportTo(aDispatcher, "w3");
      started += aDispatcher.Decide(this->now, this->wall, this->requestSlots).starts.size();
      if (started > 0) {
        EXPECT_GE(this->now - lostAt, this->settings.lease);
      }
    }
    EXPECT_EQ(started, aTasks);
    // The worker may hold a lease of an earlier leader, the longest that workers grant.
    EXPECT_LT(this->now - lostAt, this->settings.maxLease * 1.02 + milliseconds(300));
  }

  void ReportTo(Dispatcher& aDispatcher,
                const WorkerId& aWorker,
                std::vector<RunningTask> aRunning = {})
  {
    WorkerReport report;
    report.incarnation = 1;
    report.clock = this->workerClock;
    report.running = std::move(aRunning);
    aDispatcher.OnReport(aWorker, report, this->now, this->now);
  }

  void ExpectRestartAfterLeaseEnd(const JobDefinition& aJob)
  {
    this->Add(aJob);
    std::size_t tasks = aJob.steps[0].taskCount;
    ASSERT_EQ(this->RoundAccepted().size(), tasks);
    this->DrainAndUnlist(this->dispatcher);
    this->ExpectRestartAfterLeaseEnd(this->dispatcher, tasks);
  }
};

// Guards against two runs of one task: the worker is only cut off by something that refuses
// connections, and its entry expires, while its runs still have their leases.
TEST_F(DrainingWorkerTest, ARefusedConnectionDoesNotEndTheRunsOfABatchJob)
{
  this->ExpectRestartAfterLeaseEnd(Job("job", 3));
}

TEST_F(DrainingWorkerTest, ARefusedConnectionDoesNotEndTheRunsOfAService)
{
  JobDefinition job = Job("job", 3);
  job.steps[0].isService = true;
  this->ExpectRestartAfterLeaseEnd(job);
}

TEST_F(DrainingWorkerTest, ARefusedConnectionDoesNotEndTheRunsOfAGang)
{
  JobDefinition job = Job("job", 3);
  job.steps[0].isGang = true;
  this->ExpectRestartAfterLeaseEnd(job);
}

// The same for a leader that has taken over the run, and whose first poll the worker answered.
TEST_F(DrainingWorkerTest, ARefusedConnectionDoesNotEndTheRunsThatALeaderHasTakenOver)
{
  Dispatcher next(this->settings, this->now);
  next.SetPolicy(this->policy);
  JobProgress progress;
  progress.state = DispatchState::Running;
  progress.steps.resize(1);
  progress.steps[0].open.push_back({ 0, 1, "w1" });
  next.RestoreJob(Job("job", 1), progress, this->now, this->wall);
  next.ListWorker(*this->dispatcher.FindWorker("w1"));
  RunningTask running;
  running.task = { "job", 0, 0, 0 };
  running.run = 1;
  this->ReportTo(next, "w1", { running });
  ASSERT_TRUE(next.ExtendWorkerLease("w1", this->now).has_value());
  this->DrainAndUnlist(next);
  this->ExpectRestartAfterLeaseEnd(next, 1);
}

} // namespace
} // namespace daisydrift
