#pragma once
// An event loop on simulated time.

#include "daisydrift/http.h"

#include <map>

namespace daisydrift {

/// Runs actions by due time, and those due at the same time in the order of their creation.
class VirtualLoop : public EventLoop
{
public:
  TimePoint Now() const override { return this->now; }
  WallTime WallClockNow() const override
  {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(
      this->now.time_since_epoch() + std::chrono::hours(400000) + this->wallClockStep));
  }
  void After(Duration aDelay, std::function<void()> aAction) override
  {
    this->actions.emplace(std::pair(this->now + aDelay, this->nextNumber++), std::move(aAction));
  }
  /// Sets the wall clock forward or back; it is the same for all processes.
  void StepWallClock(Duration aStep) { this->wallClockStep += aStep; }
  /// Lets time pass within an action, as when the process is suspended.
  void Suspend(Duration aTime) { this->now += aTime; }
  /// Runs all actions that are due within aTime.
  void RunFor(Duration aTime)
  {
    TimePoint until = this->now + aTime;
    while (!this->actions.empty() && this->actions.begin()->first.first <= until) {
      auto next = this->actions.begin();
      this->now = std::max(this->now, next->first.first);
      std::function<void()> action = std::move(next->second);
      this->actions.erase(next);
      action();
    }
    this->now = std::max(this->now, until);
  }

private:
  TimePoint now{ std::chrono::hours(1) };
  Duration wallClockStep{ 0 };
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> actions;
  std::uint64_t nextNumber = 0;
};

} // namespace daisydrift
