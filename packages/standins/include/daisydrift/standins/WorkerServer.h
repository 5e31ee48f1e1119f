#pragma once
// Stand-in for a worker of the platform.

#include "daisydrift/external.h"

#include <memory>

namespace daisydrift {

/// Serves a WorkerModel over HTTP. The payload of a task defines its behaviour: JSON with `run_ms`
/// (0: until stopped) and `fail` (true: exits with an error). `GET /control/history` returns the
/// history that the worker recorded.
class WorkerServer
{
public:
  WorkerServer(std::string aIncarnation,
               Resources aCapacity,
               std::chrono::milliseconds aInitialLease);
  ~WorkerServer();

  /// Starts serving; port 0 selects a free port. Returns false when the port can't be bound.
  bool Start(const Endpoint& aEndpoint);
  /// The bound address.
  const Endpoint& Address() const;
  /// Stops serving; further calls do nothing.
  void Stop();

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace daisydrift
