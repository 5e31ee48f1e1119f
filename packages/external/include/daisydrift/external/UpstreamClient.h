#pragma once
// Interface to the upstream instances that serve interactive requests.

#include "daisydrift/base.h"
#include "daisydrift/external/Endpoint.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace daisydrift {

/// Names and values of header fields, in order.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// Request to forward to an upstream.
struct UpstreamRequest
{
  std::string method;
  /// Path with query, as sent to the upstream.
  std::string target;
  HeaderFields headers;
  std::string body;
};

/// Complete response of an upstream.
struct UpstreamResponse
{
  int status = 0;
  HeaderFields headers;
  std::string body;
};

/// Whether a failed request may have reached the upstream.
enum class SendProgress
{
  /// No byte of the request was written to a connection: the upstream certainly did not execute it.
  NotSent,
  /// Part or all of the request was sent: the upstream may have executed it.
  Sent
};

/// Result of one attempt to send a request.
struct UpstreamResult
{
  /// Zero when the complete response was received.
  std::error_code error;
  SendProgress progress = SendProgress::NotSent;
  UpstreamResponse response;
};

/// Header with which an upstream confirms, together with status 503, that it did not start the
/// request.
inline constexpr const char* kNotStartedHeader = "Daisydrift-Not-Started";

/// Client of upstream instances.
class UpstreamClient
{
public:
  virtual ~UpstreamClient() = default;

  /// Sends aRequest once, without retries, and waits at most aTimeout for the complete response.
  /// Errors: Unreachable (not sent), OutcomeUnknown (no complete response).
  virtual UpstreamResult Send(const Endpoint& aEndpoint,
                              const UpstreamRequest& aRequest,
                              std::chrono::milliseconds aTimeout) = 0;
};

} // namespace daisydrift
