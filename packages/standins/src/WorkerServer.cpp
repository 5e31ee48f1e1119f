#include "daisydrift/standins/WorkerServer.h"

#include "HttpListener.h"

#include <nlohmann/json.hpp>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kServerThreads = 9;

TaskBehaviour ParseBehaviour(const std::string& aPayload)
{
  TaskBehaviour behaviour;
  Json json = Json::parse(aPayload, nullptr, false);
  if (!json.is_object()) {
    return behaviour;
  }
  if (json.contains("run_ms") && json["run_ms"].is_number_integer()) {
    behaviour.runTime = std::chrono::milliseconds(json["run_ms"].get<std::int64_t>());
  }
  if (json.contains("fail") && json["fail"].is_boolean()) {
    behaviour.succeeds = !json["fail"].get<bool>();
    behaviour.detail = "failure requested by the payload";
  }
  return behaviour;
}

Json ToJson(const Resources& aResources)
{
  return { { "milli_cores", aResources.milliCores },
           { "memory_mib", aResources.memoryMiB },
           { "accelerators", aResources.accelerators } };
}

const char* NameOf(WorkerEventKind aKind)
{
  switch (aKind) {
    case WorkerEventKind::Started:
      return "started";
    case WorkerEventKind::Succeeded:
      return "succeeded";
    case WorkerEventKind::Failed:
      return "failed";
    case WorkerEventKind::Stopped:
      return "stopped";
    case WorkerEventKind::Rejected:
      return "rejected";
    case WorkerEventKind::Checkpointed:
      return "checkpointed";
  }
  return "";
}

} // namespace

struct WorkerServer::State
{
  State(std::string aIncarnation, Resources aCapacity, std::chrono::milliseconds aInitialLease)
    : model(std::move(aIncarnation), aCapacity, aInitialLease)
    , listener(kServerThreads)
  {
  }

  void ServeSync(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    Result<SyncRequest> request = DecodeSyncRequest(aRequest.body);
    if (!request) {
      aResponse.status = 400;
      return;
    }
    std::lock_guard lock(this->mutex);
    Epoch highestEpoch = 0;
    Result<SyncReport> report = this->model.Sync(*request, this->clock.Now(), &highestEpoch);
    if (!report) {
      aResponse.status = 409;
      aResponse.set_content(Json{ { "epoch", highestEpoch } }.dump(), "application/json");
      return;
    }
    aResponse.set_content(EncodeSyncReport(*report), "application/json");
  }

  void ServeHistory(httplib::Response& aResponse)
  {
    std::lock_guard lock(this->mutex);
    this->model.Advance(this->clock.Now());
    Json entries = Json::array();
    for (const WorkerHistoryEntry& entry : this->model.History()) {
      Json item = { { "time_us", entry.time.time_since_epoch().count() },
                    { "kind", entry.isResized ? "resized" : NameOf(entry.kind) },
                    { "attempt", ToString(entry.attempt) } };
      if (entry.isResized || entry.kind == WorkerEventKind::Started) {
        item["limit"] = ToJson(entry.limit);
        item["payload"] = entry.payload;
      }
      entries.push_back(std::move(item));
    }
    const Resources& peak = this->model.PeakCommitment();
    aResponse.set_content(Json{ { "entries", entries },
                                { "capacity", ToJson(this->model.Capacity()) },
                                { "peak_milli_cores", peak.milliCores },
                                { "peak_memory_mib", peak.memoryMiB },
                                { "peak_accelerators", peak.accelerators },
                                { "running", this->model.RunningCount() } }
                            .dump(),
                          "application/json");
  }

  SteadyClock clock;
  std::mutex mutex;
  WorkerModel model;
  HttpListener listener;
};

WorkerServer::WorkerServer(std::string aIncarnation,
                           Resources aCapacity,
                           std::chrono::milliseconds aInitialLease)
  : state(std::make_unique<State>(std::move(aIncarnation), aCapacity, aInitialLease))
{
  State* self = this->state.get();
  self->model.SetBehaviour(
    [](const AttemptId&, const std::string& aPayload) { return ParseBehaviour(aPayload); });
  httplib::Server& server = self->listener.Server();
  server.Post("/v1/sync", [self](const httplib::Request& aRequest, httplib::Response& aResponse) {
    self->ServeSync(aRequest, aResponse);
  });
  server.Get("/control/history", [self](const httplib::Request&, httplib::Response& aResponse) {
    self->ServeHistory(aResponse);
  });
}

WorkerServer::~WorkerServer()
{
  this->Stop();
}

bool WorkerServer::Start(const Endpoint& aEndpoint)
{
  return this->state->listener.Start(aEndpoint);
}

const Endpoint& WorkerServer::Address() const
{
  return this->state->listener.Address();
}

void WorkerServer::Stop()
{
  this->state->listener.Stop();
}

} // namespace daisydrift
