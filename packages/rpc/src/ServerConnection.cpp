#include "ServerConnection.h"

#include "Handshake.h"
#include "PeerCallHandler.h"

namespace daisydrift {

namespace {

kj::Duration ToKj(std::chrono::milliseconds aDuration)
{
  return aDuration.count() * kj::MILLISECONDS;
}

StreamTimeouts ToStreamTimeouts(const PeerServerOptions& aOptions)
{
  return { ToKj(aOptions.authenticationTimeout),
           ToKj(aOptions.silenceTimeout),
           ToKj(aOptions.messageTimeout),
           ToKj(aOptions.idleTimeout) };
}

} // namespace

ServerConnection::ServerConnection(PeerServerImpl& aServer, kj::Own<kj::AsyncIoStream> aStream)
  : server(aServer)
  , stream(kj::mv(aStream),
           aServer.Loop().Timer(),
           ToStreamTimeouts(aServer.Options()),
           aServer.Counts())
  , messages(this->stream)
{
}

kj::Promise<void> ServerConnection::Run()
{
  return AuthenticateAsServer(this->stream, this->server.Options().secret)
    .then([this](bool aIsAccepted) -> kj::Promise<void> {
      KJ_REQUIRE(aIsAccepted, "the client does not know the secret");
      return this->ServeCalls();
    });
}

kj::Promise<void> ServerConnection::ServeCalls()
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = this->server.Options().maxMessageBytes / sizeof(capnp::word);
  this->network = kj::heap<capnp::TwoPartyVatNetwork>(
    this->messages, capnp::rpc::twoparty::Side::SERVER, options);
  this->session = kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(
    capnp::makeRpcServer(*this->network, kj::heap<PeerCallHandler>(this->server)));
  return this->network->onDisconnect();
}

bool ServerConnection::HasQueuedReplies()
{
  return this->network && this->network->getCurrentQueueCount() > 0;
}

} // namespace daisydrift
