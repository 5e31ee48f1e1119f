// Requests lost when one of 50 upstreams hangs: with and without ejection, and with and without
// holding the slots of unanswered requests. Virtual clock, one seat; the figures are the same in
// every run.

#include "BenchLine.h"

#include "daisydrift/routing.h"

#include <functional>
#include <map>
#include <random>

namespace daisydrift {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr unsigned kUpstreams = 50;
constexpr Duration kWork = std::chrono::milliseconds(20);
constexpr Duration kDeadline = std::chrono::seconds(2);
constexpr Duration kRunTime = std::chrono::seconds(300);
/// About half of what the slots of a seat can serve (57 / 20 ms).
constexpr double kRequestsPerSecond = 1400;

struct Policy
{
  const char* name;
  unsigned ejectAfterFailures;
  bool isUnansweredSlotHeld;
};
const Policy kPolicies[] = { { "none", 0, false },
                             { "ejection", 3, false },
                             { "held_slots", 0, true },
                             { "ejection_and_held_slots", 3, true } };

class Simulation
{
public:
  Simulation(const Policy& aPolicy, bool aIsRepeatable)
    : engine(SettingsOf(aPolicy))
    , isRepeatable(aIsRepeatable)
    , random(kSeed)
  {
    std::vector<InstanceInfo> list;
    for (unsigned i = 0; i < kUpstreams; ++i) {
      InstanceInfo info;
      info.id = "runner-" + std::to_string(i);
      info.kind = InstanceKind::Upstream;
      info.endpoint = { "127.0.0.1", static_cast<std::uint16_t>(1 + i) };
      info.service = "bursary-desk";
      list.push_back(info);
    }
    this->engine.UpdateUpstreams(list, this->now);
    this->engine.SetSeat(0, this->now);
  }

  void Run()
  {
    TimePoint end = this->now + kRunTime;
    this->At(this->now, [this, end] { this->Arrive(end); });
    while (!this->pending.empty()) {
      auto first = this->pending.begin();
      this->now = std::max(this->now, first->first);
      std::function<void()> action = std::move(first->second);
      this->pending.erase(first);
      action();
    }
  }

  unsigned requests = 0;
  unsigned lost = 0;
  unsigned refused = 0;
  std::vector<double> latencies;
  const RoutingCounts& Counts() const { return this->engine.Counts(); }

private:
  static RoutingSettings SettingsOf(const Policy& aPolicy)
  {
    RoutingSettings settings;
    settings.ejectAfterFailures = aPolicy.ejectAfterFailures;
    settings.isUnansweredSlotHeld = aPolicy.isUnansweredSlotHeld;
    return settings;
  }

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    this->pending.emplace(aTime, std::move(aAction));
  }

  void Arrive(TimePoint aEnd)
  {
    ++this->requests;
    TimePoint deadline = this->now + kDeadline;
    RequestNumber number =
      this->engine.Submit({ "bursary-desk", "trust", 1, this->isRepeatable, deadline }, this->now);
    this->arrivals[number] = this->now;
    this->Handle();
    this->At(deadline, [this, number] {
      this->engine.Expire(number, this->now);
      this->Handle();
    });
    double gap = std::exponential_distribution<double>(kRequestsPerSecond / 1e6)(this->random);
    TimePoint next = this->now + Duration(static_cast<std::int64_t>(gap));
    if (next < aEnd) {
      this->At(next, [this, aEnd] { this->Arrive(aEnd); });
    }
  }

  void Handle()
  {
    for (RoutingEvent& event : this->engine.TakeEvents()) {
      RequestNumber number = event.request;
      if (event.order) {
        this->Send(*event.order);
      } else if (event.retry) {
        this->At(this->now + event.retry->delay, [this, number] {
          if (this->arrivals.count(number) > 0) {
            this->engine.Requeue(number, this->now);
            this->Handle();
          }
        });
      } else {
        this->End(number, *event.end);
      }
    }
  }

  void End(RequestNumber aNumber, const RequestEnd& aEnd)
  {
    this->lost += aEnd.outcome == RequestOutcome::Unknown ? 1 : 0;
    this->refused += aEnd.outcome == RequestOutcome::NotRun ? 1 : 0;
    if (aEnd.outcome == RequestOutcome::Ran) {
      this->latencies.push_back(
        std::chrono::duration<double, std::milli>(this->now - this->arrivals[aNumber]).count());
    }
    this->arrivals.erase(aNumber);
  }

  void Send(const TryOrder& aOrder)
  {
    bool isHanging = aOrder.slot.upstream == "runner-7";
    double work = std::exponential_distribution<double>(1.0 / kWork.count())(this->random);
    TimePoint sentAt = this->now;
    TimePoint endsAt = sentAt + Duration(static_cast<std::int64_t>(work));
    bool isAnswered = !isHanging && endsAt <= aOrder.giveUpAt;
    if (auto delay = this->engine.HedgeDelay(aOrder.request)) {
      RequestNumber number = aOrder.request;
      this->At(sentAt + *delay, [this, number] {
        this->engine.HedgeNow(number, this->now);
        this->Handle();
      });
    }
    this->At(isAnswered ? endsAt : aOrder.giveUpAt, [this, aOrder, isAnswered, sentAt] {
      TryOutcome outcome = isAnswered ? TryOutcome::Answered : TryOutcome::NoAnswer;
      this->engine.TryEnded(aOrder, outcome, sentAt, this->now);
      this->Handle();
    });
  }

  RoutingEngine engine;
  bool isRepeatable;
  std::mt19937_64 random;
  TimePoint now{ std::chrono::hours(1) };
  std::multimap<TimePoint, std::function<void()>> pending;
  std::map<RequestNumber, TimePoint> arrivals;
};

} // namespace
} // namespace daisydrift

int main()
{
  using namespace daisydrift;
  for (bool isRepeatable : { false, true }) {
    for (const Policy& policy : kPolicies) {
      Simulation simulation(policy, isRepeatable);
      simulation.Run();
      std::string parameters =
        "upstreams=50 hanging=1 repeatable=" + std::to_string(int(isRepeatable)) +
        " requests=" + std::to_string(simulation.requests) +
        " deadline_ms=2000 virtual_seconds=300";
      auto print = [&](const char* aMetric, double aValue, const char* aUnit) {
        PrintFigure("hanging_upstream", aMetric, aValue, aUnit, policy.name, kSeed, parameters);
      };
      print("lost", simulation.lost, "requests");
      print("refused", simulation.refused, "requests");
      print("latency_p99", Quantile(simulation.latencies, 990), "ms");
      print("latency_p999", Quantile(simulation.latencies, 999), "ms");
      print("hedges", static_cast<double>(simulation.Counts().hedges), "tries");
      print("retries", static_cast<double>(simulation.Counts().retries), "tries");
    }
  }
  return 0;
}
