#pragma once
// The state transitions that a leader writes to the journal.

#include "daisydrift/base.h"

#include <cstdint>
#include <string>
#include <variant>

namespace daisydrift {

/// How an attempt ended. The values are stored and must not change.
enum class StoredAttemptOutcome : std::uint8_t
{
  /// No attempt has ended yet. Not valid in an AttemptEnded.
  None = 0,
  Succeeded = 1,
  /// The attempt ran and reported an error.
  Failed = 2,
  /// Ended without reporting an outcome; it may have had side effects.
  Interrupted = 3,
  /// Never ran: the assignment was withdrawn or refused by the worker.
  Rejected = 4
};

/// A job was accepted.
struct JobAccepted
{
  JobNumber job = 0;
  TeamName team;
  /// Specification of the job; not interpreted by this package.
  std::string specification;
  /// Digest of the caller's idempotency key; empty when the caller gave none.
  std::string idempotencyKeyDigest;
  /// Digest of the request body; tells a retry from a key reused for another request.
  std::string bodyDigest;
  /// Wall-clock time of the acceptance, in seconds since 1970; used only for the key's expiry.
  std::int64_t wallSeconds = 0;

  bool operator==(const JobAccepted&) const = default;
};

/// An attempt was assigned to a worker. The start command is sent to the worker only after this
/// entry is committed.
struct TaskAssigned
{
  AttemptId attempt;
  WorkerId worker;
  /// Incarnation of the worker that the attempt is assigned to.
  std::string incarnation;
  /// Resource limit of the task.
  Resources limit;

  bool operator==(const TaskAssigned&) const = default;
};

/// An attempt ended. A withdrawn assignment has the outcome Rejected.
struct AttemptEnded
{
  AttemptId attempt;
  StoredAttemptOutcome outcome = StoredAttemptOutcome::None;
  /// Human-readable reason; not kept in the state.
  std::string detail;

  bool operator==(const AttemptEnded&) const = default;
};

/// A caller cancelled the job. The job finishes when its attempts have ended.
struct JobCancelled
{
  JobNumber job = 0;

  bool operator==(const JobCancelled&) const = default;
};

/// A job reached a final state.
struct JobFinished
{
  JobNumber job = 0;
  /// Number of the final state; not interpreted by this package.
  std::uint8_t finalState = 0;
  /// Human-readable reason.
  std::string reason;
  /// Wall-clock time of the end, in seconds since 1970; used only to remove the job later.
  std::int64_t wallSeconds = 0;

  bool operator==(const JobFinished&) const = default;
};

/// One state transition in the journal.
using JournalEntry =
  std::variant<JobAccepted, TaskAssigned, AttemptEnded, JobCancelled, JobFinished>;

} // namespace daisydrift
