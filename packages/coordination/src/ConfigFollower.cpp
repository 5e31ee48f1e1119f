#include "ConfigFollower.h"

namespace daisydrift::coordination {

namespace {
constexpr std::size_t kMaxLoggedFindings = 500;
} // namespace

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
            [this](const KeyValueChange& aChange) { this->ApplyChange(aChange, "watch"); },
            [this] { this->OnConfirmed(); },
            [](std::error_code) {} })
{
}

void ConfigFollower::Adopt(const std::string& aDocument, const char* aSource)
{
  Findings findings;
  std::optional<FleetConfig> offered = this->decoders.config(aDocument, findings);
  if (!offered) {
    if (this->CountOdd(this->decoders.configKey, std::hash<std::string>()(aDocument))) {
      LogLine(LogLevel::Error, "config_unreadable")
        .Add("source", aSource)
        .Add("bytes", aDocument.size())
        .Add("findings", findings.ToText().substr(0, kMaxLoggedFindings));
    }
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

bool ConfigFollower::CountOdd(const std::string& aKey, std::uint64_t aVersion)
{
  auto [known, isNew] = this->oddDocuments.try_emplace(aKey, aVersion);
  if (!isNew && known->second == aVersion) {
    return false;
  }
  known->second = aVersion;
  this->metrics.Count("operator_documents_unreadable_total");
  return true;
}

void ConfigFollower::ApplyChange(const KeyValueChange& aChange, const char* aSource)
{
  const std::string& key = aChange.key;
  if (key == this->decoders.configKey) {
    if (aChange.value) {
      this->Adopt(*aChange.value, aSource);
    }
    return;
  }
  if (!this->decoders.wavePrefix.empty() && key.rfind(this->decoders.wavePrefix, 0) == 0) {
    this->ApplyWave(key, aChange.value, aChange.revision);
    return;
  }
  if (key.rfind(this->decoders.drainPrefix, 0) == 0) {
    FailureDomain domain = key.substr(this->decoders.drainPrefix.size());
    bool isDrained = aChange.value.has_value();
    bool hasChanged = isDrained ? this->drainedDomains.insert(domain).second
                                : this->drainedDomains.erase(domain) > 0;
    if (hasChanged) {
      LogLine(LogLevel::Info, isDrained ? "domain_drained" : "domain_returned")
        .Add("domain", domain);
      this->onChange();
    }
  }
}

void ConfigFollower::ApplyWave(const std::string& aKey,
                               const std::optional<std::string>& aValue,
                               std::uint64_t aRevision)
{
  if (auto known = this->waveNumbers.extract(aKey)) {
    this->waves.erase(known.mapped());
  }
  std::optional<MaintenanceWave> wave = aValue ? this->decoders.wave(*aValue) : std::nullopt;
  if (!aValue || wave) {
    this->oddDocuments.erase(aKey);
  } else if (this->CountOdd(aKey, aRevision)) {
    LogLine(LogLevel::Error, "upkeep_wave_unreadable")
      .Add("key", aKey)
      .Add("revision", aRevision)
      .Add("bytes", aValue->size())
      .Add("reason", this->decoders.waveProblem ? this->decoders.waveProblem(*aValue) : "");
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
    this->ApplyChange({ item.key, item.value, item.revision, item.lease }, "read");
  }
  // Keys that were deleted without a change that a watch has reported.
  std::vector<std::string> deleted;
  for (const FailureDomain& domain : this->drainedDomains) {
    deleted.push_back(this->decoders.drainPrefix + domain);
  }
  for (const auto& [key, number] : this->waveNumbers) {
    deleted.push_back(key);
  }
  std::erase_if(this->oddDocuments, [&](const auto& aDocument) {
    return aDocument.first != this->decoders.configKey && keys.count(aDocument.first) == 0;
  });
  for (const std::string& key : deleted) {
    if (keys.count(key) == 0) {
      this->ApplyChange({ key, std::nullopt, 0, 0 }, "read");
    }
  }
}

} // namespace daisydrift::coordination
