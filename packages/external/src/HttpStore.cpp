#include "daisydrift/external/HttpStore.h"

#include "HttpConnections.h"
#include "JsonFields.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace daisydrift {

namespace {

std::string PercentEncode(const std::string& aText)
{
  return httplib::detail::encode_query_param(aText);
}

httplib::Request MakeRequest(const std::string& aMethod, std::string aPath, std::string aBody = "")
{
  httplib::Request request;
  request.method = aMethod;
  request.path = std::move(aPath);
  if (!aBody.empty() || aMethod != "GET") {
    request.set_header("Content-Type", "application/octet-stream");
  }
  request.body = std::move(aBody);
  return request;
}

/// Parses an unsigned decimal number; returns false when the text is malformed.
bool ParseNumber(const std::string& aText, std::uint64_t& aOut)
{
  auto [next, error] = std::from_chars(aText.data(), aText.data() + aText.size(), aOut);
  return error == std::errc() && next == aText.data() + aText.size() && !aText.empty();
}

std::error_code ErrorOf(const HttpOutcome& aOutcome)
{
  return aOutcome.error ? aOutcome.error : ErrorFromStatus(aOutcome.response.status);
}

/// Nesting of a response's lists and objects, which the reader follows by recursion.
constexpr unsigned kMaxCborDepth = 16;

/// Builds a JSON value while the nesting stays within kMaxCborDepth.
class BoundedJsonBuilder : public nlohmann::detail::json_sax_dom_parser<nlohmann::json>
{
public:
  explicit BoundedJsonBuilder(nlohmann::json& aOut)
    : json_sax_dom_parser(aOut, false)
  {
  }

  // NOLINTBEGIN(readability-identifier-naming)
  bool start_object(std::size_t aCount)
  {
    return ++this->depth <= kMaxCborDepth && json_sax_dom_parser::start_object(aCount);
  }
  bool end_object()
  {
    --this->depth;
    return json_sax_dom_parser::end_object();
  }
  bool start_array(std::size_t aCount)
  {
    return ++this->depth <= kMaxCborDepth && json_sax_dom_parser::start_array(aCount);
  }
  bool end_array()
  {
    --this->depth;
    return json_sax_dom_parser::end_array();
  }
  // NOLINTEND(readability-identifier-naming)

private:
  unsigned depth = 0;
};

/// Reads an object of ParseEntries; throws nlohmann::json::exception for other content.
WatchResult ReadEntries(const nlohmann::json& aJson)
{
  WatchResult result;
  result.revision = aJson.contains("revision") ? UnsignedField(aJson, "revision") : Revision{ 0 };
  for (const auto& item : aJson.at("entries")) {
    const auto& bytes = item.at("value").get_binary();
    result.changes.push_back(
      { item.contains("key") ? item.at("key").get<std::string>() : std::string(),
        std::string(bytes.begin(), bytes.end()),
        item.contains("revision") ? UnsignedField(item, "revision") : Revision{ 0 } });
  }
  return result;
}

/// Decodes `{"revision": N, "entries": [{"key", "value", "revision"}]}` from CBOR, which can carry
/// values as bytes. Errors: Corrupt.
Result<WatchResult> ParseEntries(const std::string& aBody)
{
  nlohmann::json json;
  BoundedJsonBuilder builder(json);
  try {
    if (!nlohmann::json::sax_parse(aBody, &builder, nlohmann::json::input_format_t::cbor) ||
        !json.is_object() || !json.contains("entries") || !json["entries"].is_array()) {
      return Errc::Corrupt;
    }
    return ReadEntries(json);
  } catch (const nlohmann::json::exception&) {
    // Also thrown by the reader, for a list that claims more items than memory could hold.
    return Errc::Corrupt;
  }
}

/// Makes one exchange with the first reachable endpoint.
HttpOutcome ExchangeWithFirstReachable(HttpConnections& aConnections,
                                       const std::vector<Endpoint>& aEndpoints,
                                       const httplib::Request& aRequest,
                                       std::chrono::milliseconds aTimeout)
{
  HttpOutcome outcome;
  outcome.error = Errc::Unreachable;
  for (const Endpoint& endpoint : aEndpoints) {
    outcome = aConnections.Exchange(endpoint, aRequest, aTimeout);
    if (outcome.error != Errc::Unreachable) {
      return outcome;
    }
  }
  return outcome;
}

} // namespace

HttpStore::HttpStore(Endpoint aEndpoint)
  : HttpStore(std::vector<Endpoint>{ std::move(aEndpoint) })
{
}

HttpStore::HttpStore(std::vector<Endpoint> aEndpoints)
  : endpoints(std::move(aEndpoints))
  , connections(std::make_unique<HttpConnections>())
{
}

HttpStore::~HttpStore() = default;

