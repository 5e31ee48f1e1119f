// A follower of a range of keys does not depend on the response to any single call, and never goes
// back to an older state.

#include "RangeFollower.h"

#include "VirtualLoop.h"

#include <gmock/gmock.h>

namespace daisydrift::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::ElementsAre;

constexpr milliseconds kWatchWait{ 1000 };

KeyValueItem Item(const std::string& aKey, const std::string& aValue)
{
  return { aKey, aValue, 0, 0 };
}

KeyValuePage Page(std::uint64_t aRevision, std::vector<KeyValueItem> aItems, bool aHasMore = false)
{
  return { std::move(aItems), aHasMore, aRevision };
}

/// Keeps the calls open until the test responds to them.
class ManualStore : public KeyValueStore
{
public:
  void Read(const std::string&,
            std::function<void(const Result<std::optional<KeyValueItem>>&)>) override
  {
  }
  void ReadPage(const std::string&,
                const std::string& aAfter,
                std::function<void(const Result<KeyValuePage>&)> aDone,
                std::function<bool()> aOnProgress) override
  {
    this->reads.push_back({ aAfter, std::move(aDone), std::move(aOnProgress) });
  }
  void Watch(const std::string&,
             std::uint64_t aAfterRevision,
             Duration,
             std::function<void(const Result<KeyValueChanges>&)> aDone,
             std::function<bool()> aOnProgress) override
  {
    this->watches.push_back({ aAfterRevision, std::move(aDone), std::move(aOnProgress) });
  }
  void Commit(const KeyValueTransaction&,
              std::function<void(const Result<std::uint64_t>&)>) override
  {
  }
  void GrantLease(Duration, std::function<void(const Result<std::uint64_t>&)>) override {}
  void RenewLease(std::uint64_t, std::function<void(std::error_code)>) override {}

  struct PageRead
  {
    std::string after;
    std::function<void(const Result<KeyValuePage>&)> respond;
    std::function<bool()> progress;
  };
  struct OpenWatch
  {
    std::uint64_t after;
    std::function<void(const Result<KeyValueChanges>&)> respond;
    std::function<bool()> progress;
  };
  std::vector<PageRead> reads;
  std::vector<OpenWatch> watches;
};

class RangeFollowerTest : public ::testing::Test
{
protected:
  RangeFollowerTest()
    : follower(this->loop,
               this->store,
               this->metrics,
               "range/",
               kWatchWait,
               RangeFollower::Hooks{
                 [this](const std::vector<KeyValueItem>& aItems) {
                   this->seen.push_back("read");
                   for (const KeyValueItem& item : aItems) {
                     this->seen.push_back(item.key + "=" + item.value);
                   }
                 },
                 [this](const KeyValueChange& aChange) {
                   this->seen.push_back(aChange.key + "=" + aChange.value.value_or("deleted"));
                 },
                 [this] { ++this->confirmations; },
                 [this](std::error_code aError) { this->readFailures += aError ? 1 : 0; } })
  {
    this->follower.Restart();
  }

  VirtualLoop loop;
  ManualStore store;
  Metrics metrics;
  std::vector<std::string> seen;
  int confirmations = 0;
  int readFailures = 0;
  RangeFollower follower;
};

TEST_F(RangeFollowerTest, LateResponseOfAnEarlierReadDoesNotReplaceANewerState)
{
  this->loop.RunFor(milliseconds(310));
  ASSERT_EQ(this->store.reads.size(), 2U);
  this->store.reads[1].respond(Page(20, { Item("range/a", "new") }));
  this->store.reads[0].respond(Page(10, { Item("range/a", "old") }));
  EXPECT_THAT(this->seen, ElementsAre("read", "range/a=new"));
  EXPECT_EQ(this->store.watches.back().after, 20U);
}

TEST_F(RangeFollowerTest, ChangeIsSeenOnceThoughTheWatchRespondsAfterItsReplacement)
{
  this->store.reads[0].respond(Page(10, {}));
  this->loop.RunFor(kWatchWait + milliseconds(310));
  ASSERT_EQ(this->store.reads.size(), 2U);
  this->store.reads[1].respond(Page(12, { Item("range/a", "1") }));
  this->store.watches[0].respond(KeyValueChanges{ { { "range/a", "1", 12, 0 } }, 12 });
  EXPECT_THAT(this->seen, ElementsAre("read", "read", "range/a=1"));
  ASSERT_EQ(this->store.watches.size(), 2U);
  EXPECT_EQ(this->store.watches[1].after, 12U);
}

