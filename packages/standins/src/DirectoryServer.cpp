#include "daisydrift/standins/DirectoryServer.h"

#include "HttpListener.h"

#include <nlohmann/json.hpp>

namespace daisydrift {

namespace {

constexpr std::size_t kServerThreads = 24;

} // namespace

struct DirectoryServer::State
{
  explicit State(std::vector<InstanceInfo> aInstances)
    : instances(std::move(aInstances))
    , listener(kServerThreads)
  {
  }

  /// Changes the state of one instance; any state but "gone" and "leaving" means live. Returns
  /// false when the request is malformed or the ID is unknown.
  bool ChangeState(const std::string& aBody)
  {
    auto json = nlohmann::json::parse(aBody, nullptr, false);
    if (!json.is_object()) {
      return false;
    }
    std::string id = json.value("id", std::string());
    std::string stateName = json.value("state", std::string());
    std::lock_guard lock(this->mutex);
    for (InstanceInfo& instance : this->instances) {
      if (instance.id == id) {
        instance.state = stateName == "gone"      ? InstanceState::Gone
                         : stateName == "leaving" ? InstanceState::Leaving
                                                  : InstanceState::Live;
        return true;
      }
    }
    return false;
  }

  std::mutex mutex;
  std::vector<InstanceInfo> instances;
  HttpListener listener;
};

DirectoryServer::DirectoryServer(std::vector<InstanceInfo> aInstances)
  : state(std::make_unique<State>(std::move(aInstances)))
{
  State* self = this->state.get();
  httplib::Server& server = self->listener.Server();
  server.Get("/v1/instances", [self](const httplib::Request&, httplib::Response& aResponse) {
    std::lock_guard lock(self->mutex);
    aResponse.set_content(EncodeInstances(self->instances), "application/json");
  });
  server.Post("/control/state",
              [self](const httplib::Request& aRequest, httplib::Response& aResponse) {
                aResponse.status = self->ChangeState(aRequest.body) ? 200 : 404;
              });
}

DirectoryServer::~DirectoryServer()
{
  this->Stop();
}

bool DirectoryServer::Start(const Endpoint& aEndpoint)
{
  return this->state->listener.Start(aEndpoint);
}

const Endpoint& DirectoryServer::Address() const
{
  return this->state->listener.Address();
}

void DirectoryServer::SetInstances(std::vector<InstanceInfo> aInstances)
{
  std::lock_guard lock(this->state->mutex);
  this->state->instances = std::move(aInstances);
}

void DirectoryServer::Stop()
{
  this->state->listener.Stop();
}

} // namespace daisydrift
