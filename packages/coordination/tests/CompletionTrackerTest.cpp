// Completions are acknowledged only when all changes that follow from them are stored.

#include "CompletionTracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace daisydrift::coordination {
namespace {

TEST(CompletionTrackerTest, CompletionIsDurableWithItsBatch)
{
  CompletionTracker tracker;
  tracker.OnBatchStarted(1, { { "w", 1, 7 } }, { "a" }, {});
  std::vector<ProcessedCompletions> stored = tracker.OnBatchStored(1);
  ASSERT_EQ(stored.size(), 1U);
  EXPECT_EQ(stored[0][0].number, 7U);
}

TEST(CompletionTrackerTest, EarlierBatchInFlightDelaysTheAcknowledgement)
{
  CompletionTracker tracker;
  tracker.OnBatchStarted(1, { { "w", 1, 7 } }, { "a" }, {});
  tracker.OnBatchStarted(2, { { "w", 1, 8 } }, { "b" }, {});
  EXPECT_TRUE(tracker.OnBatchStored(2).empty());
  EXPECT_EQ(tracker.OnBatchStored(1).size(), 2U);
}

TEST(CompletionTrackerTest, DeferredJobDelaysTheAcknowledgementUntilItsBatchIsStored)
{
  CompletionTracker tracker;
  tracker.OnBatchStarted(1, {}, { "a" }, {});
  tracker.OnBatchStarted(2, { { "w", 1, 7 } }, {}, { "a" });
  EXPECT_TRUE(tracker.OnBatchStored(2).empty());
  EXPECT_EQ(tracker.OnBatchStored(1).size(), 1U) << "only completions before the deferred change";
  tracker.OnBatchStarted(3, {}, { "a" }, {});
  EXPECT_EQ(tracker.OnBatchStored(3).size(), 2U);
}

/// Reference model: a plain list of which completion changed which job.
struct Model
{
  struct Completion
  {
    std::uint64_t number;
    int job;
    /// Batch that contains the change; 0 when none does yet.
    std::uint64_t batch = 0;
  };

  void StartBatch()
  {
    std::uint64_t batch = ++this->batchCount;
    std::set<JobId> included;
    std::set<JobId> deferred;
    for (int job : std::exchange(this->changed, {})) {
      if (this->inFlight.count(job) != 0) {
        this->changed.insert(job);
        deferred.insert(std::to_string(job));
        continue;
      }
      included.insert(std::to_string(job));
      this->inFlight[job] = batch;
      for (Completion& completion : this->completions) {
        completion.batch =
          completion.job == job && completion.batch == 0 ? batch : completion.batch;
      }
    }
    this->openBatches.insert(batch);
    this->tracker.OnBatchStarted(
      batch, { { "w", 1, this->completions.size() } }, included, deferred);
  }

  void StoreBatch(std::uint64_t aBatch)
  {
    this->openBatches.erase(aBatch);
    std::erase_if(this->inFlight, [aBatch](const auto& aEntry) { return aEntry.second == aBatch; });
    for (const ProcessedCompletions& durable : this->tracker.OnBatchStored(aBatch)) {
      this->acknowledged = std::max(this->acknowledged, durable[0].number);
    }
    for (const Completion& completion : this->completions) {
      if (completion.number <= this->acknowledged) {
        RC_ASSERT(completion.batch != 0);
        RC_ASSERT(this->openBatches.count(completion.batch) == 0);
      }
    }
  }

  CompletionTracker tracker;
  std::vector<Completion> completions;
  std::set<int> changed;
  std::map<int, std::uint64_t> inFlight;
  std::set<std::uint64_t> openBatches;
  std::uint64_t batchCount = 0;
  std::uint64_t acknowledged = 0;
};

RC_GTEST_PROP(CompletionTrackerTest, NoCompletionIsAcknowledgedBeforeItsChangeIsStored, ())
{
  Model model;
  for (int step = 0; step < 60; ++step) {
    int action = *rc::gen::inRange(0, 3);
    if (action == 0) {
      int job = *rc::gen::inRange(0, 5);
      model.completions.push_back({ model.completions.size() + 1, job });
      model.changed.insert(job);
    } else if (action == 1) {
      model.StartBatch();
    } else if (!model.openBatches.empty()) {
      model.StoreBatch(*rc::gen::elementOf(
        std::vector<std::uint64_t>(model.openBatches.begin(), model.openBatches.end())));
    }
  }
  // Once all batches are stored, every completion is acknowledged.
  while (!model.openBatches.empty() || !model.changed.empty()) {
    while (!model.openBatches.empty()) {
      model.StoreBatch(*model.openBatches.begin());
    }
    model.StartBatch();
    model.StoreBatch(model.batchCount);
  }
  RC_ASSERT(model.acknowledged == model.completions.size());
}

} // namespace
} // namespace daisydrift::coordination
