// Tests leased keys, epochs, seats and leadership against a store with faults at each call.

#include "daisydrift/membership.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

const std::vector<std::pair<std::string, StoreFault>> kFaults = {
  { "unreachable", StoreFault::Unreachable },
  { "answer_lost", StoreFault::ResponseLost },
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
  void InjectFaultAt(std::size_t aCall, StoreFault aFault)
  {
    this->callCount = 0;
    this->store.SetFaultHook([=, this](const std::string&, const std::string&) {
      return this->callCount++ == aCall ? aFault : StoreFault::None;
    });
  }

  std::size_t callCount = 0;
};

/// Guards against a seat that one of seven instances can't get, and against an eighth seat.
TEST_F(Lease, SevenInstancesGetSevenSeats)
{
  std::vector<SeatHolder> holders;
  std::set<unsigned> seats;
  for (unsigned i = 0; i < kSeatCount; ++i) {
    holders.push_back(this->MakeSeat("i" + std::to_string(i)));
    ASSERT_FALSE(holders.back().Claim());
    EXPECT_TRUE(holders.back().CanUse(this->clock.Now()));
    seats.insert(*holders.back().Seat());
  }
  EXPECT_EQ(seats.size(), kSeatCount);
  EXPECT_EQ(this->MakeSeat("late").Claim(), Errc::LimitReached);
  ASSERT_FALSE(holders[0].Renew());
  EXPECT_EQ(holders[0].Table().size(), kSeatCount);
  EXPECT_EQ(holders[0].Evidence().OtherSeatCount(), kSeatCount - 1);
}

/// Guards against a lease that counts from the response instead of the request: a holder would act
/// after the store has ended its lease.
TEST_F(Lease, LeaseIsConfirmedFromTheTimeTheRenewalWasSent)
{
  SeatHolder holder = this->MakeSeat("a");
  ASSERT_FALSE(holder.Claim());
  this->clock.Advance(2s);
  // Delays the renewal by more than the rest of the lease.
  this->store.SetFaultHook([&](const std::string& aOperation, const std::string&) {
    if (aOperation == "renew") {
      this->clock.Advance(2s);
    }
    return StoreFault::None;
  });
  TimePoint sentAt = this->clock.Now();
  holder.Renew();
  EXPECT_EQ(holder.Seat().has_value(), false) << "the lease ended while the renewal was in flight";
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
  EXPECT_TRUE(holder.CanUse(sentAt + 2999ms));
  EXPECT_FALSE(holder.CanUse(sentAt + 3s));
}

/// Guards against a claim that reports success without a seat in the store, holds a seat after an
/// error, or blocks the seat permanently, when any single store call fails.
TEST_F(Lease, ClaimSurvivesEachFaultAtEachStoreCall)
{
  for (const auto& [name, fault] : kFaults) {
    for (std::size_t call = 0;; ++call) {
      SCOPED_TRACE(name + " at call " + std::to_string(call));
      SeatHolder holder = this->MakeSeat("a");
      this->InjectFaultAt(call, fault);
      auto error = holder.Claim();
      this->store.SetFaultHook({});
      EXPECT_EQ(!error, holder.Seat().has_value()) << error.message();
      if (error) {
        EXPECT_FALSE(holder.CanUse(this->clock.Now()));
        this->clock.Advance(4s);
        ASSERT_FALSE(holder.Claim());
      }
      // An earlier attempt of the same instance does not count as a predecessor.
      EXPECT_TRUE(holder.CanUse(this->clock.Now()));
      ASSERT_FALSE(holder.Renew());
      ASSERT_EQ(holder.Table().size(), 1u);
      EXPECT_EQ(holder.Table()[0].epoch, holder.SeatEpoch());
      holder.Release();
      if (this->callCount <= call) {
        break;
      }
    }
  }
}

