#pragma once
// Server side of the RPC between entry instances.

#include "daisydrift/rpc/PeerService.h"
#include "daisydrift/rpc/RpcEventLoop.h"

#include <chrono>
#include <memory>
#include <string>

namespace daisydrift {

/// Secret, thread counts, timeouts and limits of a PeerServer.
struct PeerServerOptions
{
  /// Secret shared by all instances; must not be empty.
  std::string secret;
  /// Threads for heartbeats, successor notices and configuration requests, which never block.
  std::size_t heartbeatThreads = 2;
  /// Threads for all other calls. A submission occupies one for the duration of a journal write, a
  /// forwarded request for as long as the upstream takes.
  std::size_t callThreads = 32;
  /// Calls that may wait for a thread, in each of the two thread pools; further ones fail with
  /// Overloaded.
  std::size_t maxQueuedCalls = 256;
  /// Open connections; further ones are closed immediately. Six peers need one each, and a few more
  /// while connections are replaced.
  std::size_t maxConnections = 64;
  /// Calls of one connection that run or wait; further ones fail with Overloaded.
  std::size_t maxCallsPerConnection = 128;
  /// Largest message in either direction. Four times the largest configuration document, which is
  /// a store value of 1 MB.
  std::size_t maxMessageBytes = 4'000'000;
  /// A connection that is not authenticated within this time is closed.
  std::chrono::milliseconds authenticationTimeout{ 5000 };
  /// The next part of a message must arrive within this time, and the peer must read the next part
  /// of a reply within it; otherwise the connection is closed.
  std::chrono::milliseconds silenceTimeout{ 5000 };
  /// A message must be complete within this time after its first byte, and the peer must read a
  /// reply within it; otherwise the connection is closed. The largest message takes half of it on a
  /// link of 1 Mbit/s.
  std::chrono::milliseconds messageTimeout{ 60'000 };
  /// A connection on which no message begins for this long is closed. Twice the maximum request
  /// timeout (30 s), so that a running call is never interrupted.
  std::chrono::milliseconds idleTimeout{ 60'000 };
};

/// Listens for peers. Both sides first prove that they know the secret, without sending it. The
/// handshake does not protect the connection against an attacker who can modify its packets later.
/// Malformed input closes the connection on which it arrived and affects no other.
class PeerServer
{
public:
  /// aService must outlive the server.
  PeerServer(std::shared_ptr<RpcEventLoop> aLoop,
             PeerService& aService,
             PeerServerOptions aOptions);
  /// Stops without waiting until running calls have been answered.
  ~PeerServer();

  /// Starts listening; port 0 selects a free port. Errors: InvalidArgument (invalid address or
  /// empty secret), or the system's error when the port cannot be bound.
  std::error_code Start(const Endpoint& aEndpoint);
  /// The bound address; valid after Start.
  const Endpoint& Address() const;
  /// Rejects new calls with NotPermitted, waits at most aTimeout for running ones to finish, sends
  /// their replies, and closes. Heartbeats are answered until the running calls have finished.
  /// Afterwards the port refuses connections, which peers take as proof that this instance has
  /// stopped, so the instance must have stopped acting on its seat by then. Returns false when
  /// calls were still running after aTimeout; their callers see a lost connection. Returns after
  /// all threads of the server have ended.
  bool Stop(std::chrono::milliseconds aTimeout);

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace daisydrift
