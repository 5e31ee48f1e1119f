#pragma once
// Error codes shared by all packages, usable as std::error_code.

#include <string>
#include <system_error>

namespace daisydrift {

/// Errors shared by the packages. The comment of each value states what the caller may conclude.
enum class Errc
{
  Ok = 0,
  /// The expected revision did not match because another writer was first. Nothing was written.
  Conflict,
  /// The key, job, team or other object does not exist.
  NotFound,
  /// The server could not be reached. The call was not executed.
  Unreachable,
  /// The call was sent but no complete response arrived. It may or may not have been executed.
  OutcomeUnknown,
  /// The server rejected the call because its rate or size limits are exceeded. Nothing was done.
  Overloaded,
  /// The lease named in the call has expired.
  LeaseExpired,
  /// The receiver has seen a higher epoch: the sender has been superseded.
  Fenced,
  /// The input is malformed or out of range; the findings give the location.
  InvalidArgument,
  /// The deadline passed before the call was executed. The call was not executed.
  DeadlineExceeded,
  /// The caller's identity is not proven or not the one that this call requires.
  Unauthenticated,
  /// A limit (team ceiling, queue capacity, budget) rejects the call for now. Nothing was done.
  LimitReached,
  /// This instance must not act now (no seat, no lease, stale configuration). Nothing was done.
  NotPermitted,
  /// Stored or received bytes could not be decoded.
  Corrupt
};

/// Error category of Errc.
const std::error_category& DaisydriftCategory() noexcept;

/// Makes Errc convertible to std::error_code.
std::error_code make_error_code(Errc aError) noexcept;

} // namespace daisydrift

template<>
struct std::is_error_code_enum<daisydrift::Errc> : std::true_type
{
};
