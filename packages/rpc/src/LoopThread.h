#pragma once
// Thread that runs the Cap'n Proto event loop.

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace daisydrift {

/// Runs functions handed over by other threads on the event loop's thread. Everything of kj and
/// Cap'n Proto lives and dies on that thread.
class LoopThread
{
public:
  LoopThread();
  ~LoopThread();

  /// Runs aTask on the loop's thread soon; tasks of one thread run in order. Never blocks.
  void Post(std::function<void()> aTask);
  /// Runs aTask on the loop's thread and waits until the promise it returns is resolved. Exceptions
  /// are passed on. Must not be called on the loop's thread.
  void RunSync(const std::function<kj::Promise<void>()>& aTask);
  /// True on the loop's thread.
  bool IsCurrent() const;

  /// Only for use on the loop's thread.
  kj::AsyncIoContext& Io() { return *this->io; }
  /// Only for use on the loop's thread.
  kj::Timer& Timer() { return this->io->provider->getTimer(); }

private:
  void Run();
  /// Takes all waiting tasks and arms `wake` for the next one; returns false when the loop must
  /// end.
  bool TakeTasks(std::vector<std::function<void()>>& aTasks, kj::Promise<void>& aWake);

  std::mutex mutex;
  std::vector<std::function<void()>> tasks;
  /// Set while the loop waits for tasks.
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake;
  bool isStopping = false;
  kj::AsyncIoContext* io = nullptr;
  std::thread thread;
};

} // namespace daisydrift
