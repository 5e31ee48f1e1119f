#pragma once
// The newest configuration and the failure domains out of service.

#include "daisydrift/coordination/Instance.h"

#include <set>

namespace daisydrift::coordination {

/// Follows the operators' keys. The version in force never goes back while the process runs.
class ConfigFollower
{
public:
  ConfigFollower(EventLoop& aLoop,
                 KeyValueStore& aStore,
                 const PlatformDecoders& aDecoders,
                 const InstanceSettings& aSettings,
                 std::function<void()> aOnChange);

  void Start();
  void Stop() { this->isStopping = true; }
  const FleetConfig* Config() const { return this->config ? &*this->config : nullptr; }
  std::uint64_t Version() const { return this->config ? this->config->version : 0; }
  const std::set<FailureDomain>& Drained() const { return this->drained; }
  /// Waves of upkeep that the operators ask for, by number.
  const std::map<std::uint64_t, UpkeepWave>& Waves() const { return this->waves; }
  /// Takes a document that another instance has read; an older one is ignored.
  void Offer(const std::string& aDocument);

private:
  void Load();
  void Watch(std::uint64_t aRevision);
  void ApplyWave(const std::string& aKey, const std::optional<std::string>& aValue);
  void Apply(const std::string& aKey, const std::optional<std::string>& aValue);

  EventLoop& loop;
  KeyValueStore& store;
  const PlatformDecoders& decoders;
  const InstanceSettings& settings;
  std::function<void()> onChange;
  std::optional<FleetConfig> config;
  std::set<FailureDomain> drained;
  std::map<std::uint64_t, UpkeepWave> waves;
  /// Numbers of the waves by key, which a removal names only.
  std::map<std::string, std::uint64_t> waveKeys;
  bool isStopping = false;
};

} // namespace daisydrift::coordination
