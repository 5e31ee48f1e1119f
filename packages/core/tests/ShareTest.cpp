// Guards against: teams served out of proportion to their weights, idle capacity while work waits,
// services on one failure domain or rack, and accelerators broken up by work that needs none.

#include "Harness.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using test::Harness;
using test::Size;

TEST(ShareTest, FullFleetIsSharedByWeight)
{
  Harness harness;
  harness.scheduler.SetTeams(
    { { "heavy", 3, Size(1000, 1000000), 1000 }, { "light", 1, Size(1000, 1000000), 1000 } },
    harness.now);
  harness.AddWorkers(10, Size(4, 40960));
  harness.Add(harness.Spec("light", 100, Size(1, 100)));
  harness.Add(harness.Spec("heavy", 100, Size(1, 100)));
  harness.Decide();
  EXPECT_EQ(harness.UsedBy("heavy"), Size(30, 3000));
  EXPECT_EQ(harness.UsedBy("light"), Size(10, 1000));
}

TEST(ShareTest, DominantKindCountsNotCores)
{
  Harness harness;
  harness.SetTeams({ "memory", "cores" });
  harness.AddWorkers(9, Size(18, 18432));
  // The example of the dominant-resource fairness paper with equal weights, in other units.
  harness.Add(harness.Spec("memory", 1000, Size(1, 4096)));
  harness.Add(harness.Spec("cores", 1000, Size(3, 1024)));
  harness.Decide();
  auto teams = harness.scheduler.Teams(harness.now);
  EXPECT_NEAR(teams[0].dominantShare, teams[1].dominantShare, 0.05);
  EXPECT_GT(teams[0].dominantShare, 0.55);
}

TEST(ShareTest, IdleShareOfOneTeamIsUsedByAnother)
{
  Harness harness;
  harness.SetTeams({ "busy", "idle" });
  harness.AddWorkers(4, Size(4, 4096));
  harness.Add(harness.Spec("busy", 100, Size(1, 100)));
  harness.Decide();
  EXPECT_EQ(harness.UsedBy("busy"), Size(16, 1600));
}

TEST(ShareTest, TeamBelowItsShareGetsRoomEvenIfTheOthersNeverEnd)
{
  Harness harness;
  harness.SetTeams({ "first", "late" });
  harness.AddWorkers(4, Size(4, 4096));
  harness.Add(harness.Spec("first", 16, Size(1, 100)));
  harness.Decide();
  harness.Add(harness.Spec("late", 16, Size(1, 100)));
  harness.RunFor(std::chrono::seconds(60));
  EXPECT_EQ(harness.UsedBy("late"), Size(8, 800));
  EXPECT_EQ(harness.UsedBy("first"), Size(8, 800));
}

TEST(ShareTest, ServiceIsSpreadOverFailureDomainsAndRacks)
{
  Harness harness;
  harness.SetTeams({ "t" });
  harness.AddWorkers(12, Size(16, 65536), { "a", "b", "c" });
  JobSpec spec = harness.Spec("t", 6, Size(1, 100));
  spec.workClass = WorkClass::Service;
  JobNumber job = harness.Add(spec);
  harness.Decide();
  std::map<FailureDomain, int> byDomain;
  std::set<std::string> racks;
  for (const AttemptId& attempt : harness.RunningOf(job)) {
    const WorkerDescription& worker = harness.workers[harness.running[attempt].worker];
    ++byDomain[worker.failureDomain];
    racks.insert(worker.failureDomain + worker.rack);
  }
  EXPECT_EQ(byDomain, (std::map<FailureDomain, int>{ { "a", 2 }, { "b", 2 }, { "c", 2 } }));
  EXPECT_EQ(racks.size(), 6U);
}

TEST(ShareTest, ServiceTaskThatEndsIsReplaced)
{
  Harness harness;
  harness.SetTeams({ "t" });
  harness.AddWorkers(2, Size(4, 4096));
  JobSpec spec = harness.Spec("t", 1, Size(1, 100));
  spec.workClass = WorkClass::Service;
  JobNumber job = harness.Add(spec);
  harness.Decide();
  harness.RunFor(std::chrono::minutes(1));
  harness.End(harness.RunningOf(job)[0], AttemptOutcome::Succeeded);
  harness.Decide();
  ASSERT_EQ(harness.RunningOf(job).size(), 1U);
  EXPECT_EQ(harness.RunningOf(job)[0].attempt, 2U);
}

TEST(ShareTest, AcceleratorsAreKeptWhole)
{
  Harness harness;
  harness.SetTeams({ "t" });
  harness.AddWorkers(2, Size(8, 8192, 8), { "a" }, "gpu");
  harness.AddWorkers(2, Size(8, 8192), { "a" }, "cpu");
  harness.Add(harness.Spec("t", 4, Size(2, 100)));
  harness.Add(harness.Spec("t", 2, Size(1, 100, 2)));
  harness.Decide();
  EXPECT_EQ(harness.scheduler.Committed("cpu0") + harness.scheduler.Committed("cpu1"),
            Size(8, 400));
  JobNumber whole = harness.Add(harness.Spec("t", 1, Size(1, 100, 8)));
  harness.Decide();
  EXPECT_EQ(harness.RunningOf(whole).size(), 1U) << "no worker has all accelerators free";
}

} // namespace
} // namespace daisydrift
