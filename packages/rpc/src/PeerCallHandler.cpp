#include "PeerCallHandler.h"

#include "WireCodec.h"

namespace daisydrift {

namespace {

/// Runs one call of the service, unless the call is rejected or its deadline has passed.
template<typename Reply>
Result<Reply> Execute(const std::function<Result<Reply>()>& aWork,
                      const std::optional<TimePoint>& aDeadline,
                      bool aIsRejected)
{
  if (aIsRejected) {
    return Errc::NotPermitted;
  }
  if (aDeadline && SteadyClock().Now() >= *aDeadline) {
    return Errc::DeadlineExceeded;
  }
  try {
    return aWork();
  } catch (const std::exception& exception) {
    LogLine(LogLevel::Error, "peer_call_failed").Add("error", exception.what());
    return Errc::OutcomeUnknown;
  }
}

template<typename Results, typename Reply>
void SetResults(Results aResults, const Result<Reply>& aReply, std::size_t aMaxBytes)
{
  if (!aReply) {
    aResults.setError(EncodeError(aReply.Error()));
    return;
  }
  if (EstimateMessageBytes(*aReply) > aMaxBytes) {
    LogLine(LogLevel::Error, "peer_reply_too_large").Add("bytes", EstimateMessageBytes(*aReply));
    aResults.setError(EncodeError(Errc::OutcomeUnknown));
    return;
  }
  Encode(*aReply, aResults.initReply());
}

} // namespace

PeerCallHandler::PeerCallHandler(PeerServerImpl& aServer)
  : server(aServer)
{
}

template<typename Reply, typename Context>
kj::Promise<void> PeerCallHandler::Dispatch(Context aContext,
                                            PeerServerImpl::PoolKind aPoolKind,
                                            std::optional<Duration> aTimeout,
                                            std::function<Result<Reply>()> aWork)
{
  std::error_code rejection = this->server.Admit(aPoolKind);
  if (!rejection && *this->pendingCalls >= this->server.Options().maxCallsPerConnection) {
    rejection = Errc::Overloaded;
  }
  if (rejection) {
    aContext.getResults().setError(EncodeError(rejection));
    return kj::READY_NOW;
  }
  aContext.releaseParams();
  std::optional<TimePoint> deadline;
  if (aTimeout) {
    deadline = SteadyClock().Now() + *aTimeout;
  }
  auto reply = std::make_shared<std::optional<Result<Reply>>>();
  ++*this->pendingCalls;
  PeerServerImpl* server = &this->server;
  return server
    ->Run(
      aPoolKind,
      [server, deadline, reply, work = std::move(aWork)] {
        reply->emplace(Execute(work, deadline, server->RejectsQueuedCalls()));
      },
      this->pendingCalls)
    .then([server, reply, context = kj::mv(aContext)](bool aHasRun) mutable {
      Result<Reply> result = aHasRun ? std::move(**reply) : Result<Reply>(Errc::Overloaded);
      SetResults(context.getResults(), result, server->Options().maxMessageBytes);
    });
}

kj::Promise<void> PeerCallHandler::heartbeat(HeartbeatContext aContext)
{
  Heartbeat heartbeat;
  if (!Decode(aContext.getParams().getHeartbeat(), heartbeat)) {
    aContext.getResults().setError(EncodeError(Errc::InvalidArgument));
    return kj::READY_NOW;
  }
  PeerService* service = &this->server.Service();
  return this->Dispatch<HeartbeatReply>(
    kj::mv(aContext),
    PeerServerImpl::PoolKind::Heartbeats,
    std::nullopt,
    [service, heartbeat = std::move(heartbeat)] { return service->OnHeartbeat(heartbeat); });
}

kj::Promise<void> PeerCallHandler::call(CallContext aContext)
{
  daisydrift::Call call;
  if (!Decode(aContext.getParams().getCall(), call)) {
    aContext.getResults().setError(EncodeError(Errc::InvalidArgument));
    return kj::READY_NOW;
  }
  PeerService* service = &this->server.Service();
  Duration timeout = call.timeout;
  return this->Dispatch<CallReply>(
    kj::mv(aContext), PeerServerImpl::PoolKind::Calls, timeout, [service, call = std::move(call)] {
      return service->OnCall(call);
    });
}

kj::Promise<void> PeerCallHandler::fetchConfig(FetchConfigContext aContext)
{
  PeerService* service = &this->server.Service();
  return this->Dispatch<ConfigReply>(kj::mv(aContext),
                                     PeerServerImpl::PoolKind::Heartbeats,
                                     std::nullopt,
                                     [service] { return service->OnFetchConfig(); });
}

kj::Promise<void> PeerCallHandler::forwardRequest(ForwardRequestContext aContext)
{
  ForwardedRequest request;
  if (!Decode(aContext.getParams().getRequest(), request)) {
    aContext.getResults().setError(EncodeError(Errc::InvalidArgument));
    return kj::READY_NOW;
  }
  PeerService* service = &this->server.Service();
  Duration timeout = request.timeout;
  return this->Dispatch<ForwardedReply>(
    kj::mv(aContext),
    PeerServerImpl::PoolKind::Calls,
    timeout,
    [service, request = std::move(request)] { return service->OnForwardedRequest(request); });
}

kj::Promise<void> PeerCallHandler::successor(SuccessorContext aContext)
{
  SuccessorNotice notice;
  if (!Decode(aContext.getParams().getNotice(), notice)) {
    aContext.getResults().setError(EncodeError(Errc::InvalidArgument));
    return kj::READY_NOW;
  }
  PeerService* service = &this->server.Service();
  return this->Dispatch<SuccessorAck>(
    kj::mv(aContext),
    PeerServerImpl::PoolKind::Heartbeats,
    std::nullopt,
    [service, notice = std::move(notice)] { return service->OnSuccessor(notice); });
}

} // namespace daisydrift
