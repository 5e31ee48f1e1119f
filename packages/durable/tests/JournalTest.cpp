// Tests of journal and takeover on a store with a fault at each of its calls.

#include "DurableFixtures.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

struct Region
{
  ManualClock clock;
  FakeStore store{ clock };

  RegionOwnership Lead(Epoch aEpoch)
  {
    auto owner = TakeOver(this->store, kRegion, aEpoch, "writer-" + std::to_string(aEpoch));
    EXPECT_TRUE(owner) << owner.Error().message();
    return std::move(*owner);
  }
};

/// Guards against a first leader that can't start on an empty store, and against entries that the
/// next leader does not recover.
TEST(Journal, StartsOnAnEmptyStoreAndIsReadBack)
{
  Region region;
  RegionOwnership owner = region.Lead(1);
  EXPECT_EQ(owner.journal->Position(), 1u);
  EXPECT_FALSE(Commit(owner, { Accept(1), Assign(1) }));
  RegionOwnership next = region.Lead(2);
  ASSERT_NE(next.state.FindJob(1), nullptr);
  EXPECT_EQ(next.state.FindJob(1)->tasks.size(), 1u);
  EXPECT_EQ(next.state.FindIdempotencyKey("trust", "key1")->job, 1u);
  EXPECT_EQ(next.state.NextJob(), 2u);
}

/// Guards against a deposed leader whose record is accepted after the barrier.
TEST(Journal, DeposedLeaderIsFenced)
{
  Region region;
  RegionOwnership old = region.Lead(1);
  RegionOwnership owner = region.Lead(2);
  EXPECT_EQ(Commit(old, { Accept(1) }), Errc::Fenced);
  EXPECT_TRUE(old.journal->IsFenced());
  EXPECT_EQ(old.journal->Resolve().Error(), Errc::Fenced);
  EXPECT_FALSE(Commit(owner, { Accept(1) }));
  EXPECT_EQ(TakeOver(region.store, kRegion, 1, "writer-1").Error(), Errc::Fenced);
  EXPECT_EQ(TakeOver(region.store, kRegion, 2, "someone").Error(), Errc::Fenced);
}

/// Guards against a lost response that is reported as success or failure without proof, and against
/// a record that is written twice.
TEST(Journal, EachFaultAtEachCallOfAnAppendHasACorrectOutcome)
{
  for (const auto& [name, fault] : kStoreFaults) {
    for (std::size_t call = 0; call < 4; ++call) {
      SCOPED_TRACE(name + " at call " + std::to_string(call));
      Region region;
      RegionOwnership owner = region.Lead(1);
      std::size_t count = 0;
      region.store.SetFaultHook(FaultAt(call, fault, count));
      auto error = Commit(owner, { Accept(1) });
      region.store.SetFaultHook({});
      bool isNotRun = error == Errc::Unreachable || error == Errc::Overloaded;
      EXPECT_TRUE(!error || isNotRun) << error.message();
      RegionOwnership next = region.Lead(2);
      EXPECT_EQ(next.state.Jobs().size(), isNotRun ? 0u : 1u);
      EXPECT_EQ(next.state.Position(), isNotRun ? 2u : 3u);
    }
  }
}

/// Guards against an unresolved record that is lost, and against appends before it is resolved.
TEST(Journal, UnresolvedRecordBlocksUntilResolved)
{
  for (bool takesEffect : { true, false }) {
    Region region;
    RegionOwnership owner = region.Lead(1);
    bool isFirst = true;
    region.store.SetFaultHook([&](const std::string&, const std::string&) {
      StoreFault fault =
        takesEffect && isFirst ? StoreFault::ResponseLost : StoreFault::RequestLost;
      isFirst = false;
      return fault;
    });
    std::vector<JournalEntry> entries{ Accept(1) };
    EXPECT_EQ(owner.journal->Append(entries).Error(), Errc::OutcomeUnknown);
    EXPECT_EQ(owner.journal->Append({ Accept(2) }).Error(), Errc::NotPermitted);
    EXPECT_EQ(owner.journal->Resolve().Error(), Errc::OutcomeUnknown);
    ASSERT_NE(owner.journal->UnresolvedEntries(), nullptr);
    EXPECT_EQ(*owner.journal->UnresolvedEntries(), entries);
    region.store.SetFaultHook({});
    auto number = owner.journal->Resolve();
    ASSERT_TRUE(number);
    EXPECT_EQ(*number, 2u);
    EXPECT_EQ(owner.journal->UnresolvedEntries(), nullptr);
    EXPECT_EQ(region.Lead(2).state.Jobs().size(), 1u);
  }
}

