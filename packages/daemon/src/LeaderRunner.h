#pragma once
// Runs a RegionLeader on its own thread and its exchanges with workers on a thread pool.

#include "RegionLeader.h"

#include "daisydrift/external.h"
#include "daisydrift/rpc.h"

#include <atomic>
#include <functional>
#include <memory>

namespace daisydrift {

/// Functions that a LeaderRunner needs; called on the leader's thread.
struct LeaderRunnerHooks
{
  /// As in RegionLeaderHooks.
  std::function<bool()> canRenewTaskLeases;
  /// As in RegionLeaderHooks.
  std::function<bool()> havePredecessorLeasesExpired;
  /// Called when another leader has taken over.
  std::function<void()> onSuperseded;
};

/// Settings of a LeaderRunner.
struct LeaderRunnerOptions
{
  std::string region;
  InstanceId instance;
  PolicySettings policy;
  /// As in RegionLeaderOptions.
  Duration syncInterval = std::chrono::seconds(1);
  /// Timeout of one exchange with a worker.
  std::chrono::milliseconds syncTimeout{ 2000 };
  /// Number of threads for exchanges with workers.
  std::size_t syncThreads = 16;
  DurableOptions durable;
};

/// Leads a region between Lead and StepDown. Thread-safe.
class LeaderRunner
{
public:
  LeaderRunner(LeaderRunnerOptions aOptions,
               LeaderRunnerHooks aHooks,
               Store& aStore,
               WorkerClient& aWorkers,
               const Clock& aClock,
               Metrics& aMetrics);
  ~LeaderRunner();

  /// Starts to lead with aEpoch: takes over the durable state, and retries until that succeeds,
  /// another leader has taken over, or StepDown is called.
  void Lead(Epoch aEpoch);
  /// Stops leading. Calls in progress are reported as not run or with an unknown outcome.
  void StepDown();
  /// Returns true from the completion of the takeover until leading ends.
  bool IsLeading() const { return this->isLeading; }

  /// Sets the configuration; aConfirmed is when it was last confirmed as the newest.
  void SetConfig(const ConfigDocument& aConfig, TimePoint aConfirmed);
  /// The configuration was confirmed as the newest at aConfirmed.
  void ConfirmConfig(TimePoint aConfirmed);
  /// Sets the platform's list of instances.
  void SetInstances(const std::vector<InstanceInfo>& aInstances);

  /// Handles a call of a caller or operator and returns its reply. Blocks for at most its timeout
  /// and a small margin.
  CallReply Handle(const Call& aCall);

private:
  struct State;
  std::shared_ptr<State> state;
  std::atomic<bool>& isLeading;
};

} // namespace daisydrift
