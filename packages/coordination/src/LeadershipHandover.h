#pragma once
// Hands leadership to an instance that can reach the store when the leader cannot.

#include "Membership.h"

#include <functional>
#include <memory>
#include <vector>

namespace daisydrift::coordination {

/// Covers a partial outage: the store refuses calls of some instances, the leader among them, and
/// serves the others. Without a handover there is no leader until the lease expires. When the store
/// is unavailable for all instances, none accepts the offer.
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

  /// Call when the store has refused a call of this instance.
  void OnStoreRefused();

private:
  bool IsLeading() const;
  /// Members in the order in which they are asked: those with the shortest campaign delay first.
  std::vector<SocketEndpoint> Candidates() const;
  void OfferLeadership(const std::vector<SocketEndpoint>& aCandidates, std::size_t aNext);

  EventLoop& loop;
  PeerTransport& peers;
  Membership& membership;
  const InstanceSettings& settings;
  bool isOffering = false;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
