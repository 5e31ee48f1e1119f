#include "daisydrift/base/Clock.h"

#include <cassert>

namespace daisydrift {

TimePoint SteadyClock::Now() const
{
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

void ManualClock::Advance(Duration aStep)
{
  assert(aStep >= Duration::zero());
  this->now += aStep;
}

} // namespace daisydrift
