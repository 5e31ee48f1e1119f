#pragma once
// When callers whose requests were refused are to return.

#include "daisydrift/dispatch/DispatchTypes.h"

namespace daisydrift {

/// Chooses the time after which a caller repeats a refused request. Answers the wave of callers
/// that returns after an outage: all who were refused come back at once if they are told the same
/// time, and keep coming back together.
///
/// The longer an outage has lasted, the longer it is likely to last, so the delays grow with its
/// age and are spread over the seconds from 1 to the longest. A caller returns within its own
/// patience: the schedule tells nobody to come back when it no longer waits.
class ReturnSchedule
{
public:
  /// Notes whether requests are served at aNow.
  void SetServing(bool aIsServing, TimePoint aNow);
  /// Age of the outage; 0 while requests are served.
  Duration OutageAge(TimePoint aNow) const;
  /// Delay for the request aRequest, which is refused at aNow and whose caller waits for aPatience
  /// for a response.
  std::chrono::seconds DelayFor(const std::string& aRequest,
                                Duration aPatience,
                                TimePoint aNow) const;

private:
  bool isServing = true;
  TimePoint outageSince;
};

} // namespace daisydrift
