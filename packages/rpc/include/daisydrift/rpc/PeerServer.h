#pragma once
// Server side of the calls between entry instances.

#include "daisydrift/rpc/PeerService.h"
#include "daisydrift/rpc/RpcLoop.h"

#include <chrono>
#include <memory>
#include <string>

namespace daisydrift {

/// Limits of a PeerServer.
struct PeerServerOptions
{
  /// Secret shared by all instances; must not be empty.
  std::string secret;
  /// Threads for heartbeats, successor notices and configuration reads, which never block.
  std::size_t heartbeatThreads = 2;
  /// Threads for all other calls. A submission holds one for a journal write, a forwarded request
  /// for as long as the upstream takes.
  std::size_t callThreads = 32;
  /// Calls that may wait for a thread; further ones are answered Overloaded.
  std::size_t maxWaitingCalls = 256;
  /// Open connections; further ones are closed at once. Six peers need one each, and a few more
  /// while connections are replaced.
  std::size_t maxConnections = 64;
  /// Calls of one connection that run or wait; further ones are answered Overloaded.
  std::size_t maxCallsPerConnection = 128;
  /// Largest message either way. Four times the largest configuration document (1 MB store value).
  std::size_t maxMessageBytes = 4'000'000;
  /// A connection that is not authenticated by then is closed.
  std::chrono::milliseconds authenticationLimit{ 5000 };
  /// A message that has begun must be complete by then, and a reply must be taken by the peer;
  /// otherwise the connection is closed.
  std::chrono::milliseconds messageLimit{ 5000 };
  /// A connection on which no message begins for so long is closed. Twice the longest request
  /// deadline (30 s), so that it never cuts off a running call.
  std::chrono::milliseconds idleLimit{ 60'000 };
};

/// Listens for peers. A peer must first prove that it knows the secret, and gets the same proof
/// back; the secret itself is not sent. The proof does not protect the connection afterwards
/// against someone who can change its packets. Bad input closes the connection it came on and
/// nothing else.
class PeerServer
{
public:
  /// aService must outlive the server.
  PeerServer(std::shared_ptr<RpcLoop> aLoop, PeerService& aService, PeerServerOptions aOptions);
  /// Stops without waiting for running calls to be answered.
  ~PeerServer();

  /// Starts listening; port 0 picks a free one. Errors: InvalidArgument (address or secret), or the
  /// system's error when the port can't be bound.
  std::error_code Start(const Endpoint& aEndpoint);
  /// The bound address; valid after Start.
  const Endpoint& Address() const;
  /// Refuses new calls with NotPermitted, lets running ones finish for at most aLimit, sends their
  /// replies, and closes. Heartbeats are answered until the running calls have ended. The port
  /// refuses connections afterwards, which peers take as proof that this instance has stopped, so
  /// the instance must have stopped acting on its seat by then. Returns false when calls were
  /// still running at aLimit; their callers see a broken connection. Returns after all threads of
  /// the server have ended.
  bool Stop(std::chrono::milliseconds aLimit);

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace daisydrift
