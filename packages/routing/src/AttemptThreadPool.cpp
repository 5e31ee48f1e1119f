#include "AttemptThreadPool.h"

#include <utility>

namespace daisydrift {

AttemptThreadPool::AttemptThreadPool(std::size_t aMaxThreads)
  : maxThreads(aMaxThreads)
{
}

AttemptThreadPool::~AttemptThreadPool()
{
  {
    std::lock_guard lock(this->mutex);
    this->isStopping = true;
  }
  this->workAvailable.notify_all();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

bool AttemptThreadPool::TryRun(std::function<void()> aTask)
{
  std::lock_guard lock(this->mutex);
  if (this->idleThreads > 0) {
    --this->idleThreads;
  } else if (this->threads.size() < this->maxThreads) {
    this->threads.emplace_back([this] { this->RunWorker(); });
  } else {
    return false;
  }
  this->tasks.push_back(std::move(aTask));
  this->workAvailable.notify_one();
  return true;
}

void AttemptThreadPool::RunWorker()
{
  std::unique_lock lock(this->mutex);
  while (true) {
    this->workAvailable.wait(lock, [this] { return this->isStopping || !this->tasks.empty(); });
    if (this->tasks.empty()) {
      return;
    }
    std::function<void()> task = std::move(this->tasks.front());
    this->tasks.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
    ++this->idleThreads;
  }
}

} // namespace daisydrift
