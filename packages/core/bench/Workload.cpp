#include "Workload.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace daisydrift::bench {

namespace {

/// One worker in this many fails every task; one batch job in this many always fails.
constexpr std::size_t kFaultyWorkerInterval = 100;
constexpr int kFailingJobInterval = 200;
constexpr std::int64_t kAcceleratorsPerWorker = 8;
/// Largest number of jobs that the mass cancellation cancels.
constexpr std::size_t kMaxJobsCancelled = 2000;
constexpr int kKindsPerTeam = 4;

struct JobKind
{
  Resources trueSize;
  /// Declared size as a multiple of the true one; wrong by up to ten times either way.
  double declaredFactor = 1;
  double runSeconds = 1;
};

std::int64_t DeclaredAmount(std::int64_t aTrue, double aFactor, std::int64_t aMaximum)
{
  auto amount = static_cast<std::int64_t>(std::llround(static_cast<double>(aTrue) * aFactor));
  return std::clamp<std::int64_t>(amount, 50, aMaximum);
}

} // namespace

std::vector<Scale> AllScales()
{
  using std::chrono::seconds;
  const std::vector<FailureDomain> trustDomains{ "hobart", "launceston", "burnie" };
  const std::vector<FailureDomain> cooperativeDomains{ "swakop-bench",
                                                       "walvis-shed",
                                                       "henties-loft" };
  const std::vector<FailureDomain> fiveDomains{ "d1", "d2", "d3", "d4", "d5" };
  return {
    { "trust_today", 50, 6, trustDomains, 8, { 16000, 65536, 0 }, 0, 110, 50, seconds(240) },
    { "cooperative_today",
      50,
      6,
      cooperativeDomains,
      8,
      { 32000, 65536, 0 },
      0,
      110,
      60,
      seconds(240) },
    { "hundred", 100, 61, fiveDomains, 8, { 16000, 65536, 0 }, 136, 220, 98, seconds(180) },
    { "two_years", 1000, 61, fiveDomains, 8, { 16000, 65536, 0 }, 1400, 2200, 980, seconds(120) },
  };
}

