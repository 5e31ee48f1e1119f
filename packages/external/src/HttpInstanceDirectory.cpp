#include "daisydrift/external/HttpInstanceDirectory.h"

#include "HttpConnections.h"

#include <nlohmann/json.hpp>

#include <set>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

constexpr const char* kKindNames[] = { "worker", "upstream", "entry" };
constexpr const char* kStateNames[] = { "live", "leaving", "gone" };

/// Index of aName in aNames; throws Json::exception when it is missing.
template<std::size_t Size>
int IndexOf(const char* const (&aNames)[Size], const std::string& aName)
{
  for (std::size_t i = 0; i < Size; ++i) {
    if (aName == aNames[i]) {
      return static_cast<int>(i);
    }
  }
  throw Json::other_error::create(501, "unknown name '" + aName + "'", nullptr);
}

InstanceInfo ToInstance(const Json& aJson)
{
  InstanceInfo instance;
  instance.id = aJson.at("id").get<std::string>();
  instance.kind =
    static_cast<InstanceKind>(IndexOf(kKindNames, aJson.at("kind").get<std::string>()));
  if (!ParseEndpoint(aJson.at("address").get<std::string>(), instance.endpoint)) {
    throw Json::other_error::create(501, "malformed address", nullptr);
  }
  instance.failureDomain = aJson.at("failure_domain").get<std::string>();
  instance.region = aJson.at("region").get<std::string>();
  instance.rack = aJson.value("rack", std::string());
  instance.service = aJson.value("service", std::string());
  instance.state =
    static_cast<InstanceState>(IndexOf(kStateNames, aJson.at("state").get<std::string>()));
  return instance;
}

} // namespace

std::string EncodeInstances(const std::vector<InstanceInfo>& aInstances)
{
  Json json = Json::array();
  for (const InstanceInfo& instance : aInstances) {
    json.push_back({ { "id", instance.id },
                     { "kind", kKindNames[static_cast<int>(instance.kind)] },
                     { "address", ToString(instance.endpoint) },
                     { "failure_domain", instance.failureDomain },
                     { "region", instance.region },
                     { "rack", instance.rack },
                     { "service", instance.service },
                     { "state", kStateNames[static_cast<int>(instance.state)] } });
  }
  return Json{ { "instances", json } }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<std::vector<InstanceInfo>> DecodeInstances(const std::string& aText)
{
  Json json = Json::parse(aText, nullptr, false);
  if (!json.is_object() || !json.contains("instances") || !json["instances"].is_array()) {
    return Errc::Corrupt;
  }
  std::vector<InstanceInfo> instances;
  try {
    for (const Json& item : json["instances"]) {
      instances.push_back(ToInstance(item));
    }
  } catch (const Json::exception&) {
    return Errc::Corrupt;
  }
  return instances;
}

HttpInstanceDirectory::HttpInstanceDirectory(Endpoint aEndpoint)
  : endpoint(std::move(aEndpoint))
  , connections(std::make_unique<HttpConnections>())
{
}

HttpInstanceDirectory::~HttpInstanceDirectory() = default;

Result<std::vector<InstanceInfo>> HttpInstanceDirectory::List(std::chrono::milliseconds aTimeout)
{
  httplib::Request request;
  request.method = "GET";
  request.path = "/v1/instances";
  HttpOutcome outcome = this->connections->Exchange(this->endpoint, std::move(request), aTimeout);
  if (outcome.error) {
    return outcome.error;
  }
  if (std::error_code error = ErrorFromStatus(outcome.response.status)) {
    return error;
  }
  return this->DecodeReadable(outcome.response.body);
}

Result<std::vector<InstanceInfo>> HttpInstanceDirectory::DecodeReadable(const std::string& aText)
{
  Json json = Json::parse(aText, nullptr, false);
  if (!json.is_object() || !json.contains("instances") || !json["instances"].is_array()) {
    return Errc::Corrupt;
  }
  std::map<std::string, InstanceInfo> listed;
  std::vector<InstanceInfo> instances;
  std::set<std::string> unreadable;
  for (const Json& item : json["instances"]) {
    try {
      instances.push_back(ToInstance(item));
      listed[instances.back().id] = instances.back();
    } catch (const Json::exception& exception) {
      bool hasId = item.is_object() && item.contains("id") && item["id"].is_string();
      unreadable.insert(hasId ? item["id"].get<std::string>() : std::string());
    }
  }
  std::lock_guard lock(this->mutex);
  // An item without an ID may stand for any instance that is not listed.
  bool isAnyUnknown = unreadable.contains("");
  for (const auto& [id, instance] : this->lastListed) {
    if (!listed.contains(id) && (isAnyUnknown || unreadable.contains(id))) {
      instances.push_back(instance);
      listed[id] = instance;
    }
  }
  this->lastListed = std::move(listed);
  if (unreadable != this->lastUnreadable) {
    this->lastUnreadable = unreadable;
    LogLine(unreadable.empty() ? LogLevel::Info : LogLevel::Error, "instances_unreadable")
      .Add("count", unreadable.size())
      .Add("first", unreadable.empty() ? std::string() : *unreadable.begin());
  }
  return instances;
}

} // namespace daisydrift
