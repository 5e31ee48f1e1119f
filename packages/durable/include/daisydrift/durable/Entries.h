#pragma once
// The transitions that a leader makes durable.

#include "daisydrift/base.h"

#include <cstdint>
#include <string>
#include <variant>

namespace daisydrift {

/// How an attempt ended. The values are stored, so they never change.
enum class EndOutcome : std::uint8_t
{
  /// No attempt has ended yet. Not valid in an AttemptEnded.
  None = 0,
  Succeeded = 1,
  /// Ran and reported an error.
  Failed = 2,
  /// Ended without an outcome: it may have had effects.
  Interrupted = 3,
  /// Never ran: the assignment was withdrawn or refused by the worker.
  Rejected = 4
};

/// A job was accepted.
struct JobAccepted
{
  JobNumber job = 0;
  TeamName team;
  /// Specification of the job, opaque to this package.
  std::string specification;
  /// Digest of the caller's idempotency key; empty when the caller gave none.
  std::string idempotencyKeyDigest;
  /// Digest of the request body, to tell a repetition from a misused key.
  std::string bodyDigest;
  /// Wall-clock time of the acceptance, seconds since 1970; used for the expiry of the key only.
  std::int64_t wallSeconds = 0;

  bool operator==(const JobAccepted&) const = default;
};

/// An attempt was assigned to a worker. It is sent there only after this entry is committed.
struct TaskAssigned
{
  AttemptId attempt;
  WorkerId worker;
  /// The worker's incarnation that the start is meant for.
  std::string incarnation;
  /// Resources the task is held to.
  Resources limit;

  bool operator==(const TaskAssigned&) const = default;
};

/// An attempt ended. A withdrawn assignment ends as Rejected.
struct AttemptEnded
{
  AttemptId attempt;
  EndOutcome outcome = EndOutcome::None;
  /// Reason for people; not kept in the state.
  std::string detail;

  bool operator==(const AttemptEnded&) const = default;
};

/// A caller cancelled the job. It finishes when its attempts have ended.
struct JobCancelled
{
  JobNumber job = 0;

  bool operator==(const JobCancelled&) const = default;
};

/// A job reached a final state.
struct JobFinished
{
  JobNumber job = 0;
  /// Number of the final state, opaque to this package.
  std::uint8_t finalState = 0;
  /// Reason for people.
  std::string reason;
  /// Wall-clock time of the end, seconds since 1970; used for the removal of the job only.
  std::int64_t wallSeconds = 0;

  bool operator==(const JobFinished&) const = default;
};

/// One durable transition.
using JournalEntry =
  std::variant<JobAccepted, TaskAssigned, AttemptEnded, JobCancelled, JobFinished>;

} // namespace daisydrift