// Replacing each call that is late must not keep a slow store from ever confirming the range.
TEST_F(RangeFollowerTest, SlowResponsesStillConfirmTheRange)
{
  constexpr milliseconds kSlowResponse{ 700 };
  this->loop.RunFor(kSlowResponse);
  this->store.reads[0].respond(Page(10, {}));
  EXPECT_EQ(this->confirmations, 1);
  this->loop.RunFor(kWatchWait + kSlowResponse);
  this->store.watches[0].respond(KeyValueChanges{ {}, 11 });
  EXPECT_EQ(this->confirmations, 2);
}

// Guards against reads beside a long response, which take their part of the link from it.
TEST_F(RangeFollowerTest, LongResponseIsNotReadAgainWhileItArrives)
{
  for (int part = 0; part < 50; ++part) {
    this->loop.RunFor(milliseconds(100));
    this->store.reads[0].progress();
    this->follower.Refresh();
  }
  EXPECT_EQ(this->store.reads.size(), 1U);
  this->store.reads[0].respond(Page(10, { Item("range/a", "1") }));
  EXPECT_THAT(this->seen, ElementsAre("read", "range/a=1"));
  this->loop.RunFor(kWatchWait);
  for (int part = 0; part < 50; ++part) {
    this->store.watches[0].progress();
    this->follower.Refresh();
    this->loop.RunFor(milliseconds(100));
  }
  EXPECT_EQ(this->store.reads.size(), 1U);
}

// Guards against several copies of a long response that share the link, so that the first to be
// complete takes as long as all of them.
TEST_F(RangeFollowerTest, OneOfTheResponsesThatArriveIsWaitedFor)
{
  this->loop.RunFor(milliseconds(310));
  ASSERT_EQ(this->store.reads.size(), 2U);
  EXPECT_TRUE(this->store.reads[0].progress());
  EXPECT_FALSE(this->store.reads[1].progress());
  this->store.reads[1].respond(make_error_code(Errc::OutcomeUnknown));
  for (int part = 0; part < 20; ++part) {
    this->loop.RunFor(milliseconds(100));
    EXPECT_TRUE(this->store.reads[0].progress());
  }
  EXPECT_EQ(this->store.reads.size(), 2U);
  EXPECT_EQ(this->readFailures, 0) << "it was given up, the store did not fail";
  this->store.reads[0].respond(Page(10, { Item("range/a", "1") }, true));
  ASSERT_EQ(this->store.reads.size(), 3U);
  EXPECT_TRUE(this->store.reads[2].progress()) << "the next page of the same read";
  this->store.reads[2].respond(Page(10, { Item("range/b", "1") }));
  EXPECT_THAT(this->seen, ElementsAre("read", "range/a=1", "range/b=1"));
}

TEST_F(RangeFollowerTest, AnotherResponseCountsOnceTheFirstHasStoppedArriving)
{
  this->loop.RunFor(milliseconds(310));
  EXPECT_TRUE(this->store.reads[0].progress());
  this->loop.RunFor(milliseconds(310));
  EXPECT_TRUE(this->store.reads.back().progress());
  this->store.reads.back().respond(Page(10, { Item("range/a", "1") }));
  EXPECT_THAT(this->seen, ElementsAre("read", "range/a=1"));
}

// Guards against a long response that nobody waits for beside the one that counts.
TEST_F(RangeFollowerTest, ResponseThatNoLongerCountsIsGivenUp)
{
  this->loop.RunFor(milliseconds(310));
  this->store.reads[1].respond(Page(10, {}));
  EXPECT_FALSE(this->store.reads[0].progress());
  this->follower.Refresh();
  EXPECT_FALSE(this->store.watches[0].progress());
  ASSERT_EQ(this->store.reads.size(), 3U);
  this->follower.Stop();
  EXPECT_FALSE(this->store.reads[2].progress());
}

