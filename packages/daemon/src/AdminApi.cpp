#include "AdminApi.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <limits>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

/// Maximum lifetime of a key that a request may ask for; keeps the expiry within the range of the
/// clock's time points.
constexpr std::uint64_t kMaxKeyLifetimeSeconds = std::numeric_limits<std::uint32_t>::max();

/// Returns true when aSeconds is a valid lifetime of a key.
bool IsValidKeyLifetime(const Json& aSeconds)
{
  return aSeconds.is_number_unsigned() && aSeconds.get<std::uint64_t>() >= 1 &&
         aSeconds.get<std::uint64_t>() <= kMaxKeyLifetimeSeconds;
}

} // namespace

void SendReply(const CallReply& aReply, httplib::Response& aResponse)
{
  aResponse.status = aReply.status;
  for (const auto& [name, value] : aReply.headers) {
    aResponse.set_header(name, value);
  }
  aResponse.set_content(aReply.body, aReply.contentType);
}

AdminApi::AdminApi(HttpServer& aServer, const ApiHooks& aHooks, OperatorCheck aOperatorCheck)
  : hooks(aHooks)
  , operatorCheck(std::move(aOperatorCheck))
{
  this->RegisterReads(aServer.Server());
  this->RegisterEdits(aServer.Server());
}

std::function<void(const httplib::Request&, httplib::Response&)> AdminApi::RequireOperator(
  std::function<void(const httplib::Request&, httplib::Response&)> aHandler)
{
  return [this, handler = std::move(aHandler)](const httplib::Request& aRequest,
                                               httplib::Response& aResponse) {
    if (this->operatorCheck(aRequest, aResponse)) {
      handler(aRequest, aResponse);
    }
  };
}

void AdminApi::RegisterReads(httplib::Server& aServer)
{
  aServer.Get("/v1/admin/config",
              this->RequireOperator([this](const httplib::Request&, httplib::Response& aResponse) {
                aResponse.set_content(
                  EncodeConfig(this->hooks.config()->Document(), KeyDigests::Omitted),
                  "application/json");
              }));
  aServer.Get("/v1/admin/status",
              this->RequireOperator([this](const httplib::Request&, httplib::Response& aResponse) {
                aResponse.set_content(this->hooks.status(), "application/json");
              }));
  aServer.Get("/v1/admin/audit",
              this->RequireOperator([this](const httplib::Request&, httplib::Response& aResponse) {
                aResponse.set_content(this->hooks.audit(), "application/json");
              }));
  aServer.Get(
    "/v1/admin/queue",
    this->RequireOperator([this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      Call call;
      call.kind = CallKind::Query;
      call.path = aRequest.path;
      call.timeout = kDefaultRequestTimeout;
      SendReply(this->hooks.callLeader("", call), aResponse);
    }));
}

void AdminApi::RegisterEdits(httplib::Server& aServer)
{
  auto makeHandler = [this](Handler aHandler) {
    return this->RequireOperator(
      [this, aHandler](const httplib::Request& aRequest, httplib::Response& aResponse) {
        (this->*aHandler)(aRequest, aResponse);
      });
  };
  aServer.Post("/v1/admin/config", makeHandler(&AdminApi::EditConfig));
  aServer.Post("/v1/admin/keys", makeHandler(&AdminApi::IssueTeamKey));
  aServer.Delete("/v1/admin/keys/([^/]+)", makeHandler(&AdminApi::RevokeTeamKey));
  aServer.Post("/v1/admin/failure-domains/([^/]+)/(drain|return)",
               makeHandler(&AdminApi::DrainOrReturnDomain));
}

void AdminApi::EditConfig(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  Problem problem{ 422, "invalid_edit", "the edit is not valid", "not_run", {}, {} };
  std::optional<EditRequest> request = ParseEdits(aRequest.body, "request body", problem.findings);
  if (!request) {
    SendProblem(problem, aResponse);
    return;
  }
  this->SendEditOutcome(this->hooks.edit(*request), aResponse);
}

