#pragma once
// HTTP client for entry instances with fail-over. Internal to the package.

#include "daisydrift/external.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace daisydrift {

/// One HTTP request.
struct ApiRequest
{
  std::string method;
  /// Percent-encoded path with query.
  std::string path;
  std::string body;
  /// Value of the header Idempotency-Key; not sent when empty.
  std::string idempotencyKey;
  std::vector<std::pair<std::string, std::string>> headers;
  /// The request may be sent again after its response was lost, because the server carries it out
  /// at most once or running it twice does no harm.
  bool isRepeatable = false;
  /// The request changes nothing, so its outcome is never unknown, and it may be sent again.
  bool isReadOnly = false;
};

/// What is known after a request.
enum class ApiOutcome
{
  /// A server gave a definite response.
  Responded,
  /// No server was reached, or every server refused to run the request: it was not carried out.
  NotRun,
  /// The request was sent, and no response tells whether it was carried out.
  Unknown
};

/// Response to a request, or the reason why there is none.
struct ApiResponse
{
  ApiOutcome outcome = ApiOutcome::NotRun;
  /// HTTP status of the last response; 0 when there was none.
  int status = 0;
  std::string contentType;
  /// Value of the header Daisydrift-Outcome: the outcome of an interactive request.
  std::string requestOutcome;
  std::string body;

  /// True for a definite response with status 2xx.
  bool IsSuccess() const
  {
    return this->outcome == ApiOutcome::Responded && this->status >= 200 && this->status < 300;
  }
};

/// Sends requests to the servers in the given order. It tries the next server when the previous one
/// was not reached or responded that the request was not run, and, if the request may be repeated,
/// when the outcome is unknown. Each server gets a request at most once.
class ApiClient
{
public:
  /// aKey is sent as bearer token when not empty. aTimeout limits connecting, each read and each
  /// write.
  ApiClient(std::vector<Endpoint> aServers, std::string aKey, std::chrono::milliseconds aTimeout);

  ApiResponse Send(const ApiRequest& aRequest) const;

private:
  ApiResponse SendTo(const Endpoint& aServer, const ApiRequest& aRequest) const;

  std::vector<Endpoint> servers;
  std::string key;
  std::chrono::milliseconds timeout;
};

} // namespace daisydrift
