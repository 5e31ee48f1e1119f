#pragma once
// TCP relay between a client and a server under test, with fault injection.

#include "daisydrift/standins/RawListener.h"

namespace daisydrift {

/// Forwards bytes between each client and a separate connection to the target.
class TcpRelay
{
public:
  explicit TcpRelay(Endpoint aTarget);
  ~TcpRelay();

  /// The address that clients connect to.
  const Endpoint& Address() const;
  /// Number of connections relayed so far.
  unsigned Accepted() const;
  /// Drops all further bytes on the currently open connections without notice to either side, also
  /// the end of a stream. New connections work.
  void DropTraffic();
  /// Stops reading from the target on the currently open connections, until they are reset or the
  /// relay stops: to the target, the client appears not to read.
  void StopReadingFromTarget();
  /// Forwards at most this many bytes a second from the target to each client from now on, as over
  /// a slow link.
  void LimitRateToClients(std::size_t aBytesPerSecond);
  /// As above, from each client to the target.
  void LimitRateToTarget(std::size_t aBytesPerSecond);
  /// Resets all open connections, on both sides.
  void ResetAll();
  /// Sends bytes to the target on the newest connection, as if the client had sent them.
  void SendToTarget(std::string_view aBytes);
  /// Sends bytes to the client on the newest connection, as if the target had sent them.
  void SendToClient(std::string_view aBytes);
  /// Waits until the newest connection has ended on both sides.
  void AwaitTargetClose();
  /// Returns the bytes that the client has sent on connection aIndex, counted from 0.
  std::string SentByClient(unsigned aIndex) const;
  /// Closes the port and all connections. Called by the destructor.
  void Stop();

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace daisydrift
