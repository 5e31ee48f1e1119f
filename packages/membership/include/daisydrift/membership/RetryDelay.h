#pragma once
// Exponential backoff between retries.

#include "daisydrift/base.h"

#include <random>

namespace daisydrift {

/// When the store recovers, clients resume at random times within this span, so that it gets no
/// burst of requests (docs/design.md, section 2.6).
constexpr std::chrono::seconds kStoreRecoveryJitter{ 5 };

/// Exponential backoff with full jitter: each delay is uniformly distributed between zero and a
/// bound that doubles with each failure up to a maximum. Deterministic for a seed. Not thread-safe.
class RetryDelay
{
public:
  /// aInitialBound: bound of the first delay. aMaxBound: largest bound.
  RetryDelay(Duration aInitialBound, Duration aMaxBound, std::uint64_t aSeed);

  /// Delay before the next attempt, after one more failure.
  Duration Next();
  /// The last attempt succeeded: resets the bound to that of the first delay.
  void Reset() { this->currentBound = this->initialBound; }
  /// A delay uniformly distributed between zero and aBound, independent of the failures so far.
  Duration Jitter(Duration aBound);

private:
  Duration initialBound;
  Duration maxBound;
  Duration currentBound;
  std::mt19937_64 generator;
};

} // namespace daisydrift
