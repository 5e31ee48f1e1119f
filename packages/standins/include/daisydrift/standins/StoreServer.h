#pragma once
// Stand-in for the platform's key-value store, with rate limits, call counters and fault injection.

#include "daisydrift/external.h"

#include <memory>

namespace daisydrift {

/// Rate limits of the store; a call above them gets status 429.
struct StoreLimits
{
  std::uint32_t writesPerSecond = 500;
  std::uint32_t readsPerSecond = 2000;
};

/// Serves a StoreModel over HTTP. `POST /control/faults` with JSON
/// `{"down": bool, "delay_ms": N, "lose_answers_every": N}` sets the injected faults.
/// `GET /v1/stats` returns call counts.
class StoreServer
{
public:
  explicit StoreServer(StoreLimits aLimits);
  ~StoreServer();

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
