// The leader's records in the store: the progress of jobs, what follows once it is stored, and the
// deletion of what is not needed any more.

#include "Leader.h"

#include "RecordCodec.h"

#include <algorithm>

namespace daisydrift::coordination {

namespace {
/// Most parts of jobs' progress that one batch deletes: each transaction is a call to the store.
constexpr std::size_t kMaxPartsDeletedPerBatch = 200;
/// Delay before the final state of a job is written again that the store has refused.
constexpr std::chrono::seconds kRefusedRecordDelay{ 1 };
} // namespace

std::map<std::string, std::string> Leader::TakeBatch(std::uint64_t aBatch)
{
  const std::string& prefix = this->env.settings.storePrefix;
  std::map<std::string, std::string> records;
  BatchInFlight& batch = this->batchesInFlight[aBatch];
  for (const JobId& id : this->dispatcher->TakeChangedJobs()) {
    this->deferredJobs.insert(id);
  }
  std::set<JobId> changed = std::exchange(this->deferredJobs, {});
  for (const JobId& id : changed) {
    // Only one record of a job may be in flight, so that records are stored in order.
    if (this->jobsInFlight.count(id) != 0) {
      this->deferredJobs.insert(id);
      continue;
    }
    batch.jobs.insert(id);
    if (auto starts = this->pendingStarts.extract(id)) {
      batch.starts.insert(batch.starts.end(), starts.mapped().begin(), starts.mapped().end());
    }
    std::optional<ChangedProgress> progress = this->dispatcher->TakeChangedProgress(id);
    if (!progress) {
      continue;
    }
    this->jobsInFlight.insert(id);
    const JobProgress& head = progress->head;
    records[ProgressKey(prefix, id)] = ToJson(head).dump();
    for (const auto& [part, steps] : progress->parts) {
      std::string key = ProgressPartKey(prefix, id, part);
      records[key] = ProgressPartToText(steps);
      this->storedParts[id].insert(part);
      this->obsoleteParts.erase(key);
    }
    if (progress->firstPart > 0) {
      batch.firstParts[id] = progress->firstPart;
    }
    if (IsFinal(head.state) && this->finished.count(id) == 0) {
      batch.finished[id] = { head.state, head.finishedAt };
    }
  }
  this->completionTracker.OnBatchStarted(
    aBatch, this->workerPoller->UnacknowledgedCompletions(), batch.jobs, this->deferredJobs);
  // Most cleanup records are only written along with others.
  if (!records.empty() || this->isCleanupDue) {
    this->isCleanupDue = false;
    records.merge(this->cleanupRecords);
    this->cleanupRecords.clear();
    batch.expired = std::exchange(this->expiredJobs, {});
    for (std::size_t count = 0; count < kMaxPartsDeletedPerBatch && !this->obsoleteParts.empty();
         ++count) {
      records[this->obsoleteParts.extract(this->obsoleteParts.begin()).value()] = "";
    }
  }
  return records;
}

void Leader::DropParts(const JobId& aJob, std::optional<std::uint64_t> aEnd)
{
  auto parts = this->storedParts.find(aJob);
  if (parts == this->storedParts.end()) {
    return;
  }
  auto end = aEnd ? parts->second.lower_bound(*aEnd) : parts->second.end();
  for (auto part = parts->second.begin(); part != end; part = parts->second.erase(part)) {
    this->obsoleteParts.insert(ProgressPartKey(this->env.settings.storePrefix, aJob, *part));
  }
  if (parts->second.empty()) {
    this->storedParts.erase(parts);
  }
}

void Leader::OnRecordRefused(std::uint64_t aBatch, const std::string& aKey, std::size_t aBytes)
{
  BatchInFlight& batch = this->batchesInFlight[aBatch];
  const std::string& prefix = this->env.settings.storePrefix;
  auto job = std::find_if(batch.jobs.begin(), batch.jobs.end(), [&](const JobId& aId) {
    std::string head = ProgressKey(prefix, aId);
    return aKey == head || aKey.rfind(head + "/", 0) == 0;
  });
  bool isOfJob = job != batch.jobs.end();
  this->env.metrics.Count("records_refused_total");
  LogLine(LogLevel::Error, "record_refused")
    .Add("key", aKey)
    .Add("bytes", aBytes)
    .Add("job", isOfJob ? *job : "")
    .Add("term", this->record.term);
  if (!isOfJob) {
    return;
  }
  // No start of the job is sent that no record names: a finished job's starts are dropped.
  this->dispatcher->FailJob(*job, this->env.loop.Now(), this->env.loop.WallClockNow());
  if (aKey == ProgressKey(prefix, *job) && batch.finished.erase(*job) != 0) {
    this->After(kRefusedRecordDelay, [this, id = *job] {
      this->deferredJobs.insert(id);
      this->recordWriter->Flush();
    });
  }
}

void Leader::OnBatchStored(std::uint64_t aBatch)
{
  BatchInFlight batch = std::move(this->batchesInFlight.extract(aBatch).mapped());
  bool hasUnblockedJobs = false;
  for (const JobId& id : batch.jobs) {
    this->jobsInFlight.erase(id);
    hasUnblockedJobs = hasUnblockedJobs || this->deferredJobs.count(id) != 0;
  }
  for (const auto& [id, job] : batch.finished) {
    this->finished[id] = job;
    LogLine(LogLevel::Info, "job_finished")
      .Add("job", id)
      .Add("state", static_cast<int>(job.state));
    auto waiting = this->cancellations.equal_range(id);
    for (auto entry = waiting.first; entry != waiting.second; ++entry) {
      entry->second(std::error_code());
    }
    this->cancellations.erase(waiting.first, waiting.second);
  }
  for (const JobId& id : batch.expired) {
    this->finished.erase(id);
  }
  for (const auto& [id, firstPart] : batch.firstParts) {
    this->DropParts(id, firstPart);
  }
  this->SendStarts(batch.starts);
  for (const ProcessedCompletions& completions : this->completionTracker.OnBatchStored(aBatch)) {
    this->workerPoller->Acknowledge(completions);
  }
  if (hasUnblockedJobs) {
    this->recordWriter->Flush();
  }
}

void Leader::PurgeFinishedJobs()
{
  const std::string& prefix = this->env.settings.storePrefix;
  for (const JobId& id : this->dispatcher->ClosedJobs()) {
    if (this->finished.count(id) != 0) {
      this->DropParts(id, std::nullopt);
      this->dispatcher->EraseJob(id);
      // The tombstone prevents the id from being reused, and is quick to load.
      this->cleanupRecords[DefinitionKey(prefix, id)] = kDefinitionTombstone;
    }
  }
  auto retention =
    std::chrono::duration_cast<std::chrono::milliseconds>(this->env.settings.retention);
  WallTime oldest = this->env.loop.WallClockNow() - retention;
  TimePoint now = this->env.loop.Now();
  std::erase_if(this->withdrawnJobs, [&](const auto& aEntry) {
    bool isExpired = now - aEntry.second > retention && !this->State(aEntry.first);
    if (isExpired) {
      this->cleanupRecords[DefinitionKey(prefix, aEntry.first)] = "";
      this->isCleanupDue = true; // Until then the id is refused.
    }
    return isExpired;
  });
  for (auto& [id, job] : this->finished) {
    if (job.isExpired || job.finishedAt >= oldest || this->dispatcher->State(id)) {
      continue;
    }
    job.isExpired = true;
    this->cleanupRecords[DefinitionKey(prefix, id)] = "";
    this->cleanupRecords[ProgressKey(prefix, id)] = "";
    this->expiredJobs.push_back(id);
  }
}

} // namespace daisydrift::coordination
