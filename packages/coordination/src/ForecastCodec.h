#pragma once
// JSON form of the forecast that a leader sends with its announcements.

#include "daisydrift/coordination/JsonFields.h"
#include "daisydrift/dispatch.h"

namespace daisydrift::coordination {

/// aAge is the time since the forecast was computed.
nlohmann::json ToJson(const FleetForecast& aForecast, Duration aAge);

struct ReceivedForecast
{
  FleetForecast forecast;
  /// Age at which it was sent.
  Duration age{ 0 };
};
/// Returns nothing, and sets aError, when the document is invalid.
std::optional<ReceivedForecast> ForecastFromJson(const nlohmann::json& aDocument,
                                                 std::string* aError);

} // namespace daisydrift::coordination
