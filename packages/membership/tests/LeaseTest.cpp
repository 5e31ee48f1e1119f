// Leased keys, epochs, seats and leadership against a store with faults at each call.

#include "daisydrift/membership.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

const std::vector<std::pair<std::string, StoreFault>> kFaults = {
  { "unreachable", StoreFault::Unreachable },
  { "answer_lost", StoreFault::AnswerLost },
  { "request_lost", StoreFault::RequestLost },
  { "overloaded", StoreFault::Overloaded }
};

class Lease : public testing::Test
{
protected:
  ManualClock clock;
  FakeStore store{ clock };

  SeatHolder MakeSeat(const std::string& aInstance)
  {
    return { this->store, this->clock, { 0, aInstance, aInstance + ":1", "north-1", "north" } };
  }
  Leadership MakeLeader(const std::string& aInstance)
  {
    return { this->store, this->clock, "north", aInstance, aInstance + ":1" };
  }
  void FaultAt(std::size_t aCall, StoreFault aFault)
  {
    this->calls = 0;
    this->store.SetFaultHook([=, this](const std::string&, const std::string&) {
      return this->calls++ == aCall ? aFault : StoreFault::None;
    });
  }

  std::size_t calls = 0;
};

/// Guards against seven instances that can't all get a seat, and against an eighth that gets one.
TEST_F(Lease, SevenInstancesGetSevenSeats)
{
  std::vector<SeatHolder> holders;
  std::set<unsigned> seats;
  for (unsigned i = 0; i < kSeatCount; ++i) {
    holders.push_back(this->MakeSeat("i" + std::to_string(i)));
    ASSERT_FALSE(holders.back().Claim());
    EXPECT_TRUE(holders.back().MayAct(this->clock.Now()));
    seats.insert(*holders.back().Seat());
  }
  EXPECT_EQ(seats.size(), kSeatCount);
  EXPECT_EQ(this->MakeSeat("late").Claim(), Errc::LimitReached);
  ASSERT_FALSE(holders[0].Renew());
  EXPECT_EQ(holders[0].Table().size(), kSeatCount);
  EXPECT_EQ(holders[0].Evidence().Others(), kSeatCount - 1);
}

/// Guards against a lease that counts from the answer instead of the request: a holder would act
/// after the store ended its lease.
TEST_F(Lease, LeaseIsConfirmedFromTheTimeTheRenewalWasSent)
{
  SeatHolder holder = this->MakeSeat("a");
  ASSERT_FALSE(holder.Claim());
  this->clock.Advance(2s);
  // The call is delayed on its way back: time passes after the store has counted the renewal.
  this->store.SetFaultHook([&](const std::string& aOperation, const std::string&) {
    if (aOperation == "renew") {
      this->clock.Advance(2s);
    }
    return StoreFault::None;
  });
  TimePoint sentAt = this->clock.Now();
  holder.Renew();
  EXPECT_EQ(holder.Seat().has_value(), false) << "the lease ended while the renewal was on its way";
  this->store.SetFaultHook({});
  ASSERT_FALSE(holder.Claim());
  this->store.SetFaultHook([&](const std::string& aOperation, const std::string&) {
    if (aOperation == "renew") {
      this->clock.Advance(1s);
    }
    return StoreFault::None;
  });
  sentAt = this->clock.Now();
  ASSERT_FALSE(holder.Renew());
  EXPECT_TRUE(holder.MayAct(sentAt + 2999ms));
  EXPECT_FALSE(holder.MayAct(sentAt + 3s));
}

