#pragma once
// Token bucket that limits extra attempts to a fraction of the requests, and the delay before a
// retry.

#include "daisydrift/base.h"

#include <random>

namespace daisydrift {

/// Token bucket: each request adds a fraction of a token, each extra attempt takes one. There are
/// thus at most aTokenRatio * requests + aInitialTokens extra attempts.
class RetryBudget
{
public:
  /// aTokenRatio: tokens added by a request. aMaxTokens: capacity of the bucket. aInitialTokens:
  /// tokens at the start.
  RetryBudget(double aTokenRatio, double aMaxTokens, double aInitialTokens);

  /// Adds the tokens of one request.
  void OnRequest();
  /// Takes a token; returns false when there is no whole one.
  bool TryAcquire();

private:
  double tokenRatio;
  double maxTokens;
  double tokens;
};

/// Exponential backoff with full jitter from a seeded generator.
class Backoff
{
public:
  Backoff(Duration aInitialDelay, Duration aMaxDelay, std::uint64_t aSeed);

  /// Delay between attempt aAttempt, counted from 1, and the next one: uniform between 0 and
  /// aInitialDelay * 2^(aAttempt - 1), at most aMaxDelay.
  Duration Delay(unsigned aAttempt);

private:
  Duration initialDelay;
  Duration maxDelay;
  std::mt19937_64 generator;
};

} // namespace daisydrift
