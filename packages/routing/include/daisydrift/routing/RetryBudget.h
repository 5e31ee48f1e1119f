#pragma once
// Token bucket that bounds extra tries to a share of the requests, and the delay before a retry.

#include "daisydrift/base.h"

#include <random>

namespace daisydrift {

/// Each request earns a fraction of a token, each extra try costs one. Extra tries are thus at most
/// share * requests + initial tokens.
class RetryBudget
{
public:
  /// aShare: tokens earned by a request. aMaxTokens: most tokens kept. aInitialTokens: tokens at
  /// the start.
  RetryBudget(double aTokenRatio, double aMaxTokens, double aInitialTokens);

  /// Counts a request.
  void OnRequest();
  /// Takes a token; returns false when there is none.
  bool TryAcquire();

private:
  double tokenRatio;
  double maxTokens;
  double tokens;
};

/// Exponential back-off with full jitter from a seeded generator.
class Backoff
{
public:
  Backoff(Duration aInitialDelay, Duration aMaxDelay, std::uint64_t aSeed);

  /// Delay before try aTry + 1, uniform between 0 and first * 2^(aTry - 1), at most the maximum.
  /// aTry counts from 1.
  Duration Delay(unsigned aAttempt);

private:
  Duration initialDelay;
  Duration maxDelay;
  std::mt19937_64 generator;
};

} // namespace daisydrift
