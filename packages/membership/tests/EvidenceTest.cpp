// Outage evidence: a holder must never be allowed to continue while its successor is allowed to
// take over, or a seat or a leadership would have two holders.

#include "daisydrift/membership.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <optional>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

const std::string kRole = "seat/0";
constexpr std::chrono::milliseconds kLeaseTtl{ 3000 };

/// Guards against quorums that don't intersect: a holder and its successor would be supported by
/// different seats.
TEST(Evidence, ContinuationAndSuccessionQuorumsIntersect)
{
  for (std::size_t others = 1; others <= 6; ++others) {
    for (unsigned holders = 0; holders < 1u << others; ++holders) {
      for (unsigned successors = 0; successors < 1u << others; ++successors) {
        auto count = [](unsigned aSet) {
          return static_cast<std::size_t>(__builtin_popcount(aSet));
        };
        if (count(holders) >= ContinuationQuorum(others) &&
            count(successors) >= SuccessionQuorum(others)) {
          EXPECT_NE(holders & successors, 0u) << others;
        }
      }
    }
  }
  EXPECT_GT(ContinuationQuorum(0), 0u);
}

/// State of a network link during one window.
enum class Link
{
  Cut,
  Up,
  /// Responses arrive one window late, as with a paused receiver.
  Delayed
};

constexpr unsigned kWindows = 5;
/// Ticks of one second in each window. Five windows are longer than kMaxEvidenceAge and
/// kSuccessionWait together.
constexpr unsigned kTicksPerWindow = 3;

/// Links and end of one other seat after the end of the predecessor's lease.
struct PeerScenario
{
  std::array<Link, kWindows> toHolder{};
  std::array<Link, kWindows> toSuccessor{};
  /// Window in which the peer's process ends; kWindows for none.
  unsigned deathWindow = kWindows;
};

/// Simulates a holder whose lease ends at the beginning and a successor that claims the role at
/// once, with the production classes and a heartbeat each second.
class TakeoverModel
{
public:
  explicit TakeoverModel(const std::vector<const PeerScenario*>& aScenarios)
    : scenarios(aScenarios)
    , supporterStates(aScenarios.size())
    , stopDetector(aScenarios.size(), this->start)
  {
    std::set<InstanceId> table;
    for (std::size_t i = 0; i < aScenarios.size(); ++i) {
      table.insert(PeerName(i));
      this->supporterStates[i].OnHolderSeen(kRole, 1, this->start);
    }
    this->holder.SetOtherSeats(table);
    this->holder.OnLeaseConfirmed(this->start);
  }

  /// Returns true when at some tick the holder may continue and the successor may take over.
  bool HasOverlap()
  {
    for (unsigned tick = 0; tick < kWindows * kTicksPerWindow; ++tick) {
      TimePoint now = this->start + std::chrono::seconds(tick);
      for (auto& delivery :
           std::exchange(this->pendingDeliveries[tick % this->pendingDeliveries.size()], {})) {
        delivery(now);
      }
      for (std::size_t i = 0; i < this->scenarios.size(); ++i) {
        this->ExchangeWithPeer(i, tick, now);
      }
      if (this->stopDetector.StoppedAt(now) && this->holder.CanContinue(now)) {
        return true;
      }
      this->hasContinued = this->hasContinued || this->holder.CanContinue(now);
      this->hasTakenOver = this->hasTakenOver || this->stopDetector.StoppedAt(now).has_value();
    }
    return false;
  }

  bool hasContinued = false;
  bool hasTakenOver = false;

private:
  using Delivery = std::function<void(TimePoint)>;

  static InstanceId PeerName(std::size_t aPeer)
  {
    return std::string(1, static_cast<char>('a' + aPeer));
  }

  void Deliver(Link aLink, unsigned aTick, TimePoint aNow, Delivery aDelivery)
  {
    if (aLink == Link::Up) {
      aDelivery(aNow);
    } else if (aLink == Link::Delayed) {
      this->pendingDeliveries[(aTick + kTicksPerWindow) % this->pendingDeliveries.size()].push_back(
        std::move(aDelivery));
    }
  }

