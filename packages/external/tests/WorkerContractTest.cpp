// Contract of WorkerClient, checked for the in-memory fleet and for the HTTP adapter with the
// stand-in server. Guards against an adapter that behaves differently from the fake that other
// tests use.

#include "daisydrift/external.h"
#include "daisydrift/standins.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

constexpr Resources kCapacity{ 16'000, 65'536, 2 };
const AttemptId kAttempt{ { 7, 3 }, 1 };
/// Only prevents a hanging test.
constexpr auto kTimeout = 30s;

struct WorkerFixture
{
  virtual ~WorkerFixture() = default;
  virtual WorkerClient& Client() = 0;
  virtual Endpoint Address() = 0;
};

struct FakeFixture : WorkerFixture
{
  ManualClock clock;
  FakeWorkerFleet fleet{ clock };
  FakeFixture() { this->fleet.Add(this->Address(), kCapacity, 15s); }
  WorkerClient& Client() override { return this->fleet; }
  Endpoint Address() override { return { "10.0.0.1", 7 }; }
};

struct HttpFixture : WorkerFixture
{
  WorkerServer server{ "w#1", kCapacity, 15s };
  HttpWorkerClient client;
  HttpFixture() { this->server.Start({ "127.0.0.1", 0 }); }
  WorkerClient& Client() override { return this->client; }
  Endpoint Address() override { return this->server.Address(); }
};

using Factory = std::function<std::unique_ptr<WorkerFixture>()>;

class WorkerContract : public testing::TestWithParam<std::pair<std::string, Factory>>
{
protected:
  Result<SyncReport> Sync(const SyncRequest& aRequest)
  {
    return this->fixture->Client().Sync(this->fixture->Address(), aRequest, kTimeout);
  }
  /// Makes a first exchange with the worker; returns a request for the incarnation it reported.
  SyncRequest FirstSync(Epoch aEpoch)
  {
    SyncRequest request;
    request.epoch = aEpoch;
    auto report = this->Sync(request);
    EXPECT_TRUE(report);
    if (report) {
      request.incarnation = report->incarnation;
      request.observedReport = report->number;
    }
    return request;
  }
  SyncRequest WithCommand(SyncRequest aRequest, WorkerCommandKind aKind, Resources aLimit = {})
  {
    aRequest.commands.push_back({ aKind, kAttempt, aLimit, "{\"run_ms\": 0}", 0ms });
    return aRequest;
  }

  std::unique_ptr<WorkerFixture> fixture = GetParam().second();
};

TEST_P(WorkerContract, FirstSyncReportsIncarnationAndCapacity)
{
  SyncRequest request;
  request.epoch = 1;
  auto report = this->Sync(request);
  ASSERT_TRUE(report);
  EXPECT_FALSE(report->incarnation.empty());
  EXPECT_EQ(report->capacity, kCapacity);
  EXPECT_TRUE(report->running.empty());
  EXPECT_TRUE(report->events.empty());
  auto second = this->Sync(request);
  ASSERT_TRUE(second);
  EXPECT_GT(second->number, report->number);
  EXPECT_EQ(second->incarnation, report->incarnation);
}

struct CommandCase
{
  const char* name;
  std::vector<WorkerCommandKind> commands;
  std::vector<WorkerEventKind> events;
  std::size_t running;
};

// Guards against a command that is lost, changed or executed twice.
TEST_P(WorkerContract, CommandsTakeEffectInOrder)
{
  using C = WorkerCommandKind;
  using E = WorkerEventKind;
  const CommandCase kCases[] = {
    { "start", { C::Start }, { E::Started }, 1 },
    { "start twice", { C::Start, C::Start }, { E::Started }, 1 },
    { "start, stop", { C::Start, C::Stop }, { E::Started, E::Stopped }, 0 },
    { "stop before start", { C::Stop, C::Start }, { E::Rejected }, 0 },
    { "start, checkpoint", { C::Start, C::Checkpoint }, { E::Started, E::Checkpointed }, 1 },
    { "start, throttle", { C::Start, C::Throttle }, { E::Started }, 1 },
    { "checkpoint of nothing", { C::Checkpoint }, {}, 0 },
    { "start after its end", { C::Start, C::Stop, C::Start }, { E::Started, E::Stopped }, 0 },
  };
  for (const CommandCase& test : kCases) {
    SCOPED_TRACE(test.name);
    this->fixture = GetParam().second();
    SyncRequest request = this->FirstSync(1);
    for (WorkerCommandKind kind : test.commands) {
      request = this->WithCommand(request, kind, { 1000, 512, 1 });
    }
    auto report = this->Sync(request);
    ASSERT_TRUE(report);
    std::vector<WorkerEventKind> events;
    for (std::size_t i = 0; i < report->events.size(); ++i) {
      EXPECT_EQ(report->events[i].number, i + 1);
      EXPECT_EQ(report->events[i].attempt, kAttempt);
      events.push_back(report->events[i].kind);
    }
    EXPECT_EQ(events, test.events);
    EXPECT_EQ(report->running.size(), test.running);
  }
}

