// Commands that list and change keys, failure domains and services.

#include "Commands.h"

#include <algorithm>
#include <charconv>

namespace daisydrift {

namespace {

constexpr std::int64_t kMaxUpstreamCapacity = 1'000'000;

/// Lifetime in seconds of a text such as "90d"; 0 when malformed.
std::int64_t ParseLifetime(const std::string& aText)
{
  const std::map<char, std::int64_t> kSecondsPerUnit = {
    { 's', 1 }, { 'm', 60 }, { 'h', 3600 }, { 'd', 86400 }
  };
  constexpr std::int64_t kMaxCount = 100'000;
  if (aText.empty()) {
    return 0;
  }
  std::int64_t count = 0;
  const char* last = aText.data() + aText.size() - 1;
  auto [end, error] = std::from_chars(aText.data(), last, count);
  auto unit = kSecondsPerUnit.find(aText.back());
  if (error != std::errc() || end != last || unit == kSecondsPerUnit.end() || count < 1 ||
      count > kMaxCount) {
    return 0;
  }
  return count * unit->second;
}

/// Sends a write to aPath, prints the new version of the configuration and waits for it if asked
/// to.
ExitCode SendAdminWrite(CommandContext& aContext, const char* aMethod, const std::string& aPath)
{
  ApiRequest request;
  request.method = aMethod;
  request.path = aPath;
  // The server uses the key as id of the edit and applies edits with the same id only once.
  request.idempotencyKey = aContext.IdempotencyKey();
  request.isRepeatable = true;
  request.headers.emplace_back("Daisydrift-Actor", aContext.Actor());
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> response = aContext.ReadJsonResponse(aContext.Send(request), code);
  if (!response) {
    if (code == ExitCode::OutcomeUnknown) {
      aContext.Fail(code, "repeat with --idempotency-key " + request.idempotencyKey);
    }
    return code;
  }
  aContext.Print(*response, { { "version" }, { CellText(*response, "version") } });
  return aContext.WaitForVersion(static_cast<ConfigVersion>(response->IntegerOf("version")));
}

ExitCode CheckName(CommandContext& aContext, const std::string& aName)
{
  if (IsValidName(aName)) {
    return ExitCode::Ok;
  }
  return aContext.UsageError("\"" + aName + "\" must be 1 to 64 letters, digits, '-', '_' or '.'");
}

ExitCode PostDomainAction(CommandContext& aContext, const char* aAction)
{
  std::string name = aContext.Argument(0);
  ExitCode code = CheckName(aContext, name);
  if (code != ExitCode::Ok) {
    return code;
  }
  return SendAdminWrite(
    aContext, "POST", "/v1/admin/failure-domains/" + EncodeSegment(name) + "/" + aAction);
}

std::string TimeCell(const std::optional<WallTime>& aTime)
{
  return aTime ? FormatTime(*aTime) : "-";
}

/// Prints aItems as a JSON object with the member aMember, or aTable.
void PrintRows(CommandContext& aContext,
               const char* aMember,
               JsonValue aItems,
               const TextTable& aTable)
{
  JsonValue value = JsonValue::Object();
  value.Set(aMember, std::move(aItems));
  aContext.Print(value, aTable);
}

} // namespace

ExitCode RunKeysIssue(CommandContext& aContext)
{
  std::string team = aContext.Argument(0);
  ExitCode code = CheckName(aContext, team);
  if (code != ExitCode::Ok) {
    return code;
  }
  JsonValue body = JsonValue::Object();
  body.Set("team", team);
  if (aContext.HasOption("expires-in")) {
    std::int64_t lifetime = ParseLifetime(aContext.Option("expires-in"));
    if (lifetime == 0) {
      return aContext.UsageError(
        "--expires-in must be a number and a unit, such as 90d, 12h, 30m or 45s");
    }
    body.Set("expires_s", lifetime);
  }
  // Not repeatable after a lost response: the server returns a new key only once.
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/admin/keys";
  request.body = ToJsonText(body);
  request.headers.emplace_back("Daisydrift-Actor", aContext.Actor());
  std::optional<JsonValue> response = aContext.ReadJsonResponse(aContext.Send(request), code);
  if (!response) {
    if (code == ExitCode::OutcomeUnknown) {
      aContext.Fail(code,
                    "a key may have been issued and lost; find it with \"keys list\" and "
                    "revoke it, then issue another one");
    }
    return code;
  }
  aContext.Print(*response,
                 { { "id", "key" }, { CellText(*response, "id"), CellText(*response, "key") } });
  return ExitCode::Ok;
}

ExitCode RunKeysList(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<ConfigDocument> document = aContext.FetchConfig(code);
  if (!document) {
    return code;
  }
  TextTable table{ { "prefix", "team", "expires", "revoked", "id" } };
  JsonValue items = JsonValue::Array();
  for (const auto& [id, key] : document->keys) {
    table.push_back({ key.prefix, key.team, TimeCell(key.expiry), TimeCell(key.revokedAt), id });
    items.items.push_back(EncodeKey(key, KeyDigests::Omitted));
  }
  std::sort(table.begin() + 1, table.end(), [](const auto& aLeft, const auto& aRight) {
    return std::tie(aLeft[1], aLeft[0]) < std::tie(aRight[1], aRight[0]);
  });
  PrintRows(aContext, "keys", std::move(items), table);
  return ExitCode::Ok;
}

ExitCode RunKeysRevoke(CommandContext& aContext)
{
  std::string prefix = aContext.Argument(0);
  if (prefix.size() > kKeyPrefixLength && prefix.rfind("dd_", 0) == 0) {
    return aContext.UsageError("give only the first 8 characters of the key; the rest is secret");
  }
  ExitCode code = CheckName(aContext, prefix);
  if (code != ExitCode::Ok) {
    return code;
  }
  return SendAdminWrite(aContext, "DELETE", "/v1/admin/keys/" + EncodeSegment(prefix));
}

ExitCode RunDomainsPut(CommandContext& aContext)
{
  PutFailureDomain edit{ aContext.Argument(0), aContext.Option("region") };
  for (const std::string& name : { edit.name, edit.region }) {
    ExitCode code = CheckName(aContext, name);
    if (code != ExitCode::Ok) {
      return code;
    }
  }
  ExitCode code = ExitCode::Ok;
  std::optional<ConfigDocument> document = aContext.FetchConfig(code);
  return document ? aContext.SendEdits(document->version, { edit }) : code;
}

ExitCode RunDomainsDrain(CommandContext& aContext)
{
  return PostDomainAction(aContext, "drain");
}

ExitCode RunDomainsReturn(CommandContext& aContext)
{
  return PostDomainAction(aContext, "return");
}

ExitCode RunDomainsList(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<ConfigDocument> document = aContext.FetchConfig(code);
  if (!document) {
    return code;
  }
  TextTable table{ { "failure domain", "region", "drained" } };
  JsonValue items = JsonValue::Array();
  for (const auto& [name, domain] : document->failureDomains) {
    table.push_back({ name, domain.region, domain.isDrained ? "yes" : "no" });
    items.items.push_back(EncodeFailureDomain(domain));
  }
  PrintRows(aContext, "failure_domains", std::move(items), table);
  return ExitCode::Ok;
}

ExitCode RunServicesPut(CommandContext& aContext)
{
  if (!aContext.HasOption("slots") || !aContext.HasOption("connections")) {
    return aContext.UsageError("--slots and --connections are required");
  }
  std::int64_t slots = 1;
  std::int64_t connections = 1;
  if (!aContext.ReadIntegerOption("slots", 1, kMaxUpstreamCapacity, slots) ||
      !aContext.ReadIntegerOption("connections", 1, kMaxUpstreamCapacity, connections)) {
    return ExitCode::BadInput;
  }
  ServiceEntry service;
  service.name = aContext.Argument(0);
  service.slotsPerUpstream = static_cast<std::uint32_t>(slots);
  service.connectionsPerUpstream = static_cast<std::uint32_t>(connections);
  service.isOpenToAllTeams = aContext.HasOption("all-teams");
  service.teams = aContext.OptionValues("team");
  std::sort(service.teams.begin(), service.teams.end());
  service.teams.erase(std::unique(service.teams.begin(), service.teams.end()), service.teams.end());
  Findings findings;
  ValidateService(service, { "service" }, findings);
  if (!findings.Empty()) {
    return aContext.ReportFindings(findings);
  }
  ExitCode code = ExitCode::Ok;
  std::optional<ConfigDocument> document = aContext.FetchConfig(code);
  return document ? aContext.SendEdits(document->version, { PutService{ service } }) : code;
}

ExitCode RunServicesList(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<ConfigDocument> document = aContext.FetchConfig(code);
  if (!document) {
    return code;
  }
  TextTable table{ { "service", "slots", "connections", "teams" } };
  JsonValue items = JsonValue::Array();
  for (const auto& [name, service] : document->services) {
    std::string teams = service.isOpenToAllTeams ? "all" : "";
    for (const TeamName& team :
         service.isOpenToAllTeams ? std::vector<TeamName>() : service.teams) {
      teams += (teams.empty() ? "" : ", ") + team;
    }
    table.push_back({ name,
                      std::to_string(service.slotsPerUpstream),
                      std::to_string(service.connectionsPerUpstream),
                      teams });
    items.items.push_back(EncodeService(service));
  }
  PrintRows(aContext, "services", std::move(items), table);
  return ExitCode::Ok;
}

} // namespace daisydrift