  void ExchangeWithPeer(std::size_t aPeer, unsigned aTick, TimePoint aNow)
  {
    const PeerScenario& scenario = *this->scenarios[aPeer];
    unsigned window = aTick / kTicksPerWindow;
    bool isDead = window >= scenario.deathWindow;
    SupporterState& supporterState = this->supporterStates[aPeer];
    if (!isDead && scenario.toSuccessor[window] != Link::Cut &&
        supporterState.Acknowledge(kRole, 2, { 1 }, this->start - 1h, true, kLeaseTtl)) {
      this->Deliver(scenario.toSuccessor[window], aTick, aNow, [=, this](TimePoint aArrival) {
        this->stopDetector.OnAcknowledgement(PeerName(aPeer), aNow, aArrival);
      });
    }
    HeartbeatResult result = isDead ? HeartbeatResult::ConnectionRefused
                             : supporterState.Supports(kRole, 1) ? HeartbeatResult::StoreUnreachable
                                                                 : HeartbeatResult::SuccessorKnown;
    // SuccessorKnown is not delivered: it stops the holder at once, so the case without it is the
    // harder one.
    if (result != HeartbeatResult::SuccessorKnown) {
      this->Deliver(scenario.toHolder[window], aTick, aNow, [=, this](TimePoint) {
        this->holder.OnHeartbeatResult(PeerName(aPeer), result, aNow);
      });
    }
  }

  TimePoint start{ 10h };
  std::vector<const PeerScenario*> scenarios;
  std::vector<SupporterState> supporterStates;
  OutageEvidence holder;
  PredecessorStopDetector stopDetector;
  std::array<std::vector<Delivery>, kTicksPerWindow + 1> pendingDeliveries;
};

std::array<Link, kWindows> LinkPattern(unsigned aCode)
{
  std::array<Link, kWindows> pattern{};
  for (Link& link : pattern) {
    link = static_cast<Link>(aCode % 3);
    aCode /= 3;
  }
  return pattern;
}

constexpr unsigned kLinkPatternCount = 3 * 3 * 3 * 3 * 3;

/// Checks scenarios and counts what they reached, so that a check that never meets its case is
/// noticed.
struct Coverage
{
  std::size_t scenarioCount = 0;
  std::size_t continued = 0;
  std::size_t takenOver = 0;

  void Check(TakeoverModel& aModel)
  {
    ++this->scenarioCount;
    ASSERT_FALSE(aModel.HasOverlap());
    this->continued += aModel.hasContinued ? 1 : 0;
    this->takenOver += aModel.hasTakenOver ? 1 : 0;
  }
};

/// Guards against a seat that supports a holder and its successor at once, for every pattern of
/// cut, working and delayed links and every time at which the seat's process ends. With one other
/// seat it alone decides; with more seats the two quorums share such a seat (see
/// ContinuationAndSuccessionQuorumsIntersect).
TEST(Evidence, NoSeatSupportsHolderAndSuccessorInAnyPattern)
{
  Coverage coverage;
  for (unsigned deathWindow = 0; deathWindow <= kWindows; ++deathWindow) {
    for (unsigned first = 0; first < kLinkPatternCount; ++first) {
      for (unsigned second = 0; second < kLinkPatternCount; ++second) {
        PeerScenario scenario{ LinkPattern(first), LinkPattern(second), deathWindow };
        TakeoverModel model({ &scenario });
        coverage.Check(model);
        ASSERT_FALSE(testing::Test::HasFatalFailure())
          << deathWindow << " " << first << " " << second;
      }
    }
  }
  RecordProperty("histories", static_cast<int>(coverage.scenarioCount));
  EXPECT_GT(coverage.continued, 1000u);
  EXPECT_GT(coverage.takenOver, 1000u);
}

/// Scenarios with at most one change of each link and any end of the peer, in steps of two windows.
std::vector<PeerScenario> ScenariosWithFewChanges()
{
  std::vector<PeerScenario> scenarios;
  std::vector<std::array<Link, kWindows>> patterns;
  for (unsigned changeWindow : { 0u, 2u, 4u }) {
    for (bool upFirst : { true, false }) {
      std::array<Link, kWindows> pattern{};
      for (unsigned i = 0; i < kWindows; ++i) {
        pattern[i] = (i < changeWindow) == upFirst ? Link::Up : Link::Cut;
      }
      patterns.push_back(pattern);
    }
  }
  for (const auto& toHolder : patterns) {
    for (const auto& toSuccessor : patterns) {
      for (unsigned deathWindow : { 1u, 3u, kWindows }) {
        scenarios.push_back({ toHolder, toSuccessor, deathWindow });
      }
    }
  }
  return scenarios;
}

