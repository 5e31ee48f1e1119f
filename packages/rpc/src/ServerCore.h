#pragma once
// Connections of a PeerServer, on the loop's thread.

#include "GuardedStream.h"
#include "LoopThread.h"
#include "WorkPool.h"
#include "daisydrift/rpc/PeerServer.h"

#include <map>

namespace daisydrift {

class ServerConnection;

/// Accepts connections and passes their calls to the thread pools. All methods run on the loop's
/// thread unless stated otherwise.
class ServerCore final : private kj::TaskSet::ErrorHandler
{
public:
  /// Which threads a call runs on.
  enum class Lane
  {
    /// Calls that never block and are answered until the running calls have ended.
    Heartbeats,
    Calls
  };

  ServerCore(LoopThread& aLoop,
             PeerService& aService,
             const PeerServerOptions& aOptions,
             WorkPool& aHeartbeatPool,
             WorkPool& aCallPool);
  ~ServerCore() noexcept(false);

  /// Starts accepting on a listening socket.
  void Listen(kj::Own<kj::ConnectionReceiver> aReceiver);
  /// Refuses calls of a lane from now on.
  void Refuse(Lane aLane);
  /// Resolves when all replies of ended calls have been handed to the system.
  kj::Promise<void> Flush();
  /// Closes the port and all connections; completions may still come.
  void Close();
  /// Calls not begun yet are answered NotPermitted from now on. Callable from any thread.
  void Abandon() { this->isAbandoned = true; }

  /// Runs aTask on the threads of a lane; resolves to false, without running it, when too many
  /// wait. Decrements aRunning when it has ended, even if the promise is dropped before.
  kj::Promise<bool> Run(Lane aLane,
                        std::function<void()> aTask,
                        const std::shared_ptr<std::size_t>& aRunning);
  /// Error for a new call of a lane, or zero.
  std::error_code Admit(Lane aLane) const;

  PeerService& Service() { return this->service; }
  const PeerServerOptions& Options() const { return this->options; }
  LoopThread& Loop() { return this->loop; }
  ByteCounts& Counts() { return this->counts; }
  bool IsAbandoned() const { return this->isAbandoned; }

private:
  kj::Promise<void> AcceptNext();
  void Serve(kj::Own<kj::AsyncIoStream> aStream);
  kj::Promise<void> WaitForReplies();
  void taskFailed(kj::Exception&& aException) override; // NOLINT(readability-identifier-naming)

  LoopThread& loop;
  PeerService& service;
  const PeerServerOptions& options;
  WorkPool& heartbeatPool;
  WorkPool& callPool;
  ByteCounts counts;
  std::atomic<bool> isAbandoned{ false };
  bool refusesHeartbeats = false;
  bool refusesCalls = false;
  kj::Own<kj::ConnectionReceiver> receiver;
  std::uint64_t nextId = 0;
  std::map<std::uint64_t, ServerConnection*> connections;
  /// Calls that run or wait on the pools. The fulfillers stay on this thread; the pools know their
  /// numbers only.
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<bool>>> completions;
  kj::Own<kj::TaskSet> tasks;
};

} // namespace daisydrift