/// Guards against a claim that reports success without a seat in the store, holds a seat after an
/// error, or blocks the seat for good, when any one store call fails.
TEST_F(Lease, EachFaultAtEachCallOfAClaim)
{
  for (const auto& [name, fault] : kFaults) {
    for (std::size_t call = 0;; ++call) {
      SCOPED_TRACE(name + " at call " + std::to_string(call));
      SeatHolder holder = this->MakeSeat("a");
      this->FaultAt(call, fault);
      auto error = holder.Claim();
      this->store.SetFaultHook({});
      EXPECT_EQ(!error, holder.Seat().has_value()) << error.message();
      if (error) {
        EXPECT_FALSE(holder.MayAct(this->clock.Now()));
        this->clock.Advance(4s);
        ASSERT_FALSE(holder.Claim());
      }
      // The same instance's earlier try is no former holder.
      EXPECT_TRUE(holder.MayAct(this->clock.Now()));
      ASSERT_FALSE(holder.Renew());
      ASSERT_EQ(holder.Table().size(), 1u);
      EXPECT_EQ(holder.Table()[0].epoch, holder.SeatEpoch());
      holder.Release();
      if (this->calls <= call) {
        break;
      }
    }
  }
}

/// Guards against the use of a seat whose former holder may still run requests: after a clean leave
/// at once, after proof of its stop 30 s later, without either never.
TEST_F(Lease, SeatOfAFormerHolder)
{
  for (const std::string end : { "clean", "proof", "nothing" }) {
    SCOPED_TRACE(end);
    FakeStore fresh(this->clock);
    auto make = [&](const std::string& aId) {
      return SeatHolder(fresh, this->clock, { 0, aId, aId, "north-1", "north" });
    };
    std::vector<SeatHolder> others;
    for (unsigned i = 0; i < kSeatCount - 1; ++i) {
      others.push_back(make("o" + std::to_string(i)));
      ASSERT_FALSE(others.back().Claim());
    }
    SeatHolder former = make("former");
    ASSERT_FALSE(former.Claim());
    if (end == "clean") {
      former.Release();
      EXPECT_FALSE(former.MayAct(this->clock.Now()));
    }
    this->clock.Advance(end == "clean" ? 0s : 2s);
    for (SeatHolder& other : others) {
      ASSERT_FALSE(other.Renew());
    }
    this->clock.Advance(end == "clean" ? 0s : 2s);
    SeatHolder next = make("next");
    ASSERT_FALSE(next.Claim());
    TimePoint claimed = this->clock.Now();
    EXPECT_EQ(next.MayAct(claimed), end == "clean");
    if (end == "proof") {
      next.OnFormerStopped("former", claimed);
    }
    for (unsigned second = 0; second < 60; ++second) {
      this->clock.Advance(1s);
      ASSERT_FALSE(next.Renew());
      TimePoint now = this->clock.Now();
      EXPECT_EQ(next.MayAct(now),
                end == "clean" || (end == "proof" && now >= claimed + kLongestRequest));
    }
    EXPECT_EQ(next.Formers().size(), end == "clean" ? 0u : 1u);
  }
}

/// Guards against a holder that dies before its predecessor is known to have stopped and thereby
/// hides it from the next holder.
TEST_F(Lease, UnsettledFormerHoldersAreInherited)
{
  RoleHistory history(this->store, "history", {});
  EXPECT_EQ(history.Enter({ "a", "a:1" })->epoch, 1u);
  EXPECT_EQ(history.Enter({ "b", "b:1" })->formers.size(), 1u);
  auto third = history.Enter({ "c", "c:1" });
  ASSERT_TRUE(third);
  EXPECT_EQ(third->epoch, 3u);
  EXPECT_EQ(third->formers, (std::vector<RoleHolder>{ { "a", "a:1", 1 }, { "b", "b:1", 2 } }));
  EXPECT_EQ(history.Settle(2), Errc::Conflict);
  EXPECT_FALSE(history.Leave(3));
  EXPECT_EQ(history.Enter({ "b", "b:1" })->formers.size(), 1u) << "a stays, b is the same instance";
  EXPECT_FALSE(history.Settle(4));
  EXPECT_FALSE(history.Leave(4));
  EXPECT_TRUE(history.Enter({ "d", "d:1" })->formers.empty());
}

