// Outage evidence: continuation and succession must never hold at once, or a seat or a leadership
// would have two holders.

#include "daisydrift/membership.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <optional>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

const std::string kRole = "seat/0";
constexpr std::chrono::milliseconds kTtl{ 3000 };

/// Guards against counts that leave room for a holder and its successor to be supported by
/// different seats.
TEST(Evidence, AnySetsOfSeatsOfBothKindsShareASeat)
{
  for (std::size_t others = 1; others <= 6; ++others) {
    for (unsigned holders = 0; holders < 1u << others; ++holders) {
      for (unsigned successors = 0; successors < 1u << others; ++successors) {
        auto count = [](unsigned aSet) {
          return static_cast<std::size_t>(__builtin_popcount(aSet));
        };
        if (count(holders) >= ContinuationCount(others) &&
            count(successors) >= SuccessionCount(others)) {
          EXPECT_NE(holders & successors, 0u) << others;
        }
      }
    }
  }
  EXPECT_GT(ContinuationCount(0), 0u);
}

/// State of a link during one window.
enum class Link
{
  Cut,
  Up,
  /// Answers arrive one window late, as with a paused receiver.
  Delayed
};

constexpr unsigned kWindows = 5;
/// Ticks of one second in each window: five windows are longer than the evidence age and the
/// succession wait together.
constexpr unsigned kTicksPerWindow = 3;

/// What one other seat goes through after the end of the old holder's lease.
struct PeerStory
{
  std::array<Link, kWindows> toHolder{};
  std::array<Link, kWindows> toSuccessor{};
  /// Window in which the peer dies; kWindows for none.
  unsigned death = kWindows;
};

/// Plays one history of an old holder whose lease ends at the beginning and a successor that claims
/// at once, with the real classes and heartbeats each second.
class Model
{
public:
  explicit Model(const std::vector<const PeerStory*>& aStories)
    : stories(aStories)
    , ledgers(aStories.size())
    , succession(aStories.size(), this->start)
  {
    std::set<InstanceId> table;
    for (std::size_t i = 0; i < aStories.size(); ++i) {
      table.insert(Name(i));
      this->ledgers[i].OnHolderSeen(kRole, 1, this->start);
    }
    this->holder.SetTable(table);
    this->holder.OnLeaseConfirmed(this->start);
  }

  /// Returns true when continuation and succession hold at once at some tick.
  bool FindsBothAtOnce()
  {
    for (unsigned tick = 0; tick < kWindows * kTicksPerWindow; ++tick) {
      TimePoint now = this->start + std::chrono::seconds(tick);
      for (auto& delivery : std::exchange(this->inbox[tick % this->inbox.size()], {})) {
        delivery(now);
      }
      for (std::size_t i = 0; i < this->stories.size(); ++i) {
        this->AskPeer(i, tick, now);
      }
      if (this->succession.StoppedAt(now) && this->holder.MayContinue(now)) {
        return true;
      }
      this->hasContinued = this->hasContinued || this->holder.MayContinue(now);
      this->hasSucceeded = this->hasSucceeded || this->succession.StoppedAt(now).has_value();
    }
    return false;
  }

  bool hasContinued = false;
  bool hasSucceeded = false;

private:
  using Delivery = std::function<void(TimePoint)>;

  static InstanceId Name(std::size_t aPeer)
  {
    return std::string(1, static_cast<char>('a' + aPeer));
  }

  void Deliver(Link aLink, unsigned aTick, TimePoint aNow, Delivery aDelivery)
  {
    if (aLink == Link::Up) {
      aDelivery(aNow);
    } else if (aLink == Link::Delayed) {
      this->inbox[(aTick + kTicksPerWindow) % this->inbox.size()].push_back(std::move(aDelivery));
    }
  }

