#include "JobCodec.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

constexpr const char* kFindingSource = "request body";
constexpr std::size_t kMaxNameLength = 128;
/// Upper bounds of a task's size: two orders of magnitude above the largest worker of the intended
/// fleet, so a larger number is a mistake.
constexpr std::int64_t kMaxMilliCores = 10'000'000;
constexpr std::int64_t kMaxMemoryMiB = 100'000'000;
constexpr std::int64_t kMaxAccelerators = 1'000;
constexpr std::int64_t kMaxRunTimeMs = 366LL * 24 * 3600 * 1000;

/// Reads and checks the fields of one JSON object. Adds a finding and returns the default for each
/// invalid field.
class ObjectReader
{
public:
  ObjectReader(const Json& aObject, std::string aPath, Findings& aFindings)
    : object(aObject)
    , path(std::move(aPath))
    , findings(aFindings)
  {
  }

  void RejectUnknownFields(std::initializer_list<const char*> aKnown)
  {
    for (const auto& [key, value] : this->object.items()) {
      bool isKnown = false;
      for (const char* known : aKnown) {
        isKnown = isKnown || key == known;
      }
      if (!isKnown) {
        this->Add("unknown_field", key, "is not a field of a job");
      }
    }
  }

  std::int64_t Integer(const char* aKey,
                       std::int64_t aDefault,
                       std::int64_t aMinimum,
                       std::int64_t aMaximum)
  {
    auto found = this->object.find(aKey);
    if (found == this->object.end()) {
      return aDefault;
    }
    // Unsigned values beyond the signed range would wrap around in the conversion, so they are
    // compared before it.
    bool isTooLarge = found->is_number_unsigned() &&
                      found->get<std::uint64_t>() > static_cast<std::uint64_t>(aMaximum);
    if (!found->is_number_integer() || isTooLarge || found->get<std::int64_t>() < aMinimum ||
        found->get<std::int64_t>() > aMaximum) {
      this->Add("out_of_range",
                aKey,
                "must be a whole number from " + std::to_string(aMinimum) + " to " +
                  std::to_string(aMaximum));
      return aDefault;
    }
    return found->get<std::int64_t>();
  }

  bool Boolean(const char* aKey, bool aDefault)
  {
    auto found = this->object.find(aKey);
    if (found == this->object.end()) {
      return aDefault;
    }
    if (!found->is_boolean()) {
      this->Add("wrong_type", aKey, "must be true or false");
      return aDefault;
    }
    return found->get<bool>();
  }

  std::string Text(const char* aKey, const std::string& aDefault)
  {
    auto found = this->object.find(aKey);
    if (found == this->object.end()) {
      return aDefault;
    }
    if (!found->is_string() || found->get_ref<const std::string&>().empty() ||
        found->get_ref<const std::string&>().size() > kMaxNameLength) {
      this->Add("wrong_type",
                aKey,
                "must be a string of 1 to " + std::to_string(kMaxNameLength) + " bytes");
      return aDefault;
    }
    return found->get<std::string>();
  }

  void Require(const char* aKey)
  {
    if (!this->object.contains(aKey)) {
      this->Add("missing_field", aKey, "is required");
    }
  }

  void Add(const char* aCode, const std::string& aKey, const std::string& aMessage)
  {
    this->findings.Add({ kFindingSource, 0, 0 }, aCode, "'" + this->path + aKey + "' " + aMessage);
  }

private:
  const Json& object;
  std::string path;
  Findings& findings;
};

/// Parses a JSON object, which may contain comments. Reports a syntax error as a finding with its
/// line and column.
std::optional<Json> ParseObject(const std::string& aBody, Findings& aFindings)
{
  try {
    Json json = Json::parse(aBody, nullptr, true, true);
    if (json.is_object()) {
      return json;
    }
    aFindings.Add({ kFindingSource, 1, 1 }, "wrong_type", "the body must be a JSON object");
  } catch (const Json::parse_error& error) {
    std::size_t offset = std::min(error.byte == 0 ? 0 : error.byte - 1, aBody.size());
    SourceLocation place{ kFindingSource, 1, 1 };
    for (std::size_t i = 0; i < offset; ++i) {
      bool isNewLine = aBody[i] == '\n';
      place.line += isNewLine ? 1 : 0;
      place.column = isNewLine ? 1 : place.column + 1;
    }
    aFindings.Add(place, "malformed_json", "the body is not valid JSON");
  } catch (const Json::out_of_range&) {
    // The exception does not contain the position of the number.
    aFindings.Add({ kFindingSource, 0, 0 }, "out_of_range", "a number of the body is too large");
  }
  return std::nullopt;
}

