#include "RecordCodec.h"

#include "daisydrift/coordination/JsonFields.h"

#include <algorithm>
#include <limits>

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
/// Greatest numbers of a record. Sums and products of them don't overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000;
constexpr std::uint32_t kMaxTasks = 65'536;
constexpr std::size_t kMaxSteps = 1024;
/// Most tasks of one occurrence; four times as many as are accepted from callers.
constexpr std::uint64_t kMaxTasksOfJob = 1 << 20;
constexpr std::uint32_t kMaxNumber = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint32_t kMaxOccurrences = 100'000;
constexpr std::uint64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();
/// Above the run numbers of the last term.
constexpr RunNumber kMaxRun = (kMaxTerm + 1) * 1'000'000;
constexpr double kMaxReal = std::numeric_limits<double>::max();
constexpr double kMaxStretch = 1000;
constexpr double kMaxWeight = 1e9;
constexpr std::chrono::hours kMaxInterval{ 24 * 366 };
constexpr std::chrono::minutes kMaxAdviceTimePerWorker{ 1 };
/// Some 250 years after 1970.
constexpr std::chrono::milliseconds kMaxWallTime{ 8'000'000'000'000 };

/// Adds a field unless it has the default value, which keeps the records short.
template<typename Value>
void AddUnlessDefault(json& aRecord, const char* aName, const Value& aValue, const Value& aDefault)
{
  if (aValue != aDefault) {
    aRecord[aName] = aValue;
  }
}

json ToJson(const Resources& aAmount)
{
  return json::array({ aAmount.milliCores, aAmount.memoryMiB, aAmount.accelerators });
}

/// Resources of the named list; none when it is absent.
Resources ResourcesFrom(JsonFields& aFields, JsonFields::Name aName)
{
  const json* list = aFields.List(aName);
  if (list == nullptr) {
    return {};
  }
  JsonFields amounts(*list, 3);
  Resources resources{ amounts.ClampedInteger<std::int64_t>(0, 0, kMaxAmount),
                       amounts.ClampedInteger<std::int64_t>(1, 0, kMaxAmount),
                       amounts.ClampedInteger<std::int64_t>(2, 0, kMaxAmount) };
  aFields.Adopt(aName, amounts);
  return resources;
}

/// Passes each item of the named list, if there is one, to aRead until the fields are invalid.
template<typename Reader>
void ReadItems(JsonFields& aFields, JsonFields::Name aName, const Reader& aRead)
{
  const json* list = aFields.List(aName);
  if (list == nullptr) {
    return;
  }
  for (const json& item : *list) {
    if (!aFields.IsValid()) {
      return;
    }
    aRead(item);
  }
}

/// Numbers of the named list, all below aEnd.
template<std::unsigned_integral Number>
std::vector<Number> NumbersFrom(JsonFields& aFields, JsonFields::Name aName, Number aEnd)
{
  std::vector<Number> numbers;
  ReadItems(aFields, aName, [&](const json& aItem) {
    bool isInRange = aItem.is_number_unsigned() && std::cmp_less(aItem.get<std::uint64_t>(), aEnd);
    if (isInRange) {
      numbers.push_back(aItem.get<Number>());
    } else {
      aFields.Fail(aName, "not a list of numbers in range");
    }
  });
  return numbers;
}

std::vector<std::string> TextsFrom(JsonFields& aFields, JsonFields::Name aName)
{
  std::vector<std::string> texts;
  ReadItems(aFields, aName, [&](const json& aItem) {
    if (aItem.is_string()) {
      texts.push_back(aItem.get<std::string>());
    } else {
      aFields.Fail(aName, "not a list of texts");
    }
  });
  return texts;
}

