#include "PeerServerImpl.h"

#include "ServerConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace daisydrift {

namespace {

/// Delay after a failed accept, which is usually caused by a lack of file descriptors.
constexpr kj::Duration kAcceptRetryDelay = 100 * kj::MILLISECONDS;
/// Interval at which a stopping server checks whether its replies have been sent.
constexpr kj::Duration kFlushInterval = 2 * kj::MILLISECONDS;

} // namespace

PeerServerImpl::PeerServerImpl(EventLoopThread& aLoop,
                               PeerService& aService,
                               const PeerServerOptions& aOptions,
                               ThreadPool& aHeartbeatPool,
                               ThreadPool& aCallPool)
  : loop(aLoop)
  , service(aService)
  , options(aOptions)
  , heartbeatPool(aHeartbeatPool)
  , callPool(aCallPool)
  , tasks(kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this)))
{
}

PeerServerImpl::~PeerServerImpl() noexcept(false) = default;

void PeerServerImpl::Listen(kj::Own<kj::ConnectionReceiver> aReceiver)
{
  this->receiver = kj::mv(aReceiver);
  this->tasks->add(this->AcceptNext());
}

kj::Promise<void> PeerServerImpl::AcceptNext()
{
  return this->receiver->accept()
    .then(
      [this](kj::Own<kj::AsyncIoStream> aStream) -> kj::Promise<void> {
        this->Serve(kj::mv(aStream));
        return kj::READY_NOW;
      },
      [this](kj::Exception&& aException) -> kj::Promise<void> {
        LogLine(LogLevel::Warning, "peer_accept_failed")
          .Add("error", aException.getDescription().cStr());
        return this->loop.Timer().afterDelay(kAcceptRetryDelay);
      })
    .then([this] { return this->AcceptNext(); });
}

void PeerServerImpl::Serve(kj::Own<kj::AsyncIoStream> aStream)
{
  if (this->connections.size() >= this->options.maxConnections) {
    LogLine(LogLevel::Warning, "peer_connection_refused")
      .Add("reason", "too many connections")
      .Add("connections", this->connections.size());
    return;
  }
  int one = 1;
  aStream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  auto connection = kj::heap<ServerConnection>(*this, kj::mv(aStream));
  std::uint64_t id = ++this->nextId;
  this->connections[id] = connection.get();
  kj::Promise<void> running = kj::evalNow([&] { return connection->Run(); });
  this->tasks->add(
    running.attach(kj::defer([this, id] { this->connections.erase(id); }), kj::mv(connection)));
}

void PeerServerImpl::RejectNewCalls(PoolKind aPoolKind)
{
  (aPoolKind == PoolKind::Heartbeats ? this->rejectsHeartbeats : this->rejectsCalls) = true;
}

std::error_code PeerServerImpl::Admit(PoolKind aPoolKind) const
{
  bool isRejected =
    aPoolKind == PoolKind::Heartbeats ? this->rejectsHeartbeats : this->rejectsCalls;
  return isRejected ? make_error_code(Errc::NotPermitted) : std::error_code();
}

kj::Promise<bool> PeerServerImpl::Run(PoolKind aPoolKind,
                                      std::function<void()> aTask,
                                      const std::shared_ptr<std::size_t>& aPendingCalls)
{
  ThreadPool& pool = aPoolKind == PoolKind::Heartbeats ? this->heartbeatPool : this->callPool;
  std::uint64_t id = ++this->nextId;
  auto complete = [this, id, aPendingCalls] {
    --*aPendingCalls;
    auto found = this->fulfillers.find(id);
    found->second->fulfill(true);
    this->fulfillers.erase(found);
  };
  auto pair = kj::newPromiseAndFulfiller<bool>();
  this->fulfillers[id] = kj::mv(pair.fulfiller);
  if (!pool.Add([this, task = std::move(aTask), complete] {
        task();
        this->loop.Post(complete);
      })) {
    this->fulfillers.erase(id);
    --*aPendingCalls;
    return false;
  }
  return kj::mv(pair.promise);
}

kj::Promise<void> PeerServerImpl::Flush()
{
  // Continuations that are already scheduled queue the replies of finished calls; evalLast runs
  // after them.
  return kj::evalLast([] {}).then([this] { return this->WaitForReplies(); });
}

kj::Promise<void> PeerServerImpl::WaitForReplies()
{
  for (const auto& [id, connection] : this->connections) {
    if (connection->HasQueuedReplies()) {
      return this->loop.Timer().afterDelay(kFlushInterval).then([this] {
        return this->WaitForReplies();
      });
    }
  }
  return kj::READY_NOW;
}

void PeerServerImpl::Close()
{
  this->tasks = nullptr;
  this->receiver = nullptr;
}

void PeerServerImpl::taskFailed(kj::Exception&& aException)
{
  LogLine(LogLevel::Info, "peer_connection_failed")
    .Add("error", aException.getDescription().cStr());
}

} // namespace daisydrift
