#include "Cluster.h"

#include <utility>

namespace daisydrift {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds kNetworkDelay{ 1 };
constexpr milliseconds kCallTimeout{ 2500 };

/// The queues of these tests do not use advice.
class UnusedAdvice : public AdviceClient
{
public:
  void Ask(const AdviceRequest&, std::function<void(const Result<AdviceResponse>&)> aDone) override
  {
    aDone(Errc::Unreachable);
  }
};
UnusedAdvice sUnusedAdvice;

/// These tests run no maintenance waves.
class UnusedMachines : public MachineGateway
{
public:
  void List(std::function<void(const Result<std::vector<MachineListing>>&)> aDone) override
  {
    aDone(Errc::Unreachable);
  }
  void StartMaintenance(const std::string&,
                        std::uint64_t,
                        const std::string&,
                        Epoch,
                        std::function<void(MaintenanceResult)> aDone) override
  {
    aDone(MaintenanceResult::Busy);
  }
};
UnusedMachines sUnusedMachines;

std::optional<FleetConfig> ConfigFrom(const std::string& aDocument, Findings&)
{
  FleetConfig config;
  config.version = std::stoull(aDocument);
  config.document = aDocument;
  config.policy.version = config.version;
  QueuePolicy queue{ "queue", "desk", 0, 3, 1.5, milliseconds(250), {}, config.version };
  if (aDocument.find(kWithoutQueue) == std::string::npos) {
    config.policy.queues["queue"] = queue;
  }
  if (aDocument.find(kWithoutTeam) == std::string::npos) {
    bool hasCeiling = aDocument.find(kWithCeiling) != std::string::npos;
    Resources ceiling{ hasCeiling ? 2000 : 0, 0, 0 };
    config.policy.teams["team"] = { "team", 1000, ceiling, config.version };
  }
  return config;
}
} // namespace

FakeProcess::FakeProcess(VirtualLoop& aLoop,
                         InMemoryStore& aStore,
                         FakeFleet& aFleet,
                         InMemoryPeers& aPeers,
                         Metrics& aMetrics,
                         const PlatformDecoders& aDecoders,
                         const InstanceSettings& aSettings,
                         const MachineSpeed& aSpeed)
  : state{ aLoop, aSpeed }
  , loop(aLoop, this->state)
  , store(aStore, this->loop, this->state)
  , workers(aFleet, this->state)
  , peers(aPeers, this->loop, this->state)
  , instance(this->loop,
             this->store,
             this->workers,
             sUnusedMachines,
             sUnusedAdvice,
             this->peers,
             aMetrics,
             aDecoders,
             aSettings)
{
}

void InMemoryPeers::Call(const SocketEndpoint& aPeer,
                         const std::string& aMethod,
                         const json& aArguments,
                         Duration aTimeout,
                         std::function<void(const Result<json>&)> aDone)
{
  auto isOpen = std::make_shared<bool>(true);
  auto finish = [isOpen, aDone](const Result<json>& aResponse) {
    if (std::exchange(*isOpen, false)) {
      aDone(aResponse);
    }
  };
  // The called process may end before it has answered.
  this->loop.After(aTimeout, [finish] { finish(Errc::OutcomeUnknown); });
  bool isLost = this->isCallLost && this->isCallLost(aMethod);
  if (isLost || this->unresponsive.count(aPeer.port) != 0) {
    return;
  }
  if (this->isCallUnknown && this->isCallUnknown(aMethod)) {
    this->loop.After(2 * kNetworkDelay, [finish] { finish(Errc::InvalidArgument); });
    return;
  }
  this->loop.After(kNetworkDelay, [this, aPeer, aMethod, aArguments, finish] {
    auto found = this->instances.find(aPeer.port);
    if (found == this->instances.end()) {
      finish(Errc::Unreachable);
      return;
    }
    bool isResponseLost = this->isResponseLost && this->isResponseLost(aMethod);
    auto serve = [this, instance = found->second, aMethod, aArguments, isResponseLost, finish] {
      instance->OnPeerCall(aMethod,
                           aArguments,
                           [this, aMethod, isResponseLost, finish](const Result<json>& aResponse) {
                             if (isResponseLost) {
                               return;
                             }
                             Result<json> response = aResponse;
                             if (response && this->changeResponse) {
                               this->changeResponse(aMethod, *response);
                             }
                             this->loop.After(kNetworkDelay,
                                              [finish, response] { finish(response); });
                           });
    };
    ProcessState& process = *this->processes.at(aPeer.port);
    if (process.onMessage) {
      process.CountMessage(aMethod, aArguments.dump().size());
    }
    DeliverInTurn(process, process.speed.messageTime, serve, std::make_tuple());
  });
}

