#include "WorkPool.h"

namespace daisydrift {

WorkPool::WorkPool(std::size_t aThreads, std::size_t aMaxWaiting)
  : maxWaiting(aMaxWaiting)
{
  for (std::size_t i = 0; i < aThreads; ++i) {
    this->threads.emplace_back([this] { this->Work(); });
  }
}

WorkPool::~WorkPool()
{
  this->Join();
}

bool WorkPool::Add(std::function<void()> aTask)
{
  std::lock_guard lock(this->mutex);
  // A task that an idle thread is about to take still counts as waiting, so the bound is on the
  // sum.
  std::size_t limit = this->threads.size() + this->maxWaiting;
  if (this->isStopping || this->running + this->waiting.size() >= limit) {
    return false;
  }
  this->waiting.push_back(std::move(aTask));
  this->available.notify_one();
  return true;
}

bool WorkPool::WaitIdle(std::chrono::steady_clock::time_point aEnd)
{
  std::unique_lock lock(this->mutex);
  return this->becameIdle.wait_until(
    lock, aEnd, [this] { return this->waiting.empty() && this->running == 0; });
}

void WorkPool::Join()
{
  {
    std::lock_guard lock(this->mutex);
    this->isStopping = true;
    this->available.notify_all();
  }
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void WorkPool::Work()
{
  std::unique_lock lock(this->mutex);
  for (;;) {
    this->available.wait(lock, [this] { return this->isStopping || !this->waiting.empty(); });
    if (this->waiting.empty()) {
      return;
    }
    std::function<void()> task = std::move(this->waiting.front());
    this->waiting.pop_front();
    ++this->running;
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
    --this->running;
    if (this->running == 0 && this->waiting.empty()) {
      this->becameIdle.notify_all();
    }
  }
}

} // namespace daisydrift
