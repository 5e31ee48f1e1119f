#pragma once
// Holds this instance's seat, which gives it a share of the upstream slots, campaigns for the
// leadership of its region, and exchanges heartbeats with the other instances.

#include "ConfigHolder.h"
#include "PeerTable.h"

#include "daisydrift/external.h"
#include "daisydrift/membership.h"
#include "daisydrift/rpc.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace asio {
class thread_pool;
}

namespace daisydrift {

/// Time for which a published check of the seat or the leadership is valid. A successor waits for
/// kMaxEvidenceAge and kClockMargin after the acknowledgements, so this must not be longer than
/// kClockMargin.
constexpr std::chrono::seconds kPublishedValidity{ 2 };
static_assert(kPublishedValidity <= kClockMargin);

/// Functions of the daemon that the membership calls, from its own threads and from threads that
/// call its methods.
struct MembershipHooks
{
  /// The seat that can be used has changed; nothing means that there is none.
  std::function<void(std::optional<unsigned>)> onSeatChanged;
  /// This instance was elected leader of its region with this epoch.
  std::function<void(Epoch)> onElected;
  /// The leadership was lost.
  std::function<void()> onLeadershipLost;
  /// Returns the free upstream slots by service, for heartbeats.
  std::function<std::vector<FreeSlots>()> freeSlots;
};

/// Settings of a Membership.
struct MembershipOptions
{
  InstanceId instance;
  std::string region;
  FailureDomain failureDomain;
  Endpoint rpc;
  Endpoint http;
};

/// Manages the roles of one instance, which are its seat and the leadership of its region, and its
/// heartbeats. Thread-safe.
class Membership
{
public:
  Membership(MembershipOptions aOptions,
             MembershipHooks aHooks,
             Store& aStore,
             PeerChannelPool& aChannels,
             PeerChannelPool& aConfigChannels,
             ConfigHolder& aConfig,
             const Clock& aClock,
             Metrics& aMetrics);
  ~Membership();

  void Start();
  /// Steps down from the leadership and stops campaigning. The seat is kept.
  void BeginStop();
  /// Stops the threads. Releases the seat when aIsClean, which means that no request of this
  /// instance can still be running at an upstream.
  void Stop(bool aIsClean);

  /// Returns true when requests may be sent to upstreams now. Must be called before each send; does
  /// not block.
  bool CanUseSeat() const;
  /// Returns true when the leader may renew task leases now. Does not block.
  bool CanRenewTaskLeases() const;
  /// Returns true when all earlier leaders of the region stopped at least kLeaseExpiryBound ago, so
  /// that no task lease renewed by one of them can still be valid.
  bool HavePredecessorLeasesExpired() const;
  /// The journal or a worker has shown that another leader has taken over.
  void OnFenced();
  /// Records the result of a store call that was sent at aSentAt.
  void OnStoreCall(std::error_code aError, TimePoint aSentAt);

  /// Handles a heartbeat of another instance and returns the reply.
  Heartbeat OnHeartbeat(const Heartbeat& aHeartbeat);
  /// Handles the notice of another instance that it has taken over a role.
  SuccessorAck OnSuccessor(const SuccessorNotice& aNotice);
  /// Returns the RPC endpoint of the last known leader of a region, from the store and heartbeats.
  std::optional<Endpoint> LeaderOf(const std::string& aRegion);
  /// Returns the seat that is held, whether or not it can be used now.
  std::optional<unsigned> Seat() const;
  const PeerTable& Peers() const { return this->peers; }
  bool IsStoreReachable() const;
  bool IsStopping() const { return this->isStopping; }

private:
  struct KnownLeader
  {
    Endpoint rpc;
    Epoch epoch = 0;
  };