/// Guards against an epoch that goes down or is used twice when the leased key has disappeared, or
/// when any one store call of the election fails.
TEST_F(Lease, EpochsOnlyIncrease)
{
  Epoch last = 0;
  for (const auto& [name, fault] : kFaults) {
    for (std::size_t call = 0;; ++call) {
      SCOPED_TRACE(name + " at call " + std::to_string(call));
      Leadership leader = this->MakeLeader("a");
      this->FaultAt(call, fault);
      auto epoch = leader.Campaign({});
      this->store.SetFaultHook({});
      if (epoch) {
        EXPECT_GT(*epoch, last);
        last = *epoch;
        EXPECT_EQ(ReadLeaderOf(this->store, "north", 1s)->epoch, last);
        EXPECT_EQ(this->MakeLeader("b").Campaign({}).Error(), Errc::Conflict);
      }
      EXPECT_EQ(leader.Status(this->clock.Now()) == LeadershipStatus::Leading, epoch.HasValue());
      this->clock.Advance(4s);
      EXPECT_NE(leader.Status(this->clock.Now()), LeadershipStatus::Leading);
      if (this->calls <= call) {
        break;
      }
    }
  }
}

/// Guards against a candidate that pauses during its election, is overtaken, and then leads too.
TEST_F(Lease, CandidateOvertakenDuringItsElectionDoesNotLead)
{
  Leadership slow = this->MakeLeader("slow");
  Leadership fast = this->MakeLeader("fast");
  Epoch fastEpoch = 0;
  std::size_t call = 0;
  this->store.SetFaultHook([&](const std::string&, const std::string&) {
    // Calls: get leader, grant, claim, get history, enter term, write epoch.
    if (++call == 5) {
      this->store.SetFaultHook({});
      this->clock.Advance(4s);
      auto epoch = fast.Campaign({});
      EXPECT_TRUE(epoch);
      fastEpoch = *epoch;
    }
    return StoreFault::None;
  });
  EXPECT_FALSE(slow.Campaign({}));
  EXPECT_EQ(slow.Status(this->clock.Now()), LeadershipStatus::Follower);
  EXPECT_EQ(fast.Status(this->clock.Now()), LeadershipStatus::Leading);
  EXPECT_EQ(ReadLeaderOf(this->store, "north", 1s)->epoch, fastEpoch);
}

/// Guards against a leader that acts fully in an outage, or not at all although its peers confirm
/// the outage, and against one that goes on after the store ended its lease.
TEST_F(Lease, LeaderInAnOutage)
{
  Leadership leader = this->MakeLeader("a");
  ASSERT_TRUE(leader.Campaign({ "b", "c" }));
  this->store.SetFaultHook(
    [](const std::string&, const std::string&) { return StoreFault::Unreachable; });
  this->clock.Advance(3s);
  EXPECT_EQ(leader.Renew({ "b", "c" }), Errc::Unreachable);
  TimePoint now = this->clock.Now();
  EXPECT_EQ(leader.Status(now), LeadershipStatus::Doubtful);
  leader.Evidence().OnAnswer("b", PeerAnswer::StoreUnreachable, now);
  EXPECT_EQ(leader.Status(now), LeadershipStatus::Continuing);
  EXPECT_EQ(leader.Status(now + 5s), LeadershipStatus::Doubtful);
  this->store.SetFaultHook({});
  EXPECT_EQ(leader.Renew({ "b", "c" }), Errc::LeaseExpired);
  EXPECT_EQ(leader.Status(now), LeadershipStatus::Follower);
  EXPECT_EQ(leader.LeaderEpoch(), 0u);
}

/// Guards against a clean step-down after which the successor waits for its predecessor.
TEST_F(Lease, StepDownLeavesNoFormerLeader)
{
  Leadership first = this->MakeLeader("a");
  Leadership second = this->MakeLeader("b");
  ASSERT_TRUE(first.Campaign({}));
  first.StepDown();
  EXPECT_EQ(first.Status(this->clock.Now()), LeadershipStatus::Follower);
  ASSERT_TRUE(second.Campaign({}));
  EXPECT_TRUE(second.Formers().empty());
  EXPECT_TRUE(second.FormersStoppedAt(this->clock.Now()));
  this->clock.Advance(4s);
  Leadership third = this->MakeLeader("c");
  ASSERT_TRUE(third.Campaign({}));
  EXPECT_FALSE(third.FormersStoppedAt(this->clock.Now() + 1h));
  third.OnFormerStopped("b", this->clock.Now());
  EXPECT_TRUE(third.FormersStoppedAt(this->clock.Now()));
}

