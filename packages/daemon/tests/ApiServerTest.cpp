#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ApiServer.h"

#include "daisydrift/standins/RawConnection.h"

#include <mutex>

namespace daisydrift {
namespace {

using Json = nlohmann::json;

const std::string kKey = "dd_key-of-red";
const std::string kRevokedKey = "dd_revoked-key";
const std::string kOperatorKey = "dd_key-of-operators";
const std::string kJob = R"({"name":"a","size":{"milli_cores":1,"memory_mib":1}})";

ConfigDocument MakeDocument()
{
  ConfigDocument document;
  document.version = 5;
  document.teams["red"] = { "red", 1, { 1, 1, 0 }, 1, false };
  document.teams["open"] = { "open", 1, { 1, 1, 0 }, 1, true };
  document.keys["1"] = { "1", "red", "dd_key-o", KeyDigest(kKey), {}, {} };
  document.keys["2"] = { "2", "red", "dd_revok", KeyDigest(kRevokedKey), {}, WallTime() };
  document.services["echo"] = { "echo", 1, 1, true, {} };
  return document;
}

/// An ApiServer on a free port whose hooks record their arguments.
class TestPort
{
public:
  explicit TestPort(ApiPort aPort)
    : server({ aPort, Limits(), {}, KeyDigest(kOperatorKey) },
             this->Hooks(),
             this->clock,
             this->metrics)
  {
    EXPECT_TRUE(this->server.Http().Start({ "127.0.0.1", 0 }));
  }

  const Endpoint& Address() { return this->server.Http().Address(); }

  httplib::Client Client()
  {
    httplib::Client client(this->Address().address, this->Address().port);
    client.set_read_timeout(60, 0);
    return client;
  }

  /// Sends a POST request and returns the response, which must not contain any of the keys.
  httplib::Response Post(const std::string& aPath,
                         const std::string& aBody,
                         const httplib::Headers& aHeaders)
  {
    httplib::Result result = this->Client().Post(aPath, aHeaders, aBody, "application/json");
    EXPECT_TRUE(result) << httplib::to_string(result.error());
    httplib::Response response = result ? *result : httplib::Response();
    std::string text = response.body;
    for (const auto& [name, value] : response.headers) {
      text += name + value;
    }
    for (const std::string& key : { kKey, kRevokedKey, kOperatorKey }) {
      EXPECT_EQ(text.find(key), std::string::npos) << text;
    }
    return response;
  }

  bool isFresh = true;
  RoutedResponse response;
  EditOutcome outcome;
  std::vector<Call> calls;
  std::vector<RoutedRequest> requests;
  std::vector<EditRequest> edits;

private:
  static HttpLimits Limits()
  {
    HttpLimits limits;
    limits.threads = 4;
    limits.readTimeout = std::chrono::seconds(60);
    return limits;
  }

  ApiHooks Hooks()
  {
    ApiHooks hooks;
    hooks.config = [config = MakeRef<const ConfigView>(MakeDocument())] { return config; };
    hooks.isConfigFresh = [this] { return this->isFresh; };
    hooks.callLeader = [this](const std::string&, const Call& aCall) {
      this->calls.push_back(aCall);
      return CallReply{ 201, "application/json", "{}", {} };
    };
    hooks.route = [this](const RoutedRequest& aRequest) {
      this->requests.push_back(aRequest);
      return this->response;
    };
    hooks.edit = [this](const EditRequest& aRequest) {
      this->edits.push_back(aRequest);
      return this->outcome;
    };
    hooks.status = [] { return "{}"; };
    hooks.audit = [] { return "[]"; };
    hooks.refreshMetrics = [] {};
    hooks.isReady = [] { return true; };
    return hooks;
  }

