#include "AdmissionControl.h"

#include "RecordWriter.h"

#include <algorithm>

namespace daisydrift::coordination {

namespace {
/// Longest read of the store before a refusal; it normally takes 4 ms. A job whose read takes
/// longer is admitted.
constexpr std::chrono::milliseconds kMaxReadTime{ 300 };
/// Admitted jobs that are remembered. Writes of the store are carried out up to some 12 s late; at
/// 100 jobs a second on one instance this covers 40 s.
constexpr std::size_t kMaxRememberedJobs = 4096;
constexpr unsigned kUnsampledLogLinesPerSecond = 20;
constexpr unsigned kLogSamplingInterval = 10;
} // namespace

/// A read of the store before a refusal.
struct AdmissionControl::Reading
{
  Done done;
};

AdmissionControl::AdmissionControl(EventLoop& aLoop,
                                   KeyValueStore& aStore,
                                   const Membership& aMembership,
                                   const ConfigFollower& aConfig,
                                   const InstanceSettings& aSettings,
                                   Metrics& aMetrics)
  : loop(aLoop)
  , store(aStore)
  , membership(aMembership)
  , config(aConfig)
  , settings(aSettings)
  , metrics(aMetrics)
  , policy(aSettings.admissionMargin)
  , sampler(kUnsampledLogLinesPerSecond, kLogSamplingInterval)
{
}

void AdmissionControl::Adopt(FleetForecast aForecast, Duration aAge)
{
  bool isNewer =
    !this->forecast || std::make_pair(aForecast.term, aForecast.sequence) >
                         std::make_pair(this->forecast->term, this->forecast->sequence);
  if (!isNewer) {
    return;
  }
  for (const auto& [queue, error] : aForecast.errors) {
    this->metrics.Set("forecast_error_seconds{queue=\"" + queue + "\"}",
                      std::chrono::duration<double>(error.time).count());
  }
  this->forecast = std::move(aForecast);
  this->computedAt = this->loop.Now() - aAge;
}

void AdmissionControl::Receive(const nlohmann::json& aDocument)
{
  std::string error;
  if (std::optional<ReceivedForecast> received = ForecastFromJson(aDocument, &error)) {
    this->Adopt(std::move(received->forecast), received->age);
    return;
  }
  this->metrics.Count("forecasts_unreadable_total");
  if (!this->wasUnreadableLogged) {
    this->wasUnreadableLogged = true;
    LogLine(LogLevel::Warning, "forecast_unreadable").Add("reason", error);
  }
}

std::optional<AdmissionRefusal> AdmissionControl::DecideByForecast(const JobDefinition& aDefinition)
{
  const FleetConfig* config = this->config.Config();
  if (!this->forecast || config == nullptr || !HasForecast(aDefinition)) {
    return std::nullopt;
  }
  TimePoint now = this->loop.Now();
  Duration age = std::max(now - this->computedAt, Duration(0));
  this->metrics.Set("forecast_age_seconds", std::chrono::duration<double>(age).count());
  auto queue = config->policy.queues.find(aDefinition.queue);
  if (queue == config->policy.queues.end()) {
    return std::nullopt;
  }
  auto team = config->policy.teams.find(aDefinition.team);
  Resources ceiling = team == config->policy.teams.end() ? Resources() : team->second.ceiling;
  return this->policy.Decide(
    aDefinition.id, ForecastJobOf(aDefinition, queue->second, ceiling), *this->forecast, age, now);
}

void AdmissionControl::Decide(const JobDefinition& aDefinition, Duration aTimeout, Done aDone)
{
  if (!this->settings.admission) {
    aDone(std::nullopt);
    return;
  }
  std::optional<AdmissionRefusal> refusal = this->DecideByForecast(aDefinition);
  if (!refusal || this->admitted.count(aDefinition.id) != 0 ||
      !this->membership.IsStoreAvailable()) {
    this->Admit(aDefinition.id, aDone);
    return;
  }
  this->ConfirmByStore(aDefinition, *refusal, aTimeout, std::move(aDone));
}

void AdmissionControl::ConfirmByStore(const JobDefinition& aDefinition,
                                      const AdmissionRefusal& aRefusal,
                                      Duration aTimeout,
                                      Done aDone)
{
  auto reading = std::make_shared<Reading>(Reading{ std::move(aDone) });
  JobId job = aDefinition.id;
  this->loop.After(std::min<Duration>(aTimeout / 2, kMaxReadTime), [this, reading, job] {
    if (Done done = std::exchange(reading->done, nullptr)) {
      this->Admit(job, done);
    }
  });
  std::string key = DefinitionKey(this->settings.storePrefix, job);
  this->store.Read(
    key, [this, reading, aDefinition, aRefusal](const Result<std::optional<KeyValueItem>>& aItem) {
      Done done = std::exchange(reading->done, nullptr);
      if (!done) {
        return;
      }
      // Another request with this id may have been admitted meanwhile.
      bool mayBeStored = !aItem || aItem->has_value() || this->admitted.count(aDefinition.id) != 0;
      if (mayBeStored) {
        this->Admit(aDefinition.id, done);
      } else {
        this->Refuse(aDefinition, aRefusal, done);
      }
    });
}

void AdmissionControl::Admit(const JobId& aJob, const Done& aDone)
{
  this->metrics.Count("admission_admitted_total");
  if (this->admitted.insert(aJob).second) {
    this->admittedOrder.push_back(aJob);
    if (this->admittedOrder.size() > kMaxRememberedJobs) {
      this->admitted.erase(this->admittedOrder.front());
      this->admittedOrder.pop_front();
    }
  }
  aDone(std::nullopt);
}

void AdmissionControl::Refuse(const JobDefinition& aDefinition,
                              const AdmissionRefusal& aRefusal,
                              const Done& aDone)
{
  const char* cause = NameOf(aRefusal.cause);
  this->metrics.Count("admission_refused_total{queue=\"" + aDefinition.queue + "\",cause=\"" +
                      cause + "\"}");
  auto second =
    std::chrono::duration_cast<std::chrono::seconds>(this->loop.Now().time_since_epoch());
  if (unsigned weight = this->sampler.Weight(second)) {
    LogLine(LogLevel::Info, "admission_refused")
      .Add("job", aDefinition.id)
      .Add("queue", aDefinition.queue)
      .Add("team", aDefinition.team)
      .Add("cause", cause)
      .Add("expected_end_ms", aRefusal.expectedEnd)
      .Add("least_end_ms", aRefusal.leastEnd)
      .Add("bound_ms", aRefusal.bound)
      .Add("retry_after_s", aRefusal.retryAfter.count())
      .Add("forecast_sequence", aRefusal.forecastSequence)
      .Add("forecast_age_ms", aRefusal.forecastAge)
      .Add("sample", weight);
  }
  aDone(aRefusal);
}

} // namespace daisydrift::coordination