  void RunRoles();
  void RunHeartbeats();
  void MaintainSeat(TimePoint aNow);
  void MaintainLeadership(TimePoint aNow);
  /// Publishes the state of the roles for readers that must not block, and reports a change of the
  /// seat.
  void Publish();
  /// Logs the states of the roles if they have changed.
  void LogStateChanges();
  void SendHeartbeats();
  void SendHeartbeatTo(const PeerInfo& aPeer);
  /// Adds the result of a heartbeat sent at aSentAt to the outage evidence of both roles, which
  /// shows that the store failed rather than this instance's connection to it (OutageEvidence).
  void RecordEvidence(const InstanceId& aPeer,
                      HeartbeatResult aForSeat,
                      HeartbeatResult aForLeader,
                      TimePoint aSentAt);
  void ProcessHeartbeatReply(const PeerInfo& aPeer, const Heartbeat& aReply, TimePoint aSentAt);
  /// Fetches the configuration from a peer on a thread of its own, unless a fetch is running:
  /// several copies at once would only share the link.
  void FetchConfigFrom(const Endpoint& aEndpoint);
  void TakeConfigOfPeer(const Endpoint& aEndpoint, const ConfigReply& aReply);
  void SendSuccessorNotices(const PeerInfo& aPeer);
  void ProbePredecessors();
  /// Returns the earlier holders of this instance's roles that are not known to have stopped.
  std::vector<RoleHolder> PossiblyActivePredecessors() const;
  /// Closes the channels to instances that are neither peers nor possibly active predecessors.
  void CloseUnusedChannels(const std::vector<PeerInfo>& aPeers);
  /// Returns the peers that hold a seat and belong to this instance's region.
  std::set<InstanceId> RegionPeers() const;
  Heartbeat CreateHeartbeat() const;

  MembershipOptions options;
  MembershipHooks hooks;
  Store& store;
  PeerChannelPool& channels;
  /// Connections for the configuration only, so that heartbeats don't wait behind it.
  PeerChannelPool& configChannels;
  ConfigHolder& config;
  const Clock& clock;
  Metrics& metrics;
  PeerTable peers;

  /// Guards the seat and the leadership. Held during their store calls.
  mutable std::mutex rolesMutex;
  SeatHolder seat;
  Leadership leadership;
  RetryDelay claimDelay;
  TimePoint nextClaim{};
  TimePoint nextSeatRenewal{};
  /// Seat that was passed to onSeatChanged last.
  std::optional<unsigned> reportedSeat;
  bool wasLeading = false;
  std::string loggedStates;
  /// Guards supporterState, which is accessed by RPC threads that must not wait for store calls.
  mutable std::mutex supporterMutex;
  SupporterState supporterState;
  mutable std::mutex reachabilityMutex;
  StoreReachability reachability;
  mutable std::mutex leadersMutex;
  std::map<std::string, KnownLeader> leaders;

  // Published by the role thread for readers that must not block. The times are ticks of TimePoint.
  std::atomic<TimePoint::rep> seatUsableUntil{ 0 };
  std::atomic<TimePoint::rep> renewUntil{ 0 };
  std::atomic<TimePoint::rep> predecessorsStoppedAt{ 0 };
  std::atomic<int> publishedSeat{ -1 };
  std::atomic<Epoch> publishedSeatEpoch{ 0 };
  std::atomic<TimePoint::rep> seatHeldSince{ 0 };
  std::atomic<bool> isSeatConfirmed{ false };
  /// Epoch of this instance's leadership; 0 when it does not lead.
  std::atomic<Epoch> publishedLeaderEpoch{ 0 };

  /// Set by BeginStop: no campaigns and no claims of a seat any more.
  std::atomic<bool> isStopping{ false };
  std::atomic<bool> shouldThreadsStop{ false };
  std::unique_ptr<asio::thread_pool> heartbeatPool;
  std::atomic<bool> isFetchingConfig{ false };
  std::unique_ptr<asio::thread_pool> configPool;
  std::thread roleThread;
  std::thread heartbeatThread;
};

} // namespace daisydrift
