#pragma once
// The other entry instances and the state that they report in heartbeats.

#include "daisydrift/external.h"
#include "daisydrift/membership.h"
#include "daisydrift/rpc.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace daisydrift {

/// A peer and its last heartbeat reply.
struct PeerInfo
{
  SeatRecord seat;
  Endpoint rpc;
  /// Last heartbeat reply; nothing before the first.
  std::optional<Heartbeat> lastReply;
  TimePoint lastReplyTime{};
  /// The last heartbeat was refused: no process listens at the peer's address.
  bool isConnectionRefused = false;
};

/// Table of the peers. Thread-safe.
class PeerTable
{
public:
  /// Replaces the set of peers by the seat table read from the store, without aSelf.
  void SetSeats(const std::vector<SeatRecord>& aSeats, const InstanceId& aSelf);
  /// A peer has replied to a heartbeat.
  void OnReply(const InstanceId& aPeer, const Heartbeat& aReply, TimePoint aNow);
  /// The connection to a peer was refused.
  void OnConnectionRefused(const InstanceId& aPeer);
  /// Returns all peers.
  std::vector<PeerInfo> All() const;
  /// Returns the responding peer with the most free slots for a service; nothing when none has any.
  std::optional<PeerInfo> FindMostFreeSlots(const std::string& aService, TimePoint aNow) const;

private:
  mutable std::mutex mutex;
  std::map<InstanceId, PeerInfo> peers;
};

} // namespace daisydrift
