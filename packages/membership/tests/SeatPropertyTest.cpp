// A seat is never usable by two holders, and not by a new holder within 30 s of the last use by its
// predecessor unless that one released it. Checked over generated sequences of store outages, cut
// links, pauses, delayed responses, restarts and clean releases of instances that follow the
// protocol.

#include "daisydrift/membership.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <random>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

/// One entry instance; a restart replaces it by one with a new identity.
struct Node
{
  /// Index of the node, a dot, and the number of the start, such as "3.12".
  InstanceId name;
  std::unique_ptr<SeatHolder> seat;
  SupporterState supporterState;
  StoreReachability reachability{ 1 };
  bool isPaused = false;
  bool isStoreUnreachable = false;
  std::vector<std::pair<TimePoint, std::function<void()>>> pendingReplies;
};

class Cluster
{
public:
  explicit Cluster(std::uint64_t aSeed)
    : generator(aSeed)
    , nodes(3 + this->RandomBelow(7))
    , isLinkUp(this->nodes.size(), std::vector<bool>(this->nodes.size(), true))
  {
    this->store.SetFaultHook([this](const std::string&, const std::string&) {
      if (this->isStoreDown || this->caller->isStoreUnreachable) {
        return StoreFault::Unreachable;
      }
      return this->RandomBelow(40) == 0 ? StoreFault::ResponseLost : StoreFault::None;
    });
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      this->Restart(i);
    }
  }

  void Step()
  {
    this->clock.Advance(std::chrono::milliseconds(200 + this->RandomBelow(800)));
    this->InjectFault();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (!this->nodes[i].isPaused) {
        // The seat is used before or after the pending responses are processed, at random.
        if (this->RandomBelow(2) == 0) {
          this->UseSeat(this->nodes[i]);
        }
        this->RunNode(i);
        this->UseSeat(this->nodes[i]);
      }
    }
  }

  unsigned continuedCount = 0;
  unsigned takeoverCount = 0;

