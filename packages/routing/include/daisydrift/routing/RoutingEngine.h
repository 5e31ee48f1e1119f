#pragma once
// State machine that makes all routing decisions of one instance: admission, choice of the
// upstream, retries, hedged attempts and the outcome of each request. It performs no I/O.

#include "daisydrift/base.h"
#include "daisydrift/routing/AdmissionQueue.h"
#include "daisydrift/routing/HedgingPolicy.h"
#include "daisydrift/routing/RetryBudget.h"
#include "daisydrift/routing/RetryPolicy.h"
#include "daisydrift/routing/RoutingSettings.h"
#include "daisydrift/routing/UpstreamTable.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisydrift {

/// What the engine needs to know about a request.
struct RequestSpec
{
  std::string service;
  TeamName team;
  double weight = 1;
  bool isRepeatable = false;
  TimePoint deadline{};
};

/// Command to send a request once to one upstream.
struct UpstreamAttempt
{
  RequestId request = 0;
  /// Number of the attempt among those of its request, from 1.
  unsigned number = 0;
  UpstreamSlot slot;
  /// Time of the command; the attempt must not be sent before it.
  TimePoint issuedAt{};
  /// Deadline of the request. The attempt may continue after it, so that the slot is released when
  /// the response arrives.
  TimePoint deadline{};
};

/// Command to call Requeue() after a delay.
struct ScheduledRetry
{
  Duration delay{ 0 };
};

/// Final result of a request.
struct RequestResult
{
  RequestOutcome outcome = RequestOutcome::Unknown;
  /// Number of the attempt whose response is passed on; 0 when there is none.
  unsigned responseAttempt = 0;
  /// HTTP status and error code when there is no response to pass on.
  int status = 0;
  std::string code;
  /// Time after which the caller may usefully retry.
  std::optional<std::chrono::seconds> retryAfter;
};

/// Command or result for the owner of a request; exactly one of the three is present.
struct RoutingEvent
{
  RequestId request = 0;
  std::optional<UpstreamAttempt> attempt;
  std::optional<ScheduledRetry> retry;
  std::optional<RequestResult> result;
};

/// Why an UpstreamAttempt was not sent.
enum class SkipReason
{
  /// This instance may not use its seat now.
  SeatNotUsable,
  /// The deadline passed before the send.
  DeadlinePassed
};

/// Counts since the start, for metrics.
struct RoutingCounts
{
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
};

/// Makes the routing decisions. Not thread-safe; the time is passed in. After each call the owner
/// takes the events with TakeEvents() and handles each for the request that it names. A queued
/// request has no event. The owner calls Expire() when the deadline of a request passes.
class RoutingEngine
{
public:
  explicit RoutingEngine(const RoutingSettings& aSettings);

  /// Replaces the list of upstreams by the directory's current one and assigns new slots to queued
  /// requests.
  void UpdateUpstreams(const std::vector<InstanceInfo>& aList, TimePoint aNow);
  void SetSeat(std::optional<unsigned> aSeat, TimePoint aNow);
  void SetLimits(const std::string& aService, const UpstreamLimits& aLimits, TimePoint aNow);
  /// Refuses new requests from now on.
  void BeginDrain() { this->isDraining = true; }
  bool IsDraining() const { return this->isDraining; }

