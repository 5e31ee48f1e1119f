#pragma once
// Evidence for the holder of a role that it may continue after the end of its store lease.

#include "daisydrift/base.h"

#include <cstddef>
#include <map>
#include <set>

namespace daisydrift {

/// A heartbeat response older than this is no evidence (docs/design.md, section 2.6). The age
/// counts from the time the request was sent, so that a delayed response is not taken for a recent
/// one.
constexpr std::chrono::seconds kMaxEvidenceAge{ 5 };

/// Number of the aOthers other seats that must support a holder for it to continue: all but one,
/// and at least one.
constexpr std::size_t ContinuationQuorum(std::size_t aOthers)
{
  return aOthers > 2 ? aOthers - 1 : 1;
}

/// Number of the aOthers other seats that must acknowledge a successor. Together with
/// ContinuationQuorum it is more than aOthers for every number, so that the two quorums intersect.
constexpr std::size_t SuccessionQuorum(std::size_t aOthers)
{
  return aOthers < 2 ? aOthers : 2;
}

/// What a heartbeat to another seat showed.
enum class HeartbeatResult
{
  /// The peer can't reach the store either and knows no successor of the holder.
  StoreUnreachable,
  /// The peer reaches the store and knows no successor of the holder.
  StoreReachable,
  /// The peer knows a successor of the holder or has acknowledged one.
  SuccessorKnown,
  /// The peer's process refuses connections: it has ended.
  ConnectionRefused
};

/// Evidence that a holder whose lease has expired lost the store because of a store outage and not
/// because the holder itself is isolated. Not thread-safe.
///
/// A seat whose process has ended can't acknowledge a successor any more, so it supports the
/// holder. But it may have acknowledged a successor before its process ended. It therefore counts
/// only if a heartbeat finds it refusing connections at most kMaxEvidenceAge after the end of the
/// lease, or after the last heartbeat that showed that it had acknowledged none. This is enough,
/// because a successor counts an acknowledgement only if the acknowledging seat still responds
/// kSuccessionWait later, which is longer than kMaxEvidenceAge (PredecessorStopDetector).
class OutageEvidence
{
public:
  /// Sets the instances that hold the other seats. Called while the lease is confirmed.
  void SetOtherSeats(std::set<InstanceId> aOthers);
  /// The store confirmed the lease until aValidUntil, so there is no successor.
  void OnLeaseConfirmed(TimePoint aValidUntil);
  /// Result of a heartbeat sent to aPeer at aSentAt. Results may arrive in any order; those of
  /// instances that hold no other seat are ignored.
  void OnHeartbeatResult(const InstanceId& aPeer, HeartbeatResult aResult, TimePoint aSentAt);

  /// True while the holder may continue without a confirmed lease.
  bool CanContinue(TimePoint aNow) const;
  /// True once a peer knows a successor, until the store confirms the lease again.
  bool IsSuperseded() const { return this->isSuperseded; }
  /// Number of other seats.
  std::size_t OtherSeatCount() const { return this->peers.size(); }

private:
  struct Peer
  {
    /// Sending time of the last heartbeat that showed that the peer had acknowledged no successor.
    TimePoint lastContact = TimePoint::min();
    /// Sending time of the last heartbeat that counts as support.
    TimePoint lastSupport = TimePoint::min();
  };

  TimePoint validUntil = TimePoint::min();
  std::map<InstanceId, Peer> peers;
  bool isSuperseded = false;
};

} // namespace daisydrift
