#pragma once
// Hands leadership to an instance that reaches the store when this one does not.

#include "Membership.h"

#include <functional>
#include <memory>
#include <vector>

namespace daisydrift::coordination {

/// Fault: the store turns some instances away, the leader among them, and serves the others.
/// Without a handover nobody leads until the leader's lease ends. During an outage for all, nobody
/// takes the offer.
class Handover
{
public:
  Handover(EventLoop& aLoop,
           PeerTransport& aPeers,
           Membership& aMembership,
           const InstanceSettings& aSettings);
  ~Handover();
  Handover(const Handover&) = delete;
  Handover& operator=(const Handover&) = delete;

  /// The store refused a call of this instance.
  void OnStoreRefused();

private:
  bool IsLeading() const;
  /// Members in the order in which they are asked: the strongest first.
  std::vector<SocketEndpoint> Candidates() const;
  void Offer(const std::vector<SocketEndpoint>& aCandidates, std::size_t aNext);

  EventLoop& loop;
  PeerTransport& peers;
  Membership& membership;
  const InstanceSettings& settings;
  bool isOffering = false;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
