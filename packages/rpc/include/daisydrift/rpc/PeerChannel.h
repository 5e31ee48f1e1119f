#pragma once
// Client side of the calls between entry instances.

#include "daisydrift/rpc/PeerMessages.h"
#include "daisydrift/rpc/PeerResult.h"
#include "daisydrift/rpc/RpcLoop.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace daisydrift {

class ChannelCore;

/// Limits of a PeerChannel.
struct PeerChannelOptions
{
  /// Secret shared by all instances; must not be empty.
  std::string secret;
  /// Time for connecting and proving the secret.
  std::chrono::milliseconds connectLimit{ 2000 };
  /// Largest message either way; must not exceed that of the server.
  std::size_t maxMessageBytes = 4'000'000;
  /// A message must be sent or received within this time once it has begun.
  std::chrono::milliseconds messageLimit{ 5000 };
  /// A connection unused for so long is replaced by the next call. Below the server's idle limit,
  /// so that a call does not race with the server's closing.
  std::chrono::milliseconds idleLimit{ 20'000 };
  /// Heartbeats in a row that may stay unanswered before the connection is closed.
  unsigned maxMissedHeartbeats = 2;
};

/// Traffic of a channel since it was made.
struct PeerTraffic
{
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  /// Connections made and authenticated.
  std::uint64_t connections = 0;
};

/// Calls to one peer over one connection, opened by the first call. Calls block up to their timeout
/// and may be made from any thread except the RPC thread; answers are matched by the RPC protocol.
///
/// A connection may go silent for good while new ones work. So a heartbeat unanswered twice in a
/// row closes the connection, and running calls end with OutcomeUnknown. Any other call that times
/// out only takes the connection out of use: the next call opens a new one, and calls still running
/// on the old one may end, because the slow call may have been slow by itself.
class PeerChannel
{
public:
  PeerChannel(std::shared_ptr<RpcLoop> aLoop, Endpoint aEndpoint, PeerChannelOptions aOptions);
  /// Running calls of other threads end with Unreachable or OutcomeUnknown.
  ~PeerChannel();

  /// Errors of all calls: see PeerResult.
  PeerResult<HeartbeatReply> SendHeartbeat(const Heartbeat& aHeartbeat,
                                           std::chrono::milliseconds aTimeout);
  PeerResult<CallReply> SendCall(const Call& aCall, std::chrono::milliseconds aTimeout);
  PeerResult<ConfigReply> FetchConfig(std::chrono::milliseconds aTimeout);
  PeerResult<ForwardedReply> ForwardRequest(const ForwardedRequest& aRequest,
                                            std::chrono::milliseconds aTimeout);
  PeerResult<SuccessorAck> NotifySuccessor(const SuccessorNotice& aNotice,
                                           std::chrono::milliseconds aTimeout);

  /// Address of the peer.
  const Endpoint& Address() const { return this->endpoint; }
  /// Traffic so far.
  PeerTraffic Traffic() const;

private:
  std::shared_ptr<RpcLoop> loop;
  Endpoint endpoint;
  std::size_t maxMessageBytes;
  std::unique_ptr<ChannelCore> core;
};

} // namespace daisydrift
