#pragma once
// Thread pool with a bounded queue, for blocking calls.

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace daisydrift {

/// Runs tasks on a fixed number of threads, in order of arrival.
class ThreadPool
{
public:
  /// aMaxQueuedTasks is the maximum number of tasks that wait for a thread.
  ThreadPool(std::size_t aThreads, std::size_t aMaxQueuedTasks);
  ~ThreadPool();

  /// Queues a task; returns false, without running it, when the queue is full or the pool stops.
  bool Add(std::function<void()> aTask);
  /// Waits until no task runs or waits; returns false when some still do at aDeadline.
  bool WaitIdle(std::chrono::steady_clock::time_point aDeadline);
  /// Runs the queued tasks, then ends the threads.
  void Join();

private:
  void RunTasks();

  const std::size_t maxQueuedTasks;
  std::mutex mutex;
  std::condition_variable taskAvailable;
  std::condition_variable becameIdle;
  std::deque<std::function<void()>> queuedTasks;
  std::size_t runningTasks = 0;
  bool isStopping = false;
  std::vector<std::thread> threads;
};

} // namespace daisydrift