WorkClass ReadClass(ObjectReader& aReader)
{
  std::string name = aReader.Text("class", "batch");
  if (name == "gang") {
    return WorkClass::Gang;
  }
  if (name == "service") {
    return WorkClass::Service;
  }
  if (name != "batch") {
    aReader.Add("unknown_value", "class", "must be batch, gang or service");
  }
  return WorkClass::Batch;
}

Resources ReadSize(const Json& aJson, Findings& aFindings)
{
  auto found = aJson.find("size");
  if (found == aJson.end() || !found->is_object()) {
    aFindings.Add(
      { kFindingSource, 0, 0 }, "missing_field", "'size' is required and must be an object");
    return {};
  }
  ObjectReader reader(*found, "size.", aFindings);
  reader.RejectUnknownFields({ "milli_cores", "memory_mib", "accelerators" });
  reader.Require("milli_cores");
  reader.Require("memory_mib");
  return { reader.Integer("milli_cores", 1, 1, kMaxMilliCores),
           reader.Integer("memory_mib", 1, 1, kMaxMemoryMiB),
           reader.Integer("accelerators", 0, 0, kMaxAccelerators) };
}

} // namespace

std::optional<JobSubmission> ParseJobSubmission(const std::string& aBody, Findings& aFindings)
{
  Findings findings;
  std::optional<Json> json = ParseObject(aBody, findings);
  JobSubmission submission;
  if (json) {
    ObjectReader reader(*json, "", findings);
    reader.RejectUnknownFields({ "name",
                                 "kind",
                                 "class",
                                 "urgent",
                                 "tasks",
                                 "size",
                                 "run_time_ms",
                                 "repeatable",
                                 "can_checkpoint",
                                 "max_failures",
                                 "payload" });
    reader.Require("name");
    JobSpec& spec = submission.spec;
    spec.name = reader.Text("name", "job");
    spec.kind = reader.Text("kind", spec.name);
    spec.workClass = ReadClass(reader);
    spec.isUrgent = reader.Boolean("urgent", false);
    spec.taskCount = static_cast<std::uint32_t>(reader.Integer("tasks", 1, 1, kMaxTasksPerJob));
    spec.size = ReadSize(*json, findings);
    spec.declaredRunTime =
      std::chrono::milliseconds(reader.Integer("run_time_ms", 0, 0, kMaxRunTimeMs));
    spec.isRepeatable = reader.Boolean("repeatable", true);
    spec.canCheckpoint = reader.Boolean("can_checkpoint", false);
    spec.maxFailures = static_cast<std::uint32_t>(reader.Integer("max_failures", 3, 1, 100));
    submission.payload = json->value("payload", Json::object()).dump();
  }
  aFindings.Append(findings);
  if (!findings.Empty()) {
    return std::nullopt;
  }
  return submission;
}

std::string FormatJobId(const std::string& aRegion, JobNumber aJob)
{
  return aRegion + "-" + std::to_string(aJob);
}

bool ParseJobId(const std::string& aText, std::string& aRegion, JobNumber& aJob)
{
  auto dash = aText.rfind('-');
  if (dash == std::string::npos || dash == 0) {
    return false;
  }
  JobNumber job = 0;
  const char* last = aText.data() + aText.size();
  auto [next, error] = std::from_chars(aText.data() + dash + 1, last, job);
  if (error != std::errc() || next != last || job == 0) {
    return false;
  }
  aRegion = aText.substr(0, dash);
  aJob = job;
  return true;
}

const char* NameOf(WorkClass aClass)
{
  switch (aClass) {
    case WorkClass::Batch:
      return "batch";
    case WorkClass::Gang:
      return "gang";
    case WorkClass::Service:
      return "service";
  }
  return "";
}

const char* NameOf(JobState aState)
{
  switch (aState) {
    case JobState::Waiting:
      return "waiting";
    case JobState::Running:
      return "running";
    case JobState::Succeeded:
      return "succeeded";
    case JobState::Failed:
      return "failed";
    case JobState::Cancelled:
      return "cancelled";
    case JobState::OutcomeUnknown:
      return "outcome_unknown";
  }
  return "";
}

const char* NameOf(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Succeeded:
      return "succeeded";
    case AttemptOutcome::Failed:
      return "failed";
    case AttemptOutcome::Interrupted:
      return "interrupted";
    case AttemptOutcome::Rejected:
      return "rejected";
  }
  return "";
}

const char* NameOf(StopReason aReason)
{
  switch (aReason) {
    case StopReason::Cancelled:
      return "cancelled";
    case StopReason::Preempted:
      return "preempted";
    case StopReason::CeilingLowered:
      return "ceiling_lowered";
    case StopReason::FailureDomainDrained:
      return "failure_domain_drained";
    case StopReason::OutgrewSize:
      return "outgrew_size";
    case StopReason::GangIncomplete:
      return "gang_incomplete";
  }
  return "";
}

} // namespace daisydrift
