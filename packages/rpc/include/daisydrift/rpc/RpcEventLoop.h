#pragma once
// The RPC event loop of a process.

#include <memory>

namespace daisydrift {

class EventLoopThread;

/// Runs the Cap'n Proto event loop on one thread. The server and all channels of a process share
/// it, because a few tens of calls per second need far less than one CPU core.
class RpcEventLoop
{
public:
  RpcEventLoop();
  /// Must not run on the event loop's thread. Servers and channels hold a reference, so the loop
  /// outlives them.
  ~RpcEventLoop();
  RpcEventLoop(const RpcEventLoop&) = delete;
  RpcEventLoop& operator=(const RpcEventLoop&) = delete;

  /// Internal to the package.
  EventLoopThread& Thread() { return *this->thread; }

private:
  std::unique_ptr<EventLoopThread> thread;
};

} // namespace daisydrift
