#include "daisydrift/cli/JobFile.h"

#include "daisydrift/settings.h"

namespace daisydrift {

namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::int64_t kMaxTasks = 1'000'000;
constexpr std::int64_t kMaxMilliCores = 10'000'000;
constexpr std::int64_t kMaxMemoryMiB = 100'000'000;
constexpr std::int64_t kMaxAccelerators = 1'000;
constexpr std::int64_t kMaxFailures = 100;
/// 366 days.
constexpr std::int64_t kMaxRunTimeMs = 366LL * 24 * 3600 * 1000;

void CheckName(ObjectReader& aReader, const char* aName, bool aIsRequired)
{
  const JsonValue* name = aReader.Take(aName, JsonKind::String, aIsRequired);
  if (name != nullptr && (name->text.empty() || name->text.size() > kMaxNameLength)) {
    aReader.Report(
      *name, "bad_value", std::string("\"") + aName + "\" must be 1 to 128 characters");
  }
}

void CheckSize(const JsonValue& aSize, const std::string& aSource, Findings& aFindings)
{
  ObjectReader reader(aSize, aSource, "\"size\"", aFindings);
  reader.Integer("milli_cores", 1, kMaxMilliCores);
  reader.Integer("memory_mib", 1, kMaxMemoryMiB);
  reader.Integer("accelerators", 0, kMaxAccelerators, false);
  reader.ReportUnknownKeys();
}

void CheckJob(const JsonValue& aJob, const std::string& aSource, Findings& aFindings)
{
  ObjectReader reader(aJob, aSource, "the job", aFindings);
  CheckName(reader, "name", true);
  CheckName(reader, "kind", false);
  const JsonValue* workClass = reader.Take("class", JsonKind::String, false);
  if (workClass != nullptr && workClass->text != "batch" && workClass->text != "gang" &&
      workClass->text != "service") {
    reader.Report(*workClass, "bad_value", "\"class\" must be batch, gang or service");
  }
  reader.Boolean("urgent", false);
  reader.Integer("tasks", 1, kMaxTasks, false);
  if (const JsonValue* size = reader.Take("size", JsonKind::Object, true)) {
    CheckSize(*size, aSource, aFindings);
  }
  reader.Integer("run_time_ms", 0, kMaxRunTimeMs, false);
  reader.Boolean("repeatable", false);
  reader.Boolean("can_checkpoint", false);
  reader.Integer("max_failures", 1, kMaxFailures, false);
  reader.TakeAny("payload");
  reader.ReportUnknownKeys();
}

} // namespace

std::optional<std::string> ReadJobFile(const std::string& aText,
                                       const std::string& aSource,
                                       Findings& aFindings)
{
  Findings jobFindings;
  std::optional<JsonValue> job = ReadJson(aText, aSource, jobFindings);
  if (job) {
    CheckJob(*job, aSource, jobFindings);
  }
  aFindings.Append(jobFindings);
  if (!jobFindings.Empty()) {
    return std::nullopt;
  }
  return ToJsonText(*job);
}

} // namespace daisydrift