json ToJson(const StepSpec& aStep)
{
  json record{ { "tasks", aStep.taskCount },
               { "size", ToJson(aStep.size) },
               { "estimate_us", aStep.estimate.count() } };
  if (!aStep.dependencies.empty()) {
    record["after"] = aStep.dependencies;
  }
  AddUnlessDefault(record, "checkpoint", aStep.canCheckpoint, false);
  AddUnlessDefault(record, "gang", aStep.isGang, false);
  AddUnlessDefault(record, "rack_local", aStep.isRackLocal, false);
  AddUnlessDefault(record, "copies", aStep.allowsCopies, false);
  AddUnlessDefault(record, "service", aStep.isService, false);
  AddUnlessDefault(record, "spare_cores", aStep.usesSpareCores, false);
  AddUnlessDefault(record, "label", aStep.requiredLabel, {});
  AddUnlessDefault(record, "data_rack", aStep.dataRack, {});
  AddUnlessDefault(record, "image", aStep.image, {});
  AddUnlessDefault(record, "per_worker", aStep.maxPerWorker, 0U);
  AddUnlessDefault(record, "unavailable", aStep.maxUnavailable, 0U);
  AddUnlessDefault(record, "tail_us", aStep.tailLatencyTarget.count(), Duration::rep(0));
  return record;
}

/// Reads the step at that position of its job.
StepSpec StepSpecFrom(JsonFields& aFields, std::uint32_t aPosition)
{
  aFields.Require({ "tasks", "size", "estimate_us" });
  StepSpec step;
  step.taskCount = aFields.Integer<std::uint32_t>("tasks", 1, kMaxTasks);
  step.size = ResourcesFrom(aFields, "size");
  step.estimate = aFields.ClampedMicroseconds("estimate_us");
  step.dependencies = NumbersFrom(aFields, "after", aPosition);
  step.canCheckpoint = aFields.Flag("checkpoint");
  step.isGang = aFields.Flag("gang");
  step.isRackLocal = aFields.Flag("rack_local");
  step.allowsCopies = aFields.Flag("copies");
  step.isService = aFields.Flag("service");
  step.usesSpareCores = aFields.Flag("spare_cores");
  step.requiredLabel = aFields.Text("label");
  step.dataRack = aFields.Text("data_rack");
  step.image = aFields.Text("image");
  step.maxPerWorker = aFields.ClampedInteger<std::uint32_t>("per_worker", 0, kMaxNumber);
  step.maxUnavailable = aFields.ClampedInteger<std::uint32_t>("unavailable", 0, kMaxNumber);
  step.tailLatencyTarget = aFields.ClampedMicroseconds("tail_us");
  return step;
}

json ToJson(const StepProgress& aStep)
{
  json record{ { "occurrence", aStep.occurrence }, { "step", aStep.step } };
  if (!aStep.succeeded.empty()) {
    record["succeeded"] = aStep.succeeded;
  }
  auto addPairs = [&record](const char* aName, const auto& aMap) {
    for (const auto& [index, value] : aMap) {
      record[aName].push_back(json::array({ index, value }));
    }
  };
  addPairs("failures", aStep.failures);
  addPairs("failed_runs", aStep.failedRuns);
  addPairs("settled", aStep.lastCompletedRuns);
  addPairs("checkpoints", aStep.checkpoints);
  for (const OpenRun& open : aStep.open) {
    record["open"].push_back(json::array({ open.index, open.run, open.worker }));
    if (open.longLeaseUntil != WallTime()) {
      // Beside the run, whose items earlier versions count.
      record["long_leases"].push_back(
        json::array({ open.index, open.longLeaseUntil.time_since_epoch().count() }));
    }
  }
  return record;
}

