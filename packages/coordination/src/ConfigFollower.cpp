#include "ConfigFollower.h"

namespace daisydrift::coordination {

namespace {
/// Delay before a failed store call is repeated.
constexpr std::chrono::milliseconds kStoreRetry{ 150 };
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

void ConfigFollower::Offer(const std::string& aDocument)
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

void ConfigFollower::Apply(const std::string& aKey, const std::optional<std::string>& aValue)
{
  if (aKey == this->decoders.configKey) {
    if (aValue) {
      this->Offer(*aValue);
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
      aValue ? this->drained.insert(domain).second : this->drained.erase(domain) > 0;
    if (hasChanged) {
      LogLine(LogLevel::Info, aValue ? "domain_drained" : "domain_returned").Add("domain", domain);
      this->onChange();
    }
  }
}

void ConfigFollower::ApplyWave(const std::string& aKey, const std::optional<std::string>& aValue)
{
  if (auto known = this->waveKeys.extract(aKey)) {
    this->waves.erase(known.mapped());
  }
  std::optional<UpkeepWave> wave = aValue ? this->decoders.wave(*aValue) : std::nullopt;
  if (aValue && !wave) {
    LogLine(LogLevel::Error, "upkeep_wave_unreadable").Add("key", aKey);
  }
  if (wave) {
    this->waveKeys[aKey] = wave->number;
    this->waves[wave->number] = std::move(*wave);
  }
  this->onChange();
}

void ConfigFollower::Load()
{
  this->store.ReadPage(
    this->settings.operatorPrefix, "", [this](const Result<KeyValuePage>& aPage) {
      if (!aPage) {
        this->loop.After(kStoreRetry, [this] { this->Load(); });
        return;
      }
      std::set<FailureDomain> absent = this->drained;
      for (const KeyValueItem& item : aPage->items) {
        this->Apply(item.key, item.value);
        if (item.key.rfind(this->decoders.drainPrefix, 0) == 0) {
          absent.erase(item.key.substr(this->decoders.drainPrefix.size()));
        }
      }
      for (const FailureDomain& domain : absent) {
        this->Apply(this->decoders.drainPrefix + domain, std::nullopt);
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
                    this->settings.watchWait,
                    [this, aRevision](const Result<KeyValueChanges>& aChanges) {
                      if (aChanges) {
                        for (const KeyValueChange& change : aChanges->changes) {
                          this->Apply(change.key, change.value);
                        }
                        this->Watch(aChanges->revision);
                      } else if (aChanges.Error() == make_error_code(Errc::NotFound)) {
                        this->Load();
                      } else {
                        this->loop.After(kStoreRetry,
                                         [this, aRevision] { this->Watch(aRevision); });
                      }
                    });
}

} // namespace daisydrift::coordination
