#pragma once
// The seat of an instance. An instance with a seat has a share of the upstream slots, and its
// heartbeat responses count in the quorums of other instances (OutageEvidence.h).

#include "daisydrift/membership/LeasedRole.h"
#include "daisydrift/membership/PredecessorStopDetector.h"
#include "daisydrift/membership/RoleHistory.h"

#include <optional>
#include <vector>

namespace daisydrift {

/// Number of seats: the largest number of entry instances that can be active.
constexpr unsigned kSeatCount = 7;
/// Longest time allowed for a request; RoutingSettings::maxRequestTimeout must not exceed it. The
/// requests of a predecessor that did not release its seat may run at the upstreams for this long
/// after it has stopped (docs/design.md, section 2.5).
constexpr std::chrono::seconds kMaxRequestDuration{ 30 };

/// A seat as stored.
struct SeatRecord
{
  unsigned seat = 0;
  InstanceId instance;
  /// Address (HOST:PORT) at which the instance answers heartbeats.
  std::string address;
  FailureDomain failureDomain;
  std::string region;
  /// Epoch of the holder's term; increases with each holder. 0: the claim is not complete.
  Epoch epoch = 0;

  bool operator==(const SeatRecord&) const = default;
};

/// Name of the role of holder of aSeat, for SupporterState.
std::string SeatRole(unsigned aSeat);

/// Claims, renews and releases a seat, and says whether it may be used. Not thread-safe.
///
/// A seat may be used while its lease is confirmed, or while there is evidence of a store outage,
/// and only after its predecessors are known to have stopped and their requests have ended.
class SeatHolder
{
public:
  /// aSelf: the identity of this instance; its seat and epoch are ignored.
  SeatHolder(Store& aStore, const Clock& aClock, SeatRecord aSelf, LeaseOptions aOptions = {});

  /// Claims a free seat. Errors: LimitReached (no seat is free), NotPermitted (a seat is held
  /// already), and those of the store. After any other error than NotPermitted no seat is held.
  std::error_code Claim();
  /// Reads the seat table and renews the lease; called once a second. Errors: LeaseExpired (the
  /// seat is lost), NotPermitted (no seat is held), and those of the store.
  std::error_code Renew();
  /// Releases the seat. The caller must have finished all its requests, since the next holder does
  /// not wait for them.
  void Release();

  /// True when the seat may be used at aNow. Must be checked before each use.
  bool CanUse(TimePoint aNow);

  /// True while the lease is confirmed; for SupporterState::Acknowledge.
  bool IsConfirmed(TimePoint aNow) const;

  /// The seat held, confirmed or not.
  std::optional<unsigned> Seat() const;
  /// Epoch of the term in which the seat is held.
  Epoch SeatEpoch() const { return this->self.epoch; }
  /// When the seat was claimed; for SupporterState::Acknowledge.
  TimePoint HeldSince() const { return this->heldSince; }
  /// Name of the state in seat.chart, for logs.
  const std::string& StateName() const { return this->role.StateName(); }
  /// All taken seats as read by the last Claim() or Renew(), by number.
  const std::vector<SeatRecord>& Table() const { return this->table; }
  /// Earlier holders that may still be active.
  const std::vector<RoleHolder>& Predecessors() const { return this->predecessors; }
  /// Evidence for continuing without a confirmed lease; it receives the heartbeat results about
  /// this holder.
  OutageEvidence& Evidence() { return this->role.Evidence(); }
  /// An instance acknowledged this holder as successor; as
  /// PredecessorStopDetector::OnAcknowledgement.
  void OnAcknowledgement(const InstanceId& aPeer, TimePoint aSentAt, TimePoint aReceivedAt);
  /// There is proof that an earlier holder has stopped.
  void OnPredecessorStopped(const InstanceId& aPredecessor, TimePoint aNow);

private:
  /// Reads all seats into `table`.
  std::error_code ReadTable();
  /// Claims the seat aSeat, which is not in the table.
  std::error_code ClaimSeat(unsigned aSeat);
  std::error_code EnterTerm();
  /// True when the predecessors have stopped and their requests have ended.
  bool IsWaitOver(TimePoint aNow) const;
  RoleHistory History() const;
  std::set<InstanceId> OtherInstances() const;

  Store& store;
  const Clock& clock;
  SeatRecord self;
  LeaseOptions options;
  LeasedRole role;
  std::vector<SeatRecord> table;
  std::vector<RoleHolder> predecessors;
  /// Predecessors without proof that they have stopped.
  std::set<InstanceId> predecessorsWithoutStopProof;
  std::optional<PredecessorStopDetector> stopDetector;
  TimePoint heldSince = TimePoint::max();
  /// True once the seat could be used in this term.
  bool isReady = false;
  /// True once the stored history lists no predecessors of this term.
  bool isHistoryCleared = false;
};

} // namespace daisydrift
