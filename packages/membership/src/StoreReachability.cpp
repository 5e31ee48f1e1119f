#include "daisydrift/membership/StoreReachability.h"

#include <algorithm>

namespace daisydrift {

StoreReachability::StoreReachability(std::uint64_t aSeed)
  : delay(kStoreRecoveryJitter, kStoreRecoveryJitter, aSeed)
{
}

void StoreReachability::OnCall(std::error_code aError, TimePoint aSentAt, TimePoint aNow)
{
  if (aError == Errc::Unreachable || aError == Errc::OutcomeUnknown) {
    return;
  }
  bool isRecovery = this->lastAnswered != TimePoint::min() && !this->IsReachable(aNow);
  if (isRecovery) {
    this->resumeAt = aNow + this->delay.Jitter(kStoreRecoveryJitter);
  }
  this->lastAnswered = std::max(this->lastAnswered, aSentAt);
}

bool StoreReachability::IsReachable(TimePoint aNow) const
{
  return this->lastAnswered + kReachabilityWindow > aNow;
}

bool StoreReachability::CanResume(TimePoint aNow) const
{
  return this->IsReachable(aNow) && aNow >= this->resumeAt;
}

} // namespace daisydrift
