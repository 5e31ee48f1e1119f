#include "daisydrift/config/TeamTable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace daisydrift {

namespace {

/// Columns, in the order of the export.
constexpr std::array<const char*, 7> kColumns = { "team",       "weight",       "milli_cores",
                                                  "memory_mib", "accelerators", "max_running_tasks",
                                                  "open_queue" };

/// A field with the position of its first character.
struct Field
{
  std::string text;
  unsigned line = 0;
  unsigned column = 0;
};

using Record = std::vector<Field>;

/// Splits a CSV text (RFC 4180) into records of fields.
class CsvReader
{
public:
  CsvReader(const std::string& aText, const std::string& aSource, Findings& aFindings)
    : text(aText)
    , source(aSource)
    , findings(aFindings)
  {
    // Spreadsheet programs write a byte order mark at the start of UTF-8 files.
    if (this->text.compare(0, 3, "\xef\xbb\xbf") == 0) {
      this->position = 3;
    }
  }

  std::vector<Record> ReadAll()
  {
    std::vector<Record> records;
    while (this->position < this->text.size()) {
      Record record = this->ReadRecord();
      if (record.size() > 1 || !record.front().text.empty()) {
        records.push_back(std::move(record));
      }
    }
    return records;
  }

private:
  char Peek() const
  {
    return this->position < this->text.size() ? this->text[this->position] : '\n';
  }

  void Advance()
  {
    if (this->position >= this->text.size()) {
      return;
    }
    bool isNewLine = this->text[this->position] == '\n';
    ++this->position;
    if (isNewLine) {
      ++this->line;
      this->column = 1;
      return;
    }
    bool isContinuation = this->position < this->text.size() &&
                          (static_cast<unsigned char>(this->text[this->position]) & 0xc0U) == 0x80U;
    this->column += isContinuation ? 0 : 1;
  }

  bool AtLineEnd() const
  {
    bool isReturn = this->Peek() == '\r' && (this->position + 1 >= this->text.size() ||
                                             this->text[this->position + 1] == '\n');
    return this->Peek() == '\n' || isReturn;
  }

  Record ReadRecord()
  {
    Record record;
    record.push_back(this->ReadField());
    while (this->Peek() == ',') {
      this->Advance();
      record.push_back(this->ReadField());
    }
    if (this->Peek() == '\r') {
      this->Advance();
    }
    this->Advance();
    return record;
  }

  Field ReadField()
  {
    Field field{ "", this->line, this->column };
    if (this->Peek() == '"') {
      this->ReadQuoted(field);
    }
    while (!this->AtLineEnd() && this->Peek() != ',') {
      if (this->Peek() == '"') {
        this->findings.Add({ this->source, this->line, this->column },
                           "syntax",
                           "quotes must enclose the whole field");
      }
      field.text += this->Peek();
      this->Advance();
    }
    return field;
  }

  void ReadQuoted(Field& aField)
  {
    this->Advance();
    while (this->position < this->text.size()) {
      char next = this->Peek();
      this->Advance();
      if (next != '"') {
        aField.text += next;
        continue;
      }
      if (this->position >= this->text.size() || this->Peek() != '"') {
        return;
      }
      aField.text += '"';
      this->Advance();
    }
    this->findings.Add(
      { this->source, aField.line, aField.column }, "syntax", "the quoted field is not closed");
  }

  const std::string& text;
  const std::string& source;
  Findings& findings;
  std::size_t position = 0;
  unsigned line = 1;
  unsigned column = 1;
};

/// Converts records to teams.
class TableReader
{
public:
  TableReader(const std::string& aSource, Findings& aFindings)
    : source(aSource)
    , findings(aFindings)
  {
  }

  bool ReadHeader(const Record& aHeader)
  {
    std::size_t before = this->findings.Items().size();
    for (const Field& field : aHeader) {
      auto known = std::find(kColumns.begin(), kColumns.end(), field.text);
      if (known == kColumns.end()) {
        this->Report(field, "unknown_column", "\"" + field.text + "\" is not a column");
        continue;
      }
      auto& position = this->positions.at(static_cast<std::size_t>(known - kColumns.begin()));
      if (position != kAbsent) {
        this->Report(field, "duplicate_column", "column " + field.text + " is given twice");
      }
      position = static_cast<std::size_t>(&field - aHeader.data());
    }
    for (std::size_t i = 0; i < kColumns.size(); ++i) {
      if (this->positions.at(i) == kAbsent) {
        this->Report(aHeader.front(),
                     "missing_column",
                     std::string("column ") + kColumns.at(i) + " is missing");
      }
    }
    this->fieldCount = aHeader.size();
    return this->findings.Items().size() == before;
  }

