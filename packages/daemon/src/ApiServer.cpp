#include "ApiServer.h"

#include "JobCodec.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>
#include <thread>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kWatchPollInterval{ 250 };
constexpr std::chrono::seconds kMaxWatchTime{ 25 };
constexpr std::size_t kMaxIdempotencyKeyBytes = 200;
constexpr const char* kBearerPrefix = "Bearer ";

std::string BearerKey(const httplib::Request& aRequest)
{
  std::string header = aRequest.get_header_value("Authorization");
  return header.starts_with(kBearerPrefix) ? header.substr(std::string_view(kBearerPrefix).size())
                                           : "";
}

/// Parses a whole number of milliseconds; returns aDefault when aText is empty and nothing when it
/// is malformed or negative.
std::optional<std::chrono::milliseconds> ReadMilliseconds(const std::string& aText,
                                                          std::chrono::milliseconds aDefault)
{
  if (aText.empty()) {
    return aDefault;
  }
  std::int64_t value = 0;
  auto [next, error] = std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (error != std::errc() || next != aText.data() + aText.size() || value < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

/// Returns the time that the request may take, at most kMaxRequestTimeout. When the header is
/// malformed, sends an error response and returns nothing.
std::optional<std::chrono::milliseconds> ReadRequestTimeout(const httplib::Request& aRequest,
                                                            httplib::Response& aResponse)
{
  auto timeout =
    ReadMilliseconds(aRequest.get_header_value("Daisydrift-Deadline-Ms"), kDefaultRequestTimeout);
  if (!timeout || *timeout == std::chrono::milliseconds::zero()) {
    SendProblem({ 400,
                  "bad_deadline",
                  "Daisydrift-Deadline-Ms must be a positive whole number",
                  "not_run",
                  {},
                  {} },
                aResponse);
    return std::nullopt;
  }
  return std::min<std::chrono::milliseconds>(*timeout, kMaxRequestTimeout);
}

std::string RegionOf(const std::string& aJobId)
{
  std::string region;
  JobNumber job = 0;
  ParseJobId(aJobId, region, job);
  return region;
}

/// Header fields that are sent to an upstream: those of the request without the caller's key, a
/// team name set by the caller and the pseudo-fields added by cpp-httplib, and with the name of the
/// authenticated team.
HeaderFields UpstreamHeaders(const httplib::Request& aRequest, const TeamName& aTeam)
{
  HeaderFields fields;
  for (const auto& [name, value] : aRequest.headers) {
    bool isInternal = strcasecmp(name.c_str(), "Authorization") == 0 ||
                      strcasecmp(name.c_str(), "Daisydrift-Team") == 0 || name == "REMOTE_ADDR" ||
                      name == "REMOTE_PORT" || name == "LOCAL_ADDR" || name == "LOCAL_PORT";
    if (!isInternal) {
      fields.emplace_back(name, value);
    }
  }
  fields.emplace_back("Daisydrift-Team", aTeam);
  return fields;
}

} // namespace

ApiServer::ApiServer(ApiOptions aOptions, ApiHooks aHooks, const Clock& aClock, Metrics& aMetrics)
  : options(std::move(aOptions))
  , hooks(std::move(aHooks))
  , clock(aClock)
  , metrics(aMetrics)
  , http(this->options.limits, this->options.tls)
{
  this->RegisterProbes();
  this->RegisterJobs();
  this->RegisterRequests();
  if (this->options.port == ApiPort::Operators) {
    this->admin = std::make_unique<AdminApi>(
      this->http,
      this->hooks,
      [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
        return this->AuthenticateOperator(aRequest, aResponse);
      });
  }
}

void ApiServer::RegisterProbes()
{
  httplib::Server& server = this->http.Server();
  server.Get("/healthz", [](const httplib::Request&, httplib::Response& aResponse) {
    aResponse.set_content("ok\n", "text/plain");
  });
  server.Get("/readyz", [this](const httplib::Request&, httplib::Response& aResponse) {
    bool isReady = this->hooks.isReady();
    aResponse.status = isReady ? 200 : 503;
    aResponse.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
  });
  server.Get("/metrics", [this](const httplib::Request&, httplib::Response& aResponse) {
    this->hooks.refreshMetrics();
    aResponse.set_content(this->metrics.ToPrometheusText(), "text/plain; version=0.0.4");
  });
}

void ApiServer::RegisterJobs()
{
  httplib::Server& server = this->http.Server();
  server.Post("/v1/jobs", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    this->Submit(aRequest, aResponse);
  });
  server.Post("/v1/jobs/cancel",
              [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
                this->Cancel(aRequest, aResponse, aRequest.body);
              });
  auto query = [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    this->Query(aRequest, aResponse);
  };
  server.Get("/v1/jobs", query);
  server.Get("/v1/jobs/([^/]+)", query);
  server.Get("/v1/jobs/([^/]+)/explain", query);
  server.Get("/v1/jobs/([^/]+)/watch",
             [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
               this->Watch(aRequest, aResponse);
             });
  server.Delete(
    "/v1/jobs/([^/]+)", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      this->Cancel(aRequest, aResponse, Json{ { "job", aRequest.matches[1].str() } }.dump());
    });
}

