#pragma once
// Delays between retries.

#include "daisydrift/base.h"

#include <random>

namespace daisydrift {

/// When the store returns, clients resume spread over this time, so that it sees no burst (design
/// page, section 2.6).
constexpr std::chrono::seconds kStoreReturnJitter{ 5 };

/// Exponential delay with full jitter: each delay is uniform between zero and a bound that doubles
/// with each failure up to a maximum. Deterministic for a seed.
class RetryDelay
{
public:
  RetryDelay(Duration aFirst, Duration aMaximum, std::uint64_t aSeed);

  /// Delay before the next attempt, after one more failure.
  Duration Next();
  /// The last attempt succeeded: the bound starts again.
  void Reset() { this->bound = this->first; }
  /// A delay uniform between zero and aBound, whatever the failures so far.
  Duration Jitter(Duration aBound);

private:
  Duration first;
  Duration maximum;
  Duration bound;
  std::mt19937_64 generator;
};

} // namespace daisydrift