  /// Admits or refuses a request; its deadline is shortened to RoutingSettings::maxRequestTimeout
  /// from aNow.
  RequestId Submit(const RequestSpec& aSpec, TimePoint aNow);
  /// Reports how an attempt ended. aSentAt is the time just before its send. Must be called exactly
  /// once for each UpstreamAttempt that was sent.
  void OnAttemptEnded(const UpstreamAttempt& aAttempt,
                      SendOutcome aOutcome,
                      TimePoint aSentAt,
                      TimePoint aNow);
  /// Reports that an UpstreamAttempt was not sent, which proves that it was not executed. Called
  /// instead of OnAttemptEnded().
  void OnAttemptSkipped(const UpstreamAttempt& aAttempt, SkipReason aReason, TimePoint aNow);
  /// Starts or queues the next attempt after the delay of a ScheduledRetry.
  void Requeue(RequestId aRequest, TimePoint aNow);
  /// Time after the latest attempt at which StartHedge() may be called; none when the request is
  /// not to be hedged.
  std::optional<Duration> HedgeDelay(RequestId aRequest) const;
  /// True when the response may well come after the deadline: latencies are unknown, or the time
  /// left is less than ten times their 95th percentile.
  bool IsDeadlineTight(RequestId aRequest, TimePoint aNow) const;
  /// Starts a second, concurrent attempt if that is allowed and a slot is free.
  void StartHedge(RequestId aRequest, TimePoint aNow);
  /// Completes a request whose deadline has passed. Attempts in flight keep their slots.
  void Expire(RequestId aRequest, TimePoint aNow);
  /// Completes all queued requests of a team with "cancelled"; returns how many.
  std::size_t CancelTeam(const TeamName& aTeam, TimePoint aNow);
  /// Assigns free slots to queued requests; to be called when NextDispatchTime() has passed.
  void Dispatch(TimePoint aNow);

  /// Events since the last call, in order.
  std::vector<RoutingEvent> TakeEvents();
  /// True when a new request of the service would be sent without queueing.
  bool CanSendImmediately(const std::string& aService, bool aIsRepeatable, TimePoint aNow);
  /// Next time at which Dispatch() can start a queued request without another call before it.
  std::optional<TimePoint> NextDispatchTime(TimePoint aNow) const;
  /// Requests that are not complete, and attempts that have not ended, including those of complete
  /// requests.
  std::size_t OpenRequests() const { return this->openRequests; }
  std::size_t OpenAttempts() const { return this->openAttempts; }
  std::size_t CountWaiting(const std::string& aService) const;
  const RoutingCounts& Counts() const { return this->counts; }
  UpstreamTable& Table() { return this->table; }

private:
  struct Request
  {
    RequestSpec spec;
    unsigned attempts = 0;
    /// Attempts that have not ended.
    unsigned openAttempts = 0;
    /// The upstream of an ended attempt may have started the request.
    bool mayHaveStarted = false;
    bool isComplete = false;
    bool isWaiting = false;
    bool isHedged = false;
    std::vector<UpstreamId> triedUpstreams;
  };
  struct Service
  {
    explicit Service(const RoutingSettings& aSettings);
    AdmissionQueue queue;
    RetryBudget retryBudget;
    HedgingPolicy hedging;
  };

  Service& GetOrCreateService(const std::string& aName);
  void DispatchService(Service& aService, TimePoint aNow);
  bool StartAttempt(RequestId aRequestId, Request& aRequest, TimePoint aNow);
  void IssueAttempt(RequestId aRequestId, Request& aRequest, UpstreamSlot aSlot, TimePoint aNow);
  void Admit(RequestId aRequestId, Request& aRequest, TimePoint aNow);
  void CloseAttempt(Request& aRequest);
  void HandleAttemptOutcome(const UpstreamAttempt& aAttempt,
                            Request& aRequest,
                            SendOutcome aOutcome,
                            TimePoint aNow);
  void Complete(RequestId aRequestId, Request& aRequest, RequestResult aResult);
  /// Completes a request without a response; the outcome follows from its attempts.
  void CompleteWithError(RequestId aRequestId,
                         int aStatus,
                         const char* aCode,
                         std::optional<std::chrono::seconds> aRetryAfter = std::nullopt);
  void EraseIfDone(RequestId aRequestId);

  RoutingSettings settings;
  UpstreamTable table;
  RetryPolicy policy;
  Backoff backoff;
  std::map<std::string, std::unique_ptr<Service>> services;
  std::unordered_map<RequestId, Request> requests;
  std::vector<RoutingEvent> events;
  RequestId lastId = 0;
  std::size_t openRequests = 0;
  std::size_t openAttempts = 0;
  RoutingCounts counts;
  bool isDraining = false;
};

} // namespace daisydrift
