#include "daisydrift/rpc/PeerChannelPool.h"

#include <algorithm>

namespace daisydrift {

PeerChannelPool::PeerChannelPool(std::shared_ptr<RpcEventLoop> aLoop, PeerChannelOptions aOptions)
  : loop(std::move(aLoop))
  , options(std::move(aOptions))
{
}

std::shared_ptr<PeerChannel> PeerChannelPool::GetOrCreate(const Endpoint& aEndpoint)
{
  std::lock_guard lock(this->mutex);
  std::shared_ptr<PeerChannel>& channel = this->channels[aEndpoint];
  if (!channel) {
    channel = std::make_shared<PeerChannel>(this->loop, aEndpoint, this->options);
  }
  return channel;
}

void PeerChannelPool::CloseConnections()
{
  std::lock_guard lock(this->mutex);
  for (const auto& [endpoint, channel] : this->channels) {
    channel->CloseConnection();
  }
}

void PeerChannelPool::Retain(const std::vector<Endpoint>& aEndpoints)
{
  // Declared before the lock, so that the channels are closed after it is released: closing waits
  // for the event loop's thread.
  std::vector<std::shared_ptr<PeerChannel>> dropped;
  std::lock_guard lock(this->mutex);
  for (auto it = this->channels.begin(); it != this->channels.end();) {
    if (std::find(aEndpoints.begin(), aEndpoints.end(), it->first) == aEndpoints.end()) {
      dropped.push_back(std::move(it->second));
      it = this->channels.erase(it);
    } else {
      ++it;
    }
  }
}

} // namespace daisydrift
