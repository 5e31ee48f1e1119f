// Commands on jobs and interactive requests.

#include "Commands.h"

namespace daisydrift {

namespace {

/// Delay between two reads of a watched job; limits the rate when the server responds at once.
constexpr std::chrono::milliseconds kWatchInterval{ 200 };

/// Time for which the server may delay the response to a read of a watched job (long poll).
constexpr const char* kLongPollMs = "5000";

constexpr std::int64_t kMaxDeadlineMs = 24 * 3600 * 1000;

std::string JobPath(CommandContext& aContext)
{
  return "/v1/jobs/" + EncodeSegment(aContext.Argument(0));
}

std::vector<std::string> JobRow(const JsonValue& aJob)
{
  const JsonValue* tasks = aJob.Find("tasks");
  const JsonValue kNoCounts;
  const JsonValue& counts = tasks != nullptr ? *tasks : kNoCounts;
  return { CellText(aJob, "job"),       CellText(aJob, "team"),        CellText(aJob, "name"),
           CellText(aJob, "class"),     CellText(aJob, "state"),       CellText(counts, "waiting"),
           CellText(counts, "running"), CellText(counts, "succeeded"), CellText(counts, "failed"),
           CellText(aJob, "reason") };
}

TextTable MakeJobTable()
{
  return { { "job",
             "team",
             "name",
             "class",
             "state",
             "waiting",
             "running",
             "succeeded",
             "failed",
             "reason" } };
}

bool IsTerminalState(const std::string& aState)
{
  return aState == "succeeded" || aState == "failed" || aState == "cancelled" ||
         aState == "outcome_unknown";
}

} // namespace

ExitCode RunSubmit(CommandContext& aContext)
{
  std::string file = aContext.Argument(0);
  std::optional<std::string> text = aContext.ReadFile(file);
  if (!text) {
    return ExitCode::BadInput;
  }
  Findings findings;
  std::optional<std::string> body = ReadJobFile(*text, CommandContext::SourceName(file), findings);
  if (!body) {
    return aContext.ReportFindings(findings);
  }
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.body = *body;
  request.idempotencyKey = aContext.IdempotencyKey();
  request.isRepeatable = true;
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> response = aContext.ReadJsonResponse(aContext.Send(request), code);
  if (!response) {
    if (code == ExitCode::OutcomeUnknown) {
      aContext.Fail(code, "repeat with --idempotency-key " + request.idempotencyKey);
    }
    return code;
  }
  if (response->Find("idempotency_key") == nullptr) {
    response->Set("idempotency_key", request.idempotencyKey);
  }
  aContext.Print(
    *response,
    { { "job", "state", "idempotency key" },
      { CellText(*response, "job"), CellText(*response, "state"), request.idempotencyKey } });
  return ExitCode::Ok;
}

ExitCode RunStatus(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> job = aContext.FetchJson(JobPath(aContext), code);
  if (!job) {
    return code;
  }
  TextTable table = MakeJobTable();
  table.push_back(JobRow(*job));
  aContext.Print(*job, table);
  return ExitCode::Ok;
}

ExitCode RunJobs(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> response = aContext.FetchJson("/v1/jobs", code);
  if (!response) {
    return code;
  }
  TextTable table = MakeJobTable();
  for (const JsonValue& job : response->ItemsOf("jobs")) {
    table.push_back(JobRow(job));
  }
  aContext.Print(*response, table);
  return ExitCode::Ok;
}

ExitCode RunExplain(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> response = aContext.FetchJson(JobPath(aContext) + "/explain", code);
  if (!response) {
    return code;
  }
  aContext.Print(*response,
                 { { "job", "code", "message", "advice" },
                   { CellText(*response, "job"),
                     CellText(*response, "code"),
                     CellText(*response, "message"),
                     CellText(*response, "advice") } });
  return ExitCode::Ok;
}

ExitCode RunCancel(CommandContext& aContext)
{
  bool hasJob = !aContext.Argument(0).empty();
  bool hasName = aContext.HasOption("name");
  if (hasJob == hasName || (hasJob && aContext.HasOption("team"))) {
    return aContext.UsageError("give either JOB, or --name and, for operators, --team");
  }
  ApiRequest request;
  request.method = hasJob ? "DELETE" : "POST";
  request.path = hasJob ? JobPath(aContext) : "/v1/jobs/cancel";
  // Cancelling one job twice has the same effect as once. Cancelling by name again could also
  // cancel jobs that were submitted since the first call.
  request.isRepeatable = hasJob;
  if (!hasJob) {
    JsonValue body = JsonValue::Object();
    if (aContext.HasOption("team")) {
      body.Set("team", aContext.Option("team"));
    }
    body.Set("name", aContext.Option("name"));
    request.body = ToJsonText(body);
  }
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> response = aContext.ReadJsonResponse(aContext.Send(request), code);
  if (!response) {
    return code;
  }
  if (response->Find("cancelled") != nullptr) {
    aContext.Print(*response, { { "cancelled" }, { CellText(*response, "cancelled") } });
  } else {
    aContext.Print(
      *response,
      { { "job", "state" }, { CellText(*response, "job"), CellText(*response, "state") } });
  }
  return ExitCode::Ok;
}

ExitCode RunWatch(CommandContext& aContext)
{
  std::string lastPrinted;
  std::string state;
  while (true) {
    ExitCode code = ExitCode::Ok;
    std::string query = std::string("/watch?wait_ms=") + kLongPollMs +
                        (state.empty() ? "" : "&state=" + EncodeSegment(state));
    std::optional<JsonValue> job = aContext.FetchJson(JobPath(aContext) + query, code);
    if (!job) {
      return code;
    }
    std::string text = ToJsonText(*job);
    state = job->TextOf("state");
    if (text != lastPrinted) {
      TextTable table = MakeJobTable();
      table.push_back(JobRow(*job));
      aContext.Print(*job, table);
      lastPrinted = text;
    }
    if (IsTerminalState(state)) {
      break;
    }
    aContext.SleepFor(kWatchInterval);
  }
  if (state == "outcome_unknown") {
    return ExitCode::OutcomeUnknown;
  }
  return state == "succeeded" ? ExitCode::Ok : ExitCode::Failed;
}

ExitCode RunRequest(CommandContext& aContext)
{
  std::string service = aContext.Argument(0);
  std::string path = aContext.Argument(1);
  if (!IsValidName(service)) {
    return aContext.UsageError("\"" + service + "\" is not a valid name of a service");
  }
  if (path.empty() || PrintableText(path) != path || path.find(' ') != std::string::npos) {
    return aContext.UsageError("PATH must be percent-encoded");
  }
  ApiRequest request;
  request.method = aContext.HasOption("method") ? aContext.Option("method") : "GET";
  for (char character : request.method) {
    if (character < 'A' || character > 'Z') {
      return aContext.UsageError("--method must be in upper-case letters, such as POST");
    }
  }
  request.path =
    "/v1/services/" + service + "/requests/" + (path.front() == '/' ? path.substr(1) : path);
  if (aContext.HasOption("body")) {
    std::optional<std::string> body = aContext.ReadFile(aContext.Option("body"));
    if (!body) {
      return ExitCode::BadInput;
    }
    request.body = *body;
  }
  request.isRepeatable = aContext.HasOption("repeatable");
  if (request.isRepeatable) {
    request.headers.emplace_back("Daisydrift-Repeatable", "true");
  }
  std::int64_t deadline = 0;
  if (!aContext.ReadIntegerOption("deadline-ms", 1, kMaxDeadlineMs, deadline)) {
    return ExitCode::BadInput;
  }
  if (deadline > 0) {
    request.headers.emplace_back("Daisydrift-Deadline-Ms", std::to_string(deadline));
  }
  ApiResponse response = aContext.Send(request);
  if (!response.IsSuccess()) {
    return aContext.ReportFailure(response);
  }
  aContext.PrintRaw(response.body);
  return ExitCode::Ok;
}

} // namespace daisydrift
