#pragma once
// Several instances, one store and a set of workers on simulated time.

#include "FakeFleet.h"
#include "ProcessProxies.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace daisydrift {

/// Ends a configuration document that has no queue; otherwise there is one, `queue`.
inline constexpr const char* kWithoutQueue = " without queue";
/// The same for the team `team`, and for its ceiling of two cores; otherwise it has no ceiling.
inline constexpr const char* kWithoutTeam = " without team";
inline constexpr const char* kWithCeiling = " with ceiling";

/// Calls between the instances of one cluster.
class InMemoryPeers : public PeerTransport
{
public:
  explicit InMemoryPeers(VirtualLoop& aLoop)
    : loop(aLoop)
  {
  }
  void Call(const SocketEndpoint& aPeer,
            const std::string& aMethod,
            const nlohmann::json& aArguments,
            Duration aTimeout,
            std::function<void(const Result<nlohmann::json>&)> aDone) override;

  VirtualLoop& loop;
  /// By port; a missing instance refuses connections, an unresponsive one never responds.
  std::map<unsigned short, Instance*> instances;
  /// By port; calls wait while the called process is paused or busy.
  std::map<unsigned short, ProcessState*> processes;
  std::set<unsigned short> unresponsive;
  /// True for a call that is lost on the way; empty for none.
  std::function<bool(const std::string& aMethod)> isCallLost;
  /// True for a call that is carried out but whose response is lost; empty for none.
  std::function<bool(const std::string& aMethod)> isResponseLost;
  /// Changes the response of a call; empty for none.
  std::function<void(const std::string& aMethod, nlohmann::json& aResponse)> changeResponse;
  /// True for a call that the called instance does not know; empty for none.
  std::function<bool(const std::string& aMethod)> isCallUnknown;
};

/// One instance behind proxies that cut off its process when it is killed.
struct FakeProcess
{
  FakeProcess(VirtualLoop& aLoop,
              InMemoryStore& aStore,
              FakeFleet& aFleet,
              InMemoryPeers& aPeers,
              Metrics& aMetrics,
              const PlatformDecoders& aDecoders,
              const InstanceSettings& aSettings,
              const MachineSpeed& aSpeed);

  ProcessState state;
  EventLoopProxy loop;
  StoreProxy store;
  WorkerGatewayProxy workers;
  PeerTransportProxy peers;
  Instance instance;
};

class Cluster : public ::testing::Test
{
protected:
  Cluster();
  ~Cluster() override;

  /// aCampaignDelay is longer for an instance with fewer cores.
  void StartInstance(int aNumber,
                     Duration aCampaignDelay = Duration(0),
                     const MachineSpeed& aSpeed = {});
  /// Ends the process; connections to it are refused.
  void KillInstance(int aNumber);
  /// Number of the instance that considers itself the leader, or -1.
  int LeaderNumber();
  /// Submits a job through an instance and runs until the result is known.
  SubmitOutcome Submit(int aInstance, const JobId& aId, std::uint32_t aTasks);
  SubmitOutcome Submit(int aInstance, JobDefinition aJob);
  Result<DispatchState> State(int aInstance, const JobId& aId);
  std::error_code Cancel(int aInstance, const JobId& aId);

  /// Timing of the dispatchers of the instances that start from now on.
  DispatchSettings dispatch;
  /// The jobs that are submitted from now on are services.
  bool isServiceSubmitted = false;
  VirtualLoop loop;
  InMemoryStore store;
  FakeFleet fleet;
  InMemoryPeers peers;
  Metrics metrics;
  std::map<int, std::unique_ptr<FakeProcess>> processes;
  /// Killed instances stay in memory, since some of their calls may still be open.
  std::vector<std::unique_ptr<FakeProcess>> killed;
  std::map<int, Instance*> instances;
};

} // namespace daisydrift
