#include "CommandContext.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <fstream>
#include <istream>
#include <ostream>
#include <sstream>

namespace daisydrift {

namespace {

constexpr std::int64_t kDefaultTimeoutMs = 10'000;
constexpr std::int64_t kDefaultWaitTimeoutMs = 60'000;
constexpr std::int64_t kMaxTimeoutMs = 24 * 3600 * 1000;
constexpr std::chrono::milliseconds kStatusPollInterval{ 250 };

constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;
constexpr int kStatusUnprocessable = 422;

constexpr const char* kBold = "\033[1m";
constexpr const char* kRed = "\033[31m";
constexpr const char* kGreen = "\033[32m";
constexpr const char* kResetStyle = "\033[0m";

/// Escape sequence for the colour of a job's state; null for the default colour.
const char* StateColour(const std::string& aState)
{
  if (aState == "succeeded") {
    return kGreen;
  }
  return aState == "failed" || aState == "outcome_unknown" ? kRed : nullptr;
}

/// Number of terminal columns, taken as the number of code points: tables hold UTF-8 text of
/// callers.
std::size_t DisplayWidth(const std::string& aText)
{
  return static_cast<std::size_t>(std::count_if(aText.begin(), aText.end(), [](char aCharacter) {
    return (static_cast<unsigned char>(aCharacter) & 0xc0U) != 0x80U;
  }));
}

} // namespace

CommandContext::CommandContext(const ParsedCommand& aCommand,
                               const CommandEnvironment& aEnvironment)
  : command(aCommand)
  , environment(aEnvironment)
{
}

ExitCode CommandContext::ReadCommonOptions()
{
  std::string format = this->Option("output");
  if (this->HasOption("output") && format != "table" && format != "json") {
    return this->UsageError("--output must be table or json");
  }
  if (this->HasOption("idempotency-key") && !IsValidName(this->Option("idempotency-key"))) {
    return this->UsageError("--idempotency-key must be 1 to 64 letters, digits, '-', '_' or '.'");
  }
  // A comparison with a file needs no server.
  if (!this->command.spec->isRemote || this->HasOption("against")) {
    return ExitCode::Ok;
  }
  std::vector<Endpoint> servers;
  std::string key;
  std::int64_t timeout = kDefaultTimeoutMs;
  if (!this->ReadServers(servers) || !this->ReadKey(key) ||
      !this->ReadIntegerOption("timeout-ms", 1, kMaxTimeoutMs, timeout)) {
    return ExitCode::BadInput;
  }
  this->client = std::make_unique<ApiClient>(
    std::move(servers), std::move(key), std::chrono::milliseconds(timeout));
  return ExitCode::Ok;
}

bool CommandContext::ReadServers(std::vector<Endpoint>& aOut)
{
  std::vector<std::string> names = this->OptionValues("server");
  if (names.empty()) {
    std::istringstream list(this->Variable("DAISYDRIFT_SERVERS"));
    for (std::string name; std::getline(list, name, ',');) {
      names.push_back(name);
    }
  }
  for (const std::string& name : names) {
    Endpoint endpoint;
    if (!ParseEndpoint(name, endpoint)) {
      this->UsageError("server \"" + name + "\" must be an IPv4 address and a port as IP:PORT");
      return false;
    }
    aOut.push_back(endpoint);
  }
  if (aOut.empty()) {
    this->UsageError("--server IP:PORT is required");
  }
  return !aOut.empty();
}

bool CommandContext::ReadKey(std::string& aOut)
{
  std::string key = this->Variable("DAISYDRIFT_KEY");
  if (this->HasOption("key-file")) {
    std::optional<std::string> text = this->ReadFile(this->Option("key-file"));
    if (!text) {
      return false;
    }
    key = *text;
  }
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
    key.pop_back();
  }
  bool isPrintable = std::all_of(
    key.begin(), key.end(), [](char aCharacter) { return aCharacter > ' ' && aCharacter < 0x7f; });
  if (!isPrintable) {
    this->UsageError("the key must be one word of printable characters");
    return false;
  }
  aOut = key;
  return true;
}

std::string CommandContext::Argument(std::size_t aIndex) const
{
  return aIndex < this->command.arguments.size() ? this->command.arguments[aIndex] : "";
}

