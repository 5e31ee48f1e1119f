#pragma once
// The calls offered to an authenticated client.

#include "ServerCore.h"
#include "generated/peer.capnp.h"

namespace daisydrift {

/// Passes each call to the PeerService on a thread of its lane and its reply back. Only for use on
/// the loop's thread.
class PeerCalls final : public wire::Peer::Server
{
public:
  explicit PeerCalls(ServerCore& aCore);

  kj::Promise<void> heartbeat(HeartbeatContext aContext) override;
  kj::Promise<void> call(CallContext aContext) override;
  kj::Promise<void> fetchConfig(FetchConfigContext aContext) override;
  kj::Promise<void> forwardRequest(ForwardRequestContext aContext) override;
  kj::Promise<void> successor(SuccessorContext aContext) override;

private:
  /// Runs aWork on a thread of aLane and fills the reply. A call whose aDeadline has passed before
  /// it began is answered DeadlineExceeded.
  template<typename Reply, typename Context>
  kj::Promise<void> Dispatch(Context aContext,
                             ServerCore::Lane aLane,
                             std::optional<Duration> aDeadline,
                             std::function<Result<Reply>()> aWork);

  ServerCore& core;
  /// Calls of this connection that run or wait; shared with them because they may outlive it.
  std::shared_ptr<std::size_t> running = std::make_shared<std::size_t>(0);
};

} // namespace daisydrift
