#pragma once
// Stand-in for an upstream instance with a fixed number of slots.

#include "daisydrift/external.h"

#include <memory>

namespace daisydrift {

/// Responds to any request, after the `work_ms` of its query, with JSON that echoes method, target,
/// body and the request ID (header `Request-Id`, or `rid` of the query). When all slots are in use,
/// a request gets status 503 with the not-started header and is counted. `GET /control/stats`
/// returns counts; `POST /control/mode` with `{"mode": "ok|hang|error|leaving"}` sets the injected
/// fault.
class UpstreamServer
{
public:
  UpstreamServer(std::string aName, std::uint32_t aSlots);
  ~UpstreamServer();

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
