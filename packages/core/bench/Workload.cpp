#include "Workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace daisydrift::bench {

namespace {

/// One worker in this many fails everything, one job in this many always fails.
constexpr std::size_t kBrokenWorkerEvery = 100;
constexpr int kFailingJobEvery = 200;
constexpr std::int64_t kAcceleratorsPerWorker = 8;
/// Part of the jobs in flight that one cancellation wave takes.
constexpr std::size_t kJobsCancelled = 2000;
/// Room for the largest true run time, after arrival ends.
constexpr int kKindsPerTeam = 4;

struct Kind
{
  Resources trueSize;
  /// Declared size as a multiple of the true one: up to ten times wrong.
  double declaredFactor = 1;
  double runSeconds = 1;
};

std::int64_t Declared(std::int64_t aTrue, double aFactor, std::int64_t aMost)
{
  auto amount = static_cast<std::int64_t>(std::llround(static_cast<double>(aTrue) * aFactor));
  return std::clamp<std::int64_t>(amount, 50, aMost);
}

} // namespace

std::vector<Scale> Scales()
{
  using std::chrono::seconds;
  const std::vector<FailureDomain> trust{ "hobart", "launceston", "burnie" };
  const std::vector<FailureDomain> cooperative{ "swakop-bench", "walvis-shed", "henties-loft" };
  const std::vector<FailureDomain> five{ "d1", "d2", "d3", "d4", "d5" };
  return {
    { "trust_today", 50, 6, trust, 8, { 16000, 65536, 0 }, 0, 110, 50, seconds(240) },
    { "cooperative_today", 50, 6, cooperative, 8, { 32000, 65536, 0 }, 0, 110, 60, seconds(240) },
    { "hundred", 100, 61, five, 8, { 16000, 65536, 0 }, 136, 220, 98, seconds(180) },
    { "two_years", 1000, 61, five, 8, { 16000, 65536, 0 }, 1400, 2200, 980, seconds(120) },
  };
}

