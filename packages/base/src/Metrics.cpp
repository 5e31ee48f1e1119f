#include "daisydrift/base/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <sstream>

namespace daisydrift {

namespace acc = boost::accumulators;

namespace {

constexpr std::array<double, 5> kQuantileProbabilities = { 0.25, 0.5, 0.75, 0.99, 0.999 };

using Accumulator = acc::accumulator_set<
  double,
  acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square_quantile>>;

std::chrono::microseconds ToMicroseconds(double aValue)
{
  return std::chrono::microseconds(static_cast<std::int64_t>(aValue));
}

/// The metric name without labels, as used in TYPE comments.
std::string BaseName(const std::string& aName)
{
  return aName.substr(0, aName.find('{'));
}

/// Returns aName with aSuffix appended to its base name and aLabel added to its labels.
std::string AddSuffixAndLabel(const std::string& aName,
                              const std::string& aSuffix,
                              const std::string& aLabel)
{
  auto brace = aName.find('{');
  std::string labels =
    brace == std::string::npos ? "" : aName.substr(brace + 1, aName.size() - brace - 2);
  if (!aLabel.empty()) {
    labels += labels.empty() ? aLabel : "," + aLabel;
  }
  return aName.substr(0, brace) + aSuffix + (labels.empty() ? "" : "{" + labels + "}");
}

void WriteTypeComment(std::ostream& aOut,
                      std::string& aLastTypeName,
                      const std::string& aName,
                      const char* aType)
{
  std::string base = BaseName(aName);
  if (base != aLastTypeName) {
    aOut << "# TYPE " << base << ' ' << aType << '\n';
    aLastTypeName = base;
  }
}

} // namespace

struct Metrics::DurationAccumulator
{
  Accumulator set{ acc::extended_p_square_probabilities = kQuantileProbabilities };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& aName, std::uint64_t aAmount)
{
  std::lock_guard lock(this->mutex);
  this->counters[aName] += aAmount;
}

void Metrics::Set(const std::string& aName, double aValue)
{
  std::lock_guard lock(this->mutex);
  this->gauges[aName] = aValue;
}

void Metrics::Observe(const std::string& aName, std::chrono::microseconds aValue)
{
  std::lock_guard lock(this->mutex);
  auto& accumulator = this->durations[aName];
  if (!accumulator) {
    accumulator = std::make_unique<DurationAccumulator>();
  }
  accumulator->set(static_cast<double>(aValue.count()));
}

std::uint64_t Metrics::CounterValue(const std::string& aName) const
{
  std::lock_guard lock(this->mutex);
  auto found = this->counters.find(aName);
  return found == this->counters.end() ? 0 : found->second;
}

DurationSummary Metrics::Summary(const std::string& aName) const
{
  std::lock_guard lock(this->mutex);
  auto found = this->durations.find(aName);
  if (found == this->durations.end()) {
    return {};
  }
  const Accumulator& set = found->second->set;
  DurationSummary summary;
  summary.count = acc::count(set);
  summary.mean = ToMicroseconds(acc::mean(set));
  summary.median = ToMicroseconds(acc::quantile(set, acc::quantile_probability = 0.5));
  summary.p99 = ToMicroseconds(acc::quantile(set, acc::quantile_probability = 0.99));
  summary.maximum = ToMicroseconds(acc::max(set));
  return summary;
}

std::string Metrics::ToPrometheusText() const
{
  std::ostringstream out;
  std::string lastTypeName;
  std::vector<std::string> durationNames;
  {
    std::lock_guard lock(this->mutex);
    for (const auto& [name, value] : this->counters) {
      WriteTypeComment(out, lastTypeName, name, "counter");
      out << name << ' ' << value << '\n';
    }
    for (const auto& [name, value] : this->gauges) {
      WriteTypeComment(out, lastTypeName, name, "gauge");
      out << name << ' ' << value << '\n';
    }
    for (const auto& [name, accumulator] : this->durations) {
      durationNames.push_back(name);
    }
  }
  for (const std::string& name : durationNames) {
    DurationSummary summary = this->Summary(name);
    auto seconds = [](std::chrono::microseconds aValue) {
      return std::chrono::duration<double>(aValue).count();
    };
    WriteTypeComment(out, lastTypeName, name, "summary");
    out << AddSuffixAndLabel(name, "", "quantile=\"0.5\"") << ' ' << seconds(summary.median)
        << '\n';
    out << AddSuffixAndLabel(name, "", "quantile=\"0.99\"") << ' ' << seconds(summary.p99) << '\n';
    out << AddSuffixAndLabel(name, "_sum", "") << ' '
        << seconds(summary.mean) * static_cast<double>(summary.count) << '\n';
    out << AddSuffixAndLabel(name, "_count", "") << ' ' << summary.count << '\n';
  }
  return out.str();
}

} // namespace daisydrift