void CheckCombinations(const std::vector<PeerScenario>& aScenarios,
                       std::size_t aFrom,
                       std::size_t aRemaining,
                       std::vector<const PeerScenario*>& aChosen,
                       Coverage& aCoverage)
{
  if (aRemaining == 0) {
    TakeoverModel model(aChosen);
    aCoverage.Check(model);
    return;
  }
  // Seats are interchangeable, so each combination of scenarios is run in one order only.
  for (std::size_t i = aFrom; i < aScenarios.size() && !testing::Test::HasFatalFailure(); ++i) {
    aChosen.push_back(&aScenarios[i]);
    CheckCombinations(aScenarios, i, aRemaining - 1, aChosen, aCoverage);
    aChosen.pop_back();
  }
}

/// Guards against combinations of several seats that let both the holder and its successor act, for
/// 2 to 7 seats. More seats are run with fewer scenarios, to bound the run time.
TEST(Evidence, ContinuationAndSuccessionExcludeEachOtherForTwoToSevenSeats)
{
  std::vector<PeerScenario> all = ScenariosWithFewChanges();
  // No stride is a multiple of three, the number of values of deathWindow, so that each value stays
  // among the scenarios.
  const std::array<std::size_t, 7> stride = { 0, 1, 1, 1, 4, 5, 7 };
  for (std::size_t others = 1; others <= 6; ++others) {
    std::vector<PeerScenario> scenarios;
    for (std::size_t i = 0; i < all.size(); i += stride[others]) {
      scenarios.push_back(all[i]);
    }
    Coverage coverage;
    std::vector<const PeerScenario*> chosen;
    CheckCombinations(scenarios, 0, others, chosen, coverage);
    ASSERT_FALSE(testing::Test::HasFatalFailure()) << others;
    RecordProperty("histories_" + std::to_string(others), static_cast<int>(coverage.scenarioCount));
    EXPECT_GT(coverage.continued, 0u) << others;
    EXPECT_GT(coverage.takenOver, 0u) << others;
  }
}

/// Guards against counting the acknowledgement of an instance that joined after the predecessor's
/// last renewal, lost its own seat, or never saw the predecessor: it is not in the predecessor's
/// seat table.
TEST(Evidence, AcknowledgementCountsOnlyFromThePredecessorsTable)
{
  TimePoint now{ 10h };
  auto acknowledge = [&](TimePoint aHeldSince, bool aIsConfirmed, Epoch aSeen) {
    SupporterState supporterState;
    supporterState.OnHolderSeen(kRole, aSeen, now);
    bool counts = supporterState.Acknowledge(kRole, 3, { 1 }, aHeldSince, aIsConfirmed, kLeaseTtl);
    EXPECT_FALSE(supporterState.Supports(kRole, 1))
      << "the acknowledgement must be kept whether it counts or not";
    EXPECT_TRUE(supporterState.Supports(kRole, 3));
    return counts;
  };
  EXPECT_TRUE(acknowledge(now - 6s, true, 1));
  EXPECT_FALSE(acknowledge(now - 5s, true, 1));
  EXPECT_FALSE(acknowledge(now - 6s, false, 1));
  EXPECT_FALSE(acknowledge(now - 6s, true, 2));
}

/// Guards against an isolated holder that continues: without evidence it must stop within 5 s.
TEST(Evidence, IsolatedHolderStopsWithinTheEvidenceAge)
{
  TimePoint now{ 10h };
  OutageEvidence evidence;
  evidence.SetOtherSeats({ "a", "b", "c" });
  evidence.OnLeaseConfirmed(now);
  evidence.OnHeartbeatResult("a", HeartbeatResult::StoreUnreachable, now);
  EXPECT_FALSE(evidence.CanContinue(now));
  evidence.OnHeartbeatResult("b", HeartbeatResult::StoreUnreachable, now);
  EXPECT_TRUE(evidence.CanContinue(now + 4999ms));
  EXPECT_FALSE(evidence.CanContinue(now + 5s));
  evidence.OnHeartbeatResult("x", HeartbeatResult::StoreUnreachable, now + 5s);
  evidence.OnHeartbeatResult("b", HeartbeatResult::StoreUnreachable, now + 5s);
  evidence.OnHeartbeatResult("c", HeartbeatResult::StoreReachable, now + 5s);
  EXPECT_FALSE(evidence.CanContinue(now + 5s));
  evidence.OnHeartbeatResult("c", HeartbeatResult::ConnectionRefused, now + 6s);
  EXPECT_TRUE(evidence.CanContinue(now + 6s));
  evidence.OnHeartbeatResult("a", HeartbeatResult::SuccessorKnown, now + 7s);
  EXPECT_FALSE(evidence.CanContinue(now + 7s));
  EXPECT_TRUE(evidence.IsSuperseded());
}

} // namespace
} // namespace daisydrift