private:
  struct LastUse
  {
    InstanceId name;
    TimePoint time;
  };

  std::uint64_t RandomBelow(std::uint64_t aBound) { return this->generator() % aBound; }
  TimePoint Now() const { return this->clock.Now(); }

  void Restart(std::size_t aNode)
  {
    Node fresh;
    fresh.name = std::to_string(aNode) + "." + std::to_string(++this->startCount);
    fresh.seat = std::make_unique<SeatHolder>(
      this->store, this->clock, SeatRecord{ 0, fresh.name, fresh.name, "domain", "region" });
    this->nodes[aNode] = std::move(fresh);
  }

  void InjectFault()
  {
    std::size_t node = this->RandomBelow(this->nodes.size());
    std::size_t other = this->RandomBelow(this->nodes.size());
    switch (this->RandomBelow(60)) {
      case 0:
        this->isStoreDown = !this->isStoreDown;
        break;
      case 1:
      case 2:
        this->nodes[node].isStoreUnreachable = !this->nodes[node].isStoreUnreachable;
        break;
      case 3:
      case 4:
        this->isLinkUp[node][other] = this->isLinkUp[other][node] = !this->isLinkUp[node][other];
        break;
      case 5:
      case 6:
        this->nodes[node].isPaused = !this->nodes[node].isPaused;
        break;
      case 7:
        this->Restart(node);
        break;
      case 8:
        this->ReleaseSeat(this->nodes[node]);
        break;
      default:
        break;
    }
  }

  void ReleaseSeat(Node& aNode)
  {
    auto seat = aNode.seat->Seat();
    if (aNode.isPaused || !seat) {
      return;
    }
    this->caller = &aNode;
    aNode.seat->Release();
    auto used = this->lastUses.find(*seat);
    if (used != this->lastUses.end() && used->second.name == aNode.name) {
      this->lastUses.erase(used);
    }
  }

  /// Uses the seat if it is usable, and checks that nobody else has used it lately.
  void UseSeat(Node& aNode)
  {
    bool canUse = aNode.seat->CanUse(this->Now());
    this->continuedCount += aNode.seat->StateName() == "continuing" ? 1 : 0;
    if (!canUse) {
      return;
    }
    unsigned seat = *aNode.seat->Seat();
    auto [used, isFirst] = this->lastUses.try_emplace(seat, LastUse{ aNode.name, this->Now() });
    if (!isFirst && used->second.name != aNode.name) {
      ++this->takeoverCount;
      RC_ASSERT(this->Now() - used->second.time >= kMaxRequestDuration);
    }
    used->second = { aNode.name, this->Now() };
  }

  void RunNode(std::size_t aNode)
  {
    Node& node = this->nodes[aNode];
    auto due = std::stable_partition(node.pendingReplies.begin(),
                                     node.pendingReplies.end(),
                                     [&](const auto& aItem) { return aItem.first > this->Now(); });
    std::vector<std::pair<TimePoint, std::function<void()>>> arrived(
      std::make_move_iterator(due), std::make_move_iterator(node.pendingReplies.end()));
    node.pendingReplies.erase(due, node.pendingReplies.end());
    for (auto& [time, deliver] : arrived) {
      deliver();
    }
    this->caller = &node;
    TimePoint sentAt = this->Now();
    auto error = node.seat->Seat() ? node.seat->Renew() : node.seat->Claim();
    node.reachability.OnCall(error, sentAt, this->Now());
    if (!node.seat->Seat()) {
      return;
    }
    bool isInTable = false;
    for (const SeatRecord& record : node.seat->Table()) {
      isInTable = isInTable || record.instance == node.name;
    }
    for (const SeatRecord& record : node.seat->Table()) {
      if (!error && isInTable) {
        node.supporterState.OnHolderSeen(SeatRole(record.seat), record.epoch, sentAt);
      }
      if (record.instance != node.name) {
        this->ExchangeWithPeer(aNode, record.instance);
      }
    }
    for (const RoleHolder& predecessor : node.seat->Predecessors()) {
      std::size_t host = std::stoul(predecessor.instance);
      if (this->isLinkUp[aNode][host] && this->nodes[host].name != predecessor.instance) {
        node.seat->OnPredecessorStopped(predecessor.instance, this->Now());
      }
    }
  }

  /// Delivers a response at once or up to 3 s later.
  void DeliverReply(Node& aNode, std::function<void()> aDeliver)
  {
    Duration delay = this->RandomBelow(3) == 0
                       ? Duration(std::chrono::milliseconds(this->RandomBelow(3000)))
                       : 0us;
    aNode.pendingReplies.emplace_back(this->Now() + delay, std::move(aDeliver));
  }

  /// Sends a heartbeat, and the request to acknowledge a successor, to another instance.
  void ExchangeWithPeer(std::size_t aNode, const InstanceId& aPeer)
  {
    std::size_t host = std::stoul(aPeer);
    Node& node = this->nodes[aNode];
    Node& peer = this->nodes[host];
    SeatHolder* seat = node.seat.get();
    TimePoint sentAt = this->Now();
    if (!this->isLinkUp[aNode][host]) {
      return;
    }
    if (peer.name != aPeer) {
      this->DeliverReply(node, [=] {
        seat->Evidence().OnHeartbeatResult(aPeer, HeartbeatResult::ConnectionRefused, sentAt);
      });
      return;
    }
    if (peer.isPaused) {
      return;
    }
    std::string role = SeatRole(*seat->Seat());
    HeartbeatResult result =
      !peer.supporterState.Supports(role, seat->SeatEpoch()) ? HeartbeatResult::SuccessorKnown
      : peer.reachability.IsReachable(sentAt)                ? HeartbeatResult::StoreReachable
                                                             : HeartbeatResult::StoreUnreachable;
    this->DeliverReply(node, [=] { seat->Evidence().OnHeartbeatResult(aPeer, result, sentAt); });
    std::vector<Epoch> predecessors;
    for (const RoleHolder& predecessor : seat->Predecessors()) {
      predecessors.push_back(predecessor.epoch);
    }
    if (!predecessors.empty() && peer.seat->Seat() &&
        peer.supporterState.Acknowledge(role,
                                        seat->SeatEpoch(),
                                        predecessors,
                                        peer.seat->HeldSince(),
                                        peer.seat->IsConfirmed(sentAt),
                                        LeaseOptions().ttl)) {
      this->DeliverReply(node, [=, this] { seat->OnAcknowledgement(aPeer, sentAt, this->Now()); });
    }
  }

  std::mt19937_64 generator;
  ManualClock clock;
  FakeStore store{ this->clock };
  bool isStoreDown = false;
  Node* caller = nullptr;
  std::vector<Node> nodes;
  std::vector<std::vector<bool>> isLinkUp;
  unsigned startCount = 0;
  std::map<unsigned, LastUse> lastUses;
};

/// Guards against two holders of a seat, which would send an upstream more requests than it has
/// slots.
RC_GTEST_PROP(SeatProperty, NeverTwoHoldersOfASeat, ())
{
  Cluster cluster(*rc::gen::arbitrary<std::uint64_t>());
  for (int i = 0; i < 600; ++i) {
    cluster.Step();
  }
  RC_CLASSIFY(cluster.continuedCount > 0, "continued in an outage");
  RC_CLASSIFY(cluster.takeoverCount > 0, "seat used by a successor");
}

} // namespace
} // namespace daisydrift