  void AskPeer(std::size_t aPeer, unsigned aTick, TimePoint aNow)
  {
    const PeerStory& story = *this->stories[aPeer];
    unsigned window = aTick / kTicksPerWindow;
    bool isDead = window >= story.death;
    SupportLedger& ledger = this->ledgers[aPeer];
    if (!isDead && story.toSuccessor[window] != Link::Cut &&
        ledger.Acknowledge(kRole, 2, { 1 }, this->start - 1h, true, kTtl)) {
      this->Deliver(story.toSuccessor[window], aTick, aNow, [=, this](TimePoint aArrival) {
        this->succession.OnAcknowledgement(Name(aPeer), aNow, aArrival);
      });
    }
    PeerAnswer answer = isDead                      ? PeerAnswer::Refused
                        : ledger.Supports(kRole, 1) ? PeerAnswer::StoreUnreachable
                                                    : PeerAnswer::SuccessorKnown;
    // A successor's news ends the holder at once; leaving it out is the harder case.
    if (answer != PeerAnswer::SuccessorKnown) {
      this->Deliver(story.toHolder[window], aTick, aNow, [=, this](TimePoint) {
        this->holder.OnAnswer(Name(aPeer), answer, aNow);
      });
    }
  }

  TimePoint start{ 10h };
  std::vector<const PeerStory*> stories;
  std::vector<SupportLedger> ledgers;
  OutageEvidence holder;
  SuccessorClaim succession;
  std::array<std::vector<Delivery>, kTicksPerWindow + 1> inbox;
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

constexpr unsigned kPatterns = 3 * 3 * 3 * 3 * 3;

/// Counts what the histories reached, so that a check that never meets its case is noticed.
struct Coverage
{
  std::size_t histories = 0;
  std::size_t continued = 0;
  std::size_t succeeded = 0;

