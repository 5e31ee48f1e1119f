// Guards against shares out of proportion to the teams' weights, idle capacity while work waits,
// services placed in one failure domain or rack only, and accelerator workers fragmented by work
// that needs no accelerators.

#include "Harness.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using test::Harness;
using test::MakeResources;

TEST(ShareTest, FullFleetIsSharedByWeight)
{
  Harness harness;
  harness.scheduler.SetTeams({ { "heavy", 3, MakeResources(1000, 1000000), 1000 },
                               { "light", 1, MakeResources(1000, 1000000), 1000 } },
                             harness.now);
  harness.AddWorkers(10, MakeResources(4, 40960));
  harness.SubmitJob(harness.MakeJobSpec("light", 100, MakeResources(1, 100)));
  harness.SubmitJob(harness.MakeJobSpec("heavy", 100, MakeResources(1, 100)));
  harness.Decide();
  EXPECT_EQ(harness.ResourcesUsedBy("heavy"), MakeResources(30, 3000));
  EXPECT_EQ(harness.ResourcesUsedBy("light"), MakeResources(10, 1000));
}

TEST(ShareTest, ShareIsThatOfTheDominantResource)
{
  Harness harness;
  harness.SetTeams({ "memory", "cores" });
  harness.AddWorkers(9, MakeResources(18, 18432));
  // Example of the paper on dominant resource fairness (DRF) with equal weights, in other units.
  harness.SubmitJob(harness.MakeJobSpec("memory", 1000, MakeResources(1, 4096)));
  harness.SubmitJob(harness.MakeJobSpec("cores", 1000, MakeResources(3, 1024)));
  harness.Decide();
  auto teams = harness.scheduler.Teams(harness.now);
  EXPECT_NEAR(teams[0].dominantShare, teams[1].dominantShare, 0.05);
  EXPECT_GT(teams[0].dominantShare, 0.55);
}

TEST(ShareTest, IdleShareOfOneTeamIsUsedByAnother)
{
  Harness harness;
  harness.SetTeams({ "busy", "idle" });
  harness.AddWorkers(4, MakeResources(4, 4096));
  harness.SubmitJob(harness.MakeJobSpec("busy", 100, MakeResources(1, 100)));
  harness.Decide();
  EXPECT_EQ(harness.ResourcesUsedBy("busy"), MakeResources(16, 1600));
}

TEST(ShareTest, TeamBelowItsSharePreemptsTasksThatNeverEnd)
{
  Harness harness;
  harness.SetTeams({ "first", "late" });
  harness.AddWorkers(4, MakeResources(4, 4096));
  harness.SubmitJob(harness.MakeJobSpec("first", 16, MakeResources(1, 100)));
  harness.Decide();
  harness.SubmitJob(harness.MakeJobSpec("late", 16, MakeResources(1, 100)));
  harness.RunFor(std::chrono::seconds(60));
  EXPECT_EQ(harness.ResourcesUsedBy("late"), MakeResources(8, 800));
  EXPECT_EQ(harness.ResourcesUsedBy("first"), MakeResources(8, 800));
}

TEST(ShareTest, ServiceIsSpreadOverFailureDomainsAndRacks)
{
  Harness harness;
  harness.SetTeams({ "t" });
  harness.AddWorkers(12, MakeResources(16, 65536), { "a", "b", "c" });
  JobSpec spec = harness.MakeJobSpec("t", 6, MakeResources(1, 100));
  spec.workClass = WorkClass::Service;
  JobNumber job = harness.SubmitJob(spec);
  harness.Decide();
  std::map<FailureDomain, int> byDomain;
  std::set<std::string> racks;
  for (const AttemptId& attempt : harness.RunningAttemptsOf(job)) {
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
  harness.AddWorkers(2, MakeResources(4, 4096));
  JobSpec spec = harness.MakeJobSpec("t", 1, MakeResources(1, 100));
  spec.workClass = WorkClass::Service;
  JobNumber job = harness.SubmitJob(spec);
  harness.Decide();
  harness.RunFor(std::chrono::minutes(1));
  harness.EndAttempt(harness.RunningAttemptsOf(job)[0], AttemptOutcome::Succeeded);
  harness.Decide();
  ASSERT_EQ(harness.RunningAttemptsOf(job).size(), 1U);
  EXPECT_EQ(harness.RunningAttemptsOf(job)[0].attempt, 2U);
}

TEST(ShareTest, WorkWithoutAcceleratorsLeavesThemFree)
{
  Harness harness;
  harness.SetTeams({ "t" });
  harness.AddWorkers(2, MakeResources(8, 8192, 8), { "a" }, "gpu");
  harness.AddWorkers(2, MakeResources(8, 8192), { "a" }, "cpu");
  harness.SubmitJob(harness.MakeJobSpec("t", 4, MakeResources(2, 100)));
  harness.SubmitJob(harness.MakeJobSpec("t", 2, MakeResources(1, 100, 2)));
  harness.Decide();
  EXPECT_EQ(harness.scheduler.Committed("cpu0") + harness.scheduler.Committed("cpu1"),
            MakeResources(8, 400));
  JobNumber allAccelerators =
    harness.SubmitJob(harness.MakeJobSpec("t", 1, MakeResources(1, 100, 8)));
  harness.Decide();
  EXPECT_EQ(harness.RunningAttemptsOf(allAccelerators).size(), 1U)
    << "no worker has all accelerators free";
}

} // namespace
} // namespace daisydrift
