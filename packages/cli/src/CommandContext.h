#pragma once
// What the commands share: options, calls, output. Internal to the package.

#include "ApiClient.h"

#include "daisydrift/cli.h"
#include "daisydrift/config.h"
#include "daisydrift/settings.h"

#include <memory>

namespace daisydrift {

/// Rows of text; the first one is the header.
using TextTable = std::vector<std::vector<std::string>>;

/// The command being run.
class CommandContext
{
public:
  CommandContext(const ParsedCommand& aCommand, const CommandEnvironment& aEnvironment);

  /// Reads servers, key and time limits. Returns Ok, or BadInput after saying what is wrong.
  ExitCode Connect();

  /// The positional argument of that number, or "" when an optional one is absent.
  std::string Argument(std::size_t aIndex) const;
  bool HasOption(const std::string& aName) const;
  /// The last value of an option, or "".
  std::string Option(const std::string& aName) const;
  std::vector<std::string> Options(const std::string& aName) const;
  /// Reads an option that is a whole number. Says what is wrong and returns false when malformed or
  /// out of range; aOut keeps its value when the option is absent.
  bool ReadNumber(const std::string& aName,
                  std::int64_t aMinimum,
                  std::int64_t aMaximum,
                  std::int64_t& aOut);
  /// Reads a file, or standard input for "-". Says what is wrong and returns nothing when it can't
  /// be read.
  std::optional<std::string> ReadFile(const std::string& aName);
  /// Name of a file for findings.
  static std::string SourceOf(const std::string& aName);

  /// Says that the usage is wrong.
  ExitCode Usage(const std::string& aMessage);
  /// Says that something failed.
  ExitCode Fail(ExitCode aCode, const std::string& aMessage);
  /// Prints findings.
  ExitCode Report(const Findings& aFindings);
  /// An id for a write: the option "idempotency-key", or a new one.
  std::string WriteId();
  /// Who acts, for the audit trail.
  std::string Actor() const;

  ApiAnswer Send(const ApiRequest& aRequest) const;
  /// Reads a JSON answer; says why not and sets aCode when there is none.
  std::optional<JsonValue> Fetch(const std::string& aPath, ExitCode& aCode);
  /// Reads the configuration; says why not and sets aCode when there is none.
  std::optional<ConfigDocument> FetchConfig(ExitCode& aCode);
  /// The JSON object of a successful answer; says why not and sets aCode when there is none.
  std::optional<JsonValue> ReadAnswer(const ApiAnswer& aAnswer, ExitCode& aCode);
  /// Says what became of a call that did not succeed.
  ExitCode Explain(const ApiAnswer& aAnswer);
  /// Sends edits and prints the version; waits when asked to.
  ExitCode SendEdits(ConfigVersion aBaseVersion, std::vector<Edit> aEdits);
  /// Waits, if the option "wait" is given, until every instance has the version.
  ExitCode WaitForVersion(ConfigVersion aVersion);

  bool WantsJson() const { return this->Option("output") == "json"; }
  void PrintJson(const JsonValue& aValue);
  /// Prints a table in columns. The column named "state" is coloured on a terminal.
  void PrintTable(const TextTable& aTable);
  /// Prints a table, or aValue when JSON is asked for.
  void Print(const JsonValue& aValue, const TextTable& aTable);
  /// Prints one line.
  void PrintLine(const std::string& aText);
  void PrintRaw(const std::string& aText);
  void Pause(std::chrono::milliseconds aDelay) const { this->environment.pause(aDelay); }
  std::string Variable(const std::string& aName) const { return this->environment.variable(aName); }

private:
  bool ReadServers(std::vector<Endpoint>& aOut);
  bool ReadKey(std::string& aOut);
  /// Instances that do not have the version yet; nothing when the status is not available.
  std::optional<std::vector<std::string>> LaggingInstances(ConfigVersion aVersion);

  const ParsedCommand& command;
  const CommandEnvironment& environment;
  std::unique_ptr<ApiClient> client;
};

/// Text without control characters, which a server must not send to a terminal.
std::string PrintableText(const std::string& aText);

/// Text of a member of any kind for a table.
std::string CellOf(const JsonValue& aObject, const char* aName);

/// Time as `2026-12-04T06:30:00Z`.
std::string FormatTime(WallTime aTime);

/// Percent-encodes one segment of a path.
std::string EncodeSegment(const std::string& aText);

} // namespace daisydrift
