#include "daisydrift/routing/Hedge.h"

#include <algorithm>

namespace daisydrift {

namespace {

/// Latencies kept: enough for a stable 95th percentile, few enough to follow a change of load.
constexpr std::size_t kRecentLatencies = 256;
/// Answers between two computations of the percentile, which is also the number needed at first.
constexpr std::size_t kUpdateInterval = 32;
/// A shorter delay than this is spent on waking a thread.
constexpr Duration kMinDelay = std::chrono::milliseconds(1);

} // namespace

Hedge::Hedge(double aShare, double aReserve)
  : isOn(aShare > 0)
  , budget(aShare, aReserve, 0)
{
  this->latencies.reserve(kRecentLatencies);
}

void Hedge::OnRequest()
{
  this->budget.OnRequest();
}

void Hedge::OnLatency(Duration aLatency)
{
  if (this->latencies.size() < kRecentLatencies) {
    this->latencies.push_back(aLatency);
  } else {
    this->latencies[this->next] = aLatency;
    this->next = (this->next + 1) % kRecentLatencies;
  }
  if (++this->sinceUpdate < kUpdateInterval) {
    return;
  }
  this->sinceUpdate = 0;
  std::vector<Duration> sorted = this->latencies;
  auto position = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * 95 / 100);
  std::nth_element(sorted.begin(), position, sorted.end());
  this->p95 = *position;
}

std::optional<Duration> Hedge::Delay() const
{
  if (!this->isOn || !this->p95) {
    return std::nullopt;
  }
  return std::max(*this->p95, kMinDelay);
}

} // namespace daisydrift
