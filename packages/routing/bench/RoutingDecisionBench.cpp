// Measures the time of one routing decision, which is the admission of a request with the choice of
// its upstream, and of the end of its attempt, by number of upstreams and load. Runs in real time
// on one thread.

#include "Report.h"

#include "daisydrift/routing.h"

#include <chrono>
#include <deque>
#include <random>

namespace daisydrift {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr unsigned kDecisions = 200'000;

std::vector<InstanceInfo> Upstreams(unsigned aCount)
{
  std::vector<InstanceInfo> list;
  for (unsigned i = 0; i < aCount; ++i) {
    InstanceInfo info;
    info.id = "runner-" + std::to_string(i);
    info.kind = InstanceKind::Upstream;
    info.endpoint = { "127.0.0.1", static_cast<std::uint16_t>(1 + i) };
    info.failureDomain = i % 3 == 0 ? "hobart" : i % 3 == 1 ? "launceston" : "burnie";
    info.service = "bursary-desk";
    list.push_back(info);
  }
  return list;
}

/// Keeps aLoad percent of the slots in use and measures the submission and the end of each request.
void Measure(unsigned aUpstreams, unsigned aLoad)
{
  RoutingSettings settings;
  settings.failureDomain = "hobart";
  RoutingEngine engine(settings);
  TimePoint now{ std::chrono::hours(1) };
  engine.UpdateUpstreams(Upstreams(aUpstreams), now);
  engine.SetSeat(0, now);
  unsigned target = engine.Table().Counts("bursary-desk", now).slots * aLoad / 100;
  std::mt19937_64 random(kSeed);
  std::deque<UpstreamAttempt> open;
  std::vector<double> submits;
  std::vector<double> ends;
  auto takeAttempts = [&] {
    for (RoutingEvent& event : engine.TakeEvents()) {
      if (event.attempt) {
        open.push_back(std::move(*event.attempt));
      }
    }
  };
  RequestSpec spec{ "bursary-desk", "trust", 1, true, TimePoint() };
  for (unsigned i = 0; i < kDecisions; ++i) {
    now += Duration(100);
    spec.deadline = now + std::chrono::seconds(10);
    auto start = std::chrono::steady_clock::now();
    engine.Submit(spec, now);
    takeAttempts();
    auto submitted = std::chrono::steady_clock::now();
    submits.push_back(std::chrono::duration<double, std::micro>(submitted - start).count());
    if (open.size() <= target) {
      continue;
    }
    std::swap(open.front(), open[random() % open.size()]);
    UpstreamAttempt attempt = std::move(open.front());
    open.pop_front();
    start = std::chrono::steady_clock::now();
    engine.OnAttemptEnded(attempt, SendOutcome::Responded, attempt.issuedAt, now);
    takeAttempts();
    auto ended = std::chrono::steady_clock::now();
    ends.push_back(std::chrono::duration<double, std::micro>(ended - start).count());
  }
  std::string parameters = "upstreams=" + std::to_string(aUpstreams) +
                           " slots_in_use_percent=" + std::to_string(aLoad) +
                           " decisions=" + std::to_string(kDecisions);
  const char* policy = "least_loaded";
  PrintMeasurement(
    "routing_decision", "submit_median", Quantile(submits, 500), "us", policy, kSeed, parameters);
  PrintMeasurement(
    "routing_decision", "submit_p99", Quantile(submits, 990), "us", policy, kSeed, parameters);
  PrintMeasurement(
    "routing_decision", "end_median", Quantile(ends, 500), "us", policy, kSeed, parameters);
  PrintMeasurement(
    "routing_decision", "end_p99", Quantile(ends, 990), "us", policy, kSeed, parameters);
}

} // namespace
} // namespace daisydrift

int main()
{
  for (unsigned upstreams : { 50u, 1000u }) {
    for (unsigned load : { 50u, 95u }) {
      daisydrift::Measure(upstreams, load);
    }
  }
  return 0;
}
