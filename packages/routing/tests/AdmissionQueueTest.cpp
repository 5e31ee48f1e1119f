// Guards against an unfair queue: a team that waits beyond its weighted turn, a flood that delays
// others, refusals without cause, bounds that are exceeded, and cancellations that disturb others.

#include "daisydrift/routing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <tuple>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kCapacity = 12;
constexpr std::size_t kTeamCapacity = 6;
constexpr TimePoint kStart{ 1h };
constexpr TimePoint kFarDeadline{ 1000h };

std::string TeamOf(unsigned aNumber)
{
  return "t" + std::to_string(aNumber);
}

double WeightOf(unsigned aNumber)
{
  return 1.0 + aNumber;
}

/// The same rules in the simplest form: one list of all waiting requests, searched each time.
class NaiveQueue
{
public:
  struct Item
  {
    RequestId request;
    unsigned team;
  };

  PushResult Push(RequestId aRequest, unsigned aTeam)
  {
    PushResult result;
    this->Wake(aTeam);
    if (this->CountOf(aTeam) >= kTeamCapacity) {
      result.status = PushStatus::TeamQueueFull;
      return result;
    }
    if (this->items.size() >= kCapacity) {
      unsigned most = 0;
      for (unsigned team = 0; team < 4; ++team) {
        most = this->LoadOf(team, 0) > this->LoadOf(most, 0) ? team : most;
      }
      if (most == aTeam || this->LoadOf(most, 0) <= this->LoadOf(aTeam, 1)) {
        result.status = PushStatus::QueueFull;
        return result;
      }
      result.evicted = this->LastOf(most);
      this->Cancel(result.evicted);
    }
    this->items.push_back({ aRequest, aTeam });
    return result;
  }

  void PushFront(RequestId aRequest, unsigned aTeam)
  {
    this->Wake(aTeam);
    this->items.push_front({ aRequest, aTeam });
  }

  RequestId Pop()
  {
    const Item* best = nullptr;
    for (const Item& item : this->items) {
      auto rank = [this](unsigned aTeam) { return std::tuple(this->tags[aTeam], aTeam); };
      if (!best || rank(item.team) < rank(best->team)) {
        best = &item;
      }
    }
    Item taken = *best;
    this->virtualTime = this->tags[taken.team];
    this->tags[taken.team] += 1.0 / WeightOf(taken.team);
    this->Cancel(taken.request);
    return taken.request;
  }

  bool Cancel(RequestId aRequest)
  {
    for (auto item = this->items.begin(); item != this->items.end(); ++item) {
      if (item->request == aRequest) {
        this->items.erase(item);
        return true;
      }
    }
    return false;
  }

  std::size_t CountOf(unsigned aTeam) const
  {
    return static_cast<std::size_t>(std::count_if(
      this->items.begin(), this->items.end(), [&](const Item& a) { return a.team == aTeam; }));
  }

  std::deque<Item> items;

private:
  void Wake(unsigned aTeam)
  {
    if (this->CountOf(aTeam) == 0) {
      this->tags[aTeam] = std::max(this->tags[aTeam], this->virtualTime);
    }
  }
  double LoadOf(unsigned aTeam, unsigned aMore) const
  {
    return static_cast<double>(this->CountOf(aTeam) + aMore) / WeightOf(aTeam);
  }
  RequestId LastOf(unsigned aTeam) const
  {
    RequestId last = 0;
    for (const Item& item : this->items) {
      last = item.team == aTeam ? item.request : last;
    }
    return last;
  }

  std::map<unsigned, double> tags;
  double virtualTime = 0;
};

