// Snapshots: a crash, a fault or a deposed leader at any point leaves a whole snapshot in use.

#include "DurableFixtures.h"
#include "UnreliableStore.h"

#include <gtest/gtest.h>

#include <random>

namespace daisydrift {
namespace {

/// A state of two parts whose bytes depend on aSeed; aPosition records are applied.
RegionState BigState(std::uint64_t aPosition, unsigned aSeed)
{
  RegionState state;
  std::mt19937 generator(aSeed);
  std::string noise(kMaxPartBytes + 1000, '\0');
  for (char& byte : noise) {
    byte = static_cast<char>(generator());
  }
  EXPECT_FALSE(state.ApplyEntries(1, { Accept(1, noise), Assign(1) }));
  for (std::uint64_t i = 2; i <= aPosition; ++i) {
    EXPECT_FALSE(state.ApplyEntries(i, {}));
  }
  return state;
}

SnapshotWriter MakeWriter(Store& aStore, Epoch aEpoch)
{
  return { aStore, kRegion, aEpoch, "writer-" + std::to_string(aEpoch) };
}

Result<RegionState> Read(Store& aStore)
{
  SnapshotHead head;
  return ReadSnapshot(aStore, kRegion, {}, head);
}

const RegionState kOld = BigState(3, 1);
const RegionState kNew = BigState(5, 2);
const RegionState kOther = BigState(4, 3);

/// Guards against a crash in the middle of a snapshot that leaves a mixture of two.
TEST(Snapshot, CrashAtEachStepLeavesTheOldOrTheNewOne)
{
  for (unsigned steps = 0;; ++steps) {
    UnreliableStore store;
    SnapshotWriter writer = MakeWriter(store, 1);
    ASSERT_TRUE(writer.Write(kOld));
    ASSERT_FALSE(writer.Begin(kNew));
    bool isDone = false;
    for (unsigned i = 0; i < steps && !isDone; ++i) {
      isDone = *writer.Step();
    }
    EXPECT_EQ(*Read(store), isDone ? kNew : kOld);
    ASSERT_TRUE(MakeWriter(store, 2).Write(kOther));
    EXPECT_EQ(*Read(store), kOther);
    if (isDone) {
      EXPECT_GE(steps, 3u) << "two parts and the head";
      break;
    }
  }
}

/// Guards against a snapshot that is damaged, or reported as written although it is not, when any
/// one store call fails, also if the call takes effect much later.
TEST(Snapshot, EachFaultAtEachCall)
{
  for (CallFate fate : { CallFate::Unreachable,
                         CallFate::AnswerLost,
                         CallFate::RequestLost,
                         CallFate::Overloaded,
                         CallFate::Delayed }) {
    for (std::size_t call = 0;; ++call) {
      SCOPED_TRACE("fate " + std::to_string(static_cast<int>(fate)) + " at " +
                   std::to_string(call));
      UnreliableStore store;
      ASSERT_TRUE(MakeWriter(store, 1).Write(kOld));
      SnapshotWriter writer = MakeWriter(store, 2);
      std::size_t count = 0;
      store.decide = [&](const std::string&, const std::string&) {
        return count++ == call ? fate : CallFate::Normal;
      };
      auto covered = writer.Write(kNew);
      store.decide = {};
      ASSERT_TRUE(covered) << covered.Error().message();
      EXPECT_EQ(*Read(store), kNew);
      store.DeliverDelayed();
      EXPECT_EQ(*Read(store), kNew);
      ASSERT_TRUE(writer.Write(kOther));
      EXPECT_EQ(*Read(store), kOther);
      if (count <= call) {
        break;
      }
    }
  }
}

/// Guards against a snapshot given up at any call, whose last write takes effect while or after the
/// next one is written by the same leader.
TEST(Snapshot, GivenUpSnapshotDoesNotDamageTheNextOne)
{
  for (std::size_t call = 0; call < 8; ++call) {
    for (std::size_t delivery = 0; delivery < 12; ++delivery) {
      UnreliableStore store;
      SnapshotWriter writer = MakeWriter(store, 1);
      ASSERT_TRUE(writer.Write(kOld));
      std::size_t count = 0;
      // From this call on the store is gone; the call itself arrives late.
      store.decide = [&](const std::string&, const std::string&) {
        ++count;
        return count - 1 == call  ? CallFate::Delayed
               : count - 1 > call ? CallFate::Unreachable
                                  : CallFate::Normal;
      };
      static_cast<void>(writer.Write(kNew));
      count = 0;
      store.decide = [&](const std::string&, const std::string&) {
        if (count++ == delivery) {
          store.DeliverDelayed();
        }
        return CallFate::Normal;
      };
      ASSERT_TRUE(writer.Write(kOther));
      store.decide = {};
      store.DeliverDelayed();
      ASSERT_TRUE(Read(store)) << call << " " << delivery;
      EXPECT_EQ(*Read(store), kOther) << call << " " << delivery;
    }
  }
}

/// More calls and steps than a snapshot of two parts takes, with the claim of the head.
constexpr std::size_t kCalls = 11;

/// The new leader's snapshot must be in use, and the old leader must not be able to change it.
void CheckNewLeaderWins(UnreliableStore& aStore, SnapshotWriter& aOld, SnapshotWriter& aNext)
{
  auto written = aNext.Write(kOther);
  aStore.decide = {};
  aStore.DeliverDelayed();
  ASSERT_TRUE(written) << written.Error().message();
  auto read = Read(aStore);
  ASSERT_TRUE(read) << read.Error().message();
  EXPECT_EQ(*read, kOther);
  EXPECT_EQ(aOld.Write(kNew).Error(), Errc::Fenced);
  EXPECT_EQ(*Read(aStore), kOther);
}

/// Guards against a deposed leader that pauses before any of its store calls, while the new leader
/// does any number of steps, and then goes on to its end.
TEST(Snapshot, DeposedLeaderThatGoesOnDoesNotDamageTheSnapshotInUse)
{
  for (std::size_t call = 0; call < kCalls; ++call) {
    for (std::size_t steps = 0; steps < kCalls; ++steps) {
      SCOPED_TRACE(std::to_string(call) + " " + std::to_string(steps));
      UnreliableStore store;
      SnapshotWriter old = MakeWriter(store, 1);
      ASSERT_TRUE(old.Write(kOld));
      SnapshotWriter next = MakeWriter(store, 2);
      std::size_t count = 0;
      store.decide = [&](const std::string&, const std::string&) {
        // The counter also runs over the calls of the new leader, so this happens once.
        if (count++ == call) {
          EXPECT_FALSE(next.Begin(kOther));
          bool isDone = false;
          for (std::size_t i = 0; i < steps && !isDone; ++i) {
            auto step = next.Step();
            isDone = step && *step;
          }
        }
        return CallFate::Normal;
      };
      static_cast<void>(old.Write(kNew));
      store.decide = {};
      auto between = Read(store);
      ASSERT_TRUE(between) << between.Error().message();
      EXPECT_TRUE(*between == kOld || *between == kNew || *between == kOther);
      CheckNewLeaderWins(store, old, next);
    }
  }
}

/// Guards against a deposed leader's write that reaches the store at any call of the new leader's
/// snapshot.
TEST(Snapshot, LateWriteOfADeposedLeaderDoesNotDamageTheSnapshotInUse)
{
  for (std::size_t call = 0; call < kCalls; ++call) {
    for (std::size_t delivery = 0; delivery < kCalls; ++delivery) {
      SCOPED_TRACE(std::to_string(call) + " " + std::to_string(delivery));
      UnreliableStore store;
      SnapshotWriter old = MakeWriter(store, 1);
      ASSERT_TRUE(old.Write(kOld));
      SnapshotWriter next = MakeWriter(store, 2);
      std::size_t count = 0;
      store.decide = [&](const std::string&, const std::string&) {
        ++count;
        return count - 1 == call  ? CallFate::Delayed
               : count - 1 > call ? CallFate::Unreachable
                                  : CallFate::Normal;
      };
      static_cast<void>(old.Write(kNew));
      count = 0;
      store.decide = [&](const std::string&, const std::string&) {
        if (count++ == delivery) {
          store.DeliverDelayed();
        }
        return CallFate::Normal;
      };
      CheckNewLeaderWins(store, old, next);
    }
  }
}

/// Guards against a damaged snapshot that is taken for a state.
TEST(Snapshot, DamageIsReported)
{
  UnreliableStore store;
  ASSERT_TRUE(MakeWriter(store, 1).Write(kOld));
  std::string key = SnapshotPartKey(kRegion, 1, 1);
  auto part = store.Get(key, std::chrono::seconds(1));
  ASSERT_TRUE(part);
  part->value[100] ^= 1;
  ASSERT_TRUE(store.CompareAndSwap(key, part->value, part->revision, 0, std::chrono::seconds(1)));
  EXPECT_EQ(Read(store).Error(), Errc::Corrupt);
  EXPECT_EQ(TakeOver(store, kRegion, 2, "writer-2").Error(), Errc::Corrupt);
}

} // namespace
} // namespace daisydrift
