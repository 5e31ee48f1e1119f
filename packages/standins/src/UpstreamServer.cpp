#include "daisydrift/standins/UpstreamServer.h"

#include "HttpListener.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

/// More than the 64 connections of the platform contract, so that an excess shows up in the counts
/// instead of being refused.
constexpr std::size_t kServerThreads = 72;
/// Maximum time that a hanging request is held.
constexpr std::chrono::seconds kMaxHangTime{ 60 };

} // namespace

struct UpstreamServer::State
{
  State(std::string aName, std::uint32_t aSlots)
    : name(std::move(aName))
    , slots(aSlots)
    , listener(kServerThreads)
  {
  }

  /// Acquires a slot; returns false when all are in use.
  bool AcquireSlot(const std::string& aRequestId)
  {
    std::lock_guard lock(this->mutex);
    if (this->busySlots >= this->slots) {
      ++this->refusedRequests;
      return false;
    }
    ++this->busySlots;
    this->peakBusySlots = std::max(this->peakBusySlots, this->busySlots);
    ++this->startedRequests;
    if (!aRequestId.empty()) {
      ++this->startsByRequest[aRequestId];
      this->RecordHistory("start", aRequestId);
    }
    return true;
  }

  void ReleaseSlot(const std::string& aRequestId)
  {
    std::lock_guard lock(this->mutex);
    --this->busySlots;
    if (!aRequestId.empty()) {
      this->RecordHistory("end", aRequestId);
    }
  }

  /// Adds an entry to the history. The caller holds the lock.
  void RecordHistory(const char* aKind, const std::string& aRequestId)
  {
    this->history.push_back({ { "time_us", this->clock.Now().time_since_epoch().count() },
                              { "kind", aKind },
                              { "request", aRequestId } });
  }

  /// Holds a request until its deadline, but at most kMaxHangTime; a real upstream gives up at the
  /// deadline, too.
  void Hang(const httplib::Request& aRequest)
  {
    std::chrono::milliseconds limit = kMaxHangTime;
    if (aRequest.has_header("Daisydrift-Deadline-Ms")) {
      auto left =
        std::strtoll(aRequest.get_header_value("Daisydrift-Deadline-Ms").c_str(), nullptr, 10);
      limit = std::min(limit, std::chrono::milliseconds(left));
    }
    for (auto waited = std::chrono::milliseconds(0); waited < limit && !this->isStopping;
         waited += std::chrono::milliseconds(50)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }

  void Serve(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    std::string mode = this->Mode();
    std::string requestId = aRequest.has_param("rid") ? aRequest.get_param_value("rid")
                                                      : aRequest.get_header_value("Request-Id");
    if (mode == "leaving" || !this->AcquireSlot(requestId)) {
      aResponse.status = 503;
      aResponse.set_header(kNotStartedHeader, "1");
      return;
    }
    if (mode == "hang") {
      this->Hang(aRequest);
    }
    if (aRequest.has_param("work_ms")) {
      auto work = std::strtoll(aRequest.get_param_value("work_ms").c_str(), nullptr, 10);
      std::this_thread::sleep_for(std::chrono::milliseconds(std::clamp(work, 0LL, 30'000LL)));
    }
    aResponse.status = mode == "error" ? 500 : 200;
    Json content = { { "upstream", this->name },
                     { "method", aRequest.method },
                     { "target", aRequest.target },
                     { "request_id", requestId },
                     { "body", aRequest.body } };
    aResponse.set_content(content.dump(-1, ' ', false, Json::error_handler_t::replace),
                          "application/json");
    this->ReleaseSlot(requestId);
  }

  std::string Mode()
  {
    std::lock_guard lock(this->mutex);
    return this->mode;
  }

  void ServeStats(httplib::Response& aResponse)
  {
    std::lock_guard lock(this->mutex);
    std::uint64_t repeatedRequests = 0;
    for (const auto& [id, count] : this->startsByRequest) {
      repeatedRequests += count > 1 ? 1 : 0;
    }
    aResponse.set_content(Json{ { "upstream", this->name },
                                { "started", this->startedRequests },
                                { "refused", this->refusedRequests },
                                { "busy", this->busySlots },
                                { "peak_busy", this->peakBusySlots },
                                { "requests_started_twice", repeatedRequests },
                                { "slots", this->slots },
                                { "starts_by_request", this->startsByRequest },
                                { "history", this->history } }
                            .dump(),
                          "application/json");
  }

  std::string name;
  std::uint32_t slots;
  std::mutex mutex;
  std::string mode = "ok";
  std::uint32_t busySlots = 0;
  std::uint32_t peakBusySlots = 0;
  SteadyClock clock;
  Json history = Json::array();
  std::uint64_t startedRequests = 0;
  std::uint64_t refusedRequests = 0;
  std::map<std::string, std::uint64_t> startsByRequest;
  std::atomic<bool> isStopping{ false };
  HttpListener listener;
};

UpstreamServer::UpstreamServer(std::string aName, std::uint32_t aSlots)
  : state(std::make_unique<State>(std::move(aName), aSlots))
{
  State* self = this->state.get();
  httplib::Server& server = self->listener.Server();
  server.Get("/healthz", [](const httplib::Request&, httplib::Response& aResponse) {
    aResponse.set_content("ok", "text/plain");
  });
  server.Get("/control/stats", [self](const httplib::Request&, httplib::Response& aResponse) {
    self->ServeStats(aResponse);
  });
  server.Post("/control/mode",
              [self](const httplib::Request& aRequest, httplib::Response& aResponse) {
                Json json = Json::parse(aRequest.body, nullptr, false);
                std::lock_guard lock(self->mutex);
                self->mode = json.is_object() ? json.value("mode", std::string("ok")) : "ok";
                aResponse.set_content("{}", "application/json");
              });
  auto serve = [self](const httplib::Request& aRequest, httplib::Response& aResponse) {
    self->Serve(aRequest, aResponse);
  };
  server.Get(".*", serve);
  server.Post(".*", serve);
  server.Put(".*", serve);
  server.Delete(".*", serve);
  server.Patch(".*", serve);
}

UpstreamServer::~UpstreamServer()
{
  this->Stop();
}

bool UpstreamServer::Start(const Endpoint& aEndpoint)
{
  return this->state->listener.Start(aEndpoint);
}

const Endpoint& UpstreamServer::Address() const
{
  return this->state->listener.Address();
}

void UpstreamServer::Stop()
{
  this->state->isStopping = true;
  this->state->listener.Stop();
}

} // namespace daisydrift