  SteadyClock clock;
  Metrics metrics;
  ApiServer server;
};

httplib::Headers WithKey(const std::string& aKey)
{
  return { { "Authorization", "Bearer " + aKey } };
}

/// Expects a response with complete problem details and this status and code.
void ExpectProblem(const httplib::Response& aResponse, int aStatus, const std::string& aCode)
{
  EXPECT_EQ(aResponse.status, aStatus) << aResponse.body;
  EXPECT_EQ(aResponse.get_header_value("Content-Type"), "application/problem+json");
  Json json = Json::parse(aResponse.body, nullptr, false);
  ASSERT_TRUE(json.is_object()) << aResponse.body;
  for (const char* name : { "type", "title", "code", "detail", "outcome" }) {
    EXPECT_TRUE(json.contains(name) && json[name].is_string()) << name;
  }
  EXPECT_EQ(json.value("status", 0), aStatus);
  EXPECT_EQ(json.value("code", ""), aCode);
  EXPECT_EQ(json.value("outcome", ""), "not_run");
}

// Guards against an invalid request that reaches the leader or an upstream, and against refusals
// without complete problem details.
TEST(ApiServer, RejectsInvalidRequests)
{
  struct Case
  {
    std::string path;
    std::string body;
    httplib::Headers headers;
    int status;
    std::string code;
  };
  httplib::Headers badDeadline = WithKey(kKey);
  badDeadline.emplace("Daisydrift-Deadline-Ms", "-1");
  httplib::Headers zeroDeadline = WithKey(kKey);
  zeroDeadline.emplace("Daisydrift-Deadline-Ms", "0");
  httplib::Headers textDeadline = WithKey(kKey);
  textDeadline.emplace("Daisydrift-Deadline-Ms", "5s");
  httplib::Headers longId = WithKey(kKey);
  longId.emplace("Idempotency-Key", std::string(201, 'i'));
  // Each line is within cpp-httplib's limit of 8 KiB; together they exceed the port's limit.
  httplib::Headers largeHeader = WithKey(kKey);
  for (int i = 0; i < 4; ++i) {
    largeHeader.emplace("Filler-" + std::to_string(i), std::string(5000, 'x'));
  }
  const std::vector<Case> kCases = {
    { "/v1/jobs", kJob, largeHeader, 431, "header_too_large" },
    { "/v1/jobs", kJob, {}, 401, "key_missing" },
    { "/v1/jobs", kJob, { { "Daisydrift-Team", "red" } }, 401, "key_missing" },
    { "/v1/jobs", kJob, WithKey("dd_unknown"), 401, "key_refused" },
    { "/v1/jobs", kJob, WithKey(kRevokedKey), 401, "key_refused" },
    { "/v1/jobs", kJob, WithKey(kOperatorKey), 401, "key_refused" },
    { "/v1/jobs", kJob, badDeadline, 400, "bad_deadline" },
    { "/v1/jobs", kJob, zeroDeadline, 400, "bad_deadline" },
    { "/v1/jobs", kJob, textDeadline, 400, "bad_deadline" },
    { "/v1/jobs", kJob, longId, 400, "bad_idempotency_key" },
    { "/v1/jobs", std::string(64 * 1024 + 1, ' '), WithKey(kKey), 413, "body_too_large" },
    { "/v1/jobs", std::string(1024 * 1024 + 1, ' '), WithKey(kKey), 413, "body_too_large" },
    { "/v1/jobs", "{", WithKey(kKey), 400, "invalid_job" },
    { "/v1/nothing", "", WithKey(kKey), 404, "unknown_path" },
    { "/v1/admin/keys", "{}", WithKey(kOperatorKey), 404, "unknown_path" },
    { "/v1/services/none/requests/", "", WithKey(kKey), 404, "unknown_service" },
  };
  TestPort port(ApiPort::Callers);
  for (const Case& testCase : kCases) {
    SCOPED_TRACE(testCase.path + " " + testCase.code);
    ExpectProblem(
      port.Post(testCase.path, testCase.body, testCase.headers), testCase.status, testCase.code);
  }
  EXPECT_TRUE(port.calls.empty());
  EXPECT_TRUE(port.requests.empty());
}

// Guards against accepting a key that may have been revoked since the configuration was confirmed.
TEST(ApiServer, StaleConfigurationRefusesKeys)
{
  TestPort port(ApiPort::Callers);
  port.isFresh = false;
  httplib::Response response = port.Post("/v1/jobs", kJob, WithKey(kKey));
  ExpectProblem(response, 503, "configuration_unconfirmed");
  EXPECT_EQ(response.get_header_value("Retry-After"), "2");
  EXPECT_TRUE(port.calls.empty());
}

// Guards against a caller that is treated as another team by setting the team's header.
TEST(ApiServer, CallsCarryTheTeamOfTheirKey)
{
  TestPort port(ApiPort::Callers);
  httplib::Headers headers = WithKey(kKey);
  headers.emplace("Daisydrift-Team", "open");
  EXPECT_EQ(port.Post("/v1/jobs", kJob, headers).status, 201);
  EXPECT_EQ(port.Post("/v1/jobs", kJob, { { "Daisydrift-Team", "open" } }).status, 201);
  ASSERT_EQ(port.calls.size(), 2U);
  EXPECT_EQ(port.calls[0].team, "red");
  EXPECT_EQ(port.calls[1].team, "open");
}

// Guards against changes to an upstream's response, also when its body is empty, and against
// sending the caller's key to an upstream.
TEST(ApiServer, ForwardsRequestsAndResponsesUnchanged)
{
  TestPort port(ApiPort::Callers);
  httplib::Headers headers = WithKey(kKey);
  headers.emplace("Daisydrift-Team", "open");
  headers.emplace("X-Own", "kept");
  for (const std::string& body : { std::string("a\0b", 3), std::string() }) {
    port.response = { 404, { { "X-Upstream", "yes" } }, body, RequestOutcome::Ran, "", {} };
    httplib::Response response = port.Post("/v1/services/echo/requests/a%2Fb?c=%20", "in", headers);
    EXPECT_EQ(response.status, 404);
    EXPECT_EQ(response.body, body);
    EXPECT_EQ(response.get_header_value("X-Upstream"), "yes");
    EXPECT_EQ(response.get_header_value("Daisydrift-Outcome"), "ran");
    EXPECT_FALSE(response.get_header_value("Content-Type") == "application/problem+json");
  }
  ASSERT_EQ(port.requests.size(), 2U);
  const UpstreamRequest& request = port.requests[0].request;
  EXPECT_EQ(request.method, "POST");
  EXPECT_EQ(request.target, "/a%2Fb?c=%20");
  EXPECT_EQ(request.body, "in");
  std::string own;
  std::string teams;
  for (const auto& [name, value] : request.headers) {
    EXPECT_NE(strcasecmp(name.c_str(), "Authorization"), 0);
    EXPECT_EQ(value.find(kKey), std::string::npos);
    own += name == "X-Own" ? value : "";
    teams += name == "Daisydrift-Team" ? value : "";
  }
  EXPECT_EQ(own, "kept");
  EXPECT_EQ(teams, "red");
}

// Guards against edit errors that do not name the affected rows.
TEST(ApiServer, ReportsEditErrors)
{
  TestPort port(ApiPort::Operators);
  port.outcome.error = make_error_code(Errc::Conflict);
  port.outcome.conflicts = { { "team red", "changed" } };
  httplib::Response conflict =
    port.Post("/v1/admin/keys", R"({"team":"red"})", WithKey(kOperatorKey));
  ExpectProblem(conflict, 409, "edit_conflict");
  EXPECT_EQ(Json::parse(conflict.body)["conflicts"][0]["row"], "team red");
  port.outcome = {};
  port.outcome.error = make_error_code(Errc::InvalidArgument);
  port.outcome.findings.Add({ "edit", 1, 2 }, "bad_value", "no");
  httplib::Response invalid =
    port.Post("/v1/admin/keys", R"({"team":"red"})", WithKey(kOperatorKey));
  ExpectProblem(invalid, 422, "invalid_edit");
  EXPECT_EQ(Json::parse(invalid.body)["findings"][0]["code"], "bad_value");
  ExpectProblem(port.Post("/v1/admin/config", "{", WithKey(kOperatorKey)), 422, "invalid_edit");
  ExpectProblem(
    port.Post("/v1/admin/keys", R"({"team":"red"})", WithKey(kKey)), 401, "operator_key_refused");
}

// Guards against an expiry that wraps around to a near time, and against a new key that appears
// anywhere but once in its response.
TEST(ApiServer, IssuesKeys)
{
  TestPort port(ApiPort::Operators);
  for (const char* expiry :
       { "0", "-1", "1.5", "\"1\"", "4294967296", "18446744073709551615", "1e999" }) {
    SCOPED_TRACE(expiry);
    ExpectProblem(port.Post("/v1/admin/keys",
                            std::string(R"({"team":"red","expires_s":)") + expiry + "}",
                            WithKey(kOperatorKey)),
                  400,
                  "invalid_key_request");
  }
  EXPECT_TRUE(port.edits.empty());
  httplib::Response response =
    port.Post("/v1/admin/keys", R"({"team":"red","expires_s":4294967295})", WithKey(kOperatorKey));
  EXPECT_EQ(response.status, 200);
  std::string key = Json::parse(response.body).value("key", "");
  EXPECT_EQ(key.substr(0, 3), "dd_");
  EXPECT_EQ(response.body.find(key), response.body.rfind(key));
  ASSERT_EQ(port.edits.size(), 1U);
  const auto& entry = std::get<IssueKey>(port.edits[0].edits[0]).key;
  EXPECT_EQ(entry.digest, KeyDigest(key));
  EXPECT_EQ(entry.team, "red");
  ASSERT_TRUE(entry.expiry.has_value());
  EXPECT_GT(*entry.expiry, std::chrono::system_clock::now() + std::chrono::hours(24 * 365 * 100));
}

// Guards against malformed, oversized or slow requests that stop the server or block other callers.
TEST(ApiServer, ServesOtherCallersDespiteBadConnections)
{
  TestPort port(ApiPort::Callers);
  auto slow = RawConnection::Connect(port.Address());
  ASSERT_TRUE(slow);
  ASSERT_TRUE(slow->Send("GET /healthz HT"));
  for (const std::string& bytes :
       { std::string("\0\xff\x16\x03 garbage\r\n\r\n", 16),
         std::string("POST /v1/jobs HTTP/1.1\r\nContent-Length: 99\r\n\r\n{"),
         "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'x') + "\r\n\r\n" }) {
    auto bad = RawConnection::Connect(port.Address());
    ASSERT_TRUE(bad);
    bad->Send(bytes);
    bad->EndSending();
    bad->AwaitClose();
    httplib::Result good = port.Client().Get("/healthz");
    ASSERT_TRUE(good);
    EXPECT_EQ(good->status, 200);
  }
  ASSERT_TRUE(slow->Send("TP/1.1\r\nConnection: close\r\n\r\n"));
  EXPECT_EQ(slow->ReceiveUntil("\r\n"), "HTTP/1.1 200 OK\r\n");
  EXPECT_TRUE(port.calls.empty());
}

/// Starts a non-blocking connect. The connection is established once the socket is writable.
int StartConnecting(const Endpoint& aEndpoint)
{
  int handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aEndpoint.port);
  inet_pton(AF_INET, aEndpoint.address.c_str(), &address.sin_addr);
  static_cast<void>(connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof address));
  return handle;
}

/// Waits until a connection is established and returns the number of retransmitted segments; 1 when
/// it was not established in time.
unsigned CountRetransmissions(int aHandle)
{
  pollfd waited{ aHandle, POLLOUT, 0 };
  poll(&waited, 1, 60'000);
  tcp_info info{};
  socklen_t size = sizeof info;
  getsockopt(aHandle, IPPROTO_TCP, TCP_INFO, &info, &size);
  return info.tcpi_state == TCP_ESTABLISHED ? info.tcpi_total_retrans : 1;
}

// Guards against a backlog so short that SYN packets of a burst of callers are dropped, which
// delays these callers by 1 s.
TEST(ApiServer, AcceptsABurstOfConnections)
{
  TestPort port(ApiPort::Callers);
  std::vector<int> handles;
  for (int i = 0; i < 400; ++i) {
    handles.push_back(StartConnecting(port.Address()));
  }
  unsigned retransmissions = 0;
  for (int handle : handles) {
    retransmissions += CountRetransmissions(handle);
    close(handle);
  }
  EXPECT_EQ(retransmissions, 0u);
}

} // namespace
} // namespace daisydrift