Cluster::Cluster()
  : store(this->loop)
  , fleet(this->loop)
  , peers(this->loop)
{
  this->store.Put("operators/config", "1");
  for (int number = 0; number < 4; ++number) {
    this->fleet.AddWorker(this->store, "w" + std::to_string(number));
  }
}

Cluster::~Cluster() = default;

void Cluster::StartInstance(int aNumber, Duration aCampaignDelay, const MachineSpeed& aSpeed)
{
  InstanceSettings settings;
  settings.campaignDelay = aCampaignDelay;
  settings.name = "i" + std::to_string(aNumber);
  settings.domain = "north";
  settings.peerEndpoint = { "10.0.0.1", static_cast<unsigned short>(9000 + aNumber) };
  settings.operatorPrefix = "operators/";
  settings.workerPrefix = "workers/";
  settings.dispatch = this->dispatch;
  PlatformDecoders decoders{
    ConfigFrom, ParseFakeWorker, "operators/config", "operators/drain/", "", nullptr, "", nullptr
  };
  auto process = std::make_unique<FakeProcess>(
    this->loop, this->store, this->fleet, this->peers, this->metrics, decoders, settings, aSpeed);
  this->peers.instances[settings.peerEndpoint.port] = &process->instance;
  this->peers.processes[settings.peerEndpoint.port] = &process->state;
  this->instances[aNumber] = &process->instance;
  process->instance.Start();
  this->processes[aNumber] = std::move(process);
}

void Cluster::KillInstance(int aNumber)
{
  this->peers.instances.erase(static_cast<unsigned short>(9000 + aNumber));
  this->peers.processes.erase(static_cast<unsigned short>(9000 + aNumber));
  this->processes[aNumber]->state.isAlive = false;
  this->killed.push_back(std::move(this->processes[aNumber]));
  this->processes.erase(aNumber);
  this->instances.erase(aNumber);
}

int Cluster::LeaderNumber()
{
  for (const auto& [number, instance] : this->instances) {
    if (instance->IsLeading()) {
      return number;
    }
  }
  return -1;
}

SubmitOutcome Cluster::Submit(int aInstance, const JobId& aId, std::uint32_t aTasks)
{
  JobDefinition job;
  job.id = aId;
  StepSpec step;
  step.taskCount = aTasks;
  step.size = { 1000, 100, 0 };
  step.estimate = milliseconds(600);
  step.isService = this->isServiceSubmitted;
  job.steps.push_back(step);
  return this->Submit(aInstance, std::move(job));
}

SubmitOutcome Cluster::Submit(int aInstance, JobDefinition aJob)
{
  aJob.queue = "queue";
  aJob.team = "team";
  aJob.acceptedAt = this->loop.WallClockNow();
  std::optional<SubmitOutcome> outcome;
  this->instances[aInstance]->Submit(
    aJob, kCallTimeout, [&outcome](SubmitOutcome aOutcome) { outcome = aOutcome; });
  while (!outcome) {
    this->loop.RunFor(milliseconds(1));
  }
  return *outcome;
}

Result<DispatchState> Cluster::State(int aInstance, const JobId& aId)
{
  std::optional<Result<DispatchState>> state;
  this->instances[aInstance]->Query(
    aId, kCallTimeout, [&state](const Result<DispatchState>& aState) { state = aState; });
  while (!state) {
    this->loop.RunFor(milliseconds(1));
  }
  return *state;
}

std::error_code Cluster::Cancel(int aInstance, const JobId& aId)
{
  std::optional<std::error_code> result;
  this->instances[aInstance]->Cancel(
    aId, kCallTimeout, [&result](std::error_code aError) { result = aError; });
  while (!result) {
    this->loop.RunFor(milliseconds(1));
  }
  return *result;
}

} // namespace daisydrift
