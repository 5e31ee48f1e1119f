#pragma once
// The state of a region's jobs and tasks that the journal's entries build.

#include "daisydrift/durable/JournalRecord.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace daisydrift {

/// A finished job stays visible to its callers this long, then it is dropped.
constexpr std::chrono::hours kFinishedJobRetention{ 1 };
/// An idempotency key is kept this long after its job was accepted (design page, section 2.7).
constexpr std::chrono::hours kIdempotencyRetention{ 24 };

/// Where the current attempt of a task is assigned.
struct CurrentAttempt
{
  WorkerId worker;
  std::string incarnation;
  Resources limit;

  bool operator==(const CurrentAttempt&) const = default;
};

/// A task that has had an attempt. Tasks without one are not stored.
struct TaskRecord
{
  std::uint32_t index = 0;
  /// Number of the last attempt assigned.
  std::uint32_t attemptsUsed = 0;
  /// Attempts that ended as Failed.
  std::uint32_t failures = 0;
  /// Outcome of the last attempt that ended.
  EndOutcome lastOutcome = EndOutcome::None;
  /// Assignment of attempt `attemptsUsed` while it has not ended.
  std::optional<CurrentAttempt> current;

  /// True when the last attempt ended as Succeeded.
  bool Succeeded() const { return !this->current && this->lastOutcome == EndOutcome::Succeeded; }

  bool operator==(const TaskRecord&) const = default;
};

/// A job accepted and not dropped yet.
struct JobRecord
{
  JobNumber number = 0;
  TeamName team;
  std::string specification;
  /// Wall-clock seconds since 1970.
  std::int64_t acceptedWallSeconds = 0;
  bool isCancelled = false;
  bool isFinished = false;
  /// Number of the final state; when finished.
  std::uint8_t finalState = 0;
  /// Reason for people; when finished.
  std::string reason;
  /// Wall-clock seconds since 1970; when finished.
  std::int64_t endedWallSeconds = 0;
  /// Tasks that have had an attempt, sorted by index.
  std::vector<TaskRecord> tasks;

  /// The task with this index, or null when it has had no attempt.
  const TaskRecord* FindTask(std::uint32_t aIndex) const;

  bool operator==(const JobRecord&) const = default;
};

/// Result of an earlier submission with the same idempotency key.
struct IdempotencyRecord
{
  JobNumber job = 0;
  std::string bodyDigest;
  /// Wall-clock seconds since 1970 of the acceptance.
  std::int64_t wallSeconds = 0;

  bool operator==(const IdempotencyRecord&) const = default;
};

/// All durable state of a region. Applying is deterministic and never fails: an entry that does not
/// fit the state (unknown job, attempt number used before, end of an attempt that is not current)
/// changes nothing and is counted, so that every reader of the journal reaches the same state.
class RegionState
{
public:
  /// Applies a record if it follows the last one applied. Errors: InvalidArgument (another number;
  /// nothing was applied), so that no record is applied twice or left out.
  std::error_code ApplyRecord(const JournalRecord& aRecord);
  /// Applies the entries that the record aNumber holds; errors as ApplyRecord.
  std::error_code ApplyEntries(std::uint64_t aNumber, const std::vector<JournalEntry>& aEntries);

  /// Drops finished jobs and idempotency keys whose retention ended at aWallSeconds. Called before
  /// a snapshot; needs no journal entry, since dropping again changes nothing.
  void Expire(std::int64_t aWallSeconds);

  /// Number of the last record applied; 0 when none.
  std::uint64_t Position() const { return this->position; }
  /// Number for the next job to be accepted.
  JobNumber NextJob() const { return this->nextJob; }
  /// Entries that did not fit the state since this object was created; not part of the state.
  std::uint64_t IgnoredEntries() const { return this->ignoredEntries; }
  /// All jobs by number.
  const std::map<JobNumber, JobRecord>& Jobs() const { return this->jobs; }
  /// The job, or null.
  const JobRecord* FindJob(JobNumber aJob) const;
  /// The submission made by aTeam with this key digest, or null.
  const IdempotencyRecord* FindKey(const TeamName& aTeam, const std::string& aKeyDigest) const;
  /// Number of idempotency keys held.
  std::size_t KeyCount() const { return this->keys.size(); }

  /// Stored form, for a snapshot. Errors: InvalidArgument (too large for a snapshot).
  Result<std::string> Encode() const;
  /// Reads the stored form. Errors: Corrupt.
  static Result<RegionState> Decode(std::string_view aBytes);

  /// True when the states are alike; the count of ignored entries is not compared.
  bool operator==(const RegionState& aOther) const;

private:
  class EntryApplier;
  class Encoder;
  class Decoder;
  using KeyId = std::pair<TeamName, std::string>;

  std::uint64_t position = 0;
  JobNumber nextJob = 1;
  std::map<JobNumber, JobRecord> jobs;
  std::map<KeyId, IdempotencyRecord> keys;
  std::uint64_t ignoredEntries = 0;
};

} // namespace daisydrift
