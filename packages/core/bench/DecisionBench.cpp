// Measures the cost of single decisions in a loaded fleet, the memory of the scheduler's state, the
// cost of cancelling many jobs, and the ordered index against lists of best candidates. Usage:
// DecisionBench [SEED]

#include "FreeCapacityIndex.h"
#include "Policy.h"
#include "Report.h"
#include "TopCandidates.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <malloc.h>
#include <random>

namespace daisydrift::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kTeamCount = 61;
constexpr std::size_t kTimedDecisions = 20000;

double ToMicros(Clock::duration aDuration)
{
  return std::chrono::duration<double, std::micro>(aDuration).count();
}

double Percentile(std::vector<double>& aValues, double aFraction)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.empty()
           ? 0
           : aValues[static_cast<std::size_t>(aFraction * static_cast<double>(aValues.size() - 1))];
}

double ThreadCpuMicros()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

std::size_t AllocatedBytes()
{
  auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// A fleet filled with running tasks, on which single decisions are timed.
class LoadedFleet
{
public:
  LoadedFleet(Policy& aPolicy, std::size_t aWorkers, std::uint64_t aSeed)
    : policy(aPolicy)
    , random(aSeed)
  {
    for (std::size_t i = 0; i < aWorkers; ++i) {
      this->policy.UpdateWorker({ "w" + std::to_string(i),
                                  "d" + std::to_string(i % 5),
                                  "r" + std::to_string(i / 40),
                                  { 16000, 65536, i % 6 == 0 ? 8 : 0 },
                                  WorkerHealth::Live },
                                this->now);
    }
    std::vector<TeamPolicy> teams;
    for (std::size_t i = 0; i < kTeamCount; ++i) {
      teams.push_back({ "t" + std::to_string(i),
                        1 + static_cast<std::uint32_t>(i % 4),
                        { std::int64_t{ 1 } << 40, std::int64_t{ 1 } << 40, 1 << 20 },
                        1U << 30 });
    }
    this->policy.SetTeams(teams, this->now);
    // 11 tasks per worker, the load expected in two years; a fifth of them are services.
    for (std::size_t i = 0; i < aWorkers * 11; ++i) {
      this->AddJob(i % 5 == 0 ? WorkClass::Service : WorkClass::Batch);
      if (i % 100 == 99) {
        this->Decide(200);
      }
    }
    this->Decide(1000);
    this->Decide(1000);
  }

  JobNumber AddJob(WorkClass aClass)
  {
    JobSpec spec;
    spec.number = this->nextJob++;
    spec.team = "t" + std::to_string(this->random() % kTeamCount);
    spec.kind = "k" + std::to_string(this->random() % 4);
    spec.workClass = aClass;
    spec.size = { static_cast<std::int64_t>(500 + 250 * (this->random() % 8)),
                  static_cast<std::int64_t>(512 << (this->random() % 4)),
                  this->random() % 16 == 0 ? 1 : 0 };
    spec.declaredRunTime = std::chrono::seconds(10);
    this->policy.AddJob(spec, this->now);
    return spec.number;
  }

  void Decide(std::size_t aMaxStarts)
  {
    this->now += std::chrono::milliseconds(1);
    for (const Decision& decision : this->policy.Decide(this->now, aMaxStarts)) {
      if (const auto* start = std::get_if<StartDecision>(&decision)) {
        this->running.push_back(start->attempt);
      }
    }
  }

  /// Ends one task and adds another. Returns the time of the end, the arrival and the decision
  /// together, in microseconds.
  double TimeTaskReplacement()
  {
    std::size_t position = this->random() % this->running.size();
    AttemptId ended = this->running[position];
    this->running[position] = this->running.back();
    this->running.pop_back();
    auto before = Clock::now();
    this->policy.OnEnded(ended, AttemptOutcome::Succeeded, this->now);
    this->AddJob(WorkClass::Batch);
    this->Decide(1);
    return ToMicros(Clock::now() - before);
  }

  Policy& policy;
  TimePoint now{ std::chrono::hours(1) };
  std::vector<AttemptId> running;

private:
  std::mt19937_64 random;
  JobNumber nextJob = 1;
};

void MeasureDecisions(const std::string& aPolicy, std::size_t aWorkers, std::uint64_t aSeed)
{
  std::size_t bytesBefore = AllocatedBytes();
  auto policy = MakePolicy(aPolicy, aSeed);
  LoadedFleet fleet(*policy, aWorkers, aSeed);
  auto print = [&](const std::string& aMetric, double aValue, const std::string& aUnit) {
    PrintMeasurement("decision", aWorkers, kTeamCount, aPolicy, aSeed, aMetric, aValue, aUnit);
  };
  print("running", static_cast<double>(fleet.running.size()), "tasks");
  print("state_memory", static_cast<double>(AllocatedBytes() - bytesBefore) / 1048576.0, "MiB");
  std::vector<double> decisionMicros;
  double cpuMicros = ThreadCpuMicros();
  auto begin = Clock::now();
  std::size_t count =
    aPolicy == "first_fit" && aWorkers > 1000 ? kTimedDecisions / 10 : kTimedDecisions;
  for (std::size_t i = 0; i < count; ++i) {
    decisionMicros.push_back(fleet.TimeTaskReplacement());
  }
  cpuMicros = ThreadCpuMicros() - cpuMicros;
  double seconds = ToMicros(Clock::now() - begin) / 1e6;
  print("decision_median", Percentile(decisionMicros, 0.5), "us");
  print("decision_p99", Percentile(decisionMicros, 0.99), "us");
  print("decision_worst", Percentile(decisionMicros, 1.0), "us");
  print("decisions_per_second", static_cast<double>(count) / seconds, "1/s");
  print("cpu_per_start", cpuMicros / static_cast<double>(count), "us");
}

/// Measures the cancellation of thousands of waiting jobs at once.
void MeasureCancellation(const std::string& aPolicy, std::uint64_t aSeed)
{
  constexpr std::size_t kWorkers = 1000;
  constexpr std::size_t kJobs = 10000;
  auto policy = MakePolicy(aPolicy, aSeed);
  LoadedFleet fleet(*policy, kWorkers, aSeed);
  std::vector<JobNumber> jobs;
  for (std::size_t i = 0; i < kJobs; ++i) {
    jobs.push_back(fleet.AddJob(WorkClass::Batch));
  }
  auto before = Clock::now();
  for (JobNumber job : jobs) {
    policy->CancelJob(job, fleet.now);
  }
  fleet.Decide(0);
  PrintMeasurement("cancellation",
                   kWorkers,
                   kTeamCount,
                   aPolicy,
                   aSeed,
                   "cancel_10000_jobs",
                   ToMicros(Clock::now() - before) / 1000,
                   "ms");
}

/// Returns the mean time, in microseconds, to release resources on one worker, find another worker
/// and allocate resources on it, with either index.
template<typename Put, typename Find>
double MeasureIndex(std::size_t aWorkers,
                    std::size_t aSizes,
                    std::uint64_t aSeed,
                    Put aPut,
                    Find aFind)
{
  std::mt19937_64 random(aSeed);
  std::vector<Resources> free(aWorkers, Resources{ 16000, 65536, 0 });
  std::vector<Resources> sizes;
  for (std::size_t i = 0; i < aSizes; ++i) {
    sizes.push_back({ static_cast<std::int64_t>(250 + 50 * (random() % 40)),
                      static_cast<std::int64_t>(256 + 64 * (random() % 60)),
                      0 });
  }
  for (std::uint32_t i = 0; i < aWorkers; ++i) {
    aPut(i, free[i]);
  }
  struct Placement
  {
    std::uint32_t worker;
    Resources size;
  };
  std::vector<Placement> placed;
  std::size_t targetPlaced = aWorkers * 11;
  std::size_t timed = 0;
  Clock::time_point begin;
  while (timed < 50000) {
    if (placed.size() == targetPlaced) {
      begin = timed == 0 ? Clock::now() : begin;
      ++timed;
      std::size_t position = random() % placed.size();
      Placement ended = placed[position];
      placed[position] = placed.back();
      placed.pop_back();
      free[ended.worker] += ended.size;
      aPut(ended.worker, free[ended.worker]);
    }
    const Resources& size = sizes[random() % sizes.size()];
    std::int64_t worker = aFind(size);
    if (worker < 0) {
      targetPlaced = placed.size();
      continue;
    }
    auto position = static_cast<std::uint32_t>(worker);
    free[position] -= size;
    aPut(position, free[position]);
    placed.push_back({ position, size });
  }
  return ToMicros(Clock::now() - begin) / static_cast<double>(timed);
}

void CompareIndexes(std::size_t aWorkers, std::size_t aSizes, std::uint64_t aSeed)
{
  core::FreeCapacityIndex ordered;
  std::vector<core::EntityIndex> found;
  double orderedMicros = MeasureIndex(
    aWorkers,
    aSizes,
    aSeed,
    [&](std::uint32_t aWorker, const Resources& aFree) {
      ordered.Put(aWorker, aWorker % 5, false, aFree);
    },
    [&](const Resources& aNeed) -> std::int64_t {
      found.clear();
      auto any = [](core::EntityIndex) { return true; };
      for (core::EntityIndex domain = 0; domain < 5; ++domain) {
        ordered.CollectBestFit(domain, aNeed, any, 1, found);
      }
      if (found.empty()) {
        ordered.CollectAny(aNeed, any, 1, found);
      }
      return found.empty() ? -1 : static_cast<std::int64_t>(found.front());
    });
  TopCandidates top;
  double topMicros = MeasureIndex(
    aWorkers,
    aSizes,
    aSeed,
    [&](std::uint32_t aWorker, const Resources& aFree) { top.Put(aWorker, aFree); },
    [&](const Resources& aNeed) { return top.Find(aNeed); });
  std::string suffix = "_" + std::to_string(aSizes) + "_sizes";
  PrintMeasurement("index", aWorkers, 0, "ordered", aSeed, "replace" + suffix, orderedMicros, "us");
  PrintMeasurement("index", aWorkers, 0, "top_16", aSeed, "replace" + suffix, topMicros, "us");
}

} // namespace
} // namespace daisydrift::bench

int main(int aCount, char** aArguments)
{
  using namespace daisydrift::bench;
  std::uint64_t seed = aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 20261204;
  for (std::size_t workers : { 50, 100, 1000, 10000 }) {
    for (const char* policy :
         { "fifo", "first_fit", "random_two", "daisydrift_waiting", "daisydrift_packing" }) {
      MeasureDecisions(policy, workers, seed);
    }
  }
  MeasureCancellation("daisydrift_waiting", seed);
  for (std::size_t workers : { 1000, 10000 }) {
    for (std::size_t sizes : { 24, 240 }) {
      CompareIndexes(workers, sizes, seed);
    }
  }
  return 0;
}
