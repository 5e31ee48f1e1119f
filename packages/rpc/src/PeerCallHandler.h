#pragma once
// Server side of the RPC interface for authenticated clients.

#include "PeerServerImpl.h"
#include "generated/peer.capnp.h"

namespace daisydrift {

/// Runs each call of the PeerService on a thread of its pool and returns the reply. Only for use on
/// the event loop's thread.
class PeerCallHandler final : public wire::Peer::Server
{
public:
  explicit PeerCallHandler(PeerServerImpl& aServer);

  kj::Promise<void> heartbeat(HeartbeatContext aContext) override;
  kj::Promise<void> call(CallContext aContext) override;
  kj::Promise<void> fetchConfig(FetchConfigContext aContext) override;
  kj::Promise<void> forwardRequest(ForwardRequestContext aContext) override;
  kj::Promise<void> successor(SuccessorContext aContext) override;

private:
  /// Runs aWork on a thread of the pool and fills in the reply. A call that does not start within
  /// aTimeout fails with DeadlineExceeded.
  template<typename Reply, typename Context>
  kj::Promise<void> Dispatch(Context aContext,
                             PeerServerImpl::PoolKind aPoolKind,
                             std::optional<Duration> aTimeout,
                             std::function<Result<Reply>()> aWork);

  PeerServerImpl& server;
  /// Number of calls of this connection that run or wait; shared with the calls, because they may
  /// outlive the connection.
  std::shared_ptr<std::size_t> pendingCalls = std::make_shared<std::size_t>(0);
};

} // namespace daisydrift
