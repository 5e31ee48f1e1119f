// Measures the requests lost when one of 50 upstreams hangs, with and without ejection, and with
// and without holding the slots of requests that got no response. Runs on a virtual clock with one
// seat; the results are the same in every run.

#include "Report.h"

#include "daisydrift/routing.h"

#include <functional>
#include <map>
#include <random>

namespace daisydrift {
namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr unsigned kUpstreams = 50;
constexpr Duration kMeanWork = std::chrono::milliseconds(20);
constexpr Duration kDeadline = std::chrono::seconds(2);
constexpr Duration kMaxRequestTimeout = std::chrono::seconds(30);
constexpr Duration kRunTime = std::chrono::seconds(300);
/// About half of the requests per second that the slots of a seat can serve (57 / 20 ms).
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
    , isUnansweredSlotHeld(aPolicy.isUnansweredSlotHeld)
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
    this->ScheduleAt(this->now, [this, end] { this->Arrive(end); });
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

  void ScheduleAt(TimePoint aTime, std::function<void()> aAction)
  {
    this->pending.emplace(aTime, std::move(aAction));
  }

  void Arrive(TimePoint aEnd)
  {
    ++this->requests;
    TimePoint deadline = this->now + kDeadline;
    RequestId id =
      this->engine.Submit({ "bursary-desk", "trust", 1, this->isRepeatable, deadline }, this->now);
    this->arrivals[id] = this->now;
    this->HandleEvents();
    this->ScheduleAt(deadline, [this, id] {
      this->engine.Expire(id, this->now);
      this->HandleEvents();
    });
    double gap = std::exponential_distribution<double>(kRequestsPerSecond / 1e6)(this->random);
    TimePoint next = this->now + Duration(static_cast<std::int64_t>(gap));
    if (next < aEnd) {
      this->ScheduleAt(next, [this, aEnd] { this->Arrive(aEnd); });
    }
  }

  void HandleEvents()
  {
    for (RoutingEvent& event : this->engine.TakeEvents()) {
      RequestId id = event.request;
      if (event.attempt) {
        this->Send(*event.attempt);
      } else if (event.retry) {
        this->ScheduleAt(this->now + event.retry->delay, [this, id] {
          if (this->arrivals.count(id) > 0) {
            this->engine.Requeue(id, this->now);
            this->HandleEvents();
          }
        });
      } else {
        this->RecordResult(id, *event.result);
      }
    }
  }

  void RecordResult(RequestId aRequestId, const RequestResult& aResult)
  {
    this->lost += aResult.outcome == RequestOutcome::Unknown ? 1 : 0;
    this->refused += aResult.outcome == RequestOutcome::NotRun ? 1 : 0;
    if (aResult.outcome == RequestOutcome::Ran) {
      this->latencies.push_back(
        std::chrono::duration<double, std::milli>(this->now - this->arrivals[aRequestId]).count());
    }
    this->arrivals.erase(aRequestId);
  }

  void Send(const UpstreamAttempt& aAttempt)
  {
    bool isHanging = aAttempt.slot.upstream == "runner-7";
    double work = std::exponential_distribution<double>(1.0 / kMeanWork.count())(this->random);
    TimePoint sentAt = this->now;
    TimePoint endsAt = sentAt + Duration(static_cast<std::int64_t>(work));
    // The policies without held slots abandon an attempt at the deadline of the request.
    TimePoint giveUpAt =
      this->isUnansweredSlotHeld ? sentAt + kMaxRequestTimeout : aAttempt.deadline;
    bool hasResponse = !isHanging && endsAt <= giveUpAt;
    if (auto delay = this->engine.HedgeDelay(aAttempt.request)) {
      RequestId id = aAttempt.request;
      this->ScheduleAt(sentAt + *delay, [this, id] {
        this->engine.StartHedge(id, this->now);
        this->HandleEvents();
      });
    }
    this->ScheduleAt(hasResponse ? endsAt : giveUpAt, [this, aAttempt, hasResponse, sentAt] {
      SendOutcome outcome = hasResponse ? SendOutcome::Responded : SendOutcome::NoResponse;
      this->engine.OnAttemptEnded(aAttempt, outcome, sentAt, this->now);
      this->HandleEvents();
    });
  }

  RoutingEngine engine;
  bool isUnansweredSlotHeld;
  bool isRepeatable;
  std::mt19937_64 random;
  TimePoint now{ std::chrono::hours(1) };
  std::multimap<TimePoint, std::function<void()>> pending;
  std::map<RequestId, TimePoint> arrivals;
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
        PrintMeasurement(
          "hanging_upstream", aMetric, aValue, aUnit, policy.name, kSeed, parameters);
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
