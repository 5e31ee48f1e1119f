#include "StragglerRule.h"

#include <algorithm>

namespace daisydrift::dispatch {

namespace {
using std::chrono::milliseconds;

/// Time until a run that is decided now begins: the write of its record and the start command.
constexpr milliseconds kStartTime{ 200 };
/// A second run must save at least a third of the time left, since projections are rough.
constexpr double kMinGain = 1.5;
/// Progress is reported in whole percents with each poll, so a projection from less is too rough.
constexpr milliseconds kMinObservationTime{ 200 };
constexpr int kMinProjectedPercent = 10;
/// A run is judged by its progress after this fraction of its expected time.
constexpr double kMinObservedShare = 0.25;
/// A run without any progress is slow after this many times its expected time.
constexpr double kSlowFactor = 1.5;
/// Time without progress after which a run stalls: half of its expected time, within these bounds.
/// The upper one is below the default stallTimeout, at which a run is stopped.
constexpr double kStallShare = 0.5;
constexpr milliseconds kMinStall{ 300 };
constexpr milliseconds kMaxStall{ 1500 };
/// Time after which a worker whose poll has failed is silent; one lost poll is followed by an
/// answered one sooner.
constexpr milliseconds kMinSilence{ 500 };
/// Runs of siblings that are needed for a typical run time.
constexpr std::size_t kMinSiblings = 3;

Duration Scale(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}
} // namespace

std::string_view NameOf(StragglerCause aCause)
{
  switch (aCause) {
    case StragglerCause::None:
      return "none";
    case StragglerCause::Slow:
      return "slow";
    case StragglerCause::Stalled:
      return "stalled";
    case StragglerCause::Draining:
      return "draining";
    case StragglerCause::Silent:
      return "silent";
  }
  return "";
}

Duration StragglerRule::TimeLeft(const RunObservation& aRun)
{
  bool isObserved =
    aRun.elapsed >= kMinObservationTime && aRun.elapsed >= Scale(aRun.expected, kMinObservedShare);
  if (aRun.percent > 0 && isObserved) {
    // The percentage is rounded down, so the run may be one percent further.
    return Scale(aRun.elapsed, static_cast<double>(100 - aRun.percent) / (aRun.percent + 1));
  }
  if (aRun.elapsed > Scale(aRun.expected, kSlowFactor)) {
    return aRun.elapsed; // It has shown nothing but that it takes long.
  }
  return std::max(aRun.expected - aRun.elapsed, Duration(0));
}

StragglerCause StragglerRule::Judge(const RunObservation& aRun)
{
  if (aRun.isSilent) {
    return aRun.silentFor >= kMinSilence ? StragglerCause::Silent : StragglerCause::None;
  }
  if (aRun.expected <= Duration(0)) {
    return StragglerCause::None;
  }
  double shareElsewhere = aRun.canCheckpoint ? (100 - std::min(aRun.percent, 100)) / 100.0 : 1;
  Duration elsewhere = kStartTime + Scale(aRun.expected, shareElsewhere);
  Duration left = TimeLeft(aRun);
  if (aRun.isDraining && left > aRun.remaining && left > kStartTime) {
    return StragglerCause::Draining;
  }
  Duration stall = std::clamp<Duration>(Scale(aRun.expected, kStallShare), kMinStall, kMaxStall);
  if (aRun.percent > 0 && aRun.percent < 100 && aRun.sinceProgress > stall) {
    return StragglerCause::Stalled;
  }
  return left > Scale(elsewhere, kMinGain) ? StragglerCause::Slow : StragglerCause::None;
}

Duration StragglerRule::TypicalOf(std::vector<Duration> aRunTimes)
{
  if (aRunTimes.size() < kMinSiblings) {
    return Duration(0);
  }
  auto middle = aRunTimes.begin() + static_cast<std::ptrdiff_t>(aRunTimes.size() / 2);
  std::nth_element(aRunTimes.begin(), middle, aRunTimes.end());
  return *middle;
}

Duration StragglerRule::Project(Duration aElapsed, int aPercent)
{
  bool isEarly = aElapsed < kMinObservationTime || aPercent < kMinProjectedPercent;
  return isEarly ? Duration(0) : aElapsed * 100 / aPercent;
}

} // namespace daisydrift::dispatch