StepProgress StepProgressFrom(JsonFields& aFields)
{
  aFields.Require({ "occurrence", "step" });
  StepProgress step;
  step.occurrence = aFields.Integer<std::uint32_t>("occurrence", 0, kMaxNumber);
  step.step = aFields.Integer<std::uint32_t>("step", 0, kMaxNumber);
  step.succeeded = NumbersFrom(aFields, "succeeded", kMaxNumber);
  auto readPairs = [&aFields](const char* aName, const auto& aRead) {
    ReadItems(aFields, aName, [&](const json& aItem) {
      JsonFields pair(aItem, 2);
      aRead(pair.Integer<std::uint32_t>(0, 0, kMaxNumber), pair);
      aFields.Adopt(aName, pair);
    });
  };
  readPairs("failures", [&step](std::uint32_t aIndex, JsonFields& aPair) {
    step.failures[aIndex] = aPair.Integer<std::uint32_t>(1, 0, kMaxNumber);
  });
  readPairs("failed_runs", [&step](std::uint32_t aIndex, JsonFields& aPair) {
    step.failedRuns[aIndex] = NumbersFrom<RunNumber>(aPair, 1, kMaxRun);
  });
  readPairs("settled", [&step](std::uint32_t aIndex, JsonFields& aPair) {
    step.lastCompletedRuns[aIndex] = aPair.Integer<RunNumber>(1, 0, kMaxRun);
  });
  readPairs("checkpoints", [&step](std::uint32_t aIndex, JsonFields& aPair) {
    step.checkpoints[aIndex] = aPair.Text(1);
  });
  ReadItems(aFields, "open", [&](const json& aItem) {
    JsonFields run(aItem, 3);
    step.open.push_back({ run.Integer<std::uint32_t>(0, 0, kMaxNumber),
                          run.Integer<RunNumber>(1, 0, kMaxRun),
                          run.Text(2) });
    aFields.Adopt("open", run);
  });
  std::map<std::uint32_t, WallTime> longLeases;
  readPairs("long_leases", [&longLeases](std::uint32_t aIndex, JsonFields& aPair) {
    auto until = aPair.Integer<std::int64_t>(1, 0, kMaxWallTime.count());
    // Of the two runs of a task with a copy, the later time counts for both.
    WallTime& latest = longLeases[aIndex];
    latest = std::max(latest, WallTime(std::chrono::milliseconds(until)));
  });
  for (OpenRun& run : step.open) {
    auto found = longLeases.find(run.index);
    run.longLeaseUntil = found == longLeases.end() ? WallTime() : found->second;
  }
  return step;
}

std::vector<StepProgress> StepsFrom(JsonFields& aFields)
{
  std::vector<StepProgress> steps;
  ReadItems(aFields, "steps", [&](const json& aItem) {
    JsonFields step(aItem);
    steps.push_back(StepProgressFrom(step));
    aFields.Adopt("steps", step);
  });
  return steps;
}

json ToJson(const QueuePolicy& aRules)
{
  json record{ { "version", aRules.version },       { "service", aRules.service },
               { "priority", aRules.priority },     { "attempts", aRules.maxAttempts },
               { "stretch", aRules.stretchFactor }, { "target_us", aRules.targetLatency.count() } };
  if (aRules.advice) {
    record["advice_us"] = json::array({ aRules.advice->baseTime.count(),
                                        aRules.advice->timePerWorker.count(),
                                        aRules.advice->validity.count() });
  }
  return record;
}

QueuePolicy QueuePolicyFrom(const QueueName& aName, JsonFields& aFields)
{
  aFields.Require({ "version", "service", "priority", "attempts", "stretch", "target_us" });
  QueuePolicy rules;
  rules.name = aName;
  rules.version = aFields.Integer<std::uint64_t>("version", 0, kMaxVersion);
  rules.service = aFields.Text("service");
  rules.priority = aFields.ClampedInteger<std::uint32_t>("priority", 0, kMaxNumber);
  rules.maxAttempts = aFields.ClampedInteger<std::uint32_t>("attempts", 0, kMaxNumber);
  rules.stretchFactor = std::clamp(aFields.Real("stretch", -kMaxReal, kMaxReal), 0.0, kMaxStretch);
  rules.targetLatency = aFields.ClampedMicroseconds("target_us");
  if (const json* advice = aFields.List("advice_us")) {
    JsonFields times(*advice, 3);
    rules.advice = AdvicePolicy{ times.ClampedMicroseconds(0),
                                 times.ClampedMicroseconds(1, kMaxAdviceTimePerWorker),
                                 times.ClampedMicroseconds(2) };
    aFields.Adopt("advice_us", times);
  }
  return rules;
}

json ToJson(const TeamRules& aRules)
{
  return { { "version", aRules.version },
           { "weight", aRules.weight },
           { "ceiling", ToJson(aRules.ceiling) } };
}

TeamRules TeamRulesFrom(const TeamName& aName, JsonFields& aFields)
{
  aFields.Require({ "version", "weight", "ceiling" });
  double weight = std::clamp(aFields.Real("weight", -kMaxReal, kMaxReal), 0.0, kMaxWeight);
  Resources ceiling = ResourcesFrom(aFields, "ceiling");
  return { aName, weight, ceiling, aFields.Integer<std::uint64_t>("version", 0, kMaxVersion) };
}

