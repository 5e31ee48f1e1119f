#include "PeerTable.h"

#include <set>

namespace daisydrift {

namespace {

/// A peer whose last heartbeat reply is older, which is two heartbeats, gets no forwarded requests.
constexpr std::chrono::seconds kMaxReplyAgeForForwarding{ 4 };

} // namespace

void PeerTable::SetSeats(const std::vector<SeatRecord>& aSeats, const InstanceId& aSelf)
{
  std::lock_guard lock(this->mutex);
  std::set<InstanceId> listed;
  for (const SeatRecord& seat : aSeats) {
    if (seat.instance == aSelf) {
      continue;
    }
    listed.insert(seat.instance);
    PeerInfo& peer = this->peers[seat.instance];
    peer.seat = seat;
    ParseEndpoint(seat.address, peer.rpc);
  }
  std::erase_if(this->peers, [&](const auto& aItem) { return !listed.contains(aItem.first); });
}

void PeerTable::OnReply(const InstanceId& aPeer, const Heartbeat& aReply, TimePoint aNow)
{
  std::lock_guard lock(this->mutex);
  auto found = this->peers.find(aPeer);
  if (found != this->peers.end()) {
    found->second.lastReply = aReply;
    found->second.lastReplyTime = aNow;
    found->second.isConnectionRefused = false;
  }
}

void PeerTable::OnConnectionRefused(const InstanceId& aPeer)
{
  std::lock_guard lock(this->mutex);
  auto found = this->peers.find(aPeer);
  if (found != this->peers.end()) {
    found->second.isConnectionRefused = true;
  }
}

std::vector<PeerInfo> PeerTable::All() const
{
  std::lock_guard lock(this->mutex);
  std::vector<PeerInfo> list;
  for (const auto& [id, peer] : this->peers) {
    list.push_back(peer);
  }
  return list;
}

std::optional<PeerInfo> PeerTable::FindMostFreeSlots(const std::string& aService,
                                                     TimePoint aNow) const
{
  std::lock_guard lock(this->mutex);
  const PeerInfo* best = nullptr;
  std::uint32_t bestSlots = 0;
  for (const auto& [id, peer] : this->peers) {
    if (!peer.lastReply || peer.isConnectionRefused || peer.lastReply->isStopping ||
        aNow - peer.lastReplyTime > kMaxReplyAgeForForwarding) {
      continue;
    }
    for (const FreeSlots& free : peer.lastReply->freeSlots) {
      if (free.service == aService && free.slots > bestSlots) {
        best = &peer;
        bestSlots = free.slots;
      }
    }
  }
  return best == nullptr ? std::nullopt : std::optional<PeerInfo>(*best);
}

} // namespace daisydrift
