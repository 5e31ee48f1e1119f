#pragma once
// One authenticated connection of a PeerChannel.

#include "TimeLimitedStream.h"
#include "generated/peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/refcount.h>

namespace daisydrift {

/// An RPC session with a peer; lives while the channel or a call holds a reference. Only for use on
/// the event loop's thread.
class ClientConnection final : public kj::Refcounted
{
public:
  /// aStream must be authenticated.
  ClientConnection(kj::Own<TimeLimitedStream> aStream, std::size_t aMaxMessageBytes);

  /// The peer's RPC interface.
  wire::Peer::Client& Peer() { return this->peer; }
  /// Closes the connection; all its calls fail.
  void Close() { this->stream->Abort(); }
  /// When the last bytes arrived.
  kj::TimePoint LastArrival() const { return this->stream->LastArrival(); }
  /// Resolves when the connection has ended.
  kj::Promise<void> WhenDisconnected() { return this->network.onDisconnect(); }

  /// Serial number of the connection in its channel.
  std::uint64_t id = 0;
  /// Consecutive heartbeats without a response.
  unsigned missedHeartbeats = 0;
  /// Number of calls sent and not finished.
  unsigned callsInFlight = 0;
  /// When the last call started or finished.
  kj::TimePoint lastUsed = kj::origin<kj::TimePoint>();

private:
  kj::Own<TimeLimitedStream> stream;
  TimeLimitedMessageStream messages;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> session;
  wire::Peer::Client peer;
};

} // namespace daisydrift
