// Guards against the outcome not_run for a started request, retries of requests that must not be
// repeated, sends without a seat, responses delivered to another request, and a drain that
// interrupts requests.

#include "FakeUpstreams.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

class RequestRouterTest : public testing::Test
{
protected:
  RequestRouterTest()
  {
    this->settings.failureDomain = "hobart";
    // With the virtual clock each attempt runs on its caller's thread.
    this->settings.maxAttemptThreads = 0;
  }

  RequestRouter& Router()
  {
    if (!this->router) {
      RoutingHooks hooks;
      hooks.canSend = [this] { return this->canSend; };
      hooks.forwardToPeer = this->forward;
      hooks.waitUntil =
        [this](std::condition_variable&, std::unique_lock<std::mutex>&, TimePoint aUntil) {
          this->clock.Advance(std::max(Duration(1), aUntil - this->clock.Now()));
        };
      this->router = std::make_unique<RequestRouter>(
        this->settings, this->upstreams, this->clock, this->metrics, hooks);
      this->router->UpdateUpstreams(UpstreamList(this->upstreamCount));
      this->router->SetSeat(0);
    }
    return *this->router;
  }

  RoutedResponse Route(const std::string& aBody, bool aIsRepeatable, Duration aDeadline = 10s)
  {
    UpstreamRequest request{ "POST", "/check", {}, aBody };
    return this->Router().Route(
      "desk", "a", 1, request, aIsRepeatable, this->clock.Now() + aDeadline);
  }

  unsigned Sends()
  {
    unsigned sum = 0;
    for (const auto& [port, count] : this->upstreams.sends) {
      sum += count;
    }
    return sum;
  }

  RoutingSettings settings;
  ManualClock clock;
  Metrics metrics;
  FakeUpstreams upstreams{ &this->clock };
  unsigned upstreamCount = 4;
  bool canSend = true;
  std::function<std::optional<RoutedResponse>(const RoutedRequest&)> forward;
  std::unique_ptr<RequestRouter> router;
};

struct FaultCase
{
  const char* name;
  FakeFault fault;
  bool isRepeatable;
  int status;
  const char* code;
  RequestOutcome outcome;
  /// Expected number of sends when every upstream has the fault.
  unsigned sends;
};

const FaultCase kFaultCases[] = {
  { "none", FakeFault::None, false, 200, "", RequestOutcome::Ran, 1 },
  { "unresponsive",
    FakeFault::Unresponsive,
    false,
    504,
    "upstream_no_answer",
    RequestOutcome::Unknown,
    1 },
  { "unresponsive, repeatable",
    FakeFault::Unresponsive,
    true,
    504,
    "upstream_no_answer",
    RequestOutcome::Unknown,
    1 },
  { "half-open",
    FakeFault::HalfOpen,
    false,
    504,
    "upstream_no_answer",
    RequestOutcome::Unknown,
    1 },
  { "slow", FakeFault::Slow, false, 504, "upstream_no_answer", RequestOutcome::Unknown, 1 },
  { "closing", FakeFault::Closing, false, 504, "upstream_no_answer", RequestOutcome::Unknown, 1 },
  { "closing, repeatable",
    FakeFault::Closing,
    true,
    504,
    "upstream_no_answer",
    RequestOutcome::Unknown,
    3 },
  { "refusing",
    FakeFault::Refusing,
    false,
    503,
    "upstream_unreachable",
    RequestOutcome::NotRun,
    3 },
  { "not started",
    FakeFault::NotStarted,
    false,
    503,
    "upstream_refused",
    RequestOutcome::NotRun,
    3 },
  { "unavailable",
    FakeFault::Unavailable,
    false,
    503,
    "upstream_unavailable",
    RequestOutcome::Unknown,
    1 },
  { "unavailable, repeatable",
    FakeFault::Unavailable,
    true,
    503,
    "upstream_unavailable",
    RequestOutcome::Unknown,
    3 },
  { "server error", FakeFault::ServerError, true, 500, "", RequestOutcome::Ran, 1 },
};

