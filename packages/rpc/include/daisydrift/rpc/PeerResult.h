#pragma once
// Result of a call to a peer.

#include "daisydrift/base.h"

namespace daisydrift {

/// What a failed call tells about the peer.
enum class PeerFailure
{
  /// The call did not fail.
  None,
  /// The peer's machine refused the connection: no process listens there. Nothing was sent.
  Refused,
  /// No connection or no answer came in time; the peer may be alive.
  Silent,
  /// The connection could not be made for another reason, or broke.
  Disconnected,
  /// One side does not hold the other's shared secret. Nothing was sent.
  Rejected,
  /// The peer, or this side's own limit check, answered with the error.
  Answered
};

/// A reply, or an error with what it tells about the peer. Errors of every call:
/// - Unreachable: the call was certainly not sent;
/// - Unauthenticated (PeerFailure::Rejected): the call was certainly not sent;
/// - OutcomeUnknown: it was sent and no answer came;
/// - InvalidArgument (Answered): the request is malformed, or larger than a message may be;
/// - Overloaded (Answered): the peer has too many calls running; not carried out;
/// - NotPermitted (Answered): the peer is stopping; not carried out;
/// - DeadlineExceeded (Answered): the deadline passed before the peer began; not carried out;
/// - any other error returned by the peer's PeerService (Answered).
template<typename T>
class [[nodiscard]] PeerResult : public Result<T>
{
public:
  PeerResult(T aValue)
    : Result<T>(std::move(aValue))
  {
  }
  PeerResult(std::error_code aError, PeerFailure aFailure)
    : Result<T>(aError)
    , failure(aFailure)
  {
  }

  /// What the failure tells about the peer; None when a value is held.
  PeerFailure Failure() const { return this->failure; }

private:
  PeerFailure failure = PeerFailure::None;
};

} // namespace daisydrift
