// Records are stored once and in order despite faults of single transactions.

#include "RecordStore.h"
#include "MemoryStore.h"

#include <gtest/gtest.h>

namespace daisydrift::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RecordStoreTest : public ::testing::Test
{
protected:
  RecordStoreTest()
    : store(this->loop)
  {
    this->store.Put("leader", "me");
    this->store.Read("leader", [this](const Result<std::optional<KeyValueItem>>& aItem) {
      this->leadership = { "leader", (*aItem)->revision };
    });
    this->loop.RunFor(milliseconds(10));
    this->records = std::make_unique<RecordStore>(
      this->loop,
      this->store,
      this->leadership,
      "guards/",
      RecordStore::Hooks{ [this](std::uint64_t) { return std::exchange(this->pending, {}); },
                          [this](std::uint64_t) { ++this->stored; },
                          [this] { this->isReplaced = true; } });
  }

  void Write(const std::string& aKey, const std::string& aValue)
  {
    this->pending[aKey] = aValue;
    this->records->Flush();
  }

  VirtualLoop loop;
  MemoryStore store;
  KeyValueTransaction::Condition leadership;
  std::unique_ptr<RecordStore> records;
  std::map<std::string, std::string> pending;
  int stored = 0;
  bool isReplaced = false;
};

TEST_F(RecordStoreTest, AWriteThatIsCarriedOutLateDoesNotOverwriteANewerOne)
{
  int calls = 0;
  this->store.commitFault = [&calls](const KeyValueTransaction&) {
    return ++calls == 1 ? CommitFault::DoneLate : CommitFault::None;
  };
  this->Write("job", "old");
  this->loop.RunFor(milliseconds(1500));
  ASSERT_EQ(this->stored, 1) << "the second try is stored";
  this->Write("job", "new");
  this->loop.RunFor(seconds(5));
  EXPECT_EQ(this->store.Value("job"), "new");
  EXPECT_FALSE(this->isReplaced);
}

TEST_F(RecordStoreTest, AWriteWhoseAnswerWasLostCountsAsStoredOnce)
{
  int calls = 0;
  this->store.commitFault = [&calls](const KeyValueTransaction&) {
    return ++calls == 1 ? CommitFault::AnswerLost : CommitFault::None;
  };
  this->Write("job", "value");
  this->loop.RunFor(seconds(3));
  EXPECT_EQ(this->stored, 1);
  EXPECT_FALSE(this->isReplaced);
  this->Write("job", "next");
  this->loop.RunFor(seconds(1));
  EXPECT_EQ(this->store.Value("job"), "next");
  EXPECT_EQ(this->stored, 2);
}

TEST_F(RecordStoreTest, ALostAnswerCostsLittleTime)
{
  int calls = 0;
  this->store.commitFault = [&calls](const KeyValueTransaction&) {
    return ++calls % 2 == 1 ? CommitFault::AnswerLost : CommitFault::None;
  };
  this->Write("job", "value");
  this->loop.RunFor(milliseconds(200));
  EXPECT_EQ(this->stored, 1);
}

// Guards against a change that waits for the batch in flight when the store takes 0.27 s to
// respond.
TEST_F(RecordStoreTest, AChangeDoesNotWaitForASlowGroupUnderWay)
{
  this->store.answerTime = milliseconds(270);
  this->Write("first", "value");
  this->loop.RunFor(milliseconds(50));
  this->Write("second", "value");
  this->loop.RunFor(milliseconds(275));
  EXPECT_EQ(this->stored, 2);
  EXPECT_EQ(this->store.Value("second"), "value");
}

TEST_F(RecordStoreTest, AChangeGoesOutAsSoonAsAQuickGroupIsStored)
{
  this->Write("first", "value");
  this->loop.RunFor(milliseconds(1));
  this->Write("second", "value");
  this->loop.RunFor(milliseconds(9));
  EXPECT_EQ(this->stored, 2);
}

TEST_F(RecordStoreTest, AGroupWithoutAnswerDoesNotHoldUpTheNext)
{
  this->store.commitFault = [](const KeyValueTransaction& aTransaction) {
    return aTransaction.puts.back().key == "first" ? CommitFault::Refused : CommitFault::None;
  };
  this->Write("first", "value");
  this->loop.RunFor(milliseconds(10));
  this->Write("second", "value");
  this->loop.RunFor(milliseconds(60));
  EXPECT_EQ(this->store.Value("second"), "value");
  EXPECT_EQ(this->store.Value("first"), "");
  this->store.commitFault = nullptr;
  this->loop.RunFor(seconds(1));
  EXPECT_EQ(this->store.Value("first"), "value");
  EXPECT_FALSE(this->isReplaced);
}

TEST_F(RecordStoreTest, NothingIsWrittenAfterAnotherInstanceLeads)
{
  this->store.Put("leader", "other");
  this->Write("job", "value");
  this->loop.RunFor(seconds(1));
  EXPECT_TRUE(this->isReplaced);
  EXPECT_EQ(this->stored, 0);
  EXPECT_EQ(this->store.Value("job"), "");
}

TEST_F(RecordStoreTest, LargeGroupsAreSplitAndStoredWhole)
{
  for (int number = 0; number < 100; ++number) {
    this->pending["job" + std::to_string(number)] = "value";
  }
  this->records->Flush();
  this->loop.RunFor(seconds(1));
  EXPECT_EQ(this->stored, 1);
  EXPECT_EQ(this->store.Value("job0"), "value");
  EXPECT_EQ(this->store.Value("job99"), "value");
}

} // namespace
} // namespace daisydrift::coordination
