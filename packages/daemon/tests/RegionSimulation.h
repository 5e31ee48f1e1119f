#pragma once
// Simulates a region with faults on a virtual clock: leaders that are superseded while they are
// still active, workers that restart or are unreachable, exchanges that are delayed or lost, and a
// store with faults.

#include "RegionLeader.h"

#include "daisydrift/external.h"

#include <deque>
#include <memory>
#include <random>

namespace daisydrift {

/// Options of one randomized simulation.
struct RegionSimulationOptions
{
  std::uint64_t seed = 0;
  unsigned workers = 6;
  unsigned steps = 400;
  /// Kinds of faults that may occur.
  bool hasTakeovers = true;
  bool hasWorkerFaults = true;
  bool hasStoreFaults = true;
};

/// Runs one randomized simulation and records what callers and workers observe.
class RegionSimulation
{
public:
  explicit RegionSimulation(RegionSimulationOptions aOptions);

  /// Runs the steps with faults, then disables all faults and runs until all jobs have finished or
  /// a limit of steps is reached.
  void Run();
  /// Returns the violations of invariants in what workers and callers observed. Those of I1 (no
  /// worker beyond its capacity), I2 (no task runs in two places) and I4 (no team beyond its
  /// ceiling), which the package `checker` checks as well, start with the invariant's name.
  std::vector<std::string> Check() const;
  /// Number of jobs whose acceptance was acknowledged to callers.
  std::size_t AcceptedJobs() const { return this->acceptedJobs.size(); }
  /// Number of task starts on all workers.
  std::size_t StartCount() const;

private:
  /// The current leader, or one that was superseded and may not know it.
  struct Leader
  {
    std::unique_ptr<RegionLeader> regionLeader;
    Epoch epoch = 0;
    /// Time from which it may not renew leases any more; nothing for the current leader.
    std::optional<TimePoint> canRenewUntil;
  };
  struct Exchange
  {
    std::size_t leader = 0;
    WorkerId worker;
    Endpoint endpoint;
    SyncRequest request;
    TimePoint due;
  };
  struct AcceptedJob
  {
    JobNumber job = 0;
    bool isRepeatable = true;
    bool isGang = false;
    std::uint32_t tasks = 0;
    bool isCancelled = false;
  };

  void Elect();
  RegionLeaderHooks HooksFor(std::size_t aLeader);
  bool HavePredecessorLeasesExpired(std::size_t aLeader) const;
  void PerformRandomAction();
  void SubmitJob();
  void CancelJob();
  void DeliverDueExchanges();
  void Deliver(const Exchange& aExchange);
  void RestartWorker();
  void StepAll();
  void DisableFaults();
  unsigned Random(unsigned aBound);
  bool AllJobsFinished() const;

  RegionSimulationOptions options;
  std::mt19937_64 generator;
  ManualClock clock;
  FakeStore store;
  FakeWorkerFleet fleet;
  ConfigDocument config;
  std::vector<InstanceInfo> instances;
  std::vector<Leader> leaders;
  std::deque<Exchange> exchanges;
  std::set<Endpoint> unreachable;
  bool isStoreFaulty = false;
  bool areFaultsDisabled = false;
  std::vector<AcceptedJob> acceptedJobs;
  unsigned restarts = 0;
  unsigned submissions = 0;
};

} // namespace daisydrift