/// Guards against a configuration that goes back, or is used when nobody has confirmed it lately.
TEST(ConfigFreshnessRules, AgesAndVersions)
{
  ConfigFreshness config;
  TimePoint now{ 10h };
  EXPECT_FALSE(config.MayAcceptKeyedWork(now));
  EXPECT_TRUE(config.OnStoreAnswer(5, now));
  EXPECT_FALSE(config.OnStoreAnswer(4, now + 1s));
  EXPECT_EQ(config.Version(), 5u);
  EXPECT_TRUE(config.MayStartTasks(now + 3999ms));
  EXPECT_FALSE(config.MayStartTasks(now + 4s));
  EXPECT_TRUE(config.MayAcceptKeyedWork(now + 7999ms));
  EXPECT_FALSE(config.MayAcceptKeyedWork(now + 8s));
  EXPECT_FALSE(config.IsFallbackReadDue(now + 1999ms, true));
  EXPECT_TRUE(config.IsFallbackReadDue(now + 2s, true));
  EXPECT_FALSE(config.IsFallbackReadDue(now + 4999ms, false));
  EXPECT_TRUE(config.IsFallbackReadDue(now + 5s, false));
  EXPECT_TRUE(config.OnPeerVersion(6));
  EXPECT_TRUE(config.OnPeerDocument(6));
  EXPECT_FALSE(config.OnPeerDocument(6));
  EXPECT_FALSE(config.MayAcceptKeyedWork(now + 8s)) << "a peer's document is no confirmation";
  config.OnOutageEvidence(now + 8s);
  EXPECT_TRUE(config.MayAcceptKeyedWork(now + 15s));
  EXPECT_FALSE(config.OnStoreAnswer(6, now + 16s));
  EXPECT_TRUE(config.MayAcceptKeyedWork(now + 17s));
}

/// Guards against clients that resume together when the store returns, and against an overloaded
/// store that is taken for an outage.
TEST(Reachability, WindowAndJitter)
{
  TimePoint now{ 10h };
  std::set<Duration> resumes;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    StoreReachability reachability(seed);
    EXPECT_FALSE(reachability.IsReachable(now));
    reachability.OnCall(Errc::Overloaded, now, now);
    EXPECT_TRUE(reachability.MayResume(now)) << "the first contact is no return";
    reachability.OnCall(Errc::OutcomeUnknown, now + 2s, now + 3s);
    EXPECT_FALSE(reachability.IsReachable(now + 3s));
    reachability.OnCall({}, now + 10s, now + 10s);
    EXPECT_TRUE(reachability.IsReachable(now + 10s));
    Duration wait{ 0 };
    while (!reachability.MayResume(now + 10s + wait)) {
      wait += 1ms;
      reachability.OnCall({}, now + 10s + wait, now + 10s + wait);
    }
    EXPECT_LE(wait, kStoreReturnJitter);
    resumes.insert(wait);
  }
  EXPECT_GT(resumes.size(), 40u);
}

/// Guards against retries that come closer together under failure or grow without bound.
TEST(Reachability, RetryDelayDoublesItsBound)
{
  RetryDelay one(100ms, 1s, 7);
  RetryDelay two(100ms, 1s, 7);
  Duration longest{ 0 };
  for (Duration bound : { 100ms, 200ms, 400ms, 800ms, 1000ms, 1000ms }) {
    Duration delay = one.Next();
    EXPECT_LE(delay, bound);
    EXPECT_EQ(delay, two.Next());
    longest = std::max(longest, delay);
  }
  EXPECT_GT(longest, 100ms);
  one.Reset();
  EXPECT_LE(one.Next(), 100ms);
}

} // namespace
} // namespace daisydrift
