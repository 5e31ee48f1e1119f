// Compares the waiting time of each team in the fair queue and in a FIFO queue while one team
// floods a service. Runs on a virtual clock; the results are the same in every run.

#include "Report.h"

#include "daisydrift/routing.h"

#include <deque>
#include <map>
#include <random>
#include <unordered_map>

namespace daisydrift {
namespace {

constexpr std::uint64_t kSeed = 20261204;
/// Slots of one seat at 50 upstreams.
constexpr unsigned kSlots = 57;
constexpr Duration kMeanWork = std::chrono::milliseconds(20);
constexpr Duration kDeadline = std::chrono::seconds(5);
constexpr Duration kRunTime = std::chrono::seconds(60);
constexpr std::size_t kQueueCapacity = 1024;
constexpr std::size_t kTeamCapacity = 256;

/// Weight and request rate of a team, in requests per second. The slots serve 57 / 20 ms = 2,850
/// requests per second.
struct Load
{
  const char* team;
  double weight;
  double rate;
};
const Load kLoads[] = { { "flood", 1, 6000 }, { "heavy", 4, 600 }, { "light", 1, 100 } };

struct WaitingRequest
{
  unsigned team = 0;
  TimePoint since{};
};

/// Baseline: bounded FIFO queue.
class FifoQueue
{
public:
  bool Push(RequestId aRequest, unsigned, TimePoint, RequestId&)
  {
    if (this->requests.size() >= kQueueCapacity) {
      return false;
    }
    this->requests.push_back(aRequest);
    return true;
  }
  RequestId Pop(TimePoint)
  {
    if (this->requests.empty()) {
      return 0;
    }
    RequestId request = this->requests.front();
    this->requests.pop_front();
    return request;
  }

private:
  std::deque<RequestId> requests;
};

class FairQueue
{
public:
  bool Push(RequestId aRequest, unsigned aTeam, TimePoint aNow, RequestId& aEvicted)
  {
    const Load& load = kLoads[aTeam];
    PushResult result =
      this->queue.Push({ aRequest, load.team, load.weight, aNow + kDeadline }, aNow);
    aEvicted = result.evicted;
    return result.status == PushStatus::Queued;
  }
  RequestId Pop(TimePoint aNow) { return this->queue.Size() > 0 ? this->queue.Pop(aNow) : 0; }

private:
  AdmissionQueue queue{ kQueueCapacity, kTeamCapacity };
};

template<typename Queue>
void Measure(const char* aPolicy)
{
  std::mt19937_64 random(kSeed);
  Queue queue;
  std::unordered_map<RequestId, WaitingRequest> waiting;
  std::map<unsigned, std::vector<double>> waits;
  std::map<unsigned, unsigned> refused;
  std::map<unsigned, unsigned> offered;
  TimePoint start{ std::chrono::hours(1) };
  // Arrivals, by the index of the team, and completions, as kEndOfWork.
  std::multimap<TimePoint, unsigned> events;
  constexpr unsigned kEndOfWork = 3;
  unsigned freeSlots = kSlots;
  RequestId lastId = 0;
  auto exponential = [&](double aMeanUs) {
    return Duration(
      static_cast<std::int64_t>(std::exponential_distribution<double>(1 / aMeanUs)(random)));
  };
  for (unsigned team = 0; team < 3; ++team) {
    events.emplace(start + exponential(1e6 / kLoads[team].rate), team);
  }
  while (!events.empty() && events.begin()->first < start + kRunTime) {
    auto [now, kind] = *events.begin();
    events.erase(events.begin());
    if (kind == kEndOfWork) {
      ++freeSlots;
    } else {
      events.emplace(now + exponential(1e6 / kLoads[kind].rate), kind);
      ++offered[kind];
      RequestId evicted = 0;
      if (queue.Push(++lastId, kind, now, evicted)) {
        waiting[lastId] = { kind, now };
      } else {
        ++refused[kind];
      }
      if (evicted != 0) {
        ++refused[waiting[evicted].team];
        waiting.erase(evicted);
      }
    }
    RequestId next = 0;
    while (freeSlots > 0 && (next = queue.Pop(now)) != 0) {
      --freeSlots;
      WaitingRequest item = waiting[next];
      waiting.erase(next);
      waits[item.team].push_back(
        std::chrono::duration<double, std::milli>(now - item.since).count());
      events.emplace(now + exponential(static_cast<double>(kMeanWork.count())), kEndOfWork);
    }
  }
  for (unsigned team = 0; team < 3; ++team) {
    std::string parameters = std::string("team=") + kLoads[team].team +
                             " weight=" + std::to_string(int(kLoads[team].weight)) +
                             " offered_per_s=" + std::to_string(int(kLoads[team].rate)) +
                             " slots=57 work_ms=20";
    PrintMeasurement(
      "fair_wait", "wait_median", Quantile(waits[team], 500), "ms", aPolicy, kSeed, parameters);
    PrintMeasurement(
      "fair_wait", "wait_p99", Quantile(waits[team], 990), "ms", aPolicy, kSeed, parameters);
    PrintMeasurement("fair_wait",
                     "refused",
                     100.0 * refused[team] / std::max(1u, offered[team]),
                     "percent",
                     aPolicy,
                     kSeed,
                     parameters);
  }
}

} // namespace
} // namespace daisydrift

int main()
{
  daisydrift::Measure<daisydrift::FifoQueue>("fifo");
  daisydrift::Measure<daisydrift::FairQueue>("fair");
  return 0;
}
