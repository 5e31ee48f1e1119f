#pragma once
// The RPC event loop of a process.

#include <memory>

namespace daisydrift {

class EventLoopThread;

/// Runs the Cap'n Proto event loop on one thread. The server and all channels of a process share
/// it, because a few tens of calls per second need far less than one CPU core.
class RpcLoop
{
public:
  RpcLoop();
  /// Must not run on the event loop's thread. Servers and channels hold a reference, so the loop
  /// outlives them.
  ~RpcLoop();
  RpcLoop(const RpcLoop&) = delete;
  RpcLoop& operator=(const RpcLoop&) = delete;

  /// Internal to the package.
  EventLoopThread& Thread() { return *this->thread; }

private:
  std::unique_ptr<EventLoopThread> thread;
};

} // namespace daisydrift
