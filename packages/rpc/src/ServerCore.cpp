#include "ServerCore.h"

#include "ServerConnection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace daisydrift {

namespace {

/// Pause after a failed accept, which is mostly a lack of file descriptors.
constexpr kj::Duration kAcceptRetryDelay = 100 * kj::MILLISECONDS;
/// Interval at which a stopping server looks whether its replies have been sent.
constexpr kj::Duration kFlushInterval = 2 * kj::MILLISECONDS;

} // namespace

ServerCore::ServerCore(LoopThread& aLoop,
                       PeerService& aService,
                       const PeerServerOptions& aOptions,
                       WorkPool& aHeartbeatPool,
                       WorkPool& aCallPool)
  : loop(aLoop)
  , service(aService)
  , options(aOptions)
  , heartbeatPool(aHeartbeatPool)
  , callPool(aCallPool)
  , tasks(kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler&>(*this)))
{
}

ServerCore::~ServerCore() noexcept(false) = default;

void ServerCore::Listen(kj::Own<kj::ConnectionReceiver> aReceiver)
{
  this->receiver = kj::mv(aReceiver);
  this->tasks->add(this->AcceptNext());
}

kj::Promise<void> ServerCore::AcceptNext()
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

void ServerCore::Serve(kj::Own<kj::AsyncIoStream> aStream)
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

void ServerCore::Refuse(Lane aLane)
{
  (aLane == Lane::Heartbeats ? this->refusesHeartbeats : this->refusesCalls) = true;
}

std::error_code ServerCore::Admit(Lane aLane) const
{
  bool isRefused = aLane == Lane::Heartbeats ? this->refusesHeartbeats : this->refusesCalls;
  return isRefused ? make_error_code(Errc::NotPermitted) : std::error_code();
}

kj::Promise<bool> ServerCore::Run(Lane aLane,
                                  std::function<void()> aTask,
                                  const std::shared_ptr<std::size_t>& aRunning)
{
  WorkPool& pool = aLane == Lane::Heartbeats ? this->heartbeatPool : this->callPool;
  std::uint64_t id = ++this->nextId;
  auto complete = [this, id, aRunning] {
    --*aRunning;
    auto found = this->completions.find(id);
    found->second->fulfill(true);
    this->completions.erase(found);
  };
  auto pair = kj::newPromiseAndFulfiller<bool>();
  this->completions[id] = kj::mv(pair.fulfiller);
  if (!pool.Add([this, task = std::move(aTask), complete] {
        task();
        this->loop.Post(complete);
      })) {
    this->completions.erase(id);
    --*aRunning;
    return false;
  }
  return kj::mv(pair.promise);
}

kj::Promise<void> ServerCore::Flush()
{
  // Replies of ended calls are queued by continuations that are due; this runs after them.
  return kj::evalLast([] {}).then([this] { return this->WaitForReplies(); });
}

kj::Promise<void> ServerCore::WaitForReplies()
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

void ServerCore::Close()
{
  this->tasks = nullptr;
  this->receiver = nullptr;
}

void ServerCore::taskFailed(kj::Exception&& aException)
{
  LogLine(LogLevel::Info, "peer_connection_failed")
    .Add("error", aException.getDescription().cStr());
}

} // namespace daisydrift
