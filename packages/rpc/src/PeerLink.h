#pragma once
// One authenticated connection of a PeerChannel.

#include "GuardedStream.h"
#include "generated/peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/refcount.h>

namespace daisydrift {

/// An RPC session with a peer; lives while the channel or a call holds it. Only for use on the
/// loop's thread.
class PeerLink final : public kj::Refcounted
{
public:
  /// aStream must be authenticated.
  PeerLink(kj::Own<GuardedStream> aStream, std::size_t aMaxMessageBytes);

  /// The peer's calls.
  wire::Peer::Client& Peer() { return this->peer; }
  /// Closes the connection: all its calls fail.
  void Close() { this->stream->Abort(); }
  /// Resolves when the connection has ended.
  kj::Promise<void> WhenDisconnected() { return this->network.onDisconnect(); }

  /// Number of the connection in its channel.
  std::uint64_t number = 0;
  /// Heartbeats unanswered in a row.
  unsigned missedHeartbeats = 0;
  /// Calls sent and not ended.
  unsigned running = 0;
  /// When the last call began or ended.
  kj::TimePoint lastUse = kj::origin<kj::TimePoint>();

private:
  kj::Own<GuardedStream> stream;
  GuardedMessages messages;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> session;
  wire::Peer::Client peer;
};

} // namespace daisydrift
