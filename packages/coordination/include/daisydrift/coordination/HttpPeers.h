#pragma once
// Remote calls between instances over HTTP.

#include "daisydrift/coordination/Instance.h"

namespace daisydrift {

/// Sends each call as `POST /METHOD` with a JSON body.
class HttpPeers : public PeerTransport
{
public:
  explicit HttpPeers(AsioLoop& aLoop);

  void Call(const SocketEndpoint& aPeer,
            const std::string& aMethod,
            const nlohmann::json& aArguments,
            Duration aTimeout,
            std::function<void(const Result<nlohmann::json>&)> aDone) override;

private:
  HttpClient client;
};

/// Handles an HTTP request that carries a call from another instance.
void ServePeer(Instance& aInstance, const Ref<HttpExchange>& aExchange);

} // namespace daisydrift
