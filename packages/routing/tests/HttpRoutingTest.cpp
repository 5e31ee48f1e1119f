// Guards against faults between the router and real connections: responses delivered to another
// request, second starts, and use beyond the seat's slots at upstreams that refuse, hang or stop.

#include "daisydrift/routing.h"
#include "daisydrift/standins.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

// Control requests use their own client, because a server that stops waits for open keep-alive
// connections.
std::string Get(const UpstreamServer& aServer, const std::string& aTarget)
{
  HttpUpstreamClient client;
  return client.Send(aServer.Address(), { "GET", aTarget, {}, "" }, 10s).response.body;
}

void SetMode(const UpstreamServer& aServer, const std::string& aMode)
{
  HttpUpstreamClient client;
  UpstreamRequest request{ "POST", "/control/mode", {}, "{\"mode\": \"" + aMode + "\"}" };
  ASSERT_EQ(client.Send(aServer.Address(), request, 10s).response.status, 200);
}

/// Starts three servers. The returned list contains them and a fourth upstream, which refuses
/// connections.
std::vector<InstanceInfo> StartServers(std::vector<std::unique_ptr<UpstreamServer>>& aServers)
{
  std::vector<InstanceInfo> list;
  for (unsigned i = 0; i < 4; ++i) {
    std::string name = "u" + std::to_string(i);
    aServers.push_back(std::make_unique<UpstreamServer>(name, 8));
    EXPECT_TRUE(aServers.back()->Start({ "127.0.0.1", 0 }));
    InstanceInfo info;
    info.id = name;
    info.kind = InstanceKind::Upstream;
    info.endpoint = aServers.back()->Address();
    info.service = "desk";
    list.push_back(info);
  }
  aServers.back()->Stop();
  aServers.pop_back();
  return list;
}

TEST(HttpRoutingTest, RequestsOverHttpKeepTheInvariants)
{
  // The servers are declared first and so destroyed last: they wait for keep-alive connections,
  // which the client's destructor closes.
  std::vector<std::unique_ptr<UpstreamServer>> servers;
  std::vector<InstanceInfo> list = StartServers(servers);
  HttpUpstreamClient client;
  SteadyClock clock;
  Metrics metrics;
  RoutingSettings settings;
  settings.seats = 1;
  settings.limits = { 4, 64 };
  RequestRouter router(settings, client, clock, metrics, {});
  router.UpdateUpstreams(list);
  router.SetSeat(0);
  SetMode(*servers[1], "leaving");
  SetMode(*servers[2], "hang");
  std::atomic<unsigned> wrong{ 0 };
  std::atomic<unsigned> ran{ 0 };
  std::vector<std::thread> callers;
  for (unsigned caller = 0; caller < 8; ++caller) {
    callers.emplace_back([&, caller] {
      for (unsigned i = 0; i < 20; ++i) {
        std::string id = std::to_string(caller) + "-" + std::to_string(i);
        UpstreamRequest request{ "POST", "/check?work_ms=1", { { "Request-Id", id } }, "b" + id };
        RoutedResponse response = router.Route(
          "desk", "t" + std::to_string(caller % 3), 1, request, false, clock.Now() + 2s);
        bool isOwn = response.body.find("\"request_id\":\"" + id + "\"") != std::string::npos;
        wrong += response.outcome == RequestOutcome::Ran && !isOwn ? 1 : 0;
        ran += response.outcome == RequestOutcome::Ran ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(wrong, 0u);
  EXPECT_GT(ran, 0u);
  for (const auto& server : servers) {
    std::string stats = Get(*server, "/control/stats");
    EXPECT_NE(stats.find("\"requests_started_twice\":0"), std::string::npos) << stats;
    EXPECT_EQ(stats.find("\"peak_busy\":5"), std::string::npos) << stats;
  }
  // Only the hanging server's slots may still be held, for requests without a response.
  EXPECT_LE(router.Counts("desk").slotsInUse, 4u);
  // Ends the hanging requests; otherwise the router would wait for them until the longest permitted
  // deadline.
  servers[2]->Stop();
}

} // namespace
} // namespace daisydrift
