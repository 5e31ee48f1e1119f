#pragma once
// TCP server on which a test decides every byte.

#include "daisydrift/standins/RawConnection.h"

#include <functional>

namespace daisydrift {

/// Accepts connections on the loopback address and runs a script on each, on a thread of its own.
/// A connection is closed when its script returns.
class RawListener
{
public:
  /// What to do on one connection; aIndex counts connections from 0.
  using Script = std::function<void(RawConnection& aConnection, unsigned aIndex)>;

  explicit RawListener(Script aScript);
  /// Stops.
  ~RawListener();

  /// The bound address.
  const Endpoint& Address() const;
  /// Connections accepted so far.
  unsigned Accepted() const;
  /// Closes the port and all connections and waits for the scripts.
  void Stop();

private:
  struct State;
  std::unique_ptr<State> state;
};

/// Script that accepts and never answers.
void StaySilent(RawConnection& aConnection, unsigned aIndex);

/// An address on which nothing listens: it was bound and closed again.
Endpoint RefusingEndpoint();

} // namespace daisydrift
