#pragma once
// Interface of the handlers for calls of peers.

#include "daisydrift/rpc/PeerMessages.h"

namespace daisydrift {

/// Handles the calls of authenticated peers. Methods run concurrently on threads of the PeerServer
/// and may block for at most the call's timeout. Errors are returned to the caller unchanged. An
/// exception is logged, and the caller receives OutcomeUnknown.
class PeerService
{
public:
  virtual ~PeerService() = default;

  /// Must not block: it shares a separate thread pool with OnFetchConfig and OnSuccessor.
  virtual Result<HeartbeatReply> OnHeartbeat(const Heartbeat& aHeartbeat) = 0;
  /// Must not block.
  virtual Result<ConfigReply> OnFetchConfig() = 0;
  /// Must not block.
  virtual Result<SuccessorAck> OnSuccessor(const SuccessorNotice& aNotice) = 0;
  /// Handles a submission, query, cancellation or edit.
  virtual Result<CallReply> OnCall(const Call& aCall) = 0;
  virtual Result<ForwardedReply> OnForwardedRequest(const ForwardedRequest& aRequest) = 0;
};

} // namespace daisydrift
