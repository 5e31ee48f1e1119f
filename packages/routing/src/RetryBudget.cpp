#include "daisydrift/routing/RetryBudget.h"

#include <algorithm>

namespace daisydrift {

namespace {

/// Allows for rounding when fractions such as 0.1 are added up to a whole token.
constexpr double kWholeToken = 1.0 - 1e-9;
/// More doublings than this exceed every useful maximum.
constexpr unsigned kMaxDoublings = 30;

} // namespace

RetryBudget::RetryBudget(double aShare, double aReserve, double aInitial)
  : share(aShare)
  , reserve(aReserve)
  , tokens(aInitial)
{
}

void RetryBudget::OnRequest()
{
  this->tokens = std::min(this->reserve, this->tokens + this->share);
}

bool RetryBudget::TrySpend()
{
  if (this->tokens < kWholeToken) {
    return false;
  }
  this->tokens -= 1.0;
  return true;
}

Backoff::Backoff(Duration aFirst, Duration aMaximum, std::uint64_t aSeed)
  : first(aFirst)
  , maximum(aMaximum)
  , generator(aSeed)
{
}

Duration Backoff::Delay(unsigned aTry)
{
  unsigned doublings = std::min(aTry > 0 ? aTry - 1 : 0, kMaxDoublings);
  Duration limit = std::min(this->maximum, this->first * (std::int64_t{ 1 } << doublings));
  std::uint64_t range = static_cast<std::uint64_t>(limit.count()) + 1;
  return Duration(static_cast<std::int64_t>(this->generator() % range));
}

} // namespace daisydrift