void AdminApi::ApplyEdit(Edit aEdit, const httplib::Request& aRequest, httplib::Response& aResponse)
{
  EditRequest request;
  // No base version: these edits change a single row and are valid whatever its state, so a
  // concurrent edit is no conflict.
  request.actor = aRequest.has_header("Daisydrift-Actor")
                    ? aRequest.get_header_value("Daisydrift-Actor")
                    : "operator";
  request.editId = aRequest.get_header_value("Idempotency-Key");
  if (request.editId.empty()) {
    Result<std::string> id = GenerateId();
    if (!id) {
      SendProblem({ 500, "no_random_numbers", "no edit id could be generated", "not_run", {}, {} },
                  aResponse);
      return;
    }
    request.editId = *id;
  }
  request.edits.push_back(std::move(aEdit));
  this->SendEditOutcome(this->hooks.edit(request), aResponse);
}

void AdminApi::SendEditOutcome(const EditOutcome& aOutcome, httplib::Response& aResponse)
{
  if (!aOutcome.error) {
    aResponse.set_content(
      Json{ { "version", aOutcome.version }, { "changed", aOutcome.hasChanged } }.dump(),
      "application/json");
    return;
  }
  if (aOutcome.error == Errc::Conflict) {
    Json conflicts = Json::array();
    for (const EditConflict& conflict : aOutcome.conflicts) {
      conflicts.push_back({ { "row", conflict.row }, { "message", conflict.message } });
    }
    Json json =
      Json::parse(EncodeProblem({ 409,
                                  "edit_conflict",
                                  "rows were changed by another operator; nothing was changed",
                                  "not_run",
                                  {},
                                  {} }));
    json["conflicts"] = conflicts;
    aResponse.status = 409;
    aResponse.set_content(json.dump(), "application/problem+json");
    return;
  }
  if (aOutcome.error == Errc::InvalidArgument) {
    SendProblem({ 422,
                  "invalid_edit",
                  "the edit is not valid; nothing was changed",
                  "not_run",
                  {},
                  aOutcome.findings },
                aResponse);
    return;
  }
  bool isUnknown = aOutcome.error == Errc::OutcomeUnknown;
  SendProblem({ isUnknown ? 504 : 503,
                isUnknown ? "outcome_unknown" : "store_unavailable",
                isUnknown ? "the edit may or may not be in force; repeat it with the same edit id"
                          : "the store can't be reached; nothing was changed",
                isUnknown ? "unknown" : "not_run",
                std::chrono::seconds(2),
                {} },
              aResponse);
}

void AdminApi::IssueTeamKey(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  Json json = Json::parse(aRequest.body, nullptr, false);
  if (!json.is_object() || !json.contains("team") || !json["team"].is_string() ||
      (json.contains("expires_s") && !IsValidKeyLifetime(json["expires_s"]))) {
    SendProblem({ 400,
                  "invalid_key_request",
                  "expected {\"team\": NAME, \"expires_s\": SECONDS}",
                  "not_run",
                  {},
                  {} },
                aResponse);
    return;
  }
  Result<GeneratedKey> key = GenerateKey();
  if (!key) {
    SendProblem({ 500, "no_random_numbers", "no key could be generated", "not_run", {}, {} },
                aResponse);
    return;
  }
  key->entry.team = json["team"].get<std::string>();
  if (json.contains("expires_s")) {
    auto now = std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now());
    key->entry.expiry = now + std::chrono::seconds(json["expires_s"].get<std::uint64_t>());
  }
  this->ApplyEdit(IssueKey{ key->entry }, aRequest, aResponse);
  // After a successful edit the status is not set yet, for which cpp-httplib uses -1.
  if (aResponse.status == -1 || aResponse.status == 200) {
    Json response = Json::parse(aResponse.body);
    response["id"] = key->entry.id;
    response["prefix"] = key->entry.prefix;
    response["key"] = key->text;
    aResponse.set_content(response.dump(), "application/json");
  }
}

void AdminApi::RevokeTeamKey(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  this->ApplyEdit(RevokeKey{ aRequest.matches[1] }, aRequest, aResponse);
}

void AdminApi::DrainOrReturnDomain(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  std::string name = aRequest.matches[1];
  Edit edit = aRequest.matches[2] == "drain" ? Edit(DrainFailureDomain{ name })
                                             : Edit(ReturnFailureDomain{ name });
  this->ApplyEdit(std::move(edit), aRequest, aResponse);
}

} // namespace daisydrift
