#pragma once
// Thread that runs the Cap'n Proto event loop.

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace daisydrift {

/// Runs functions posted by other threads on the event loop's thread. All objects of kj and Cap'n
/// Proto are created and destroyed on that thread.
class EventLoopThread
{
public:
  EventLoopThread();
  ~EventLoopThread();

  /// Schedules aTask on the event loop's thread; tasks posted by one thread run in order. Does not
  /// wait for the task.
  void Post(std::function<void()> aTask);
  /// Runs aTask on the event loop's thread and waits until the promise it returns is resolved.
  /// Exceptions are rethrown. Must not be called on the event loop's thread.
  void RunSync(const std::function<kj::Promise<void>()>& aTask);
  /// True on the event loop's thread.
  bool IsCurrent() const;

  /// Only for use on the event loop's thread.
  kj::AsyncIoContext& Io() { return *this->io; }
  /// Only for use on the event loop's thread.
  kj::Timer& Timer() { return this->io->provider->getTimer(); }

private:
  void Run();
  /// Takes all queued tasks and creates `wake`, which the next task fulfills; returns false when
  /// the loop must end.
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
