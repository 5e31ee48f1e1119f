#pragma once
// Monotonic time. Decision code never reads a clock: the current time is passed in, so tests can
// use a virtual clock.

#include <chrono>

namespace daisydrift {

/// Type and resolution of all internal durations.
using Duration = std::chrono::microseconds;

/// Monotonic point in time; only comparable within one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Source of monotonic time.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
};

/// The monotonic clock of the machine (std::chrono::steady_clock).
class SteadyClock : public Clock
{
public:
  TimePoint Now() const override;
};

/// Virtual clock for tests; it advances only by calls to Advance.
class ManualClock : public Clock
{
public:
  TimePoint Now() const override { return this->now; }
  /// Advances the clock by aStep, which must not be negative.
  void Advance(Duration aStep);

private:
  TimePoint now{ std::chrono::hours(1) };
};

} // namespace daisydrift
