#pragma once
// CSV table of teams: export, import and comparison.

#include "daisydrift/config/ConfigDocument.h"
#include "daisydrift/config/Edits.h"

#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// CSV with the header
/// `team,weight,milli_cores,memory_mib,accelerators,max_running_tasks,open_queue` and one line for
/// each team, sorted by name.
std::string ExportTeams(const ConfigDocument& aDocument);

/// Parses the table: RFC 4180, columns in any order, empty lines skipped. Findings have the line
/// and the column of the field's first character; returns nothing when there is a finding. Codes:
/// "unknown_column", "missing_column", "duplicate_column", "field_count", "bad_value",
/// "duplicate_team", "syntax" and those of ValidateTeam.
std::optional<std::map<TeamName, TeamEntry>> ParseTeams(const std::string& aText,
                                                        const std::string& aSource,
                                                        Findings& aFindings);

/// A team that differs between two tables.
struct TeamDifference
{
  TeamName name;
  /// None when the team is added.
  std::optional<TeamEntry> before;
  /// None when the team is removed.
  std::optional<TeamEntry> after;
};

/// Differences between aOld and aNew, sorted by name.
std::vector<TeamDifference> DiffTeams(const std::map<TeamName, TeamEntry>& aOld,
                                      const std::map<TeamName, TeamEntry>& aNew);

/// The edits that apply the differences.
std::vector<Edit> MakeEdits(const std::vector<TeamDifference>& aDifferences);

} // namespace daisydrift
