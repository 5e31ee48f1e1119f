#pragma once
// Upstreams of each service: their state, the slots that this instance uses on them, and ejection
// of failing ones.

#include "daisydrift/base.h"
#include "daisydrift/external.h"
#include "daisydrift/routing/RetryPolicy.h"
#include "daisydrift/routing/RoutingSettings.h"
#include "daisydrift/routing/UpstreamShare.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisydrift {

/// A slot acquired at an upstream for one attempt.
struct UpstreamSlot
{
  std::string service;
  UpstreamId upstream;
  Endpoint endpoint;
  /// The upstream was ejected, and the outcome of this attempt decides whether it is used again.
  bool isProbe = false;
};

/// What the caller of UpstreamTable::Acquire needs.
struct SlotRequest
{
  std::string service;
  /// Repeatable requests are preferred for probes, because a probe may end without a response.
  bool isRepeatable = false;
  /// Upstreams that must not be chosen, since the request was already sent to them.
  std::vector<UpstreamId> excluded;
};

/// Record of an upstream that was taken out of use because it failed.
struct Ejection
{
  std::string service;
  UpstreamId upstream;
  unsigned consecutiveFailures = 0;
  /// Time until the next probe.
  Duration duration{ 0 };
};

/// Counts of a service's upstreams and slots, for metrics and operators.
struct UpstreamCounts
{
  unsigned live = 0;
  /// Upstreams that get no new requests: leaving, or missing from the list with slots in use.
  unsigned leaving = 0;
  /// Live upstreams that are ejected, or whose probe is in flight.
  unsigned ejected = 0;
  /// Slots of this instance's share at the live upstreams.
  unsigned slots = 0;
  /// Slots in use or held, at all upstreams.
  unsigned slotsInUse = 0;
};

/// Keeps the state of all upstreams and assigns their slots. Not thread-safe; the time is passed
/// in.
class UpstreamTable
{
public:
  explicit UpstreamTable(const RoutingSettings& aSettings);

  /// Replaces the list of upstreams by the directory's complete list; instances of other kinds are
  /// ignored. An upstream missing from the list gets no new requests, but its slots stay counted
  /// until they are released.
  void Update(const std::vector<InstanceInfo>& aList);
  /// Sets the seat whose share is used; without a seat no slot is assigned.
  void SetSeat(std::optional<unsigned> aSeat);
  /// Sets the limits of each upstream of a service.
  void SetLimits(const std::string& aService, const UpstreamLimits& aLimits);

  std::optional<unsigned> Seat() const { return this->seat; }
  /// True when the service has an upstream in the table, live or not.
  bool IsKnown(const std::string& aService) const;
  /// True when the service has an upstream in the state InstanceState::Live.
  bool HasLiveUpstream(const std::string& aService) const;
  /// Acquires a slot at the least loaded suitable upstream; none when no slot is free.
  std::optional<UpstreamSlot> Acquire(const SlotRequest& aRequest, TimePoint aNow);
  /// True when Acquire() would succeed for a request that was not sent to any upstream yet.
  bool HasFreeSlot(const std::string& aService, bool aIsRepeatable, TimePoint aNow);
  /// Releases a slot after an attempt. aSentAt is the time just before the send.
  void Release(const UpstreamSlot& aSlot, SendOutcome aOutcome, TimePoint aSentAt, TimePoint aNow);
  /// Releases a slot that was not used for a send.
  void ReleaseUnused(const UpstreamSlot& aSlot);

  /// Slots in use or held, over all services.
  unsigned SlotsInUse(TimePoint aNow);
  /// Next time after aNow at which a held slot becomes free or a probe becomes possible; none when
  /// neither is pending.
  std::optional<TimePoint> NextAvailabilityChange(const std::string& aService,
                                                  TimePoint aNow) const;
  UpstreamCounts Counts(const std::string& aService, TimePoint aNow);
  /// Number of ejections since the start.
  std::uint64_t Ejections() const { return this->ejections; }
  /// Ejections since the last call, in order.
  std::vector<Ejection> TakeEjections();
  /// Names of all services that ever had an upstream.
  std::vector<std::string> Services() const;

private:
  enum class Health : std::uint8_t
  {
    Healthy,
    Ejected,
    /// The ejection time is over and one probe is in flight.
    Probing
  };
  /// Fields read for every upstream in each selection.
  struct UpstreamState
  {
    TimePoint ejectedUntil{};
    std::uint32_t slotShare = 0;
    std::uint32_t usedSlots = 0;
    std::uint32_t consecutiveFailures = 0;
    Health health = Health::Healthy;
    bool isLive = false;
    bool isOwnDomain = false;
  };
  /// Fields read only for the selected upstream.
  struct UpstreamDetail
  {
    InstanceInfo info;
    std::uint64_t idHash = 0;
    unsigned ejections = 0;
    TimePoint lastEjection{};
  };
  struct Service
  {
    UpstreamLimits limits;
    std::vector<UpstreamState> states;
    std::vector<UpstreamDetail> details;
    std::unordered_map<UpstreamId, std::size_t> positions;
    /// Slots held for requests without a response, by the time at which they become free.
    std::multimap<TimePoint, UpstreamId> heldSlots;
    /// Index at which the next selection starts, so that equally loaded upstreams are used in turn.
    std::size_t rotation = 0;
  };

  Service& GetOrCreateService(const std::string& aName);
  void AddOrUpdate(Service& aService, const InstanceInfo& aInfo);
  void RemoveUnlisted(Service& aService, const std::unordered_map<UpstreamId, bool>& aListed);
  void RefreshShares(Service& aService);
  static void ReleaseExpiredHolds(Service& aService, TimePoint aNow);
  std::optional<std::size_t> SelectUpstream(const Service& aService,
                                            const SlotRequest& aRequest,
                                            TimePoint aNow) const;
  std::uint64_t Rank(const UpstreamState& aState, bool aIsRepeatable, TimePoint aNow) const;
  /// Makes ejected upstreams available again when more than half of the live ones are ejected
  /// because others left.
  static void EnforceEjectionLimit(Service& aService);
  void OnFailure(Service& aService, std::size_t aPosition, bool aIsProbe, TimePoint aNow);
  void OnSuccess(Service& aService, std::size_t aPosition, bool aIsProbe, TimePoint aNow);
  bool CanEjectAnother(const Service& aService) const;

  RoutingSettings settings;
  UpstreamShare share;
  std::optional<unsigned> seat;
  std::map<std::string, UpstreamLimits> limits;
  std::map<std::string, Service> services;
  std::uint64_t ejections = 0;
  std::vector<Ejection> newEjections;
};

} // namespace daisydrift
