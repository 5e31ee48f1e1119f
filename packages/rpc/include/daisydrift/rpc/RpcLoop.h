#pragma once
// The RPC thread of a process.

#include <memory>

namespace daisydrift {

class LoopThread;

/// Runs the Cap'n Proto event loop on one thread. One is enough for a process: its server and all
/// its channels share it, because a few tens of calls a second cost far less than a core.
class RpcLoop
{
public:
  RpcLoop();
  /// Must not run on the RPC thread. Servers and channels hold a reference, so the loop ends after
  /// them.
  ~RpcLoop();
  RpcLoop(const RpcLoop&) = delete;
  RpcLoop& operator=(const RpcLoop&) = delete;

  /// For the package's own use.
  LoopThread& Thread() { return *this->thread; }

private:
  std::unique_ptr<LoopThread> thread;
};

} // namespace daisydrift
