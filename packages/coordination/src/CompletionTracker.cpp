#include "CompletionTracker.h"

#include <algorithm>

namespace daisydrift::coordination {

void CompletionTracker::OnBatchStarted(std::uint64_t aBatch,
                                       ProcessedCompletions aCompletions,
                                       const std::set<JobId>& aIncluded,
                                       const std::set<JobId>& aDeferred)
{
  this->openBatches.insert(aBatch);
  for (Snapshot& snapshot : this->snapshots) {
    for (const JobId& job : aIncluded) {
      if (snapshot.unbatchedJobs.erase(job) != 0) {
        snapshot.lastBatch = aBatch;
      }
    }
  }
  this->snapshots.push_back({ std::move(aCompletions), aDeferred, aBatch });
}

std::vector<ProcessedCompletions> CompletionTracker::OnBatchStored(std::uint64_t aBatch)
{
  this->openBatches.erase(aBatch);
  std::vector<ProcessedCompletions> stored;
  while (!this->snapshots.empty()) {
    Snapshot& oldest = this->snapshots.front();
    bool areBatchesStored =
      this->openBatches.empty() || *this->openBatches.begin() > oldest.lastBatch;
    if (!oldest.unbatchedJobs.empty() || !areBatchesStored) {
      break;
    }
    stored.push_back(std::move(oldest.completions));
    this->snapshots.pop_front();
  }
  return stored;
}

} // namespace daisydrift::coordination
