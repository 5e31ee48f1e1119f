#pragma once
// Process metrics: counters, gauges and duration summaries, exported in the Prometheus text format.

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace daisydrift {

/// Summary of durations: count, mean, maximum and estimated quantiles.
struct DurationSummary
{
  std::uint64_t count = 0;
  std::chrono::microseconds mean{ 0 };
  std::chrono::microseconds median{ 0 };
  std::chrono::microseconds p99{ 0 };
  std::chrono::microseconds maximum{ 0 };
};

/// Named metrics of one process. Thread-safe.
/// A name may include labels in Prometheus notation, such as `requests_total{code="200"}`.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  /// Adds aAmount to a counter.
  void Count(const std::string& aName, std::uint64_t aAmount = 1);
  void Set(const std::string& aName, double aValue);
  /// Adds one duration to a summary.
  void Observe(const std::string& aName, std::chrono::microseconds aValue);

  /// Current value of a counter; 0 when the counter does not exist.
  std::uint64_t CounterValue(const std::string& aName) const;
  /// Summary of the observed durations; all zero when there are none.
  DurationSummary Summary(const std::string& aName) const;
  /// All metrics in the Prometheus text format; durations in seconds.
  std::string ToPrometheusText() const;

private:
  struct DurationAccumulator;

  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, double> gauges;
  std::map<std::string, std::unique_ptr<DurationAccumulator>> durations;
};

} // namespace daisydrift
