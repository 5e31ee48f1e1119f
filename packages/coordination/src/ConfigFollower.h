#pragma once
// Follows the configuration and the set of drained failure domains.

#include "RangeFollower.h"
#include "daisydrift/coordination/Instance.h"

#include <set>

namespace daisydrift::coordination {

/// Follows the operators' keys in the store. The configuration version never decreases while the
/// process runs.
class ConfigFollower
{
public:
  ConfigFollower(EventLoop& aLoop,
                 KeyValueStore& aStore,
                 const PlatformDecoders& aDecoders,
                 const InstanceSettings& aSettings,
                 Metrics& aMetrics,
                 std::function<void()> aOnChange);

  void Start() { this->range.Restart(); }
  const FleetConfig* Config() const { return this->config ? &*this->config : nullptr; }
  std::uint64_t Version() const { return this->config ? this->config->version : 0; }
  const std::set<FailureDomain>& DrainedDomains() const { return this->drainedDomains; }
  /// Maintenance waves that the operators have requested, by number.
  const std::map<std::uint64_t, MaintenanceWave>& Waves() const { return this->waves; }
  /// Adopts a configuration document, unless the current version is the same or newer. aSource
  /// names in the log where the document came from.
  void Adopt(const std::string& aDocument, const char* aSource);
  /// Time since the configuration is known to have been the newest; kMaxAge if that is longer ago
  /// or was never known.
  Duration Age() const;
  static constexpr std::chrono::hours kMaxAge{ 24 };
  /// Another instance knew at aTime that the version was the newest.
  void OnPeerConfirmed(std::uint64_t aVersion, TimePoint aTime);
  /// True while a response of the store arrives that may hold a newer configuration.
  bool IsReceiving() const { return this->range.IsReceiving(); }
  /// Reads the configuration and calls aDone with true once its age is at most
  /// InstanceSettings::maxConfigAge, or with false after aTimeout.
  void Confirm(Duration aTimeout, std::function<void(bool)> aDone);

private:
  void ApplyRange(const std::vector<KeyValueItem>& aItems);
  /// aRevision is that of the value, for the log.
  void ApplyWave(const std::string& aKey,
                 const std::optional<std::string>& aValue,
                 std::uint64_t aRevision);
  void ApplyChange(const KeyValueChange& aChange, const char* aSource);
  /// Counts a document of the operators that can't be used, once for each version of it; returns
  /// false for one that has been counted.
  bool CountOdd(const std::string& aKey, std::uint64_t aVersion);
  void OnConfirmed();

  EventLoop& loop;
  const PlatformDecoders& decoders;
  const InstanceSettings& settings;
  Metrics& metrics;
  std::function<void()> onChange;
  std::optional<FleetConfig> config;
  std::set<FailureDomain> drainedDomains;
  std::map<std::uint64_t, MaintenanceWave> waves;
  /// Wave number of each key: a deletion carries only the key.
  std::map<std::string, std::uint64_t> waveNumbers;
  /// Versions of the documents that can't be used, by key: the revision of a wave, the hash of a
  /// configuration, which also comes from other instances.
  std::map<std::string, std::uint64_t> oddDocuments;
  /// Latest time at which another instance knew that the version was the newest.
  std::optional<TimePoint> peerConfirmedAt;
  /// Callbacks of the open calls of Confirm, by number.
  std::map<std::uint64_t, std::function<void(bool)>> confirmations;
  std::uint64_t nextConfirmation = 0;
  RangeFollower range;
};

} // namespace daisydrift::coordination
