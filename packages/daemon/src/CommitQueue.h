#pragma once
// Queue of journal entries with group commit.

#include "daisydrift/base.h"
#include "daisydrift/durable.h"

#include <deque>
#include <functional>
#include <optional>

namespace daisydrift {

/// Outcome of an entry.
enum class CommitOutcome
{
  Committed,
  /// Not committed, and it is certain that it never will be.
  NotCommitted,
  /// This leader was superseded while the write was unresolved; only the new leader knows.
  Unknown
};

/// Minimum time between two commits, and thus the longest time that entries are collected for one.
constexpr std::chrono::milliseconds kGroupCommitInterval{ 25 };

/// Commits entries to the journal of a region, in order and in batches: one batch is one journal
/// record. Not thread-safe.
class CommitQueue
{
public:
  /// Called exactly once for each entry. Committed entries are reported in their order.
  using Callback = std::function<void(CommitOutcome aOutcome, TimePoint aNow)>;

  explicit CommitQueue(RegionOwnership aOwnership);

  /// Adds an entry; aCallback may be empty for an entry without a deadline. Adjacent entries with
  /// the same non-zero aAtomicGroup are committed in one record. An entry with a deadline is
  /// dropped as NotCommitted when the deadline passes before the entry was written, or after a
  /// write that certainly failed.
  void Add(JournalEntry aEntry,
           Callback aCallback,
           std::uint64_t aAtomicGroup = 0,
           std::optional<TimePoint> aDeadline = std::nullopt);

  /// Resolves an unresolved write, or commits the next batch when one is due and advances a
  /// snapshot when one is needed. Limits the number of store calls per invocation. Returns the
  /// error of the store when nothing could be committed. aWallSeconds: wall-clock seconds since
  /// 1970, by which finished jobs expire.
  std::error_code Flush(TimePoint aNow, std::int64_t aWallSeconds);

  /// Drops all entries after this leader was superseded: Unknown for the entries of an unresolved
  /// write, NotCommitted for the others.
  void Abandon(TimePoint aNow);

  /// True while the last write has failed or is unresolved; no further decisions should be made
  /// then.
  bool IsBlocked() const { return this->isBlocked; }
  /// When the queue became blocked; valid only while IsBlocked().
  TimePoint BlockedSince() const { return this->blockedSince; }
  /// True once another leader has taken over.
  bool IsFenced() const { return this->ownership.journal->IsFenced(); }
  /// Number of entries that are not committed yet.
  std::size_t Size() const { return this->entries.size(); }
  /// Upper bound of the encoded size of the state with all queued entries, in bytes. It falls only
  /// when a snapshot is written.
  std::size_t StateBytes() const;
  /// Makes a snapshot due, by which expired jobs are removed from the state.
  void RequestSnapshot() { this->isSnapshotRequested = true; }
  /// The committed state.
  const RegionState& State() const { return this->ownership.state; }
  /// Number of records appended by this leader.
  std::uint64_t RecordCount() const { return this->recordCount; }

private:
  struct QueuedEntry
  {
    JournalEntry entry;
    Callback callback;
    std::uint64_t atomicGroup = 0;
    std::optional<TimePoint> deadline;
  };

  /// Removes the entries whose deadline has passed and reports them as NotCommitted.
  void DropExpired(TimePoint aNow);
  /// Number of entries at the front that fit in one record without splitting an atomic group.
  std::size_t NextBatchSize() const;
  std::error_code OnResult(const Result<std::uint64_t>& aNumber, TimePoint aNow);
  void OnCommitted(std::uint64_t aNumber, TimePoint aNow);
  /// Starts or advances a snapshot, which replaces the journal records that it covers.
  std::error_code Compact(std::int64_t aWallSeconds);

  RegionOwnership ownership;
  std::deque<QueuedEntry> entries;
  /// Estimated size of the entries, in bytes.
  std::size_t queuedBytes = 0;
  /// Number of entries at the front that belong to an unresolved write.
  std::size_t unresolvedCount = 0;
  /// Number of entries at the front that belong to the batch written last.
  std::size_t batchSize = 0;
  bool isBlocked = false;
  bool isCompacting = false;
  bool isSnapshotRequested = false;
  /// Journal::BytesSinceSnapshot() when the writing of the last snapshot began.
  std::uint64_t bytesAtSnapshotBegin = 0;
  /// Bytes of the records that were written during the writing of the last complete snapshot.
  std::uint64_t bytesDuringSnapshot = 0;
  TimePoint blockedSince;
  TimePoint lastCommit;
  std::uint64_t recordCount = 0;
};

} // namespace daisydrift
