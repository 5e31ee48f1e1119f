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
class TryThreads
{
public:
  explicit TryThreads(std::size_t aBound);
  /// Waits for all tasks.
  ~TryThreads();
  TryThreads(const TryThreads&) = delete;
  TryThreads& operator=(const TryThreads&) = delete;

  /// Runs a task on a thread; returns false, without running it, when all threads are busy.
  bool TryRun(std::function<void()> aTask);

private:
  void Work();

  std::size_t bound;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> tasks;
  /// Threads that wait for a task and have none assigned.
  std::size_t idle = 0;
  bool isStopping = false;
  std::vector<std::thread> threads;
};

} // namespace daisydrift
