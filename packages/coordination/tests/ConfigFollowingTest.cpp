// A confirmed change of the configuration is in force on each instance in time, whatever happened
// to the calls by which the instance follows it.

#include "Cluster.h"

#include <rapidcheck/gtest.h>

namespace daisydrift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The operators' bound on the time from the confirmation of a change until it is in force.
constexpr milliseconds kInForceWithin{ 2000 };

class ConfigFollowingTest : public Cluster
{
protected:
  ConfigFollowingTest()
  {
    for (int number = 0; number < 3; ++number) {
      this->StartInstance(number);
    }
    this->loop.RunFor(seconds(2));
  }

  void PublishNextVersion()
  {
    this->store.Put("operators/config", std::to_string(++this->published));
  }

  void ExpectInForceEverywhere()
  {
    for (const auto& [number, instance] : this->instances) {
      ASSERT_NE(instance->Config(), nullptr);
      EXPECT_EQ(instance->Config()->version, this->published) << "instance " << number;
    }
  }

  /// The result of Instance::ConfirmConfig, and the time it took.
  struct Confirmation
  {
    bool isConfirmed = false;
    Duration spent{ 0 };
  };
  Confirmation Confirm(int aInstance)
  {
    TimePoint begin = this->loop.Now();
    std::optional<bool> result;
    this->instances[aInstance]->ConfirmConfig(
      seconds(2), [&result](bool aIsConfirmed) { result = aIsConfirmed; });
    while (!result) {
      this->loop.RunFor(milliseconds(1));
    }
    return { *result, this->loop.Now() - begin };
  }

  std::uint64_t published = 1;
};

// The silence loses the open watches without an error. They began together, since the same change
// ended the ones before, so no instance has the change to pass on.
TEST_F(ConfigFollowingTest, ChangeAfterAStoreSilenceIsInForceInTime)
{
  for (milliseconds silence = milliseconds(200); silence < seconds(5);
       silence += milliseconds(300)) {
    this->PublishNextVersion();
    this->loop.RunFor(milliseconds(700));
    this->store.isSilent = true;
    this->loop.RunFor(silence);
    this->store.isSilent = false;
    this->PublishNextVersion();
    this->loop.RunFor(kInForceWithin);
    this->ExpectInForceEverywhere();
  }
}

TEST_F(ConfigFollowingTest, ChangeIsInForceInTimeWhileWatchResponsesAreLost)
{
  this->store.isWatchResponseLost = [](const std::string& aPrefix) {
    return aPrefix == "operators/";
  };
  for (int change = 0; change < 10; ++change) {
    this->PublishNextVersion();
    this->loop.RunFor(kInForceWithin);
    this->ExpectInForceEverywhere();
    this->loop.RunFor(milliseconds(370));
  }
}

// The store refuses the lease renewals too, so the instance is no member for the leader that makes
// the announcements.
TEST_F(ConfigFollowingTest, RefusedInstanceGetsChangesAfterItsLeaseHasEnded)
{
  int refused = (this->LeaderNumber() + 1) % 3;
  this->processes[refused]->store.isRefusingCalls = true;
  this->loop.RunFor(seconds(4));
  for (int change = 0; change < 5; ++change) {
    this->PublishNextVersion();
    this->loop.RunFor(kInForceWithin);
    this->ExpectInForceEverywhere();
  }
}

TEST_F(ConfigFollowingTest, RefusedInstanceLearnsOfANewLeader)
{
  int former = this->LeaderNumber();
  int refused = (former + 1) % 3;
  int other = (former + 2) % 3;
  this->processes[refused]->store.isRefusingCalls = true;
  this->loop.RunFor(seconds(4));
  this->KillInstance(former);
  this->loop.RunFor(seconds(3));
  ASSERT_EQ(this->LeaderNumber(), other);
  EXPECT_EQ(this->Submit(refused, "job", 1), SubmitOutcome::Accepted);
  EXPECT_TRUE(this->State(refused, "job").HasValue());
}

// Guards against final refusals by a configuration of unknown age.
TEST_F(ConfigFollowingTest, ConfigurationOfASilentStoreIsNotConfirmed)
{
  EXPECT_TRUE(this->Confirm(0).isConfirmed);
  this->store.isSilent = true;
  this->loop.RunFor(seconds(4));
  for (int number = 0; number < 3; ++number) {
    Confirmation confirmation = this->Confirm(number);
    EXPECT_FALSE(confirmation.isConfirmed) << number;
    EXPECT_LE(confirmation.spent, milliseconds(300)) << number;
  }
}

TEST_F(ConfigFollowingTest, ConfirmationFindsTheChangeThatWasMadeMeanwhile)
{
  this->store.isPrefixUnavailable = [](const std::string& aPrefix) {
    return aPrefix == "operators/";
  };
  this->store.isWatchResponseLost = this->store.isPrefixUnavailable;
  this->loop.RunFor(seconds(4));
  this->PublishNextVersion();
  std::optional<std::uint64_t> confirmedVersion;
  this->instances[0]->ConfirmConfig(seconds(2), [this, &confirmedVersion](bool aIsConfirmed) {
    confirmedVersion = aIsConfirmed ? this->instances[0]->Config()->version : 0;
  });
  this->store.isPrefixUnavailable = nullptr;
  this->loop.RunFor(milliseconds(300));
  EXPECT_EQ(confirmedVersion, this->published);
}

