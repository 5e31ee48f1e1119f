#pragma once
// Client side of the RPC between entry instances.

#include "daisydrift/rpc/PeerMessages.h"
#include "daisydrift/rpc/PeerResult.h"
#include "daisydrift/rpc/RpcEventLoop.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace daisydrift {

class PeerChannelImpl;

/// Secret, timeouts and limits of a PeerChannel.
struct PeerChannelOptions
{
  /// Secret shared by all instances; must not be empty.
  std::string secret;
  /// Covers connecting and authenticating.
  std::chrono::milliseconds connectTimeout{ 2000 };
  /// Largest message in either direction; must not exceed the server's limit.
  std::size_t maxMessageBytes = 4'000'000;
  /// The next part of a message must be sent or received within this time.
  std::chrono::milliseconds silenceTimeout{ 5000 };
  /// A message must be sent or received within this time once its transfer has begun.
  std::chrono::milliseconds messageTimeout{ 60'000 };
  /// The next call replaces a connection that has been unused for this long. Shorter than the
  /// server's idle timeout, so that a call does not race with the server closing the connection.
  std::chrono::milliseconds idleTimeout{ 20'000 };
  /// Consecutive heartbeats without a response after which the connection is closed.
  unsigned maxMissedHeartbeats = 2;
};

/// Traffic of a channel since its construction.
struct PeerTraffic
{
  std::uint64_t bytesSent = 0;
  std::uint64_t bytesReceived = 0;
  /// Connections established and authenticated.
  std::uint64_t connections = 0;
};

/// Sends calls to one peer over one connection, which the first call opens. Calls block up to their
/// timeout and may be made from any thread except the event loop's; the RPC protocol matches
/// responses to calls.
///
/// A connection may become permanently unresponsive while new ones work. Therefore two consecutive
/// heartbeats without a response close the connection, and its running calls fail with
/// OutcomeUnknown. A heartbeat during which bytes arrive is not counted: its response may be behind
/// a long one. Any other call that times out only retires the connection: the next call opens a
/// new one, and calls still running on the old one may finish, because the slow call may have been
/// slow by itself.
class PeerChannel
{
public:
  PeerChannel(std::shared_ptr<RpcEventLoop> aLoop, Endpoint aEndpoint, PeerChannelOptions aOptions);
  /// Running calls of other threads fail with Unreachable or OutcomeUnknown.
  ~PeerChannel();

  /// For the errors of all calls see PeerResult.
  PeerResult<HeartbeatReply> SendHeartbeat(const Heartbeat& aHeartbeat,
                                           std::chrono::milliseconds aTimeout);
  PeerResult<CallReply> SendCall(const Call& aCall, std::chrono::milliseconds aTimeout);
  /// Fails after aSilence without a byte from the peer, or after aTimeout in all. The document may
  /// be as large as a store value, so the time that it takes depends on the link.
  PeerResult<ConfigReply> FetchConfig(std::chrono::milliseconds aSilence,
                                      std::chrono::milliseconds aTimeout);
  PeerResult<ConfigReply> FetchConfig(std::chrono::milliseconds aTimeout)
  {
    return this->FetchConfig(aTimeout, aTimeout);
  }
  PeerResult<ForwardedReply> ForwardRequest(const ForwardedRequest& aRequest,
                                            std::chrono::milliseconds aTimeout);
  PeerResult<SuccessorAck> NotifySuccessor(const SuccessorNotice& aNotice,
                                           std::chrono::milliseconds aTimeout);

  /// Closes the connection in use, if any; its running calls fail. Waits for the event loop only.
  void CloseConnection();

  /// Address of the peer.
  const Endpoint& Address() const { return this->endpoint; }
  PeerTraffic Traffic() const;

private:
  std::shared_ptr<RpcEventLoop> loop;
  Endpoint endpoint;
  std::size_t maxMessageBytes;
  std::unique_ptr<PeerChannelImpl> impl;
};

} // namespace daisydrift
