#include "daisydrift/external/HttpWorkerClient.h"

#include "HttpConnections.h"
#include "JsonFields.h"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<WorkerCommandKind, const char*>, 4> kCommandNames = { {
  { WorkerCommandKind::Start, "start" },
  { WorkerCommandKind::Stop, "stop" },
  { WorkerCommandKind::Checkpoint, "checkpoint" },
  { WorkerCommandKind::Throttle, "throttle" },
} };

constexpr std::array<std::pair<WorkerEventKind, const char*>, 6> kEventNames = { {
  { WorkerEventKind::Started, "started" },
  { WorkerEventKind::Succeeded, "succeeded" },
  { WorkerEventKind::Failed, "failed" },
  { WorkerEventKind::Stopped, "stopped" },
  { WorkerEventKind::Rejected, "rejected" },
  { WorkerEventKind::Checkpointed, "checkpointed" },
} };

template<typename Kind, std::size_t Size>
const char* NameOf(const std::array<std::pair<Kind, const char*>, Size>& aNames, Kind aKind)
{
  for (const auto& [kind, name] : aNames) {
    if (kind == aKind) {
      return name;
    }
  }
  return "";
}

template<typename Kind, std::size_t Size>
Kind KindOf(const std::array<std::pair<Kind, const char*>, Size>& aNames, const std::string& aName)
{
  for (const auto& [kind, name] : aNames) {
    if (aName == name) {
      return kind;
    }
  }
  throw Json::other_error::create(501, "unknown kind '" + aName + "'", nullptr);
}

Json ToJson(const Resources& aResources)
{
  return { { "milli_cores", aResources.milliCores },
           { "memory_mib", aResources.memoryMiB },
           { "accelerators", aResources.accelerators } };
}

Resources ToResources(const Json& aJson)
{
  return { AmountField(aJson, "milli_cores"),
           AmountField(aJson, "memory_mib"),
           AmountField(aJson, "accelerators") };
}

AttemptId ToAttempt(const Json& aJson)
{
  AttemptId attempt;
  if (!ParseAttemptId(aJson.get<std::string>(), attempt)) {
    throw Json::other_error::create(501, "malformed attempt", nullptr);
  }
  return attempt;
}

/// Parses aText as a JSON object and converts it by aReadObject. Errors: Corrupt (malformed text or
/// content).
template<typename Value, typename ReadObject>
Result<Value> DecodeObject(const std::string& aText, ReadObject aReadObject)
{
  Json json = Json::parse(aText, nullptr, false);
  if (!json.is_object()) {
    return Errc::Corrupt;
  }
  try {
    return aReadObject(json);
  } catch (const Json::exception&) {
    return Errc::Corrupt;
  }
}

} // namespace

std::string EncodeSyncRequest(const SyncRequest& aRequest)
{
  Json json = { { "epoch", aRequest.epoch },
                { "incarnation", aRequest.incarnation },
                { "observed_report", aRequest.observedReport },
                { "acknowledged_event", aRequest.acknowledgedEvent },
                { "renew_ms", aRequest.renewFor.count() },
                { "commands", Json::array() } };
  for (const WorkerCommand& command : aRequest.commands) {
    json["commands"].push_back({ { "kind", NameOf(kCommandNames, command.kind) },
                                 { "attempt", ToString(command.attempt) },
                                 { "limit", ToJson(command.limit) },
                                 { "payload", command.payload },
                                 { "grace_ms", command.grace.count() } });
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<SyncRequest> DecodeSyncRequest(const std::string& aText)
{
  return DecodeObject<SyncRequest>(aText, [](const Json& aJson) {
    SyncRequest request;
    request.epoch = UnsignedField(aJson, "epoch");
    request.incarnation = aJson.at("incarnation").get<std::string>();
    request.observedReport = UnsignedField(aJson, "observed_report");
    request.acknowledgedEvent = UnsignedField(aJson, "acknowledged_event");
    request.renewFor = std::chrono::milliseconds(AmountField(aJson, "renew_ms"));
    for (const Json& item : aJson.at("commands")) {
      WorkerCommand command;
      command.kind = KindOf(kCommandNames, item.at("kind").get<std::string>());
      command.attempt = ToAttempt(item.at("attempt"));
      command.limit = ToResources(item.at("limit"));
      command.payload = item.at("payload").get<std::string>();
      command.grace = std::chrono::milliseconds(AmountField(item, "grace_ms"));
      request.commands.push_back(std::move(command));
    }
    return request;
  });
}

std::string EncodeSyncReport(const SyncReport& aReport)
{
  Json json = { { "incarnation", aReport.incarnation },
                { "number", aReport.number },
                { "capacity", ToJson(aReport.capacity) },
                { "running", Json::array() },
                { "events", Json::array() } };
  for (const RunningAttempt& running : aReport.running) {
    json["running"].push_back({ { "attempt", ToString(running.attempt) },
                                { "limit", ToJson(running.limit) },
                                { "usage", ToJson(running.usage) } });
  }
  for (const WorkerEvent& event : aReport.events) {
    json["events"].push_back({ { "number", event.number },
                               { "kind", NameOf(kEventNames, event.kind) },
                               { "attempt", ToString(event.attempt) },
                               { "detail", event.detail } });
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<SyncReport> DecodeSyncReport(const std::string& aText)
{
  return DecodeObject<SyncReport>(aText, [](const Json& aJson) {
    SyncReport report;
    report.incarnation = aJson.at("incarnation").get<std::string>();
    report.number = UnsignedField(aJson, "number");
    report.capacity = ToResources(aJson.at("capacity"));
    for (const Json& item : aJson.at("running")) {
      report.running.push_back({ ToAttempt(item.at("attempt")),
                                 ToResources(item.at("limit")),
                                 ToResources(item.at("usage")) });
    }
    for (const Json& item : aJson.at("events")) {
      report.events.push_back({ UnsignedField(item, "number"),
                                KindOf(kEventNames, item.at("kind").get<std::string>()),
                                ToAttempt(item.at("attempt")),
                                item.at("detail").get<std::string>() });
    }
    return report;
  });
}

HttpWorkerClient::HttpWorkerClient()
  : connections(std::make_unique<HttpConnections>())
{
}

HttpWorkerClient::~HttpWorkerClient() = default;

Result<SyncReport> HttpWorkerClient::Sync(const Endpoint& aEndpoint,
                                          const SyncRequest& aRequest,
                                          std::chrono::milliseconds aTimeout)
{
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/sync";
  request.set_header("Content-Type", "application/json");
  request.body = EncodeSyncRequest(aRequest);
  HttpOutcome outcome = this->connections->Exchange(aEndpoint, std::move(request), aTimeout);
  if (outcome.error) {
    return outcome.error;
  }
  if (outcome.response.status == 409) {
    return Errc::Fenced;
  }
  if (std::error_code error = ErrorFromStatus(outcome.response.status)) {
    return error;
  }
  return DecodeSyncReport(outcome.response.body);
}

} // namespace daisydrift
