#pragma once
// Hands leadership to an instance that is better placed to lead.

#include "Membership.h"

#include <functional>
#include <memory>
#include <vector>

namespace daisydrift::coordination {

/// Covers a partial outage: the store refuses calls of some instances, the leader among them, and
/// serves the others. Without a handover there is no leader until the lease expires. When the store
/// is unavailable for all instances, none accepts the offer.
///
/// After such an outage a small instance may lead, which a large fleet overloads; it hands over to
/// a member with a shorter campaign delay, one with more cores, that has been a member for a while.
class LeadershipHandover
{
public:
  LeadershipHandover(EventLoop& aLoop,
                     PeerTransport& aPeers,
                     Membership& aMembership,
                     const InstanceSettings& aSettings);
  ~LeadershipHandover();
  LeadershipHandover(const LeadershipHandover&) = delete;
  LeadershipHandover& operator=(const LeadershipHandover&) = delete;

  /// Starts to look for larger members.
  void Start();
  /// Call when the store has refused a call of this instance.
  void OnStoreRefused();

private:
  bool IsLeading() const;
  /// Members that aIsCandidate accepts in the order in which they are asked: those with the
  /// shortest campaign delay first.
  std::vector<SocketEndpoint> Candidates(
    const std::function<bool(const MemberRecord&)>& aIsCandidate) const;
  /// Offers leadership to the members one after another while this instance leads and aIsWanted
  /// returns true. A member accepts if the store has been available to it for aMinAvailableTime.
  void OfferLeadership(const std::vector<SocketEndpoint>& aCandidates,
                       std::size_t aNext,
                       Duration aMinAvailableTime,
                       const std::function<bool()>& aIsWanted);
  void CheckForLargerMember();

  EventLoop& loop;
  PeerTransport& peers;
  Membership& membership;
  const InstanceSettings& settings;
  bool isOffering = false;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