bool CommandContext::HasOption(const std::string& aName) const
{
  return this->command.options.count(aName) > 0;
}

std::string CommandContext::Option(const std::string& aName) const
{
  std::vector<std::string> values = this->OptionValues(aName);
  return values.empty() ? "" : values.back();
}

std::vector<std::string> CommandContext::OptionValues(const std::string& aName) const
{
  auto found = this->command.options.find(aName);
  return found == this->command.options.end() ? std::vector<std::string>() : found->second;
}

bool CommandContext::ReadIntegerOption(const std::string& aName,
                                       std::int64_t aMinimum,
                                       std::int64_t aMaximum,
                                       std::int64_t& aOut)
{
  if (!this->HasOption(aName)) {
    return true;
  }
  std::string text = this->Option(aName);
  std::int64_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  bool isWhole = error == std::errc() && end == text.data() + text.size();
  if (!isWhole || value < aMinimum || value > aMaximum) {
    this->UsageError("--" + aName + " must be an integer from " + std::to_string(aMinimum) +
                     " to " + std::to_string(aMaximum));
    return false;
  }
  aOut = value;
  return true;
}

std::optional<std::string> CommandContext::ReadFile(const std::string& aName)
{
  std::ostringstream text;
  if (aName == "-") {
    text << this->environment.in.rdbuf();
    return text.str();
  }
  std::ifstream file(aName, std::ios::binary);
  // An empty file sets only the fail bit of the destination; a directory sets the bad bit of the
  // file.
  text << file.rdbuf();
  if (!file.is_open() || file.bad()) {
    this->UsageError("file " + aName + " can't be read");
    return std::nullopt;
  }
  return text.str();
}

std::string CommandContext::SourceName(const std::string& aName)
{
  return aName == "-" ? "standard input" : aName;
}

ExitCode CommandContext::UsageError(const std::string& aMessage)
{
  return this->Fail(ExitCode::BadInput, aMessage);
}

ExitCode CommandContext::Fail(ExitCode aCode, const std::string& aMessage)
{
  this->environment.err << "daisydrift: " << PrintableText(aMessage) << "\n";
  return aCode;
}

ExitCode CommandContext::ReportFindings(const Findings& aFindings)
{
  this->environment.err << aFindings.ToText();
  return ExitCode::BadInput;
}

std::string CommandContext::IdempotencyKey()
{
  if (this->HasOption("idempotency-key")) {
    return this->Option("idempotency-key");
  }
  Result<std::string> id = GenerateId();
  return id ? *id : "";
}

std::string CommandContext::Actor() const
{
  std::string actor = this->Option("actor");
  if (actor.empty()) {
    actor = this->Variable("USER");
  }
  return actor.empty() ? "unknown" : PrintableText(actor);
}

ApiResponse CommandContext::Send(const ApiRequest& aRequest) const
{
  return this->client->Send(aRequest);
}

std::optional<JsonValue> CommandContext::FetchJson(const std::string& aPath, ExitCode& aCode)
{
  ApiRequest request;
  request.method = "GET";
  request.path = aPath;
  request.isReadOnly = true;
  return this->ReadJsonResponse(this->Send(request), aCode);
}

std::optional<ConfigDocument> CommandContext::FetchConfig(ExitCode& aCode)
{
  ApiRequest request;
  request.method = "GET";
  request.path = "/v1/admin/config";
  request.isReadOnly = true;
  ApiResponse response = this->Send(request);
  if (!response.IsSuccess()) {
    aCode = this->ReportFailure(response);
    return std::nullopt;
  }
  Findings findings;
  std::optional<ConfigDocument> document =
    ParseConfig(response.body, "configuration", findings, KeyDigests::Omitted);
  if (!document) {
    this->ReportFindings(findings);
    aCode = this->Fail(ExitCode::Failed, "the configuration sent by the server is invalid");
  }
  return document;
}

std::optional<JsonValue> CommandContext::ReadJsonResponse(const ApiResponse& aResponse,
                                                          ExitCode& aCode)
{
  if (!aResponse.IsSuccess()) {
    aCode = this->ReportFailure(aResponse);
    return std::nullopt;
  }
  Findings findings;
  std::optional<JsonValue> value = ReadJson(aResponse.body, "answer", findings);
  if (!value || !findings.Empty() || value->kind != JsonKind::Object) {
    this->ReportFindings(findings);
    aCode = this->Fail(ExitCode::Failed, "the response of the server is not a valid JSON object");
    return std::nullopt;
  }
  return value;
}