// Guards against a difference from the stated rules in any sequence of calls.
RC_GTEST_PROP(AdmissionQueueTest, AgreesWithTheNaiveModel, ())
{
  auto steps =
    *rc::gen::resize(300,
                     rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
                       rc::gen::pair(rc::gen::inRange(0u, 10u), rc::gen::inRange(0u, 1000u))));
  AdmissionQueue queue(kCapacity, kTeamCapacity);
  NaiveQueue naive;
  RequestId next = 1;
  for (const auto& [kind, operand] : steps) {
    unsigned team = operand % 4;
    if (kind < 6) {
      PushResult real = queue.Push({ next, TeamOf(team), WeightOf(team), kFarDeadline }, kStart);
      PushResult expected = naive.Push(next, team);
      RC_ASSERT(real.status == expected.status);
      RC_ASSERT(real.evicted == expected.evicted);
      ++next;
    } else if (kind < 8 && !naive.items.empty()) {
      RC_ASSERT(queue.Front() != 0u);
      RC_ASSERT(queue.Pop(kStart) == naive.Pop());
    } else if (kind == 8) {
      RequestId request = operand % next;
      RC_ASSERT(queue.Cancel(request) == naive.Cancel(request));
    } else if (kind == 9) {
      queue.PushFront({ next, TeamOf(team), WeightOf(team), kFarDeadline }, kStart);
      naive.PushFront(next++, team);
    }
    RC_ASSERT(queue.Size() == naive.items.size());
  }
}

// Guards against a team that gets less than its weighted share while it waits: between any two
// points in time, requests served per weight differ by at most one request each.
RC_GTEST_PROP(AdmissionQueueTest, WaitingTeamsGetTheirWeightedTurns, ())
{
  auto weights = *rc::gen::container<std::vector<unsigned>>(4, rc::gen::inRange(1u, 9u));
  AdmissionQueue queue(100'000, 100'000);
  std::map<RequestId, unsigned> teamOf;
  RequestId next = 1;
  for (unsigned i = 0; i < 300; ++i) {
    for (unsigned team = 0; team < 4; ++team) {
      teamOf[next] = team;
      queue.Push({ next++, TeamOf(team), double(weights[team]), kFarDeadline }, kStart);
    }
  }
  std::vector<std::vector<double>> served(1, std::vector<double>(4, 0));
  // No team runs empty: 300 requests each, and fewer than 300 turns.
  for (unsigned turn = 0; turn < 299; ++turn) {
    unsigned team = teamOf[queue.Pop(kStart)];
    served.push_back(served.back());
    served.back()[team] += 1.0 / weights[team];
  }
  for (std::size_t from = 0; from < served.size(); from += 7) {
    for (std::size_t to = from; to < served.size(); to += 5) {
      for (unsigned a = 0; a < 4; ++a) {
        for (unsigned b = 0; b < 4; ++b) {
          double difference = (served[to][a] - served[from][a]) - (served[to][b] - served[from][b]);
          RC_ASSERT(difference <= 1.0 / weights[a] + 1.0 / weights[b] + 1e-9);
        }
      }
    }
  }
}

// Guards against a flood of one team that delays another team's request by more than one turn of
// each waiting team, whatever was served before.
RC_GTEST_PROP(AdmissionQueueTest, FloodDoesNotDelayOthers, ())
{
  auto before = *rc::gen::inRange(0u, 500u);
  auto flood = *rc::gen::inRange(1u, 2000u);
  AdmissionQueue queue(3000, 2000);
  RequestId next = 1;
  for (unsigned i = 0; i < before + flood; ++i) {
    queue.Push({ next++, "flood", 1, kFarDeadline }, kStart);
    queue.Push({ next++, "steady", 1, kFarDeadline }, kStart);
    if (i < before) {
      queue.Pop(kStart);
    }
  }
  RequestId request = next++;
  RC_ASSERT(queue.Push({ request, "quiet", 1, kFarDeadline }, kStart).status == PushStatus::Queued);
  unsigned turns = 1;
  while (queue.Pop(kStart) != request) {
    ++turns;
  }
  RC_ASSERT(turns <= 3u);
}

// Guards against a full queue that refuses a team because of another team's flood.
TEST(AdmissionQueueTest, FullQueueMakesRoomForATeamBelowItsShare)
{
  AdmissionQueue queue(10, 10);
  for (RequestId request = 1; request <= 10; ++request) {
    queue.Push({ request, "flood", 1, kFarDeadline }, kStart);
  }
  EXPECT_EQ(queue.Push({ 11, "flood", 1, kFarDeadline }, kStart).status, PushStatus::TeamQueueFull);
  PushResult pushed = queue.Push({ 12, "quiet", 1, kFarDeadline }, kStart);
  EXPECT_EQ(pushed.status, PushStatus::Queued);
  EXPECT_EQ(pushed.evicted, 10u);
  EXPECT_EQ(queue.Size(), 10u);
}

