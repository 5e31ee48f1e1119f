#include "PeerChannelImpl.h"

#include "Handshake.h"
#include "TcpConnect.h"

#include <algorithm>

namespace daisydrift {

namespace {

kj::Duration ToKj(std::chrono::microseconds aDuration)
{
  return aDuration.count() * kj::MICROSECONDS;
}

} // namespace

PeerChannelImpl::PeerChannelImpl(EventLoopThread& aLoop,
                                 Endpoint aEndpoint,
                                 PeerChannelOptions aOptions)
  : loop(aLoop)
  , endpoint(std::move(aEndpoint))
  , options(std::move(aOptions))
  , tasks(*this)
{
}

PeerChannelImpl::~PeerChannelImpl() noexcept(false) = default;

void PeerChannelImpl::StartCall(const std::shared_ptr<PendingCall>& aCall)
{
  kj::Promise<bool> replied =
    this->EnsureConnected().then([this, aCall] { return this->Send(aCall); }).then([] {
      return true;
    });
  kj::Promise<void> timeout = aCall->silence == aCall->timeout
                                ? this->loop.Timer().afterDelay(ToKj(aCall->timeout))
                                : this->AwaitTimeout(aCall, this->loop.Timer().now());
  kj::Promise<bool> timedOut = timeout.then([] { return false; });
  this->tasks.add(
    replied.exclusiveJoin(kj::mv(timedOut))
      .then(
        [this, aCall](bool aHasReply) {
          if (!aHasReply) {
            this->OnTimeout(*aCall);
          }
        },
        [this, aCall](kj::Exception&& aException) { this->OnException(*aCall, aException); }));
}

kj::Promise<void> PeerChannelImpl::AwaitTimeout(const std::shared_ptr<PendingCall>& aCall,
                                                kj::TimePoint aStart)
{
  kj::TimePoint now = this->loop.Timer().now();
  kj::TimePoint last = aCall->connection ? aCall->connection->LastArrival() : aStart;
  kj::TimePoint deadline =
    std::min(aStart + ToKj(aCall->timeout), std::max(aStart, last) + ToKj(aCall->silence));
  if (now >= deadline) {
    return kj::READY_NOW;
  }
  return this->loop.Timer().atTime(deadline).then(
    [this, aCall, aStart] { return this->AwaitTimeout(aCall, aStart); });
}

bool PeerChannelImpl::IsUsable()
{
  if (!this->current) {
    return false;
  }
  bool isIdle =
    this->current->callsInFlight == 0 &&
    this->loop.Timer().now() - this->current->lastUsed > ToKj(this->options.idleTimeout);
  if (isIdle) {
    this->current = nullptr;
  }
  return !isIdle;
}

kj::Promise<void> PeerChannelImpl::EnsureConnected()
{
  if (this->IsUsable()) {
    return kj::READY_NOW;
  }
  if (!this->isConnecting) {
    this->isConnecting = true;
    this->connectFailure = { Errc::Unreachable, PeerFailure::Unresponsive };
    this->connecting = this->loop.Timer()
                         .timeoutAfter(ToKj(this->options.connectTimeout),
                                       kj::evalNow([this] { return this->Connect(); }))
                         .then([this] { this->isConnecting = false; },
                               [this](kj::Exception&& aException) {
                                 this->isConnecting = false;
                                 if (aException.getType() != kj::Exception::Type::OVERLOADED) {
                                   this->connectFailure.failure = PeerFailure::Disconnected;
                                 }
                                 LogLine(LogLevel::Info, "peer_connect_failed")
                                   .Add("peer", ToString(this->endpoint))
                                   .Add("error", aException.getDescription().cStr());
                               })
                         .fork();
  }
  return this->connecting.addBranch();
}

kj::Promise<void> PeerChannelImpl::Connect()
{
  return TcpConnect(this->loop.Io(), this->endpoint)
    .then([this](ConnectResult aResult) -> kj::Promise<void> {
      if (!aResult.error) {
        return this->Authenticate(kj::mv(aResult.stream));
      }
      bool isRefused = aResult.error == std::errc::connection_refused;
      this->connectFailure.failure =
        isRefused ? PeerFailure::ConnectionRefused : PeerFailure::Disconnected;
      return kj::READY_NOW;
    });
}

kj::Promise<void> PeerChannelImpl::Authenticate(kj::Own<kj::AsyncIoStream> aStream)
{
  StreamTimeouts timeouts{ ToKj(this->options.connectTimeout),
                           ToKj(this->options.silenceTimeout),
                           ToKj(this->options.messageTimeout),
                           nullptr };
  auto stream =
    kj::heap<TimeLimitedStream>(kj::mv(aStream), this->loop.Timer(), timeouts, this->counts);
  kj::Promise<bool> accepted = AuthenticateAsClient(*stream, this->options.secret);
  return accepted.then([this, stream = kj::mv(stream)](bool aIsAccepted) mutable {
    if (!aIsAccepted) {
      this->connectFailure = { Errc::Unauthenticated, PeerFailure::AuthenticationFailed };
      return;
    }
    this->SetCurrentConnection(kj::mv(stream));
  });
}

void PeerChannelImpl::SetCurrentConnection(kj::Own<TimeLimitedStream> aStream)
{
  auto connection =
    kj::refcounted<ClientConnection>(kj::mv(aStream), this->options.maxMessageBytes);
  connection->lastUsed = this->loop.Timer().now();
  ++this->connections;
  // Clears `current` when the connection ends, whichever side closed it, unless a newer connection
  // has replaced it.
  std::uint64_t id = connection->id = this->connections;
  this->tasks.add(connection->WhenDisconnected().then([this, id] {
    if (this->current && this->current->id == id) {
      this->current = nullptr;
    }
  }));
  this->current = kj::mv(connection);
}

kj::Promise<void> PeerChannelImpl::Send(const std::shared_ptr<PendingCall>& aCall)
{
  if (!this->current) {
    aCall->Fail(this->connectFailure.error, this->connectFailure.failure);
    return kj::READY_NOW;
  }
  ClientConnection* connection = this->current.get();
  aCall->connection = kj::addRef(*connection);
  aCall->sentAt = this->loop.Timer().now();
  ++connection->callsInFlight;
  connection->lastUsed = this->loop.Timer().now();
  kj::Own<ClientConnection> keepAlive = kj::addRef(*connection);
  return aCall->Send(*connection)
    .then([connection] { connection->missedHeartbeats = 0; })
    .attach(kj::defer([this, connection] {
              --connection->callsInFlight;
              connection->lastUsed = this->loop.Timer().now();
            }),
            kj::mv(keepAlive));
}

void PeerChannelImpl::OnTimeout(PendingCall& aCall)
{
  if (!aCall.connection) {
    aCall.Fail(Errc::Unreachable, PeerFailure::Unresponsive);
    return;
  }
  aCall.Fail(Errc::OutcomeUnknown, PeerFailure::Unresponsive);
  if (!aCall.isHeartbeat) {
    this->Retire(*aCall.connection);
    return;
  }
  if (aCall.connection->LastArrival() > aCall.sentAt) {
    aCall.connection->missedHeartbeats = 0;
    return;
  }
  if (++aCall.connection->missedHeartbeats >= this->options.maxMissedHeartbeats) {
    LogLine(LogLevel::Warning, "peer_connection_silent").Add("peer", ToString(this->endpoint));
    this->Retire(*aCall.connection);
    aCall.connection->Close();
  }
}

void PeerChannelImpl::OnException(PendingCall& aCall, const kj::Exception& aException)
{
  switch (aException.getType()) {
    case kj::Exception::Type::UNIMPLEMENTED:
      // A peer of an older version does not implement the call.
      aCall.Fail(Errc::NotPermitted, PeerFailure::ErrorReply);
      return;
    case kj::Exception::Type::DISCONNECTED:
      aCall.Fail(aCall.connection ? Errc::OutcomeUnknown : Errc::Unreachable,
                 PeerFailure::Disconnected);
      break;
    default:
      LogLine(LogLevel::Warning, "peer_call_failed")
        .Add("peer", ToString(this->endpoint))
        .Add("error", aException.getDescription().cStr());
      aCall.Fail(Errc::OutcomeUnknown, PeerFailure::Disconnected);
      break;
  }
  if (aCall.connection) {
    this->Retire(*aCall.connection);
  }
}

void PeerChannelImpl::CloseConnection()
{
  if (this->current) {
    this->current->Close();
    this->current = nullptr;
  }
}

void PeerChannelImpl::Retire(const ClientConnection& aConnection)
{
  if (this->current.get() == &aConnection) {
    this->current = nullptr;
  }
}

void PeerChannelImpl::taskFailed(kj::Exception&& aException)
{
  LogLine(LogLevel::Error, "peer_channel_task_failed")
    .Add("error", aException.getDescription().cStr());
}

} // namespace daisydrift
