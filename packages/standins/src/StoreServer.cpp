#include "daisydrift/standins/StoreServer.h"

#include "HttpListener.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kServerThreads = 96;
constexpr std::chrono::milliseconds kMaxWatchWait{ 30'000 };
/// Interval at which a waiting watch checks for expired leases.
constexpr std::chrono::milliseconds kLeaseCheckInterval{ 50 };

std::uint64_t NumberParameter(const httplib::Request& aRequest, const char* aName)
{
  return aRequest.has_param(aName)
           ? std::strtoull(aRequest.get_param_value(aName).c_str(), nullptr, 10)
           : 0;
}

std::string EncodeEntries(Revision aRevision, const std::vector<StoreEntry>& aEntries)
{
  Json list = Json::array();
  for (const StoreEntry& entry : aEntries) {
    list.push_back({ { "key", entry.key },
                     { "value", Json::binary({ entry.value.begin(), entry.value.end() }) },
                     { "revision", entry.revision } });
  }
  auto bytes = Json::to_cbor(Json{ { "revision", aRevision }, { "entries", list } });
  return { bytes.begin(), bytes.end() };
}

int StatusOf(std::error_code aError)
{
  if (aError == Errc::NotFound) {
    return 404;
  }
  if (aError == Errc::Conflict) {
    return 409;
  }
  if (aError == Errc::LeaseExpired) {
    return 410;
  }
  return 400;
}

} // namespace

struct StoreServer::State
{
  explicit State(StoreLimits aLimits)
    : limits(aLimits)
    , listener(kServerThreads)
  {
  }

  /// Applies delay, outage and rate limits. Returns false when the call is rejected; aResponse then
  /// has its status.
  bool Admit(bool aIsWrite, httplib::Response& aResponse);
  /// True when the response to the current write has to be lost.
  bool ShouldLoseResponse();
  void RegisterKeys();
  void RegisterLeases();
  void RegisterControl();
  void ServeWatch(const httplib::Request& aRequest, httplib::Response& aResponse);
  void Respond(std::error_code aError, httplib::Response& aResponse);
  void Finish(httplib::Response& aResponse);

  StoreLimits limits;
  SteadyClock clock;
  std::mutex mutex;
  std::condition_variable changed;
  StoreModel model;
  std::atomic<bool> isDown{ false };
  std::atomic<std::int64_t> delayMs{ 0 };
  std::atomic<std::uint64_t> loseResponsesEvery{ 0 };
  std::atomic<bool> isStopping{ false };
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t rejected = 0;
  std::uint64_t peakWritesPerSecond = 0;
  std::uint64_t peakReadsPerSecond = 0;
  TimePoint windowStart;
  std::uint64_t windowWrites = 0;
  std::uint64_t windowReads = 0;
  std::uint64_t waitingWatches = 0;
  HttpListener listener;
};

bool StoreServer::State::Admit(bool aIsWrite, httplib::Response& aResponse)
{
  if (std::int64_t delay = this->delayMs; delay > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(delay));
  }
  if (this->isDown) {
    aResponse.status = 503;
    return false;
  }
  std::lock_guard lock(this->mutex);
  TimePoint now = this->clock.Now();
  if (now - this->windowStart >= std::chrono::seconds(1)) {
    this->windowStart = now;
    this->windowWrites = 0;
    this->windowReads = 0;
  }
  std::uint64_t& count = aIsWrite ? this->windowWrites : this->windowReads;
  ++count;
  ++(aIsWrite ? this->writes : this->reads);
  this->peakWritesPerSecond = std::max(this->peakWritesPerSecond, this->windowWrites);
  this->peakReadsPerSecond = std::max(this->peakReadsPerSecond, this->windowReads);
  if (count > (aIsWrite ? this->limits.writesPerSecond : this->limits.readsPerSecond)) {
    ++this->rejected;
    aResponse.status = 429;
    return false;
  }
  return true;
}

bool StoreServer::State::ShouldLoseResponse()
{
  std::uint64_t interval = this->loseResponsesEvery;
  return interval != 0 && this->writes % interval == 0;
}

void StoreServer::State::Respond(std::error_code aError, httplib::Response& aResponse)
{
  aResponse.status = aError ? StatusOf(aError) : 200;
  if (this->ShouldLoseResponse()) {
    // The platform contract does not define 500, so the client can't tell whether the write took
    // effect.
    aResponse.status = 500;
    aResponse.headers.clear();
    aResponse.body.clear();
  }
}

