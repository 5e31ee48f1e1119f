#pragma once
// Options, requests and output shared by all commands. Internal to the package.

#include "ApiClient.h"

#include "daisydrift/cli.h"
#include "daisydrift/config.h"
#include "daisydrift/settings.h"

#include <memory>

namespace daisydrift {

/// Rows of cells; the first row is the header.
using TextTable = std::vector<std::vector<std::string>>;

/// Context of one running command. Functions that fail print the reason on the error stream.
class CommandContext
{
public:
  CommandContext(const ParsedCommand& aCommand, const CommandEnvironment& aEnvironment);

  /// Checks the options that commands share and reads the servers, the key and the timeout. Returns
  /// Ok, or BadInput when one is invalid. Sends no request.
  ExitCode ReadCommonOptions();

  /// The positional argument at aIndex (from 0), or "" when an optional one is absent.
  std::string Argument(std::size_t aIndex) const;
  bool HasOption(const std::string& aName) const;
  /// The last value of an option, or "" when it is absent.
  std::string Option(const std::string& aName) const;
  std::vector<std::string> OptionValues(const std::string& aName) const;
  /// Reads an integer option into aOut, which keeps its value when the option is absent. Returns
  /// false when the value is malformed or out of range.
  bool ReadIntegerOption(const std::string& aName,
                         std::int64_t aMinimum,
                         std::int64_t aMaximum,
                         std::int64_t& aOut);
  /// Reads a file, or standard input for "-". Returns nothing when it can't be read.
  std::optional<std::string> ReadFile(const std::string& aName);
  /// Name of a file in findings.
  static std::string SourceName(const std::string& aName);

  /// Prints an error about the usage and returns BadInput.
  ExitCode UsageError(const std::string& aMessage);
  /// Prints an error and returns aCode.
  ExitCode Fail(ExitCode aCode, const std::string& aMessage);
  /// Prints findings and returns BadInput.
  ExitCode ReportFindings(const Findings& aFindings);
  /// Idempotency key of a write: the option "idempotency-key", or a generated id.
  std::string IdempotencyKey();
  /// Name of the operator for the audit trail: the option "actor", or $USER.
  std::string Actor() const;

  ApiResponse Send(const ApiRequest& aRequest) const;
  /// Gets a JSON object. Returns nothing and sets aCode when that fails.
  std::optional<JsonValue> FetchJson(const std::string& aPath, ExitCode& aCode);
  /// Gets the configuration. Returns nothing and sets aCode when that fails.
  std::optional<ConfigDocument> FetchConfig(ExitCode& aCode);
  /// Parses the JSON object of a successful response. Returns nothing and sets aCode when the
  /// request failed or the body is malformed.
  std::optional<JsonValue> ReadJsonResponse(const ApiResponse& aResponse, ExitCode& aCode);
  /// Prints the reason and the outcome of a request that did not succeed; returns the exit code.
  ExitCode ReportFailure(const ApiResponse& aResponse);
  /// Sends edits of the configuration and prints the new version. Waits for it if the option "wait"
  /// is given.
  ExitCode SendEdits(ConfigVersion aBaseVersion, std::vector<Edit> aEdits);
  /// If the option "wait" is given, polls until every instance has the version. Fails after
  /// "wait-timeout-ms".
  ExitCode WaitForVersion(ConfigVersion aVersion);

  bool IsJsonOutput() const { return this->Option("output") == "json"; }
  void PrintJson(const JsonValue& aValue);
  /// Prints a table in aligned columns. The column named "state" is coloured on a terminal.
  void PrintTable(const TextTable& aTable);
  /// Prints aValue when the output format is JSON, else aTable.
  void Print(const JsonValue& aValue, const TextTable& aTable);
  void PrintLine(const std::string& aText);
  void PrintRaw(const std::string& aText);
  void SleepFor(std::chrono::milliseconds aDelay) const { this->environment.sleepFor(aDelay); }
  std::string Variable(const std::string& aName) const { return this->environment.variable(aName); }

private:
  bool ReadServers(std::vector<Endpoint>& aOut);
  bool ReadKey(std::string& aOut);
  /// Ids of the instances that do not have the version yet; nothing when the status is unavailable.
  std::optional<std::vector<std::string>> LaggingInstances(ConfigVersion aVersion);

  const ParsedCommand& command;
  const CommandEnvironment& environment;
  std::unique_ptr<ApiClient> client;
};

/// Replaces control characters by '?', so that text of a server or another caller can't send
/// control sequences to the terminal.
std::string PrintableText(const std::string& aText);

/// Text of a member for a table cell: "-" when absent or null, "yes" or "no" for a Boolean, JSON
/// for numbers, arrays and objects.
std::string CellText(const JsonValue& aObject, const char* aName);

/// UTC time as `2026-12-04T06:30:00Z`.
std::string FormatTime(WallTime aTime);

/// Percent-encodes one segment of a path.
std::string EncodeSegment(const std::string& aText);

} // namespace daisydrift