// Guards against a retry or an outcome that the fault doesn't permit.
TEST_F(RequestRouterTest, FaultTable)
{
  for (const FaultCase& item : kFaultCases) {
    SCOPED_TRACE(item.name);
    this->router.reset();
    this->upstreams.sends.clear();
    this->upstreams.starts.clear();
    for (unsigned port = 1; port <= this->upstreamCount; ++port) {
      this->upstreams.faults[port] = item.fault;
    }
    RoutedResponse response = this->Route("r1", item.isRepeatable);
    EXPECT_EQ(response.status, item.status);
    EXPECT_EQ(response.code, item.code);
    EXPECT_EQ(response.outcome, item.outcome);
    EXPECT_EQ(this->Sends(), item.sends);
    EXPECT_LE(item.isRepeatable ? 0 : this->upstreams.starts["r1"], 1u);
  }
}

// Guards against a request that fails although another upstream could have executed it.
TEST_F(RequestRouterTest, RefusedRequestGoesToAnotherUpstream)
{
  for (FakeFault fault : { FakeFault::Refusing, FakeFault::NotStarted }) {
    this->router.reset();
    this->upstreams.faults = { { 1, fault }, { 2, fault } };
    RoutedResponse response = this->Route("r", false);
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "r");
    EXPECT_EQ(response.outcome, RequestOutcome::Ran);
  }
}

// Guards against use of a seat that was lost between the routing decision and the send.
TEST_F(RequestRouterTest, NothingIsSentWithoutTheSeat)
{
  this->Router();
  this->canSend = false;
  RoutedResponse response = this->Route("r", true);
  EXPECT_EQ(response.code, "not_permitted");
  EXPECT_EQ(response.outcome, RequestOutcome::NotRun);
  EXPECT_EQ(this->Sends(), 0u);
  EXPECT_EQ(this->Router().Counts("desk").slotsInUse, 0u);
}

// Guards against refusals with a wrong outcome or without an error code.
TEST_F(RequestRouterTest, RefusalsReportNotRunAndACode)
{
  auto route = [this](const char* aService, Duration aDeadline) {
    return this->Router().Route(
      aService, "a", 1, { "GET", "/", {}, "x" }, true, this->clock.Now() + aDeadline);
  };
  EXPECT_EQ(route("other", 1s).code, "unknown_service");
  EXPECT_EQ(route("desk", 0s).code, "deadline_exceeded");
  this->Router().SetSeat(std::nullopt);
  EXPECT_EQ(route("desk", 1s).code, "not_permitted");
  this->Router().SetSeat(0);
  auto list = UpstreamList(2);
  list[0].state = list[1].state = InstanceState::Leaving;
  this->Router().UpdateUpstreams(list);
  EXPECT_EQ(route("desk", 1s).code, "no_upstream");
  EXPECT_EQ(this->Sends(), 0u);
}

// Guards against a request that waits beyond its deadline when no slot becomes free, and against
// reuse of a slot while an unresponsive upstream may still execute the request that holds it.
TEST_F(RequestRouterTest, SlotsOfUnansweredRequestsStayHeld)
{
  this->upstreamCount = 1;
  this->upstreams.faults[1] = FakeFault::Unresponsive;
  unsigned slots = this->Router().Counts("desk").slots;
  ASSERT_GE(slots, 1u);
  for (unsigned i = 0; i < slots; ++i) {
    EXPECT_EQ(this->Route("s" + std::to_string(i), false, 1s).outcome, RequestOutcome::Unknown);
  }
  EXPECT_EQ(this->Router().Counts("desk").slotsInUse, slots);
  this->upstreams.faults[1] = FakeFault::None;
  RoutedResponse response = this->Route("late", false, 1s);
  EXPECT_EQ(response.code, "deadline_exceeded");
  EXPECT_EQ(response.outcome, RequestOutcome::NotRun);
  this->clock.Advance(30s);
  EXPECT_EQ(this->Route("later", false, 1s).status, 200);
}

