// A seat is never usable by two holders, and not by a new one within 30 s of the old one's last use
// unless that left cleanly: over generated histories of store outages, cut links, pauses, delayed
// answers, deaths and clean leaves of instances that follow the protocol.

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

/// One instance; a restart replaces it by one with a new identity.
struct Node
{
  InstanceId name;
  std::unique_ptr<SeatHolder> seat;
  SupportLedger ledger;
  StoreReachability reachability{ 1 };
  bool isPaused = false;
  bool isStoreCut = false;
  std::vector<std::pair<TimePoint, std::function<void()>>> inbox;
};

class Fleet
{
public:
  explicit Fleet(std::uint64_t aSeed)
    : generator(aSeed)
    , nodes(3 + this->Pick(7))
    , links(this->nodes.size(), std::vector<bool>(this->nodes.size(), true))
  {
    this->store.SetFaultHook([this](const std::string&, const std::string&) {
      if (this->isStoreDown || this->caller->isStoreCut) {
        return StoreFault::Unreachable;
      }
      return this->Pick(40) == 0 ? StoreFault::AnswerLost : StoreFault::None;
    });
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      this->Restart(i);
    }
  }

  void Step()
  {
    this->clock.Advance(std::chrono::milliseconds(200 + this->Pick(800)));
    this->Disturb();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (!this->nodes[i].isPaused) {
        // Whether a use or the answers that arrived meanwhile come first is left to chance.
        if (this->Pick(2) == 0) {
          this->Use(this->nodes[i]);
        }
        this->Run(i);
        this->Use(this->nodes[i]);
      }
    }
  }

  unsigned continued = 0;
  unsigned succeeded = 0;

