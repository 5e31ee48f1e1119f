#pragma once
// Finds out from other members whether a leader that has not renewed its lease was replaced.

#include "Membership.h"

#include <functional>
#include <memory>

namespace daisydrift::coordination {

/// Fault: a leader stands still, or loses the store, for longer than its lease, and answers callers
/// from what it knew. The members know of a newer leader; while the store is away for all there is
/// none, and the leader goes on answering.
class LeadershipCheck
{
public:
  LeadershipCheck(EventLoop& aLoop,
                  PeerTransport& aPeers,
                  const Membership& aMembership,
                  const InstanceSettings& aSettings,
                  std::function<void(const LeaderRecord&)> aOnLeader);

  /// Asks some members who leads; each answer goes to the hook before aDone is called.
  void Ask(const std::function<void()>& aDone);

private:
  EventLoop& loop;
  PeerTransport& peers;
  const Membership& membership;
  const InstanceSettings& settings;
  std::function<void(const LeaderRecord&)> onLeader;
};

} // namespace daisydrift::coordination
