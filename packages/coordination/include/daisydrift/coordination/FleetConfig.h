#pragma once
// The operators' configuration in the form that an instance uses.

#include "daisydrift/dispatch.h"
#include "daisydrift/http.h"

#include <map>
#include <set>

namespace daisydrift {

/// Maps a host and a path prefix to a queue.
struct QueueRoute
{
  std::string host;
  std::string prefix;
  QueueName queue;
  /// Accepts jobs without an API key.
  bool allowsAnonymous = false;
};

/// One version of the configuration.
struct FleetConfig
{
  std::uint64_t version = 0;
  std::vector<QueueRoute> routes;
  /// Team of each API key.
  std::map<std::string, TeamName> keys;
  FleetPolicy policy;
  /// Limits on callers' connections and requests.
  HttpServerLimits limits;
  /// Source document; passed on to instances that cannot reach the store.
  std::string document;
};

} // namespace daisydrift
