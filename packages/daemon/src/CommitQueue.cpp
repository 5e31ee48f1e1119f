#include "CommitQueue.h"

#include <algorithm>
#include <cassert>

namespace daisydrift {

namespace {

/// Maximum estimated size of a batch. The journal's own limit for a record is higher, so the
/// estimate need not be exact.
constexpr std::size_t kMaxBatchBytes = 192 * 1024;
/// Upper bound of the size of an entry without its strings of variable length.
constexpr std::size_t kMaxFixedEntryBytes = 48;

std::size_t EstimateSize(const JournalEntry& aEntry)
{
  if (const auto* accepted = std::get_if<JobAccepted>(&aEntry)) {
    return kMaxFixedEntryBytes + accepted->specification.size() +
           accepted->idempotencyKeyDigest.size() + accepted->bodyDigest.size();
  }
  if (const auto* assigned = std::get_if<TaskAssigned>(&aEntry)) {
    return kMaxFixedEntryBytes + assigned->worker.size() + assigned->incarnation.size();
  }
  if (const auto* ended = std::get_if<AttemptEnded>(&aEntry)) {
    return kMaxFixedEntryBytes + ended->detail.size();
  }
  if (const auto* finished = std::get_if<JobFinished>(&aEntry)) {
    return kMaxFixedEntryBytes + finished->reason.size();
  }
  return kMaxFixedEntryBytes;
}

} // namespace

CommitQueue::CommitQueue(RegionOwnership aOwnership)
  : ownership(std::move(aOwnership))
{
}

void CommitQueue::Add(JournalEntry aEntry,
                      Callback aCallback,
                      std::uint64_t aAtomicGroup,
                      std::optional<TimePoint> aDeadline)
{
  this->queuedBytes += EstimateSize(aEntry);
  this->entries.push_back({ std::move(aEntry), std::move(aCallback), aAtomicGroup, aDeadline });
}

std::error_code CommitQueue::Flush(TimePoint aNow, std::int64_t aWallSeconds)
{
  if (this->unresolvedCount > 0) {
    return this->OnResult(this->ownership.journal->Resolve(), aNow);
  }
  this->DropExpired(aNow);
  if (this->isCompacting || this->isSnapshotRequested || this->ownership.journal->NeedsSnapshot()) {
    std::error_code error = this->Compact(aWallSeconds);
    if (error && !this->ownership.journal->IsNextSlotFree()) {
      return this->OnResult(error, aNow);
    }
  }
  bool isDue = this->isBlocked || aNow - this->lastCommit >= kGroupCommitInterval;
  if (this->entries.empty() || !isDue || !this->ownership.journal->IsNextSlotFree()) {
    return {};
  }
  this->batchSize = this->NextBatchSize();
  std::vector<JournalEntry> batch;
  batch.reserve(this->batchSize);
  for (std::size_t i = 0; i < this->batchSize; ++i) {
    batch.push_back(this->entries[i].entry);
  }
  return this->OnResult(this->ownership.journal->Append(batch), aNow);
}

std::error_code CommitQueue::OnResult(const Result<std::uint64_t>& aNumber, TimePoint aNow)
{
  if (aNumber) {
    this->OnCommitted(*aNumber, aNow);
    return {};
  }
  bool isUnresolved = this->ownership.journal->UnresolvedEntries() != nullptr;
  this->unresolvedCount = isUnresolved ? this->batchSize : 0;
  if (!this->isBlocked) {
    this->isBlocked = true;
    this->blockedSince = aNow;
  }
  return aNumber.Error();
}

void CommitQueue::OnCommitted(std::uint64_t aNumber, TimePoint aNow)
{
  std::vector<JournalEntry> batch;
  std::vector<Callback> callbacks;
  for (std::size_t i = 0; i < this->batchSize; ++i) {
    this->queuedBytes -= EstimateSize(this->entries.front().entry);
    batch.push_back(std::move(this->entries.front().entry));
    callbacks.push_back(std::move(this->entries.front().callback));
    this->entries.pop_front();
  }
  this->unresolvedCount = 0;
  this->batchSize = 0;
  this->isBlocked = false;
  this->lastCommit = aNow;
  ++this->recordCount;
  std::error_code error = this->ownership.state.ApplyEntries(aNumber, batch);
  assert(!error);
  static_cast<void>(error);
  for (Callback& callback : callbacks) {
    if (callback) {
      callback(CommitOutcome::Committed, aNow);
    }
  }
}

void CommitQueue::DropExpired(TimePoint aNow)
{
  auto isExpired = [aNow](const QueuedEntry& aQueued) {
    return aQueued.deadline && *aQueued.deadline <= aNow;
  };
  // This runs in every step, so the queue is rebuilt only when an entry has expired.
  if (std::none_of(this->entries.begin(), this->entries.end(), isExpired)) {
    return;
  }
  std::deque<QueuedEntry> kept;
  std::vector<Callback> dropped;
  for (QueuedEntry& queued : this->entries) {
    if (isExpired(queued)) {
      this->queuedBytes -= EstimateSize(queued.entry);
      dropped.push_back(std::move(queued.callback));
    } else {
      kept.push_back(std::move(queued));
    }
  }
  this->entries = std::move(kept);
  for (Callback& callback : dropped) {
    callback(CommitOutcome::NotCommitted, aNow);
  }
}

std::size_t CommitQueue::NextBatchSize() const
{
  std::size_t bytes = 0;
  std::size_t lastBoundary = 0;
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    bytes += EstimateSize(this->entries[i].entry);
    if (bytes > kMaxBatchBytes && lastBoundary > 0) {
      return lastBoundary;
    }
    bool isInsideAtomicGroup = this->entries[i].atomicGroup != 0 && i + 1 < this->entries.size() &&
                               this->entries[i + 1].atomicGroup == this->entries[i].atomicGroup;
    if (!isInsideAtomicGroup) {
      lastBoundary = i + 1;
    }
  }
  return lastBoundary;
}

