#pragma once
// Upstreams of each service, the slots this instance uses on them, and ejection of failing ones.

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

/// A slot taken at an upstream for one try.
struct UpstreamSlot
{
  std::string service;
  UpstreamId upstream;
  Endpoint endpoint;
  /// The try decides whether an ejected upstream returns.
  bool isProbe = false;
};

/// What a try may be given.
struct SlotRequest
{
  std::string service;
  /// Probes go to repeatable requests first, because they may end without an answer.
  bool isRepeatable = false;
  /// Upstreams that this request has already tried.
  std::vector<UpstreamId> excluded;
};

/// An upstream was taken out of use because it failed.
struct Ejection
{
  std::string service;
  UpstreamId upstream;
  /// Failures in a row.
  unsigned consecutiveFailures = 0;
  /// Time until the next probe.
  Duration duration{ 0 };
};

/// Numbers of a service's upstreams, for metrics and operators.
struct UpstreamCounts
{
  unsigned live = 0;
  unsigned leaving = 0;
  unsigned ejected = 0;
  unsigned slots = 0;
  unsigned slotsInUse = 0;
};

/// Not thread-safe; the time is passed in.
class UpstreamTable
{
public:
  explicit UpstreamTable(const RoutingSettings& aSettings);

  /// Takes over the directory's whole list; entries of other kinds are ignored. An upstream that is
  /// missing gets nothing new, but its slots stay counted until they are given back.
  void Update(const std::vector<InstanceInfo>& aList);
  /// Sets the seat whose share is used; without a seat no slot is given out.
  void SetSeat(std::optional<unsigned> aSeat);
  /// Sets the limits of the upstreams of one service.
  void SetLimits(const std::string& aService, const UpstreamLimits& aLimits);

  std::optional<unsigned> Seat() const { return this->seat; }
  /// True when the service has at least one upstream in the list.
  bool IsKnown(const std::string& aService) const;
  /// True when the service has a live upstream.
  bool HasLiveUpstream(const std::string& aService) const;
  /// Takes a slot at the least loaded suitable upstream; none when there is no free slot.
  std::optional<UpstreamSlot> Acquire(const SlotRequest& aRequest, TimePoint aNow);
  /// True when Acquire would succeed for a request that has tried no upstream yet.
  bool HasFreeSlot(const std::string& aService, bool aIsRepeatable, TimePoint aNow);
  /// Gives a slot back after a try. aSentAt is the time just before the send.
  void Release(const UpstreamSlot& aSlot, SendOutcome aOutcome, TimePoint aSentAt, TimePoint aNow);
  /// Gives back a slot that was never used for a send.
  void ReleaseUnused(const UpstreamSlot& aSlot);

  /// Slots in use or held over all services.
  unsigned SlotsInUse(TimePoint aNow);
  /// Next time after aNow at which a held slot becomes free or a probe becomes possible; none when
  /// nothing is pending.
  std::optional<TimePoint> NextAvailabilityChange(const std::string& aService,
                                                  TimePoint aNow) const;
  UpstreamCounts Counts(const std::string& aService, TimePoint aNow);
  /// Ejections since the start.
  std::uint64_t Ejections() const { return this->ejections; }
  /// Ejections since the last call, in order.
  std::vector<Ejection> TakeEjections();
  /// Names of all known services.
  std::vector<std::string> Services() const;

private:
  enum class Health : std::uint8_t
  {
    Healthy,
    Ejected,
    /// Ejection is over; one probe is on its way.
    Probing
  };
  /// Fields read for every upstream at each decision.
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
  /// Fields read only for the chosen upstream.
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
    /// Slots held for unanswered requests, by the time they become free.
    std::multimap<TimePoint, UpstreamId> heldSlots;
    /// Where the next search starts, so that equally loaded upstreams take turns.
    std::size_t rotation = 0;
  };

  Service& ServiceOf(const std::string& aName);
  void AddOrUpdate(Service& aService, const InstanceInfo& aInfo);
  void RemoveUnlisted(Service& aService, const std::unordered_map<UpstreamId, bool>& aListed);
  void RefreshShares(Service& aService);
  static void ReleaseExpiredHolds(Service& aService, TimePoint aNow);
  std::optional<std::size_t> SelectUpstream(const Service& aService,
                                            const SlotRequest& aRequest,
                                            TimePoint aNow) const;
  std::uint64_t Rank(const UpstreamState& aState, bool aIsRepeatable, TimePoint aNow) const;
  /// Returns ejected upstreams when others have left and more than half would be ejected.
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
