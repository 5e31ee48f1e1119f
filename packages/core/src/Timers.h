#pragma once
// Timers of delayed tasks and paused workers.

#include "Entities.h"

namespace daisydrift::core {

/// Subject of a timer.
struct Timer
{
  /// Task whose delay expires; its job is 0 if the timer is for a worker.
  TaskId task;
  EntityIndex worker = kNoEntity;
};

/// Timers ordered by expiry; equal times in order of creation.
class Timers
{
public:
  /// Adds a timer.
  void Add(TimePoint aAt, const Timer& aTimer)
  {
    this->timers.emplace(std::pair(aAt, this->nextSequence++), aTimer);
  }
  /// Removes and returns the next timer that has expired by aNow, or nothing.
  std::optional<Timer> Pop(TimePoint aNow)
  {
    if (this->timers.empty() || this->timers.begin()->first.first > aNow) {
      return std::nullopt;
    }
    Timer timer = this->timers.begin()->second;
    this->timers.erase(this->timers.begin());
    return timer;
  }

private:
  std::map<std::pair<TimePoint, std::uint64_t>, Timer> timers;
  std::uint64_t nextSequence = 0;
};

} // namespace daisydrift::core
