#pragma once
// A token bucket on passed-in time.

#include "daisydrift/base.h"

namespace daisydrift::core {

/// Grants at most a rate of tokens a second, with a burst of a tenth of a second's worth.
class RateLimiter
{
public:
  /// Sets the rate, in tokens a second, and empties the bucket at aNow.
  void Reset(double aRate, TimePoint aNow);
  /// Adds the tokens of the time passed.
  void Advance(TimePoint aNow);
  /// True when a token is left.
  bool HasToken() const { return this->tokens >= 1.0; }
  /// Takes a token. A gang starts whole, so the bucket may be overdrawn and is paid back first.
  void Take();

private:
  double rate = 0;
  double tokens = 0;
  TimePoint last;
};

} // namespace daisydrift::core