void ApiServer::RegisterRequests()
{
  httplib::Server& server = this->http.Server();
  const char* pattern = "/v1/services/([^/]+)/requests/(.*)";
  auto route = [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    this->RouteRequest(aRequest, aResponse);
  };
  server.Get(pattern, route);
  server.Post(pattern, route);
  server.Put(pattern, route);
  server.Patch(pattern, route);
  server.Delete(pattern, route);
}

ApiServer::Identity ApiServer::Identify(const httplib::Request& aRequest) const
{
  Identity identity;
  std::string key = BearerKey(aRequest);
  if (this->options.port == ApiPort::Operators && !this->options.operatorKeyDigest.empty() &&
      !key.empty() && EqualInConstantTime(KeyDigest(key), this->options.operatorKeyDigest)) {
    identity.isAllowed = true;
    identity.isOperator = true;
    return identity;
  }
  if (!this->hooks.isConfigFresh()) {
    identity.refusal = { 503,
                         "configuration_unconfirmed",
                         "this instance can't confirm that keys are still valid",
                         "not_run",
                         std::chrono::seconds(2),
                         {} };
    return identity;
  }
  Ref<const ConfigView> config = this->hooks.config();
  if (key.empty()) {
    TeamName team = aRequest.get_header_value("Daisydrift-Team");
    auto found = config->Document().teams.find(team);
    identity.isAllowed = found != config->Document().teams.end() && found->second.hasOpenQueue;
    identity.team = team;
    identity.refusal = {
      401, "key_missing", "send a key as 'Authorization: Bearer KEY'", "not_run", {}, {}
    };
    return identity;
  }
  Authentication authentication = config->Authenticate(key);
  identity.isAllowed = authentication.refusal == KeyRefusal::None;
  identity.team = authentication.team;
  identity.refusal = { 401, "key_refused", Describe(authentication.refusal), "not_run", {}, {} };
  return identity;
}

std::optional<ApiServer::Identity> ApiServer::Authenticate(const httplib::Request& aRequest,
                                                           httplib::Response& aResponse)
{
  Identity identity = this->Identify(aRequest);
  if (!identity.isAllowed) {
    this->metrics.Count("calls_refused_total{code=\"" + identity.refusal.code + "\"}");
    SendProblem(identity.refusal, aResponse);
    return std::nullopt;
  }
  return identity;
}

bool ApiServer::AuthenticateOperator(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  std::string key = BearerKey(aRequest);
  bool isOperator = !this->options.operatorKeyDigest.empty() && !key.empty() &&
                    EqualInConstantTime(KeyDigest(key), this->options.operatorKeyDigest);
  if (!isOperator) {
    SendProblem(
      { 401, "operator_key_refused", "this call needs the operators' key", "not_run", {}, {} },
      aResponse);
  }
  return isOperator;
}

void ApiServer::Submit(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  std::optional<Identity> identity = this->Authenticate(aRequest, aResponse);
  auto timeout = identity ? ReadRequestTimeout(aRequest, aResponse) : std::nullopt;
  if (!timeout) {
    return;
  }
  if (identity->isOperator) {
    SendProblem({ 403,
                  "team_key_needed",
                  "a job must be submitted with the key of a team",
                  "not_run",
                  {},
                  {} },
                aResponse);
    return;
  }
  Call call;
  call.kind = CallKind::Submit;
  call.team = identity->team;
  call.idempotencyKey = aRequest.get_header_value("Idempotency-Key");
  call.body = aRequest.body;
  call.timeout = *timeout;
  Problem problem{ 400, "invalid_job", "the job is not valid", "not_run", {}, {} };
  if (aRequest.body.size() > kMaxSubmissionBytes) {
    SendProblem({ 413, "body_too_large", "a job may have at most 64 KiB", "not_run", {}, {} },
                aResponse);
  } else if (call.idempotencyKey.size() > kMaxIdempotencyKeyBytes) {
    SendProblem({ 400,
                  "bad_idempotency_key",
                  "Idempotency-Key may have at most 200 bytes",
                  "not_run",
                  {},
                  {} },
                aResponse);
  } else if (!ParseJobSubmission(aRequest.body, problem.findings)) {
    SendProblem(problem, aResponse);
  } else {
    SendReply(this->hooks.callLeader("", call), aResponse);
  }
}

