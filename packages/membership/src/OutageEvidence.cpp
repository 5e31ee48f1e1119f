#include "daisydrift/membership/OutageEvidence.h"

#include <algorithm>

namespace daisydrift {

void OutageEvidence::SetOtherSeats(std::set<InstanceId> aOthers)
{
  std::erase_if(this->peers, [&](const auto& aItem) { return !aOthers.contains(aItem.first); });
  for (const InstanceId& id : aOthers) {
    this->peers.try_emplace(id);
  }
}

void OutageEvidence::OnLeaseConfirmed(TimePoint aValidUntil)
{
  this->validUntil = std::max(this->validUntil, aValidUntil);
  this->isSuperseded = false;
}

void OutageEvidence::OnHeartbeatResult(const InstanceId& aPeer,
                                       HeartbeatResult aResult,
                                       TimePoint aSentAt)
{
  auto found = this->peers.find(aPeer);
  if (found == this->peers.end()) {
    return;
  }
  if (aResult == HeartbeatResult::SuccessorKnown) {
    // A result from before the end of the confirmed lease is about an earlier lease.
    this->isSuperseded = this->isSuperseded || aSentAt > this->validUntil;
    return;
  }
  Peer& peer = found->second;
  if (aResult == HeartbeatResult::ConnectionRefused) {
    // No successor exists before the lease has ended, so the time without contact counts from then.
    TimePoint base = std::max(peer.lastContact, this->validUntil);
    if (aSentAt > base + kMaxEvidenceAge) {
      return;
    }
  }
  peer.lastContact = std::max(peer.lastContact, aSentAt);
  if (aResult != HeartbeatResult::StoreReachable) {
    peer.lastSupport = std::max(peer.lastSupport, aSentAt);
  }
}

bool OutageEvidence::CanContinue(TimePoint aNow) const
{
  if (this->isSuperseded) {
    return false;
  }
  auto supports = std::count_if(this->peers.begin(), this->peers.end(), [&](const auto& aItem) {
    return aItem.second.lastSupport + kMaxEvidenceAge > aNow;
  });
  return static_cast<std::size_t>(supports) >= ContinuationQuorum(this->peers.size());
}

} // namespace daisydrift
