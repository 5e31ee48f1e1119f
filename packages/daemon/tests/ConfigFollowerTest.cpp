// Guards against a configuration that is transferred again and again: after each change a second
// time, while it can't be read, because of other keys, or from a peer beside the store.

#include "ConfigFollower.h"

#include <gtest/gtest.h>

#include <condition_variable>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

/// Ends a test that would wait for good.
constexpr std::chrono::seconds kHangTimeout{ 30 };

/// A follower of a FakeStore, in which each watch without a change waits a little.
class ConfigFollowerTest : public testing::Test
{
protected:
  ConfigFollowerTest()
    : follower(
        this->store,
        this->holder,
        this->clock,
        [](std::error_code, TimePoint) {},
        [] {})
  {
    this->store.SetFaultHook([this](const std::string& aOperation, const std::string&) {
      std::lock_guard lock(this->mutex);
      ++this->calls[aOperation];
      this->changed.notify_all();
      return this->areReadsLost && aOperation != "cas" ? StoreFault::Unreachable : StoreFault::None;
    });
  }
  ~ConfigFollowerTest() override { this->follower.Stop(); }

  /// Writes a key; returns its revision.
  Revision Write(const std::string& aKey, const std::string& aValue, Revision aExpected = 0)
  {
    auto written = this->store.CompareAndSwap(aKey, aValue, aExpected, 0, 1s);
    EXPECT_TRUE(written);
    return written ? *written : 0;
  }
  unsigned Calls(const std::string& aOperation)
  {
    std::lock_guard lock(this->mutex);
    return this->calls[aOperation];
  }
  /// Waits until aCount more watches have begun.
  void AwaitWatches(unsigned aCount)
  {
    std::unique_lock lock(this->mutex);
    unsigned wanted = this->calls["watch"] + aCount;
    EXPECT_TRUE(
      this->changed.wait_for(lock, kHangTimeout, [&] { return this->calls["watch"] >= wanted; }));
  }
  void LoseReads(bool aAreLost)
  {
    std::lock_guard lock(this->mutex);
    this->areReadsLost = aAreLost;
  }
  static std::string TextOf(ConfigVersion aVersion)
  {
    ConfigDocument document;
    document.version = aVersion;
    return EncodeConfig(document);
  }

  SteadyClock clock;
  FakeStore store{ this->clock };
  ConfigHolder holder{ this->clock };
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, unsigned> calls;
  bool areReadsLost = false;
  ConfigFollower follower;
};

TEST_F(ConfigFollowerTest, ChangeCrossesTheLinkOnce)
{
  Revision revision = this->Write(kConfigKey, TextOf(1));
  this->follower.Start();
  this->AwaitWatches(2);
  ASSERT_EQ(this->holder.Version(), 1U);
  this->Write(kConfigKey, TextOf(2), revision);
  this->AwaitWatches(3);
  EXPECT_EQ(this->holder.Version(), 2U);
  EXPECT_EQ(this->Calls("get"), 1U);
}

TEST_F(ConfigFollowerTest, OtherKeyWithThePrefixCausesNoReads)
{
  this->Write(kConfigKey, TextOf(1));
  this->Write(std::string(kConfigKey) + ".bak", "odd");
  this->follower.Start();
  this->AwaitWatches(5);
  EXPECT_EQ(this->holder.Version(), 1U);
  EXPECT_EQ(this->Calls("get"), 1U);
}

TEST_F(ConfigFollowerTest, UnreadableDocumentIsReadOnceAndConfirmsNothing)
{
  Revision revision = this->Write(kConfigKey, TextOf(1));
  this->follower.Start();
  this->AwaitWatches(2);
  revision = this->Write(kConfigKey, std::string(200'000, '['), revision);
  this->AwaitWatches(3);
  TimePoint confirmedAt = this->holder.ConfirmedAt();
  this->AwaitWatches(3);
  EXPECT_EQ(this->holder.ConfirmedAt(), confirmedAt);
  EXPECT_EQ(this->holder.Version(), 1U);
  EXPECT_EQ(this->Calls("get"), 1U);
  this->Write(kConfigKey, TextOf(2), revision);
  this->AwaitWatches(3);
  EXPECT_EQ(this->holder.Version(), 2U);
  EXPECT_GT(this->holder.ConfirmedAt(), confirmedAt);
}

// A peer's copy would share the link with the store's.
TEST_F(ConfigFollowerTest, DocumentOfAPeerIsWantedOnlyWhileTheStoreFails)
{
  this->Write(kConfigKey, TextOf(1));
  this->follower.Start();
  this->AwaitWatches(2);
  EXPECT_FALSE(this->holder.WantsPeerDocument(2));
  this->LoseReads(true);
  unsigned reads = this->Calls("get");
  while (this->Calls("get") < reads + 2) {
    std::this_thread::sleep_for(1ms);
  }
  EXPECT_TRUE(this->holder.WantsPeerDocument(2));
  EXPECT_FALSE(this->holder.WantsPeerDocument(1));
  this->LoseReads(false);
  this->AwaitWatches(2);
  EXPECT_FALSE(this->holder.WantsPeerDocument(2));
}

} // namespace
} // namespace daisydrift
