#pragma once
// Token bucket that takes the current time as a parameter.

#include "daisydrift/base.h"

namespace daisydrift::core {

/// Token bucket whose burst is a tenth of a second of its rate, and at least one token.
class RateLimiter
{
public:
  /// Sets the rate in tokens per second and empties the bucket at aNow.
  void Reset(double aRate, TimePoint aNow);
  /// Adds the tokens for the time since the last call.
  void Advance(TimePoint aNow);
  /// True if a token is available.
  bool HasToken() const { return this->tokens >= 1.0; }
  /// Takes a token. The bucket may become negative, because a gang starts as a whole; it is then
  /// refilled before further tokens are available.
  void TakeToken();

private:
  double rate = 0;
  double tokens = 0;
  TimePoint lastAdvance;
};

} // namespace daisydrift::core
