#pragma once
// The threads that hold the seat and campaign for the leadership, and exchange heartbeats with the
// other instances.

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

/// Time for which a check of the seat or the leadership is relied on. A successor waits for
/// kMaxEvidenceAge and kClockMargin after the acknowledgements, so this must not be longer than
/// kClockMargin.
constexpr std::chrono::seconds kPublishedValidity{ 2 };
static_assert(kPublishedValidity <= kClockMargin);

/// What the membership needs from the daemon. Hooks are called from the membership's threads.
struct MembershipHooks
{
  /// The seat in use changed; nothing: no seat.
  std::function<void(std::optional<unsigned>)> onSeat;
  /// This instance was elected with an epoch.
  std::function<void(Epoch)> onElected;
  /// The leadership was lost.
  std::function<void()> onLost;
  /// Free upstream slots, for heartbeats.
  std::function<std::vector<FreeSlots>()> freeSlots;
};

/// Settings of the membership.
struct MembershipOptions
{
  InstanceId instance;
  std::string region;
  FailureDomain failureDomain;
  Endpoint rpc;
  Endpoint http;
};

/// Seat, leadership and heartbeats of one instance. Thread-safe.
class Membership
{
public:
  Membership(MembershipOptions aOptions,
             MembershipHooks aHooks,
             Store& aStore,
             PeerChannels& aChannels,
             ConfigHolder& aConfig,
             const Clock& aClock,
             Metrics& aMetrics);
  ~Membership();

  void Start();
  /// Steps down from the leadership and campaigns no more; the seat is kept.
  void BeginStop();
  /// Ends the threads and, when aIsClean, releases the seat: no request of this instance can still
  /// run at an upstream.
  void Stop(bool aIsClean);

  /// May an upstream request be sent now. Asked before each send; cheap.
  bool MayUseSeat() const;
  /// May the leader renew task leases now. Cheap.
  bool MayRenew() const;
  /// Is it proved that no earlier leader has renewed task leases since kLapseProofTime.
  bool IsSuccessionSettled() const;
  /// Another leader was seen by the journal or a worker.
  void OnFenced();
  /// The outcome of a store call made elsewhere, sent at aSentAt.
  void OnStoreCall(std::error_code aError, TimePoint aSentAt);

  /// Answers a heartbeat.
  Heartbeat OnHeartbeat(const Heartbeat& aHeartbeat);
  /// Answers a notice of a successor.
  SuccessorAck OnSuccessor(const SuccessorNotice& aNotice);
  /// Where the leader of a region answers, as the store showed it last.
  std::optional<Endpoint> LeaderOf(const std::string& aRegion);
  /// The seat held, usable or not.
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
  void Publish();
  /// Logs the states of the roles when they have changed.
  void LogStates();
  void BeatAll();
  void Beat(const PeerInfo& aPeer);
  /// Gives what a heartbeat sent at aSentAt showed about a peer to the evidence of both roles.
  void NoteEvidence(const InstanceId& aPeer,
                    HeartbeatResult aForSeat,
                    HeartbeatResult aForLeader,
                    TimePoint aSentAt);
  void TakeAnswer(const PeerInfo& aPeer, const Heartbeat& aAnswer, TimePoint aSentAt);
  void FetchConfigFrom(const Endpoint& aEndpoint);
  void NotifySuccession(const PeerInfo& aPeer);
  void ProbeFormers();
  /// Earlier holders of this instance's roles that are not known to have stopped.
  std::vector<RoleHolder> UnprovedFormers() const;
  /// Closes channels to instances that have been replaced.
  void DropOldChannels(const std::vector<PeerInfo>& aPeers);
  std::set<InstanceId> RegionPeers() const;
  Heartbeat OwnState() const;

  MembershipOptions options;
  MembershipHooks hooks;
  Store& store;
  PeerChannels& channels;
  ConfigHolder& config;
  const Clock& clock;
  Metrics& metrics;
  PeerTable peers;

  /// Guards the roles and the ledger. Held during the store calls of the roles.
  mutable std::mutex rolesMutex;
  SeatHolder seat;
  Leadership leadership;
  RetryDelay claimDelay;
  TimePoint nextClaim{};
  TimePoint nextSeatRenewal{};
  std::optional<unsigned> announcedSeat;
  bool wasLeading = false;
  std::string loggedStates;
  /// Guards the ledger, which is read by RPC threads that must not wait for store calls.
  mutable std::mutex ledgerMutex;
  SupporterState ledger;
  mutable std::mutex reachabilityMutex;
  StoreReachability reachability;
  mutable std::mutex leadersMutex;
  std::map<std::string, KnownLeader> leaders;

  // Published by the role thread for readers that must not wait.
  std::atomic<TimePoint::rep> seatUsableUntil{ 0 };
  std::atomic<TimePoint::rep> renewUntil{ 0 };
  std::atomic<TimePoint::rep> formersStoppedAt{ 0 };
  std::atomic<int> publishedSeat{ -1 };
  std::atomic<Epoch> publishedSeatEpoch{ 0 };
  std::atomic<TimePoint::rep> seatHeldSince{ 0 };
  std::atomic<bool> isSeatConfirmed{ false };
  std::atomic<Epoch> publishedEpoch{ 0 };

  std::atomic<bool> isStopping{ false };
  std::atomic<bool> isEnding{ false };
  std::unique_ptr<asio::thread_pool> beatPool;
  std::thread roleThread;
  std::thread beatThread;
};

} // namespace daisydrift
