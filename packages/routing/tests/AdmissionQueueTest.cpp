// Guards against an unfair queue: a team served later than its weight entitles it to, a flood of
// one team that delays others, unfounded refusals, a queue beyond its capacity, and cancellations
// that affect other requests.

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

/// Reference implementation: a single list of all queued requests, searched in each call.
class ReferenceQueue
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
    this->Activate(aTeam);
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
    this->Activate(aTeam);
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
  void Activate(unsigned aTeam)
  {
    if (this->CountOf(aTeam) == 0) {
      this->tags[aTeam] = std::max(this->tags[aTeam], this->virtualTime);
    }
  }
  double LoadOf(unsigned aTeam, unsigned aAdditional) const
  {
    return static_cast<double>(this->CountOf(aTeam) + aAdditional) / WeightOf(aTeam);
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

// Guards against results that differ from the reference implementation in any sequence of calls.
RC_GTEST_PROP(AdmissionQueueTest, AgreesWithTheReferenceQueue, ())
{
  auto steps =
    *rc::gen::resize(300,
                     rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
                       rc::gen::pair(rc::gen::inRange(0u, 10u), rc::gen::inRange(0u, 1000u))));
  AdmissionQueue queue(kCapacity, kTeamCapacity);
  ReferenceQueue reference;
  RequestId next = 1;
  for (const auto& [kind, operand] : steps) {
    unsigned team = operand % 4;
    if (kind < 6) {
      PushResult real = queue.Push({ next, TeamOf(team), WeightOf(team), kFarDeadline }, kStart);
      PushResult expected = reference.Push(next, team);
      RC_ASSERT(real.status == expected.status);
      RC_ASSERT(real.evicted == expected.evicted);
      ++next;
    } else if (kind < 8 && !reference.items.empty()) {
      RC_ASSERT(queue.Front() != 0u);
      RC_ASSERT(queue.Pop(kStart) == reference.Pop());
    } else if (kind == 8) {
      RequestId request = operand % next;
      RC_ASSERT(queue.Cancel(request) == reference.Cancel(request));
    } else if (kind == 9) {
      queue.PushFront({ next, TeamOf(team), WeightOf(team), kFarDeadline }, kStart);
      reference.PushFront(next++, team);
    }
    RC_ASSERT(queue.Size() == reference.items.size());
  }
}

// Guards against a team that is served less than its weighted share while it has queued requests:
// between any two points in time, the numbers of requests served, divided by the weights, differ by
// at most one request of each team.
RC_GTEST_PROP(AdmissionQueueTest, QueuedTeamsAreServedByWeight, ())
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
  // No team's requests run out: each has 300, and fewer than 300 are dequeued.
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

// Guards against a flood of one team that delays another team's request by more than one request of
// each queued team, whatever was served before.
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
  unsigned dequeued = 1;
  while (queue.Pop(kStart) != request) {
    ++dequeued;
  }
  RC_ASSERT(dequeued <= 3u);
}

// Guards against a full queue that refuses a team because of another team's flood.
TEST(AdmissionQueueTest, FullQueueEvictsForATeamBelowItsShare)
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

// Guards against queueing a request whose deadline can't be met, and against refusing one whose
// deadline can.
TEST(AdmissionQueueTest, RefusesEarlyWhenTheRateCannotMeetTheDeadline)
{
  AdmissionQueue queue(1000, 1000);
  TimePoint now = kStart;
  RequestId next = 1;
  for (unsigned i = 0; i < 100; ++i) {
    queue.Push({ next++, "a", 1, kFarDeadline }, now);
  }
  // One dequeue every 10 ms.
  for (unsigned i = 0; i < 50; ++i) {
    now += 10ms;
    queue.Pop(now);
  }
  // 50 requests are queued, so a new request of the team is dequeued after about 510 ms.
  PushResult early = queue.Push({ next++, "a", 1, now + 400ms }, now);
  EXPECT_EQ(early.status, PushStatus::DeadlineUnreachable);
  EXPECT_EQ(early.expectedWait, 510ms);
  EXPECT_EQ(queue.Push({ next++, "a", 1, now + 600ms }, now).status, PushStatus::Queued);
  // Another team gets every second dequeue.
  EXPECT_EQ(queue.ExpectedWait("b", 1, now), 20ms);
  EXPECT_EQ(queue.Push({ next++, "b", 1, now + 30ms }, now).status, PushStatus::Queued);
  // During a stall of one second the measured rate no longer applies.
  EXPECT_GE(queue.ExpectedWait("c", 1, now + 1s), 1s);
}

// Guards against a rate that includes the time in which nothing was queued, or that is still used
// after the fault that caused it: both refuse requests although slots become free quickly.
TEST(AdmissionQueueTest, RateExcludesIdleTimeAndOldFaults)
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
    // The last request waits through a fault of nine seconds.
    now += 9s;
    queue.Pop(now);
  }
  now += 11s;
  queue.Push({ 200, "a", 1, kFarDeadline }, now);
  EXPECT_EQ(queue.ExpectedWait("a", 1, now), 0ms);
}

// Guards against a cancellation of many requests that changes the order of others or charges their
// team.
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