// Guards against a forwarded request that is queued or forwarded again, and against treating a
// peer's refusal as final.
TEST_F(RequestRouterTest, ForwardsOneHopWhenNoSlotIsFree)
{
  unsigned asked = 0;
  RoutedResponse peerResponse;
  peerResponse.status = 200;
  peerResponse.outcome = RequestOutcome::Ran;
  this->forward = [&](const RoutedRequest&) {
    ++asked;
    return std::optional<RoutedResponse>(peerResponse);
  };
  EXPECT_EQ(this->Route("r1", true).status, 200);
  EXPECT_EQ(asked, 0u);
  this->Router().SetSeat(std::nullopt);
  EXPECT_EQ(this->Route("r2", true).status, 200);
  EXPECT_EQ(asked, 1u);
  RoutedRequest forwarded{ "desk", "a", 1, { "GET", "/", {}, "r3" }, true, this->clock.Now() + 1s };
  forwarded.isForwarded = true;
  EXPECT_EQ(this->Router().Route(forwarded).code, "no_free_slot");
  EXPECT_EQ(asked, 1u);
  peerResponse.outcome = RequestOutcome::NotRun;
  EXPECT_EQ(this->Route("r4", true).code, "not_permitted");
  EXPECT_EQ(asked, 2u);
}

// Guards against accepting requests during a drain, and against a drain reported as clean while an
// upstream may still execute a request.
TEST_F(RequestRouterTest, DrainRefusesAndWaitsForHeldSlots)
{
  this->upstreams.faults = { { 1, FakeFault::Unresponsive }, { 2, FakeFault::Unresponsive } };
  this->Route("r1", false, 1s);
  EXPECT_FALSE(this->Router().Drain(5s));
  RoutedResponse response = this->Route("r2", false);
  EXPECT_EQ(response.code, "draining");
  EXPECT_EQ(response.outcome, RequestOutcome::NotRun);
  EXPECT_TRUE(this->Router().Drain(60s));
}

// Guards against missing or wrong metrics.
TEST_F(RequestRouterTest, MetricsShowOutcomesEjectionsAndSlots)
{
  this->upstreams.faults = { { 2, FakeFault::Refusing } };
  for (unsigned i = 0; i < 12; ++i) {
    this->Route("r" + std::to_string(i), false);
  }
  this->Router().Route("invented", "a", 1, {}, false, this->clock.Now() + 1s);
  this->Router().UpdateGauges();
  EXPECT_EQ(this->metrics.CounterValue("routing_requests_total{service=\"desk\",outcome=\"ran\"}"),
            12u);
  EXPECT_EQ(this->metrics.CounterValue("routing_ejections_total{service=\"desk\"}"), 1u);
  EXPECT_EQ(this->metrics.CounterValue("routing_retries_total"), 3u);
  std::string text = this->metrics.ToPrometheusText();
  for (const char* line : { "routing_upstreams{service=\"desk\",state=\"ejected\"} 1\n",
                            "routing_slots_in_use{service=\"desk\"} 0\n",
                            "routing_waiting{service=\"desk\"} 0\n" }) {
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
  }
  EXPECT_EQ(text.find("invented"), std::string::npos);
}

