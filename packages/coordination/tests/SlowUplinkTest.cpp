// A leader whose link is slow stores its records.

#include "InMemoryStore.h"
#include "RecordWriter.h"

#include <gtest/gtest.h>

namespace daisydrift::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// 10 Mbit/s, the slowest link of an installation.
constexpr std::size_t kLinkBytesPerSecond = 1250 * 1000;
/// Time limit of a transaction at the platform's adapter.
constexpr milliseconds kTimeLimit{ 900 };

/// A store behind a link that all transactions on their way share evenly.
class StoreBehindLink : public InMemoryStore
{
public:
  explicit StoreBehindLink(VirtualLoop& aLoop)
    : InMemoryStore(aLoop)
    , loop(aLoop)
  {
    this->Transfer();
  }

  void Commit(const KeyValueTransaction& aTransaction,
              std::function<void(const Result<std::uint64_t>&)> aDone) override
  {
    auto upload = std::make_shared<Upload>();
    for (const KeyValueTransaction::Put& put : aTransaction.puts) {
      upload->bytesLeft += (put.key.size() + put.value.size()) * 4 / 3;
    }
    upload->transaction = aTransaction;
    upload->done = std::move(aDone);
    this->uploads.push_back(upload);
    this->loop.After(kTimeLimit, [this, upload] {
      if (std::erase(this->uploads, upload) > 0) {
        upload->done(Errc::OutcomeUnknown);
      }
    });
  }

private:
  struct Upload
  {
    std::size_t bytesLeft = 0;
    KeyValueTransaction transaction;
    std::function<void(const Result<std::uint64_t>&)> done;
  };

  void Transfer()
  {
    constexpr milliseconds kStep{ 5 };
    constexpr std::size_t kStepBytes = kLinkBytesPerSecond / 200;
    std::vector<std::shared_ptr<Upload>> complete;
    for (const std::shared_ptr<Upload>& upload : this->uploads) {
      upload->bytesLeft -= std::min(upload->bytesLeft, kStepBytes / this->uploads.size());
      if (upload->bytesLeft == 0) {
        complete.push_back(upload);
      }
    }
    for (const std::shared_ptr<Upload>& upload : complete) {
      std::erase(this->uploads, upload);
      InMemoryStore::Commit(upload->transaction, upload->done);
    }
    this->loop.After(kStep, [this] { this->Transfer(); });
  }

  VirtualLoop& loop;
  std::vector<std::shared_ptr<Upload>> uploads;
};

// Guards against transactions that are given up before their end and repeated, several at once, so
// that none ends while the link is full.
TEST(SlowUplinkTest, LongBatchIsStored)
{
  VirtualLoop loop;
  StoreBehindLink store(loop);
  store.Put("leader", "me");
  KeyValueTransaction::Condition leadership;
  store.Read("leader", [&leadership](const Result<std::optional<KeyValueItem>>& aItem) {
    leadership = { "leader", (*aItem)->revision };
  });
  loop.RunFor(milliseconds(10));
  std::map<std::string, std::string> records;
  for (int record = 0; record < 60; ++record) {
    records["record-" + std::to_string(record)] = std::string(35 * 1024, 'x');
  }
  int storedBatches = 0;
  RecordWriter writer(
    loop,
    store,
    leadership,
    "guards/",
    RecordWriter::Hooks{ [&records](std::uint64_t) { return std::exchange(records, {}); },
                         [&storedBatches](std::uint64_t) { ++storedBatches; },
                         [] {},
                         [](TimePoint) {} });
  writer.Flush();
  // Alone, the transfer of 2.9 MB takes 2.3 s.
  loop.RunFor(seconds(30));
  EXPECT_EQ(storedBatches, 1);
}

} // namespace
} // namespace daisydrift::coordination
