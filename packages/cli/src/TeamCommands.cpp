// Commands on the table of teams.

#include "Commands.h"

namespace daisydrift {

namespace {

using Teams = std::map<TeamName, TeamEntry>;

std::optional<Teams> ReadTeams(CommandContext& aContext, const std::string& aFile)
{
  std::optional<std::string> text = aContext.ReadFile(aFile);
  if (!text) {
    return std::nullopt;
  }
  Findings findings;
  std::optional<Teams> teams = ParseTeams(*text, CommandContext::SourceName(aFile), findings);
  if (!teams) {
    aContext.ReportFindings(findings);
  }
  return teams;
}

std::string DescribeTeam(const std::optional<TeamEntry>& aTeam)
{
  if (!aTeam) {
    return "-";
  }
  return "weight " + std::to_string(aTeam->weight) + ", " +
         std::to_string(aTeam->ceiling.milliCores) + " milli cores, " +
         std::to_string(aTeam->ceiling.memoryMiB) + " MiB, " +
         std::to_string(aTeam->ceiling.accelerators) + " accelerators, " +
         std::to_string(aTeam->maxRunningTasks) + " tasks" +
         (aTeam->hasOpenQueue ? ", open queue" : "");
}

void PrintDifferences(CommandContext& aContext, const std::vector<TeamDifference>& aDifferences)
{
  TextTable table{ { "change", "team", "before", "after" } };
  JsonValue items = JsonValue::Array();
  for (const TeamDifference& difference : aDifferences) {
    const char* change = !difference.before ? "add" : difference.after ? "change" : "remove";
    table.push_back(
      { change, difference.name, DescribeTeam(difference.before), DescribeTeam(difference.after) });
    JsonValue item = JsonValue::Object();
    item.Set("change", change).Set("team", difference.name);
    item.Set("before", difference.before ? EncodeTeam(*difference.before) : JsonValue());
    item.Set("after", difference.after ? EncodeTeam(*difference.after) : JsonValue());
    items.items.push_back(std::move(item));
  }
  JsonValue value = JsonValue::Object();
  value.Set("differences", std::move(items));
  if (aDifferences.empty() && !aContext.IsJsonOutput()) {
    aContext.PrintLine("no differences");
    return;
  }
  aContext.Print(value, table);
}

/// Result of comparing a table with the fleet or with another table.
struct Comparison
{
  std::vector<TeamDifference> differences;
  /// Version of the fleet's configuration; 0 when compared with a table.
  ConfigVersion version = 0;
};

std::optional<Comparison> CompareTeams(CommandContext& aContext, ExitCode& aCode)
{
  aCode = ExitCode::BadInput;
  std::string file = aContext.Argument(0);
  if (file == "-" && aContext.Option("against") == "-") {
    aContext.UsageError("FILE and --against can't both be standard input");
    return std::nullopt;
  }
  std::optional<Teams> desired = ReadTeams(aContext, file);
  if (!desired) {
    return std::nullopt;
  }
  if (aContext.HasOption("against")) {
    std::optional<Teams> current = ReadTeams(aContext, aContext.Option("against"));
    if (!current) {
      return std::nullopt;
    }
    return Comparison{ DiffTeams(*current, *desired), 0 };
  }
  std::optional<ConfigDocument> document = aContext.FetchConfig(aCode);
  if (!document) {
    return std::nullopt;
  }
  return Comparison{ DiffTeams(document->teams, *desired), document->version };
}

} // namespace

ExitCode RunTeamsExport(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<ConfigDocument> document = aContext.FetchConfig(code);
  if (!document) {
    return code;
  }
  if (!aContext.IsJsonOutput()) {
    aContext.PrintRaw(ExportTeams(*document));
    return ExitCode::Ok;
  }
  JsonValue teams = JsonValue::Array();
  for (const auto& [name, team] : document->teams) {
    teams.items.push_back(EncodeTeam(team));
  }
  JsonValue value = JsonValue::Object();
  value.Set("teams", std::move(teams));
  aContext.PrintJson(value);
  return ExitCode::Ok;
}

ExitCode RunTeamsDiff(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<Comparison> comparison = CompareTeams(aContext, code);
  if (!comparison) {
    return code;
  }
  PrintDifferences(aContext, comparison->differences);
  return comparison->differences.empty() ? ExitCode::Ok : ExitCode::Differences;
}

ExitCode RunTeamsApply(CommandContext& aContext)
{
  bool isDryRun = aContext.HasOption("dry-run");
  if (aContext.HasOption("against") && !isDryRun) {
    return aContext.UsageError("--against requires --dry-run");
  }
  ExitCode code = ExitCode::Ok;
  std::optional<Comparison> comparison = CompareTeams(aContext, code);
  if (!comparison) {
    return code;
  }
  const auto& differences = comparison->differences;
  if (isDryRun) {
    PrintDifferences(aContext, differences);
    return differences.empty() ? ExitCode::Ok : ExitCode::Differences;
  }
  if (differences.empty()) {
    PrintDifferences(aContext, differences);
    return aContext.WaitForVersion(comparison->version);
  }
  // Without this check a truncated table would remove teams and revoke their keys.
  std::string removed;
  for (const TeamDifference& difference : differences) {
    if (!difference.after) {
      removed += (removed.empty() ? "" : ", ") + difference.name;
    }
  }
  if (!removed.empty() && !aContext.HasOption("remove")) {
    return aContext.Fail(ExitCode::Failed,
                         "the table lacks " + removed +
                           "; give --remove to remove these teams and revoke their keys");
  }
  return aContext.SendEdits(comparison->version, MakeEdits(differences));
}

} // namespace daisydrift
