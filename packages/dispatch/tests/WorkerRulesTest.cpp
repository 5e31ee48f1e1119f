// Workers that leave, failure domains out of service, gangs, and services that others disturb.

#include "DispatchWorld.h"

#include <algorithm>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longest time for which a service may be over its target for others' sake. Source: the platform's
/// bound.
constexpr seconds kLongestHarm{ 4 };

class WorkerRulesTest : public DispatchWorld
{
protected:
  void Drain(const WorkerId& aId)
  {
    WorkerListing listing = *this->dispatcher.FindWorker(aId);
    listing.isDraining = true;
    this->dispatcher.ListWorker(listing);
  }

  JobDefinition Service(const JobId& aId, std::uint32_t aTasks, std::uint32_t aMaxUnavailable)
  {
    JobDefinition job = Job(aId, aTasks);
    job.steps[0].isService = true;
    job.steps[0].maxUnavailable = aMaxUnavailable;
    return job;
  }

  JobDefinition Gang(const JobId& aId, std::uint32_t aTasks)
  {
    JobDefinition job = Job(aId, aTasks);
    job.steps[0].isGang = true;
    return job;
  }

  /// All workers report what runs there by these orders.
  void ReportAll(const std::vector<StartOrder>& aOrders, int aPercent, double aLoad = 0)
  {
    for (const WorkerId& id : this->dispatcher.Workers()) {
      std::vector<RunningTask> running;
      for (const StartOrder& order : aOrders) {
        if (order.worker == id) {
          running.push_back(Running(order, aPercent));
          running.back().load = aLoad;
        }
      }
      this->Report(id, running);
    }
  }
};

TEST_F(WorkerRulesTest, NothingStartsInADrainedDomain)
{
  this->AddWorker("w1");
  this->Add(Job("job", 1));
  this->dispatcher.SetDrainedDomains({ "north" });
  EXPECT_TRUE(this->Round().empty());
  this->dispatcher.SetDrainedDomains({});
  EXPECT_EQ(this->Round().size(), 1U);
}

// The record of a start takes the store some milliseconds; the domain may be drained meanwhile.
TEST_F(WorkerRulesTest, AStartThatWasDecidedBeforeTheDrainIsNotSent)
{
  this->AddWorker("w1");
  this->Add(Job("job", 1));
  DispatchRound decided = this->dispatcher.Decide(this->now, this->wall, this->lanes);
  ASSERT_EQ(decided.starts.size(), 1U);
  this->dispatcher.SetDrainedDomains({ "north" });
  EXPECT_FALSE(this->dispatcher.TakeStart(decided.starts[0], this->now).has_value());
}

TEST_F(WorkerRulesTest, ADrainingWorkerGetsNoStartsNotEvenDecidedOnes)
{
  this->AddWorker("w1");
  this->Add(Job("job", 1));
  DispatchRound decided = this->dispatcher.Decide(this->now, this->wall, this->lanes);
  ASSERT_EQ(decided.starts.size(), 1U);
  this->Drain("w1");
  EXPECT_FALSE(this->dispatcher.TakeStart(decided.starts[0], this->now).has_value());
  EXPECT_TRUE(this->Round().empty());
}

// A start whose first answer was lost is sent again. The worker began anew in between, carried the
// second try out, and its success was noted when the next run was on its way.
TEST_F(WorkerRulesTest, ARunOnAWorkerThatBeganAnewIsFencedOffBeforeTheNext)
{
  this->AddWorker("w1", 1000);
  this->Add(Job("job", 1));
  std::vector<StartOrder> orders = this->RoundAccepted();
  ASSERT_EQ(orders.size(), 1U);
  this->Advance(milliseconds(300));
  this->incarnation = 2;
  this->Report("w1", {});
  this->Advance(milliseconds(50));
  EXPECT_TRUE(this->Round().empty());
  ASSERT_EQ(this->round.stops.size(), 1U);
  this->dispatcher.OnStopped(this->round.stops[0], this->now);
  this->Advance(milliseconds(5));
  this->Report("w1", {});
  std::vector<StartOrder> next = this->Round();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_GT(next[0].run, orders[0].run);
}

