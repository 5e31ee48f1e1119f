#pragma once
// Carries out the operators' waves of upkeep while this instance leads.

#include "UpkeepPlan.h"
#include "daisydrift/coordination/Instance.h"

#include <memory>

namespace daisydrift::coordination {

class UpkeepDriver
{
public:
  struct Hooks
  {
    /// The workers that are emptied have changed, or runs there may have to move.
    std::function<void()> onChange;
    /// Another instance leads.
    std::function<void()> onFenced;
  };

  UpkeepDriver(EventLoop& aLoop,
               KeyValueStore& aStore,
               MachineGateway& aMachines,
               Dispatcher& aDispatcher,
               const InstanceSettings& aSettings,
               const PlatformDecoders& aDecoders,
               const KeyValueTransaction::Condition& aLeadership,
               Epoch aFence,
               Hooks aHooks);
  ~UpkeepDriver();

  /// The waves that the operators ask for now.
  void SetWaves(const std::map<std::uint64_t, UpkeepWave>& aWaves);

private:
  /// Begins with a wave unless an earlier leader has completed it.
  void BeginWave(const UpkeepWave& aWave);
  void TickIfNeeded();
  void Tick();
  void Act();
  void Order(const std::string& aMachine, std::uint64_t aWave);
  void WriteStatus(std::uint64_t aWave, bool aIsCompleted);

  EventLoop& loop;
  KeyValueStore& store;
  MachineGateway& machines;
  Dispatcher& dispatcher;
  const InstanceSettings& settings;
  const PlatformDecoders& decoders;
  KeyValueTransaction::Condition leadership;
  Epoch fence;
  Hooks hooks;
  UpkeepPlan plan;
  std::set<std::uint64_t> known;
  /// Orders before this moment could meet those of the leader before.
  TimePoint firstOrderAt;
  bool isTicking = false;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