ExitCode CommandContext::ReportFailure(const ApiResponse& aResponse)
{
  Findings ignored;
  std::optional<JsonValue> problem;
  if (aResponse.status != 0) {
    problem = ReadJson(aResponse.body, "answer", ignored);
  }
  if (problem) {
    for (const JsonValue& conflict : problem->ItemsOf("conflicts")) {
      this->environment.err << PrintableText(conflict.TextOf("row") + ": " +
                                             conflict.TextOf("message"))
                            << "\n";
    }
    Findings findings;
    for (const JsonValue& item : problem->ItemsOf("findings")) {
      SourceLocation place{ PrintableText(item.TextOf("source")),
                            static_cast<unsigned>(item.IntegerOf("line")),
                            static_cast<unsigned>(item.IntegerOf("column")) };
      findings.Add(
        place, PrintableText(item.TextOf("code")), PrintableText(item.TextOf("message")));
    }
    this->ReportFindings(findings);
  }
  std::string detail = problem ? problem->TextOf("detail") : "";
  std::string code = problem ? problem->TextOf("code") : "";
  std::string text = aResponse.status == 0 ? "" : "status " + std::to_string(aResponse.status);
  text += code.empty() ? "" : ", " + code;
  text += detail.empty() ? "" : ": " + detail;
  if (aResponse.outcome == ApiOutcome::Unknown) {
    return this->Fail(ExitCode::OutcomeUnknown,
                      "outcome unknown: the command may or may not have been carried out" +
                        (text.empty() ? "" : " (" + text + ")"));
  }
  if (aResponse.status == 0) {
    return this->Fail(ExitCode::Unreachable, "no server could be reached; nothing was carried out");
  }
  if (aResponse.status == kStatusConflict) {
    return this->Fail(ExitCode::Conflict, text);
  }
  bool isBadInput =
    aResponse.status == kStatusBadRequest || aResponse.status == kStatusUnprocessable;
  return this->Fail(isBadInput ? ExitCode::BadInput : ExitCode::Failed, text);
}

ExitCode CommandContext::SendEdits(ConfigVersion aBaseVersion, std::vector<Edit> aEdits)
{
  EditRequest edits{ aBaseVersion, this->Actor(), this->IdempotencyKey(), std::move(aEdits) };
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/admin/config";
  request.body = EncodeEdits(edits);
  // The server applies edits with the same id only once.
  request.idempotencyKey = edits.editId;
  request.isRepeatable = true;
  ApiResponse sent = this->Send(request);
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> response = this->ReadJsonResponse(sent, code);
  if (!response) {
    if (code == ExitCode::OutcomeUnknown) {
      this->Fail(code, "repeat with --idempotency-key " + edits.editId);
    }
    return code;
  }
  auto version = static_cast<ConfigVersion>(response->IntegerOf("version"));
  this->Print(*response, { { "version" }, { std::to_string(version) } });
  return this->WaitForVersion(version);
}

ExitCode CommandContext::WaitForVersion(ConfigVersion aVersion)
{
  if (!this->HasOption("wait")) {
    return ExitCode::Ok;
  }
  std::int64_t timeoutMs = kDefaultWaitTimeoutMs;
  if (!this->ReadIntegerOption("wait-timeout-ms", 0, kMaxTimeoutMs, timeoutMs)) {
    return ExitCode::BadInput;
  }
  TimePoint deadline = this->environment.clock.Now() + std::chrono::milliseconds(timeoutMs);
  while (true) {
    std::optional<std::vector<std::string>> lagging = this->LaggingInstances(aVersion);
    if (lagging && lagging->empty()) {
      return ExitCode::Ok;
    }
    if (this->environment.clock.Now() >= deadline) {
      std::string names;
      for (const std::string& name : lagging.value_or(std::vector<std::string>())) {
        names += (names.empty() ? "" : ", ") + name;
      }
      return this->Fail(ExitCode::Failed,
                        "version " + std::to_string(aVersion) +
                          " is accepted, but was not reported in time by " +
                          (names.empty() ? "the fleet's status" : names));
    }
    this->SleepFor(kStatusPollInterval);
  }
}

