#include "daisydrift/http/EventLoop.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <utility>

namespace daisydrift {

struct AsioLoop::State
{
  struct SignalHandler
  {
    SignalHandler(asio::io_context& aContext, int aSignal, std::function<void()> aHandler)
      : signals(aContext, aSignal)
      , handler(std::move(aHandler))
    {
    }
    asio::signal_set signals;
    std::function<void()> handler;
  };

  asio::io_context context{ 1 };
  std::deque<SignalHandler> signals;
};

namespace {

void WaitForSignal(asio::signal_set& aSignals, const std::function<void()>& aHandler)
{
  aSignals.async_wait([&aSignals, &aHandler](std::error_code aError, int) {
    if (!aError) {
      aHandler();
      WaitForSignal(aSignals, aHandler);
    }
  });
}

} // namespace

AsioLoop::AsioLoop()
  : state(std::make_unique<State>())
{
}

AsioLoop::~AsioLoop() = default;

TimePoint AsioLoop::Now() const
{
  // Unlike std::chrono::steady_clock, CLOCK_BOOTTIME also advances while the machine is suspended,
  // as the leases that other machines keep for this process do.
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                        std::chrono::nanoseconds(time.tv_nsec)));
}

WallTime AsioLoop::WallClockNow() const
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

void AsioLoop::After(Duration aDelay, std::function<void()> aAction)
{
  auto timer = std::make_unique<asio::steady_timer>(this->state->context, aDelay);
  asio::steady_timer& pendingTimer = *timer;
  pendingTimer.async_wait(
    [timer = std::move(timer), action = std::move(aAction)](std::error_code aError) {
      if (!aError) {
        action();
      }
    });
}

void AsioLoop::OnSignal(int aSignal, std::function<void()> aHandler)
{
  auto& signalHandler =
    this->state->signals.emplace_back(this->state->context, aSignal, std::move(aHandler));
  WaitForSignal(signalHandler.signals, signalHandler.handler);
}

void AsioLoop::Run()
{
  auto guard = asio::make_work_guard(this->state->context);
  this->state->context.run();
}

void AsioLoop::Stop()
{
  this->state->context.stop();
}

asio::io_context& AsioLoop::Context()
{
  return this->state->context;
}

} // namespace daisydrift
