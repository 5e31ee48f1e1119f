#include "RecordCodec.h"

namespace daisydrift::coordination {

using nlohmann::json;

namespace {

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

Resources ResourcesFromJson(const json& aRecord)
{
  return { aRecord.at(0), aRecord.at(1), aRecord.at(2) };
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

StepSpec StepSpecFromJson(const json& aRecord)
{
  StepSpec step;
  step.taskCount = aRecord.at("tasks");
  step.size = ResourcesFromJson(aRecord.at("size"));
  step.estimate = Duration(aRecord.at("estimate_us").get<Duration::rep>());
  step.dependencies = aRecord.value("after", std::vector<std::uint32_t>());
  step.canCheckpoint = aRecord.value("checkpoint", false);
  step.isGang = aRecord.value("gang", false);
  step.isRackLocal = aRecord.value("rack_local", false);
  step.allowsCopies = aRecord.value("copies", false);
  step.isService = aRecord.value("service", false);
  step.usesSpareCores = aRecord.value("spare_cores", false);
  step.requiredLabel = aRecord.value("label", "");
  step.dataRack = aRecord.value("data_rack", "");
  step.image = aRecord.value("image", "");
  step.maxPerWorker = aRecord.value("per_worker", 0U);
  step.maxUnavailable = aRecord.value("unavailable", 0U);
  step.tailLatencyTarget = Duration(aRecord.value("tail_us", Duration::rep(0)));
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
  addPairs("settled", aStep.lastCompletedRuns);
  addPairs("checkpoints", aStep.checkpoints);
  for (const OpenRun& open : aStep.open) {
    record["open"].push_back(json::array({ open.index, open.run, open.worker }));
  }
  return record;
}

StepProgress StepProgressFromJson(const json& aRecord)
{
  StepProgress step;
  step.occurrence = aRecord.at("occurrence");
  step.step = aRecord.at("step");
  step.succeeded = aRecord.value("succeeded", std::vector<std::uint32_t>());
  auto readPairs = [&aRecord](const char* aName, auto& aMap) {
    if (auto pairs = aRecord.find(aName); pairs != aRecord.end()) {
      for (const json& pair : *pairs) {
        pair.at(1).get_to(aMap[pair.at(0).get<std::uint32_t>()]);
      }
    }
  };
  readPairs("failures", step.failures);
  readPairs("settled", step.lastCompletedRuns);
  readPairs("checkpoints", step.checkpoints);
  if (auto open = aRecord.find("open"); open != aRecord.end()) {
    for (const json& run : *open) {
      step.open.push_back({ run.at(0), run.at(1), run.at(2) });
    }
  }
  return step;
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

QueuePolicy QueuePolicyFromJson(const QueueName& aName, const json& aRecord)
{
  QueuePolicy rules;
  rules.name = aName;
  rules.version = aRecord.at("version");
  rules.service = aRecord.at("service");
  rules.priority = aRecord.at("priority");
  rules.maxAttempts = aRecord.at("attempts");
  rules.stretchFactor = aRecord.at("stretch");
  rules.targetLatency = Duration(aRecord.at("target_us").get<Duration::rep>());
  if (auto advice = aRecord.find("advice_us"); advice != aRecord.end()) {
    rules.advice = AdvicePolicy{ Duration(advice->at(0).get<Duration::rep>()),
                                 Duration(advice->at(1).get<Duration::rep>()),
                                 Duration(advice->at(2).get<Duration::rep>()) };
  }
  return rules;
}

json ToJson(const TeamRules& aRules)
{
  return { { "version", aRules.version },
           { "weight", aRules.weight },
           { "ceiling", ToJson(aRules.ceiling) } };
}

TeamRules TeamRulesFromJson(const TeamName& aName, const json& aRecord)
{
  return {
    aName, aRecord.at("weight"), ResourcesFromJson(aRecord.at("ceiling")), aRecord.at("version")
  };
}

/// Runs a decoder that throws on malformed records.
template<typename Decoder>
auto Decode(const char* aKind, Decoder aDecoder) -> std::optional<decltype(aDecoder())>
{
  try {
    return aDecoder();
  } catch (const json::exception& error) {
    LogLine(LogLevel::Error, "record_unreadable").Add("kind", aKind).Add("error", error.what());
    return std::nullopt;
  }
}

} // namespace

json ToJson(const JobDefinition& aDefinition)
{
  json record{ { "id", aDefinition.id },
               { "queue", aDefinition.queue },
               { "team", aDefinition.team },
               { "payload", aDefinition.payload },
               { "accepted_ms", aDefinition.acceptedAt.time_since_epoch().count() } };
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

std::optional<JobDefinition> JobDefinitionFromJson(const json& aRecord)
{
  return Decode("job", [&aRecord] {
    JobDefinition definition;
    definition.id = aRecord.at("id");
    definition.queue = aRecord.at("queue");
    if (auto rules = aRecord.find("rules"); rules != aRecord.end()) {
      definition.rules = QueuePolicyFromJson(definition.queue, *rules);
    }
    definition.team = aRecord.at("team");
    if (auto rules = aRecord.find("team_rules"); rules != aRecord.end()) {
      definition.teamRules = TeamRulesFromJson(definition.team, *rules);
    }
    definition.payload = aRecord.at("payload");
    definition.acceptedAt =
      WallTime(std::chrono::milliseconds(aRecord.at("accepted_ms").get<std::int64_t>()));
    for (const json& step : aRecord.at("steps")) {
      definition.steps.push_back(StepSpecFromJson(step));
    }
    definition.occurrences = aRecord.value("occurrences", 0U);
    definition.firstDue =
      WallTime(std::chrono::milliseconds(aRecord.value("first_due_ms", std::int64_t(0))));
    definition.interval = Duration(aRecord.value("interval_us", Duration::rep(0)));
    return definition;
  });
}

std::optional<JobDefinition> OpenDefinitionFromText(const std::string& aText)
{
  if (aText == kDefinitionTombstone) {
    return std::nullopt;
  }
  std::optional<json> parsed = ParseJson(aText);
  return parsed ? JobDefinitionFromJson(*parsed) : std::nullopt;
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
  return record;
}

std::optional<JobProgress> JobProgressFromJson(const json& aRecord)
{
  int lastState = static_cast<int>(DispatchState::Cancelled);
  if (!aRecord.is_object() || aRecord.value("state", -1) < 0 ||
      aRecord.value("state", -1) > lastState) {
    LogLine(LogLevel::Error, "record_unreadable").Add("kind", "progress");
    return std::nullopt;
  }
  return Decode("progress", [&aRecord] {
    JobProgress progress;
    int state = aRecord.at("state");
    progress.state = static_cast<DispatchState>(state);
    progress.finishedAt =
      WallTime(std::chrono::milliseconds(aRecord.value("finished_ms", std::int64_t(0))));
    if (auto steps = aRecord.find("steps"); steps != aRecord.end()) {
      for (const json& step : *steps) {
        progress.steps.push_back(StepProgressFromJson(step));
      }
    }
    return progress;
  });
}

json ToJson(const AdviceRequest& aRequest)
{
  return { { "job", aRequest.step.job },
           { "occurrence", aRequest.step.occurrence },
           { "step", aRequest.step.step },
           { "workers", aRequest.workers },
           { "expected_us", aRequest.expected.count() } };
}

std::optional<AdviceRequest> AdviceRequestFromJson(const json& aRecord)
{
  return Decode("question", [&aRecord] {
    AdviceRequest request;
    request.step = { aRecord.at("job"), aRecord.at("occurrence"), aRecord.at("step") };
    request.workers = aRecord.at("workers").get<std::vector<WorkerId>>();
    request.expected = Duration(aRecord.at("expected_us").get<Duration::rep>());
    return request;
  });
}

} // namespace daisydrift::coordination
