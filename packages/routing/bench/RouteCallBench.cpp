// Measures the overhead of RequestRouter::Route with an upstream client that responds immediately.
// Repeatable requests run on the router's threads if it has any; other requests with an ample
// deadline run on their caller's thread. Runs in real time.

#include "Report.h"

#include "daisydrift/routing.h"

#include <chrono>
#include <mutex>
#include <thread>

namespace daisydrift {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr unsigned kRequests = 40'000;
constexpr unsigned kUpstreams = 50;

class ImmediateClient : public UpstreamClient
{
public:
  UpstreamResult Send(const Endpoint&,
                      const UpstreamRequest& aRequest,
                      std::chrono::milliseconds) override
  {
    return { {}, SendProgress::Sent, { 200, {}, aRequest.body } };
  }
};

void Measure(std::size_t aAttemptThreads, bool aIsRepeatable, unsigned aCallers)
{
  RoutingSettings settings;
  settings.maxAttemptThreads = aAttemptThreads;
  ImmediateClient client;
  SteadyClock clock;
  Metrics metrics;
  RequestRouter router(settings, client, clock, metrics, {});
  std::vector<InstanceInfo> list;
  for (unsigned i = 0; i < kUpstreams; ++i) {
    InstanceInfo info;
    info.id = "runner-" + std::to_string(i);
    info.kind = InstanceKind::Upstream;
    info.service = "bursary-desk";
    list.push_back(info);
  }
  router.UpdateUpstreams(list);
  router.SetSeat(0);
  std::mutex mutex;
  std::vector<double> times;
  std::vector<std::thread> callers;
  for (unsigned caller = 0; caller < aCallers; ++caller) {
    callers.emplace_back([&] {
      std::vector<double> own;
      UpstreamRequest request{ "POST", "/check", {}, "body" };
      for (unsigned i = 0; i < kRequests / aCallers; ++i) {
        auto start = std::chrono::steady_clock::now();
        router.Route("bursary-desk",
                     "trust",
                     1,
                     request,
                     aIsRepeatable,
                     clock.Now() + std::chrono::seconds(10));
        auto end = std::chrono::steady_clock::now();
        own.push_back(std::chrono::duration<double, std::micro>(end - start).count());
      }
      std::lock_guard lock(mutex);
      times.insert(times.end(), own.begin(), own.end());
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const char* policy = aAttemptThreads > 0 ? "router_threads" : "caller_threads";
  std::string parameters = "upstreams=50 repeatable=" + std::to_string(int(aIsRepeatable)) +
                           " callers=" + std::to_string(aCallers) +
                           " requests=" + std::to_string(times.size());
  PrintMeasurement(
    "route_call", "route_median", Quantile(times, 500), "us", policy, kSeed, parameters);
  PrintMeasurement(
    "route_call", "route_p99", Quantile(times, 990), "us", policy, kSeed, parameters);
}

} // namespace
} // namespace daisydrift

int main()
{
  for (std::size_t threads : { std::size_t{ 0 }, std::size_t{ 128 } }) {
    for (bool isRepeatable : { false, true }) {
      for (unsigned callers : { 1u, 16u }) {
        daisydrift::Measure(threads, isRepeatable, callers);
      }
    }
  }
  return 0;
}
