#pragma once
// Exchange of the configuration between the instances.

#include "ConfigFollower.h"
#include "Membership.h"

#include <nlohmann/json_fwd.hpp>

namespace daisydrift::coordination {

/// Gets the configuration from other instances while the store does not confirm it here. An
/// instance whose calls the store refuses loses its lease and with it the leader's announcements,
/// so it asks by itself.
class ConfigExchange
{
public:
  /// @param aOnLeader Called with the leader that another instance knows.
  ConfigExchange(EventLoop& aLoop,
                 PeerTransport& aPeers,
                 const Membership& aMembership,
                 ConfigFollower& aConfig,
                 const InstanceSettings& aSettings,
                 Metrics& aMetrics,
                 std::function<void(const LeaderRecord&)> aOnLeader);

  void Start();
  /// Asks an instance for the version of its configuration, the age of it and the leader, and then
  /// for the document if it is newer and the store does not send the configuration: a second copy
  /// would only delay the first. Does nothing while an earlier call is open. A failed call is
  /// logged, not repeated.
  void Fetch(const SocketEndpoint& aPeer);
  /// True when the configuration should be confirmed by another instance.
  bool IsDue() const { return this->config.Age() > this->settings.maxConfigAge / 2; }
  /// Response to such a call of another instance.
  nlohmann::json Answer(const nlohmann::json& aArguments) const;

private:
  void FetchWhenDue();
  void FetchDocument(const SocketEndpoint& aPeer);
  void LogFailure(const SocketEndpoint& aPeer, std::error_code aError) const;
  /// Returns the version that the other instance has; 0 for an answer that can't be read.
  std::uint64_t OnAnswer(const nlohmann::json& aAnswer, TimePoint aSentAt);
  /// The instance to ask next: the leader and one of the other members by turns.
  std::optional<SocketEndpoint> NextPeer();

  EventLoop& loop;
  PeerTransport& peers;
  const Membership& membership;
  ConfigFollower& config;
  const InstanceSettings& settings;
  Metrics& metrics;
  std::function<void(const LeaderRecord&)> onLeader;
  bool isFetching = false;
  /// A version whose document did not come or could not be read; it is not fetched again.
  std::uint64_t unusableVersion = 0;
  bool wasLeaderAskedLast = false;
  /// The member that was asked last.
  std::string lastMember;
};

} // namespace daisydrift::coordination
