#include "daisydrift/dispatch/OutageEstimator.h"

#include <algorithm>

namespace daisydrift {

namespace {
/// Added to the age of an outage: the first call that shows it ends after a timeout of 500 ms, and
/// of younger outages no duration is known.
constexpr std::chrono::milliseconds kMinAge{ 500 };
/// Earlier outages that are considered.
constexpr std::size_t kMaxEarlier = 16;
/// Held requests that all instances together store in a second. The store takes several hundred
/// writes a second.
constexpr std::int64_t kReleasesPerSecond = 400;
} // namespace

void OutageEstimator::SetAvailable(bool aIsAvailable, TimePoint aNow)
{
  if (!aIsAvailable && this->isAvailable) {
    this->since = this->lastSuccess.value_or(aNow);
  }
  if (aIsAvailable && !this->isAvailable) {
    this->earlier.push_back(this->Age(aNow));
    if (this->earlier.size() > kMaxEarlier) {
      this->earlier.pop_front();
    }
  }
  this->isAvailable = aIsAvailable;
  if (aIsAvailable) {
    this->lastSuccess = aNow;
  }
}

Duration OutageEstimator::Age(TimePoint aNow) const
{
  return this->isAvailable ? Duration(0) : std::max(aNow - this->since, Duration(0));
}

double OutageEstimator::ChanceOfEndWithin(Duration aTime, TimePoint aNow) const
{
  if (this->isAvailable) {
    return 1;
  }
  if (aTime <= Duration(0)) {
    return 0;
  }
  Duration age = this->Age(aNow);
  std::chrono::duration<double> time(aTime);
  double chance = time / (time + age + kMinAge);
  int longer = 0;
  for (Duration duration : this->earlier) {
    if (duration > age) {
      ++longer;
      chance += duration <= age + aTime ? 1 : 0;
    }
  }
  return chance / (1 + longer);
}

bool HoldPolicy::HasRoom(const Held& aHeld, std::size_t aBytes)
{
  return aHeld.count < kMaxHeld && aBytes <= kMaxHeldBytes - std::min(aHeld.bytes, kMaxHeldBytes);
}

bool HoldPolicy::IsWorthWaiting(const OutageEstimator& aOutage,
                                Duration aTimeLeft,
                                std::size_t aAhead,
                                std::size_t aInstances,
                                TimePoint aNow)
{
  constexpr double kLeastChance = 0.5;
  Duration wait = aTimeLeft - kTimeToStore -
                  static_cast<std::int64_t>(aAhead) * HoldPolicy::ReleaseInterval(aInstances);
  return wait > Duration(0) && aOutage.ChanceOfEndWithin(wait, aNow) > kLeastChance;
}

Duration HoldPolicy::ReleaseInterval(std::size_t aInstances)
{
  return Duration(std::chrono::seconds(1)) *
         static_cast<std::int64_t>(std::max<std::size_t>(aInstances, 1)) / kReleasesPerSecond;
}

} // namespace daisydrift
