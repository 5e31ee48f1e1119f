#include "ChannelCore.h"

#include "Handshake.h"
#include "TcpConnect.h"

namespace daisydrift {

namespace {

kj::Duration ToKj(std::chrono::microseconds aDuration)
{
  return aDuration.count() * kj::MICROSECONDS;
}

} // namespace

ChannelCore::ChannelCore(LoopThread& aLoop, Endpoint aEndpoint, PeerChannelOptions aOptions)
  : loop(aLoop)
  , endpoint(std::move(aEndpoint))
  , options(std::move(aOptions))
  , tasks(*this)
{
}

ChannelCore::~ChannelCore() noexcept(false) = default;

void ChannelCore::Begin(const std::shared_ptr<PendingCall>& aCall)
{
  kj::Promise<bool> answered =
    this->Connected().then([this, aCall] { return this->Send(aCall); }).then([] { return true; });
  kj::Promise<bool> timedOut =
    this->loop.Timer().afterDelay(ToKj(aCall->timeout)).then([] { return false; });
  this->tasks.add(
    answered.exclusiveJoin(kj::mv(timedOut))
      .then(
        [this, aCall](bool aIsAnswered) {
          if (!aIsAnswered) {
            this->OnTimeout(*aCall);
          }
        },
        [this, aCall](kj::Exception&& aException) { this->OnException(*aCall, aException); }));
}

bool ChannelCore::IsUsable()
{
  if (!this->current) {
    return false;
  }
  bool isIdle = this->current->running == 0 &&
                this->loop.Timer().now() - this->current->lastUse > ToKj(this->options.idleLimit);
  if (isIdle) {
    this->current = nullptr;
  }
  return !isIdle;
}

kj::Promise<void> ChannelCore::Connected()
{
  if (this->IsUsable()) {
    return kj::READY_NOW;
  }
  if (!this->isOpening) {
    this->isOpening = true;
    this->openFailure = { Errc::Unreachable, PeerFailure::Silent };
    this->opening = this->loop.Timer()
                      .timeoutAfter(ToKj(this->options.connectLimit),
                                    kj::evalNow([this] { return this->Open(); }))
                      .then([this] { this->isOpening = false; },
                            [this](kj::Exception&& aException) {
                              this->isOpening = false;
                              if (aException.getType() != kj::Exception::Type::OVERLOADED) {
                                this->openFailure.failure = PeerFailure::Disconnected;
                              }
                              LogLine(LogLevel::Info, "peer_connect_failed")
                                .Add("peer", ToString(this->endpoint))
                                .Add("error", aException.getDescription().cStr());
                            })
                      .fork();
  }
  return this->opening.addBranch();
}

kj::Promise<void> ChannelCore::Open()
{
  return TcpConnect(this->loop.Io(), this->endpoint)
    .then([this](ConnectOutcome aOutcome) -> kj::Promise<void> {
      if (!aOutcome.error) {
        return this->Authenticate(kj::mv(aOutcome.stream));
      }
      bool isRefused = aOutcome.error == std::errc::connection_refused;
      this->openFailure.failure = isRefused ? PeerFailure::Refused : PeerFailure::Disconnected;
      return kj::READY_NOW;
    });
}

kj::Promise<void> ChannelCore::Authenticate(kj::Own<kj::AsyncIoStream> aStream)
{
  StreamLimits limits{ ToKj(this->options.connectLimit),
                       ToKj(this->options.messageLimit),
                       nullptr };
  auto stream = kj::heap<GuardedStream>(kj::mv(aStream), this->loop.Timer(), limits, this->counts);
  kj::Promise<bool> accepted = ProveAsClient(*stream, this->options.secret);
  return accepted.then([this, stream = kj::mv(stream)](bool aIsAccepted) mutable {
    if (!aIsAccepted) {
      this->openFailure = { Errc::Unauthenticated, PeerFailure::Rejected };
      return;
    }
    this->Adopt(kj::mv(stream));
  });
}

void ChannelCore::Adopt(kj::Own<GuardedStream> aStream)
{
  auto link = kj::refcounted<PeerLink>(kj::mv(aStream), this->options.maxMessageBytes);
  link->lastUse = this->loop.Timer().now();
  ++this->connections;
  // The session drops its reference to the connection when it ends, whichever side closed it.
  std::uint64_t number = link->number = this->connections;
  this->tasks.add(link->WhenDisconnected().then([this, number] {
    if (this->current && this->current->number == number) {
      this->current = nullptr;
    }
  }));
  this->current = kj::mv(link);
}

kj::Promise<void> ChannelCore::Send(const std::shared_ptr<PendingCall>& aCall)
{
  if (!this->current) {
    aCall->Fail(this->openFailure.error, this->openFailure.failure);
    return kj::READY_NOW;
  }
  PeerLink* link = this->current.get();
  aCall->link = kj::addRef(*link);
  ++link->running;
  link->lastUse = this->loop.Timer().now();
  kj::Own<PeerLink> held = kj::addRef(*link);
  return aCall->Send(*link)
    .then([link] { link->missedHeartbeats = 0; })
    .attach(kj::defer([this, link] {
              --link->running;
              link->lastUse = this->loop.Timer().now();
            }),
            kj::mv(held));
}

void ChannelCore::OnTimeout(PendingCall& aCall)
{
  if (!aCall.link) {
    aCall.Fail(Errc::Unreachable, PeerFailure::Silent);
    return;
  }
  aCall.Fail(Errc::OutcomeUnknown, PeerFailure::Silent);
  if (!aCall.isHeartbeat) {
    this->Retire(*aCall.link);
    return;
  }
  if (++aCall.link->missedHeartbeats >= this->options.maxMissedHeartbeats) {
    LogLine(LogLevel::Warning, "peer_connection_silent").Add("peer", ToString(this->endpoint));
    this->Retire(*aCall.link);
    aCall.link->Close();
  }
}

void ChannelCore::OnException(PendingCall& aCall, const kj::Exception& aException)
{
  switch (aException.getType()) {
    case kj::Exception::Type::UNIMPLEMENTED:
      // A peer of an older version does not know the call.
      aCall.Fail(Errc::NotPermitted, PeerFailure::Answered);
      return;
    case kj::Exception::Type::DISCONNECTED:
      aCall.Fail(aCall.link ? Errc::OutcomeUnknown : Errc::Unreachable, PeerFailure::Disconnected);
      break;
    default:
      LogLine(LogLevel::Warning, "peer_call_failed")
        .Add("peer", ToString(this->endpoint))
        .Add("error", aException.getDescription().cStr());
      aCall.Fail(Errc::OutcomeUnknown, PeerFailure::Disconnected);
      break;
  }
  if (aCall.link) {
    this->Retire(*aCall.link);
  }
}

void ChannelCore::Retire(const PeerLink& aLink)
{
  if (this->current.get() == &aLink) {
    this->current = nullptr;
  }
}

void ChannelCore::taskFailed(kj::Exception&& aException)
{
  LogLine(LogLevel::Error, "peer_channel_task_failed")
    .Add("error", aException.getDescription().cStr());
}

} // namespace daisydrift
