#pragma once
// When a second, concurrent try of a repeatable request is worth it.

#include "daisydrift/base.h"
#include "daisydrift/routing/RetryBudget.h"

#include <optional>
#include <vector>

namespace daisydrift {

/// Keeps the recent latencies of a service and a budget of hedged tries.
class HedgingPolicy
{
public:
  /// aShare: hedged tries allowed for each request; aMaxTokens: most that can be saved up.
  HedgingPolicy(double aTokenRatio, double aMaxTokens);

  /// Counts a request towards the budget.
  void OnRequest();
  /// Adds the latency of an answered try.
  void OnLatency(Duration aLatency);
  /// 95th percentile of the recent latencies; none while there are too few.
  std::optional<Duration> P95() const { return this->p95; }
  /// Time after which a second try may be sent; none when hedging is off or latencies are unknown.
  std::optional<Duration> Delay() const;
  /// Takes a hedged try from the budget; returns false when there is none left.
  bool TryAcquire() { return this->budget.TryAcquire(); }

private:
  bool isEnabled;
  RetryBudget budget;
  std::vector<Duration> latencies;
  std::size_t nextIndex = 0;
  std::size_t samplesSinceUpdate = 0;
  std::optional<Duration> p95;
};

} // namespace daisydrift
