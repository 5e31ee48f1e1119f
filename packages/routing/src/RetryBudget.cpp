#include "daisydrift/routing/RetryBudget.h"

#include <algorithm>

namespace daisydrift {

namespace {

/// Tolerates rounding errors when fractions such as 0.1 add up to a whole token.
constexpr double kWholeToken = 1.0 - 1e-9;
/// Most doublings of the delay; more would exceed every useful maximum.
constexpr unsigned kMaxDoublings = 30;

} // namespace

RetryBudget::RetryBudget(double aTokenRatio, double aMaxTokens, double aInitialTokens)
  : tokenRatio(aTokenRatio)
  , maxTokens(aMaxTokens)
  , tokens(aInitialTokens)
{
}

void RetryBudget::OnRequest()
{
  this->tokens = std::min(this->maxTokens, this->tokens + this->tokenRatio);
}

bool RetryBudget::TryAcquire()
{
  if (this->tokens < kWholeToken) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

Backoff::Backoff(Duration aInitialDelay, Duration aMaxDelay, std::uint64_t aSeed)
  : initialDelay(aInitialDelay)
  , maxDelay(aMaxDelay)
  , generator(aSeed)
{
}

Duration Backoff::Delay(unsigned aAttempt)
{
  unsigned doublings = std::min(aAttempt > 0 ? aAttempt - 1 : 0, kMaxDoublings);
  Duration limit = std::min(this->maxDelay, this->initialDelay * (std::int64_t{ 1 } << doublings));
  std::uint64_t range = static_cast<std::uint64_t>(limit.count()) + 1;
  return Duration(static_cast<std::int64_t>(this->generator() % range));
}

} // namespace daisydrift
