#include "ConfigFollower.h"

namespace daisydrift::coordination {

namespace {
/// Delay before a failed store call is repeated.
constexpr std::chrono::milliseconds kStoreRetryDelay{ 150 };
} // namespace

ConfigFollower::ConfigFollower(EventLoop& aLoop,
                               KeyValueStore& aStore,
                               const PlatformDecoders& aDecoders,
                               const InstanceSettings& aSettings,
                               std::function<void()> aOnChange)
  : loop(aLoop)
  , store(aStore)
  , decoders(aDecoders)
  , settings(aSettings)
  , onChange(std::move(aOnChange))
{
}

void ConfigFollower::Start()
{
  this->Load();
}

void ConfigFollower::Adopt(const std::string& aDocument)
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
    .Add("queues", this->config->policy.queues.size())
    .Add("teams", this->config->policy.teams.size());
  this->onChange();
}

void ConfigFollower::ApplyChange(const std::string& aKey, const std::optional<std::string>& aValue)
{
  if (aKey == this->decoders.configKey) {
    if (aValue) {
      this->Adopt(*aValue);
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

void ConfigFollower::Load()
{
  this->store.ReadPage(
    this->settings.operatorPrefix, "", [this](const Result<KeyValuePage>& aPage) {
      if (!aPage) {
        this->loop.After(kStoreRetryDelay, [this] { this->Load(); });
        return;
      }
      std::set<FailureDomain> noLongerDrained = this->drainedDomains;
      for (const KeyValueItem& item : aPage->items) {
        this->ApplyChange(item.key, item.value);
        if (item.key.rfind(this->decoders.drainPrefix, 0) == 0) {
          noLongerDrained.erase(item.key.substr(this->decoders.drainPrefix.size()));
        }
      }
      for (const FailureDomain& domain : noLongerDrained) {
        this->ApplyChange(this->decoders.drainPrefix + domain, std::nullopt);
      }
      this->Watch(aPage->revision);
    });
}

void ConfigFollower::Watch(std::uint64_t aRevision)
{
  if (this->isStopping) {
    return;
  }
  this->store.Watch(this->settings.operatorPrefix,
                    aRevision,
                    this->settings.maxWatchWait,
                    [this, aRevision](const Result<KeyValueChanges>& aChanges) {
                      if (aChanges) {
                        for (const KeyValueChange& change : aChanges->changes) {
                          this->ApplyChange(change.key, change.value);
                        }
                        this->Watch(aChanges->revision);
                      } else if (aChanges.Error() == make_error_code(Errc::NotFound)) {
                        this->Load();
                      } else {
                        this->loop.After(kStoreRetryDelay,
                                         [this, aRevision] { this->Watch(aRevision); });
                      }
                    });
}

} // namespace daisydrift::coordination
