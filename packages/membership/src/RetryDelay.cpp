#include "daisydrift/membership/RetryDelay.h"

#include <algorithm>

namespace daisydrift {

RetryDelay::RetryDelay(Duration aFirst, Duration aMaximum, std::uint64_t aSeed)
  : first(aFirst)
  , maximum(aMaximum)
  , bound(aFirst)
  , generator(aSeed)
{
  assert(aFirst > Duration::zero() && aFirst <= aMaximum);
}

Duration RetryDelay::Next()
{
  Duration delay = this->Jitter(this->bound);
  this->bound = std::min(this->maximum, this->bound * 2);
  return delay;
}

Duration RetryDelay::Jitter(Duration aBound)
{
  // The modulo operation has a bias of less than one part in 2^40 for bounds of a few seconds.
  auto range = static_cast<std::uint64_t>(aBound.count()) + 1;
  return Duration(static_cast<Duration::rep>(this->generator() % range));
}

} // namespace daisydrift
