#pragma once
// CSV table of teams.

#include "daisydrift/config/ConfigDocument.h"
#include "daisydrift/config/Edits.h"

#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// CSV with the header
/// `team,weight,milli_cores,memory_mib,accelerators,max_running_tasks,open_queue`, one team a line,
/// sorted by name.
std::string ExportTeams(const ConfigDocument& aDocument);

/// Reads the table: RFC 4180, columns in any order, empty lines skipped. Findings have the line and
/// the column of the field's first character; nothing is returned when there is one. Codes:
/// "unknown_column", "missing_column", "duplicate_column", "field_count", "bad_value",
/// "duplicate_team", "syntax" and those of ValidateTeam.
std::optional<std::map<TeamName, TeamEntry>> ParseTeams(const std::string& aText,
                                                        const std::string& aSource,
                                                        Findings& aFindings);

/// One team that differs.
struct TeamDifference
{
  TeamName name;
  /// None: the team is added.
  std::optional<TeamEntry> before;
  /// None: the team is removed.
  std::optional<TeamEntry> after;
};

/// Differences that lead from aOld to aNew, sorted by name.
std::vector<TeamDifference> DiffTeams(const std::map<TeamName, TeamEntry>& aOld,
                                      const std::map<TeamName, TeamEntry>& aNew);

/// The edits that carry out the differences.
std::vector<Edit> EditsFor(const std::vector<TeamDifference>& aDifferences);

} // namespace daisydrift
