#pragma once
// Pending wake-ups of tasks and workers.

#include "Entities.h"

namespace daisydrift::core {

/// What to do when a timer expires.
struct Timer
{
  /// Task whose delay is over; job 0 when the timer concerns a worker.
  TaskId task;
  Position worker = kNoPosition;
};

/// Timers in order of expiry; ties in order of creation.
class Timers
{
public:
  /// Adds a timer.
  void Add(TimePoint aAt, const Timer& aTimer)
  {
    this->timers.emplace(std::pair(aAt, this->nextSequence++), aTimer);
  }
  /// Takes the next timer that has expired by aNow.
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
