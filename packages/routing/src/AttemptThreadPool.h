#pragma once
// Threads for tries that their caller may have to leave behind. Internal to the package.

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace daisydrift {

/// Starts a thread when none is idle, up to a bound, and keeps it for later tasks.
class AttemptThreadPool
{
public:
  explicit AttemptThreadPool(std::size_t aMaxThreads);
  /// Waits for all tasks.
  ~AttemptThreadPool();
  AttemptThreadPool(const AttemptThreadPool&) = delete;
  AttemptThreadPool& operator=(const AttemptThreadPool&) = delete;

  /// Runs a task on a thread; returns false, without running it, when all threads are busy.
  bool TryRun(std::function<void()> aTask);

private:
  void RunWorker();

  std::size_t maxThreads;
  std::mutex mutex;
  std::condition_variable workAvailable;
  std::deque<std::function<void()>> tasks;
  /// Threads that wait for a task and have none assigned.
  std::size_t idleThreads = 0;
  bool isStopping = false;
  std::vector<std::thread> threads;
};

} // namespace daisydrift