// Guards against requests that wait although their deadline can't be met, and against refusals
// while it can.
TEST(AdmissionQueueTest, RefusesEarlyWhenTheRateCannotMeetTheDeadline)
{
  AdmissionQueue queue(1000, 1000);
  TimePoint now = kStart;
  RequestId next = 1;
  for (unsigned i = 0; i < 100; ++i) {
    queue.Push({ next++, "a", 1, kFarDeadline }, now);
  }
  // One turn every 10 ms.
  for (unsigned i = 0; i < 50; ++i) {
    now += 10ms;
    queue.Pop(now);
  }
  // 50 wait, so a new request of the team gets its turn in about 510 ms.
  PushResult early = queue.Push({ next++, "a", 1, now + 400ms }, now);
  EXPECT_EQ(early.status, PushStatus::DeadlineUnreachable);
  EXPECT_EQ(early.expectedWait, 510ms);
  EXPECT_EQ(queue.Push({ next++, "a", 1, now + 600ms }, now).status, PushStatus::Queued);
  // Another team gets every second turn.
  EXPECT_EQ(queue.ExpectedWait("b", 1, now), 20ms);
  EXPECT_EQ(queue.Push({ next++, "b", 1, now + 30ms }, now).status, PushStatus::Queued);
  // After a stall of a second the rate is no longer what it was.
  EXPECT_GE(queue.ExpectedWait("c", 1, now + 1s), 1s);
}

// Guards against a rate that counts the time in which nothing waited, or that outlives the fault
// that caused it: either refuses requests although slots become free quickly.
TEST(AdmissionQueueTest, IdleTimeAndOldFaultsDoNotCountAsRate)
{
  AdmissionQueue queue(1000, 1000);
  TimePoint now = kStart;
  for (bool isRetry : { false, true }) {
    RequestId next = isRetry ? 100 : 1;
    now += 100s;
    if (isRetry) {
      queue.PushFront({ next++, "a", 1, kFarDeadline }, now);
    } else {
      queue.Push({ next++, "a", 1, kFarDeadline }, now);
    }
    queue.Push({ next++, "a", 1, kFarDeadline }, now);
    now += 10ms;
    queue.Pop(now);
    EXPECT_EQ(queue.ExpectedWait("a", 1, now), 20ms);
    // The last one waits through a fault of nine seconds.
    now += 9s;
    queue.Pop(now);
  }
  now += 11s;
  queue.Push({ 200, "a", 1, kFarDeadline }, now);
  EXPECT_EQ(queue.ExpectedWait("a", 1, now), 0ms);
}

// Guards against a cancellation of many requests that changes the order of the others or leaves
// their team charged.
TEST(AdmissionQueueTest, CancellingThousandsKeepsTheOrderOfOthers)
{
  AdmissionQueue queue(20'000, 20'000);
  AdmissionQueue undisturbed(20'000, 20'000);
  std::vector<RequestId> cancelled;
  for (RequestId request = 1; request <= 5000; ++request) {
    queue.Push({ request, "burst", 1, kFarDeadline }, kStart);
    cancelled.push_back(request);
  }
  for (RequestId request = 5001; request <= 5100; ++request) {
    std::string team = TeamOf(static_cast<unsigned>(request % 3));
    queue.Push({ request, team, 1, kFarDeadline }, kStart);
    undisturbed.Push({ request, team, 1, kFarDeadline }, kStart);
  }
  EXPECT_EQ(queue.Cancel(cancelled), 5000u);
  EXPECT_EQ(queue.Cancel(cancelled), 0u);
  while (undisturbed.Size() > 0) {
    EXPECT_EQ(queue.Pop(kStart), undisturbed.Pop(kStart));
  }
  EXPECT_EQ(queue.Size(), 0u);
}

} // namespace
} // namespace daisydrift
