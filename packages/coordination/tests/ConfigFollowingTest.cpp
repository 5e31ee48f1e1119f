// A confirmed change of the configuration is in force on each instance in time, whatever happened
// to the calls by which the instance follows it.

#include "Cluster.h"

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

} // namespace
} // namespace daisydrift
