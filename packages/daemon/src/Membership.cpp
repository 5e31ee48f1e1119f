#include "Membership.h"

#include "WorkerSession.h"

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>

#include <future>

namespace daisydrift {

namespace {

constexpr std::chrono::milliseconds kRoleInterval{ 500 };
constexpr std::chrono::milliseconds kSeatRenewInterval{ 1000 };
/// A heartbeat takes 376 bytes out and 304 back (rpc_RpcBench). With six peers this interval keeps
/// the heartbeats of an instance at 4.1 KB/s of the 6 KB/s allowed for control, and gives two in
/// the time that evidence lasts (5 s).
constexpr std::chrono::milliseconds kHeartbeatInterval{ 2000 };
constexpr std::chrono::milliseconds kHeartbeatTimeout{ 900 };
constexpr std::chrono::milliseconds kFetchTimeout{ 2000 };
constexpr std::size_t kHeartbeatThreads = 8;
constexpr std::chrono::milliseconds kFirstClaimDelay{ 100 };
constexpr std::chrono::milliseconds kLongestClaimDelay{ 1000 };

/// One round of the role thread makes at most four calls and must end within kPublishedValidity.
/// The lease is longer than the time in which instances notice an outage (kReachabilityWindow) and
/// tell each other (two heartbeats), so that a seat stays usable when an outage begins.
LeaseOptions SeatLease()
{
  return { std::chrono::milliseconds(8000), std::chrono::milliseconds(400), 1 };
}

/// Shorter than the seat's, so that a dead leader is replaced well within the target for urgent
/// work (4.5 s).
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
                       PeerChannels& aChannels,
                       ConfigHolder& aConfig,
                       const Clock& aClock,
                       Metrics& aMetrics)
  : options(std::move(aOptions))
  , hooks(std::move(aHooks))
  , store(aStore)
  , channels(aChannels)
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
  , claimDelay(kFirstClaimDelay, kLongestClaimDelay, SeedOf(this->options.instance))
  , reachability(SeedOf(this->options.instance))
  , beatPool(std::make_unique<asio::thread_pool>(kHeartbeatThreads))
{
}

Membership::~Membership()
{
  this->Stop(false);
}

void Membership::Start()
{
  this->roleThread = std::thread([this] { this->RunRoles(); });
  this->beatThread = std::thread([this] { this->RunHeartbeats(); });
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
  this->isEnding = true;
  if (this->roleThread.joinable()) {
    this->roleThread.join();
  }
  if (this->beatThread.joinable()) {
    this->beatThread.join();
  }
  this->beatPool->join();
  std::lock_guard lock(this->rolesMutex);
  this->seatUsableUntil = 0;
  if (aIsClean) {
    this->seat.Release();
  }
}

bool Membership::MayUseSeat() const
{
  return ToRep(this->clock.Now()) < this->seatUsableUntil;
}

bool Membership::MayRenew() const
{
  return ToRep(this->clock.Now()) < this->renewUntil;
}

bool Membership::IsSuccessionSettled() const
{
  TimePoint::rep stopped = this->formersStoppedAt;
  return stopped != 0 && this->clock.Now() - FromRep(stopped) >= kLapseProofTime;
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
  while (!this->isEnding) {
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
  // A seat whose lease ended during an outage of the store is claimed again at once, so that
  // requests go on.
  if (!this->seat.Seat()) {
    if (aNow < this->nextClaim || this->isStopping) {
      return;
    }
    error = this->seat.Claim();
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
  std::lock_guard lock(this->ledgerMutex);
  for (const SeatRecord& record : this->seat.Table()) {
    if (!error) {
      this->ledger.OnHolderSeen(SeatRole(record.seat), record.epoch, aNow);
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
      std::lock_guard lock(this->ledgerMutex);
      this->ledger.OnHolderSeen(LeaderRole(this->options.region), leader->epoch, aNow);
    }
    bool mayCampaign = !this->isStopping && this->seat.Seat() && this->config.IsKnown();
    if (leader.Error() == Errc::NotFound && mayCampaign) {
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
    this->hooks.onLost();
  }
  this->wasLeading = isLeading;
}

void Membership::Publish()
{
  TimePoint now = this->clock.Now();
  bool mayAct = this->seat.CanUse(now);
  this->seatUsableUntil = mayAct ? ToRep(now + kPublishedValidity) : 0;
  std::optional<unsigned> held = this->seat.Seat();
  this->publishedSeat = held ? static_cast<int>(*held) : -1;
  this->publishedSeatEpoch = held ? this->seat.SeatEpoch() : 0;
  this->seatHeldSince = ToRep(this->seat.HeldSince());
  this->isSeatConfirmed = this->seat.StateName() == "held";
  this->LogStates();
  std::optional<unsigned> usable = mayAct ? held : std::nullopt;
  if (usable != this->announcedSeat) {
    this->announcedSeat = usable;
    this->hooks.onSeat(usable);
  }
  LeadershipStatus status = this->leadership.Status(now);
  bool mayRenew = status == LeadershipStatus::Leading || status == LeadershipStatus::Continuing;
  this->renewUntil = mayRenew && !this->isStopping ? ToRep(now + kPublishedValidity) : 0;
  this->publishedEpoch = this->leadership.LeaderEpoch();
  std::optional<TimePoint> stopped = this->leadership.PredecessorsStoppedAt(now);
  this->formersStoppedAt = stopped ? ToRep(*stopped) : 0;
  // While every other seat supports this one, no edit can have been made by anybody.
  if (mayAct && !this->IsStoreReachable() && this->seat.Evidence().CanContinue(now)) {
    this->config.OnOutageEvidence(now - kMaxEvidenceAge);
  }
}

void Membership::LogStates()
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

Heartbeat Membership::OwnState() const
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
  own.highestEpoch = this->publishedEpoch;
  own.freeSlots = this->hooks.freeSlots();
  own.http = this->options.http;
  return own;
}

Heartbeat Membership::OnHeartbeat(const Heartbeat& aHeartbeat)
{
  Heartbeat answer = this->OwnState();
  std::lock_guard lock(this->ledgerMutex);
  // Tells the sender which of its roles has a successor that this instance knows or has
  // acknowledged.
  if (aHeartbeat.seat && !this->ledger.Supports(SeatRole(*aHeartbeat.seat), aHeartbeat.seatEpoch)) {
    answer.successors.push_back({ SeatRole(*aHeartbeat.seat), aHeartbeat.seatEpoch + 1 });
  }
  std::string role = LeaderRole(aHeartbeat.region);
  if (aHeartbeat.highestEpoch != 0 && !this->ledger.Supports(role, aHeartbeat.highestEpoch)) {
    answer.successors.push_back({ role, aHeartbeat.highestEpoch + 1 });
  }
  return answer;
}

SuccessorAck Membership::OnSuccessor(const SuccessorNotice& aNotice)
{
  SuccessorAck ack;
  ack.seat = this->Seat();
  TimePoint heldSince = FromRep(this->seatHeldSince);
  ack.seatHeldFor = this->clock.Now() - heldSince;
  std::chrono::milliseconds ttl = std::max(SeatLease().ttl, LeaderLease().ttl);
  std::lock_guard lock(this->ledgerMutex);
  ack.isAcknowledged =
    ack.seat &&
    this->ledger.Acknowledge(
      aNotice.scope, aNotice.epoch, aNotice.formers, heldSince, this->isSeatConfirmed, ttl);
  return ack;
}

void Membership::RunHeartbeats()
{
  while (!this->isEnding) {
    TimePoint start = this->clock.Now();
    this->BeatAll();
    this->ProbeFormers();
    Duration spent = this->clock.Now() - start;
    if (spent < Duration(kHeartbeatInterval)) {
      std::this_thread::sleep_for(Duration(kHeartbeatInterval) - spent);
    }
  }
}

void Membership::DropOldChannels(const std::vector<PeerInfo>& aPeers)
{
  std::vector<Endpoint> used;
  for (const PeerInfo& peer : aPeers) {
    used.push_back(peer.rpc);
  }
  // Former holders are not in the seat table any more, but are asked whether they have stopped.
  for (const RoleHolder& former : this->UnprovedFormers()) {
    Endpoint endpoint;
    if (ParseEndpoint(former.address, endpoint)) {
      used.push_back(endpoint);
    }
  }
  this->channels.Retain(used);
}

void Membership::BeatAll()
{
  std::vector<std::future<void>> beats;
  this->DropOldChannels(this->peers.All());
  for (const PeerInfo& peer : this->peers.All()) {
    auto done = std::make_shared<std::promise<void>>();
    beats.push_back(done->get_future());
    asio::post(*this->beatPool, [this, peer, done] {
      this->Beat(peer);
      done->set_value();
    });
  }
  for (std::future<void>& beat : beats) {
    beat.wait();
  }
}

void Membership::Beat(const PeerInfo& aPeer)
{
  if (aPeer.rpc.port == 0) {
    return;
  }
  TimePoint sentAt = this->clock.Now();
  auto channel = this->channels.At(aPeer.rpc);
  PeerResult<HeartbeatReply> reply = channel->SendHeartbeat(this->OwnState(), kHeartbeatTimeout);
  this->metrics.Count(reply ? "heartbeats_total{result=\"ok\"}"
                            : "heartbeats_total{result=\"error\"}");
  if (reply) {
    this->peers.OnAnswer(aPeer.seat.instance, *reply, this->clock.Now());
    this->TakeAnswer(aPeer, *reply, sentAt);
    this->NotifySuccession(aPeer);
    return;
  }
  if (reply.Failure() == PeerFailure::Refused) {
    this->peers.OnRefused(aPeer.seat.instance);
    this->NoteEvidence(aPeer.seat.instance,
                       HeartbeatResult::ConnectionRefused,
                       HeartbeatResult::ConnectionRefused,
                       sentAt);
  }
}

void Membership::NoteEvidence(const InstanceId& aPeer,
                              HeartbeatResult aForSeat,
                              HeartbeatResult aForLeader,
                              TimePoint aSentAt)
{
  std::lock_guard lock(this->rolesMutex);
  this->seat.Evidence().OnHeartbeatResult(aPeer, aForSeat, aSentAt);
  this->leadership.Evidence().OnHeartbeatResult(aPeer, aForLeader, aSentAt);
}

void Membership::TakeAnswer(const PeerInfo& aPeer, const Heartbeat& aAnswer, TimePoint aSentAt)
{
  // An answer of another process at the same address says nothing about the instance in the table.
  if (aAnswer.instance != aPeer.seat.instance) {
    this->NoteEvidence(aPeer.seat.instance,
                       HeartbeatResult::ConnectionRefused,
                       HeartbeatResult::ConnectionRefused,
                       aSentAt);
    return;
  }
  HeartbeatResult plain =
    aAnswer.isStoreReachable ? HeartbeatResult::StoreReachable : HeartbeatResult::StoreUnreachable;
  HeartbeatResult forSeat = plain;
  HeartbeatResult forLeader = plain;
  for (const KnownSuccessor& successor : aAnswer.successors) {
    bool isLeaderRole = successor.scope == LeaderRole(this->options.region);
    (isLeaderRole ? forLeader : forSeat) = HeartbeatResult::SuccessorKnown;
  }
  this->NoteEvidence(aPeer.seat.instance, forSeat, forLeader, aSentAt);
  if (aAnswer.highestEpoch != 0) {
    std::lock_guard lock(this->leadersMutex);
    KnownLeader& known = this->leaders[aAnswer.region];
    if (aAnswer.highestEpoch >= known.epoch) {
      known = { aPeer.rpc, aAnswer.highestEpoch };
    }
  }
  if (aAnswer.configVersion > this->config.Version()) {
    this->FetchConfigFrom(aPeer.rpc);
  }
}

void Membership::FetchConfigFrom(const Endpoint& aEndpoint)
{
  PeerResult<ConfigReply> reply = this->channels.At(aEndpoint)->FetchConfig(kFetchTimeout);
  if (!reply) {
    return;
  }
  Findings findings;
  std::optional<ConfigDocument> document = ParseConfig(reply->bytes, "peer", findings);
  if (document) {
    this->config.OnPeerDocument(std::move(*document));
  }
}

void Membership::NotifySuccession(const PeerInfo& aPeer)
{
  std::vector<SuccessorNotice> notices;
  {
    std::lock_guard lock(this->rolesMutex);
    if (this->seat.Seat() && !this->seat.Predecessors().empty() &&
        this->seat.StateName() == "waiting") {
      notices.push_back(
        { SeatRole(*this->seat.Seat()), this->seat.SeatEpoch(), *this->seat.Seat(), {} });
      for (const RoleHolder& former : this->seat.Predecessors()) {
        notices.back().formers.push_back(former.epoch);
      }
    }
    bool isUnsettled = !this->leadership.PredecessorsStoppedAt(this->clock.Now());
    if (this->leadership.LeaderEpoch() != 0 && isUnsettled) {
      std::uint32_t seatNumber = this->seat.Seat().value_or(0);
      notices.push_back(
        { LeaderRole(this->options.region), this->leadership.LeaderEpoch(), seatNumber, {} });
      for (const RoleHolder& former : this->leadership.Predecessors()) {
        notices.back().formers.push_back(former.epoch);
      }
    }
  }
  for (const SuccessorNotice& notice : notices) {
    TimePoint sentAt = this->clock.Now();
    PeerResult<SuccessorAck> ack =
      this->channels.At(aPeer.rpc)->NotifySuccessor(notice, kHeartbeatTimeout);
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

std::vector<RoleHolder> Membership::UnprovedFormers() const
{
  std::lock_guard lock(this->rolesMutex);
  std::vector<RoleHolder> formers;
  if (this->seat.StateName() == "waiting") {
    formers = this->seat.Predecessors();
  }
  if (this->leadership.LeaderEpoch() != 0 &&
      !this->leadership.PredecessorsStoppedAt(this->clock.Now())) {
    formers.insert(formers.end(),
                   this->leadership.Predecessors().begin(),
                   this->leadership.Predecessors().end());
  }
  return formers;
}

void Membership::ProbeFormers()
{
  for (const RoleHolder& former : this->UnprovedFormers()) {
    Endpoint endpoint;
    if (!ParseEndpoint(former.address, endpoint)) {
      continue;
    }
    PeerResult<HeartbeatReply> reply =
      this->channels.At(endpoint)->SendHeartbeat(this->OwnState(), kHeartbeatTimeout);
    bool isReplaced = reply && reply->instance != former.instance;
    if (isReplaced || (!reply && reply.Failure() == PeerFailure::Refused)) {
      std::lock_guard lock(this->rolesMutex);
      this->seat.OnPredecessorStopped(former.instance, this->clock.Now());
      this->leadership.OnPredecessorStopped(former.instance, this->clock.Now());
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
