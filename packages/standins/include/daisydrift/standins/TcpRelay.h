#pragma once
// TCP relay with faults, between a client and a server under test.

#include "daisydrift/standins/RawListener.h"

namespace daisydrift {

/// Passes bytes between each client and a connection of its own to the target.
class TcpRelay
{
public:
  explicit TcpRelay(Endpoint aTarget);
  /// Stops.
  ~TcpRelay();

  /// The address for clients.
  const Endpoint& Address() const;
  /// Connections relayed so far.
  unsigned Accepted() const;
  /// The connections open now go silent for good: their bytes are dropped and neither side hears of
  /// it. New ones work.
  void Silence();
  /// Takes nothing more from the target on the connections open now, until they are reset or the
  /// relay stops: the target sees a client that does not read.
  void StopReadingFromTarget();
  /// Resets all open connections, on both sides.
  void ResetAll();
  /// Sends bytes to the target on the latest connection, as if its client had sent them.
  void SendToTarget(std::string_view aBytes);
  /// Sends bytes to the client on the latest connection, as if its target had sent them.
  void SendToClient(std::string_view aBytes);
  /// Waits until the target has closed the latest connection.
  void AwaitTargetEnd();
  /// Bytes that the client sent on connection aIndex.
  std::string SentByClient(unsigned aIndex) const;
  /// Closes the port and all connections.
  void Stop();

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace daisydrift
