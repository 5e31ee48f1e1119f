#pragma once
// How long an outage is likely to last, and which requests are worth keeping until its end.

#include "daisydrift/dispatch/DispatchTypes.h"

#include <deque>

namespace daisydrift {

/// Estimates the end of the present outage of something that requests need, from its age and from
/// the earlier outages of this process. Load addressed: a store that is unresponsive for some
/// seconds, in which requests are refused that could be served within their callers' time.
///
/// Without earlier outages, one that has lasted for some time is as likely as not to last for as
/// long again. Each earlier outage that lasted longer than the present one has so far counts as
/// much as this rule.
class OutageEstimator
{
public:
  /// Notes the result of a call at aNow.
  void SetAvailable(bool aIsAvailable, TimePoint aNow);
  bool IsAvailable() const { return this->isAvailable; }
  /// Time since the last successful call before the outage; 0 without an outage.
  Duration Age(TimePoint aNow) const;
  /// Probability, from 0 to 1, that the outage has ended aTime from aNow; 1 without an outage.
  double ChanceOfEndWithin(Duration aTime, TimePoint aNow) const;

private:
  bool isAvailable = true;
  /// Time of the last successful call; empty before the first one.
  std::optional<TimePoint> lastSuccess;
  TimePoint since;
  /// Durations of the earlier outages, latest last.
  std::deque<Duration> earlier;
};

/// Decides which requests wait for the end of an outage. A request that waits and is refused in the
/// end is worse off than one that is refused at once, so it waits only while it is more likely than
/// not to be served within its caller's time.
class HoldPolicy
{
public:
  /// Least time that must be left of a caller's time to store its job: a store that is slow but
  /// works responds within 280 ms.
  static constexpr std::chrono::milliseconds kTimeToStore{ 300 };
  /// Bounds on what one instance holds. Each held request also keeps its connection and body, of up
  /// to 262,144 bytes; the smallest instances have 160 MB.
  static constexpr std::size_t kMaxHeld = 64;
  static constexpr std::size_t kMaxHeldBytes = 1048576;

  /// Requests that are held already.
  struct Held
  {
    std::size_t count = 0;
    std::size_t bytes = 0;
  };

  /// True if another request of aBytes fits.
  static bool HasRoom(const Held& aHeld, std::size_t aBytes);
  /// True if a request is to wait whose caller waits for aTimeLeft, with aAhead requests before it.
  static bool IsWorthWaiting(const OutageEstimator& aOutage,
                             Duration aTimeLeft,
                             std::size_t aAhead,
                             std::size_t aInstances,
                             TimePoint aNow);
  /// Time between two held requests that one of aInstances sends after an outage. Together they use
  /// the rate of writes that the store can take besides its usual load.
  static Duration ReleaseInterval(std::size_t aInstances);
};

} // namespace daisydrift