/// Guards against the use of a seat whose predecessor may still run requests. The seat is usable at
/// once after a clean release, 30 s after proof that the predecessor has stopped, and never without
/// either.
TEST_F(Lease, SeatIsUsableOnlyAfterItsPredecessorStopped)
{
  for (const std::string predecessorEnd : { "clean", "proof", "nothing" }) {
    SCOPED_TRACE(predecessorEnd);
    FakeStore fresh(this->clock);
    auto make = [&](const std::string& aId) {
      return SeatHolder(fresh, this->clock, { 0, aId, aId, "north-1", "north" });
    };
    std::vector<SeatHolder> others;
    for (unsigned i = 0; i < kSeatCount - 1; ++i) {
      others.push_back(make("o" + std::to_string(i)));
      ASSERT_FALSE(others.back().Claim());
    }
    SeatHolder predecessor = make("former");
    ASSERT_FALSE(predecessor.Claim());
    if (predecessorEnd == "clean") {
      predecessor.Release();
      EXPECT_FALSE(predecessor.CanUse(this->clock.Now()));
    }
    this->clock.Advance(predecessorEnd == "clean" ? 0s : 2s);
    for (SeatHolder& other : others) {
      ASSERT_FALSE(other.Renew());
    }
    this->clock.Advance(predecessorEnd == "clean" ? 0s : 2s);
    SeatHolder next = make("next");
    ASSERT_FALSE(next.Claim());
    TimePoint claimed = this->clock.Now();
    EXPECT_EQ(next.CanUse(claimed), predecessorEnd == "clean");
    if (predecessorEnd == "proof") {
      next.OnPredecessorStopped("former", claimed);
    }
    for (unsigned second = 0; second < 60; ++second) {
      this->clock.Advance(1s);
      ASSERT_FALSE(next.Renew());
      TimePoint now = this->clock.Now();
      EXPECT_EQ(next.CanUse(now),
                predecessorEnd == "clean" ||
                  (predecessorEnd == "proof" && now >= claimed + kMaxRequestDuration));
    }
    EXPECT_EQ(next.Predecessors().size(), predecessorEnd == "clean" ? 0u : 1u);
  }
}

/// Guards against the loss of a predecessor not known to have stopped when its successor ends too:
/// the next holder must still wait for it.
TEST_F(Lease, PredecessorsNotKnownToHaveStoppedAreInherited)
{
  RoleHistory history(this->store, "history", {});
  EXPECT_EQ(history.BeginTerm({ "a", "a:1" })->epoch, 1u);
  EXPECT_EQ(history.BeginTerm({ "b", "b:1" })->predecessors.size(), 1u);
  auto third = history.BeginTerm({ "c", "c:1" });
  ASSERT_TRUE(third);
  EXPECT_EQ(third->epoch, 3u);
  EXPECT_EQ(third->predecessors, (std::vector<RoleHolder>{ { "a", "a:1", 1 }, { "b", "b:1", 2 } }));
  EXPECT_EQ(history.EndEarlierTerms(2), Errc::Conflict);
  EXPECT_FALSE(history.EndTerm(3));
  EXPECT_EQ(history.BeginTerm({ "b", "b:1" })->predecessors.size(), 1u)
    << "a stays, b is the same instance";
  EXPECT_FALSE(history.EndEarlierTerms(4));
  EXPECT_FALSE(history.EndTerm(4));
  EXPECT_TRUE(history.BeginTerm({ "d", "d:1" })->predecessors.empty());
}

/// Guards against an epoch that decreases or is used twice when the leased key has disappeared, or
/// when any single store call of the election fails.
TEST_F(Lease, EpochsOnlyIncrease)
{
  Epoch last = 0;
  for (const auto& [name, fault] : kFaults) {
    for (std::size_t call = 0;; ++call) {
      SCOPED_TRACE(name + " at call " + std::to_string(call));
      Leadership leader = this->MakeLeader("a");
      this->InjectFaultAt(call, fault);
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
      if (this->callCount <= call) {
        break;
      }
    }
  }
}

