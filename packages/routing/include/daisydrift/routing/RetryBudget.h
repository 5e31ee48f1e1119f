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
  /// aShare: tokens earned by a request. aReserve: most tokens kept. aInitial: tokens at the start.
  RetryBudget(double aShare, double aReserve, double aInitial);

  /// Counts a request.
  void OnRequest();
  /// Takes a token; returns false when there is none.
  bool TrySpend();

private:
  double share;
  double reserve;
  double tokens;
};

/// Exponential back-off with full jitter from a seeded generator.
class Backoff
{
public:
  Backoff(Duration aFirst, Duration aMaximum, std::uint64_t aSeed);

  /// Delay before try aTry + 1, uniform between 0 and first * 2^(aTry - 1), at most the maximum.
  /// aTry counts from 1.
  Duration Delay(unsigned aTry);

private:
  Duration first;
  Duration maximum;
  std::mt19937_64 generator;
};

} // namespace daisydrift
