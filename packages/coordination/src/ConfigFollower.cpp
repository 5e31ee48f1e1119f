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
                               Metrics& aMetrics,
                               std::function<void()> aOnChange)
  : loop(aLoop)
  , store(aStore)
  , decoders(aDecoders)
  , settings(aSettings)
  , metrics(aMetrics)
  , onChange(std::move(aOnChange))
  , confirmedAt(aLoop.Now())
{
}

void ConfigFollower::Start()
{
  this->Load();
}

void ConfigFollower::OnConfirmed(TimePoint aSentAt)
{
  this->metrics.Observe("config_age_seconds", this->Age());
  if (this->isLastCallFailed) {
    LogLine(LogLevel::Warning, "config_confirmed")
      .Add("version", this->Version())
      .Add("age_ms", this->Age());
  }
  this->isLastCallFailed = false;
  this->confirmedAt = std::max(this->confirmedAt, aSentAt);
}

void ConfigFollower::OnCallFailed(const char* aCall, std::error_code aError, TimePoint aSentAt)
{
  this->metrics.Count("config_calls_failed_total");
  // One line for each row of failures: while the store is away, a call fails every 150 ms.
  if (!this->isLastCallFailed) {
    LogLine(LogLevel::Warning, "config_unconfirmed")
      .Add("call", aCall)
      .Add("error", aError)
      .Add("spent_ms", this->loop.Now() - aSentAt)
      .Add("version", this->Version())
      .Add("age_ms", this->Age());
  }
  this->isLastCallFailed = true;
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

void ConfigFollower::Load()
{
  this->store.ReadPage(
    this->settings.operatorPrefix,
    "",
    [this, sentAt = this->loop.Now()](const Result<KeyValuePage>& aPage) {
      if (!aPage) {
        this->OnCallFailed("read", aPage.Error(), sentAt);
        this->loop.After(kStoreRetryDelay, [this] { this->Load(); });
        return;
      }
      std::set<FailureDomain> noLongerDrained = this->drainedDomains;
      for (const KeyValueItem& item : aPage->items) {
        this->ApplyChange(item.key, item.value, "read");
        if (item.key.rfind(this->decoders.drainPrefix, 0) == 0) {
          noLongerDrained.erase(item.key.substr(this->decoders.drainPrefix.size()));
        }
      }
      for (const FailureDomain& domain : noLongerDrained) {
        this->ApplyChange(this->decoders.drainPrefix + domain, std::nullopt, "read");
      }
      this->OnConfirmed(sentAt);
      this->Watch(aPage->revision);
    });
}

void ConfigFollower::Watch(std::uint64_t aRevision)
{
  if (this->isStopping) {
    return;
  }
  this->store.Watch(
    this->settings.operatorPrefix,
    aRevision,
    this->settings.maxWatchWait,
    [this, aRevision, sentAt = this->loop.Now()](const Result<KeyValueChanges>& aChanges) {
      if (aChanges) {
        for (const KeyValueChange& change : aChanges->changes) {
          this->ApplyChange(change.key, change.value, "watch");
        }
        this->OnConfirmed(sentAt);
        this->Watch(aChanges->revision);
      } else if (aChanges.Error() == make_error_code(Errc::NotFound)) {
        this->Load();
      } else {
        this->OnCallFailed("watch", aChanges.Error(), sentAt);
        this->loop.After(kStoreRetryDelay, [this, aRevision] { this->Watch(aRevision); });
      }
    });
}

} // namespace daisydrift::coordination