TEST_F(WorkerRulesTest, AGangStartsWholeOrNotAtAll)
{
  this->AddWorker("w1", 2000);
  this->Add(Gang("gang", 3));
  EXPECT_TRUE(this->Round().empty()) << "room for two of three members";
  this->AddWorker("w2", 2000);
  std::vector<StartOrder> orders = this->Round();
  ASSERT_EQ(orders.size(), 3U);
  EXPECT_EQ(orders[0].run, orders[1].run);
  EXPECT_EQ(orders[0].run, orders[2].run);
}

TEST_F(WorkerRulesTest, AGangWithARefusedMemberIsStoppedAndStartsAnewTogether)
{
  this->AddWorker("w1", 2000);
  this->AddWorker("w2", 2000);
  this->Add(Gang("gang", 3));
  std::vector<StartOrder> orders = this->Round();
  ASSERT_EQ(orders.size(), 3U);
  this->dispatcher.OnStartAnswer(orders[0].attempt, StartAnswer::NoRoom, this->now);
  this->dispatcher.OnStartAnswer(orders[1].attempt, StartAnswer::Accepted, this->now);
  this->dispatcher.OnStartAnswer(orders[2].attempt, StartAnswer::Accepted, this->now);
  this->Advance(milliseconds(50));
  EXPECT_TRUE(this->Round().empty()) << "two members may still run";
  std::vector<StopOrder> stops = this->round.stops;
  ASSERT_EQ(stops.size(), 2U);
  for (const StopOrder& stop : stops) {
    this->dispatcher.OnStopped(stop, this->now);
  }
  this->Advance(this->settings.refusalPause + milliseconds(50));
  this->ReportAll({}, 0);
  std::vector<StartOrder> next = this->Round();
  ASSERT_EQ(next.size(), 3U);
  EXPECT_GT(next[0].run, orders[0].run);
  EXPECT_EQ(next[0].run, next[2].run);
}

// Three tasks of a service on workers that all leave: one may be away at a time.
TEST_F(WorkerRulesTest, AServiceIsMovedOffLeavingWorkersWithinItsBound)
{
  for (const char* id : { "w1", "w2", "w3" }) {
    this->AddWorker(id, 1000);
  }
  this->Add(this->Service("service", 3, 1));
  std::vector<StartOrder> orders = this->RoundAccepted();
  ASSERT_EQ(orders.size(), 3U);
  this->Advance(seconds(3));
  this->ReportAll(orders, 100);
  for (const char* id : { "w4", "w5", "w6" }) {
    this->AddWorker(id, 1000);
  }
  for (const char* id : { "w1", "w2", "w3" }) {
    this->Drain(id);
  }
  this->Advance(milliseconds(50));
  this->Round();
  EXPECT_EQ(this->round.stops.size(), 1U);
  this->Advance(milliseconds(50));
  this->Round();
  EXPECT_TRUE(this->round.stops.empty()) << "the first is still away";
}

// A task on spare cores disturbs a service beside it.
TEST_F(WorkerRulesTest, WorkOnSpareCoresIsPacedDownBeforeAServiceIsHarmedForLong)
{
  this->AddWorker("w1", 4000);
  JobDefinition service = this->Service("service", 1, 0);
  service.steps[0].tailTarget = milliseconds(100);
  this->Add(service);
  JobDefinition filler = Job("filler", 1);
  filler.steps[0].usesSpareCores = true;
  this->Add(filler);
  std::vector<StartOrder> orders = this->RoundAccepted();
  ASSERT_EQ(orders.size(), 2U);
  TimePoint begin = this->now;
  std::vector<PaceOrder> paces;
  while (paces.empty() && this->now - begin < kLongestHarm) {
    this->Advance(milliseconds(200));
    this->ReportAll(orders, 100, 250);
    this->Round();
    paces = this->round.paces;
  }
  ASSERT_EQ(paces.size(), 1U);
  EXPECT_EQ(paces[0].task.job, "filler");
  EXPECT_EQ(paces[0].percent, 0);
  EXPECT_LT(this->now - begin, kLongestHarm);
}

} // namespace
} // namespace daisydrift
