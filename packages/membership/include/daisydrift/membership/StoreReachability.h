#pragma once
// Whether this instance reaches the store.

#include "daisydrift/membership/RetryDelay.h"

namespace daisydrift {

/// The store counts as unreachable when no call sent within this time was answered (design page,
/// section 2.6).
constexpr std::chrono::seconds kReachabilityWindow{ 3 };

/// Watches the outcomes of store calls.
class StoreReachability
{
public:
  /// aSeed: for the delay at the store's return.
  explicit StoreReachability(std::uint64_t aSeed);

  /// A call sent at aSentAt ended with aError at aNow. Every answer of the store counts, also a
  /// refusal: an overloaded store is no outage.
  void OnCall(std::error_code aError, TimePoint aSentAt, TimePoint aNow);

  /// True when the store answered a call sent within kReachabilityWindow.
  bool IsReachable(TimePoint aNow) const;
  /// True when work that waited for the store may go on: it is reachable, and this instance's share
  /// of kStoreReturnJitter since its return has passed.
  bool MayResume(TimePoint aNow) const;

private:
  TimePoint lastAnswered = TimePoint::min();
  TimePoint resumeAt = TimePoint::min();
  RetryDelay delay;
};

} // namespace daisydrift
