#pragma once
// The state of a region's jobs and tasks, built by applying the journal's entries.

#include "daisydrift/durable/JournalRecord.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace daisydrift {

/// A finished job stays visible to its callers for this long; then it is removed.
constexpr std::chrono::hours kFinishedJobRetention{ 1 };
/// An idempotency key is kept for this long after its job was accepted (docs/design.md, section
/// 2.7).
constexpr std::chrono::hours kIdempotencyRetention{ 24 };

/// Largest encoded state, in bytes: 64 parts of a snapshot.
constexpr std::size_t kMaxStateBytes = 32 * 1024 * 1024;

/// Assignment of the running attempt of a task.
struct CurrentAttempt
{
  WorkerId worker;
  std::string incarnation;
  Resources limit;

  bool operator==(const CurrentAttempt&) const = default;
};

/// A task with at least one attempt. Tasks without attempts are not stored.
struct TaskRecord
{
  std::uint32_t index = 0;
  /// Number of the last attempt assigned.
  std::uint32_t attemptsUsed = 0;
  /// Number of attempts that ended as Failed.
  std::uint32_t failures = 0;
  /// Outcome of the last attempt that ended.
  StoredAttemptOutcome lastOutcome = StoredAttemptOutcome::None;
  /// Assignment of attempt `attemptsUsed` until it ends.
  std::optional<CurrentAttempt> current;

  /// True when the last attempt ended as Succeeded.
  bool Succeeded() const
  {
    return !this->current && this->lastOutcome == StoredAttemptOutcome::Succeeded;
  }

  bool operator==(const TaskRecord&) const = default;
};

/// A job that was accepted and not removed yet.
struct JobRecord
{
  JobNumber number = 0;
  TeamName team;
  std::string specification;
  /// Wall-clock seconds since 1970.
  std::int64_t acceptedWallSeconds = 0;
  bool isCancelled = false;
  bool isFinished = false;
  /// Number of the final state; set when finished.
  std::uint8_t finalState = 0;
  /// Human-readable reason; set when finished.
  std::string reason;
  /// Wall-clock seconds since 1970; set when finished.
  std::int64_t endedWallSeconds = 0;
  /// Tasks with at least one attempt, sorted by index.
  std::vector<TaskRecord> tasks;

  /// The task with this index, or null when it had no attempt yet.
  const TaskRecord* FindTask(std::uint32_t aIndex) const;

  bool operator==(const JobRecord&) const = default;
};

/// Submission that used an idempotency key.
struct IdempotencyRecord
{
  JobNumber job = 0;
  std::string bodyDigest;
  /// Time of the acceptance, in wall-clock seconds since 1970.
  std::int64_t wallSeconds = 0;

  bool operator==(const IdempotencyRecord&) const = default;
};

/// All durable state of a region. Applying entries is deterministic, so that every reader of the
/// journal reaches the same state: an entry that does not fit the state (unknown job, attempt
/// number used before, end of an attempt that is not running) changes nothing and is counted.
class RegionState
{
public:
  /// Applies a record if it is the one after the last record applied, so that no record is applied
  /// twice or skipped. Errors: InvalidArgument (another number; nothing was applied).
  std::error_code ApplyRecord(const JournalRecord& aRecord);
  /// Applies the entries of record aNumber; errors as ApplyRecord.
  std::error_code ApplyEntries(std::uint64_t aNumber, const std::vector<JournalEntry>& aEntries);

  /// Removes finished jobs and idempotency keys whose retention has ended at aWallSeconds. Called
  /// before a snapshot; idempotent, so it needs no journal entry.
  void Expire(std::int64_t aWallSeconds);

  /// Number of the last record applied; 0 when none.
  std::uint64_t Position() const { return this->position; }
  /// Number of the next job to be accepted.
  JobNumber NextJob() const { return this->nextJob; }
  /// Number of entries that did not fit the state since this object was created; not part of the
  /// state.
  std::uint64_t IgnoredEntries() const { return this->ignoredEntries; }
  /// All jobs by number.
  const std::map<JobNumber, JobRecord>& Jobs() const { return this->jobs; }
  /// The job, or null.
  const JobRecord* FindJob(JobNumber aJob) const;
  /// The submission made by aTeam with this key digest, or null.
  const IdempotencyRecord* FindIdempotencyKey(const TeamName& aTeam,
                                              const std::string& aKeyDigest) const;
  /// Number of idempotency keys kept.
  std::size_t IdempotencyKeyCount() const { return this->keys.size(); }

  /// Encodes the state for a snapshot. Errors: InvalidArgument (too large for a snapshot).
  Result<std::string> Encode() const;
  /// Decodes a state made by Encode(). Errors: Corrupt.
  static Result<RegionState> Decode(std::string_view aBytes);

  /// Compares the states without the count of ignored entries.
  bool operator==(const RegionState& aOther) const;

private:
  class EntryApplier;
  class Encoder;
  class Decoder;
  /// Team and digest of an idempotency key.
  using KeyId = std::pair<TeamName, std::string>;

  std::uint64_t position = 0;
  JobNumber nextJob = 1;
  std::map<JobNumber, JobRecord> jobs;
  std::map<KeyId, IdempotencyRecord> keys;
  std::uint64_t ignoredEntries = 0;
};

} // namespace daisydrift
