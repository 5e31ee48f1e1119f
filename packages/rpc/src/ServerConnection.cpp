#include "ServerConnection.h"

#include "Handshake.h"
#include "PeerCalls.h"

namespace daisydrift {

namespace {

kj::Duration ToKj(std::chrono::milliseconds aDuration)
{
  return aDuration.count() * kj::MILLISECONDS;
}

StreamLimits ToLimits(const PeerServerOptions& aOptions)
{
  return { ToKj(aOptions.authenticationLimit),
           ToKj(aOptions.messageLimit),
           ToKj(aOptions.idleLimit) };
}

} // namespace

ServerConnection::ServerConnection(ServerCore& aCore, kj::Own<kj::AsyncIoStream> aStream)
  : core(aCore)
  , stream(kj::mv(aStream), aCore.Loop().Timer(), ToLimits(aCore.Options()), aCore.Counts())
  , messages(this->stream)
{
}

kj::Promise<void> ServerConnection::Run()
{
  return ProveAsServer(this->stream, this->core.Options().secret)
    .then([this](bool aIsAccepted) -> kj::Promise<void> {
      KJ_REQUIRE(aIsAccepted, "the client does not know the secret");
      return this->ServeCalls();
    });
}

kj::Promise<void> ServerConnection::ServeCalls()
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = this->core.Options().maxMessageBytes / sizeof(capnp::word);
  this->network = kj::heap<capnp::TwoPartyVatNetwork>(
    this->messages, capnp::rpc::twoparty::Side::SERVER, options);
  this->session = kj::heap<capnp::RpcSystem<capnp::rpc::twoparty::VatId>>(
    capnp::makeRpcServer(*this->network, kj::heap<PeerCalls>(this->core)));
  return this->network->onDisconnect();
}

bool ServerConnection::HasQueuedReplies()
{
  return this->network && this->network->getCurrentQueueCount() > 0;
}

} // namespace daisydrift
