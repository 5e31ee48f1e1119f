#include "ApiClient.h"

#include "daisydrift/settings.h"

#include <httplib.h>

namespace daisydrift {

namespace {

constexpr int kFirstServerError = 500;

/// Text member of a JSON object, or "" when the body is malformed or lacks it.
std::string TextMember(const std::string& aBody, const char* aName)
{
  Findings ignored;
  std::optional<JsonValue> value = ReadJson(aBody, "answer", ignored);
  return value ? value->TextOf(aName) : "";
}

bool IsConnectionError(httplib::Error aError)
{
  return aError == httplib::Error::Connection || aError == httplib::Error::ConnectionTimeout ||
         aError == httplib::Error::BindIPAddress;
}

/// Outcome of the request according to a response. A server error without a stated outcome, such as
/// one of a proxy, leaves it unknown.
ApiOutcome ClassifyResponse(const ApiResponse& aResponse)
{
  if (aResponse.status < kFirstServerError) {
    return ApiOutcome::Responded;
  }
  bool isProblem = aResponse.contentType.rfind("application/problem+json", 0) == 0;
  std::string outcome = aResponse.requestOutcome;
  if (outcome.empty() && isProblem) {
    outcome = TextMember(aResponse.body, "outcome");
  }
  if (outcome == "not_run") {
    return ApiOutcome::NotRun;
  }
  if (outcome == "ran") {
    return ApiOutcome::Responded;
  }
  return ApiOutcome::Unknown;
}

} // namespace

ApiClient::ApiClient(std::vector<Endpoint> aServers,
                     std::string aKey,
                     std::chrono::milliseconds aTimeout)
  : servers(std::move(aServers))
  , key(std::move(aKey))
  , timeout(aTimeout)
{
}

ApiResponse ApiClient::Send(const ApiRequest& aRequest) const
{
  ApiResponse last;
  bool mayHaveRun = false;
  for (const Endpoint& server : this->servers) {
    ApiResponse response = this->SendTo(server, aRequest);
    // A response with an error tells the user more than a failed connection does.
    if (response.status != 0 || last.status == 0) {
      last = response;
    }
    if (response.outcome == ApiOutcome::Responded) {
      return response;
    }
    mayHaveRun = mayHaveRun || response.outcome == ApiOutcome::Unknown;
    if (mayHaveRun && !aRequest.isRepeatable && !aRequest.isReadOnly) {
      break;
    }
  }
  last.outcome = mayHaveRun && !aRequest.isReadOnly ? ApiOutcome::Unknown : ApiOutcome::NotRun;
  return last;
}

ApiResponse ApiClient::SendTo(const Endpoint& aServer, const ApiRequest& aRequest) const
{
  httplib::Client client(aServer.address, aServer.port);
  client.set_connection_timeout(this->timeout);
  client.set_read_timeout(this->timeout);
  client.set_write_timeout(this->timeout);
  client.set_follow_location(false);
  client.set_url_encode(false);
  httplib::Request request;
  request.method = aRequest.method;
  request.path = aRequest.path;
  request.body = aRequest.body;
  if (!aRequest.body.empty()) {
    request.headers.emplace("Content-Type", "application/json");
  }
  if (!this->key.empty()) {
    request.headers.emplace("Authorization", "Bearer " + this->key);
  }
  if (!aRequest.idempotencyKey.empty()) {
    request.headers.emplace("Idempotency-Key", aRequest.idempotencyKey);
  }
  for (const auto& [name, value] : aRequest.headers) {
    request.headers.emplace(name, value);
  }
  ApiResponse response;
  httplib::Response httpResponse;
  httplib::Error error = httplib::Error::Success;
  if (!client.send(request, httpResponse, error)) {
    response.outcome = IsConnectionError(error) ? ApiOutcome::NotRun : ApiOutcome::Unknown;
    return response;
  }
  response.status = httpResponse.status;
  response.contentType = httpResponse.get_header_value("Content-Type");
  response.requestOutcome = httpResponse.get_header_value("Daisydrift-Outcome");
  response.body = std::move(httpResponse.body);
  response.outcome = ClassifyResponse(response);
  return response;
}

} // namespace daisydrift
