#pragma once
// Asks other members whether a leader that has not renewed its lease was replaced.

#include "Membership.h"

#include <functional>
#include <memory>

namespace daisydrift::coordination {

/// Covers a leader that was suspended, or cut off from the store, for longer than its lease and
/// would answer callers from stale state. The other members know of a newer leader if there is one.
/// When the store is unavailable for all instances there is none, and the leader keeps answering.
class LeadershipCheck
{
public:
  LeadershipCheck(EventLoop& aLoop,
                  PeerTransport& aPeers,
                  const Membership& aMembership,
                  const InstanceSettings& aSettings,
                  std::function<void(const LeaderRecord&)> aOnLeader);

  /// Asks some members who leads; aOnLeader gets each answer before aDone is called.
  void AskMembers(const std::function<void()>& aDone);

private:
  EventLoop& loop;
  PeerTransport& peers;
  const Membership& membership;
  const InstanceSettings& settings;
  std::function<void(const LeaderRecord&)> onLeader;
};

} // namespace daisydrift::coordination
