#include "ApiClient.h"

#include "daisydrift/settings.h"

#include <httplib.h>

namespace daisydrift {

namespace {

constexpr int kFirstServerError = 500;

/// Text of a member of a JSON answer, or "".
std::string MemberOf(const std::string& aBody, const char* aName)
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

/// What an answer says about the call.
ApiOutcome Judge(const ApiAnswer& aAnswer)
{
  if (aAnswer.status < kFirstServerError) {
    return ApiOutcome::Answered;
  }
  bool isProblem = aAnswer.contentType.rfind("application/problem+json", 0) == 0;
  std::string outcome = aAnswer.requestOutcome;
  if (outcome.empty() && isProblem) {
    outcome = MemberOf(aAnswer.body, "outcome");
  }
  if (outcome == "not_run") {
    return ApiOutcome::NotRun;
  }
  if (outcome == "ran") {
    return ApiOutcome::Answered;
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

ApiAnswer ApiClient::Send(const ApiRequest& aRequest) const
{
  ApiAnswer last;
  bool isInDoubt = false;
  for (const Endpoint& server : this->servers) {
    ApiAnswer answer = this->SendTo(server, aRequest);
    // An answer with a problem is worth more to the user than none.
    if (answer.status != 0 || last.status == 0) {
      last = answer;
    }
    if (answer.outcome == ApiOutcome::Answered) {
      return answer;
    }
    isInDoubt = isInDoubt || answer.outcome == ApiOutcome::Unknown;
    if (isInDoubt && !aRequest.isRepeatable && !aRequest.isRead) {
      break;
    }
  }
  last.outcome = isInDoubt && !aRequest.isRead ? ApiOutcome::Unknown : ApiOutcome::NotRun;
  return last;
}

ApiAnswer ApiClient::SendTo(const Endpoint& aServer, const ApiRequest& aRequest) const
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
  ApiAnswer answer;
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  if (!client.send(request, response, error)) {
    answer.outcome = IsConnectionError(error) ? ApiOutcome::NotRun : ApiOutcome::Unknown;
    return answer;
  }
  answer.status = response.status;
  answer.contentType = response.get_header_value("Content-Type");
  answer.requestOutcome = response.get_header_value("Daisydrift-Outcome");
  answer.body = std::move(response.body);
  answer.outcome = Judge(answer);
  return answer;
}

} // namespace daisydrift
