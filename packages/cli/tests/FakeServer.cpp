#include "FakeServer.h"

#include "daisydrift/settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sstream>

namespace daisydrift {

namespace {

std::string ProblemBody(const std::string& aCode, const std::string& aOutcome)
{
  return "{\"code\":\"" + aCode + "\",\"detail\":\"refused\",\"outcome\":\"" + aOutcome + "\"}";
}

ConfigEditor MakeEditor(Store& aStore)
{
  ConfigEditor::Options options;
  options.now = [] { return WallTime(std::chrono::seconds(1'000'000)); };
  options.backoff = [](unsigned) {};
  return ConfigEditor(aStore, options);
}

} // namespace

FakeServer::FakeServer()
{
  auto handle = [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    ReceivedRequest request{ aRequest.method,
                             aRequest.target,
                             aRequest.get_header_value("Idempotency-Key"),
                             aRequest.get_header_value("Authorization"),
                             aRequest.body };
    std::optional<ScriptedResponse> scripted;
    {
      std::lock_guard lock(this->mutex);
      this->received.push_back(request);
    }
    if (this->customHandler) {
      scripted = this->customHandler(request);
    }
    ScriptedResponse response = scripted ? *scripted : this->Respond(request);
    aResponse.status = response.status;
    aResponse.set_content(response.body, response.contentType);
  };
  this->server.Get(".*", handle);
  this->server.Post(".*", handle);
  this->server.Delete(".*", handle);
  this->port = this->server.bind_to_any_port("127.0.0.1");
  this->thread = std::thread([this] { this->server.listen_after_bind(); });
  // Stopping the server before it listens would have no effect.
  while (!this->server.is_running()) {
    std::this_thread::yield();
  }
}

FakeServer::~FakeServer()
{
  this->server.stop();
  this->thread.join();
}

std::vector<ReceivedRequest> FakeServer::ReceivedRequests()
{
  std::lock_guard lock(this->mutex);
  return this->received;
}

ConfigDocument FakeServer::Document()
{
  return MakeEditor(this->store).Read()->document;
}

void FakeServer::ApplyAsOtherOperator(std::vector<daisydrift::Edit> aEdits)
{
  std::string id = "other-" + std::to_string(++this->editCount);
  this->RespondToEdit({ std::nullopt, "other", id, std::move(aEdits) });
}

ScriptedResponse FakeServer::RespondToEdit(const EditRequest& aRequest)
{
  EditOutcome outcome = MakeEditor(this->store).Apply(aRequest);
  if (outcome.error == Errc::Conflict) {
    JsonValue conflicts = JsonValue::Array();
    for (const EditConflict& conflict : outcome.conflicts) {
      JsonValue item = JsonValue::Object();
      item.Set("row", conflict.row).Set("message", conflict.message);
      conflicts.items.push_back(std::move(item));
    }
    JsonValue body = JsonValue::Object();
    body.Set("code", "edit_conflict").Set("conflicts", std::move(conflicts));
    return { 409, ToJsonText(body), "application/problem+json" };
  }
  if (outcome.error) {
    return { 422, ProblemBody("invalid_edit", "not_run"), "application/problem+json" };
  }
  return { 200, "{\"version\":" + std::to_string(outcome.version) + "}" };
}

ScriptedResponse FakeServer::Respond(const ReceivedRequest& aRequest)
{
  const std::string kDomainsPath = "/v1/admin/failure-domains/";
  const std::string kKeysPath = "/v1/admin/keys/";
  auto apply = [&](daisydrift::Edit aEdit) {
    return this->RespondToEdit({ std::nullopt, "operator", aRequest.idempotencyKey, { aEdit } });
  };
  if (aRequest.path == "/v1/admin/config" && aRequest.method == "GET") {
    return { 200, EncodeConfig(this->Document(), KeyDigests::Omitted) };
  }
  if (aRequest.path == "/v1/admin/config") {
    Findings findings;
    std::optional<EditRequest> edits = ParseEdits(aRequest.body, "body", findings);
    return edits ? this->RespondToEdit(*edits)
                 : ScriptedResponse{ 422, ProblemBody("invalid_edit", "not_run") };
  }
  if (aRequest.path == "/v1/admin/keys") {
    Findings findings;
    std::optional<JsonValue> body = ReadJson(aRequest.body, "body", findings);
    Result<GeneratedKey> key = GenerateKey();
    key->entry.team = body->TextOf("team");
    this->ApplyAsOtherOperator({ IssueKey{ key->entry } });
    return { 200, "{\"id\":\"" + key->entry.id + "\",\"key\":\"" + key->text + "\"}" };
  }
  if (aRequest.path.rfind(kKeysPath, 0) == 0) {
    return apply(RevokeKey{ aRequest.path.substr(kKeysPath.size()) });
  }
  if (aRequest.path.rfind(kDomainsPath, 0) == 0) {
    std::string rest = aRequest.path.substr(kDomainsPath.size());
    std::string name = rest.substr(0, rest.find('/'));
    return rest.substr(name.size() + 1) == "drain" ? apply(DrainFailureDomain{ name })
                                                   : apply(ReturnFailureDomain{ name });
  }
  if (aRequest.path == "/v1/admin/audit") {
    JsonValue entries = JsonValue::Array();
    for (const AuditEntry& entry : this->Document().audit) {
      entries.items.push_back(EncodeAuditEntry(entry));
    }
    JsonValue body = JsonValue::Object();
    body.Set("entries", std::move(entries));
    return { 200, ToJsonText(body) };
  }
  return { 404, ProblemBody("not_found", "not_run"), "application/problem+json" };
}

ClosingServer::ClosingServer()
{
  this->listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* genericAddress = reinterpret_cast<sockaddr*>(&address);
  bool isReady = bind(this->listener, genericAddress, length) == 0 &&
                 listen(this->listener, 8) == 0 &&
                 getsockname(this->listener, genericAddress, &length) == 0;
  this->port = isReady ? ntohs(address.sin_port) : 0;
  this->thread = std::thread([this] { this->Serve(); });
}

ClosingServer::~ClosingServer()
{
  shutdown(this->listener, SHUT_RDWR);
  this->thread.join();
  close(this->listener);
}

void ClosingServer::Serve()
{
  while (true) {
    int connection = accept(this->listener, nullptr, nullptr);
    if (connection < 0) {
      return;
    }
    std::string text;
    char buffer[4096];
    while (text.find("\r\n\r\n") == std::string::npos) {
      ssize_t count = recv(connection, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        break;
      }
      text.append(buffer, static_cast<std::size_t>(count));
    }
    ++this->requestCount;
    close(connection);
  }
}

RunResult RunCommand(const std::string& aCommand, const RunOptions& aOptions)
{
  std::istringstream in(aOptions.input);
  std::ostringstream out;
  std::ostringstream err;
  // Sleeping only advances the manual clock, so that a wait ends at once.
  ManualClock clock;
  CommandEnvironment environment{ in,
                                  out,
                                  err,
                                  aOptions.isTerminal,
                                  [&](const std::string& aName) {
                                    return aName == "DAISYDRIFT_KEY" ? aOptions.key
                                           : aName == "USER"         ? std::string("ada")
                                                                     : std::string();
                                  },
                                  clock,
                                  [&](std::chrono::milliseconds aDelay) {
                                    clock.Advance(aDelay);
                                    if (aOptions.onSleep) {
                                      aOptions.onSleep();
                                    }
                                  } };
  std::istringstream words(aCommand);
  std::vector<std::string> arguments;
  for (std::string word; words >> word;) {
    arguments.push_back(word);
  }
  RunResult result;
  result.code = RunCommandLine(arguments, environment);
  result.out = out.str();
  result.err = err.str();
  return result;
}

} // namespace daisydrift
