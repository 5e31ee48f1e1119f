#pragma once
// Threads for attempts that may outlast the call that started them. Internal to the package.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace daisydrift {

/// Thread pool that starts a thread when none is idle, up to a limit, and keeps it for later tasks.
class AttemptThreadPool
{
public:
  explicit AttemptThreadPool(std::size_t aMaxThreads);
  /// Waits for all tasks.
  ~AttemptThreadPool();
  AttemptThreadPool(const AttemptThreadPool&) = delete;
  AttemptThreadPool& operator=(const AttemptThreadPool&) = delete;

  /// Runs a task on a pool thread; returns false, without running it, when all threads are busy.
  bool TryRun(std::function<void()> aTask);

private:
  void RunWorker();

  std::size_t maxThreads;
  std::mutex mutex;
  std::condition_variable workAvailable;
  std::deque<std::function<void()>> tasks;
  /// Idle threads that no queued task is reserved for.
  std::size_t idleThreads = 0;
  bool isStopping = false;
  std::vector<std::thread> threads;
};

} // namespace daisydrift
