#pragma once
// The decisions about all requests of one entry instance: admission, upstream, retries, hedged
// tries and outcome.

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

/// A request as the engine sees it.
struct RequestSpec
{
  std::string service;
  TeamName team;
  double weight = 1;
  bool isRepeatable = false;
  TimePoint deadline{};
};

/// Order to send a request once.
struct UpstreamAttempt
{
  RequestId request = 0;
  /// Counts from 1 for each request.
  unsigned number = 0;
  UpstreamSlot slot;
  /// Time of the order; the send must not be before it.
  TimePoint issuedAt{};
  /// Deadline of the request. The try may go on after it so that the slot is freed by the answer.
  TimePoint deadline{};
};

/// Order to call Requeue() after a delay.
struct ScheduledRetry
{
  Duration delay{ 0 };
};

/// Final word on a request.
struct RequestResult
{
  RequestOutcome outcome = RequestOutcome::Unknown;
  /// Number of the try whose answer is passed on; 0 when there is none.
  unsigned responseAttempt = 0;
  /// HTTP status and code when there is no answer to pass on.
  int status = 0;
  std::string code;
  /// When trying again makes sense.
  std::optional<std::chrono::seconds> retryAfter;
};

/// Something that the owner of a request has to act on; exactly one of the three is present.
struct RoutingEvent
{
  RequestId request = 0;
  std::optional<UpstreamAttempt> attempt;
  std::optional<ScheduledRetry> retry;
  std::optional<RequestResult> result;
};

/// Why a UpstreamAttempt was not carried out.
enum class SkipReason
{
  /// This instance may not use its seat now.
  SeatNotUsable,
  /// The deadline had passed before the send.
  DeadlinePassed
};

/// Numbers for metrics.
struct RoutingCounts
{
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;
  std::uint64_t retries = 0;
  std::uint64_t hedges = 0;
};

/// Not thread-safe; the time is passed in. After each call the events are taken with TakeEvents()
/// and given to the owners of the requests they name. A request that waits has no event. The owner
/// calls Expire() when the deadline passes.
class RoutingEngine
{
public:
  explicit RoutingEngine(const RoutingSettings& aSettings);

  /// Takes over the directory's list and gives new slots to waiting requests.
  void UpdateUpstreams(const std::vector<InstanceInfo>& aList, TimePoint aNow);
  void SetSeat(std::optional<unsigned> aSeat, TimePoint aNow);
  void SetLimits(const std::string& aService, const UpstreamLimits& aLimits, TimePoint aNow);
  /// From now on new requests are refused.
  void BeginDrain() { this->isDraining = true; }
  bool IsDraining() const { return this->isDraining; }

  /// Admits or refuses a request; the deadline is shortened to the longest allowed.
  RequestId Submit(const RequestSpec& aSpec, TimePoint aNow);
  /// Says how a try ended. aSentAt is the time just before its send. Must be called exactly once
  /// for each UpstreamAttempt that was sent.
  void OnAttemptEnded(const UpstreamAttempt& aAttempt,
                      SendOutcome aOutcome,
                      TimePoint aSentAt,
                      TimePoint aNow);
  /// Says that a UpstreamAttempt was not carried out: proof that this try did not run. Called
  /// instead of OnAttemptEnded().
  void OnAttemptSkipped(const UpstreamAttempt& aAttempt, SkipReason aReason, TimePoint aNow);
  /// Asks for the next try after the delay of a ScheduledRetry.
  void Requeue(RequestId aRequest, TimePoint aNow);
  /// Time after the latest try at which Hedge() may be called; none when the request is not hedged.
  std::optional<Duration> HedgeDelay(RequestId aRequest) const;
  /// True when the answer may well come after the deadline: latencies are unknown, or the time left
  /// is less than ten times their 95th percentile.
  bool IsDeadlineTight(RequestId aRequest, TimePoint aNow) const;
  /// Orders a second, concurrent try when it is allowed and a slot is free.
  void StartHedge(RequestId aRequest, TimePoint aNow);
  /// Ends a request whose deadline has passed. Tries that run go on to hold their slots.
  void Expire(RequestId aRequest, TimePoint aNow);
  /// Ends all waiting requests of a team; returns how many.
  std::size_t CancelTeam(const TeamName& aTeam, TimePoint aNow);
  /// Gives free slots to waiting requests; to be called when NextChange() has passed.
  void Dispatch(TimePoint aNow);

  /// Events since the last call, in order.
  std::vector<RoutingEvent> TakeEvents();
  /// True when a request of the service would be sent at once.
  bool CanSendImmediately(const std::string& aService, bool aIsRepeatable, TimePoint aNow);
  /// Next time at which Dispatch() can make a difference without another call.
  std::optional<TimePoint> NextDispatchTime(TimePoint aNow) const;
  /// Requests not ended, and tries not ended (including those of ended requests).
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
    /// Tries whose end is not known yet.
    unsigned openAttempts = 0;
    /// An ended try may have been started by its upstream.
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
  /// Ends a request without an answer; the outcome follows from what its tries did.
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
