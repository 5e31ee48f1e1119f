#pragma once
// Selection of the requests to the advice service.

#include "Placement.h"

#include <set>

namespace daisydrift::dispatch {

/// Decides which advice requests are sent. The service processes one request at a time for each
/// asking instance, and some take half a second. Therefore a request names a limited number of
/// workers, preferably with free capacity; it is sent before the step is ready; slow requests never
/// use all request slots; and services that wait long don't depend on the steps before them.
class AdvicePlanner
{
public:
  AdvicePlanner(FleetState& aState, Placement& aPlacement);

  /// Resets the number of comparisons of steps with workers in a round, which is limited.
  /// aHasLongWaitingService: a step of the round is a service for which
  /// IsLongWaitingService holds.
  void BeginRound(bool aHasLongWaitingService);
  /// True for a service whose tasks wait so long that it gets advice ahead of its turn.
  static bool IsLongWaitingService(const Step& aStep, TimePoint aNow);
  /// Requests advice for a step when its valid tickets don't cover its waiting tasks. aPosition is
  /// the step's place in the scheduling order.
  void MaybeRequest(Step& aStep,
                    TimePoint aNow,
                    std::size_t aRequestSlots,
                    std::size_t aPosition,
                    DispatchRound& aRound);
  void OnResponse(const AdviceRequest& aRequest,
                  const std::vector<AdviceGrant>& aGrants,
                  TimePoint aValidUntil);
  void OnFailure(const AdviceRequest& aRequest, TimePoint aNow);
  /// Number of requests without a response so far.
  std::size_t OpenRequestCount() const { return this->openRequests; }
  /// Steps that the last round did not consider, since its scans or request slots were used up.
  std::size_t StepsPassedOver() const { return this->stepsPassedOver; }
  /// True when the steps that this one depends on are expected to be done by the time a response
  /// arrives. False for a step without dependencies and for a queue that does not use advice.
  bool WillBeReadySoon(const Step& aStep, TimePoint aNow) const;

private:
  /// A worker that a request may name.
  struct Candidate
  {
    Worker* worker;
    std::uint32_t slots;
    /// The worker was granted for the step before, but its ticket has expired.
    bool wasGranted;
    double score;
  };
  /// Capacity that the valid tickets of a step cover.
  struct Coverage
  {
    /// Tasks of the step that fit on workers with valid tickets.
    double slots = 0;
    std::size_t tickets = 0;
    /// A worker without a valid ticket has free capacity.
    bool hasUncoveredCapacity = false;
    /// Workers that the step was compared with.
    std::size_t checks = 0;
    /// Workers to pass over in the step's next comparison.
    std::size_t workersPassed = 0;
  };

  std::vector<Candidate> ListCandidates(const Step& aStep,
                                        TimePoint aNow,
                                        Coverage& aCoverage) const;
  /// Least number of workers that a request names.
  static std::size_t MinWorkersPerRequest(const AdvicePolicy& aPolicy);
  /// Request slots that a request to a service with this base time may use.
  std::size_t RequestSlotsFor(Duration aBaseTime, std::size_t aRequestSlots) const;
  bool HasRequestSlot(bool aIsLongWaitingService,
                      Duration aBaseTime,
                      std::size_t aRequestSlots) const;

  FleetState& state;
  Placement& placement;
  std::size_t openRequests = 0;
  /// Those of the open requests that were made for a service that had waited long.
  std::set<StepName> openServiceRequests;
  bool hasLongWaitingService = false;
  /// Comparisons of steps with workers that are left in this round.
  std::size_t workerChecksLeft = 0;
  /// Services that wait long and may be considered after that.
  std::size_t serviceScansLeft = 0;
  std::size_t stepsPassedOver = 0;
  /// Steps that found no free request slot in this round, and whether any did in the one before.
  std::size_t stepsWithoutSlot = 0;
  bool areSlotsScarce = false;
  /// Moving average of the fraction of requested workers that were granted, by queue.
  std::map<QueueName, double> grantRates;
};

} // namespace daisydrift::dispatch