Workload Generate(const Scale& aScale, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  auto below = [&random](std::size_t aLimit) {
    return static_cast<std::size_t>(random() % aLimit);
  };
  auto uniform = [&random]() { return static_cast<double>(random() >> 11) / 9007199254740992.0; };
  Workload work;
  auto acceleratorWorkers = aScale.accelerators / kAcceleratorsPerWorker;
  for (std::size_t i = 0; i < aScale.workers; ++i) {
    WorkerDescription worker;
    worker.id = "w" + std::to_string(i);
    worker.failureDomain = aScale.domains[i % aScale.domains.size()];
    worker.rack = "r" + std::to_string(i / aScale.domains.size() / aScale.rackSize);
    worker.capacity = aScale.capacity;
    // Spread over the fleet, so that each failure domain has its part.
    if (acceleratorWorkers > 0 && (i * acceleratorWorkers) / aScale.workers !=
                                    ((i + 1) * acceleratorWorkers) / aScale.workers) {
      worker.capacity.accelerators = kAcceleratorsPerWorker;
    }
    if (i % kBrokenWorkerEvery == kBrokenWorkerEvery / 3) {
      work.broken.insert(worker.id);
    }
    work.workers.push_back(worker);
  }
  Resources total = { aScale.capacity.milliCores * static_cast<std::int64_t>(aScale.workers),
                      aScale.capacity.memoryMiB * static_cast<std::int64_t>(aScale.workers),
                      static_cast<std::int64_t>(aScale.accelerators) };
  std::vector<std::vector<Kind>> kinds;
  const double factors[] = { 1, 1, 1, 2, 4, 10, 0.5, 0.1 };
  const std::int64_t cores[] = { 500, 500, 1000, 1000, 2000, 2000 };
  for (std::size_t t = 0; t < aScale.teams; ++t) {
    TeamPolicy team;
    team.name = "team" + std::to_string(t);
    team.weight = t % 8 == 0 ? 4 : 1;
    // Ceilings of a few teams bind; the rest could take most of the fleet.
    auto part = t % 5 == 4 ? 20 : 2;
    team.ceiling = { total.milliCores / part, total.memoryMiB / part, total.accelerators / 2 + 16 };
    team.maxRunningTasks = 4000;
    work.teams.push_back(team);
    kinds.emplace_back();
    for (int k = 0; k < kKindsPerTeam; ++k) {
      std::int64_t core = cores[below(std::size(cores))];
      kinds.back().push_back({ { core, 256 << below(5), 0 },
                               factors[below(std::size(factors))],
                               2.6 * std::pow(8.0, uniform()) });
    }
  }
  JobNumber number = 1;
  // Large teams submit more.
  auto pickTeam = [&]() { return std::min(below(aScale.teams), below(aScale.teams)); };
  auto addJob = [&](Duration aArrival, WorkClass aClass, std::uint32_t aTasks) {
    std::size_t team = pickTeam();
    std::size_t kindIndex = below(kKindsPerTeam);
    const Kind& kind = kinds[team][kindIndex];
    BenchJob job;
    job.arrival = aArrival;
    job.trueSize = kind.trueSize;
    job.trueRunTime = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kind.runSeconds * (0.5 + uniform())));
    job.alwaysFails = aClass == WorkClass::Batch && below(kFailingJobEvery) == 0;
    JobSpec& spec = job.spec;
    spec.number = number++;
    spec.team = work.teams[team].name;
    spec.kind = "kind" + std::to_string(kindIndex) + (aClass == WorkClass::Gang ? "g" : "");
    spec.workClass = aClass;
    spec.taskCount = aTasks;
    spec.size = { Declared(kind.trueSize.milliCores, kind.declaredFactor, 8000),
                  Declared(kind.trueSize.memoryMiB, kind.declaredFactor, 32768),
                  0 };
    if (aScale.accelerators > 0 && aClass == WorkClass::Gang) {
      spec.size.accelerators = static_cast<std::int64_t>(below(3));
      job.trueSize.accelerators = spec.size.accelerators;
    }
    spec.isUrgent = aClass == WorkClass::Batch && below(50) == 0;
    spec.canCheckpoint = below(2) == 0;
    // Run times are declared with an error of up to three times either way.
    spec.declaredRunTime = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kind.runSeconds * std::pow(9.0, uniform() - 0.5)));
    work.jobs.push_back(job);
  };
  for (std::size_t left = aScale.serviceTasks; left > 0;) {
    auto tasks = static_cast<std::uint32_t>(std::min<std::size_t>(left, 22));
    left -= tasks;
    addJob(Duration(0), WorkClass::Service, tasks);
  }
  double at = 0;
  auto end = static_cast<double>(aScale.duration.count());
  while (at < end) {
    bool isGang = below(40) == 0;
    auto tasks = static_cast<std::uint32_t>(isGang ? 4 + below(13) : 1 + below(8));
    addJob(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)),
           isGang ? WorkClass::Gang : WorkClass::Batch,
           tasks);
    // The load swings between 0.6 and 1.4 of the mean.
    double rate = aScale.startsPerSecond * (1 + 0.4 * std::sin(at / end * 6.2832 * 2));
    at += static_cast<double>(tasks) / rate * -std::log(1 - uniform());
  }
  work.drainAt = std::chrono::duration_cast<Duration>(aScale.duration) * 4 / 10;
  work.returnAt = std::chrono::duration_cast<Duration>(aScale.duration) * 7 / 10;
  // One wave of cancellations: the latest jobs that have arrived by then.
  Duration wave = std::chrono::duration_cast<Duration>(aScale.duration) * 85 / 100;
  std::size_t cancelled = 0;
  for (auto it = work.jobs.rbegin(); it != work.jobs.rend() && cancelled < kJobsCancelled; ++it) {
    bool hasArrived = it->arrival <= wave && it->spec.workClass != WorkClass::Service;
    if (hasArrived && it->spec.number % 2 == 0) {
      it->cancelAt = wave;
      ++cancelled;
    }
  }
  return work;
}

} // namespace daisydrift::bench