TEST_F(RangeFollowerTest, ResponseThatStopsArrivingIsReplaced)
{
  this->loop.RunFor(milliseconds(250));
  this->store.reads[0].progress();
  EXPECT_TRUE(this->follower.IsReceiving());
  this->loop.RunFor(milliseconds(310));
  EXPECT_FALSE(this->follower.IsReceiving());
  EXPECT_EQ(this->store.reads.size(), 2U);
}

TEST_F(RangeFollowerTest, SilentStoreHoldsFewCallsAndIsReadSoonAfterItResponds)
{
  this->store.reads[0].respond(Page(10, {}));
  this->loop.RunFor(seconds(20));
  EXPECT_LE(this->store.reads.size(), 5U);
  // The time limits of the open calls pass.
  for (std::size_t number = 1; number < 5; ++number) {
    this->store.reads[number].respond(make_error_code(Errc::OutcomeUnknown));
  }
  std::size_t sent = this->store.reads.size();
  this->loop.RunFor(milliseconds(310));
  ASSERT_GT(this->store.reads.size(), sent);
  this->store.reads.back().respond(Page(30, { Item("range/a", "1") }));
  EXPECT_THAT(this->seen, ElementsAre("read", "read", "range/a=1"));
}

TEST_F(RangeFollowerTest, LostHistoryIsReplacedByARead)
{
  this->store.reads[0].respond(Page(10, { Item("range/a", "1"), Item("range/b", "1") }));
  this->store.watches[0].respond(make_error_code(Errc::NotFound));
  this->loop.RunFor(milliseconds(200));
  ASSERT_EQ(this->store.reads.size(), 2U);
  this->store.reads[1].respond(Page(40, { Item("range/b", "2") }));
  EXPECT_THAT(this->seen, ElementsAre("read", "range/a=1", "range/b=1", "read", "range/b=2"));
  EXPECT_EQ(this->store.watches.back().after, 40U);
}

// The second page may lack a change that was made after the first was read.
TEST_F(RangeFollowerTest, WatchContinuesFromTheFirstOfSeveralPages)
{
  this->store.reads[0].respond(Page(10, { Item("range/a", "1") }, true));
  ASSERT_EQ(this->store.reads.size(), 2U);
  EXPECT_EQ(this->store.reads[1].after, "range/a");
  this->store.reads[1].respond(Page(15, { Item("range/b", "1") }));
  EXPECT_THAT(this->seen, ElementsAre("read", "range/a=1", "range/b=1"));
  EXPECT_EQ(this->store.watches.back().after, 10U);
}

TEST_F(RangeFollowerTest, AgeCountsFromAStateThatTheStoreHasShown)
{
  this->loop.RunFor(milliseconds(100));
  this->store.reads[0].respond(Page(10, {}));
  EXPECT_EQ(this->follower.Age(), milliseconds(100));
  // The watch ends after its wait without a change, which shows the state at that time.
  this->loop.RunFor(kWatchWait + milliseconds(50));
  this->store.watches[0].respond(KeyValueChanges{ {}, 10 });
  EXPECT_EQ(this->follower.Age(), milliseconds(50));
  // A change may have been made just after the watch was sent and its response be late.
  this->loop.RunFor(milliseconds(800));
  this->store.watches[1].respond(KeyValueChanges{ { { "range/a", "1", 11, 0 } }, 11 });
  EXPECT_EQ(this->follower.Age(), milliseconds(800));
  // A watch that is cut before its wait has ended shows nothing about the time since it was sent.
  this->loop.RunFor(milliseconds(300));
  this->store.watches[2].respond(KeyValueChanges{ {}, 11 });
  EXPECT_EQ(this->follower.Age(), milliseconds(300));
}

TEST_F(RangeFollowerTest, StoppedFollowerSendsNothing)
{
  this->store.reads[0].respond(Page(10, {}));
  this->follower.Stop();
  this->store.watches[0].respond(KeyValueChanges{ { { "range/a", "1", 11, 0 } }, 11 });
  this->loop.RunFor(seconds(5));
  EXPECT_THAT(this->seen, ElementsAre("read"));
  EXPECT_EQ(this->store.reads.size(), 1U);
  EXPECT_EQ(this->store.watches.size(), 1U);
}

} // namespace
} // namespace daisydrift::coordination
