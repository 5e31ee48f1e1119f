#pragma once
// One connection of a PeerServer.

#include "PeerServerImpl.h"

#include <capnp/rpc-twoparty.h>

namespace daisydrift {

/// Authenticates the client, then serves its calls. Only for use on the event loop's thread.
class ServerConnection
{
public:
  ServerConnection(PeerServerImpl& aServer, kj::Own<kj::AsyncIoStream> aStream);

  /// Serves the client; resolves when the connection is closed.
  kj::Promise<void> Run();
  /// True while a reply is queued for sending.
  bool HasQueuedReplies();

private:
  kj::Promise<void> ServeCalls();

  PeerServerImpl& server;
  TimeLimitedStream stream;
  TimeLimitedMessageStream messages;
  /// Set once the client is authenticated; the session is destroyed before the network.
  kj::Own<capnp::TwoPartyVatNetwork> network;
  kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> session;
};

} // namespace daisydrift
