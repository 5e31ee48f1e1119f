#pragma once
// Executes the operators' maintenance waves while this instance leads.

#include "MaintenancePlan.h"
#include "daisydrift/coordination/Instance.h"

#include <memory>

namespace daisydrift::coordination {

class MaintenanceController
{
public:
  struct Hooks
  {
    /// The set of draining workers has changed, or their runs may have to move.
    std::function<void()> onChange;
    /// Another instance leads.
    std::function<void()> onFenced;
  };

  MaintenanceController(EventLoop& aLoop,
                        KeyValueStore& aStore,
                        MachineGateway& aMachines,
                        Dispatcher& aDispatcher,
                        const InstanceSettings& aSettings,
                        const PlatformDecoders& aDecoders,
                        const KeyValueTransaction::Condition& aLeadership,
                        Epoch aFencingToken,
                        Hooks aHooks);
  ~MaintenanceController();

  /// Sets the waves that the operators currently request.
  void SetWaves(const std::map<std::uint64_t, MaintenanceWave>& aWaves);

private:
  /// Starts a wave unless its stored status says that it is completed.
  void StartWave(const MaintenanceWave& aWave);
  void StartTicking();
  void Tick();
  void ExecuteActions();
  void SendCommand(const std::string& aMachine, std::uint64_t aWave);
  void WriteStatus(std::uint64_t aWave, bool aIsCompleted);

  EventLoop& loop;
  KeyValueStore& store;
  MachineGateway& machines;
  Dispatcher& dispatcher;
  const InstanceSettings& settings;
  const PlatformDecoders& decoders;
  KeyValueTransaction::Condition leadership;
  Epoch fencingToken;
  Hooks hooks;
  MaintenancePlan plan;
  std::set<std::uint64_t> knownWaves;
  /// No commands are sent before this time, since they could interleave with those of the previous
  /// leader.
  TimePoint firstCommandAt;
  bool isTicking = false;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
