#include "daisydrift/routing/HedgingPolicy.h"

#include <algorithm>

namespace daisydrift {

namespace {

/// Latency samples kept: enough for a stable 95th percentile, few enough to follow a change of
/// load.
constexpr std::size_t kMaxLatencySamples = 256;
/// Samples between two computations of the percentile, and before the first one.
constexpr std::size_t kSamplesPerUpdate = 32;
/// A shorter delay would be lost in the time that waking a thread takes.
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(1);

} // namespace

HedgingPolicy::HedgingPolicy(double aTokenRatio, double aMaxTokens)
  : isEnabled(aTokenRatio > 0)
  , budget(aTokenRatio, aMaxTokens, 0)
{
  this->latencies.reserve(kMaxLatencySamples);
}

void HedgingPolicy::OnRequest()
{
  this->budget.OnRequest();
}

void HedgingPolicy::OnLatency(Duration aLatency)
{
  if (this->latencies.size() < kMaxLatencySamples) {
    this->latencies.push_back(aLatency);
  } else {
    this->latencies[this->nextIndex] = aLatency;
    this->nextIndex = (this->nextIndex + 1) % kMaxLatencySamples;
  }
  if (++this->samplesSinceUpdate < kSamplesPerUpdate) {
    return;
  }
  this->samplesSinceUpdate = 0;
  std::vector<Duration> sorted = this->latencies;
  auto position = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * 95 / 100);
  std::nth_element(sorted.begin(), position, sorted.end());
  this->p95 = *position;
}

std::optional<Duration> HedgingPolicy::Delay() const
{
  if (!this->isEnabled || !this->p95) {
    return std::nullopt;
  }
  return std::max(*this->p95, kMinHedgeDelay);
}

} // namespace daisydrift
