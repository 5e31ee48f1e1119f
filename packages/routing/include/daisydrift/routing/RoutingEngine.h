#pragma once
// The decisions about all requests of one entry instance: admission, upstream, retries, hedged
// tries and outcome.

#include "daisydrift/base.h"
#include "daisydrift/routing/AdmissionQueue.h"
#include "daisydrift/routing/Hedge.h"
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
struct TryOrder
{
  RequestNumber request = 0;
  /// Counts from 1 for each request.
  unsigned number = 0;
  UpstreamSlot slot;
  /// Time of the order; the send must not be before it.
  TimePoint orderedAt{};
  /// Deadline of the request. The try may go on after it so that the slot is freed by the answer.
  TimePoint deadline{};
};

/// Order to call Requeue() after a delay.
struct RetryOrder
{
  Duration delay{ 0 };
};

/// Final word on a request.
struct RequestEnd
{
  RequestOutcome outcome = RequestOutcome::Unknown;
  /// Number of the try whose answer is passed on; 0 when there is none.
  unsigned answeredTry = 0;
  /// HTTP status and code when there is no answer to pass on.
  int status = 0;
  std::string code;
  /// When trying again makes sense.
  std::optional<std::chrono::seconds> retryAfter;
};

/// Something that the owner of a request has to act on; exactly one of the three is present.
struct RoutingEvent
{
  RequestNumber request = 0;
  std::optional<TryOrder> order;
  std::optional<RetryOrder> retry;
  std::optional<RequestEnd> end;
};

/// Why a TryOrder was not carried out.
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
  std::uint64_t tries = 0;
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
  RequestNumber Submit(const RequestSpec& aSpec, TimePoint aNow);
  /// Says how a try ended. aSentAt is the time just before its send. Must be called exactly once
  /// for each TryOrder that was sent.
  void TryEnded(const TryOrder& aOrder, TryOutcome aOutcome, TimePoint aSentAt, TimePoint aNow);
  /// Says that a TryOrder was not carried out: proof that this try did not run. Called instead of
  /// TryEnded().
  void TrySkipped(const TryOrder& aOrder, SkipReason aReason, TimePoint aNow);
  /// Asks for the next try after the delay of a RetryOrder.
  void Requeue(RequestNumber aRequest, TimePoint aNow);
  /// Time after the latest try at which Hedge() may be called; none when the request is not hedged.
  std::optional<Duration> HedgeDelay(RequestNumber aRequest) const;
  /// True when the answer may well come after the deadline: latencies are unknown, or the time left
  /// is less than ten times their 95th percentile.
  bool IsDeadlineTight(RequestNumber aRequest, TimePoint aNow) const;
  /// Orders a second, concurrent try when it is allowed and a slot is free.
  void HedgeNow(RequestNumber aRequest, TimePoint aNow);
  /// Ends a request whose deadline has passed. Tries that run go on to hold their slots.
  void Expire(RequestNumber aRequest, TimePoint aNow);
  /// Ends all waiting requests of a team; returns how many.
  std::size_t CancelTeam(const TeamName& aTeam, TimePoint aNow);
  /// Gives free slots to waiting requests; to be called when NextChange() has passed.
  void Dispatch(TimePoint aNow);

  /// Events since the last call, in order.
  std::vector<RoutingEvent> TakeEvents();
  /// True when a request of the service would be sent at once.
  bool WouldSendNow(const std::string& aService, bool aIsRepeatable, TimePoint aNow);
  /// Next time at which Dispatch() can make a difference without another call.
  std::optional<TimePoint> NextChange(TimePoint aNow) const;
  /// Requests not ended, and tries not ended (including those of ended requests).
  std::size_t OpenRequests() const { return this->openRequests; }
  std::size_t OpenTries() const { return this->openTries; }
  std::size_t Waiting(const std::string& aService) const;
  const RoutingCounts& Counts() const { return this->counts; }
  UpstreamTable& Table() { return this->table; }

private:
  struct Request
  {
    RequestSpec spec;
    unsigned tries = 0;
    /// Tries whose end is not known yet.
    unsigned openTries = 0;
    /// An ended try may have been started by its upstream.
    bool mayHaveStarted = false;
    bool isEnded = false;
    bool isWaiting = false;
    bool isHedged = false;
    std::vector<UpstreamId> tried;
  };
  struct Service
  {
    explicit Service(const RoutingSettings& aSettings);
    AdmissionQueue queue;
    RetryBudget retries;
    Hedge hedge;
  };

  Service& ServiceOf(const std::string& aName);
  void DispatchService(Service& aService, TimePoint aNow);
  bool StartTry(RequestNumber aNumber, Request& aRequest, TimePoint aNow);
  void OrderTry(RequestNumber aNumber, Request& aRequest, UpstreamSlot aSlot, TimePoint aNow);
  void Admit(RequestNumber aNumber, Request& aRequest, TimePoint aNow);
  void CloseTry(Request& aRequest);
  void AfterTry(const TryOrder& aOrder, Request& aRequest, TryOutcome aOutcome, TimePoint aNow);
  void End(RequestNumber aNumber, Request& aRequest, RequestEnd aEnd);
  /// Ends a request without an answer; the outcome follows from what its tries did.
  void EndUnanswered(RequestNumber aNumber,
                     int aStatus,
                     const char* aCode,
                     std::optional<std::chrono::seconds> aRetryAfter = std::nullopt);
  void ForgetIfDone(RequestNumber aNumber);

  RoutingSettings settings;
  UpstreamTable table;
  RetryPolicy policy;
  Backoff backoff;
  std::map<std::string, std::unique_ptr<Service>> services;
  std::unordered_map<RequestNumber, Request> requests;
  std::vector<RoutingEvent> events;
  RequestNumber lastNumber = 0;
  std::size_t openRequests = 0;
  std::size_t openTries = 0;
  RoutingCounts counts;
  bool isDraining = false;
};

} // namespace daisydrift