Workload GenerateWorkload(const Scale& aScale, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  auto randomBelow = [&random](std::size_t aLimit) {
    return static_cast<std::size_t>(random() % aLimit);
  };
  auto randomUniform = [&random]() {
    return static_cast<double>(random() >> 11) / 9007199254740992.0;
  };
  Workload workload;
  auto acceleratorWorkers = aScale.accelerators / kAcceleratorsPerWorker;
  for (std::size_t i = 0; i < aScale.workers; ++i) {
    WorkerDescription worker;
    worker.id = "w" + std::to_string(i);
    worker.failureDomain = aScale.domains[i % aScale.domains.size()];
    worker.rack = "r" + std::to_string(i / aScale.domains.size() / aScale.rackSize);
    worker.capacity = aScale.capacity;
    // Accelerator workers are spread over the fleet, so that each failure domain has some.
    if (acceleratorWorkers > 0 && (i * acceleratorWorkers) / aScale.workers !=
                                    ((i + 1) * acceleratorWorkers) / aScale.workers) {
      worker.capacity.accelerators = kAcceleratorsPerWorker;
    }
    if (i % kFaultyWorkerInterval == kFaultyWorkerInterval / 3) {
      workload.faultyWorkers.insert(worker.id);
    }
    workload.workers.push_back(worker);
  }
  Resources total = { aScale.capacity.milliCores * static_cast<std::int64_t>(aScale.workers),
                      aScale.capacity.memoryMiB * static_cast<std::int64_t>(aScale.workers),
                      static_cast<std::int64_t>(aScale.accelerators) };
  std::vector<std::vector<JobKind>> kinds;
  const double declaredFactors[] = { 1, 1, 1, 2, 4, 10, 0.5, 0.1 };
  const std::int64_t milliCoreChoices[] = { 500, 500, 1000, 1000, 2000, 2000 };
  for (std::size_t t = 0; t < aScale.teams; ++t) {
    TeamPolicy team;
    team.name = "team" + std::to_string(t);
    team.weight = t % 8 == 0 ? 4 : 1;
    // One team in five has a ceiling low enough to limit it; the others may use half of the fleet.
    auto ceilingDivisor = t % 5 == 4 ? 20 : 2;
    team.ceiling = { total.milliCores / ceilingDivisor,
                     total.memoryMiB / ceilingDivisor,
                     total.accelerators / 2 + 16 };
    team.maxRunningTasks = 4000;
    workload.teams.push_back(team);
    kinds.emplace_back();
    for (int k = 0; k < kKindsPerTeam; ++k) {
      std::int64_t trueMilliCores = milliCoreChoices[randomBelow(std::size(milliCoreChoices))];
      kinds.back().push_back({ { trueMilliCores, 256 << randomBelow(5), 0 },
                               declaredFactors[randomBelow(std::size(declaredFactors))],
                               2.6 * std::pow(8.0, randomUniform()) });
    }
  }
  JobNumber number = 1;
  // Teams with lower numbers submit more.
  auto pickTeam = [&]() { return std::min(randomBelow(aScale.teams), randomBelow(aScale.teams)); };
  auto addJob = [&](Duration aArrival, WorkClass aClass, std::uint32_t aTasks) {
    std::size_t team = pickTeam();
    std::size_t kindIndex = randomBelow(kKindsPerTeam);
    const JobKind& kind = kinds[team][kindIndex];
    BenchJob job;
    job.arrival = aArrival;
    job.trueSize = kind.trueSize;
    job.trueRunTime = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kind.runSeconds * (0.5 + randomUniform())));
    job.alwaysFails = aClass == WorkClass::Batch && randomBelow(kFailingJobInterval) == 0;
    JobSpec& spec = job.spec;
    spec.number = number++;
    spec.team = workload.teams[team].name;
    spec.kind = "kind" + std::to_string(kindIndex) + (aClass == WorkClass::Gang ? "g" : "");
    spec.workClass = aClass;
    spec.taskCount = aTasks;
    spec.size = { DeclaredAmount(kind.trueSize.milliCores, kind.declaredFactor, 8000),
                  DeclaredAmount(kind.trueSize.memoryMiB, kind.declaredFactor, 32768),
                  0 };
    if (aScale.accelerators > 0 && aClass == WorkClass::Gang) {
      spec.size.accelerators = static_cast<std::int64_t>(randomBelow(3));
      job.trueSize.accelerators = spec.size.accelerators;
    }
    spec.isUrgent = aClass == WorkClass::Batch && randomBelow(50) == 0;
    spec.canCheckpoint = randomBelow(2) == 0;
    // Run times are declared with an error of up to three times either way.
    spec.declaredRunTime = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kind.runSeconds * std::pow(9.0, randomUniform() - 0.5)));
    workload.jobs.push_back(job);
  };
  for (std::size_t left = aScale.serviceTasks; left > 0;) {
    auto tasks = static_cast<std::uint32_t>(std::min<std::size_t>(left, 22));
    left -= tasks;
    addJob(Duration(0), WorkClass::Service, tasks);
  }
  double arrivalSeconds = 0;
  auto end = static_cast<double>(aScale.duration.count());
  while (arrivalSeconds < end) {
    bool isGang = randomBelow(40) == 0;
    auto tasks = static_cast<std::uint32_t>(isGang ? 4 + randomBelow(13) : 1 + randomBelow(8));
    addJob(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arrivalSeconds)),
           isGang ? WorkClass::Gang : WorkClass::Batch,
           tasks);
    // The load varies between 0.6 and 1.4 times the mean, in two periods of a sine.
    double rate = aScale.tasksPerSecond * (1 + 0.4 * std::sin(arrivalSeconds / end * 6.2832 * 2));
    arrivalSeconds += static_cast<double>(tasks) / rate * -std::log(1 - randomUniform());
  }
  workload.drainAt = std::chrono::duration_cast<Duration>(aScale.duration) * 4 / 10;
  workload.returnAt = std::chrono::duration_cast<Duration>(aScale.duration) * 7 / 10;
  // Mass cancellation of every second of the latest jobs that have arrived by then.
  Duration cancellationTime = std::chrono::duration_cast<Duration>(aScale.duration) * 85 / 100;
  std::size_t cancelled = 0;
  for (auto it = workload.jobs.rbegin();
       it != workload.jobs.rend() && cancelled < kMaxJobsCancelled;
       ++it) {
    bool hasArrived = it->arrival <= cancellationTime && it->spec.workClass != WorkClass::Service;
    if (hasArrived && it->spec.number % 2 == 0) {
      it->cancelAt = cancellationTime;
      ++cancelled;
    }
  }
  return workload;
}

} // namespace daisydrift::bench