TEST_P(WorkerContract, RunningAttemptsReportTheirLimit)
{
  SyncRequest request = this->FirstSync(1);
  ASSERT_TRUE(this->Sync(this->WithCommand(request, WorkerCommandKind::Start, { 1000, 512, 1 })));
  auto report =
    this->Sync(this->WithCommand(request, WorkerCommandKind::Throttle, { 500, 256, 1 }));
  ASSERT_TRUE(report);
  ASSERT_EQ(report->running.size(), 1u);
  EXPECT_EQ(report->running[0].attempt, kAttempt);
  EXPECT_EQ(report->running[0].limit, (Resources{ 500, 256, 1 }));
}

TEST_P(WorkerContract, LowerEpochIsFencedAndHasNoEffect)
{
  SyncRequest request = this->FirstSync(5);
  SyncRequest stale = this->WithCommand(request, WorkerCommandKind::Start);
  stale.epoch = 4;
  EXPECT_EQ(this->Sync(stale).Error(), Errc::Fenced);
  auto report = this->Sync(request);
  ASSERT_TRUE(report);
  EXPECT_TRUE(report->running.empty());
}

TEST_P(WorkerContract, CommandsForAnotherIncarnationHaveNoEffect)
{
  SyncRequest request = this->FirstSync(1);
  for (const char* incarnation : { "", "earlier" }) {
    request.incarnation = incarnation;
    auto report = this->Sync(this->WithCommand(request, WorkerCommandKind::Start));
    ASSERT_TRUE(report);
    EXPECT_TRUE(report->running.empty());
  }
}

TEST_P(WorkerContract, EventsAreRepeatedUntilAcknowledged)
{
  SyncRequest request = this->FirstSync(1);
  ASSERT_TRUE(this->Sync(this->WithCommand(request, WorkerCommandKind::Start)));
  auto repeated = this->Sync(request);
  ASSERT_TRUE(repeated);
  ASSERT_EQ(repeated->events.size(), 1u);
  request.acknowledgedEvent = repeated->events[0].number;
  auto empty = this->Sync(request);
  ASSERT_TRUE(empty);
  EXPECT_TRUE(empty->events.empty());
  EXPECT_EQ(empty->running.size(), 1u);
}

INSTANTIATE_TEST_SUITE_P(
  Implementations,
  WorkerContract,
  testing::Values(
    std::pair<std::string, Factory>("Fake", [] { return std::make_unique<FakeFixture>(); }),
    std::pair<std::string, Factory>("Http", [] { return std::make_unique<HttpFixture>(); })),
  [](const auto& aInfo) { return aInfo.param.first; });

// Guards against a fake without the failures that a network has.
TEST(FakeWorkerFaults, FaultsReturnContractErrors)
{
  ManualClock clock;
  FakeWorkerFleet fleet(clock);
  Endpoint endpoint{ "10.0.0.1", 7 };
  WorkerModel& worker = fleet.Add(endpoint, kCapacity);
  SyncRequest request;
  request.epoch = 1;
  request.incarnation = worker.Incarnation();
  request.commands.push_back({ WorkerCommandKind::Start, kAttempt, {}, "", 0ms });
  EXPECT_EQ(fleet.Sync({ "10.0.0.2", 7 }, request, kTimeout).Error(), Errc::Unreachable);
  fleet.SetFaultHook([](const Endpoint&) { return WorkerFault::Unreachable; });
  EXPECT_EQ(fleet.Sync(endpoint, request, kTimeout).Error(), Errc::Unreachable);
  EXPECT_EQ(worker.RunningCount(), 0u);
  fleet.SetFaultHook([](const Endpoint&) { return WorkerFault::ResponseLost; });
  EXPECT_EQ(fleet.Sync(endpoint, request, kTimeout).Error(), Errc::OutcomeUnknown);
  EXPECT_EQ(worker.RunningCount(), 1u);
}

} // namespace
} // namespace daisydrift
