#include "daisydrift/membership/StoreReachability.h"

#include <algorithm>

namespace daisydrift {

StoreReachability::StoreReachability(std::uint64_t aSeed)
  : delay(kStoreReturnJitter, kStoreReturnJitter, aSeed)
{
}

void StoreReachability::OnCall(std::error_code aError, TimePoint aSentAt, TimePoint aNow)
{
  if (aError == Errc::Unreachable || aError == Errc::OutcomeUnknown) {
    return;
  }
  bool isReturn = this->lastAnswered != TimePoint::min() && !this->IsReachable(aNow);
  if (isReturn) {
    this->resumeAt = aNow + this->delay.Jitter(kStoreReturnJitter);
  }
  this->lastAnswered = std::max(this->lastAnswered, aSentAt);
}

bool StoreReachability::IsReachable(TimePoint aNow) const
{
  return this->lastAnswered + kReachabilityWindow > aNow;
}

bool StoreReachability::MayResume(TimePoint aNow) const
{
  return this->IsReachable(aNow) && aNow >= this->resumeAt;
}

} // namespace daisydrift
