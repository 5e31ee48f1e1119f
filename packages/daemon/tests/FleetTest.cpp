// Entry instances as processes under kills, pauses, store outages and replacement. Guards against:
// accepted work that is lost or runs twice, requests cut off by a planned stop, services that end
// with a store outage, and answers that are not true. Verdicts rest on what workers, upstreams and
// callers saw.

#include "FleetHarness.h"

#include <gtest/gtest.h>

#include <csignal>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

constexpr const char* kBatch =
  R"({"name": "batch", "tasks": 60, "size": {"milli_cores": 1000, "memory_mib": 512},
      "payload": {"run_ms": 700, "team": "team"}})";
constexpr const char* kService =
  R"({"name": "watcher", "class": "service", "tasks": 3, "size": {"milli_cores": 500, "memory_mib": 256},
      "payload": {"run_ms": 0, "team": "team"}})";

void ExpectAllowed(FleetHarness& aFleet)
{
  HistoryReport report = aFleet.Check();
  EXPECT_TRUE(report.findings.Empty()) << report.findings.ToText();
  EXPECT_TRUE(report.violations.empty()) << report.ToText();
}

TEST(FleetTest, KilledLeaderLosesNoAcceptedWork)
{
  FleetHarness fleet(3, 6, 2);
  fleet.SetUpFleet();
  std::string service = fleet.Submit(kService);
  std::string batch = fleet.Submit(kBatch);
  ASSERT_NE(service, "");
  ASSERT_NE(batch, "");
  std::optional<std::size_t> leader = fleet.Leader();
  ASSERT_TRUE(leader);
  fleet.Signal(*leader, SIGKILL);
  EXPECT_TRUE(FleetHarness::WaitFor([&] { return fleet.JobState(batch) == "succeeded"; }))
    << fleet.JobState(batch);
  EXPECT_EQ(fleet.JobState(service), "running");
  ExpectAllowed(fleet);
}

TEST(FleetTest, LeaderPausedPastItsLeaseDoesNoHarmAfterwards)
{
  FleetHarness fleet(3, 6, 2);
  fleet.SetUpFleet();
  std::string first = fleet.Submit(kBatch);
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
  std::string second = fleet.Submit(kBatch);
  EXPECT_TRUE(FleetHarness::WaitFor([&] { return fleet.JobState(second) == "succeeded"; }));
  ExpectAllowed(fleet);
}

TEST(FleetTest, StoreOutageKeepsRequestsAndServicesAndRefusesJobsTruthfully)
{
  FleetHarness fleet(3, 6, 2);
  fleet.SetUpFleet();
  std::string service = fleet.Submit(kService);
  ASSERT_NE(service, "");
  ASSERT_TRUE(FleetHarness::WaitFor([&] { return fleet.JobState(service) == "running"; }));
  fleet.SetStoreFaults(R"({"down": true})");
  // Longer than every store lease, the configuration's age limit and the lease of a task.
  std::this_thread::sleep_for(20s);
  unsigned answered = 0;
  for (std::size_t i = 0; i < 3; ++i) {
    CallResult answer = fleet.Call(i, "GET", "/v1/services/desk/requests/outage", "", "team");
    answered += answer.status == 200 ? 1 : 0;
    EXPECT_EQ(answer.status, 200) << answer.body;
    CallResult refusal = fleet.Call(i, "POST", "/v1/jobs", kBatch, "team");
    EXPECT_NE(refusal.status, 202);
    EXPECT_TRUE(refusal.outcome == "not_run" || refusal.outcome == "unknown") << refusal.body;
  }
  fleet.SetStoreFaults(R"({"down": false})");
  std::string batch;
  EXPECT_TRUE(FleetHarness::WaitFor([&] { return (batch = fleet.Submit(kBatch)) != ""; }));
  EXPECT_TRUE(FleetHarness::WaitFor([&] { return fleet.JobState(batch) == "succeeded"; }))
    << fleet.Call(0, "GET", "/v1/jobs/" + batch + "/explain").body
    << fleet.Call(0, "GET", "/v1/admin/status").body;
  HistoryReport report = fleet.Check();
  EXPECT_TRUE(report.violations.empty()) << report.ToText();
}

TEST(FleetTest, ReplacementOfAllInstancesCutsOffNoRequest)
{
  FleetHarness fleet(3, 6, 2);
  fleet.SetUpFleet();
  std::string batch = fleet.Submit(kBatch);
  ASSERT_NE(batch, "");
  fleet.StartLoad(3);
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.StartInstance();
    fleet.Signal(i, SIGTERM);
    EXPECT_EQ(fleet.WaitForEnd(i), 0);
  }
  fleet.StopLoad();
  EXPECT_EQ(fleet.Broken(), 0u);
  EXPECT_GT(fleet.Answered(), 50u);
  EXPECT_TRUE(FleetHarness::WaitFor([&] { return fleet.JobState(batch) == "succeeded"; }));
  HistoryReport report = fleet.Check();
  EXPECT_TRUE(report.findings.Empty()) << report.findings.ToText();
  EXPECT_TRUE(report.violations.empty()) << report.ToText();
  constexpr std::size_t kGracefulStop = 9;
  EXPECT_GT(report.checks[kGracefulStop], 0u) << "the history says nothing about planned stops";
}

TEST(FleetTest, RevokedKeyAndDrainedDomainHoldOnEveryInstance)
{
  FleetHarness fleet(3, 6, 2);
  fleet.SetUpFleet();
  ASSERT_EQ(fleet.Call(1, "POST", "/v1/admin/failure-domains/burnie/drain").status, 200);
  fleet.Record("domain_drained domain=burnie");
  std::string batch = fleet.Submit(kBatch);
  EXPECT_TRUE(FleetHarness::WaitFor([&] { return fleet.JobState(batch) == "succeeded"; }));
  ASSERT_EQ(fleet.Call(2, "DELETE", "/v1/admin/keys/" + fleet.TeamKey().substr(0, 8)).status, 200);
  fleet.Record("key_revoked key=k");
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(FleetHarness::WaitFor([&] {
      return fleet.Call(i, "GET", "/v1/services/desk/requests/late", "", "team").status == 401;
    }));
  }
  ExpectAllowed(fleet);
}

} // namespace
} // namespace daisydrift
