#pragma once
// Decides when a repeatable request is sent a second time while the first attempt still runs.

#include "daisydrift/base.h"
#include "daisydrift/routing/RetryBudget.h"

#include <optional>
#include <vector>

namespace daisydrift {

/// Tracks the recent latencies of one service and limits its hedged attempts by a budget.
class HedgingPolicy
{
public:
  /// aTokenRatio: hedged attempts allowed for each request, 0 to turn hedging off. aMaxTokens: most
  /// hedged attempts that can be saved up.
  HedgingPolicy(double aTokenRatio, double aMaxTokens);

  /// Adds the request's share of a token to the budget.
  void OnRequest();
  /// Records the latency of an attempt that got a response.
  void OnLatency(Duration aLatency);
  /// 95th percentile of the recent latencies; none until enough samples were recorded.
  std::optional<Duration> P95() const { return this->p95; }
  /// Time after which a hedged attempt may be sent; none while hedging is off or the 95th
  /// percentile is unknown.
  std::optional<Duration> Delay() const;
  /// Takes a hedged attempt from the budget; returns false when the budget is used up.
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
