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

/// Equal on all machines, and different for each refusal of a request.
std::uint64_t HashOf(const std::string& aText, std::uint64_t aSeed)
{
  constexpr std::uint64_t kPrime = 0x100000001b3;
  std::uint64_t hash = 0xcbf29ce484222325 ^ (aSeed * kPrime);
  for (unsigned char character : aText) {
    hash = (hash ^ character) * kPrime;
  }
  constexpr unsigned kFold = 32;
  return (hash ^ (hash >> kFold)) * kPrime;
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
  auto attempt =
    static_cast<std::uint64_t>(std::chrono::floor<seconds>(aNow.time_since_epoch()).count());
  // Delays from half of the longest on: shorter ones would fill the first second after the outage.
  std::int64_t shortest = std::max<std::int64_t>(longest.count() / 2, 1);
  auto count = static_cast<std::uint64_t>(longest.count() - shortest + 1);
  constexpr unsigned kHighBits = 33;
  return seconds(shortest +
                 static_cast<std::int64_t>((HashOf(aRequest, attempt) >> kHighBits) % count));
}

} // namespace daisydrift