// Guards against responses delivered to another concurrent request, and against leaked slots.
TEST_F(RequestRouterTest, ConcurrentRequestsGetTheirOwnResponses)
{
  SteadyClock realClock;
  FakeUpstreams fakes(nullptr);
  this->settings.maxAttemptThreads = 8;
  fakes.faults = { { 3, FakeFault::NotStarted }, { 4, FakeFault::Refusing } };
  RequestRouter concurrent(this->settings, fakes, realClock, this->metrics, {});
  concurrent.UpdateUpstreams(UpstreamList(8));
  concurrent.SetSeat(3);
  std::atomic<unsigned> crossed{ 0 };
  std::atomic<unsigned> responded{ 0 };
  std::vector<std::thread> callers;
  for (unsigned caller = 0; caller < 16; ++caller) {
    callers.emplace_back([&, caller] {
      for (unsigned i = 0; i < 100; ++i) {
        std::string body = std::to_string(caller) + "-" + std::to_string(i);
        RoutedResponse response = concurrent.Route("desk",
                                                   "t" + std::to_string(caller % 3),
                                                   1,
                                                   { "POST", "/", {}, body },
                                                   caller % 2 == 0,
                                                   realClock.Now() + 30s);
        bool isOwnResponse = response.status == 200 && response.body == body;
        crossed += response.status == 200 && response.body != body ? 1 : 0;
        responded += isOwnResponse ? 1 : 0;
        crossed += response.outcome == RequestOutcome::Ran && !isOwnResponse ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(crossed, 0u);
  EXPECT_GT(responded, 0u);
  EXPECT_TRUE(concurrent.Drain(60s));
  EXPECT_EQ(concurrent.Counts("desk").slotsInUse, 0u);
}

// Guards against callers with short deadlines whose slots stay held for the longest permitted time
// although the upstream responds soon after the deadline.
TEST_F(RequestRouterTest, LateResponseReleasesTheSlot)
{
  SteadyClock realClock;
  FakeUpstreams fakes(nullptr);
  this->settings.maxAttemptThreads = 8;
  // Makes sure that a slot held for a request without a response would not become free during the
  // test.
  this->settings.maxRequestTimeout = 1h;
  RequestRouter shortDeadlineRouter(this->settings, fakes, realClock, this->metrics, {});
  shortDeadlineRouter.UpdateUpstreams(UpstreamList(1));
  shortDeadlineRouter.SetSeat(0);
  std::mutex mutex;
  std::condition_variable changed;
  bool isReleased = false;
  fakes.onSend = [&](const Endpoint&) {
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return isReleased; });
  };
  RoutedResponse response = shortDeadlineRouter.Route(
    "desk", "a", 1, { "POST", "/", {}, "x" }, false, realClock.Now() + 50ms);
  EXPECT_EQ(response.status, 504);
  EXPECT_EQ(response.code, "deadline_exceeded");
  {
    std::lock_guard lock(fakes.mutex);
    if (fakes.starts["x"] > 0) {
      EXPECT_EQ(response.outcome, RequestOutcome::Unknown);
      EXPECT_EQ(shortDeadlineRouter.Counts("desk").slotsInUse, 1u);
    }
  }
  {
    std::lock_guard lock(mutex);
    isReleased = true;
  }
  changed.notify_all();
  while (shortDeadlineRouter.Counts("desk").slotsInUse > 0) {
    std::this_thread::yield();
  }
}

// Guards against the late response of the slower attempt being delivered to another request or
// releasing its slot twice.
TEST_F(RequestRouterTest, HedgedAttemptWinsAndTheLateResponseIsDropped)
{
  SteadyClock realClock;
  FakeUpstreams fakes(nullptr);
  this->settings.maxAttemptThreads = 128;
  // The first requests may be hedged as well and must not use up the budget.
  this->settings.hedgeTokenRatio = 0.9;
  this->settings.maxHedgeTokens = 100;
  RequestRouter hedging(this->settings, fakes, realClock, this->metrics, {});
  hedging.UpdateUpstreams(UpstreamList(4));
  hedging.SetSeat(0);
  auto route = [&](const std::string& aBody) {
    return hedging.Route("desk", "a", 1, { "GET", "/", {}, aBody }, true, realClock.Now() + 30s);
  };
  for (unsigned i = 0; i < 64; ++i) {
    ASSERT_EQ(route("warm" + std::to_string(i)).status, 200);
  }
  while (hedging.Counts("desk").slotsInUse > 0) {
    std::this_thread::yield();
  }
  std::mutex mutex;
  std::condition_variable changed;
  bool isReleased = false;
  std::atomic<bool> isFirst{ true };
  fakes.onSend = [&](const Endpoint&) {
    if (isFirst.exchange(false)) {
      std::unique_lock lock(mutex);
      changed.wait(lock, [&] { return isReleased; });
    }
  };
  RoutedResponse response = route("hedged");
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(response.body, "hedged");
  EXPECT_EQ(hedging.Counts("desk").slotsInUse, 1u);
  EXPECT_EQ(route("next").body, "next");
  {
    std::lock_guard lock(mutex);
    isReleased = true;
  }
  changed.notify_all();
  EXPECT_TRUE(hedging.Drain(60s));
  EXPECT_EQ(hedging.Counts("desk").slotsInUse, 0u);
}

} // namespace
} // namespace daisydrift
