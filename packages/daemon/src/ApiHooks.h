#pragma once
// What the HTTP interface needs from the daemon.

#include "ConfigView.h"

#include "daisydrift/routing.h"
#include "daisydrift/rpc.h"

#include <functional>
#include <string>

namespace daisydrift {

/// Longest deadline of a request and the one used when the caller names none.
constexpr std::chrono::seconds kLongestDeadline{ 30 };
constexpr std::chrono::seconds kDefaultDeadline{ 10 };

/// What the interface needs from the daemon. All hooks are called from many threads.
struct ApiHooks
{
  /// The newest configuration known; never null.
  std::function<Ref<const ConfigView>()> config;
  /// False when the configuration is too old to accept keyed work.
  std::function<bool()> isConfigFresh;
  /// Passes a call to the leader of a region; an empty region means the own one.
  std::function<CallReply(const std::string& aRegion, const Call& aCall)> callLeader;
  /// Routes an interactive request.
  std::function<RoutedResponse(const RoutedRequest& aRequest)> route;
  /// Applies an edit of the configuration.
  std::function<EditOutcome(const EditRequest& aRequest)> edit;
  /// JSON of the whole fleet for operators.
  std::function<std::string()> status;
  /// JSON of the audit trail.
  std::function<std::string()> audit;
  /// Brings the metrics up to date before they are printed.
  std::function<void()> refreshMetrics;
  /// True when new work is welcome.
  std::function<bool()> isReady;
};

} // namespace daisydrift
