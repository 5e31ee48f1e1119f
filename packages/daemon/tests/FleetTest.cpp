// Runs entry instances as processes and kills, pauses and replaces them, also during store outages.
// Guards against accepted work that is lost or runs twice, requests cut off by a planned stop,
// services that end in a store outage, and responses with a wrong outcome. The checks use what
// workers, upstreams and callers observed.

#include "FleetHarness.h"

#include <gtest/gtest.h>

#include <csignal>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

constexpr const char* kBatchJob =
  R"({"name": "batch", "tasks": 60, "size": {"milli_cores": 1000, "memory_mib": 512},
      "payload": {"run_ms": 700, "team": "team"}})";
constexpr const char* kServiceJob =
  R"({"name": "watcher", "class": "service", "tasks": 3, "size": {"milli_cores": 500, "memory_mib": 256},
      "payload": {"run_ms": 0, "team": "team"}})";

void ExpectNoViolations(FleetHarness& aFleet)
{
  HistoryReport report = aFleet.Check();
  EXPECT_TRUE(report.findings.Empty()) << report.findings.ToText();
  EXPECT_TRUE(report.violations.empty()) << report.ToText();
}

TEST(FleetTest, KilledLeaderLosesNoAcceptedWork)
{
  FleetHarness fleet(3, 6, 2);
  fleet.SetUpFleet();
  std::string service = fleet.Submit(kServiceJob);
  std::string batch = fleet.Submit(kBatchJob);
  ASSERT_NE(service, "");
  ASSERT_NE(batch, "");
  std::optional<std::size_t> leader = fleet.Leader();
  ASSERT_TRUE(leader);
  fleet.Signal(*leader, SIGKILL);
  EXPECT_TRUE(FleetHarness::WaitFor([&] { return fleet.JobState(batch) == "succeeded"; }))
    << fleet.JobState(batch);
  EXPECT_EQ(fleet.JobState(service), "running");
  ExpectNoViolations(fleet);
}

TEST(FleetTest, LeaderPausedBeyondItsLeaseCausesNoViolations)
{
  FleetHarness fleet(3, 6, 2);
  fleet.SetUpFleet();
  std::string first = fleet.Submit(kBatchJob);
  ASSERT_NE(first, "");
  std::optional<std::size_t> paused = fleet.Leader();
  ASSERT_TRUE(paused);
  fleet.Signal(*paused, SIGSTOP);
  std::size_t other = (*paused + 1) % 3;
  EXPECT_TRUE(FleetHarness::WaitFor([&] {
    return fleet.Call(other, "GET", "/v1/jobs/" + first, "", "team").body.find("succeeded\"") !=
           std::string::npos;
  }));
  fleet.Signal(*paused, SIGCONT);
  std::string second = fleet.Submit(kBatchJob);
  EXPECT_TRUE(FleetHarness::WaitFor([&] { return fleet.JobState(second) == "succeeded"; }));
  ExpectNoViolations(fleet);
}

TEST(FleetTest, StoreOutageKeepsRequestsAndServicesAndReportsJobOutcomesCorrectly)
{
  FleetHarness fleet(3, 6, 2);
  fleet.SetUpFleet();
  std::string service = fleet.Submit(kServiceJob);
  ASSERT_NE(service, "");
  ASSERT_TRUE(FleetHarness::WaitFor([&] { return fleet.JobState(service) == "running"; }));
  fleet.SetStoreFaults(R"({"down": true})");
  // Longer than every store lease, the maximum age of the configuration and the lease of a task.
  std::this_thread::sleep_for(20s);
  unsigned successfulResponses = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    CallResult response = fleet.Call(i, "GET", "/v1/services/desk/requests/outage", "", "team");
    successfulResponses += response.status == 200 ? 1 : 0;
    EXPECT_EQ(response.status, 200) << response.body;
    CallResult refusal = fleet.Call(i, "POST", "/v1/jobs", kBatchJob, "team");
    EXPECT_NE(refusal.status, 202);
    EXPECT_TRUE(refusal.outcome == "not_run" || refusal.outcome == "unknown") << refusal.body;
  }
  fleet.SetStoreFaults(R"({"down": false})");
  std::string batch;
  EXPECT_TRUE(FleetHarness::WaitFor([&] { return (batch = fleet.Submit(kBatchJob)) != ""; }));
  EXPECT_TRUE(FleetHarness::WaitFor([&] { return fleet.JobState(batch) == "succeeded"; }))
    << fleet.Call(0, "GET", "/v1/jobs/" + batch + "/explain").body
    << fleet.Call(0, "GET", "/v1/admin/status").body;
  HistoryReport report = fleet.Check();
  EXPECT_TRUE(report.violations.empty()) << report.ToText();
}

TEST(FleetTest, RollingReplacementCutsOffNoRequest)
{
  FleetHarness fleet(3, 6, 2);
  fleet.SetUpFleet();
  std::string batch = fleet.Submit(kBatchJob);
  ASSERT_NE(batch, "");
  fleet.StartLoad(3);
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.StartInstance();
    fleet.Signal(i, SIGTERM);
    EXPECT_EQ(fleet.WaitForExit(i), 0);
  }
  fleet.StopLoad();
  EXPECT_EQ(fleet.Broken(), 0u);
  EXPECT_GT(fleet.SuccessfulResponses(), 50u);
  EXPECT_TRUE(FleetHarness::WaitFor([&] { return fleet.JobState(batch) == "succeeded"; }));
  HistoryReport report = fleet.Check();
  EXPECT_TRUE(report.findings.Empty()) << report.findings.ToText();
  EXPECT_TRUE(report.violations.empty()) << report.ToText();
  // Index of the invariant I10: planned stops interrupt no request.
  constexpr std::size_t kGracefulStop = 9;
  EXPECT_GT(report.checks[kGracefulStop], 0u) << "the history contains no planned stops";
}

TEST(FleetTest, RevokedKeyAndDrainedDomainAreEnforcedOnEveryInstance)
{
  FleetHarness fleet(3, 6, 2);
  fleet.SetUpFleet();
  ASSERT_EQ(fleet.Call(1, "POST", "/v1/admin/failure-domains/burnie/drain").status, 200);
  fleet.Record("domain_drained domain=burnie");
  std::string batch = fleet.Submit(kBatchJob);
  EXPECT_TRUE(FleetHarness::WaitFor([&] { return fleet.JobState(batch) == "succeeded"; }));
  ASSERT_EQ(fleet.Call(2, "DELETE", "/v1/admin/keys/" + fleet.TeamKey().substr(0, 8)).status, 200);
  fleet.Record("key_revoked key=k");
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(FleetHarness::WaitFor([&] {
      return fleet.Call(i, "GET", "/v1/services/desk/requests/late", "", "team").status == 401;
    }));
  }
  ExpectNoViolations(fleet);
}

} // namespace
} // namespace daisydrift
