#include "daisydrift/dispatch/ReturnSchedule.h"

#include <algorithm>

namespace daisydrift {

namespace {
/// Bounds on the longest delay. Callers that are refused in the first moment of an outage are
/// already spread over some seconds, since most outages last that long.
constexpr std::chrono::seconds kLeastSpread{ 3 };
constexpr std::chrono::seconds kMostSpread{ 10 };
/// Longest delay as a multiple of the age of the outage: with less, those who were refused last
/// come back together with those who were refused before.
constexpr int kSpreadFactor = 2;

/// Equal on all machines, and different for each refusal of a request. All bits depend on each
/// character: with the plain FNV hash, callers with similar ids returned together.
std::uint64_t HashOf(const std::string& aText, std::uint64_t aSeed)
{
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = 0xcbf29ce484222325;
  for (unsigned char character : aText) {
    hash = (hash ^ character) * kPrime;
  }
  // The finalizer of SplitMix64.
  hash += 0x9e3779b97f4a7c15 * aSeed;
  hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111eb;
  return hash ^ (hash >> 31U);
}
} // namespace

void ReturnSchedule::SetServing(bool aIsServing, TimePoint aNow)
{
  if (this->isServing && !aIsServing) {
    this->outageSince = aNow;
  }
  this->isServing = aIsServing;
}

Duration ReturnSchedule::OutageAge(TimePoint aNow) const
{
  return this->isServing ? Duration(0) : std::max(aNow - this->outageSince, Duration(0));
}

std::chrono::seconds ReturnSchedule::DelayFor(const std::string& aRequest,
                                              Duration aPatience,
                                              TimePoint aNow) const
{
  using std::chrono::seconds;
  auto age = std::chrono::floor<seconds>(this->OutageAge(aNow));
  auto patience = std::max(std::chrono::floor<seconds>(aPatience), seconds(1));
  seconds longest = std::min(std::clamp(age * kSpreadFactor, kLeastSpread, kMostSpread), patience);
  // A caller that is refused again gets another place.
  auto attempt = static_cast<std::uint64_t>(
    std::chrono::floor<std::chrono::milliseconds>(aNow.time_since_epoch()).count());
  std::uint64_t hash = HashOf(aRequest, attempt);
  // Two places of the same probability, and a number below 8 that says how often the later one
  // counts: callers that may wait for one or two seconds would else fill the first second after
  // the outage, by 2% too many.
  constexpr std::uint64_t kPlaceMask = 0xffff;
  auto count = static_cast<std::uint64_t>(longest.count());
  std::uint64_t place = (hash & kPlaceMask) % count;
  std::uint64_t other = ((hash >> 16U) & kPlaceMask) % count;
  bool isLater = ((hash >> 32U) & 7U) < (count == 2 ? 4U : 1U);
  return seconds(1 + static_cast<std::int64_t>(isLater ? std::max(place, other) : place));
}

} // namespace daisydrift
