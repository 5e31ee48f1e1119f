#pragma once
// Thread-safe entry point of the package: routes a request and returns the response.

#include "daisydrift/base.h"
#include "daisydrift/external.h"
#include "daisydrift/routing/RoutingEngine.h"
#include "daisydrift/routing/RoutingSettings.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisydrift {

class AttemptThreadPool;

/// Header with the time left until the deadline in milliseconds. Set on every request to an
/// upstream.
inline constexpr const char* kDeadlineHeader = "Daisydrift-Deadline-Ms";

/// A request from a caller.
struct RoutedRequest
{
  std::string service;
  TeamName team;
  /// Weight of the team in the admission queue.
  double weight = 1;
  UpstreamRequest request;
  /// The caller allows the request to be executed more than once.
  bool isRepeatable = false;
  /// Deadline on the router's clock. A deadline later than RoutingSettings::maxRequestTimeout from
  /// now is shortened to that.
  TimePoint deadline{};
  /// The request was forwarded by a peer. It is refused with "no_free_slot" instead of queued, and
  /// never forwarded again.
  bool isForwarded = false;
};

/// Response to a caller: the complete response of an upstream, or an error.
struct RoutedResponse
{
  int status = 0;
  /// Header fields of the upstream's response; empty when there is none.
  HeaderFields headers;
  std::string body;
  RequestOutcome outcome = RequestOutcome::Unknown;
  /// Empty when an upstream's response is passed on unchanged. Otherwise one of: draining,
  /// unknown_service, deadline_exceeded, deadline_unreachable, not_permitted, no_upstream,
  /// no_free_slot, queue_full, team_queue_full, cancelled, upstream_unreachable, upstream_refused,
  /// upstream_no_answer, upstream_unavailable (with the upstream's response).
  std::string code;
  std::optional<std::chrono::seconds> retryAfter;
};

/// Callbacks supplied by the owner of a RequestRouter. They are called from many threads, and
/// without a lock held unless stated otherwise.
struct RoutingHooks
{
  /// Returns whether this instance may use its seat now. Called immediately before each send. Empty
  /// means always true.
  std::function<bool()> canSend;
  /// Forwards the request to a peer with free slots. Returns none when no peer accepted it and
  /// nothing was executed; it must do so without delay, since under overload it is called for every
  /// request. Empty means that requests are never forwarded.
  std::function<std::optional<RoutedResponse>(const RoutedRequest&)> forwardToPeer;
  /// Waits on the condition variable, with the lock held on entry, until it is notified or the
  /// router's clock reaches the time. Empty means a wait in real time; tests advance a virtual
  /// clock instead.
  std::function<void(std::condition_variable&, std::unique_lock<std::mutex>&, TimePoint)> waitUntil;
};

/// Routes interactive requests to upstreams within the share of the seat that this instance holds.
class RequestRouter
{
public:
  /// The references must outlive the router. Every request is refused until SetSeat() sets a seat.
  RequestRouter(const RoutingSettings& aSettings,
                UpstreamClient& aClient,
                const Clock& aClock,
                Metrics& aMetrics,
                RoutingHooks aHooks);
  /// Waits for attempts that still run. No call of Route() may be running.
  ~RequestRouter();
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  /// Replaces the list of upstreams by the directory's current one. Must not be called when the
  /// directory could not be read.
  void UpdateUpstreams(const std::vector<InstanceInfo>& aList);
  /// Sets the seat whose share is used; none when this instance holds no seat.
  void SetSeat(std::optional<unsigned> aSeat);
  /// Sets the limits of each upstream of a service.
  void SetLimits(const std::string& aService, const UpstreamLimits& aLimits);

  /// Routes a request and blocks until its response is available, at most until about its deadline.
  RoutedResponse Route(const RoutedRequest& aRequest);
  /// Overload with separate arguments.
  RoutedResponse Route(const std::string& aService,
                       const TeamName& aTeam,
                       double aWeight,
                       const UpstreamRequest& aRequest,
                       bool aIsRepeatable,
                       TimePoint aDeadline);

  /// Refuses all queued requests of a team with "cancelled" and returns how many. Meant for teams
  /// that were removed or whose key was revoked.
  std::size_t CancelTeam(const TeamName& aTeam);
  /// Refuses new requests from now on. Waits, at most aTimeout, until no request is open and no
  /// upstream can still be executing a request of this instance. Returns false when the time ran
  /// out: then the seat must not be released, because its next holder would not wait for these
  /// requests.
  bool Drain(Duration aTimeout);

  /// Counts of a service's upstreams and their slots.
  UpstreamCounts Counts(const std::string& aService) const;
  /// Sets the gauges of all services; to be called before the metrics are exported.
  void UpdateGauges() const;
  /// Number of requests that wait for a slot of the service.
  std::size_t CountWaiting(const std::string& aService) const;

private:
  struct PendingRequest;

  std::optional<RoutedResponse> ForwardIfSaturated(const RoutedRequest& aRequest);
  RoutedResponse RouteLocally(const RoutedRequest& aRequest);
  void RunUntilComplete(std::unique_lock<std::mutex>& aLock, PendingRequest& aPending);
  void LaunchAttempt(std::unique_lock<std::mutex>& aLock, PendingRequest& aPending);
  /// Sends an attempt and records its outcome. With aCanOutlastDeadline the attempt may continue
  /// after the deadline of the request.
  void RunAttempt(PendingRequest& aPending,
                  const UpstreamAttempt& aAttempt,
                  bool aCanOutlastDeadline);
  UpstreamResult Send(const PendingRequest& aPending,
                      const UpstreamAttempt& aAttempt,
                      Duration aTimeLeft,
                      Duration aTimeout);
  void DeliverEvents();
  void PublishCounters();
  void Wait(std::condition_variable& aCondition,
            std::unique_lock<std::mutex>& aLock,
            TimePoint aUntil);
  void RecordResponse(const RoutedRequest& aRequest,
                      const RoutedResponse& aResponse,
                      TimePoint aStart);

  RoutingSettings settings;
  UpstreamClient& client;
  const Clock& clock;
  Metrics& metrics;
  RoutingHooks hooks;
  /// Guards the engine, the map and all PendingRequest objects.
  mutable std::mutex mutex;
  mutable RoutingEngine engine;
  std::unordered_map<RequestId, Ref<PendingRequest>> pendingRequests;
  std::condition_variable drained;
  /// Counts already added to the metrics.
  RoutingCounts reportedCounts;
  std::unique_ptr<AttemptThreadPool> threadPool;
};

} // namespace daisydrift
