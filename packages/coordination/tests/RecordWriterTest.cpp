// Records are stored once and in order despite faults of single transactions.

#include "RecordWriter.h"
#include "InMemoryStore.h"

#include <gtest/gtest.h>

namespace daisydrift::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RecordWriterTest : public ::testing::Test
{
protected:
  RecordWriterTest()
    : store(this->loop)
  {
    this->store.Put("leader", "me");
    this->store.Read("leader", [this](const Result<std::optional<KeyValueItem>>& aItem) {
      this->leadership = { "leader", (*aItem)->revision };
    });
    this->loop.RunFor(milliseconds(10));
    this->writer = std::make_unique<RecordWriter>(
      this->loop,
      this->store,
      this->leadership,
      "guards/",
      RecordWriter::Hooks{ [this](std::uint64_t) { return std::exchange(this->pending, {}); },
                           [this](std::uint64_t) { ++this->storedBatches; },
                           [this] { this->hasLostLeadership = true; },
                           [this](TimePoint aSentAt) { this->confirmedAt = aSentAt; },
                           [this](std::uint64_t, const std::string& aKey, std::size_t) {
                             this->refusedKeys.push_back(aKey);
                           } });
  }

  void WriteRecord(const std::string& aKey, const std::string& aValue)
  {
    this->pending[aKey] = aValue;
    this->writer->Flush();
  }

  VirtualLoop loop;
  InMemoryStore store;
  KeyValueTransaction::Condition leadership;
  std::unique_ptr<RecordWriter> writer;
  std::map<std::string, std::string> pending;
  int storedBatches = 0;
  bool hasLostLeadership = false;
  TimePoint confirmedAt;
  std::vector<std::string> refusedKeys;
};

// Guards against leases that last too long: a transaction proves leadership only for the time at
// which it was sent, and one that was not applied proves nothing.
TEST_F(RecordWriterTest, StoredTransactionConfirmsLeadershipAtItsSendTime)
{
  this->loop.RunFor(seconds(1));
  TimePoint sentAt = this->loop.Now();
  this->store.responseTime = milliseconds(20);
  this->WriteRecord("job", "value");
  this->loop.RunFor(milliseconds(10));
  EXPECT_EQ(this->confirmedAt, TimePoint());
  this->loop.RunFor(milliseconds(20));
  EXPECT_EQ(this->confirmedAt, sentAt);
  this->store.Remove(this->leadership.key);
  this->loop.RunFor(seconds(1));
  this->WriteRecord("job", "next");
  this->loop.RunFor(seconds(1));
  EXPECT_TRUE(this->hasLostLeadership);
  EXPECT_EQ(this->confirmedAt, sentAt);
}

// Guards against a record that the store refuses for ever and that holds back all others, of its
// transaction and of later ones.
TEST_F(RecordWriterTest, RefusedRecordHoldsBackNoOther)
{
  this->pending["a"] = "value";
  this->pending["b"] = std::string(this->store.maxValueBytes + 1, 'x');
  this->pending["c"] = "value";
  this->pending["d"] = "";
  this->writer->Flush();
  this->loop.RunFor(milliseconds(100));
  this->WriteRecord("e", "value");
  this->loop.RunFor(seconds(1));
  for (const char* key : { "a", "c", "e" }) {
    EXPECT_EQ(this->store.Value(key), "value") << key;
  }
  EXPECT_EQ(this->storedBatches, 2);
  EXPECT_EQ(this->refusedKeys, std::vector<std::string>{ "b" });
  EXPECT_FALSE(this->hasLostLeadership);
  // A record is given up only when it is refused again and again.
  int calls = 0;
  this->store.commitFault = [&calls](const KeyValueTransaction&) {
    return ++calls == 1 ? CommitFault::Invalid : CommitFault::None;
  };
  this->WriteRecord("f", "value");
  this->loop.RunFor(seconds(1));
  EXPECT_EQ(this->store.Value("f"), "value");
  EXPECT_EQ(this->refusedKeys.size(), 1U);
}

