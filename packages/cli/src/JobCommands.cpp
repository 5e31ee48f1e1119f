// Commands on jobs and interactive requests.

#include "Commands.h"

namespace daisydrift {

namespace {

/// Delay between two reads of a watched job whose server answers at once.
constexpr std::chrono::milliseconds kWatchPause{ 200 };

/// Time for which the server may hold the read of a watched job.
constexpr const char* kWatchWaitMs = "5000";

constexpr std::int64_t kMaxDeadlineMs = 24 * 3600 * 1000;

std::string JobPath(CommandContext& aContext)
{
  return "/v1/jobs/" + EncodeSegment(aContext.Argument(0));
}

std::vector<std::string> JobRow(const JsonValue& aJob)
{
  const JsonValue* tasks = aJob.Find("tasks");
  const JsonValue kNone;
  const JsonValue& counts = tasks != nullptr ? *tasks : kNone;
  return { CellOf(aJob, "job"),       CellOf(aJob, "team"),        CellOf(aJob, "name"),
           CellOf(aJob, "class"),     CellOf(aJob, "state"),       CellOf(counts, "waiting"),
           CellOf(counts, "running"), CellOf(counts, "succeeded"), CellOf(counts, "failed"),
           CellOf(aJob, "reason") };
}

TextTable JobTable()
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

bool HasEnded(const std::string& aState)
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
  std::optional<std::string> body = ReadJobFile(*text, CommandContext::SourceOf(file), findings);
  if (!body) {
    return aContext.Report(findings);
  }
  ApiRequest request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.body = *body;
  request.idempotencyKey = aContext.WriteId();
  request.isRepeatable = true;
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> answer = aContext.ReadAnswer(aContext.Send(request), code);
  if (!answer) {
    if (code == ExitCode::OutcomeUnknown) {
      aContext.Fail(code, "repeat with --idempotency-key " + request.idempotencyKey);
    }
    return code;
  }
  if (answer->Find("idempotency_key") == nullptr) {
    answer->Set("idempotency_key", request.idempotencyKey);
  }
  aContext.Print(*answer,
                 { { "job", "state", "idempotency key" },
                   { CellOf(*answer, "job"), CellOf(*answer, "state"), request.idempotencyKey } });
  return ExitCode::Ok;
}

ExitCode RunStatus(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> job = aContext.Fetch(JobPath(aContext), code);
  if (!job) {
    return code;
  }
  TextTable table = JobTable();
  table.push_back(JobRow(*job));
  aContext.Print(*job, table);
  return ExitCode::Ok;
}

ExitCode RunJobs(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> answer = aContext.Fetch("/v1/jobs", code);
  if (!answer) {
    return code;
  }
  TextTable table = JobTable();
  for (const JsonValue& job : answer->ItemsOf("jobs")) {
    table.push_back(JobRow(job));
  }
  aContext.Print(*answer, table);
  return ExitCode::Ok;
}

ExitCode RunExplain(CommandContext& aContext)
{
  ExitCode code = ExitCode::Ok;
  std::optional<JsonValue> answer = aContext.Fetch(JobPath(aContext) + "/explain", code);
  if (!answer) {
    return code;
  }
  aContext.Print(*answer,
                 { { "job", "code", "message", "advice" },
                   { CellOf(*answer, "job"),
                     CellOf(*answer, "code"),
                     CellOf(*answer, "message"),
                     CellOf(*answer, "advice") } });
  return ExitCode::Ok;
}

ExitCode RunCancel(CommandContext& aContext)
{
  bool hasJob = !aContext.Argument(0).empty();
  bool hasName = aContext.HasOption("name");
  if (hasJob == hasName || (hasJob && aContext.HasOption("team"))) {
    return aContext.Usage("give JOB, or --name and, for operators, --team");
  }
  ApiRequest request;
  request.method = hasJob ? "DELETE" : "POST";
  request.path = hasJob ? JobPath(aContext) : "/v1/jobs/cancel";
  // To cancel one job twice is the same as once; by name, a second call could reach newer jobs.
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
  std::optional<JsonValue> answer = aContext.ReadAnswer(aContext.Send(request), code);
  if (!answer) {
    return code;
  }
  if (answer->Find("cancelled") != nullptr) {
    aContext.Print(*answer, { { "cancelled" }, { CellOf(*answer, "cancelled") } });
  } else {
    aContext.Print(*answer,
                   { { "job", "state" }, { CellOf(*answer, "job"), CellOf(*answer, "state") } });
  }
  return ExitCode::Ok;
}

ExitCode RunWatch(CommandContext& aContext)
{
  std::string shown;
  std::string state;
  while (true) {
    ExitCode code = ExitCode::Ok;
    std::string query = std::string("/watch?wait_ms=") + kWatchWaitMs +
                        (state.empty() ? "" : "&state=" + EncodeSegment(state));
    std::optional<JsonValue> job = aContext.Fetch(JobPath(aContext) + query, code);
    if (!job) {
      return code;
    }
    std::string text = ToJsonText(*job);
    state = job->TextOf("state");
    if (text != shown) {
      TextTable table = JobTable();
      table.push_back(JobRow(*job));
      aContext.Print(*job, table);
      shown = text;
    }
    if (HasEnded(state)) {
      break;
    }
    aContext.Pause(kWatchPause);
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
    return aContext.Usage("\"" + service + "\" is not the name of a service");
  }
  if (path.empty() || PrintableText(path) != path || path.find(' ') != std::string::npos) {
    return aContext.Usage("PATH must be percent-encoded");
  }
  ApiRequest request;
  request.method = aContext.HasOption("method") ? aContext.Option("method") : "GET";
  for (char character : request.method) {
    if (character < 'A' || character > 'Z') {
      return aContext.Usage("--method must be in capital letters, such as POST");
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
  if (!aContext.ReadNumber("deadline-ms", 1, kMaxDeadlineMs, deadline)) {
    return ExitCode::BadInput;
  }
  if (deadline > 0) {
    request.headers.emplace_back("Daisydrift-Deadline-Ms", std::to_string(deadline));
  }
  ApiAnswer answer = aContext.Send(request);
  if (!answer.IsSuccess()) {
    return aContext.Explain(answer);
  }
  aContext.PrintRaw(answer.body);
  return ExitCode::Ok;
}

} // namespace daisydrift
