#include "PeerCalls.h"

#include "WireCodec.h"

namespace daisydrift {

namespace {

/// Runs one call of the service, unless it is too late for it.
template<typename Reply>
Result<Reply> Execute(const std::function<Result<Reply>()>& aWork,
                      const std::optional<TimePoint>& aDeadline,
                      bool aIsAbandoned)
{
  if (aIsAbandoned) {
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
void Fill(Results aResults, const Result<Reply>& aReply, std::size_t aMaxBytes)
{
  if (!aReply) {
    aResults.setError(EncodeError(aReply.Error()));
    return;
  }
  if (WireBytes(*aReply) > aMaxBytes) {
    LogLine(LogLevel::Error, "peer_reply_too_large").Add("bytes", WireBytes(*aReply));
    aResults.setError(EncodeError(Errc::OutcomeUnknown));
    return;
  }
  Encode(*aReply, aResults.initReply());
}

} // namespace

PeerCalls::PeerCalls(ServerCore& aCore)
  : core(aCore)
{
}

template<typename Reply, typename Context>
kj::Promise<void> PeerCalls::Dispatch(Context aContext,
                                      ServerCore::Lane aLane,
                                      std::optional<Duration> aDeadline,
                                      std::function<Result<Reply>()> aWork)
{
  std::error_code refusal = this->core.Admit(aLane);
  if (!refusal && *this->running >= this->core.Options().maxCallsPerConnection) {
    refusal = Errc::Overloaded;
  }
  if (refusal) {
    aContext.getResults().setError(EncodeError(refusal));
    return kj::READY_NOW;
  }
  aContext.releaseParams();
  std::optional<TimePoint> deadline;
  if (aDeadline) {
    deadline = SteadyClock().Now() + *aDeadline;
  }
  auto reply = std::make_shared<std::optional<Result<Reply>>>();
  ++*this->running;
  ServerCore* core = &this->core;
  return core
    ->Run(
      aLane,
      [core, deadline, reply, work = std::move(aWork)] {
        reply->emplace(Execute(work, deadline, core->IsAbandoned()));
      },
      this->running)
    .then([core, reply, context = kj::mv(aContext)](bool aHasRun) mutable {
      Result<Reply> result = aHasRun ? std::move(**reply) : Result<Reply>(Errc::Overloaded);
      Fill(context.getResults(), result, core->Options().maxMessageBytes);
    });
}

kj::Promise<void> PeerCalls::heartbeat(HeartbeatContext aContext)
{
  Heartbeat heartbeat;
  if (!Decode(aContext.getParams().getHeartbeat(), heartbeat)) {
    aContext.getResults().setError(EncodeError(Errc::InvalidArgument));
    return kj::READY_NOW;
  }
  PeerService* service = &this->core.Service();
  return this->Dispatch<HeartbeatReply>(
    kj::mv(aContext),
    ServerCore::Lane::Heartbeats,
    std::nullopt,
    [service, heartbeat = std::move(heartbeat)] { return service->OnHeartbeat(heartbeat); });
}

kj::Promise<void> PeerCalls::call(CallContext aContext)
{
  daisydrift::Call call;
  if (!Decode(aContext.getParams().getCall(), call)) {
    aContext.getResults().setError(EncodeError(Errc::InvalidArgument));
    return kj::READY_NOW;
  }
  PeerService* service = &this->core.Service();
  Duration deadline = call.deadline;
  return this->Dispatch<CallReply>(
    kj::mv(aContext), ServerCore::Lane::Calls, deadline, [service, call = std::move(call)] {
      return service->OnCall(call);
    });
}

kj::Promise<void> PeerCalls::fetchConfig(FetchConfigContext aContext)
{
  PeerService* service = &this->core.Service();
  return this->Dispatch<ConfigReply>(kj::mv(aContext),
                                     ServerCore::Lane::Heartbeats,
                                     std::nullopt,
                                     [service] { return service->OnFetchConfig(); });
}

kj::Promise<void> PeerCalls::forwardRequest(ForwardRequestContext aContext)
{
  ForwardedRequest request;
  if (!Decode(aContext.getParams().getRequest(), request)) {
    aContext.getResults().setError(EncodeError(Errc::InvalidArgument));
    return kj::READY_NOW;
  }
  PeerService* service = &this->core.Service();
  Duration deadline = request.deadline;
  return this->Dispatch<ForwardedReply>(
    kj::mv(aContext), ServerCore::Lane::Calls, deadline, [service, request = std::move(request)] {
      return service->OnForwardedRequest(request);
    });
}

kj::Promise<void> PeerCalls::successor(SuccessorContext aContext)
{
  SuccessorNotice notice;
  if (!Decode(aContext.getParams().getNotice(), notice)) {
    aContext.getResults().setError(EncodeError(Errc::InvalidArgument));
    return kj::READY_NOW;
  }
  PeerService* service = &this->core.Service();
  return this->Dispatch<SuccessorAck>(
    kj::mv(aContext),
    ServerCore::Lane::Heartbeats,
    std::nullopt,
    [service, notice = std::move(notice)] { return service->OnSuccessor(notice); });
}

} // namespace daisydrift
