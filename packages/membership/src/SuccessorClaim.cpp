#include "daisydrift/membership/SuccessorClaim.h"

#include <algorithm>

namespace daisydrift {

SuccessorClaim::SuccessorClaim(std::size_t aOthers, TimePoint aClaimedAt)
  : needed(SuccessionCount(aOthers))
  , claimedAt(aClaimedAt)
{
}

void SuccessorClaim::OnAcknowledgement(const InstanceId& aPeer,
                                       TimePoint aSentAt,
                                       TimePoint aReceivedAt)
{
  auto [found, isNew] =
    this->acknowledgements.try_emplace(aPeer, Acknowledgement{ aReceivedAt, aSentAt });
  Acknowledgement& acknowledgement = found->second;
  acknowledgement.lastAlive = std::max(acknowledgement.lastAlive, aSentAt);
  if (isNew || this->stoppedAt) {
    return;
  }
  // The wait begins when the last of the seats needed has acknowledged, and each of them must have
  // answered after its end.
  for (const auto& [peer, candidate] : this->acknowledgements) {
    TimePoint begin = candidate.first;
    auto count = std::count_if(
      this->acknowledgements.begin(), this->acknowledgements.end(), [&](const auto& aItem) {
        return aItem.second.first <= begin && aItem.second.lastAlive >= begin + kSuccessionWait;
      });
    if (static_cast<std::size_t>(count) >= this->needed) {
      this->stoppedAt = aReceivedAt;
    }
  }
}

void SuccessorClaim::OnProof(TimePoint aNow)
{
  if (!this->stoppedAt) {
    this->stoppedAt = aNow;
  }
}

std::optional<TimePoint> SuccessorClaim::StoppedAt(TimePoint aNow) const
{
  if (!this->stoppedAt && this->needed == 0 && aNow >= this->claimedAt + kSuccessionWait) {
    return this->claimedAt + kSuccessionWait;
  }
  return this->stoppedAt;
}

} // namespace daisydrift
