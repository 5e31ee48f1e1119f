#pragma once
// Thread-safe entry point of the package: takes a request and returns its answer.

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

/// Header with the milliseconds left until the deadline. Set on every request to an upstream.
inline constexpr const char* kDeadlineHeader = "Daisydrift-Deadline-Ms";

/// A caller's request.
struct RoutedRequest
{
  std::string service;
  TeamName team;
  /// Weight of the team in the queue.
  double weight = 1;
  UpstreamRequest request;
  /// The caller allows that it is run more than once.
  bool isRepeatable = false;
  /// On the router's clock; shortened to RoutingSettings::longestDeadline from now.
  TimePoint deadline{};
  /// It comes from a peer: it is refused with "no_free_slot" instead of waiting, and not forwarded
  /// again.
  bool isForwarded = false;
};

/// Answer to a caller: an upstream's whole answer, or an error.
struct RoutedAnswer
{
  int status = 0;
  /// Fields of the upstream's answer; empty when there is none.
  HeaderFields headers;
  std::string body;
  RequestOutcome outcome = RequestOutcome::Unknown;
  /// Empty when an upstream's answer is passed on as it is. Otherwise one of: draining,
  /// unknown_service, deadline_exceeded, deadline_unreachable, not_permitted, no_upstream,
  /// no_free_slot, queue_full, team_queue_full, cancelled, upstream_unreachable, upstream_refused,
  /// upstream_no_answer, upstream_unavailable (with the upstream's answer).
  std::string code;
  std::optional<std::chrono::seconds> retryAfter;
};

/// Behaviour supplied by the owner. All hooks are called from many threads, without a lock held
/// unless said otherwise.
struct RoutingHooks
{
  /// May this instance use its seat now? Asked immediately before each send. Empty means yes.
  std::function<bool()> maySend;
  /// Passes the request on to a peer with free slots. None means that no peer took it and nothing
  /// was run; it must then return at once, since under overload it is asked for every request.
  /// Empty means that requests are never forwarded.
  std::function<std::optional<RoutedAnswer>(const RoutedRequest&)> forwardToPeer;
  /// Waits on the condition, with the lock held, until notified or until the time on the router's
  /// clock. Empty means a wait in real time; tests advance a virtual clock instead.
  std::function<void(std::condition_variable&, std::unique_lock<std::mutex>&, TimePoint)> waitUntil;
};

/// Routes interactive requests to upstreams within the share of this instance's seat.
class RequestRouter
{
public:
  /// The references must outlive the router. Without SetSeat() every request is refused.
  RequestRouter(const RoutingSettings& aSettings,
                UpstreamClient& aClient,
                const Clock& aClock,
                Metrics& aMetrics,
                RoutingHooks aHooks);
  /// Waits for tries that still run. No call of Route() may be running.
  ~RequestRouter();
  RequestRouter(const RequestRouter&) = delete;
  RequestRouter& operator=(const RequestRouter&) = delete;

  /// Takes over the directory's list. Not to be called when the directory gave no answer.
  void UpdateUpstreams(const std::vector<InstanceInfo>& aList);
  /// Sets the seat whose share is used; none when this instance holds no seat.
  void SetSeat(std::optional<unsigned> aSeat);
  /// Sets the limits of the upstreams of a service.
  void SetLimits(const std::string& aService, const UpstreamLimits& aLimits);

  /// Routes a request and waits for its answer, about until its deadline at most.
  RoutedAnswer Route(const RoutedRequest& aRequest);
  /// The same with separate arguments.
  RoutedAnswer Route(const std::string& aService,
                     const TeamName& aTeam,
                     double aWeight,
                     const UpstreamRequest& aRequest,
                     bool aIsRepeatable,
                     TimePoint aDeadline);

  /// Refuses all waiting requests of a team with "cancelled"; returns how many. For teams whose key
  /// was revoked or that were removed.
  std::size_t CancelTeam(const TeamName& aTeam);
  /// Refuses new requests from now on and waits, at most aLongest, until no request is open and no
  /// upstream can still run one of ours. Returns false when time ran out: then the seat must not be
  /// given back as left cleanly.
  bool Drain(Duration aLongest);

  /// Numbers of a service's upstreams.
  UpstreamCounts Counts(const std::string& aService) const;
  /// Sets the gauges of all services; to be called before the metrics are printed.
  void UpdateGauges() const;
  /// Requests that wait for a slot of the service.
  std::size_t Waiting(const std::string& aService) const;

private:
  struct PendingRequest;

  std::optional<RoutedAnswer> ForwardIfSaturated(const RoutedRequest& aRequest);
  RoutedAnswer RouteLocally(const RoutedRequest& aRequest);
  void RunUntilComplete(std::unique_lock<std::mutex>& aLock, PendingRequest& aPending);
  void LaunchAttempt(std::unique_lock<std::mutex>& aLock, PendingRequest& aPending);
  /// Carries out an order. With aMayOutlastDeadline the try goes on after the deadline of the
  /// request.
  void RunAttempt(PendingRequest& aPending,
                  const UpstreamAttempt& aAttempt,
                  bool aMayOutlastDeadline);
  UpstreamResult Send(const PendingRequest& aPending,
                      const UpstreamAttempt& aAttempt,
                      Duration aTimeLeft,
                      Duration aTimeout);
  void DeliverEvents();
  void PublishCounters();
  void Wait(std::condition_variable& aCondition,
            std::unique_lock<std::mutex>& aLock,
            TimePoint aUntil);
  void RecordResponse(const RoutedRequest& aRequest, const RoutedAnswer& aAnswer, TimePoint aStart);

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
  RoutingCounts reported;
  std::unique_ptr<AttemptThreadPool> threadPool;
};

} // namespace daisydrift