  void Check(Model& aModel)
  {
    ++this->histories;
    ASSERT_FALSE(aModel.FindsBothAtOnce());
    this->continued += aModel.hasContinued ? 1 : 0;
    this->succeeded += aModel.hasSucceeded ? 1 : 0;
  }
};

/// Guards against one seat that supports the old holder and its successor at once, for every
/// pattern of cut, working and delayed links and every time of the seat's death. With one other
/// seat it alone decides; for more seats, two sets that both suffice share such a seat (first
/// test).
TEST(Evidence, NoSeatSupportsBothInAnyPattern)
{
  Coverage coverage;
  for (unsigned death = 0; death <= kWindows; ++death) {
    for (unsigned first = 0; first < kPatterns; ++first) {
      for (unsigned second = 0; second < kPatterns; ++second) {
        PeerStory story{ LinkPattern(first), LinkPattern(second), death };
        Model model({ &story });
        coverage.Check(model);
        ASSERT_FALSE(testing::Test::HasFatalFailure()) << death << " " << first << " " << second;
      }
    }
  }
  RecordProperty("histories", static_cast<int>(coverage.histories));
  EXPECT_GT(coverage.continued, 1000u);
  EXPECT_GT(coverage.succeeded, 1000u);
}

/// Stories with at most one change of each link and any time of death, in steps of two windows.
std::vector<PeerStory> FewChanges()
{
  std::vector<PeerStory> stories;
  std::vector<std::array<Link, kWindows>> patterns;
  for (unsigned change : { 0u, 2u, 4u }) {
    for (bool upFirst : { true, false }) {
      std::array<Link, kWindows> pattern{};
      for (unsigned i = 0; i < kWindows; ++i) {
        pattern[i] = (i < change) == upFirst ? Link::Up : Link::Cut;
      }
      patterns.push_back(pattern);
    }
  }
  for (const auto& toHolder : patterns) {
    for (const auto& toSuccessor : patterns) {
      for (unsigned death : { 1u, 3u, kWindows }) {
        stories.push_back({ toHolder, toSuccessor, death });
      }
    }
  }
  return stories;
}

void Enumerate(const std::vector<PeerStory>& aStories,
               std::size_t aFrom,
               std::size_t aLeft,
               std::vector<const PeerStory*>& aChosen,
               Coverage& aCoverage)
{
  if (aLeft == 0) {
    Model model(aChosen);
    aCoverage.Check(model);
    return;
  }
  // Seats are alike, so each choice of stories is played in one order only.
  for (std::size_t i = aFrom; i < aStories.size() && !testing::Test::HasFatalFailure(); ++i) {
    aChosen.push_back(&aStories[i]);
    Enumerate(aStories, i, aLeft - 1, aChosen, aCoverage);
    aChosen.pop_back();
  }
}

/// Guards against interplay of several seats that lets both sides go on, for 2 to 7 seats. The more
/// seats, the fewer stories, to bound the run.
TEST(Evidence, ContinuationAndSuccessionExcludeEachOtherForTwoToSevenSeats)
{
  std::vector<PeerStory> all = FewChanges();
  // No multiple of three, the number of times of death, so that each time stays among the stories.
  const std::array<std::size_t, 7> stride = { 0, 1, 1, 1, 4, 5, 7 };
  for (std::size_t others = 1; others <= 6; ++others) {
    std::vector<PeerStory> stories;
    for (std::size_t i = 0; i < all.size(); i += stride[others]) {
      stories.push_back(all[i]);
    }
    Coverage coverage;
    std::vector<const PeerStory*> chosen;
    Enumerate(stories, 0, others, chosen, coverage);
    ASSERT_FALSE(testing::Test::HasFatalFailure()) << others;
    RecordProperty("histories_" + std::to_string(others), static_cast<int>(coverage.histories));
    EXPECT_GT(coverage.continued, 0u) << others;
    EXPECT_GT(coverage.succeeded, 0u) << others;
  }
}

/// Guards against an instance that joined after the old holder's last renewal, lost its own seat,
/// or never saw the old holder: it is not in the old holder's table, so its word must not count.
TEST(Evidence, AcknowledgementCountsOnlyFromTheOldHoldersTable)
{
  TimePoint now{ 10h };
  auto acknowledge = [&](TimePoint aHeldSince, bool aIsConfirmed, Epoch aSeen) {
    SupportLedger ledger;
    ledger.OnHolderSeen(kRole, aSeen, now);
    bool counts = ledger.Acknowledge(kRole, 3, { 1 }, aHeldSince, aIsConfirmed, kTtl);
    EXPECT_FALSE(ledger.Supports(kRole, 1)) << "the promise holds whether it counts or not";
    EXPECT_TRUE(ledger.Supports(kRole, 3));
    return counts;
  };
  EXPECT_TRUE(acknowledge(now - 6s, true, 1));
  EXPECT_FALSE(acknowledge(now - 5s, true, 1));
  EXPECT_FALSE(acknowledge(now - 6s, false, 1));
  EXPECT_FALSE(acknowledge(now - 6s, true, 2));
}

/// Guards against an isolated holder that goes on: without evidence it stops within 5 s.
TEST(Evidence, IsolatedHolderStopsWithinTheEvidenceAge)
{
  TimePoint now{ 10h };
  OutageEvidence evidence;
  evidence.SetTable({ "a", "b", "c" });
  evidence.OnLeaseConfirmed(now);
  evidence.OnAnswer("a", PeerAnswer::StoreUnreachable, now);
  EXPECT_FALSE(evidence.MayContinue(now));
  evidence.OnAnswer("b", PeerAnswer::StoreUnreachable, now);
  EXPECT_TRUE(evidence.MayContinue(now + 4999ms));
  EXPECT_FALSE(evidence.MayContinue(now + 5s));
  evidence.OnAnswer("x", PeerAnswer::StoreUnreachable, now + 5s);
  evidence.OnAnswer("b", PeerAnswer::StoreUnreachable, now + 5s);
  evidence.OnAnswer("c", PeerAnswer::StoreReachable, now + 5s);
  EXPECT_FALSE(evidence.MayContinue(now + 5s));
  evidence.OnAnswer("c", PeerAnswer::Refused, now + 6s);
  EXPECT_TRUE(evidence.MayContinue(now + 6s));
  evidence.OnAnswer("a", PeerAnswer::SuccessorKnown, now + 7s);
  EXPECT_FALSE(evidence.MayContinue(now + 7s));
  EXPECT_TRUE(evidence.IsSucceeded());
}

} // namespace
} // namespace daisydrift