private:
  struct LastUse
  {
    InstanceId name;
    TimePoint time;
  };

  std::uint64_t Pick(std::uint64_t aBound) { return this->generator() % aBound; }
  TimePoint Now() const { return this->clock.Now(); }

  void Restart(std::size_t aNode)
  {
    Node fresh;
    fresh.name = std::to_string(aNode) + "." + std::to_string(++this->starts);
    fresh.seat = std::make_unique<SeatHolder>(
      this->store, this->clock, SeatRecord{ 0, fresh.name, fresh.name, "domain", "region" });
    this->nodes[aNode] = std::move(fresh);
  }

  void Disturb()
  {
    std::size_t node = this->Pick(this->nodes.size());
    std::size_t other = this->Pick(this->nodes.size());
    switch (this->Pick(60)) {
      case 0:
        this->isStoreDown = !this->isStoreDown;
        break;
      case 1:
      case 2:
        this->nodes[node].isStoreCut = !this->nodes[node].isStoreCut;
        break;
      case 3:
      case 4:
        this->links[node][other] = this->links[other][node] = !this->links[node][other];
        break;
      case 5:
      case 6:
        this->nodes[node].isPaused = !this->nodes[node].isPaused;
        break;
      case 7:
        this->Restart(node);
        break;
      case 8:
        this->Leave(this->nodes[node]);
        break;
      default:
        break;
    }
  }

  void Leave(Node& aNode)
  {
    auto seat = aNode.seat->Seat();
    if (aNode.isPaused || !seat) {
      return;
    }
    this->caller = &aNode;
    aNode.seat->Release();
    auto used = this->uses.find(*seat);
    if (used != this->uses.end() && used->second.name == aNode.name) {
      this->uses.erase(used);
    }
  }

  /// Uses the seat if allowed, and checks that nobody else has used it lately.
  void Use(Node& aNode)
  {
    bool mayAct = aNode.seat->MayAct(this->Now());
    this->continued += aNode.seat->StateName() == "continuing" ? 1 : 0;
    if (!mayAct) {
      return;
    }
    unsigned seat = *aNode.seat->Seat();
    auto [used, isFirst] = this->uses.try_emplace(seat, LastUse{ aNode.name, this->Now() });
    if (!isFirst && used->second.name != aNode.name) {
      ++this->succeeded;
      RC_ASSERT(this->Now() - used->second.time >= kLongestRequest);
    }
    used->second = { aNode.name, this->Now() };
  }

  void Run(std::size_t aNode)
  {
    Node& node = this->nodes[aNode];
    auto due = std::stable_partition(node.inbox.begin(), node.inbox.end(), [&](const auto& aItem) {
      return aItem.first > this->Now();
    });
    std::vector<std::pair<TimePoint, std::function<void()>>> arrived(
      std::make_move_iterator(due), std::make_move_iterator(node.inbox.end()));
    node.inbox.erase(due, node.inbox.end());
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
        node.ledger.OnHolderSeen(SeatRole(record.seat), record.epoch, sentAt);
      }
      if (record.instance != node.name) {
        this->Ask(aNode, record.instance);
      }
    }
    for (const RoleHolder& former : node.seat->Formers()) {
      std::size_t host = std::stoul(former.instance);
      if (this->links[aNode][host] && this->nodes[host].name != former.instance) {
        node.seat->OnFormerStopped(former.instance, this->Now());
      }
    }
  }

  /// Lets an answer arrive at once or up to 3 s later.
  void Answer(Node& aNode, std::function<void()> aDeliver)
  {
    Duration delay =
      this->Pick(3) == 0 ? Duration(std::chrono::milliseconds(this->Pick(3000))) : 0us;
    aNode.inbox.emplace_back(this->Now() + delay, std::move(aDeliver));
  }

  /// Heartbeat, and the request to acknowledge a successor, to another instance.
  void Ask(std::size_t aNode, const InstanceId& aPeer)
  {
    std::size_t host = std::stoul(aPeer);
    Node& node = this->nodes[aNode];
    Node& peer = this->nodes[host];
    SeatHolder* seat = node.seat.get();
    TimePoint sentAt = this->Now();
    if (!this->links[aNode][host]) {
      return;
    }
    if (peer.name != aPeer) {
      this->Answer(node, [=] { seat->Evidence().OnAnswer(aPeer, PeerAnswer::Refused, sentAt); });
      return;
    }
    if (peer.isPaused) {
      return;
    }
    std::string role = SeatRole(*seat->Seat());
    PeerAnswer answer = !peer.ledger.Supports(role, seat->SeatEpoch()) ? PeerAnswer::SuccessorKnown
                        : peer.reachability.IsReachable(sentAt)        ? PeerAnswer::StoreReachable
                                                                : PeerAnswer::StoreUnreachable;
    this->Answer(node, [=] { seat->Evidence().OnAnswer(aPeer, answer, sentAt); });
    std::vector<Epoch> formers;
    for (const RoleHolder& former : seat->Formers()) {
      formers.push_back(former.epoch);
    }
    if (!formers.empty() && peer.seat->Seat() &&
        peer.ledger.Acknowledge(role,
                                seat->SeatEpoch(),
                                formers,
                                peer.seat->HeldSince(),
                                peer.seat->IsConfirmed(sentAt),
                                LeaseOptions().ttl)) {
      this->Answer(node, [=, this] { seat->OnAcknowledgement(aPeer, sentAt, this->Now()); });
    }
  }

  std::mt19937_64 generator;
  ManualClock clock;
  FakeStore store{ this->clock };
  bool isStoreDown = false;
  Node* caller = nullptr;
  std::vector<Node> nodes;
  std::vector<std::vector<bool>> links;
  unsigned starts = 0;
  std::map<unsigned, LastUse> uses;
};

/// Guards against two holders of a seat, which would commit an upstream beyond its slots.
RC_GTEST_PROP(SeatProperty, NeverTwoHolders, ())
{
  Fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
  for (int i = 0; i < 600; ++i) {
    fleet.Step();
  }
  RC_CLASSIFY(fleet.continued > 0, "continued in an outage");
  RC_CLASSIFY(fleet.succeeded > 0, "seat used by a successor");
}

} // namespace
} // namespace daisydrift