  void ReadRow(const Record& aRecord, std::map<TeamName, TeamEntry>& aOut)
  {
    if (aRecord.size() != this->fieldCount) {
      this->Report(aRecord.front(),
                   "field_count",
                   std::to_string(this->fieldCount) + " fields are expected, but there are " +
                     std::to_string(aRecord.size()));
      return;
    }
    constexpr std::int64_t kMaxTasks = std::numeric_limits<std::uint32_t>::max();
    TeamEntry team;
    const Field& name = this->At(aRecord, 0);
    team.name = name.text;
    team.weight = static_cast<std::uint32_t>(this->ReadNumber(aRecord, 1, 1, kMaxTeamWeight));
    team.ceiling.milliCores = this->ReadNumber(aRecord, 2, 0, kMaxCeiling);
    team.ceiling.memoryMiB = this->ReadNumber(aRecord, 3, 0, kMaxCeiling);
    team.ceiling.accelerators = this->ReadNumber(aRecord, 4, 0, kMaxCeiling);
    team.maxRunningTasks = static_cast<std::uint32_t>(this->ReadNumber(aRecord, 5, 0, kMaxTasks));
    team.hasOpenQueue = this->ReadFlag(this->At(aRecord, 6));
    ValidateTeam(team, { this->source, name.line, name.column }, this->findings);
    if (!aOut.emplace(team.name, team).second) {
      this->Report(name, "duplicate_team", "team " + team.name + " is given more than once");
    }
  }

private:
  static constexpr std::size_t kAbsent = std::numeric_limits<std::size_t>::max();

  const Field& At(const Record& aRecord, std::size_t aColumn) const
  {
    return aRecord.at(this->positions.at(aColumn));
  }

  void Report(const Field& aField, const char* aCode, const std::string& aMessage)
  {
    this->findings.Add({ this->source, aField.line, aField.column }, aCode, aMessage);
  }

  /// Returns the value of a field; reports a finding and returns aMinimum when it is not valid.
  std::int64_t ReadNumber(const Record& aRecord,
                          std::size_t aColumn,
                          std::int64_t aMinimum,
                          std::int64_t aMaximum)
  {
    const Field& field = this->At(aRecord, aColumn);
    std::int64_t value = 0;
    const char* last = field.text.data() + field.text.size();
    auto [end, error] = std::from_chars(field.text.data(), last, value);
    if (error == std::errc() && end == last && value >= aMinimum && value <= aMaximum) {
      return value;
    }
    this->Report(field,
                 "bad_value",
                 std::string(kColumns.at(aColumn)) + " must be an integer from " +
                   std::to_string(aMinimum) + " to " + std::to_string(aMaximum));
    return aMinimum;
  }

  bool ReadFlag(const Field& aField)
  {
    if (aField.text != "yes" && aField.text != "no") {
      this->Report(aField, "bad_value", "open_queue must be yes or no");
    }
    return aField.text == "yes";
  }

  const std::string& source;
  Findings& findings;
  /// Index of the field for each column of kColumns.
  std::array<std::size_t, kColumns.size()> positions = { kAbsent, kAbsent, kAbsent, kAbsent,
                                                         kAbsent, kAbsent, kAbsent };
  std::size_t fieldCount = 0;
};

} // namespace

std::string ExportTeams(const ConfigDocument& aDocument)
{
  // Names of teams contain no characters that need quotes.
  std::string text;
  for (const char* column : kColumns) {
    text += (text.empty() ? "" : ",") + std::string(column);
  }
  text += "\n";
  for (const auto& [name, team] : aDocument.teams) {
    text += name + "," + std::to_string(team.weight) + "," +
            std::to_string(team.ceiling.milliCores) + "," + std::to_string(team.ceiling.memoryMiB) +
            "," + std::to_string(team.ceiling.accelerators) + "," +
            std::to_string(team.maxRunningTasks) + "," + (team.hasOpenQueue ? "yes" : "no") + "\n";
  }
  return text;
}

std::optional<std::map<TeamName, TeamEntry>> ParseTeams(const std::string& aText,
                                                        const std::string& aSource,
                                                        Findings& aFindings)
{
  Findings own;
  std::map<TeamName, TeamEntry> teams;
  std::vector<Record> records = CsvReader(aText, aSource, own).ReadAll();
  TableReader reader(aSource, own);
  if (records.empty()) {
    own.Add({ aSource, 1, 1 }, "missing_column", "the table has no header");
  } else if (reader.ReadHeader(records.front())) {
    for (std::size_t i = 1; i < records.size(); ++i) {
      reader.ReadRow(records[i], teams);
    }
  }
  aFindings.Append(own);
  if (!own.Empty()) {
    return std::nullopt;
  }
  return teams;
}

std::vector<TeamDifference> DiffTeams(const std::map<TeamName, TeamEntry>& aOld,
                                      const std::map<TeamName, TeamEntry>& aNew)
{
  std::map<TeamName, TeamDifference> differences;
  for (const auto& [name, team] : aOld) {
    auto found = aNew.find(name);
    if (found == aNew.end()) {
      differences[name] = { name, team, std::nullopt };
    } else if (!(found->second == team)) {
      differences[name] = { name, team, found->second };
    }
  }
  for (const auto& [name, team] : aNew) {
    if (aOld.count(name) == 0) {
      differences[name] = { name, std::nullopt, team };
    }
  }
  std::vector<TeamDifference> list;
  for (auto& [name, difference] : differences) {
    list.push_back(std::move(difference));
  }
  return list;
}

std::vector<Edit> MakeEdits(const std::vector<TeamDifference>& aDifferences)
{
  std::vector<Edit> edits;
  for (const TeamDifference& difference : aDifferences) {
    if (difference.after) {
      edits.emplace_back(PutTeam{ *difference.after });
    } else {
      edits.emplace_back(RemoveTeam{ difference.name });
    }
  }
  return edits;
}

} // namespace daisydrift