std::size_t CommitQueue::StateBytes() const
{
  return this->ownership.snapshotBytes + this->bytesDuringSnapshot +
         this->ownership.journal->BytesSinceSnapshot() + this->queuedBytes;
}

std::error_code CommitQueue::Compact(std::int64_t aWallSeconds)
{
  if (!this->isCompacting) {
    this->ownership.state.Expire(aWallSeconds);
    if (std::error_code error = this->ownership.snapshots->Begin(this->ownership.state)) {
      return error;
    }
    this->isCompacting = true;
    this->isSnapshotRequested = false;
    this->bytesAtSnapshotBegin = this->ownership.journal->BytesSinceSnapshot();
  }
  Result<bool> isDone = this->ownership.snapshots->Step();
  if (!isDone) {
    return isDone.Error();
  }
  if (*isDone) {
    this->isCompacting = false;
    this->ownership.snapshotBytes = this->ownership.snapshots->SnapshotBytes();
    this->bytesDuringSnapshot =
      this->ownership.journal->BytesSinceSnapshot() - this->bytesAtSnapshotBegin;
    this->ownership.journal->SetSnapshotPosition(this->ownership.snapshots->SnapshotPosition());
  }
  return {};
}

void CommitQueue::Abandon(TimePoint aNow)
{
  std::deque<QueuedEntry> abandoned = std::move(this->entries);
  this->entries.clear();
  this->queuedBytes = 0;
  for (std::size_t i = 0; i < abandoned.size(); ++i) {
    if (abandoned[i].callback) {
      abandoned[i].callback(
        i < this->unresolvedCount ? CommitOutcome::Unknown : CommitOutcome::NotCommitted, aNow);
    }
  }
  this->unresolvedCount = 0;
}

} // namespace daisydrift
