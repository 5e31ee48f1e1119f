// Commands that show the state of the fleet, and commands that need no server.

#include "Commands.h"

namespace daisydrift {

namespace {

/// Table with one row per item and one column per member.
TextTable MakeTable(const std::vector<JsonValue>& aItems, const std::vector<const char*>& aMembers)
{
  TextTable table(1);
  for (const char* member : aMembers) {
    table[0].emplace_back(member);
  }
  for (const JsonValue& item : aItems) {
    std::vector<std::string> row;
    for (const char* member : aMembers) {
      row.push_back(CellText(item, member));
    }
    table.push_back(std::move(row));
  }
  return table;
}

/// Members to show as columns: all of aAlways, and those of aOptional that at least one item has.
std::vector<const char*> PresentMembers(const std::vector<JsonValue>& aItems,
                                        std::vector<const char*> aAlways,
                                        const std::vector<const char*>& aOptional)
{
  for (const char* member : aOptional) {
    for (const JsonValue& item : aItems) {
      if (item.Find(member) != nullptr) {
        aAlways.push_back(member);
        break;
      }
    }
  }
  return aAlways;
}

std::optional<std::vector<AuditEntry>> FetchAudit(CommandContext& aContext,
                                                  JsonValue& aResponse,
                                                  ExitCode& aCode)
{
  std::optional<JsonValue> response = aContext.FetchJson("/v1/admin/audit", aCode);
  if (!response) {
    return std::nullopt;
  }
  Findings findings;
  std::vector<AuditEntry> entries;
  for (const JsonValue& item : response->ItemsOf("entries")) {
    entries.push_back(ParseAuditEntry(item, "audit", findings));
  }
  if (!findings.Empty()) {
    aContext.ReportFindings(findings);
    aCode = aContext.Fail(ExitCode::Failed, "the audit entries sent by the server are invalid");
    return std::nullopt;
  }
  aResponse = std::move(*response);
  return entries;
}

} // namespace

ExitCode RunStatusFleet(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> status = aContext.FetchJson("/v1/admin/status", code);
  if (!status) {
    return code;
  }
  if (aContext.IsJsonOutput()) {
    aContext.PrintJson(*status);
    return ExitCode::Ok;
  }
  const auto& instances = status->ItemsOf("instances");
  aContext.PrintTable(MakeTable(instances,
                                PresentMembers(instances,
                                               { "id",
                                                 "seat",
                                                 "region",
                                                 "failure_domain",
                                                 "config_version",
                                                 "is_leader",
                                                 "store_reachable" },
                                               { "answers" })));
  aContext.PrintLine("\nleader: " + PrintableText(CellText(*status, "leader")) + "\n");
  const auto& teams = status->ItemsOf("teams");
  aContext.PrintTable(
    MakeTable(teams,
              PresentMembers(
                teams,
                { "team" },
                { "weight", "tasks_running", "tasks_waiting", "dominant_share", "fair_share" })));
  return ExitCode::Ok;
}

ExitCode RunQueue(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> queue = aContext.FetchJson("/v1/admin/queue", code);
  if (!queue) {
    return code;
  }
  aContext.Print(
    *queue, MakeTable(queue->ItemsOf("waiting"), { "job", "team", "class", "code", "message" }));
  return ExitCode::Ok;
}

ExitCode RunAudit(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  JsonValue response;
  std::optional<std::vector<AuditEntry>> entries = FetchAudit(aContext, response, code);
  if (!entries) {
    return code;
  }
  TextTable table{ { "version", "when", "actor", "result", "rows" } };
  for (const AuditEntry& entry : *entries) {
    std::string rows;
    for (const AuditChange& change : entry.changes) {
      rows += (rows.empty() ? "" : " ") + change.row;
    }
    table.push_back(
      { std::to_string(entry.version), FormatTime(entry.when), entry.actor, entry.result, rows });
  }
  aContext.Print(response, table);
  return ExitCode::Ok;
}

ExitCode RunAuditVerify(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  JsonValue response;
  std::optional<std::vector<AuditEntry>> entries = FetchAudit(aContext, response, code);
  if (!entries) {
    return code;
  }
  Findings findings;
  VerifyAuditEntries(*entries, "audit", findings);
  const JsonValue* anchor = response.Find("anchor");
  if (anchor != nullptr && !entries->empty() && entries->front().previousDigest != anchor->text) {
    findings.Add({ "audit" }, "audit_chain", "the oldest entry does not continue the last chunk");
  }
  if (!findings.Empty()) {
    aContext.ReportFindings(findings);
    return aContext.Fail(ExitCode::Failed, "the audit chain is broken");
  }
  JsonValue result = JsonValue::Object();
  result.Set("verified", static_cast<std::int64_t>(entries->size()));
  aContext.Print(result, { { "verified entries" }, { std::to_string(entries->size()) } });
  return ExitCode::Ok;
}

ExitCode RunCheckSettings(CommandContext& aContext)
{
  std::string file = aContext.Argument(0);
  std::optional<std::string> text = aContext.ReadFile(file);
  if (!text) {
    return ExitCode::BadInput;
  }
  Findings findings;
  LoadDaemonSettings(*text, CommandContext::SourceName(file), findings);
  if (!findings.Empty()) {
    return aContext.ReportFindings(findings);
  }
  aContext.PrintLine("the settings are valid");
  return ExitCode::Ok;
}

ExitCode RunCompletion(CommandContext& aContext)
{
  aContext.PrintRaw(CompletionScript());
  return ExitCode::Ok;
}

ExitCode RunVersion(CommandContext& aContext)
{
  aContext.PrintLine("daisydrift " DAISYDRIFT_VERSION);
  return ExitCode::Ok;
}

ExitCode RunHelp(CommandContext& aContext)
{
  std::string name = aContext.Argument(0);
  if (name.empty()) {
    aContext.PrintRaw(HelpText(nullptr));
    return ExitCode::Ok;
  }
  if (!aContext.Argument(1).empty()) {
    name += " " + aContext.Argument(1);
  }
  bool isFound = false;
  for (const CommandSpec& spec : CommandTable()) {
    if (spec.name == name || spec.name.rfind(name + " ", 0) == 0) {
      aContext.PrintRaw((isFound ? "\n" : "") + HelpText(&spec));
      isFound = true;
    }
  }
  return isFound ? ExitCode::Ok : aContext.UsageError("unknown command \"" + name + "\"");
}

} // namespace daisydrift
