#pragma once
// Bounded pool of threads for blocking calls.

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace daisydrift {

/// Runs tasks on a fixed number of threads, in order of arrival.
class WorkPool
{
public:
  /// aMaxWaiting is the number of tasks that may wait for a thread.
  WorkPool(std::size_t aThreads, std::size_t aMaxWaiting);
  ~WorkPool();

  /// Adds a task; returns false, without running it, when too many wait.
  bool Add(std::function<void()> aTask);
  /// Waits until no task runs or waits; returns false when some still do at aEnd.
  bool WaitIdle(std::chrono::steady_clock::time_point aEnd);
  /// Runs the waiting tasks and ends the threads.
  void Join();

private:
  void Work();

  const std::size_t maxWaiting;
  std::mutex mutex;
  std::condition_variable available;
  std::condition_variable becameIdle;
  std::deque<std::function<void()>> waiting;
  std::size_t running = 0;
  bool isStopping = false;
  std::vector<std::thread> threads;
};

} // namespace daisydrift