void StoreServer::State::RegisterKeys()
{
  httplib::Server& server = this->listener.Server();
  server.Get("/v1/kv", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    if (!this->Admit(false, aResponse)) {
      return;
    }
    std::lock_guard lock(this->mutex);
    auto entries = this->model.List(aRequest.get_param_value("prefix"), this->clock.Now());
    aResponse.set_content(EncodeEntries(0, entries), "application/cbor");
  });
  server.Get("/v1/kv/(.+)", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    if (!this->Admit(false, aResponse)) {
      return;
    }
    std::lock_guard lock(this->mutex);
    Result<StoreEntry> entry = this->model.Get(aRequest.matches[1], this->clock.Now());
    if (!entry) {
      aResponse.status = StatusOf(entry.Error());
      return;
    }
    aResponse.set_header("Revision", std::to_string(entry->revision));
    aResponse.set_content(entry->value, "application/octet-stream");
  });
  server.Put("/v1/kv/(.+)", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    if (!this->Admit(true, aResponse)) {
      return;
    }
    std::lock_guard lock(this->mutex);
    Revision current = 0;
    Result<Revision> written = this->model.CompareAndSwap(aRequest.matches[1],
                                                          aRequest.body,
                                                          NumberParameter(aRequest, "expected"),
                                                          NumberParameter(aRequest, "lease"),
                                                          this->clock.Now(),
                                                          &current);
    aResponse.set_header("Revision", std::to_string(written ? *written : current));
    this->Respond(written.Error(), aResponse);
    this->changed.notify_all();
  });
  server.Delete("/v1/kv/(.+)",
                [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
                  if (!this->Admit(true, aResponse)) {
                    return;
                  }
                  std::lock_guard lock(this->mutex);
                  this->Respond(this->model.Delete(aRequest.matches[1],
                                                   NumberParameter(aRequest, "expected"),
                                                   this->clock.Now()),
                                aResponse);
                  this->changed.notify_all();
                });
  server.Get("/v1/watch", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    this->ServeWatch(aRequest, aResponse);
  });
}

void StoreServer::State::ServeWatch(const httplib::Request& aRequest, httplib::Response& aResponse)
{
  if (!this->Admit(false, aResponse)) {
    return;
  }
  std::string prefix = aRequest.get_param_value("prefix");
  Revision after = NumberParameter(aRequest, "after");
  auto wait =
    std::min(kMaxWatchWait, std::chrono::milliseconds(NumberParameter(aRequest, "wait_ms")));
  std::unique_lock lock(this->mutex);
  TimePoint end = this->clock.Now() + wait;
  ++this->waitingWatches;
  WatchResult result = this->model.ChangesSince(prefix, after, this->clock.Now());
  while (result.changes.empty() && this->clock.Now() < end && !this->isStopping && !this->isDown) {
    this->changed.wait_for(lock, kLeaseCheckInterval);
    result = this->model.ChangesSince(prefix, after, this->clock.Now());
  }
  --this->waitingWatches;
  if (this->isDown) {
    aResponse.status = 503;
    return;
  }
  aResponse.set_content(EncodeEntries(result.revision, result.changes), "application/cbor");
}

void StoreServer::State::RegisterLeases()
{
  httplib::Server& server = this->listener.Server();
  server.Post("/v1/leases", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
    if (!this->Admit(true, aResponse)) {
      return;
    }
    std::lock_guard lock(this->mutex);
    auto ttl = std::chrono::milliseconds(NumberParameter(aRequest, "ttl_ms"));
    if (ttl <= std::chrono::milliseconds::zero()) {
      aResponse.status = 400;
      return;
    }
    aResponse.set_content(std::to_string(this->model.GrantLease(ttl, this->clock.Now())),
                          "text/plain");
    this->Respond({}, aResponse);
  });
  server.Post(R"(/v1/leases/(\d+)/keepalive)",
              [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
                if (!this->Admit(true, aResponse)) {
                  return;
                }
                std::lock_guard lock(this->mutex);
                this->Respond(
                  this->model.RenewLease(std::stoull(aRequest.matches[1]), this->clock.Now()),
                  aResponse);
              });
  server.Delete(
    R"(/v1/leases/(\d+))", [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
      if (!this->Admit(true, aResponse)) {
        return;
      }
      std::lock_guard lock(this->mutex);
      this->Respond(this->model.RevokeLease(std::stoull(aRequest.matches[1]), this->clock.Now()),
                    aResponse);
      this->changed.notify_all();
    });
}

void StoreServer::State::RegisterControl()
{
  httplib::Server& server = this->listener.Server();
  server.Get("/v1/stats", [this](const httplib::Request&, httplib::Response& aResponse) {
    std::lock_guard lock(this->mutex);
    Json json = { { "writes", this->writes },
                  { "reads", this->reads },
                  { "rejected", this->rejected },
                  { "peak_writes_per_second", this->peakWritesPerSecond },
                  { "peak_reads_per_second", this->peakReadsPerSecond },
                  { "waiting_watches", this->waitingWatches } };
    aResponse.set_content(json.dump(), "application/json");
  });
  server.Post("/control/faults",
              [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
                Json json = Json::parse(aRequest.body, nullptr, false);
                if (!json.is_object()) {
                  aResponse.status = 400;
                  return;
                }
                this->isDown = json.value("down", false);
                this->delayMs = json.value("delay_ms", std::int64_t{ 0 });
                this->loseResponsesEvery = json.value("lose_answers_every", std::uint64_t{ 0 });
                aResponse.set_content("{}", "application/json");
                this->changed.notify_all();
              });
}

StoreServer::StoreServer(StoreLimits aLimits)
  : state(std::make_unique<State>(aLimits))
{
  this->state->listener.Server().set_payload_max_length(kMaxStoreValueBytes + 1024);
  this->state->RegisterKeys();
  this->state->RegisterLeases();
  this->state->RegisterControl();
}

StoreServer::~StoreServer()
{
  this->Stop();
}

bool StoreServer::Start(const Endpoint& aEndpoint)
{
  return this->state->listener.Start(aEndpoint);
}

const Endpoint& StoreServer::Address() const
{
  return this->state->listener.Address();
}

void StoreServer::Stop()
{
  this->state->isStopping = true;
  this->state->changed.notify_all();
  this->state->listener.Stop();
}

} // namespace daisydrift
