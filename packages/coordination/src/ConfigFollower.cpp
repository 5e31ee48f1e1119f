#include "ConfigFollower.h"

namespace daisydrift::coordination {

ConfigFollower::ConfigFollower(EventLoop& aLoop,
                               KeyValueStore& aStore,
                               const PlatformDecoders& aDecoders,
                               const InstanceSettings& aSettings,
                               Metrics& aMetrics,
                               std::function<void()> aOnChange)
  : loop(aLoop)
  , decoders(aDecoders)
  , settings(aSettings)
  , metrics(aMetrics)
  , onChange(std::move(aOnChange))
  , range(aLoop,
          aStore,
          aMetrics,
          aSettings.operatorPrefix,
          aSettings.maxWatchWait,
          RangeFollower::Hooks{
            [this](const std::vector<KeyValueItem>& aItems) { this->ApplyRange(aItems); },
            [this](const KeyValueChange& aChange) {
              this->ApplyChange(aChange.key, aChange.value, "watch");
            },
            [this] { this->OnConfirmed(); },
            [](std::error_code) {} })
{
}

void ConfigFollower::Adopt(const std::string& aDocument, const char* aSource)
{
  Findings findings;
  std::optional<FleetConfig> offered = this->decoders.config(aDocument, findings);
  if (!offered) {
    LogLine(LogLevel::Error, "config_unreadable").Add("findings", findings.ToText());
    return;
  }
  if (this->config && offered->version <= this->config->version) {
    return;
  }
  this->config = std::move(offered);
  LogLine(LogLevel::Info, "config_in_force")
    .Add("version", this->config->version)
    .Add("source", aSource)
    .Add("age_ms", this->Age())
    .Add("bytes", this->config->document.size())
    .Add("queues", this->config->policy.queues.size())
    .Add("teams", this->config->policy.teams.size());
  this->metrics.Set("config_version", static_cast<double>(this->config->version));
  this->onChange();
}

void ConfigFollower::ApplyChange(const std::string& aKey,
                                 const std::optional<std::string>& aValue,
                                 const char* aSource)
{
  if (aKey == this->decoders.configKey) {
    if (aValue) {
      this->Adopt(*aValue, aSource);
    }
    return;
  }
  if (!this->decoders.wavePrefix.empty() && aKey.rfind(this->decoders.wavePrefix, 0) == 0) {
    this->ApplyWave(aKey, aValue);
    return;
  }
  if (aKey.rfind(this->decoders.drainPrefix, 0) == 0) {
    FailureDomain domain = aKey.substr(this->decoders.drainPrefix.size());
    bool hasChanged =
      aValue ? this->drainedDomains.insert(domain).second : this->drainedDomains.erase(domain) > 0;
    if (hasChanged) {
      LogLine(LogLevel::Info, aValue ? "domain_drained" : "domain_returned").Add("domain", domain);
      this->onChange();
    }
  }
}

void ConfigFollower::ApplyWave(const std::string& aKey, const std::optional<std::string>& aValue)
{
  if (auto known = this->waveNumbers.extract(aKey)) {
    this->waves.erase(known.mapped());
  }
  std::optional<MaintenanceWave> wave = aValue ? this->decoders.wave(*aValue) : std::nullopt;
  if (aValue && !wave) {
    LogLine(LogLevel::Error, "upkeep_wave_unreadable").Add("key", aKey);
  }
  if (wave) {
    this->waveNumbers[aKey] = wave->number;
    this->waves[wave->number] = std::move(*wave);
  }
  this->onChange();
}

Duration ConfigFollower::Age() const
{
  // An optional without a value is the smaller one.
  std::optional<TimePoint> confirmedAt = std::max(this->range.ConfirmedAt(), this->peerConfirmedAt);
  return confirmedAt ? std::min<Duration>(this->loop.Now() - *confirmedAt, kMaxAge) : kMaxAge;
}

void ConfigFollower::OnPeerConfirmed(std::uint64_t aVersion, TimePoint aTime)
{
  if (this->config && aVersion == this->config->version) {
    this->peerConfirmedAt = std::max(this->peerConfirmedAt.value_or(aTime), aTime);
    this->OnConfirmed();
  }
}

void ConfigFollower::Confirm(Duration aTimeout, std::function<void(bool)> aDone)
{
  std::uint64_t number = this->nextConfirmation++;
  this->confirmations.emplace(number, std::move(aDone));
  this->range.Refresh();
  this->loop.After(aTimeout, [this, number] {
    if (auto open = this->confirmations.extract(number)) {
      open.mapped()(false);
    }
  });
}

void ConfigFollower::OnConfirmed()
{
  if (this->Age() > this->settings.maxConfigAge) {
    return;
  }
  for (auto& [number, done] : std::exchange(this->confirmations, {})) {
    done(true);
  }
}

void ConfigFollower::ApplyRange(const std::vector<KeyValueItem>& aItems)
{
  std::set<std::string> keys;
  for (const KeyValueItem& item : aItems) {
    keys.insert(item.key);
    this->ApplyChange(item.key, item.value, "read");
  }
  // Keys that were deleted without a change that a watch has reported.
  std::vector<std::string> deleted;
  for (const FailureDomain& domain : this->drainedDomains) {
    deleted.push_back(this->decoders.drainPrefix + domain);
  }
  for (const auto& [key, number] : this->waveNumbers) {
    deleted.push_back(key);
  }
  for (const std::string& key : deleted) {
    if (keys.count(key) == 0) {
      this->ApplyChange(key, std::nullopt, "read");
    }
  }
}

} // namespace daisydrift::coordination
