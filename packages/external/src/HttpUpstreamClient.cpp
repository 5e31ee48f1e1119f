#include "daisydrift/external/HttpUpstreamClient.h"

#include "HttpConnections.h"

namespace daisydrift {

namespace {

/// True for header fields that apply to one connection and are not forwarded (RFC 9110, section
/// 7.6.1).
bool IsHopByHop(const std::string& aName)
{
  static const char* const kHopByHopNames[] = { "connection", "keep-alive", "proxy-connection",
                                                "te",         "trailer",    "transfer-encoding",
                                                "upgrade",    "host",       "content-length" };
  for (const char* name : kHopByHopNames) {
    if (strcasecmp(aName.c_str(), name) == 0) {
      return true;
    }
  }
  return false;
}

} // namespace

HttpUpstreamClient::HttpUpstreamClient()
  : connections(std::make_unique<HttpConnections>())
{
}

HttpUpstreamClient::~HttpUpstreamClient() = default;

UpstreamResult HttpUpstreamClient::Send(const Endpoint& aEndpoint,
                                        const UpstreamRequest& aRequest,
                                        std::chrono::milliseconds aTimeout)
{
  httplib::Request request;
  request.method = aRequest.method;
  request.path = aRequest.target;
  request.body = aRequest.body;
  // The HTTP server negotiates compression with the caller itself, and would compress twice.
  request.set_header("Accept-Encoding", "identity");
  for (const auto& [name, value] : aRequest.headers) {
    if (!IsHopByHop(name)) {
      request.headers.emplace(name, value);
    }
  }
  HttpOutcome outcome =
    this->connections->Exchange(aEndpoint, std::move(request), aTimeout, TransferTime::Included);
  UpstreamResult result;
  result.error = outcome.error;
  result.progress = outcome.error == Errc::Unreachable ? SendProgress::NotSent : SendProgress::Sent;
  if (result.error) {
    return result;
  }
  result.response.status = outcome.response.status;
  result.response.body = std::move(outcome.response.body);
  for (const auto& [name, value] : outcome.response.headers) {
    if (!IsHopByHop(name)) {
      result.response.headers.emplace_back(name, value);
    }
  }
  return result;
}

} // namespace daisydrift
