#include "ClientConnection.h"

#include <capnp/message.h>

namespace daisydrift {

namespace {

capnp::ReaderOptions ToReaderOptions(std::size_t aMaxMessageBytes)
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = aMaxMessageBytes / sizeof(capnp::word);
  return options;
}

wire::Peer::Client Bootstrap(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& aSession)
{
  capnp::word scratch[4] = {};
  capnp::MallocMessageBuilder message(scratch);
  auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
  vat.setSide(capnp::rpc::twoparty::Side::SERVER);
  return aSession.bootstrap(vat).castAs<wire::Peer>();
}

} // namespace

ClientConnection::ClientConnection(kj::Own<TimeLimitedStream> aStream, std::size_t aMaxMessageBytes)
  : stream(kj::mv(aStream))
  , messages(*this->stream)
  , network(this->messages, capnp::rpc::twoparty::Side::CLIENT, ToReaderOptions(aMaxMessageBytes))
  , session(capnp::makeRpcClient(this->network))
  , peer(Bootstrap(this->session))
{
}

} // namespace daisydrift