Result<StoreEntry> HttpStore::Get(const std::string& aKey, std::chrono::milliseconds aTimeout)
{
  HttpOutcome outcome =
    ExchangeWithFirstReachable(*this->connections,
                               this->endpoints,
                               MakeRequest("GET", "/v1/kv/" + PercentEncode(aKey)),
                               aTimeout);
  if (std::error_code error = ErrorOf(outcome)) {
    return error;
  }
  StoreEntry entry{ aKey, std::move(outcome.response.body), 0 };
  if (!ParseNumber(outcome.response.get_header_value("Revision"), entry.revision)) {
    return Errc::Corrupt;
  }
  return entry;
}

Result<std::vector<StoreEntry>> HttpStore::List(const std::string& aPrefix,
                                                std::chrono::milliseconds aTimeout)
{
  HttpOutcome outcome =
    ExchangeWithFirstReachable(*this->connections,
                               this->endpoints,
                               MakeRequest("GET", "/v1/kv?prefix=" + PercentEncode(aPrefix)),
                               aTimeout);
  if (std::error_code error = ErrorOf(outcome)) {
    return error;
  }
  Result<WatchResult> parsed = ParseEntries(outcome.response.body);
  if (!parsed) {
    return parsed.Error();
  }
  return std::move(parsed->changes);
}

Result<Revision> HttpStore::CompareAndSwap(const std::string& aKey,
                                           const std::string& aValue,
                                           Revision aExpected,
                                           LeaseId aLease,
                                           std::chrono::milliseconds aTimeout)
{
  std::string path = "/v1/kv/" + PercentEncode(aKey) + "?expected=" + std::to_string(aExpected);
  if (aLease != 0) {
    path += "&lease=" + std::to_string(aLease);
  }
  HttpOutcome outcome = ExchangeWithFirstReachable(
    *this->connections, this->endpoints, MakeRequest("PUT", path, aValue), aTimeout);
  if (std::error_code error = ErrorOf(outcome)) {
    return error;
  }
  Revision revision = 0;
  if (!ParseNumber(outcome.response.get_header_value("Revision"), revision)) {
    return Errc::Corrupt;
  }
  return revision;
}

std::error_code HttpStore::Delete(const std::string& aKey,
                                  Revision aExpected,
                                  std::chrono::milliseconds aTimeout)
{
  std::string path = "/v1/kv/" + PercentEncode(aKey) + "?expected=" + std::to_string(aExpected);
  return ErrorOf(ExchangeWithFirstReachable(
    *this->connections, this->endpoints, MakeRequest("DELETE", path), aTimeout));
}

Result<WatchResult> HttpStore::Watch(const std::string& aPrefix,
                                     Revision aAfter,
                                     std::chrono::milliseconds aWait)
{
  std::string path = "/v1/watch?prefix=" + PercentEncode(aPrefix) +
                     "&after=" + std::to_string(aAfter) +
                     "&wait_ms=" + std::to_string(aWait.count());
  HttpOutcome outcome = ExchangeWithFirstReachable(
    *this->connections, this->endpoints, MakeRequest("GET", path), aWait + kWatchTimeoutMargin);
  if (std::error_code error = ErrorOf(outcome)) {
    return error;
  }
  return ParseEntries(outcome.response.body);
}

Result<LeaseId> HttpStore::GrantLease(std::chrono::milliseconds aTtl,
                                      std::chrono::milliseconds aTimeout)
{
  HttpOutcome outcome = ExchangeWithFirstReachable(
    *this->connections,
    this->endpoints,
    MakeRequest("POST", "/v1/leases?ttl_ms=" + std::to_string(aTtl.count())),
    aTimeout);
  if (std::error_code error = ErrorOf(outcome)) {
    return error;
  }
  LeaseId lease = 0;
  if (!ParseNumber(outcome.response.body, lease) || lease == 0) {
    return Errc::Corrupt;
  }
  return lease;
}

std::error_code HttpStore::RenewLease(LeaseId aLease, std::chrono::milliseconds aTimeout)
{
  std::string path = "/v1/leases/" + std::to_string(aLease) + "/keepalive";
  std::error_code error = ErrorOf(ExchangeWithFirstReachable(
    *this->connections, this->endpoints, MakeRequest("POST", path), aTimeout));
  return error == Errc::NotFound ? make_error_code(Errc::LeaseExpired) : error;
}

std::error_code HttpStore::RevokeLease(LeaseId aLease, std::chrono::milliseconds aTimeout)
{
  std::string path = "/v1/leases/" + std::to_string(aLease);
  std::error_code error = ErrorOf(ExchangeWithFirstReachable(
    *this->connections, this->endpoints, MakeRequest("DELETE", path), aTimeout));
  return error == Errc::NotFound ? make_error_code(Errc::LeaseExpired) : error;
}

} // namespace daisydrift