void ApiServer::Query(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  std::optional<Identity> identity = this->Authenticate(aRequest, aResponse);
  auto timeout = identity ? ReadRequestTimeout(aRequest, aResponse) : std::nullopt;
  if (!timeout) {
    return;
  }
  Call call;
  call.kind = CallKind::Query;
  call.team = identity->team;
  call.path = aRequest.path;
  call.timeout = *timeout;
  std::string region = aRequest.matches.size() > 1 ? RegionOf(aRequest.matches[1]) : "";
  SendReply(this->hooks.callLeader(region, call), aResponse);
}

void ApiServer::Watch(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  std::optional<Identity> identity = this->Authenticate(aRequest, aResponse);
  if (!identity) {
    return;
  }
  std::string jobId = aRequest.matches[1];
  std::string knownState = aRequest.get_param_value("state");
  auto wait = ReadMilliseconds(aRequest.get_param_value("wait_ms"), std::chrono::seconds(10));
  if (!wait) {
    SendProblem({ 400, "bad_wait", "wait_ms must be a whole number", "not_run", {}, {} },
                aResponse);
    return;
  }
  TimePoint end = this->clock.Now() + std::min<std::chrono::milliseconds>(*wait, kMaxWatchTime);
  Call call;
  call.kind = CallKind::Query;
  call.team = identity->team;
  call.path = "/v1/jobs/" + jobId;
  call.timeout = kDefaultRequestTimeout;
  while (true) {
    CallReply reply = this->hooks.callLeader(RegionOf(jobId), call);
    Json json = Json::parse(reply.body, nullptr, false);
    bool isSame =
      reply.status == 200 && json.is_object() && json.value("state", std::string()) == knownState;
    if (!isSame || this->clock.Now() >= end) {
      SendReply(reply, aResponse);
      return;
    }
    std::this_thread::sleep_for(kWatchPollInterval);
  }
}

void ApiServer::Cancel(const httplib::Request& aRequest,
                       httplib::Response& aResponse,
                       std::string aBody)
{
  std::optional<Identity> identity = this->Authenticate(aRequest, aResponse);
  auto timeout = identity ? ReadRequestTimeout(aRequest, aResponse) : std::nullopt;
  if (!timeout) {
    return;
  }
  Call call;
  call.kind = CallKind::Cancel;
  call.team = identity->team;
  call.body = std::move(aBody);
  call.timeout = *timeout;
  std::string region = aRequest.matches.size() > 1 ? RegionOf(aRequest.matches[1]) : "";
  SendReply(this->hooks.callLeader(region, call), aResponse);
}

void ApiServer::RouteRequest(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  std::optional<Identity> identity = this->Authenticate(aRequest, aResponse);
  auto timeout = identity ? ReadRequestTimeout(aRequest, aResponse) : std::nullopt;
  if (!timeout) {
    return;
  }
  Ref<const ConfigView> config = this->hooks.config();
  std::string service = aRequest.matches[1];
  auto found = config->Document().services.find(service);
  if (found == config->Document().services.end()) {
    SendProblem({ 404, "unknown_service", "no service has this name", "not_run", {}, {} },
                aResponse);
    return;
  }
  const auto& teams = found->second.teams;
  if (identity->isOperator ||
      (!found->second.isOpenToAllTeams &&
       std::find(teams.begin(), teams.end(), identity->team) == teams.end())) {
    SendProblem(
      { 403, "service_not_allowed", "the team may not call this service", "not_run", {}, {} },
      aResponse);
    return;
  }
  RoutedRequest routed;
  routed.service = service;
  routed.team = identity->team;
  auto team = config->Document().teams.find(identity->team);
  routed.weight = team == config->Document().teams.end() ? 1 : team->second.weight;
  routed.request.method = aRequest.method;
  // Uses the raw target to preserve the caller's percent-encoding of path and query.
  std::size_t start = aRequest.target.find("/requests/");
  routed.request.target = start == std::string::npos ? "/" : aRequest.target.substr(start + 9);
  routed.request.headers = UpstreamHeaders(aRequest, identity->team);
  routed.request.body = aRequest.body;
  routed.isRepeatable = aRequest.get_header_value("Daisydrift-Repeatable") == "true";
  routed.deadline = this->clock.Now() + *timeout;
  TimePoint begin = this->clock.Now();
  RoutedResponse response = this->hooks.route(routed);
  this->metrics.Observe("request_seconds", this->clock.Now() - begin);
  aResponse.set_header("Daisydrift-Outcome", ToString(response.outcome));
  if (!response.code.empty() && response.body.empty()) {
    SendProblem({ response.status,
                  response.code,
                  "no response of an upstream is available",
                  ToString(response.outcome),
                  response.retryAfter.value_or(std::chrono::seconds(0)),
                  {} },
                aResponse);
    return;
  }
  aResponse.status = response.status;
  for (const auto& [name, value] : response.headers) {
    aResponse.headers.emplace(name, value);
  }
  aResponse.body = response.body;
}

} // namespace daisydrift
