#include "daisydrift/rpc/PeerChannel.h"

#include "ChannelCore.h"

#include <cassert>

namespace daisydrift {

namespace {

/// Reads the results of a call, which all have `error` and `reply`.
template<typename Reply, typename Results>
PeerResult<Reply> ReadResults(Results aResults)
{
  if (std::error_code error = DecodeError(aResults.getError())) {
    return PeerResult<Reply>(error, PeerFailure::Answered);
  }
  Reply reply;
  if (!Decode(aResults.getReply(), reply)) {
    return PeerResult<Reply>(Errc::Corrupt, PeerFailure::Answered);
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

/// Hands a call to the loop's thread and waits for its end.
template<typename Reply>
PeerResult<Reply> Run(LoopThread& aLoop,
                      ChannelCore& aCore,
                      bool aIsHeartbeat,
                      std::chrono::milliseconds aTimeout,
                      typename TypedCall<Reply>::Exchange aExchange)
{
  assert(!aLoop.IsCurrent());
  auto call = std::make_shared<TypedCall<Reply>>(aIsHeartbeat, aTimeout, std::move(aExchange));
  std::future<PeerResult<Reply>> result = call->Future();
  // The call is given away, so that it also ends on the loop's thread.
  aLoop.Post([core = &aCore, call = std::move(call)] { core->Begin(call); });
  return result.get();
}

} // namespace

PeerChannel::PeerChannel(std::shared_ptr<RpcLoop> aLoop,
                         Endpoint aEndpoint,
                         PeerChannelOptions aOptions)
  : loop(std::move(aLoop))
  , endpoint(std::move(aEndpoint))
  , maxMessageBytes(aOptions.maxMessageBytes)
  , core(std::make_unique<ChannelCore>(this->loop->Thread(), this->endpoint, std::move(aOptions)))
{
}

PeerChannel::~PeerChannel()
{
  this->loop->Thread().RunSync([this]() -> kj::Promise<void> {
    this->core.reset();
    return kj::READY_NOW;
  });
}

PeerResult<HeartbeatReply> PeerChannel::SendHeartbeat(const Heartbeat& aHeartbeat,
                                                      std::chrono::milliseconds aTimeout)
{
  return Run<HeartbeatReply>(
    this->loop->Thread(), *this->core, true, aTimeout, [&aHeartbeat](PeerLink& aLink) {
      auto request = aLink.Peer().heartbeatRequest();
      Encode(aHeartbeat, request.initHeartbeat());
      return Exchange<HeartbeatReply>(kj::mv(request));
    });
}

PeerResult<CallReply> PeerChannel::SendCall(const Call& aCall, std::chrono::milliseconds aTimeout)
{
  if (WireBytes(aCall) > this->maxMessageBytes) {
    return { Errc::InvalidArgument, PeerFailure::Answered };
  }
  return Run<CallReply>(
    this->loop->Thread(), *this->core, false, aTimeout, [&aCall](PeerLink& aLink) {
      auto request = aLink.Peer().callRequest();
      Encode(aCall, request.initCall());
      return Exchange<CallReply>(kj::mv(request));
    });
}

PeerResult<ConfigReply> PeerChannel::FetchConfig(std::chrono::milliseconds aTimeout)
{
  return Run<ConfigReply>(this->loop->Thread(), *this->core, false, aTimeout, [](PeerLink& aLink) {
    return Exchange<ConfigReply>(aLink.Peer().fetchConfigRequest());
  });
}

PeerResult<ForwardedReply> PeerChannel::ForwardRequest(const ForwardedRequest& aRequest,
                                                       std::chrono::milliseconds aTimeout)
{
  if (WireBytes(aRequest) > this->maxMessageBytes) {
    return { Errc::InvalidArgument, PeerFailure::Answered };
  }
  return Run<ForwardedReply>(
    this->loop->Thread(), *this->core, false, aTimeout, [&aRequest](PeerLink& aLink) {
      auto request = aLink.Peer().forwardRequestRequest();
      Encode(aRequest, request.initRequest());
      return Exchange<ForwardedReply>(kj::mv(request));
    });
}

PeerResult<SuccessorAck> PeerChannel::NotifySuccessor(const SuccessorNotice& aNotice,
                                                      std::chrono::milliseconds aTimeout)
{
  return Run<SuccessorAck>(
    this->loop->Thread(), *this->core, false, aTimeout, [&aNotice](PeerLink& aLink) {
      auto request = aLink.Peer().successorRequest();
      Encode(aNotice, request.initNotice());
      return Exchange<SuccessorAck>(kj::mv(request));
    });
}

PeerTraffic PeerChannel::Traffic() const
{
  return { this->core->Counts().sent, this->core->Counts().received, this->core->Connections() };
}

} // namespace daisydrift