TEST_F(ConfigFollowingTest, OtherInstancesConfirmForOneThatTheStoreRefuses)
{
  int refused = (this->LeaderNumber() + 1) % 3;
  this->processes[refused]->store.isRefusingCalls = true;
  this->loop.RunFor(seconds(4));
  for (int round = 0; round < 10; ++round) {
    this->loop.RunFor(milliseconds(130));
    EXPECT_TRUE(this->Confirm(refused).isConfirmed);
  }
  for (int number = 0; number < 3; ++number) {
    this->peers.unresponsive.insert(static_cast<unsigned short>(9000 + number));
  }
  this->loop.RunFor(seconds(4));
  EXPECT_FALSE(this->Confirm(refused).isConfirmed);
}

// Guards against final refusals by an instance that starts while the store is silent: it took the
// time of its start for a confirmation of the configuration that it got from another instance.
TEST_F(ConfigFollowingTest, ConfigurationOfAnInstanceThatNeverReachedTheStoreIsAsOldAsItsSource)
{
  int started = (this->LeaderNumber() + 1) % 3;
  this->KillInstance(started);
  this->store.isSilent = true;
  this->loop.RunFor(milliseconds(1000));
  this->PublishNextVersion();
  this->loop.RunFor(milliseconds(1500));
  this->StartInstance(started);
  this->loop.RunFor(milliseconds(800));
  ASSERT_NE(this->instances[started]->Config(), nullptr);
  ASSERT_LT(this->instances[started]->Config()->version, this->published);
  EXPECT_GT(this->instances[started]->ConfigAge(), milliseconds(2300));
  EXPECT_FALSE(this->Confirm(started).isConfirmed);
}

/// A fault between two changes of the configuration.
enum class FollowingFault
{
  SilentStore,
  StoreDown,
  LostWatchResponses,
  LostHistory,
  KilledInstance,
  RefusedInstance
};

/// Runs without the fixture's assertions, so that RapidCheck can repeat it.
class FaultyCluster : public ConfigFollowingTest
{
public:
  void TestBody() override {}

  void Inject(FollowingFault aFault, int aInstance, Duration aLength)
  {
    this->store.isSilent = aFault == FollowingFault::SilentStore;
    this->store.isDown = aFault == FollowingFault::StoreDown;
    if (aFault == FollowingFault::LostWatchResponses) {
      this->store.isWatchResponseLost = [](const std::string&) { return true; };
    }
    if (aFault == FollowingFault::RefusedInstance) {
      this->processes[aInstance]->store.isRefusingCalls = true;
    }
    if (aFault == FollowingFault::KilledInstance) {
      this->KillInstance(aInstance);
      this->seenVersions.erase(aInstance);
    }
    this->RunFor(aLength);
    this->store.isSilent = false;
    this->store.isDown = false;
    this->store.isWatchResponseLost = nullptr;
    if (aFault == FollowingFault::RefusedInstance) {
      this->processes[aInstance]->store.isRefusingCalls = false;
    }
    if (aFault == FollowingFault::KilledInstance) {
      this->StartInstance(aInstance);
    }
    if (aFault == FollowingFault::LostHistory) {
      this->store.Compact();
    }
  }

  /// Advances the time; an instance's version must not decrease meanwhile.
  void RunFor(Duration aTime)
  {
    constexpr milliseconds kStep{ 20 };
    for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
      this->loop.RunFor(kStep);
      for (const auto& [number, instance] : this->instances) {
        std::uint64_t version = instance->Config() == nullptr ? 0 : instance->Config()->version;
        RC_ASSERT(version >= this->seenVersions[number]);
        this->seenVersions[number] = version;
      }
    }
  }

  using ConfigFollowingTest::instances;
  using ConfigFollowingTest::published;
  using ConfigFollowingTest::PublishNextVersion;
  std::map<int, std::uint64_t> seenVersions;
};

RC_GTEST_PROP(ConfigFollowingPropertyTest, ChangeIsInForceInTimeAfterAnySeriesOfFaults, ())
{
  FaultyCluster cluster;
  auto faults = *rc::gen::container<std::vector<FollowingFault>>(
    6, rc::gen::map(rc::gen::inRange(0, 6), [](int aKind) {
      return static_cast<FollowingFault>(aKind);
    }));
  for (FollowingFault fault : faults) {
    cluster.PublishNextVersion();
    cluster.RunFor(milliseconds(*rc::gen::inRange(0, 900)));
    cluster.Inject(fault, *rc::gen::inRange(0, 3), milliseconds(*rc::gen::inRange(20, 5000)));
    cluster.PublishNextVersion();
    cluster.RunFor(kInForceWithin);
    for (const auto& [number, instance] : cluster.instances) {
      RC_ASSERT(instance->Config() != nullptr);
      RC_ASSERT(instance->Config()->version == cluster.published);
    }
  }
}

} // namespace
} // namespace daisydrift