/// Guards against a second leader: a candidate pauses during its election until another one has
/// been elected, and then completes its own.
TEST_F(Lease, CandidateOvertakenDuringItsElectionDoesNotLead)
{
  Leadership slow = this->MakeLeader("slow");
  Leadership fast = this->MakeLeader("fast");
  Epoch fastEpoch = 0;
  std::size_t call = 0;
  this->store.SetFaultHook([&](const std::string&, const std::string&) {
    // Store calls: get leader, grant lease, claim key, get history, write history, write epoch.
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

/// Guards against a leader that keeps all its rights in a store outage, or loses all of them
/// although its peers confirm the outage, and against one that continues after the store has ended
/// its lease.
TEST_F(Lease, LeaderContinuesInAnOutageOnlyWithEvidence)
{
  Leadership leader = this->MakeLeader("a");
  ASSERT_TRUE(leader.Campaign({ "b", "c" }));
  this->store.SetFaultHook(
    [](const std::string&, const std::string&) { return StoreFault::Unreachable; });
  this->clock.Advance(3s);
  EXPECT_EQ(leader.Renew({ "b", "c" }), Errc::Unreachable);
  TimePoint now = this->clock.Now();
  EXPECT_EQ(leader.Status(now), LeadershipStatus::Doubtful);
  leader.Evidence().OnHeartbeatResult("b", HeartbeatResult::StoreUnreachable, now);
  EXPECT_EQ(leader.Status(now), LeadershipStatus::Continuing);
  EXPECT_EQ(leader.Status(now + 5s), LeadershipStatus::Doubtful);
  this->store.SetFaultHook({});
  EXPECT_EQ(leader.Renew({ "b", "c" }), Errc::LeaseExpired);
  EXPECT_EQ(leader.Status(now), LeadershipStatus::Follower);
  EXPECT_EQ(leader.LeaderEpoch(), 0u);
}

/// Guards against a successor that waits for its predecessor after a clean step-down.
TEST_F(Lease, StepDownLeavesNoPredecessor)
{
  Leadership first = this->MakeLeader("a");
  Leadership second = this->MakeLeader("b");
  ASSERT_TRUE(first.Campaign({}));
  first.StepDown();
  EXPECT_EQ(first.Status(this->clock.Now()), LeadershipStatus::Follower);
  ASSERT_TRUE(second.Campaign({}));
  EXPECT_TRUE(second.Predecessors().empty());
  EXPECT_TRUE(second.PredecessorsStoppedAt(this->clock.Now()));
  this->clock.Advance(4s);
  Leadership third = this->MakeLeader("c");
  ASSERT_TRUE(third.Campaign({}));
  EXPECT_FALSE(third.PredecessorsStoppedAt(this->clock.Now() + 1h));
  third.OnPredecessorStopped("b", this->clock.Now());
  EXPECT_TRUE(third.PredecessorsStoppedAt(this->clock.Now()));
}

/// Guards against a return to an earlier configuration version, and against the use of a
/// configuration that was not confirmed lately.
TEST(ConfigFreshnessRules, MaxAgesAndVersions)
{
  ConfigFreshness config;
  TimePoint now{ 10h };
  EXPECT_FALSE(config.CanAcceptAuthenticatedRequests(now));
  EXPECT_TRUE(config.OnStoreResponse(5, now));
  EXPECT_FALSE(config.OnStoreResponse(4, now + 1s));
  EXPECT_EQ(config.Version(), 5u);
  EXPECT_TRUE(config.CanStartTasks(now + 3999ms));
  EXPECT_FALSE(config.CanStartTasks(now + 4s));
  EXPECT_TRUE(config.CanAcceptAuthenticatedRequests(now + 7999ms));
  EXPECT_FALSE(config.CanAcceptAuthenticatedRequests(now + 8s));
  EXPECT_FALSE(config.IsFallbackReadDue(now + 1999ms, true));
  EXPECT_TRUE(config.IsFallbackReadDue(now + 2s, true));
  EXPECT_FALSE(config.IsFallbackReadDue(now + 4999ms, false));
  EXPECT_TRUE(config.IsFallbackReadDue(now + 5s, false));
  EXPECT_TRUE(config.OnPeerVersion(6));
  EXPECT_TRUE(config.OnPeerDocument(6));
  EXPECT_FALSE(config.OnPeerDocument(6));
  EXPECT_FALSE(config.CanAcceptAuthenticatedRequests(now + 8s))
    << "a peer's document must not confirm";
  config.OnOutageEvidence(now + 8s);
  EXPECT_TRUE(config.CanAcceptAuthenticatedRequests(now + 15s));
  EXPECT_FALSE(config.OnStoreResponse(6, now + 16s));
  EXPECT_TRUE(config.CanAcceptAuthenticatedRequests(now + 17s));
}

/// Guards against clients that resume at the same time when the store recovers, and against an
/// overloaded store that is taken for an outage.
TEST(Reachability, WindowAndJitter)
{
  TimePoint now{ 10h };
  std::set<Duration> resumes;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    StoreReachability reachability(seed);
    EXPECT_FALSE(reachability.IsReachable(now));
    reachability.OnCall(Errc::Overloaded, now, now);
    EXPECT_TRUE(reachability.CanResume(now)) << "the first contact must not count as a recovery";
    reachability.OnCall(Errc::OutcomeUnknown, now + 2s, now + 3s);
    EXPECT_FALSE(reachability.IsReachable(now + 3s));
    reachability.OnCall({}, now + 10s, now + 10s);
    EXPECT_TRUE(reachability.IsReachable(now + 10s));
    Duration wait{ 0 };
    while (!reachability.CanResume(now + 10s + wait)) {
      wait += 1ms;
      reachability.OnCall({}, now + 10s + wait, now + 10s + wait);
    }
    EXPECT_LE(wait, kStoreRecoveryJitter);
    resumes.insert(wait);
  }
  EXPECT_GT(resumes.size(), 40u);
}

/// Guards against retry delays that don't grow with the failures, or that grow without bound.
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
