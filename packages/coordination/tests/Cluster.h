#pragma once
// Several instances, one store and a fleet of workers on virtual time.

#include "FakeFleet.h"
#include "Gates.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace daisydrift {

/// Calls between the instances of one cluster.
class MemoryPeers : public PeerTransport
{
public:
  explicit MemoryPeers(VirtualLoop& aLoop)
    : loop(aLoop)
  {
  }
  void Call(const SocketEndpoint& aPeer,
            const std::string& aMethod,
            const nlohmann::json& aArguments,
            Duration aTimeout,
            std::function<void(const Result<nlohmann::json>&)> aDone) override;

  VirtualLoop& loop;
  /// By port; a missing one refuses connections, a silent one answers nothing.
  std::map<unsigned short, Instance*> instances;
  std::set<unsigned short> silent;
};

/// One instance with what it takes to end its process: nothing passes its gates any more.
struct FakeProcess
{
  FakeProcess(VirtualLoop& aLoop,
              MemoryStore& aStore,
              FakeFleet& aFleet,
              MemoryPeers& aPeers,
              Metrics& aMetrics,
              const PlatformDecoders& aDecoders,
              const InstanceSettings& aSettings);

  ProcessState state;
  LoopGate loop;
  StoreGate store;
  WorkerGate workers;
  PeerGate peers;
  Instance instance;
};

class Cluster : public ::testing::Test
{
protected:
  Cluster();
  ~Cluster() override;

  void StartInstance(int aNumber);
  /// The process ends; connections to it are refused.
  void KillInstance(int aNumber);
  /// Number of the instance that leads by its own account, or -1.
  int LeaderNumber();
  /// Submits over an instance and runs until the answer.
  SubmitOutcome Submit(int aInstance, const JobId& aId, std::uint32_t aTasks);
  Result<DispatchState> State(int aInstance, const JobId& aId);
  std::error_code Cancel(int aInstance, const JobId& aId);

  VirtualLoop loop;
  MemoryStore store;
  FakeFleet fleet;
  MemoryPeers peers;
  Metrics metrics;
  std::map<int, std::unique_ptr<FakeProcess>> processes;
  /// Killed ones stay in memory, since calls of theirs may still be open.
  std::vector<std::unique_ptr<FakeProcess>> killed;
  std::map<int, Instance*> instances;
};

} // namespace daisydrift
