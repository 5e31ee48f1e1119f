#pragma once
// Stand-in for the platform's instance list.

#include "daisydrift/external.h"

#include <memory>

namespace daisydrift {

/// Serves a list of instances over HTTP. `POST /control/state` with `{"id": ..., "state": ...}`
/// changes the state of one instance.
class DirectoryServer
{
public:
  explicit DirectoryServer(std::vector<InstanceInfo> aInstances);
  ~DirectoryServer();

  /// Starts serving; port 0 selects a free port. Returns false when the port can't be bound.
  bool Start(const Endpoint& aEndpoint);
  /// The bound address.
  const Endpoint& Address() const;
  /// Replaces the list.
  void SetInstances(std::vector<InstanceInfo> aInstances);
  /// Stops serving; further calls do nothing.
  void Stop();

private:
  struct State;
  std::unique_ptr<State> state;
};

} // namespace daisydrift