/// Guards against a wrong outcome of a deposed leader's unresolved record. It is committed if the
/// new leader has read it, not committed if the barrier took its slot, and unknown after the slot
/// was reused.
TEST(Journal, UnresolvedRecordOfADeposedLeader)
{
  for (bool takesEffect : { true, false }) {
    for (bool isReused : { false, true }) {
      Region region;
      RegionOwnership old = region.Lead(1);
      bool isFirst = true;
      region.store.SetFaultHook([&](const std::string&, const std::string&) {
        StoreFault fault =
          takesEffect && isFirst ? StoreFault::ResponseLost : StoreFault::RequestLost;
        isFirst = false;
        return fault;
      });
      EXPECT_EQ(old.journal->Append({ Accept(1) }).Error(), Errc::OutcomeUnknown);
      region.store.SetFaultHook({});
      RegionOwnership owner = region.Lead(2);
      for (std::uint64_t i = 0; isReused && i < kJournalSlots; ++i) {
        ASSERT_FALSE(Commit(owner, { JobCancelled{ 1 } }));
        if (owner.journal->NeedsSnapshot()) {
          ASSERT_FALSE(Compact(owner));
        }
      }
      auto resolved = old.journal->Resolve();
      EXPECT_EQ(resolved.HasValue(), takesEffect && !isReused);
      EXPECT_EQ(resolved.Error() == Errc::OutcomeUnknown, isReused);
      EXPECT_EQ(resolved.Error() == Errc::Fenced, !takesEffect && !isReused);
      EXPECT_EQ(old.journal->IsFenced(), !resolved);
      EXPECT_EQ(owner.state.Jobs().size(), takesEffect ? 1u : 0u);
    }
  }
}

/// Guards against a slot that is reused before a snapshot covers its record, which loses the
/// record, and against a takeover that fails because the ring is full.
TEST(Journal, RingIsNotReusedWithoutASnapshot)
{
  Region region;
  RegionOwnership owner = region.Lead(1);
  std::uint64_t appended = 1;
  std::error_code error;
  while (!(error = Commit(owner, { Accept(appended) })) && appended < 2 * kJournalSlots) {
    ++appended;
  }
  EXPECT_EQ(error, Errc::LimitReached);
  EXPECT_EQ(appended, kJournalSlots);
  EXPECT_TRUE(owner.journal->NeedsSnapshot());
  RegionOwnership next = region.Lead(2);
  EXPECT_EQ(next.state.Jobs().size(), kJournalSlots - 1);
  EXPECT_EQ(Compact(owner), Errc::Fenced);
  EXPECT_FALSE(Commit(next, { Accept(appended) }));
  EXPECT_EQ(region.Lead(3).state.Jobs(), next.state.Jobs());
}

/// Guards against a record that is applied twice, for example after a repeated read, or skipped.
TEST(Journal, RecordsApplyInOrderAndOnce)
{
  RegionState state;
  EXPECT_FALSE(state.ApplyEntries(1, { Accept(1) }));
  RegionState before = state;
  EXPECT_EQ(state.ApplyEntries(1, { JobCancelled{ 1 } }), Errc::InvalidArgument);
  EXPECT_EQ(state.ApplyEntries(3, { JobCancelled{ 1 } }), Errc::InvalidArgument);
  EXPECT_EQ(state, before);
}

