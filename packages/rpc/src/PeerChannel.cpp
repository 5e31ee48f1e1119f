#include "daisydrift/rpc/PeerChannel.h"

#include "PeerChannelImpl.h"

#include <cassert>

namespace daisydrift {

namespace {

/// Reads the results of a call, which all have `error` and `reply`.
template<typename Reply, typename Results>
PeerResult<Reply> ReadResults(Results aResults)
{
  if (std::error_code error = DecodeError(aResults.getError())) {
    return PeerResult<Reply>(error, PeerFailure::ErrorReply);
  }
  Reply reply;
  if (!Decode(aResults.getReply(), reply)) {
    return PeerResult<Reply>(Errc::Corrupt, PeerFailure::ErrorReply);
  }
  return reply;
}

template<typename Reply, typename Params, typename Results>
kj::Promise<PeerResult<Reply>> Exchange(capnp::Request<Params, Results> aRequest)
{
  return aRequest.send().then([](capnp::Response<Results>&& aResponse) {
    return ReadResults<Reply, typename Results::Reader>(aResponse);
  });
}

/// Passes a call to the event loop's thread and waits for its result.
template<typename Reply>
PeerResult<Reply> Run(EventLoopThread& aLoop,
                      PeerChannelImpl& aImpl,
                      bool aIsHeartbeat,
                      std::chrono::milliseconds aSilence,
                      std::chrono::milliseconds aTimeout,
                      typename TypedCall<Reply>::Exchange aExchange)
{
  assert(!aLoop.IsCurrent());
  auto call =
    std::make_shared<TypedCall<Reply>>(aIsHeartbeat, aSilence, aTimeout, std::move(aExchange));
  std::future<PeerResult<Reply>> result = call->Future();
  // The reference is moved, so that the call is destroyed on the event loop's thread.
  aLoop.Post([impl = &aImpl, call = std::move(call)] { impl->StartCall(call); });
  return result.get();
}

} // namespace

PeerChannel::PeerChannel(std::shared_ptr<RpcEventLoop> aLoop,
                         Endpoint aEndpoint,
                         PeerChannelOptions aOptions)
  : loop(std::move(aLoop))
  , endpoint(std::move(aEndpoint))
  , maxMessageBytes(aOptions.maxMessageBytes)
  , impl(
      std::make_unique<PeerChannelImpl>(this->loop->Thread(), this->endpoint, std::move(aOptions)))
{
}

PeerChannel::~PeerChannel()
{
  this->loop->Thread().RunSync([this]() -> kj::Promise<void> {
    this->impl.reset();
    return kj::READY_NOW;
  });
}

void PeerChannel::CloseConnection()
{
  this->loop->Thread().RunSync([this]() -> kj::Promise<void> {
    this->impl->CloseConnection();
    return kj::READY_NOW;
  });
}

PeerResult<HeartbeatReply> PeerChannel::SendHeartbeat(const Heartbeat& aHeartbeat,
                                                      std::chrono::milliseconds aTimeout)
{
  return Run<HeartbeatReply>(this->loop->Thread(),
                             *this->impl,
                             true,
                             aTimeout,
                             aTimeout,
                             [&aHeartbeat](ClientConnection& aConnection) {
                               auto request = aConnection.Peer().heartbeatRequest();
                               Encode(aHeartbeat, request.initHeartbeat());
                               return Exchange<HeartbeatReply>(kj::mv(request));
                             });
}

PeerResult<CallReply> PeerChannel::SendCall(const Call& aCall, std::chrono::milliseconds aTimeout)
{
  if (EstimateMessageBytes(aCall) > this->maxMessageBytes) {
    return { Errc::InvalidArgument, PeerFailure::ErrorReply };
  }
  return Run<CallReply>(this->loop->Thread(),
                        *this->impl,
                        false,
                        aTimeout,
                        aTimeout,
                        [&aCall](ClientConnection& aConnection) {
                          auto request = aConnection.Peer().callRequest();
                          Encode(aCall, request.initCall());
                          return Exchange<CallReply>(kj::mv(request));
                        });
}

PeerResult<ConfigReply> PeerChannel::FetchConfig(std::chrono::milliseconds aSilence,
                                                 std::chrono::milliseconds aTimeout)
{
  return Run<ConfigReply>(this->loop->Thread(),
                          *this->impl,
                          false,
                          aSilence,
                          aTimeout,
                          [](ClientConnection& aConnection) {
                            return Exchange<ConfigReply>(aConnection.Peer().fetchConfigRequest());
                          });
}

PeerResult<ForwardedReply> PeerChannel::ForwardRequest(const ForwardedRequest& aRequest,
                                                       std::chrono::milliseconds aTimeout)
{
  if (EstimateMessageBytes(aRequest) > this->maxMessageBytes) {
    return { Errc::InvalidArgument, PeerFailure::ErrorReply };
  }
  return Run<ForwardedReply>(this->loop->Thread(),
                             *this->impl,
                             false,
                             aTimeout,
                             aTimeout,
                             [&aRequest](ClientConnection& aConnection) {
                               auto request = aConnection.Peer().forwardRequestRequest();
                               Encode(aRequest, request.initRequest());
                               return Exchange<ForwardedReply>(kj::mv(request));
                             });
}

PeerResult<SuccessorAck> PeerChannel::NotifySuccessor(const SuccessorNotice& aNotice,
                                                      std::chrono::milliseconds aTimeout)
{
  return Run<SuccessorAck>(this->loop->Thread(),
                           *this->impl,
                           false,
                           aTimeout,
                           aTimeout,
                           [&aNotice](ClientConnection& aConnection) {
                             auto request = aConnection.Peer().successorRequest();
                             Encode(aNotice, request.initNotice());
                             return Exchange<SuccessorAck>(kj::mv(request));
                           });
}

PeerTraffic PeerChannel::Traffic() const
{
  return { this->impl->Counts().sent, this->impl->Counts().received, this->impl->Connections() };
}

} // namespace daisydrift