std::optional<std::vector<std::string>> CommandContext::LaggingInstances(ConfigVersion aVersion)
{
  ApiRequest request;
  request.method = "GET";
  request.path = "/v1/admin/status";
  request.isReadOnly = true;
  ApiResponse response = this->Send(request);
  Findings ignored;
  std::optional<JsonValue> status = ReadJson(response.body, "answer", ignored);
  if (!response.IsSuccess() || !status || status->ItemsOf("instances").empty()) {
    return std::nullopt;
  }
  std::vector<std::string> lagging;
  for (const JsonValue& instance : status->ItemsOf("instances")) {
    if (instance.IntegerOf("config_version") < static_cast<std::int64_t>(aVersion)) {
      lagging.push_back(instance.TextOf("id"));
    }
  }
  return lagging;
}

void CommandContext::PrintJson(const JsonValue& aValue)
{
  this->environment.out << ToJsonText(aValue, 2) << "\n" << std::flush;
}

void CommandContext::PrintTable(const TextTable& aTable)
{
  std::vector<std::size_t> widths;
  for (const auto& row : aTable) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], DisplayWidth(PrintableText(row[i])));
    }
  }
  bool hasColour = this->environment.isTerminal && this->Variable("NO_COLOR").empty();
  for (std::size_t line = 0; line < aTable.size(); ++line) {
    std::string text;
    for (std::size_t i = 0; i < aTable[line].size(); ++i) {
      std::string cell = PrintableText(aTable[line][i]);
      std::size_t gap = i + 1 < aTable[line].size() ? widths[i] - DisplayWidth(cell) + 2 : 0;
      bool isState = line > 0 && aTable[0][i] == "state";
      const char* colour = line == 0 ? kBold : (isState ? StateColour(cell) : nullptr);
      bool isColoured = hasColour && colour != nullptr;
      text += (isColoured ? colour + cell + kResetStyle : cell) + std::string(gap, ' ');
    }
    this->environment.out << text << "\n";
  }
  // The command watch keeps running after it printed a table; a reader of its pipe must see the
  // table at once.
  this->environment.out << std::flush;
}

void CommandContext::Print(const JsonValue& aValue, const TextTable& aTable)
{
  if (this->IsJsonOutput()) {
    this->PrintJson(aValue);
  } else {
    this->PrintTable(aTable);
  }
}

void CommandContext::PrintLine(const std::string& aText)
{
  this->environment.out << aText << "\n";
}

void CommandContext::PrintRaw(const std::string& aText)
{
  this->environment.out << aText;
}

std::string PrintableText(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    auto byte = static_cast<unsigned char>(aText[i]);
    auto next = static_cast<unsigned char>(i + 1 < aText.size() ? aText[i + 1] : 0);
    // U+0080 to U+009F are control characters too; UTF-8 encodes them in two bytes.
    bool isTwoByteControl = byte == 0xc2 && next >= 0x80 && next <= 0x9f;
    bool isControl = byte < 0x20 || byte == 0x7f || isTwoByteControl;
    text += isControl ? '?' : aText[i];
    i += isTwoByteControl ? 1 : 0;
  }
  return text;
}

std::string CellText(const JsonValue& aObject, const char* aName)
{
  const JsonValue* member = aObject.Find(aName);
  if (member == nullptr || member->kind == JsonKind::Null) {
    return "-";
  }
  if (member->kind == JsonKind::Boolean) {
    return member->boolean ? "yes" : "no";
  }
  return member->kind == JsonKind::String ? member->text : ToJsonText(*member);
}

std::string FormatTime(WallTime aTime)
{
  std::time_t seconds = aTime.time_since_epoch().count();
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32] = "";
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

std::string EncodeSegment(const std::string& aText)
{
  constexpr const char* kHexDigits = "0123456789ABCDEF";
  std::string text;
  for (char character : aText) {
    auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.' ||
        character == '~') {
      text += character;
    } else {
      text += '%';
      text += kHexDigits[byte >> 4];
      text += kHexDigits[byte & 15];
    }
  }
  return text;
}

} // namespace daisydrift