WallTime WallTimeFrom(JsonFields& aFields, const char* aName)
{
  auto time = aFields.ClampedInteger<std::int64_t>(aName, 0, kMaxWallTime.count());
  return WallTime(std::chrono::milliseconds(time));
}

/// Returns the record if its fields are valid, otherwise nothing and the fault in aError.
template<typename Record>
std::optional<Record> IfValid(const JsonFields& aFields, Record& aRecord, std::string* aError)
{
  if (aFields.IsValid()) {
    return std::move(aRecord);
  }
  if (aError != nullptr) {
    *aError = aFields.Error();
  }
  return std::nullopt;
}

} // namespace

json ToJson(const JobDefinition& aDefinition)
{
  json record{ { "id", aDefinition.id },
               { "queue", aDefinition.queue },
               { "team", aDefinition.team },
               { "payload", aDefinition.payload },
               { "accepted_ms", aDefinition.acceptedAt.time_since_epoch().count() },
               { "steps", json::array() } };
  for (const StepSpec& step : aDefinition.steps) {
    record["steps"].push_back(ToJson(step));
  }
  if (aDefinition.rules) {
    record["rules"] = ToJson(*aDefinition.rules);
  }
  if (aDefinition.teamRules) {
    record["team_rules"] = ToJson(*aDefinition.teamRules);
  }
  if (aDefinition.occurrences > 0) {
    record["occurrences"] = aDefinition.occurrences;
    record["first_due_ms"] = aDefinition.firstDue.time_since_epoch().count();
    record["interval_us"] = aDefinition.interval.count();
  }
  return record;
}

std::optional<JobDefinition> JobDefinitionFromJson(const json& aRecord, std::string* aError)
{
  // Numbers out of range are clamped where earlier versions accepted them from callers.
  JsonFields fields(aRecord);
  fields.Require({ "id", "queue", "team", "payload", "accepted_ms", "steps" });
  JobDefinition definition;
  definition.id = fields.Text("id");
  definition.queue = fields.Text("queue");
  if (const json* rules = fields.Find("rules")) {
    JsonFields ruleFields(*rules);
    definition.rules = QueuePolicyFrom(definition.queue, ruleFields);
    fields.Adopt("rules", ruleFields);
  }
  definition.team = fields.Text("team");
  if (const json* rules = fields.Find("team_rules")) {
    JsonFields ruleFields(*rules);
    definition.teamRules = TeamRulesFrom(definition.team, ruleFields);
    fields.Adopt("team_rules", ruleFields);
  }
  definition.payload = fields.Text("payload");
  definition.acceptedAt = WallTimeFrom(fields, "accepted_ms");
  ReadItems(fields, "steps", [&](const json& aItem) {
    JsonFields step(aItem);
    definition.steps.push_back(
      StepSpecFrom(step, static_cast<std::uint32_t>(definition.steps.size())));
    fields.Adopt("steps", step);
  });
  if (definition.steps.size() > kMaxSteps) {
    fields.Fail("steps", "too many");
  }
  std::uint64_t tasks = 0;
  for (const StepSpec& step : definition.steps) {
    tasks += step.taskCount;
  }
  if (tasks > kMaxTasksOfJob) {
    fields.Fail("steps", "too many tasks");
  }
  definition.occurrences = fields.ClampedInteger<std::uint32_t>("occurrences", 0, kMaxOccurrences);
  definition.firstDue = WallTimeFrom(fields, "first_due_ms");
  definition.interval = fields.ClampedMicroseconds("interval_us", kMaxInterval);
  return IfValid(fields, definition, aError);
}

bool IsTombstone(const std::string& aText)
{
  return aText == kDefinitionTombstone || aText == kWithdrawnTombstone;
}

std::optional<JobDefinition> OpenDefinitionFromText(const std::string& aText, std::string* aError)
{
  if (IsTombstone(aText)) {
    return std::nullopt;
  }
  std::optional<json> parsed = ParseJson(aText);
  if (!parsed && aError != nullptr) {
    *aError = kJsonUnreadable;
  }
  return parsed ? JobDefinitionFromJson(*parsed, aError) : std::nullopt;
}

