#pragma once
// What an entry instance does for its peers.

#include "daisydrift/rpc/PeerMessages.h"

namespace daisydrift {

/// Handler of the calls of authenticated peers. Methods run on threads of the PeerServer, several
/// at once, and may block until the call's deadline. An error returned reaches the caller as it is.
/// An exception is logged and reaches the caller as OutcomeUnknown.
class PeerService
{
public:
  virtual ~PeerService() = default;

  /// Runs on threads of its own together with OnFetchConfig and OnSuccessor; must not block.
  virtual Result<HeartbeatReply> OnHeartbeat(const Heartbeat& aHeartbeat) = 0;
  /// Must not block.
  virtual Result<ConfigReply> OnFetchConfig() = 0;
  /// Must not block.
  virtual Result<SuccessorAck> OnSuccessor(const SuccessorNotice& aNotice) = 0;
  /// Submission, query, cancellation or edit.
  virtual Result<CallReply> OnCall(const Call& aCall) = 0;
  virtual Result<ForwardedReply> OnForwardedRequest(const ForwardedRequest& aRequest) = 0;
};

} // namespace daisydrift
