#pragma once
// Result of a call to a peer.

#include "daisydrift/base.h"

namespace daisydrift {

/// What a failed call reveals about the peer.
enum class PeerFailure
{
  /// The call did not fail.
  None,
  /// The peer's machine refused the connection: no process listens on the port. Nothing was sent.
  ConnectionRefused,
  /// No connection or no response in time; the peer may be alive.
  Unresponsive,
  /// The connection could not be established for another reason, or was lost.
  Disconnected,
  /// The two sides do not have the same shared secret. Nothing was sent.
  AuthenticationFailed,
  /// The peer, or this side's own check of the request's size or the reply's content, returned the
  /// error.
  ErrorReply
};

/// A reply, or an error with what it reveals about the peer. Errors of every call:
/// - Unreachable: the call was certainly not sent;
/// - Unauthenticated (PeerFailure::AuthenticationFailed): the call was certainly not sent;
/// - OutcomeUnknown: the call was sent, but no response arrived;
/// - InvalidArgument (ErrorReply): the request is malformed or exceeds the message size limit;
/// - Overloaded (ErrorReply): too many calls run or wait at the peer; not executed;
/// - NotPermitted (ErrorReply): the peer is stopping or does not know the call; not executed;
/// - DeadlineExceeded (ErrorReply): the deadline passed before the peer began; not executed;
/// - Corrupt (ErrorReply): the peer executed the call, but its reply has values out of range;
/// - any other error returned by the peer's PeerService (ErrorReply).
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

  /// What the failure reveals about the peer; None when this holds a value.
  PeerFailure Failure() const { return this->failure; }

private:
  PeerFailure failure = PeerFailure::None;
};

} // namespace daisydrift
