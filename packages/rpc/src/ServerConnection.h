#pragma once
// One connection of a PeerServer.

#include "ServerCore.h"

#include <capnp/rpc-twoparty.h>

namespace daisydrift {

/// Authenticates the client, then offers it the calls. Only for use on the loop's thread.
class ServerConnection
{
public:
  ServerConnection(ServerCore& aCore, kj::Own<kj::AsyncIoStream> aStream);

  /// Serves the client; resolves when the connection has ended.
  kj::Promise<void> Run();
  /// True while a reply waits to be sent.
  bool HasQueuedReplies();

private:
  kj::Promise<void> ServeCalls();

  ServerCore& core;
  GuardedStream stream;
  GuardedMessages messages;
  /// Set once the client is authenticated; the session ends before the network.
  kj::Own<capnp::TwoPartyVatNetwork> network;
  kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> session;
};

} // namespace daisydrift
