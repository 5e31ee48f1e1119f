#pragma once
// TCP server on which a test controls every byte.

#include "daisydrift/standins/RawConnection.h"

#include <functional>

namespace daisydrift {

/// Accepts connections on the loopback address and runs a script for each, in a thread of its own.
/// A connection is closed when its script returns.
class RawListener
{
public:
  /// Handles one connection; aIndex counts connections from 0.
  using Script = std::function<void(RawConnection& aConnection, unsigned aIndex)>;

  explicit RawListener(Script aScript);
  ~RawListener();

  /// The bound address.
  const Endpoint& Address() const;
  /// Number of connections accepted so far.
  unsigned Accepted() const;
  /// Closes the port and all connections and waits for the scripts to return. Called by the
  /// destructor.
  void Stop();

private:
  struct State;
  std::unique_ptr<State> state;
};

/// Script that discards all input and sends nothing.
void NeverRespond(RawConnection& aConnection, unsigned aIndex);

/// Returns a loopback address that refuses connections: its port was bound and closed again.
Endpoint RefusingEndpoint();

} // namespace daisydrift