TEST_F(RecordWriterTest, LateAppliedWriteDoesNotOverwriteNewerOne)
{
  int calls = 0;
  this->store.commitFault = [&calls](const KeyValueTransaction&) {
    return ++calls == 1 ? CommitFault::AppliedLate : CommitFault::None;
  };
  this->WriteRecord("job", "old");
  this->loop.RunFor(milliseconds(1500));
  ASSERT_EQ(this->storedBatches, 1) << "the retry is stored";
  this->WriteRecord("job", "new");
  this->loop.RunFor(seconds(5));
  EXPECT_EQ(this->store.Value("job"), "new");
  EXPECT_FALSE(this->hasLostLeadership);
}

TEST_F(RecordWriterTest, WriteWithLostResponseIsStoredOnce)
{
  int calls = 0;
  this->store.commitFault = [&calls](const KeyValueTransaction&) {
    return ++calls == 1 ? CommitFault::ResponseLost : CommitFault::None;
  };
  this->WriteRecord("job", "value");
  this->loop.RunFor(seconds(3));
  EXPECT_EQ(this->storedBatches, 1);
  EXPECT_FALSE(this->hasLostLeadership);
  this->WriteRecord("job", "next");
  this->loop.RunFor(seconds(1));
  EXPECT_EQ(this->store.Value("job"), "next");
  EXPECT_EQ(this->storedBatches, 2);
}

TEST_F(RecordWriterTest, LostResponseIsHedgedQuickly)
{
  int calls = 0;
  this->store.commitFault = [&calls](const KeyValueTransaction&) {
    return ++calls % 2 == 1 ? CommitFault::ResponseLost : CommitFault::None;
  };
  this->WriteRecord("job", "value");
  this->loop.RunFor(milliseconds(200));
  EXPECT_EQ(this->storedBatches, 1);
}

// Guards against a change that waits for the batch in flight when the store takes 0.27 s to
// respond.
TEST_F(RecordWriterTest, ChangeDoesNotWaitForSlowBatchInFlight)
{
  this->store.responseTime = milliseconds(270);
  this->WriteRecord("first", "value");
  this->loop.RunFor(milliseconds(50));
  this->WriteRecord("second", "value");
  this->loop.RunFor(milliseconds(275));
  EXPECT_EQ(this->storedBatches, 2);
  EXPECT_EQ(this->store.Value("second"), "value");
}

TEST_F(RecordWriterTest, ChangeIsSentAsSoonAsFastBatchIsStored)
{
  this->WriteRecord("first", "value");
  this->loop.RunFor(milliseconds(1));
  this->WriteRecord("second", "value");
  this->loop.RunFor(milliseconds(9));
  EXPECT_EQ(this->storedBatches, 2);
}

TEST_F(RecordWriterTest, FailingBatchDoesNotBlockTheNext)
{
  this->store.commitFault = [](const KeyValueTransaction& aTransaction) {
    return aTransaction.puts.back().key == "first" ? CommitFault::Refused : CommitFault::None;
  };
  this->WriteRecord("first", "value");
  this->loop.RunFor(milliseconds(10));
  this->WriteRecord("second", "value");
  this->loop.RunFor(milliseconds(60));
  EXPECT_EQ(this->store.Value("second"), "value");
  EXPECT_EQ(this->store.Value("first"), "");
  this->store.commitFault = nullptr;
  this->loop.RunFor(seconds(1));
  EXPECT_EQ(this->store.Value("first"), "value");
  EXPECT_FALSE(this->hasLostLeadership);
}

TEST_F(RecordWriterTest, NothingIsWrittenAfterLeadershipIsLost)
{
  this->store.Put("leader", "other");
  this->WriteRecord("job", "value");
  this->loop.RunFor(seconds(1));
  EXPECT_TRUE(this->hasLostLeadership);
  EXPECT_EQ(this->storedBatches, 0);
  EXPECT_EQ(this->store.Value("job"), "");
}

TEST_F(RecordWriterTest, LargeBatchIsSplitAndStoredCompletely)
{
  for (int number = 0; number < 100; ++number) {
    this->pending["job" + std::to_string(number)] = "value";
  }
  this->writer->Flush();
  this->loop.RunFor(seconds(1));
  EXPECT_EQ(this->storedBatches, 1);
  EXPECT_EQ(this->store.Value("job0"), "value");
  EXPECT_EQ(this->store.Value("job99"), "value");
}

} // namespace
} // namespace daisydrift::coordination
