#include "ForecastCodec.h"

#include <limits>

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
/// Greatest cores, tokens, and core-seconds at one point; sums of them are exact.
constexpr double kMaxReal = 1e12;
constexpr std::uint64_t kMaxCoreSeconds = 1'000'000'000'000;
/// Most queues, teams and errors. A configuration has far fewer queues, and a leader sends few
/// teams.
constexpr std::size_t kMaxItems = 1024;

json ToJson(const WorkAhead& aAhead)
{
  json record{ { "in_time", aAhead.inTime.ToWholeCoreSeconds() },
               { "valued", aAhead.valued.ToWholeCoreSeconds() } };
  if (!(aAhead.valuedLight == aAhead.valued)) {
    record["light"] = aAhead.valuedLight.ToWholeCoreSeconds();
  }
  return record;
}

json ToJson(const LoadScope& aScope)
{
  json record{ { "cores", aScope.cores },
               { "largest", aScope.largestCores },
               { "mean_work", aScope.meanWork },
               { "ahead", ToJson(aScope.ahead) } };
  if (!(aScope.aheadOfOverRate == aScope.ahead)) {
    record["over_rate"] = ToJson(aScope.aheadOfOverRate);
  }
  return record;
}

WorkCurve CurveFrom(JsonFields& aFields, const char* aName)
{
  std::vector<std::uint64_t> added;
  const json* list = aFields.List(aName);
  if (list == nullptr) {
    return {};
  }
  for (const json& item : *list) {
    if (!item.is_number_unsigned() || item.get<std::uint64_t>() > kMaxCoreSeconds ||
        added.size() == WorkCurve::kPoints) {
      aFields.Fail(aName, "not a list of a few numbers in range");
      return {};
    }
    added.push_back(item.get<std::uint64_t>());
  }
  return WorkCurve::FromWholeCoreSeconds(added);
}

WorkAhead AheadFrom(JsonFields& aParent, const char* aName)
{
  WorkAhead ahead;
  if (const json* record = aParent.Find(aName)) {
    JsonFields fields(*record);
    ahead.inTime = CurveFrom(fields, "in_time");
    ahead.valued = CurveFrom(fields, "valued");
    ahead.valuedLight = fields.Find("light") == nullptr ? ahead.valued : CurveFrom(fields, "light");
    aParent.Adopt(aName, fields);
  }
  return ahead;
}

LoadScope ScopeFrom(JsonFields& aFields)
{
  LoadScope scope;
  aFields.Require({ "cores", "largest", "ahead" });
  scope.cores = aFields.Real("cores", 0, kMaxReal);
  scope.largestCores = aFields.Real("largest", 0, kMaxReal);
  scope.meanWork = aFields.Real("mean_work", 0, kMaxReal);
  scope.ahead = AheadFrom(aFields, "ahead");
  scope.aheadOfOverRate =
    aFields.Find("over_rate") == nullptr ? scope.ahead : AheadFrom(aFields, "over_rate");
  return scope;
}

/// Passes the fields of each item of the named list to aRead.
template<typename Reader>
void ReadRecords(JsonFields& aFields, const char* aName, const Reader& aRead)
{
  const json* list = aFields.List(aName);
  if (list == nullptr) {
    return;
  }
  if (list->size() > kMaxItems) {
    aFields.Fail(aName, "too long");
    return;
  }
  for (const json& item : *list) {
    JsonFields fields(item);
    aRead(fields);
    aFields.Adopt(aName, fields);
  }
}
} // namespace

json ToJson(const FleetForecast& aForecast, Duration aAge)
{
  json queues = json::array();
  for (const auto& [queue, scope] : aForecast.queues) {
    queues.push_back(ToJson(scope));
    queues.back()["queue"] = queue;
  }
  json teams = json::array();
  for (const auto& [key, scope] : aForecast.teams) {
    teams.push_back(ToJson(scope));
    teams.back()["queue"] = key.first;
    teams.back()["team"] = key.second;
  }
  json rates = json::array();
  for (const auto& [team, rate] : aForecast.rates) {
    rates.push_back(
      { { "team", team }, { "tokens", rate.tokens }, { "per_second", rate.perSecond } });
  }
  json errors = json::array();
  for (const auto& [queue, error] : aForecast.errors) {
    errors.push_back(
      { { "queue", queue }, { "time_us", error.time.count() }, { "share", error.share } });
  }
  return { { "term", aForecast.term },     { "sequence", aForecast.sequence },
           { "age_us", aAge.count() },     { "queues", std::move(queues) },
           { "teams", std::move(teams) },  { "rates", std::move(rates) },
           { "errors", std::move(errors) } };
}

std::optional<ReceivedForecast> ForecastFromJson(const json& aDocument, std::string* aError)
{
  JsonFields fields(aDocument);
  ReceivedForecast received;
  FleetForecast& forecast = received.forecast;
  fields.Require({ "term", "sequence", "age_us" });
  forecast.term = fields.Integer<Epoch>("term", 0, kMaxNumber);
  forecast.sequence = fields.Integer<std::uint64_t>("sequence", 0, kMaxNumber);
  received.age = fields.Microseconds("age_us");
  ReadRecords(fields, "queues", [&](JsonFields& aFields) {
    forecast.queues[aFields.Text("queue")] = ScopeFrom(aFields);
  });
  ReadRecords(fields, "teams", [&](JsonFields& aFields) {
    std::string queue = aFields.Text("queue");
    forecast.teams[{ queue, aFields.Text("team") }] = ScopeFrom(aFields);
  });
  ReadRecords(fields, "rates", [&](JsonFields& aFields) {
    forecast.rates[aFields.Text("team")] = { aFields.Real("tokens", 0, kMaxReal),
                                             aFields.Real("per_second", 0, kMaxReal) };
  });
  ReadRecords(fields, "errors", [&](JsonFields& aFields) {
    std::string queue = aFields.Text("queue");
    Duration time = aFields.Microseconds("time_us");
    forecast.errors[queue] = { time, aFields.Real("share", 0, 1) };
  });
  if (!fields.IsValid()) {
    *aError = fields.Error();
    return std::nullopt;
  }
  return received;
}

} // namespace daisydrift::coordination
