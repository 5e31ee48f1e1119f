#pragma once
// Whether this instance reaches the store.

#include "daisydrift/membership/RetryDelay.h"

namespace daisydrift {

/// The store counts as unreachable when it answered no call sent within this time (docs/design.md,
/// section 2.6).
constexpr std::chrono::seconds kReachabilityWindow{ 3 };

/// Derives from the results of store calls whether the store is reachable. Not thread-safe.
class StoreReachability
{
public:
  /// aSeed: seed of the random delay after a recovery of the store.
  explicit StoreReachability(std::uint64_t aSeed);

  /// A call sent at aSentAt ended with aError at aNow. Every response of the store counts, also an
  /// error response: an overloaded store is not an outage.
  void OnCall(std::error_code aError, TimePoint aSentAt, TimePoint aNow);

  /// True when the store answered a call sent within kReachabilityWindow.
  bool IsReachable(TimePoint aNow) const;
  /// True when work that waits for the store may resume: the store is reachable, and a random delay
  /// of at most kStoreRecoveryJitter has passed since its recovery.
  bool CanResume(TimePoint aNow) const;

private:
  TimePoint lastAnswered = TimePoint::min();
  TimePoint resumeAt = TimePoint::min();
  RetryDelay delay;
};

} // namespace daisydrift
