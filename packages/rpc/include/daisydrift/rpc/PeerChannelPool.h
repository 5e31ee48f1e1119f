#pragma once
// Pool of the channels to all peers.

#include "daisydrift/rpc/PeerChannel.h"

#include <map>
#include <mutex>

namespace daisydrift {

/// Pool of channels, one for each endpoint. Thread-safe.
class PeerChannelPool
{
public:
  PeerChannelPool(std::shared_ptr<RpcEventLoop> aLoop, PeerChannelOptions aOptions);

  /// Returns the channel to an endpoint and creates it at first use. It stays usable while the
  /// pointer is held.
  std::shared_ptr<PeerChannel> GetOrCreate(const Endpoint& aEndpoint);
  /// Removes the channels to endpoints that are not listed, such as those of replaced instances.
  void Retain(const std::vector<Endpoint>& aEndpoints);
  /// Closes the open connections; their running calls fail. The channels stay usable.
  void CloseConnections();

private:
  std::shared_ptr<RpcEventLoop> loop;
  PeerChannelOptions options;
  std::mutex mutex;
  std::map<Endpoint, std::shared_ptr<PeerChannel>> channels;
};

} // namespace daisydrift
