#pragma once
// Connections of a PeerServer, on the event loop's thread.

#include "EventLoopThread.h"
#include "ThreadPool.h"
#include "TimeLimitedStream.h"
#include "daisydrift/rpc/PeerServer.h"

#include <map>

namespace daisydrift {

class ServerConnection;

/// Accepts connections and passes their calls to the thread pools. All methods run on the event
/// loop's thread unless stated otherwise.
class PeerServerImpl final : private kj::TaskSet::ErrorHandler
{
public:
  /// Thread pool that a call runs on.
  enum class PoolKind
  {
    /// Calls that never block and are answered until the other running calls have finished.
    Heartbeats,
    Calls
  };

  PeerServerImpl(EventLoopThread& aLoop,
                 PeerService& aService,
                 const PeerServerOptions& aOptions,
                 ThreadPool& aHeartbeatPool,
                 ThreadPool& aCallPool);
  ~PeerServerImpl() noexcept(false);

  /// Starts accepting connections from a listening socket.
  void Listen(kj::Own<kj::ConnectionReceiver> aReceiver);
  /// Rejects further calls of a pool.
  void RejectNewCalls(PoolKind aPoolKind);
  /// Resolves when all replies of finished calls have been written to the sockets.
  kj::Promise<void> Flush();
  /// Closes the port and all connections; tasks on the pools may still finish afterwards.
  void Close();
  /// Rejects calls that have not started yet with NotPermitted. Callable from any thread.
  void RejectQueuedCalls() { this->rejectsQueuedCalls = true; }

  /// Runs aTask on a thread of a pool; resolves to false, without running it, when too many tasks
  /// wait. Decrements aPendingCalls when the task has finished, even if the promise is dropped
  /// before.
  kj::Promise<bool> Run(PoolKind aPoolKind,
                        std::function<void()> aTask,
                        const std::shared_ptr<std::size_t>& aPendingCalls);
  /// Error for a new call on a pool, or zero when the call is accepted.
  std::error_code Admit(PoolKind aPoolKind) const;

  PeerService& Service() { return this->service; }
  const PeerServerOptions& Options() const { return this->options; }
  EventLoopThread& Loop() { return this->loop; }
  ByteCounts& Counts() { return this->counts; }
  bool RejectsQueuedCalls() const { return this->rejectsQueuedCalls; }

private:
  kj::Promise<void> AcceptNext();
  void Serve(kj::Own<kj::AsyncIoStream> aStream);
  kj::Promise<void> WaitForReplies();
  void taskFailed(kj::Exception&& aException) override; // NOLINT(readability-identifier-naming)

  EventLoopThread& loop;
  PeerService& service;
  const PeerServerOptions& options;
  ThreadPool& heartbeatPool;
  ThreadPool& callPool;
  ByteCounts counts;
  std::atomic<bool> rejectsQueuedCalls{ false };
  bool rejectsHeartbeats = false;
  bool rejectsCalls = false;
  kj::Own<kj::ConnectionReceiver> receiver;
  std::uint64_t nextId = 0;
  std::map<std::uint64_t, ServerConnection*> connections;
  /// Fulfillers of the calls that run or wait on the pools, by call ID. They stay on this thread;
  /// the pools hold only the IDs.
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<bool>>> fulfillers;
  kj::Own<kj::TaskSet> tasks;
};

} // namespace daisydrift
