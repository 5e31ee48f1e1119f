#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "ConfigFixture.h"

namespace daisydrift {
namespace {

const std::string kHeader =
  "team,weight,milli_cores,memory_mib,accelerators,max_running_tasks,open_queue\n";

std::string FindingsText(const std::string& aText)
{
  Findings findings;
  bool isAccepted = ParseTeams(aText, "f", findings).has_value();
  EXPECT_EQ(isAccepted, findings.Empty());
  return findings.ToText();
}

// Guards against a malformed table that is accepted, or reported at the wrong line or column.
TEST(TeamTable, ReportsMalformedTablesWithPosition)
{
  struct Case
  {
    std::string text;
    std::string findings;
  };
  const std::vector<Case> kCases = {
    { "", "f:1:1: missing_column: the table has no header\n" },
    { "team,weight,weight,colour,milli_cores,memory_mib,accelerators,max_running_tasks\n",
      "f:1:13: duplicate_column: column weight is given twice\n"
      "f:1:20: unknown_column: \"colour\" is not a column\n"
      "f:1:1: missing_column: column open_queue is missing\n" },
    { kHeader + "a,1,2,3,4,5,no\nb,0,x,-1,1.5,,maybe\na,1,2,3,4,5,no\n",
      "f:3:3: bad_value: weight must be an integer from 1 to 1000000\n"
      "f:3:5: bad_value: milli_cores must be an integer from 0 to 1000000000000\n"
      "f:3:7: bad_value: memory_mib must be an integer from 0 to 1000000000000\n"
      "f:3:10: bad_value: accelerators must be an integer from 0 to 1000000000000\n"
      "f:3:14: bad_value: max_running_tasks must be an integer from 0 to 4294967295\n"
      "f:3:15: bad_value: open_queue must be yes or no\n"
      "f:4:1: duplicate_team: team a is given more than once\n" },
    { kHeader + "a,1,2\n\n\"b\"\"c\",1,2,3,4,5,yes\n",
      "f:2:1: field_count: 7 fields are expected, but there are 3\n"
      "f:4:1: bad_name: name of a team must be 1 to 64 letters, digits, '-', '_' or '.', starting "
      "with a letter or digit\n" },
    { kHeader + "a\"b,1,2,3,4,5,no\n\"c,1,2,3,4,5,no\n",
      "f:2:2: syntax: quotes must enclose the whole field\n"
      "f:3:1: syntax: the quoted field is not closed\n"
      "f:2:1: bad_name: name of a team must be 1 to 64 letters, digits, '-', '_' or '.', starting "
      "with a letter or digit\n"
      "f:3:1: field_count: 7 fields are expected, but there are 1\n" },
  };
  for (const Case& one : kCases) {
    EXPECT_EQ(FindingsText(one.text), one.findings) << one.text;
  }
}

// Guards against tables saved by a spreadsheet program (byte order mark, CRLF, quotes, other order
// of columns) that are refused or misread.
TEST(TeamTable, ReadsTablesOfSpreadsheetPrograms)
{
  Findings findings;
  auto teams = ParseTeams("\xef\xbb\xbfopen_queue,team,weight,milli_cores,memory_mib,accelerators,"
                          "max_running_tasks\r\nyes,\"a\",2,3,4,5,6\r\n\r\n",
                          "f",
                          findings);
  ASSERT_TRUE(teams) << findings.ToText();
  TeamEntry expected{ "a", 2, { 3, 4, 5 }, 6, true };
  EXPECT_EQ(teams->at("a"), expected);
}

// Guards against an export that differs from the document, and against edits for the differences
// that do not result in the new table.
RC_GTEST_PROP(TeamTable, ExportAndApplyAgree, ())
{
  auto genTeams = rc::gen::container<std::map<TeamName, TeamEntry>>(
    rc::gen::map(rc::gen::inRange(0, 20), [](int aTeam) { return "t" + std::to_string(aTeam); }),
    rc::gen::build<TeamEntry>(
      rc::gen::set(&TeamEntry::weight, rc::gen::inRange(1U, kMaxTeamWeight + 1)),
      rc::gen::set(&TeamEntry::maxRunningTasks),
      rc::gen::set(&TeamEntry::hasOpenQueue)));
  auto named = [](std::map<TeamName, TeamEntry> aTeams) {
    for (auto& [name, team] : aTeams) {
      team.name = name;
      team.ceiling = { team.weight * 1000, 7, 0 };
    }
    return aTeams;
  };
  auto oldTeams = named(*genTeams);
  auto newTeams = named(*genTeams);
  ConfigDocument document;
  document.teams = oldTeams;
  Findings findings;
  auto exported = ParseTeams(ExportTeams(document), "f", findings);
  RC_ASSERT(exported.has_value());
  RC_ASSERT(*exported == oldTeams);
  RC_ASSERT(DiffTeams(oldTeams, *exported).empty());

  std::vector<Edit> edits = MakeEdits(DiffTeams(oldTeams, newTeams));
  if (!edits.empty()) {
    RC_ASSERT(!ApplyEdits(document, MakeRequest("apply", {}, edits), At(1)).error);
  }
  RC_ASSERT(document.teams == newTeams);
  RC_ASSERT(DiffTeams(document.teams, newTeams).empty());
}

} // namespace
} // namespace daisydrift
