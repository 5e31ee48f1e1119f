#include "RateLimiter.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Seconds of the rate that may be saved up: a few decision rounds at 40 a second.
constexpr double kBurstSeconds = 0.1;

} // namespace

void RateLimiter::Reset(double aRate, TimePoint aNow)
{
  this->rate = aRate;
  this->tokens = 0;
  this->last = aNow;
}

void RateLimiter::Advance(TimePoint aNow)
{
  if (aNow <= this->last) {
    return;
  }
  double seconds = std::chrono::duration<double>(aNow - this->last).count();
  this->last = aNow;
  double most = std::max(1.0, this->rate * kBurstSeconds);
  this->tokens = std::min(most, this->tokens + seconds * this->rate);
}

void RateLimiter::Take()
{
  this->tokens -= 1.0;
}

} // namespace daisydrift::core
