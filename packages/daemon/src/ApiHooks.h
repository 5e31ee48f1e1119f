#pragma once
// Functions of the daemon that the HTTP interfaces call.

#include "ConfigView.h"

#include "daisydrift/routing.h"
#include "daisydrift/rpc.h"

#include <functional>
#include <string>

namespace daisydrift {

/// Maximum time a request may take. Longer times that a caller asks for are reduced to it.
constexpr std::chrono::seconds kMaxRequestTimeout{ 30 };
/// Time a request may take when the caller asks for none.
constexpr std::chrono::seconds kDefaultRequestTimeout{ 10 };

/// Functions of the daemon that the HTTP interfaces call, concurrently from many threads.
struct ApiHooks
{
  /// Returns the newest known configuration; never null.
  std::function<Ref<const ConfigView>()> config;
  /// Returns false when the configuration is too old to accept authenticated requests: a key may
  /// have been revoked since it was confirmed.
  std::function<bool()> isConfigFresh;
  /// Sends a call to the leader of a region and returns its reply. An empty region means the region
  /// of this instance.
  std::function<CallReply(const std::string& aRegion, const Call& aCall)> callLeader;
  /// Routes an interactive request to an upstream and returns the response.
  std::function<RoutedResponse(const RoutedRequest& aRequest)> route;
  /// Applies an edit to the configuration in the store.
  std::function<EditOutcome(const EditRequest& aRequest)> edit;
  /// Returns the status of the whole fleet as JSON, for operators.
  std::function<std::string()> status;
  /// Returns the audit trail as JSON.
  std::function<std::string()> audit;
  /// Updates the gauges before the metrics are printed.
  std::function<void()> refreshMetrics;
  /// Returns true when the instance accepts requests.
  std::function<bool()> isReady;
};

} // namespace daisydrift
