#pragma once
// Interface for time and timers of a single-threaded process, and its implementation with Asio.

#include "daisydrift/base.h"

#include <chrono>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace daisydrift {

/// Wall-clock time; it may jump forward or backward.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Clocks and timers. All callbacks run on the single thread of the loop; tests use a loop with
/// virtual time.
class EventLoop
{
public:
  virtual ~EventLoop() = default;
  /// Current monotonic time.
  virtual TimePoint Now() const = 0;
  /// Current wall-clock time, for deadlines that come from outside the process.
  virtual WallTime WallClockNow() const = 0;
  /// Runs aAction once after aDelay. aAction must not be empty.
  virtual void After(Duration aDelay, std::function<void()> aAction) = 0;
};

/// The event loop of a process, based on Asio. Callbacks run on the thread that calls Run. Not
/// thread-safe.
class AsioLoop : public EventLoop
{
public:
  AsioLoop();
  ~AsioLoop() override;

  TimePoint Now() const override;
  WallTime WallClockNow() const override;
  void After(Duration aDelay, std::function<void()> aAction) override;

  /// Calls aHandler on the loop each time the process receives the signal aSignal.
  void OnSignal(int aSignal, std::function<void()> aHandler);
  /// Runs callbacks until Stop is called.
  void Run();
  void Stop();
  /// The Asio context, for use within this package only.
  asio::io_context& Context();

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace daisydrift
