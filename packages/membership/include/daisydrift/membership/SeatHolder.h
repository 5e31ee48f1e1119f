#pragma once
// The seat of an instance: its share of the upstream slots and its voice in heartbeats.

#include "daisydrift/membership/LeaseState.h"
#include "daisydrift/membership/RoleHistory.h"
#include "daisydrift/membership/SuccessorClaim.h"

#include <optional>
#include <vector>

namespace daisydrift {

/// Number of seats, fixed by the number of entry instances.
constexpr unsigned kSeatCount = 7;
/// Longest request deadline. The requests of a former holder that did not leave cleanly may run at
/// the upstreams for this long after it stopped (design page, section 2.5).
constexpr std::chrono::seconds kLongestRequest{ 30 };

/// A seat as stored.
struct SeatRecord
{
  unsigned seat = 0;
  InstanceId instance;
  /// Where the instance answers heartbeats.
  std::string address;
  FailureDomain failureDomain;
  std::string region;
  /// Term of the holder; increases with each holder of the seat.
  Epoch epoch = 0;

  bool operator==(const SeatRecord&) const = default;
};

/// Role name of a seat in SupportLedger.
std::string SeatRole(unsigned aSeat);

/// Claims, renews and releases a seat, and says whether it may be used. Not thread-safe.
///
/// A seat may be used while its lease is confirmed, or while there is evidence of an outage, and
/// only after the former holders are known to have stopped and their requests have ended.
class SeatHolder
{
public:
  /// aSelf gives the identity; its seat and epoch are ignored.
  SeatHolder(Store& aStore, const Clock& aClock, SeatRecord aSelf, LeaseOptions aOptions = {});

  /// Claims a free seat. Errors: LimitReached (no seat is free), NotPermitted (a seat is held), and
  /// those of the store; after an error no seat is held.
  std::error_code Claim();
  /// Reads the seat table and renews the lease; due each second. Errors: LeaseExpired (the seat is
  /// lost), NotPermitted (no seat is held), and those of the store.
  std::error_code Renew();
  /// Leaves the seat. The caller has finished all its requests; then the next holder need not wait.
  void Release();

  /// True when the seat may be used at this moment. Asked before each use.
  bool MayAct(TimePoint aNow);

  /// True while the lease is confirmed; for SupportLedger::Acknowledge.
  bool IsConfirmed(TimePoint aNow) const;

  /// The seat held, confirmed or not.
  std::optional<unsigned> Seat() const;
  /// Term of the seat held.
  Epoch SeatEpoch() const { return this->self.epoch; }
  /// When the seat was claimed; for SupportLedger::Acknowledge.
  TimePoint HeldSince() const { return this->heldSince; }
  /// State of the chart, for logs.
  const std::string& StateName() const { return this->state.Name(); }
  /// All seats as read by the last Claim() or Renew(), by number.
  const std::vector<SeatRecord>& Table() const { return this->table; }
  /// Former holders that may still be acting.
  const std::vector<RoleHolder>& Formers() const { return this->formers; }
  /// Heartbeat answers about this seat's holder go here.
  OutageEvidence& Evidence() { return this->state.Evidence(); }
  /// An instance acknowledged this holder as successor; as SuccessorClaim::OnAcknowledgement.
  void OnAcknowledgement(const InstanceId& aPeer, TimePoint aSentAt, TimePoint aReceivedAt);
  /// A former holder is proved to have stopped.
  void OnFormerStopped(const InstanceId& aFormer, TimePoint aNow);

private:
  /// Reads all seats into `table`.
  std::error_code ReadTable();
  /// Takes the seat aSeat, which seemed free.
  std::error_code Take(unsigned aSeat);
  std::error_code EnterTerm();
  /// True when the wait for former holders is over.
  bool IsWaitOver(TimePoint aNow) const;
  RoleHistory History() const;
  std::set<InstanceId> OtherInstances() const;

  Store& store;
  const Clock& clock;
  SeatRecord self;
  LeaseOptions options;
  LeaseState state;
  std::vector<SeatRecord> table;
  std::vector<RoleHolder> formers;
  /// Former holders without proof of their stop.
  std::set<InstanceId> unproved;
  std::optional<SuccessorClaim> succession;
  TimePoint heldSince = TimePoint::max();
  /// True once the seat could be used in this term.
  bool isReady = false;
  /// True once the history names no former holders of this term.
  bool isSettled = false;
};

} // namespace daisydrift
