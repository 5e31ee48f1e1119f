#include "RateLimiter.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Bucket size in seconds of the rate: a few scheduling rounds at 40 per second.
constexpr double kBurstSeconds = 0.1;

} // namespace

void RateLimiter::Reset(double aRate, TimePoint aNow)
{
  this->rate = aRate;
  this->tokens = 0;
  this->lastAdvance = aNow;
}

void RateLimiter::Advance(TimePoint aNow)
{
  if (aNow <= this->lastAdvance) {
    return;
  }
  double seconds = std::chrono::duration<double>(aNow - this->lastAdvance).count();
  this->lastAdvance = aNow;
  double maxTokens = std::max(1.0, this->rate * kBurstSeconds);
  this->tokens = std::min(maxTokens, this->tokens + seconds * this->rate);
}

void RateLimiter::TakeToken()
{
  this->tokens -= 1.0;
}

} // namespace daisydrift::core
