#include "ThreadPool.h"

namespace daisydrift {

ThreadPool::ThreadPool(std::size_t aThreads, std::size_t aMaxQueuedTasks)
  : maxQueuedTasks(aMaxQueuedTasks)
{
  for (std::size_t i = 0; i < aThreads; ++i) {
    this->threads.emplace_back([this] { this->RunTasks(); });
  }
}

ThreadPool::~ThreadPool()
{
  this->Join();
}

bool ThreadPool::Add(std::function<void()> aTask)
{
  std::lock_guard lock(this->mutex);
  // A task that an idle thread is about to take is still in the queue, so the limit applies to the
  // sum of running and queued tasks.
  std::size_t maxTasks = this->threads.size() + this->maxQueuedTasks;
  if (this->isStopping || this->runningTasks + this->queuedTasks.size() >= maxTasks) {
    return false;
  }
  this->queuedTasks.push_back(std::move(aTask));
  this->taskAvailable.notify_one();
  return true;
}

bool ThreadPool::WaitIdle(std::chrono::steady_clock::time_point aDeadline)
{
  std::unique_lock lock(this->mutex);
  return this->becameIdle.wait_until(
    lock, aDeadline, [this] { return this->queuedTasks.empty() && this->runningTasks == 0; });
}

void ThreadPool::Join()
{
  {
    std::lock_guard lock(this->mutex);
    this->isStopping = true;
    this->taskAvailable.notify_all();
  }
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void ThreadPool::RunTasks()
{
  std::unique_lock lock(this->mutex);
  for (;;) {
    this->taskAvailable.wait(lock,
                             [this] { return this->isStopping || !this->queuedTasks.empty(); });
    if (this->queuedTasks.empty()) {
      return;
    }
    std::function<void()> task = std::move(this->queuedTasks.front());
    this->queuedTasks.pop_front();
    ++this->runningTasks;
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
    --this->runningTasks;
    if (this->runningTasks == 0 && this->queuedTasks.empty()) {
      this->becameIdle.notify_all();
    }
  }
}

} // namespace daisydrift
