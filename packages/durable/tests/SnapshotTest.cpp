// Tests that a complete snapshot stays in use after a crash, a store fault or a write of a deposed
// leader at any point.

#include "DurableFixtures.h"
#include "UnreliableStore.h"

#include <gtest/gtest.h>

#include <random>

namespace daisydrift {
namespace {

/// A state that encodes to two parts, with random content from aSeed, after aPosition records.
RegionState MakeTwoPartState(std::uint64_t aPosition, unsigned aSeed)
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

const RegionState kOld = MakeTwoPartState(3, 1);
const RegionState kNew = MakeTwoPartState(5, 2);
const RegionState kOther = MakeTwoPartState(4, 3);

/// Guards against a crash during a snapshot that leaves a mixture of two snapshots in use.
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

/// Guards against a snapshot that is damaged, or reported as written although it is not, when one
/// store call fails or takes effect much later.
TEST(Snapshot, EachFaultAtEachCall)
{
  for (CallOutcome outcome : { CallOutcome::Unreachable,
                               CallOutcome::ResponseLost,
                               CallOutcome::RequestLost,
                               CallOutcome::Overloaded,
                               CallOutcome::Delayed }) {
    for (std::size_t call = 0;; ++call) {
      SCOPED_TRACE("outcome " + std::to_string(static_cast<int>(outcome)) + " at " +
                   std::to_string(call));
      UnreliableStore store;
      ASSERT_TRUE(MakeWriter(store, 1).Write(kOld));
      SnapshotWriter writer = MakeWriter(store, 2);
      std::size_t count = 0;
      store.chooseOutcome = [&](const std::string&, const std::string&) {
        return count++ == call ? outcome : CallOutcome::Normal;
      };
      auto covered = writer.Write(kNew);
      store.chooseOutcome = {};
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

/// Guards against damage by the last write of an abandoned snapshot that takes effect while or
/// after the same leader writes the next snapshot.
TEST(Snapshot, AbandonedSnapshotDoesNotDamageTheNextOne)
{
  for (std::size_t call = 0; call < 8; ++call) {
    for (std::size_t delivery = 0; delivery < 12; ++delivery) {
      UnreliableStore store;
      SnapshotWriter writer = MakeWriter(store, 1);
      ASSERT_TRUE(writer.Write(kOld));
      std::size_t count = 0;
      // This call takes effect later; after it the store is unreachable.
      store.chooseOutcome = [&](const std::string&, const std::string&) {
        ++count;
        return count - 1 == call  ? CallOutcome::Delayed
               : count - 1 > call ? CallOutcome::Unreachable
                                  : CallOutcome::Normal;
      };
      static_cast<void>(writer.Write(kNew));
      count = 0;
      store.chooseOutcome = [&](const std::string&, const std::string&) {
        if (count++ == delivery) {
          store.DeliverDelayed();
        }
        return CallOutcome::Normal;
      };
      ASSERT_TRUE(writer.Write(kOther));
      store.chooseOutcome = {};
      store.DeliverDelayed();
      ASSERT_TRUE(Read(store)) << call << " " << delivery;
      EXPECT_EQ(*Read(store), kOther) << call << " " << delivery;
    }
  }
}

/// More calls and steps than a snapshot of two parts takes, including the claim of the head.
constexpr std::size_t kMaxCalls = 11;

/// Checks that the new leader's snapshot is in use and that the old leader can't replace it.
void CheckNewLeaderWins(UnreliableStore& aStore, SnapshotWriter& aOld, SnapshotWriter& aNext)
{
  auto written = aNext.Write(kOther);
  aStore.chooseOutcome = {};
  aStore.DeliverDelayed();
  ASSERT_TRUE(written) << written.Error().message();
  auto read = Read(aStore);
  ASSERT_TRUE(read) << read.Error().message();
  EXPECT_EQ(*read, kOther);
  EXPECT_EQ(aOld.Write(kNew).Error(), Errc::Fenced);
  EXPECT_EQ(*Read(aStore), kOther);
}

/// Guards against damage by a deposed leader that is suspended before any of its store calls, while
/// the new leader does any number of steps, and then completes its snapshot.
TEST(Snapshot, ResumedDeposedLeaderDoesNotDamageTheSnapshotInUse)
{
  for (std::size_t call = 0; call < kMaxCalls; ++call) {
    for (std::size_t steps = 0; steps < kMaxCalls; ++steps) {
      SCOPED_TRACE(std::to_string(call) + " " + std::to_string(steps));
      UnreliableStore store;
      SnapshotWriter old = MakeWriter(store, 1);
      ASSERT_TRUE(old.Write(kOld));
      SnapshotWriter next = MakeWriter(store, 2);
      std::size_t count = 0;
      store.chooseOutcome = [&](const std::string&, const std::string&) {
        // The counter also counts the calls of the new leader, so this branch runs once.
        if (count++ == call) {
          EXPECT_FALSE(next.Begin(kOther));
          bool isDone = false;
          for (std::size_t i = 0; i < steps && !isDone; ++i) {
            auto step = next.Step();
            isDone = step && *step;
          }
        }
        return CallOutcome::Normal;
      };
      static_cast<void>(old.Write(kNew));
      store.chooseOutcome = {};
      auto between = Read(store);
      ASSERT_TRUE(between) << between.Error().message();
      EXPECT_TRUE(*between == kOld || *between == kNew || *between == kOther);
      CheckNewLeaderWins(store, old, next);
    }
  }
}

/// Guards against damage by a deposed leader's write that reaches the store at any call of the new
/// leader's snapshot.
TEST(Snapshot, LateWriteOfADeposedLeaderDoesNotDamageTheSnapshotInUse)
{
  for (std::size_t call = 0; call < kMaxCalls; ++call) {
    for (std::size_t delivery = 0; delivery < kMaxCalls; ++delivery) {
      SCOPED_TRACE(std::to_string(call) + " " + std::to_string(delivery));
      UnreliableStore store;
      SnapshotWriter old = MakeWriter(store, 1);
      ASSERT_TRUE(old.Write(kOld));
      SnapshotWriter next = MakeWriter(store, 2);
      std::size_t count = 0;
      store.chooseOutcome = [&](const std::string&, const std::string&) {
        ++count;
        return count - 1 == call  ? CallOutcome::Delayed
               : count - 1 > call ? CallOutcome::Unreachable
                                  : CallOutcome::Normal;
      };
      static_cast<void>(old.Write(kNew));
      count = 0;
      store.chooseOutcome = [&](const std::string&, const std::string&) {
        if (count++ == delivery) {
          store.DeliverDelayed();
        }
        return CallOutcome::Normal;
      };
      CheckNewLeaderWins(store, old, next);
    }
  }
}

/// Guards against a snapshot that is reported as damaged although it was only replaced twice during
/// the read.
TEST(Snapshot, ReplacedTwiceWhileRead)
{
  UnreliableStore store;
  SnapshotWriter writer = MakeWriter(store, 1);
  ASSERT_TRUE(writer.Write(kOld));
  bool isDue = true;
  store.chooseOutcome = [&](const std::string&, const std::string& aKey) {
    if (isDue && aKey == SnapshotPartKey(kRegion, 1, 1)) {
      isDue = false;
      EXPECT_TRUE(writer.Write(kOther));
      EXPECT_TRUE(writer.Write(kNew));
    }
    return CallOutcome::Normal;
  };
  EXPECT_EQ(Read(store).Error(), Errc::Conflict);
  EXPECT_FALSE(isDue);
  isDue = true;
  auto owner = TakeOver(store, kRegion, 2, "writer-2");
  ASSERT_TRUE(owner) << owner.Error().message();
  EXPECT_EQ(owner->state.Jobs(), kNew.Jobs());
}

/// Guards against a damaged snapshot that is accepted.
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
