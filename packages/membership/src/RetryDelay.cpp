#include "daisydrift/membership/RetryDelay.h"

#include <algorithm>

namespace daisydrift {

RetryDelay::RetryDelay(Duration aInitialBound, Duration aMaxBound, std::uint64_t aSeed)
  : initialBound(aInitialBound)
  , maxBound(aMaxBound)
  , currentBound(aInitialBound)
  , generator(aSeed)
{
  assert(aInitialBound > Duration::zero() && aInitialBound <= aMaxBound);
}

Duration RetryDelay::Next()
{
  Duration delay = this->Jitter(this->currentBound);
  this->currentBound = std::min(this->maxBound, this->currentBound * 2);
  return delay;
}

Duration RetryDelay::Jitter(Duration aBound)
{
  // The modulo operation has a bias of less than one part in 2^40 for bounds of a few seconds.
  auto range = static_cast<std::uint64_t>(aBound.count()) + 1;
  return Duration(static_cast<Duration::rep>(this->generator() % range));
}

} // namespace daisydrift
