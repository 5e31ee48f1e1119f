#pragma once
// Remote calls between instances over HTTP.

#include "daisydrift/coordination/Instance.h"

namespace daisydrift {

/// Sends each call as `POST /METHOD` with a JSON body. Callers' queries, callers' changes of jobs
/// and the calls of the group have connections of their own, so that many of one kind delay no
/// other.
class HttpPeerTransport : public PeerTransport
{
public:
  /// aMaxIdle limits the idle connections to all instances for each of the three kinds of calls.
  explicit HttpPeerTransport(AsioLoop& aLoop,
                             std::size_t aMaxIdle = std::numeric_limits<std::size_t>::max());

  void Call(const SocketEndpoint& aPeer,
            const std::string& aMethod,
            const nlohmann::json& aArguments,
            Duration aTimeout,
            std::function<void(const Result<nlohmann::json>&)> aDone) override;

private:
  HttpClient& ClientFor(const std::string& aMethod);

  HttpClient queries;
  HttpClient changes;
  HttpClient group;
};

/// Handles an HTTP request that carries a call from another instance.
void HandlePeerCall(Instance& aInstance, const Ref<HttpExchange>& aExchange);

} // namespace daisydrift
