#include "Estimates.h"

#include <algorithm>
#include <cmath>

namespace daisydrift::core {

namespace {

/// Weight of a new observation: about the last eight count.
constexpr double kGain = 1.0 / 8;
/// Part of its distance to the mean by which the highest value decays with each observation.
constexpr double kDecay = 1.0 / 64;
/// Mean deviations added to the mean, as for retransmission timers: covers nearly all attempts.
constexpr double kSizeDeviations = 4.0;
constexpr double kRunTimeDeviations = 2.0;
/// Attempts seen before an estimate replaces the declaration.
constexpr std::uint32_t kMinSamples = 8;
/// Usage reports an attempt must have for its peak to count, because usage lags.
constexpr std::uint32_t kMinReports = 2;
/// Smallest corrected size.
constexpr std::int64_t kMinMilliCores = 50;
constexpr std::int64_t kMinMemoryMiB = 64;
/// Room above the estimate for growth between two lagged reports.
constexpr double kHeadroom = 1.1;

std::int64_t Corrected(const Moment& aMoment, std::int64_t aDeclared, std::int64_t aSmallest)
{
  if (aMoment.samples < kMinSamples) {
    return aDeclared;
  }
  auto size = static_cast<std::int64_t>(
    std::ceil(std::min(aMoment.Upper(kSizeDeviations), aMoment.highest) * kHeadroom));
  return std::max(size, aSmallest);
}

} // namespace

void Moment::Add(double aValue)
{
  ++this->samples;
  if (this->samples == 1) {
    this->mean = aValue;
    this->deviation = aValue / 2;
    this->highest = aValue;
    return;
  }
  this->deviation += kGain * (std::abs(aValue - this->mean) - this->deviation);
  this->mean += kGain * (aValue - this->mean);
  this->highest = std::max(aValue, this->highest - kDecay * (this->highest - this->mean));
}

void Estimates::Learn(Estimate& aEstimate,
                      const Attempt& aAttempt,
                      bool aHasSucceeded,
                      TimePoint aNow)
{
  if (aAttempt.usageReports >= kMinReports) {
    aEstimate.milliCores.Add(static_cast<double>(aAttempt.peakUsage.milliCores));
    aEstimate.memoryMiB.Add(static_cast<double>(aAttempt.peakUsage.memoryMiB));
  }
  if (aHasSucceeded) {
    aEstimate.runSeconds.Add(std::chrono::duration<double>(aNow - aAttempt.assignedAt).count());
  }
}

Resources Estimates::Correct(const Estimate& aEstimate, const Resources& aDeclared)
{
  std::int64_t cores = Corrected(aEstimate.milliCores, aDeclared.milliCores, kMinMilliCores);
  return { std::min(cores, aDeclared.milliCores),
           Corrected(aEstimate.memoryMiB, aDeclared.memoryMiB, kMinMemoryMiB),
           aDeclared.accelerators };
}

std::optional<Duration> Estimates::RunTime(const Estimate& aEstimate, const JobSpec& aSpec)
{
  if (aEstimate.runSeconds.samples >= kMinSamples) {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aEstimate.runSeconds.Upper(kRunTimeDeviations)));
  }
  if (aSpec.declaredRunTime > Duration::zero()) {
    return aSpec.declaredRunTime;
  }
  return std::nullopt;
}

} // namespace daisydrift::core