json ToJson(const JobProgress& aProgress)
{
  json record{ { "state", static_cast<int>(aProgress.state) } };
  bool isFinal =
    aProgress.state != DispatchState::Queued && aProgress.state != DispatchState::Running;
  if (isFinal) {
    record["finished_ms"] = aProgress.finishedAt.time_since_epoch().count();
  }
  if (aProgress.state == DispatchState::Completed) {
    return record; // No other part of a completed job is needed.
  }
  for (const StepProgress& step : aProgress.steps) {
    record["steps"].push_back(ToJson(step));
  }
  AddUnlessDefault(record, "first_occurrence", aProgress.firstOccurrence, 0U);
  AddUnlessDefault(record, "divided", aProgress.isDivided, false);
  return record;
}

std::optional<JobProgress> JobProgressFromJson(const json& aRecord, std::string* aError)
{
  JsonFields fields(aRecord);
  fields.Require({ "state" });
  JobProgress progress;
  progress.state = static_cast<DispatchState>(
    fields.Integer("state", 0, static_cast<int>(DispatchState::Cancelled)));
  progress.finishedAt = WallTimeFrom(fields, "finished_ms");
  progress.steps = StepsFrom(fields);
  progress.firstOccurrence = fields.Integer<std::uint32_t>("first_occurrence", 0, kMaxNumber);
  progress.isDivided = fields.Flag("divided");
  return IfValid(fields, progress, aError);
}

std::optional<JobProgress> JobProgressFromText(const std::string& aText, std::string* aError)
{
  std::optional<json> parsed = ParseJson(aText);
  if (!parsed && aError != nullptr) {
    *aError = kJsonUnreadable;
  }
  return parsed ? JobProgressFromJson(*parsed, aError) : std::nullopt;
}

std::string ProgressPartToText(const std::vector<StepProgress>& aSteps)
{
  json record = json::object();
  for (const StepProgress& step : aSteps) {
    if (!step.isDone) {
      record["steps"].push_back(ToJson(step));
      continue;
    }
    // Occurrence, first and last step of a run of steps that have succeeded.
    json& runs = record["done"];
    bool continuesLast = !runs.empty() && runs.back()[0] == step.occurrence &&
                         runs.back()[2].get<std::uint32_t>() + 1 == step.step;
    if (continuesLast) {
      runs.back()[2] = step.step;
    } else {
      runs.push_back(json::array({ step.occurrence, step.step, step.step }));
    }
  }
  return record.dump();
}

std::optional<std::vector<StepProgress>> ProgressPartFromText(const std::string& aText,
                                                              std::string* aError)
{
  std::optional<json> parsed = ParseJson(aText);
  if (!parsed) {
    if (aError != nullptr) {
      *aError = kJsonUnreadable;
    }
    return std::nullopt;
  }
  JsonFields fields(*parsed);
  std::vector<StepProgress> steps = StepsFrom(fields);
  ReadItems(fields, "done", [&](const json& aItem) {
    JsonFields run(aItem, 3);
    auto occurrence = run.Integer<std::uint32_t>(0, 0, kMaxOccurrences);
    auto first = run.Integer<std::uint32_t>(1, 0, kMaxSteps);
    auto last = run.Integer<std::uint32_t>(2, 0, kMaxSteps);
    for (std::uint32_t number = first; run.IsValid() && number <= last; ++number) {
      StepProgress step;
      step.occurrence = occurrence;
      step.step = number;
      step.isDone = true;
      steps.push_back(std::move(step));
    }
    fields.Adopt("done", run);
  });
  return IfValid(fields, steps, aError);
}

json ToJson(const AdviceRequest& aRequest)
{
  return { { "job", aRequest.step.job },
           { "occurrence", aRequest.step.occurrence },
           { "step", aRequest.step.step },
           { "workers", aRequest.workers },
           { "expected_us", aRequest.expected.count() } };
}

std::optional<AdviceRequest> AdviceRequestFromJson(const json& aRecord, std::string* aError)
{
  JsonFields fields(aRecord);
  fields.Require({ "job", "occurrence", "step", "workers", "expected_us" });
  AdviceRequest request;
  request.step = { fields.Text("job"),
                   fields.Integer<std::uint32_t>("occurrence", 0, kMaxNumber),
                   fields.Integer<std::uint32_t>("step", 0, kMaxNumber) };
  request.workers = TextsFrom(fields, "workers");
  request.expected = fields.Microseconds("expected_us");
  return IfValid(fields, request, aError);
}

} // namespace daisydrift::coordination
