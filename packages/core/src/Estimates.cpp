#include "Estimates.h"

#include <algorithm>
#include <cmath>

namespace daisydrift::core {

namespace {

/// Weight of a new observation; the mean covers about the last eight.
constexpr double kSampleWeight = 1.0 / 8;
/// Fraction of its distance to the mean by which the highest value decays with each observation.
constexpr double kHighestDecay = 1.0 / 64;
/// Mean deviations added to the mean to cover nearly all attempts, as in retransmission timers.
constexpr double kSizeDeviations = 4.0;
constexpr double kRunTimeDeviations = 2.0;
/// Number of attempts observed before the estimate replaces the declared value.
constexpr std::uint32_t kMinSamples = 4;
/// Number of usage reports that an attempt needs for its peak to count, because usage lags.
constexpr std::uint32_t kMinUsageReports = 1;
/// Lower bounds of a corrected size.
constexpr std::int64_t kMinMilliCores = 50;
constexpr std::int64_t kMinMemoryMiB = 64;
/// Headroom above the estimate for growth between two usage reports.
constexpr double kSizeHeadroomFactor = 1.1;

std::int64_t CorrectedAmount(const ExponentialAverage& aAverage,
                             std::int64_t aDeclared,
                             std::int64_t aSmallest)
{
  if (aAverage.samples < kMinSamples) {
    return aDeclared;
  }
  auto size = static_cast<std::int64_t>(std::ceil(
    std::min(aAverage.UpperBound(kSizeDeviations), aAverage.highest) * kSizeHeadroomFactor));
  return std::max(size, aSmallest);
}

} // namespace

void ExponentialAverage::Add(double aValue)
{
  ++this->samples;
  if (this->samples == 1) {
    this->mean = aValue;
    this->deviation = aValue / 2;
    this->highest = aValue;
    return;
  }
  this->deviation += kSampleWeight * (std::abs(aValue - this->mean) - this->deviation);
  this->mean += kSampleWeight * (aValue - this->mean);
  this->highest = std::max(aValue, this->highest - kHighestDecay * (this->highest - this->mean));
}

void Estimates::RecordAttempt(Estimate& aEstimate,
                              const Attempt& aAttempt,
                              bool aHasSucceeded,
                              TimePoint aNow)
{
  if (aAttempt.usageReports >= kMinUsageReports) {
    aEstimate.milliCores.Add(static_cast<double>(aAttempt.peakUsage.milliCores));
    aEstimate.memoryMiB.Add(static_cast<double>(aAttempt.peakUsage.memoryMiB));
  }
  if (aHasSucceeded) {
    aEstimate.runSeconds.Add(std::chrono::duration<double>(aNow - aAttempt.assignedAt).count());
  }
}

Resources Estimates::CorrectSize(const Estimate& aEstimate, const Resources& aDeclared)
{
  std::int64_t cores = CorrectedAmount(aEstimate.milliCores, aDeclared.milliCores, kMinMilliCores);
  return { std::min(cores, aDeclared.milliCores),
           CorrectedAmount(aEstimate.memoryMiB, aDeclared.memoryMiB, kMinMemoryMiB),
           aDeclared.accelerators };
}

std::optional<Duration> Estimates::ExpectedRunTime(const Estimate& aEstimate, const JobSpec& aSpec)
{
  if (aEstimate.runSeconds.samples >= kMinSamples) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aEstimate.runSeconds.UpperBound(kRunTimeDeviations)));
  }
  if (aSpec.declaredRunTime > Duration::zero()) {
    return aSpec.declaredRunTime;
  }
  return std::nullopt;
}

} // namespace daisydrift::core
