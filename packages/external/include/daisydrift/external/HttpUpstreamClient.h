#pragma once
// Client of upstreams over HTTP.

#include "daisydrift/external/UpstreamClient.h"

#include <memory>

namespace daisydrift {

class HttpConnections;

/// HTTP client of upstreams. Thread-safe. Connections are kept open between requests; a connection
/// on which a request failed is closed.
class HttpUpstreamClient : public UpstreamClient
{
public:
  HttpUpstreamClient();
  ~HttpUpstreamClient() override;

  UpstreamResult Send(const Endpoint& aEndpoint,
                      const UpstreamRequest& aRequest,
                      std::chrono::milliseconds aTimeout) override;

private:
  std::unique_ptr<HttpConnections> connections;
};

} // namespace daisydrift