/// Guards against jobs and keys that are never removed or removed too early. A finished job with a
/// running attempt must be kept, since the attempt still uses resources.
TEST(Journal, FinishedJobsAndKeysExpire)
{
  RegionState state;
  JobFinished finished{ 1, 2, "done", 1000 };
  ASSERT_FALSE(state.ApplyEntries(1, { Accept(1), Assign(1), finished }));
  state.Expire(1000 + 3600);
  EXPECT_NE(state.FindJob(1), nullptr);
  ASSERT_FALSE(
    state.ApplyEntries(2, { AttemptEnded{ { { 1, 0 }, 1 }, StoredAttemptOutcome::Interrupted } }));
  state.Expire(1000 + 3599);
  EXPECT_NE(state.FindJob(1), nullptr);
  state.Expire(1000 + 3600);
  EXPECT_EQ(state.FindJob(1), nullptr);
  state.Expire(1000 + 86'399);
  EXPECT_NE(state.FindIdempotencyKey("trust", "key1"), nullptr);
  state.Expire(1000 + 86'400);
  EXPECT_EQ(state.FindIdempotencyKey("trust", "key1"), nullptr);
  EXPECT_EQ(state.NextJob(), 2u) << "job numbers must not be reused";
}

/// Guards against records that are empty or above the size limit, which the caller must split.
TEST(Journal, RefusesLargeAndEmptyRecords)
{
  Region region;
  RegionOwnership owner = region.Lead(1);
  std::string noise(kMaxRecordBytes, 'x');
  EXPECT_GT(owner.journal->EncodedSize({ Accept(1, noise) }), kMaxRecordBytes);
  EXPECT_EQ(Commit(owner, { Accept(1, noise) }), Errc::InvalidArgument);
  EXPECT_EQ(Commit(owner, {}), Errc::InvalidArgument);
  EXPECT_FALSE(Commit(owner, { Accept(1) }));
}

/// Guards against a takeover that applies a record twice or not at all when a store call fails, and
/// against a failed takeover that can't be retried.
TEST(Recovery, TakeOverCanBeRetriedAfterEachFaultAtEachCall)
{
  for (const auto& [name, fault] : kStoreFaults) {
    for (std::size_t call = 0;; ++call) {
      SCOPED_TRACE(name + " at call " + std::to_string(call));
      Region region;
      RegionOwnership owner = region.Lead(1);
      ASSERT_FALSE(Commit(owner, { Accept(1) }));
      ASSERT_FALSE(Compact(owner));
      for (JobNumber job = 2; job < 20; ++job) {
        ASSERT_FALSE(Commit(owner, { Accept(job) }));
      }
      std::size_t count = 0;
      region.store.SetFaultHook(FaultAt(call, fault, count));
      auto next = TakeOver(region.store, kRegion, 2, "writer-2");
      region.store.SetFaultHook({});
      if (!next) {
        next = TakeOver(region.store, kRegion, 2, "writer-2");
      }
      ASSERT_TRUE(next) << next.Error().message();
      EXPECT_EQ(next->state.Jobs(), owner.state.Jobs());
      EXPECT_EQ(Commit(owner, { Accept(20) }), Errc::Fenced);
      EXPECT_FALSE(Commit(*next, { Accept(20) }));
      if (count <= call) {
        break;
      }
    }
  }
}

/// Guards against a state of the store from which no leader can take over, left by a new leader
/// that crashed at any call of its takeover. The ring is full, so that the takeover writes a
/// snapshot too.
TEST(Recovery, CrashAtEachCallOfATakeOverIsSurvived)
{
  bool isDone = false;
  for (std::size_t call = 0; !isDone; ++call) {
    SCOPED_TRACE(call);
    Region region;
    RegionOwnership owner = region.Lead(1);
    while (owner.journal->IsNextSlotFree()) {
      ASSERT_FALSE(Commit(owner, { Accept(owner.state.NextJob()) }));
    }
    std::size_t count = 0;
    region.store.SetFaultHook([&](const std::string&, const std::string&) {
      return count++ < call ? StoreFault::None : StoreFault::Unreachable;
    });
    isDone = TakeOver(region.store, kRegion, 2, "writer-2").HasValue();
    region.store.SetFaultHook({});
    auto next = TakeOver(region.store, kRegion, 3, "writer-3");
    ASSERT_TRUE(next) << next.Error().message();
    ASSERT_EQ(next->state.Jobs(), owner.state.Jobs());
    ASSERT_FALSE(Commit(*next, { Accept(next->state.NextJob()) }));
  }
}

/// Guards against a takeover that loses a record committed by the old leader in the meantime, and
/// against one that never returns while the old leader keeps appending.
TEST(Recovery, WorksWhileTheOldLeaderAppends)
{
  for (unsigned appends : { 1u, 2u, 7u, 1000u }) {
    Region region;
    RegionOwnership old = region.Lead(1);
    unsigned left = appends;
    bool isInside = false;
    region.store.SetFaultHook([&](const std::string&, const std::string&) {
      if (!isInside && left > 0) {
        isInside = true;
        --left;
        EXPECT_FALSE(Commit(old, { Accept(old.state.NextJob()) }));
        if (old.journal->NeedsSnapshot()) {
          EXPECT_FALSE(Compact(old));
        }
        isInside = false;
      }
      return StoreFault::None;
    });
    auto next = TakeOver(region.store, kRegion, 2, "writer-2");
    if (appends == 1000u) {
      EXPECT_EQ(next.Error(), Errc::Conflict);
      EXPECT_GT(left, 0u);
      continue;
    }
    ASSERT_TRUE(next) << next.Error().message();
    EXPECT_EQ(left, 0u);
    EXPECT_EQ(next->state.Jobs(), old.state.Jobs());
    EXPECT_EQ(Commit(old, { Accept(old.state.NextJob()) }), Errc::Fenced);
  }
}

} // namespace
} // namespace daisydrift
