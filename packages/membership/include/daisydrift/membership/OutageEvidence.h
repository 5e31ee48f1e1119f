#pragma once
// Continuation past the end of a store lease: the holder's side.

#include "daisydrift/base.h"

#include <cstddef>
#include <map>
#include <set>

namespace daisydrift {

/// An answer older than this is no evidence (design page, section 2.6). The age counts from the
/// time the question was sent, so that a delayed answer is not taken for a recent one.
constexpr std::chrono::seconds kEvidenceAge{ 5 };

/// Other seats that must support a holder: all but one, and at least one.
constexpr std::size_t ContinuationCount(std::size_t aOthers)
{
  return aOthers > 2 ? aOthers - 1 : 1;
}

/// Other seats that must acknowledge a successor. Together with ContinuationCount it is more than
/// aOthers for every number, so that the two sets share a seat.
constexpr std::size_t SuccessionCount(std::size_t aOthers)
{
  return aOthers < 2 ? aOthers : 2;
}

/// What a heartbeat to another seat showed.
enum class PeerAnswer
{
  /// "The store is unreachable for me too, and I know no successor of yours."
  StoreUnreachable,
  /// "The store is reachable for me, and I know no successor of yours."
  StoreReachable,
  /// "I know a successor of yours", or "I have acknowledged one".
  SuccessorKnown,
  /// The process refuses connections: it is dead.
  Refused
};

/// Evidence that a holder whose lease ran out is cut off by an outage of the store and not by its
/// own isolation.
///
/// A dead seat supports the holder, since it can acknowledge no successor any more. It may have
/// done so before its death, though. Therefore it counts only if it was last in touch, or the lease
/// ended, at most kEvidenceAge before its death was seen: a successor counts an acknowledgement
/// only from a seat that answers for longer than that after it (SuccessorClaim).
class OutageEvidence
{
public:
  /// Sets the other seats of the seat table, by instance. Called while the lease is confirmed.
  void SetTable(std::set<InstanceId> aOthers);
  /// The store confirmed the lease until aValidUntil: there is no successor.
  void OnLeaseConfirmed(TimePoint aValidUntil);
  /// aPeer answered a heartbeat sent at aSentAt. Answers may arrive in any order; those of
  /// instances outside the table are ignored.
  void OnAnswer(const InstanceId& aPeer, PeerAnswer aAnswer, TimePoint aSentAt);

  /// True while the holder may go on without a confirmed lease.
  bool MayContinue(TimePoint aNow) const;
  /// True when a peer knows a successor; final until the store confirms the lease again.
  bool IsSucceeded() const { return this->isSucceeded; }
  /// Number of other seats in the table.
  std::size_t Others() const { return this->peers.size(); }

private:
  struct Peer
  {
    /// Sending time of the last heartbeat that showed the peer not to have acknowledged a
    /// successor.
    TimePoint lastContact = TimePoint::min();
    /// Sending time of the last heartbeat that counts as support.
    TimePoint lastSupport = TimePoint::min();
  };

  TimePoint validUntil = TimePoint::min();
  std::map<InstanceId, Peer> peers;
  bool isSucceeded = false;
};

} // namespace daisydrift
