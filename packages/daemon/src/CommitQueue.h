#pragma once
// Collects transitions and commits them in groups to the region's journal.

#include "daisydrift/base.h"
#include "daisydrift/durable.h"

#include <deque>
#include <functional>
#include <optional>

namespace daisydrift {

/// What became of an entry.
enum class CommitOutcome
{
  Committed,
  /// Proved not committed and never going to be.
  NotCommitted,
  /// This leader was replaced while the outcome was open; only the new leader knows.
  Unknown
};

/// Longest time that entries are collected before they are committed.
constexpr std::chrono::milliseconds kGroupCommitInterval{ 25 };

/// Entries waiting for their commit, in order. Not thread-safe.
class CommitQueue
{
public:
  /// Called once for each entry, in the order of the entries.
  using Action = std::function<void(CommitOutcome aOutcome, TimePoint aNow)>;

  explicit CommitQueue(RegionOwnership aOwnership);

  /// Adds an entry. Entries with the same non-zero unit are committed in one record. An entry with
  /// a deadline is given up as NotCommitted when the deadline passes before it was tried, or after
  /// a try that proved it uncommitted.
  void Add(JournalEntry aEntry,
           Action aAction,
           std::uint64_t aUnit = 0,
           std::optional<TimePoint> aDeadline = std::nullopt);

  /// Resolves an open write or commits the next group when one is due, and works on a snapshot when
  /// one is needed. Makes few store calls. Returns the error of the store when nothing could be
  /// committed.
  std::error_code Flush(TimePoint aNow, std::int64_t aWallSeconds);

  /// Gives up all entries after this leader was replaced: NotCommitted for those never tried,
  /// Unknown for the others.
  void Abandon(TimePoint aNow);

  /// True while the last try failed or its outcome is open: no further decisions should be made.
  bool IsBlocked() const { return this->isBlocked; }
  /// Time since which the queue has been blocked; meaningful only while IsBlocked().
  TimePoint BlockedSince() const { return this->blockedSince; }
  /// True once another leader has taken over.
  bool IsFenced() const { return this->ownership.journal->IsFenced(); }
  /// Entries not committed yet.
  std::size_t Size() const { return this->entries.size(); }
  /// The committed state.
  const RegionState& State() const { return this->ownership.state; }
  /// Records appended by this leader.
  std::uint64_t Records() const { return this->records; }

private:
  struct Pending
  {
    JournalEntry entry;
    Action action;
    std::uint64_t unit = 0;
    std::optional<TimePoint> deadline;
  };

  void DropExpired(TimePoint aNow);
  /// Number of entries at the front that fit one record.
  std::size_t NextGroupSize() const;
  std::error_code OnResult(const Result<std::uint64_t>& aNumber, TimePoint aNow);
  void OnCommitted(std::uint64_t aNumber, TimePoint aNow);
  std::error_code Compact(std::int64_t aWallSeconds);

  RegionOwnership ownership;
  std::deque<Pending> entries;
  /// Entries at the front that are part of a write whose outcome is open.
  std::size_t openCount = 0;
  /// Entries at the front of the group tried last.
  std::size_t triedCount = 0;
  bool isBlocked = false;
  bool isCompacting = false;
  TimePoint blockedSince;
  TimePoint lastCommit;
  std::uint64_t records = 0;
};

} // namespace daisydrift
