#include "daisydrift/membership/PredecessorStopDetector.h"

#include <algorithm>

namespace daisydrift {

PredecessorStopDetector::PredecessorStopDetector(std::size_t aOthers, TimePoint aClaimedAt)
  : quorum(SuccessionQuorum(aOthers))
  , claimedAt(aClaimedAt)
{
}

void PredecessorStopDetector::OnAcknowledgement(const InstanceId& aPeer,
                                                TimePoint aSentAt,
                                                TimePoint aReceivedAt)
{
  auto [found, isNew] =
    this->acknowledgements.try_emplace(aPeer, Acknowledgement{ aReceivedAt, aSentAt });
  Acknowledgement& acknowledgement = found->second;
  acknowledgement.aliveUntil = std::max(acknowledgement.aliveUntil, aSentAt);
  if (isNew || this->stoppedAt) {
    return;
  }
  // kSuccessionWait begins when the last peer of a quorum has acknowledged, and each peer of the
  // quorum must have responded after its end.
  for (const auto& [peer, candidate] : this->acknowledgements) {
    TimePoint begin = candidate.firstAcknowledgedAt;
    auto count = std::count_if(
      this->acknowledgements.begin(), this->acknowledgements.end(), [&](const auto& aItem) {
        return aItem.second.firstAcknowledgedAt <= begin &&
               aItem.second.aliveUntil >= begin + kSuccessionWait;
      });
    if (static_cast<std::size_t>(count) >= this->quorum) {
      this->stoppedAt = aReceivedAt;
    }
  }
}

void PredecessorStopDetector::OnStopProved(TimePoint aNow)
{
  if (!this->stoppedAt) {
    this->stoppedAt = aNow;
  }
}

std::optional<TimePoint> PredecessorStopDetector::StoppedAt(TimePoint aNow) const
{
  if (!this->stoppedAt && this->quorum == 0 && aNow >= this->claimedAt + kSuccessionWait) {
    return this->claimedAt + kSuccessionWait;
  }
  return this->stoppedAt;
}

} // namespace daisydrift
