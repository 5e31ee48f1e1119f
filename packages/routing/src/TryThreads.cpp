#include "TryThreads.h"

#include <utility>

namespace daisydrift {

TryThreads::TryThreads(std::size_t aBound)
  : bound(aBound)
{
}

TryThreads::~TryThreads()
{
  {
    std::lock_guard lock(this->mutex);
    this->isStopping = true;
  }
  this->changed.notify_all();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

bool TryThreads::TryRun(std::function<void()> aTask)
{
  std::lock_guard lock(this->mutex);
  if (this->idle > 0) {
    --this->idle;
  } else if (this->threads.size() < this->bound) {
    this->threads.emplace_back([this] { this->Work(); });
  } else {
    return false;
  }
  this->tasks.push_back(std::move(aTask));
  this->changed.notify_one();
  return true;
}

void TryThreads::Work()
{
  std::unique_lock lock(this->mutex);
  while (true) {
    this->changed.wait(lock, [this] { return this->isStopping || !this->tasks.empty(); });
    if (this->tasks.empty()) {
      return;
    }
    std::function<void()> task = std::move(this->tasks.front());
    this->tasks.pop_front();
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
    ++this->idle;
  }
}

} // namespace daisydrift
