#include "Membership.h"

#include "WorkerSession.h"

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>

#include <future>

namespace daisydrift {

namespace {

constexpr std::chrono::milliseconds kRoleInterval{ 500 };
constexpr std::chrono::milliseconds kSeatRenewInterval{ 1000 };
/// A heartbeat takes 376 bytes and its reply 304 (rpc_RpcBench). With six peers and this interval
/// the heartbeats of an instance take 4.1 KB/s of the 6 KB/s allowed for control traffic, and two
/// are sent within the time for which evidence is valid (kMaxEvidenceAge, 5 s).
constexpr std::chrono::milliseconds kHeartbeatInterval{ 2000 };
constexpr std::chrono::milliseconds kHeartbeatTimeout{ 900 };
/// Limits for the transfer of a configuration from a peer: without a byte, and in all.
constexpr std::chrono::milliseconds kFetchSilence{ 2000 };
constexpr std::chrono::milliseconds kFetchTimeout{ 60'000 };
/// Interval at which a stop closes the connection of a fetch, which may be connecting.
constexpr std::chrono::milliseconds kFetchStopInterval{ 20 };
constexpr std::size_t kHeartbeatThreads = 8;
constexpr std::chrono::milliseconds kInitialClaimDelay{ 100 };
constexpr std::chrono::milliseconds kMaxClaimDelay{ 1000 };

/// Lease of the seat. One round of the role thread makes at most four store calls and must end
/// within kPublishedValidity. The lease is longer than the time in which the instances detect an
/// outage (kReachabilityWindow) and tell each other (two heartbeats), so that the seat remains
/// usable when an outage begins. In both leases a store call has a timeout of 400 ms and one
/// attempt.
LeaseOptions SeatLease()
{
  return { std::chrono::milliseconds(8000), std::chrono::milliseconds(400), 1 };
}

/// Lease of the leadership. Shorter than the seat's, so that a crashed leader is replaced well
/// within the target time for urgent work (4.5 s).
LeaseOptions LeaderLease()
{
  return { std::chrono::milliseconds(2000), std::chrono::milliseconds(400), 1 };
}

std::uint64_t SeedOf(const InstanceId& aInstance)
{
  return std::hash<InstanceId>()(aInstance);
}

TimePoint FromRep(TimePoint::rep aValue)
{
  return TimePoint(Duration(aValue));
}

TimePoint::rep ToRep(TimePoint aValue)
{
  return aValue.time_since_epoch().count();
}

} // namespace

Membership::Membership(MembershipOptions aOptions,
                       MembershipHooks aHooks,
                       Store& aStore,
                       PeerChannelPool& aChannels,
                       PeerChannelPool& aConfigChannels,
                       ConfigHolder& aConfig,
                       const Clock& aClock,
                       Metrics& aMetrics)
  : options(std::move(aOptions))
  , hooks(std::move(aHooks))
  , store(aStore)
  , channels(aChannels)
  , configChannels(aConfigChannels)
  , config(aConfig)
  , clock(aClock)
  , metrics(aMetrics)
  , seat(aStore,
         aClock,
         { 0,
           this->options.instance,
           ToString(this->options.rpc),
           this->options.failureDomain,
           this->options.region,
           0 },
         SeatLease())
  , leadership(aStore,
               aClock,
               this->options.region,
               this->options.instance,
               ToString(this->options.rpc),
               LeaderLease())
  , claimDelay(kInitialClaimDelay, kMaxClaimDelay, SeedOf(this->options.instance))
  , reachability(SeedOf(this->options.instance))
  , heartbeatPool(std::make_unique<asio::thread_pool>(kHeartbeatThreads))
  , configPool(std::make_unique<asio::thread_pool>(1))
{
}

Membership::~Membership()
{
  this->Stop(false);
}

void Membership::Start()
{
  this->roleThread = std::thread([this] { this->RunRoles(); });
  this->heartbeatThread = std::thread([this] { this->RunHeartbeats(); });
}

void Membership::BeginStop()
{
  this->isStopping = true;
  std::lock_guard lock(this->rolesMutex);
  this->renewUntil = 0;
  this->leadership.StepDown();
}

void Membership::Stop(bool aIsClean)
{
  this->isStopping = true;
  this->shouldThreadsStop = true;
  if (this->roleThread.joinable()) {
    this->roleThread.join();
  }
  if (this->heartbeatThread.joinable()) {
    this->heartbeatThread.join();
  }
  this->heartbeatPool->join();
  while (this->isFetchingConfig) {
    this->configChannels.CloseConnections();
    std::this_thread::sleep_for(kFetchStopInterval);
  }
  this->configPool->join();
  std::lock_guard lock(this->rolesMutex);
  this->seatUsableUntil = 0;
  if (aIsClean) {
    this->seat.Release();
  }
}

bool Membership::CanUseSeat() const
{
  return ToRep(this->clock.Now()) < this->seatUsableUntil;
}

bool Membership::CanRenewTaskLeases() const
{
  return ToRep(this->clock.Now()) < this->renewUntil;
}

bool Membership::HavePredecessorLeasesExpired() const
{
  TimePoint::rep stopped = this->predecessorsStoppedAt;
  return stopped != 0 && this->clock.Now() - FromRep(stopped) >= kLeaseExpiryBound;
}

void Membership::OnFenced()
{
  std::lock_guard lock(this->rolesMutex);
  this->renewUntil = 0;
  this->leadership.OnFenced();
}

void Membership::OnStoreCall(std::error_code aError, TimePoint aSentAt)
{
  std::lock_guard lock(this->reachabilityMutex);
  this->reachability.OnCall(aError, aSentAt, this->clock.Now());
}

bool Membership::IsStoreReachable() const
{
  std::lock_guard lock(this->reachabilityMutex);
  return this->reachability.IsReachable(this->clock.Now());
}

std::optional<unsigned> Membership::Seat() const
{
  int number = this->publishedSeat;
  return number < 0 ? std::nullopt : std::optional<unsigned>(number);
}

void Membership::RunRoles()
{
  while (!this->shouldThreadsStop) {
    TimePoint start = this->clock.Now();
    {
      std::lock_guard lock(this->rolesMutex);
      this->MaintainSeat(start);
      this->MaintainLeadership(this->clock.Now());
      this->Publish();
    }
    Duration spent = this->clock.Now() - start;
    if (spent < Duration(kRoleInterval)) {
      std::this_thread::sleep_for(Duration(kRoleInterval) - spent);
    }
  }
}

void Membership::MaintainSeat(TimePoint aNow)
{
  std::error_code error;
  if (this->seat.Seat() && aNow >= this->nextSeatRenewal) {
    this->nextSeatRenewal = aNow + kSeatRenewInterval;
    error = this->seat.Renew();
    this->OnStoreCall(error, aNow);
    if (error == Errc::LeaseExpired) {
      LogLine(LogLevel::Warning, "seat_lost");
    }
  }
  // If the seat's lease has expired during an outage of the store, the seat is claimed again at
  // once, so that requests continue.
  if (!this->seat.Seat()) {
    if (aNow < this->nextClaim || this->isStopping) {
      return;
    }
    error = this->seat.Claim();
    // LimitReached means that all seats are held, so the store has responded.
    this->OnStoreCall(error == Errc::LimitReached ? std::error_code() : error, aNow);
    this->nextClaim = this->clock.Now() + (error ? this->claimDelay.Next() : Duration(0));
    if (!error) {
      this->claimDelay.Reset();
      LogLine(LogLevel::Info, "seat_claimed")
        .Add("seat", *this->seat.Seat())
        .Add("epoch", this->seat.SeatEpoch())
        .Add("formers", this->seat.Predecessors().size());
    }
  }
  this->peers.SetSeats(this->seat.Table(), this->options.instance);
  std::lock_guard lock(this->supporterMutex);
  for (const SeatRecord& record : this->seat.Table()) {
    if (!error) {
      this->supporterState.OnHolderSeen(SeatRole(record.seat), record.epoch, aNow);
    }
  }
}

void Membership::MaintainLeadership(TimePoint aNow)
{
  if (this->leadership.LeaderEpoch() != 0) {
    std::error_code error = this->leadership.Renew(this->RegionPeers());
    this->OnStoreCall(error, aNow);
  } else {
    Result<RoleHolder> leader =
      ReadLeaderOf(this->store, this->options.region, LeaderLease().callTimeout);
    this->OnStoreCall(leader.Error() == Errc::NotFound ? std::error_code() : leader.Error(), aNow);
    if (leader && leader->epoch != 0) {
      KnownLeader known{ {}, leader->epoch };
      ParseEndpoint(leader->address, known.rpc);
      {
        std::lock_guard lock(this->leadersMutex);
        this->leaders[this->options.region] = known;
      }
      std::lock_guard lock(this->supporterMutex);
      this->supporterState.OnHolderSeen(LeaderRole(this->options.region), leader->epoch, aNow);
    }
    bool canCampaign = !this->isStopping && this->seat.Seat() && this->config.IsKnown();
    if (leader.Error() == Errc::NotFound && canCampaign) {
      Result<Epoch> epoch = this->leadership.Campaign(this->RegionPeers());
      if (epoch) {
        LogLine(LogLevel::Info, "elected").Add("region", this->options.region).Add("epoch", *epoch);
        this->hooks.onElected(*epoch);
      }
    }
  }
  bool isLeading = this->leadership.Status(this->clock.Now()) != LeadershipStatus::Follower;
  if (this->wasLeading && !isLeading) {
    LogLine(LogLevel::Warning, "leadership_lost").Add("region", this->options.region);
    this->hooks.onLeadershipLost();
  }
  this->wasLeading = isLeading;
}

void Membership::Publish()
{
  TimePoint now = this->clock.Now();
  bool canUseSeat = this->seat.CanUse(now);
  this->seatUsableUntil = canUseSeat ? ToRep(now + kPublishedValidity) : 0;
  std::optional<unsigned> held = this->seat.Seat();
  this->publishedSeat = held ? static_cast<int>(*held) : -1;
  this->publishedSeatEpoch = held ? this->seat.SeatEpoch() : 0;
  this->seatHeldSince = ToRep(this->seat.HeldSince());
  this->isSeatConfirmed = this->seat.StateName() == "held";
  this->LogStateChanges();
  std::optional<unsigned> usable = canUseSeat ? held : std::nullopt;
  if (usable != this->reportedSeat) {
    this->reportedSeat = usable;
    this->hooks.onSeatChanged(usable);
  }
  LeadershipStatus status = this->leadership.Status(now);
  bool canRenew = status == LeadershipStatus::Leading || status == LeadershipStatus::Continuing;
  this->renewUntil = canRenew && !this->isStopping ? ToRep(now + kPublishedValidity) : 0;
  this->publishedLeaderEpoch = this->leadership.LeaderEpoch();
  std::optional<TimePoint> stopped = this->leadership.PredecessorsStoppedAt(now);
  this->predecessorsStoppedAt = stopped ? ToRep(*stopped) : 0;
  // While every other seat supports this one during the outage, no instance can have made an edit.
  if (canUseSeat && !this->IsStoreReachable() && this->seat.Evidence().CanContinue(now)) {
    this->config.OnOutageEvidence(now - kMaxEvidenceAge);
  }
}

void Membership::LogStateChanges()
{
  bool isReachable = this->IsStoreReachable();
  std::string states =
    this->seat.StateName() + "/" + this->leadership.StateName() + (isReachable ? "/up" : "/down");
  if (states == this->loggedStates) {
    return;
  }
  this->loggedStates = states;
  LogLine(LogLevel::Info, "roles")
    .Add("seat", this->seat.StateName())
    .Add("leadership", this->leadership.StateName())
    .Add("store_reachable", isReachable);
}

std::set<InstanceId> Membership::RegionPeers() const
{
  std::set<InstanceId> instances;
  for (const PeerInfo& peer : this->peers.All()) {
    if (peer.seat.region == this->options.region && peer.seat.epoch != 0) {
      instances.insert(peer.seat.instance);
    }
  }
  return instances;
}

Heartbeat Membership::CreateHeartbeat() const
{
  Heartbeat own;
  own.instance = this->options.instance;
  int number = this->publishedSeat;
  if (number >= 0) {
    own.seat = static_cast<std::uint32_t>(number);
    own.seatEpoch = this->publishedSeatEpoch;
    own.seatHeldFor = this->clock.Now() - FromRep(this->seatHeldSince);
  }
  own.region = this->options.region;
  own.isStoreReachable = this->IsStoreReachable();
  own.isStopping = this->isStopping;
  own.configVersion = this->config.Version();
  own.highestEpoch = this->publishedLeaderEpoch;
  own.freeSlots = this->hooks.freeSlots();
  own.http = this->options.http;
  return own;
}

Heartbeat Membership::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  Heartbeat reply = this->CreateHeartbeat();
  std::lock_guard lock(this->supporterMutex);
  // Tell the sender which of its roles have a successor that this instance has seen or
  // acknowledged. The epoch sent is the lowest that the successor can have.
  if (aHeartbeat.seat &&
      !this->supporterState.Supports(SeatRole(*aHeartbeat.seat), aHeartbeat.seatEpoch)) {
    reply.successors.push_back({ SeatRole(*aHeartbeat.seat), aHeartbeat.seatEpoch + 1 });
  }
  std::string role = LeaderRole(aHeartbeat.region);
  if (aHeartbeat.highestEpoch != 0 &&
      !this->supporterState.Supports(role, aHeartbeat.highestEpoch)) {
    reply.successors.push_back({ role, aHeartbeat.highestEpoch + 1 });
  }
  return reply;
}

SuccessorAck Membership::OnSuccessor(const SuccessorNotice& aNotice)
{
  SuccessorAck ack;
  ack.seat = this->Seat();
  TimePoint heldSince = FromRep(this->seatHeldSince);
  ack.seatHeldFor = this->clock.Now() - heldSince;
  std::chrono::milliseconds ttl = std::max(SeatLease().ttl, LeaderLease().ttl);
  std::lock_guard lock(this->supporterMutex);
  ack.isAcknowledged = ack.seat && this->supporterState.Acknowledge(aNotice.scope,
                                                                    aNotice.epoch,
                                                                    aNotice.predecessorEpochs,
                                                                    heldSince,
                                                                    this->isSeatConfirmed,
                                                                    ttl);
  return ack;
}

void Membership::RunHeartbeats()
{
  while (!this->shouldThreadsStop) {
    TimePoint start = this->clock.Now();
    this->SendHeartbeats();
    this->ProbePredecessors();
    Duration spent = this->clock.Now() - start;
    if (spent < Duration(kHeartbeatInterval)) {
      std::this_thread::sleep_for(Duration(kHeartbeatInterval) - spent);
    }
  }
}

void Membership::CloseUnusedChannels(const std::vector<PeerInfo>& aPeers)
{
  std::vector<Endpoint> used;
  for (const PeerInfo& peer : aPeers) {
    used.push_back(peer.rpc);
  }
  // Predecessors are no longer in the seat table, but are probed until they have stopped.
  for (const RoleHolder& predecessor : this->PossiblyActivePredecessors()) {
    Endpoint endpoint;
    if (ParseEndpoint(predecessor.address, endpoint)) {
      used.push_back(endpoint);
    }
  }
  this->channels.Retain(used);
  this->configChannels.Retain(used);
}

void Membership::SendHeartbeats()
{
  std::vector<std::future<void>> heartbeats;
  this->CloseUnusedChannels(this->peers.All());
  for (const PeerInfo& peer : this->peers.All()) {
    auto done = std::make_shared<std::promise<void>>();
    heartbeats.push_back(done->get_future());
    asio::post(*this->heartbeatPool, [this, peer, done] {
      this->SendHeartbeatTo(peer);
      done->set_value();
    });
  }
  for (std::future<void>& heartbeat : heartbeats) {
    heartbeat.wait();
  }
}

void Membership::SendHeartbeatTo(const PeerInfo& aPeer)
{
  if (aPeer.rpc.port == 0) {
    return;
  }
  TimePoint sentAt = this->clock.Now();
  auto channel = this->channels.GetOrCreate(aPeer.rpc);
  PeerResult<HeartbeatReply> reply =
    channel->SendHeartbeat(this->CreateHeartbeat(), kHeartbeatTimeout);
  this->metrics.Count(reply ? "heartbeats_total{result=\"ok\"}"
                            : "heartbeats_total{result=\"error\"}");
  if (reply) {
    this->peers.OnReply(aPeer.seat.instance, *reply, this->clock.Now());
    this->ProcessHeartbeatReply(aPeer, *reply, sentAt);
    this->SendSuccessorNotices(aPeer);
    return;
  }
  // Other failures, such as a timeout, are no evidence: the peer may be running. What it last
  // replied counts until it is older than kMaxEvidenceAge.
  if (reply.Failure() == PeerFailure::ConnectionRefused) {
    this->peers.OnConnectionRefused(aPeer.seat.instance);
    this->RecordEvidence(aPeer.seat.instance,
                         HeartbeatResult::ConnectionRefused,
                         HeartbeatResult::ConnectionRefused,
                         sentAt);
  }
}

void Membership::RecordEvidence(const InstanceId& aPeer,
                                HeartbeatResult aForSeat,
                                HeartbeatResult aForLeader,
                                TimePoint aSentAt)
{
  std::lock_guard lock(this->rolesMutex);
  this->seat.Evidence().OnHeartbeatResult(aPeer, aForSeat, aSentAt);
  this->leadership.Evidence().OnHeartbeatResult(aPeer, aForLeader, aSentAt);
}

void Membership::ProcessHeartbeatReply(const PeerInfo& aPeer,
                                       const Heartbeat& aReply,
                                       TimePoint aSentAt)
{
  // Another process replied at this address. Its state says nothing about the instance in the seat
  // table, which no longer runs there.
  if (aReply.instance != aPeer.seat.instance) {
    this->RecordEvidence(aPeer.seat.instance,
                         HeartbeatResult::ConnectionRefused,
                         HeartbeatResult::ConnectionRefused,
                         aSentAt);
    return;
  }
  HeartbeatResult storeResult =
    aReply.isStoreReachable ? HeartbeatResult::StoreReachable : HeartbeatResult::StoreUnreachable;
  HeartbeatResult forSeat = storeResult;
  HeartbeatResult forLeader = storeResult;
  for (const KnownSuccessor& successor : aReply.successors) {
    bool isLeaderRole = successor.scope == LeaderRole(this->options.region);
    (isLeaderRole ? forLeader : forSeat) = HeartbeatResult::SuccessorKnown;
  }
  this->RecordEvidence(aPeer.seat.instance, forSeat, forLeader, aSentAt);
  if (aReply.highestEpoch != 0) {
    std::lock_guard lock(this->leadersMutex);
    KnownLeader& known = this->leaders[aReply.region];
    if (aReply.highestEpoch >= known.epoch) {
      known = { aPeer.rpc, aReply.highestEpoch };
    }
  }
  if (this->config.WantsPeerDocument(aReply.configVersion)) {
    this->FetchConfigFrom(aPeer.rpc);
  }
}

void Membership::FetchConfigFrom(const Endpoint& aEndpoint)
{
  if (this->shouldThreadsStop || this->isFetchingConfig.exchange(true)) {
    return;
  }
  asio::post(*this->configPool, [this, aEndpoint] {
    PeerResult<ConfigReply> reply =
      this->configChannels.GetOrCreate(aEndpoint)->FetchConfig(kFetchSilence, kFetchTimeout);
    if (reply) {
      this->TakeConfigOfPeer(aEndpoint, *reply);
    } else {
      LogLine(LogLevel::Warning, "config_fetch_failed")
        .Add("peer", ToString(aEndpoint))
        .Add("error", reply.Error());
    }
    this->isFetchingConfig = false;
  });
}

void Membership::TakeConfigOfPeer(const Endpoint& aEndpoint, const ConfigReply& aReply)
{
  Findings findings;
  std::optional<ConfigDocument> document = ParseConfig(aReply.bytes, "peer", findings);
  if (!document) {
    LogLine(LogLevel::Error, "configuration_unreadable")
      .Add("peer", ToString(aEndpoint))
      .Add("findings", findings.ToText());
    return;
  }
  this->config.OnPeerDocument(std::move(*document));
}

void Membership::SendSuccessorNotices(const PeerInfo& aPeer)
{
  std::vector<SuccessorNotice> notices;
  {
    std::lock_guard lock(this->rolesMutex);
    if (this->seat.Seat() && !this->seat.Predecessors().empty() &&
        this->seat.StateName() == "waiting") {
      notices.push_back(
        { SeatRole(*this->seat.Seat()), this->seat.SeatEpoch(), *this->seat.Seat(), {} });
      for (const RoleHolder& predecessor : this->seat.Predecessors()) {
        notices.back().predecessorEpochs.push_back(predecessor.epoch);
      }
    }
    bool mayPredecessorsBeActive = !this->leadership.PredecessorsStoppedAt(this->clock.Now());
    if (this->leadership.LeaderEpoch() != 0 && mayPredecessorsBeActive) {
      std::uint32_t seatNumber = this->seat.Seat().value_or(0);
      notices.push_back(
        { LeaderRole(this->options.region), this->leadership.LeaderEpoch(), seatNumber, {} });
      for (const RoleHolder& predecessor : this->leadership.Predecessors()) {
        notices.back().predecessorEpochs.push_back(predecessor.epoch);
      }
    }
  }
  for (const SuccessorNotice& notice : notices) {
    TimePoint sentAt = this->clock.Now();
    PeerResult<SuccessorAck> ack =
      this->channels.GetOrCreate(aPeer.rpc)->NotifySuccessor(notice, kHeartbeatTimeout);
    if (!ack || !ack->isAcknowledged) {
      continue;
    }
    std::lock_guard lock(this->rolesMutex);
    if (notice.scope == LeaderRole(this->options.region)) {
      this->leadership.OnAcknowledgement(aPeer.seat.instance, sentAt, this->clock.Now());
    } else {
      this->seat.OnAcknowledgement(aPeer.seat.instance, sentAt, this->clock.Now());
    }
  }
}

std::vector<RoleHolder> Membership::PossiblyActivePredecessors() const
{
  std::lock_guard lock(this->rolesMutex);
  std::vector<RoleHolder> predecessors;
  if (this->seat.StateName() == "waiting") {
    predecessors = this->seat.Predecessors();
  }
  if (this->leadership.LeaderEpoch() != 0 &&
      !this->leadership.PredecessorsStoppedAt(this->clock.Now())) {
    predecessors.insert(predecessors.end(),
                        this->leadership.Predecessors().begin(),
                        this->leadership.Predecessors().end());
  }
  return predecessors;
}

void Membership::ProbePredecessors()
{
  for (const RoleHolder& predecessor : this->PossiblyActivePredecessors()) {
    Endpoint endpoint;
    if (!ParseEndpoint(predecessor.address, endpoint)) {
      continue;
    }
    PeerResult<HeartbeatReply> reply = this->channels.GetOrCreate(endpoint)->SendHeartbeat(
      this->CreateHeartbeat(), kHeartbeatTimeout);
    bool isReplaced = reply && reply->instance != predecessor.instance;
    if (isReplaced || (!reply && reply.Failure() == PeerFailure::ConnectionRefused)) {
      std::lock_guard lock(this->rolesMutex);
      this->seat.OnPredecessorStopped(predecessor.instance, this->clock.Now());
      this->leadership.OnPredecessorStopped(predecessor.instance, this->clock.Now());
    }
  }
}

std::optional<Endpoint> Membership::LeaderOf(const std::string& aRegion)
{
  std::lock_guard lock(this->leadersMutex);
  auto found = this->leaders.find(aRegion);
  if (found == this->leaders.end() || found->second.rpc.port == 0) {
    return std::nullopt;
  }
  return found->second.rpc;
}

} // namespace daisydrift
