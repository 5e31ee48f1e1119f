#include "FleetHarness.h"

#include "daisydrift/config.h"

#include <fcntl.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <fstream>
#include <sstream>

#ifndef DAISYDRIFTD_PATH
// This file is also linked into test programs that start no daemon.
#define DAISYDRIFTD_PATH ""
#endif

extern char** environ;

namespace daisydrift {

namespace {

using Json = nlohmann::json;
using namespace std::chrono_literals;

/// Timeout of every wait; reached only when something hangs.
constexpr std::chrono::seconds kHangTimeout{ 120 };
/// Maximum number of instances that one test starts, including replacements.
constexpr std::size_t kMaxInstances = 64;
constexpr const char* kRegion = "lutruwita";
constexpr const char* kDomains[] = { "hobart", "launceston", "burnie" };
constexpr Resources kWorkerCapacity{ 16'000, 65'536, 0 };

std::string ReadFile(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns the value of `key=` in a log line; "" when absent.
std::string LogValue(const std::string& aText, const std::string& aKey)
{
  auto start = aText.find(" " + aKey + "=");
  if (start == std::string::npos) {
    return "";
  }
  start += aKey.size() + 2;
  return aText.substr(start, aText.find_first_of(" \n", start) - start);
}

double NowMilliseconds()
{
  return static_cast<double>(SteadyClock().Now().time_since_epoch().count()) / 1000.0;
}

} // namespace

FleetHarness::FleetHarness(unsigned aInstances, unsigned aWorkers, unsigned aUpstreams)
{
  // Prevents reallocation: load threads hold references while instances are added.
  this->daemons.reserve(kMaxInstances);
  char pattern[] = "/tmp/daisydrift-test-XXXXXX";
  this->folder = mkdtemp(pattern);
  this->store.Start({ "127.0.0.1", 0 });
  for (unsigned i = 0; i < aWorkers; ++i) {
    this->workers.push_back(
      std::make_unique<WorkerServer>("incarnation-" + std::to_string(i), kWorkerCapacity, 15s));
    this->workers.back()->Start({ "127.0.0.1", 0 });
    InstanceInfo info;
    info.id = "worker-" + std::to_string(i);
    info.endpoint = this->workers.back()->Address();
    info.failureDomain = kDomains[i % 3];
    info.region = kRegion;
    info.rack = "rack-" + std::to_string(i);
    this->instances.push_back(info);
  }
  for (unsigned i = 0; i < aUpstreams; ++i) {
    this->upstreams.push_back(std::make_unique<UpstreamServer>("upstream-" + std::to_string(i), 8));
    this->upstreams.back()->Start({ "127.0.0.1", 0 });
    InstanceInfo info;
    info.id = "upstream-" + std::to_string(i);
    info.kind = InstanceKind::Upstream;
    info.endpoint = this->upstreams.back()->Address();
    info.failureDomain = kDomains[i % 3];
    info.region = kRegion;
    info.service = "desk";
    this->instances.push_back(info);
  }
  this->directory = std::make_unique<DirectoryServer>(this->instances);
  this->directory->Start({ "127.0.0.1", 0 });
  std::ofstream(this->folder + "/secret") << "secret-of-the-test\n";
  for (unsigned i = 0; i < aInstances; ++i) {
    this->StartInstance();
  }
}

FleetHarness::~FleetHarness()
{
  this->StopLoad();
  for (DaemonProcess& daemon : this->daemons) {
    if (!daemon.isStopped) {
      kill(daemon.pid, SIGKILL);
      kill(daemon.pid, SIGCONT);
      waitpid(daemon.pid, nullptr, 0);
    }
  }
}

void FleetHarness::WriteSettings(const std::string& aFile) const
{
  Json json = { { "region", kRegion },
                { "failure_domain", kDomains[this->daemons.size() % 3] },
                { "listen",
                  { { "address", "127.0.0.1" },
                    { "http_port", 0 },
                    { "operators_port", 0 },
                    { "rpc_port", 0 } } },
                { "store", { { "endpoints", { ToString(this->store.Address()) } } } },
                { "directory", { { "endpoint", ToString(this->directory->Address()) } } },
                { "operators", { { "key_digest", KeyDigest(this->operatorKey) } } },
                { "instances", { { "secret_file", this->folder + "/secret" } } } };
  std::ofstream(aFile) << json.dump(2);
}

std::size_t FleetHarness::StartInstance()
{
  DaemonProcess daemon;
  std::string base = this->folder + "/daemon-" + std::to_string(this->daemons.size());
  daemon.logFile = base + ".log";
  this->WriteSettings(base + ".json");
  std::string settings = base + ".json";
  const char* arguments[] = { DAISYDRIFTD_PATH, "--settings", settings.c_str(), nullptr };
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, 2, daemon.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn(
    &daemon.pid, DAISYDRIFTD_PATH, &actions, nullptr, const_cast<char**>(arguments), environ);
  posix_spawn_file_actions_destroy(&actions);
  WaitFor([&] { return this->ReadAddresses(daemon); });
  {
    std::lock_guard lock(this->mutex);
    this->daemons.push_back(daemon);
  }
  std::size_t index = this->daemons.size() - 1;
  this->Record("instance_started instance=" + daemon.name);
  WaitFor([&] { return this->Call(index, "GET", "/readyz").status == 200; });
  return index;
}

bool FleetHarness::ReadAddresses(DaemonProcess& aDaemon) const
{
  std::string log = ReadFile(aDaemon.logFile);
  auto line = log.find("event=started");
  if (line == std::string::npos || log.find('\n', line) == std::string::npos) {
    return false;
  }
  log = log.substr(line);
  aDaemon.name = LogValue(log, "instance");
  return ParseEndpoint(LogValue(log, "http"), aDaemon.http) &&
         ParseEndpoint(LogValue(log, "operators"), aDaemon.operators);
}

void FleetHarness::Signal(std::size_t aInstance, int aSignal)
{
  DaemonProcess& daemon = this->daemons[aInstance];
  if (aSignal == SIGKILL) {
    this->Record("instance_crashed instance=" + daemon.name);
  } else if (aSignal == SIGTERM) {
    this->Record("instance_stop_planned instance=" + daemon.name);
  }
  kill(daemon.pid, aSignal);
  if (aSignal == SIGKILL) {
    waitpid(daemon.pid, nullptr, 0);
    this->SetStopped(daemon);
  }
}

void FleetHarness::SetStopped(DaemonProcess& aDaemon)
{
  std::lock_guard lock(this->mutex);
  aDaemon.isStopped = true;
}

bool FleetHarness::IsStopped(std::size_t aInstance) const
{
  std::lock_guard lock(this->mutex);
  return this->daemons[aInstance].isStopped;
}

int FleetHarness::WaitForExit(std::size_t aInstance)
{
  DaemonProcess& daemon = this->daemons[aInstance];
  int status = 0;
  WaitFor([&] { return waitpid(daemon.pid, &status, WNOHANG) == daemon.pid; });
  this->SetStopped(daemon);
  this->Record("instance_stopped instance=" + daemon.name);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void FleetHarness::SetStoreFaults(const std::string& aJson)
{
  httplib::Client client(this->store.Address().address, this->store.Address().port);
  client.Post("/control/faults", aJson, "application/json");
}

CallResult FleetHarness::Call(std::size_t aInstance,
                              const std::string& aMethod,
                              const std::string& aPath,
                              const std::string& aBody,
                              const std::string& aTeam)
{
  const Endpoint& endpoint =
    aTeam.empty() ? this->daemons[aInstance].operators : this->daemons[aInstance].http;
  httplib::Client client(endpoint.address, endpoint.port);
  client.set_connection_timeout(5s);
  client.set_read_timeout(40s);
  httplib::Request request;
  request.method = aMethod;
  request.path = aPath;
  request.body = aBody;
  request.set_header("Authorization",
                     "Bearer " + (aTeam.empty() ? this->operatorKey : this->teamKey));
  request.set_header("Content-Type", "application/json");
  request.set_header("Daisydrift-Deadline-Ms", "10000");
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  CallResult result;
  if (!client.send(request, response, error)) {
    result.isConnectionRefused = error == httplib::Error::Connection;
    return result;
  }
  result.status = response.status;
  result.body = response.body;
  result.outcome = response.get_header_value("Daisydrift-Outcome");
  if (result.outcome.empty()) {
    Json json = Json::parse(response.body, nullptr, false);
    result.outcome = json.is_object() ? json.value("outcome", std::string()) : "";
  }
  return result;
}

void FleetHarness::SetUpFleet(unsigned aMaxTasks)
{
  Json edits = Json::array();
  for (const char* domain : kDomains) {
    edits.push_back({ { "put_failure_domain", { { "name", domain }, { "region", kRegion } } } });
  }
  edits.push_back({ { "put_team",
                      { { "name", "team" },
                        { "weight", 1 },
                        { "milli_cores", aMaxTasks * 1000 },
                        { "memory_mib", aMaxTasks * 1000 },
                        { "accelerators", 0 },
                        { "max_running_tasks", aMaxTasks },
                        { "open_queue", false } } } });
  edits.push_back({ { "put_service",
                      { { "name", "desk" },
                        { "slots_per_upstream", 8 },
                        { "connections_per_upstream", 64 },
                        { "open_to_all_teams", true },
                        { "teams", Json::array() } } } });
  Json request = {
    { "base_version", 0 }, { "actor", "test" }, { "edit_id", "set-up" }, { "edits", edits }
  };
  WaitFor([&] { return this->Call(0, "POST", "/v1/admin/config", request.dump()).status == 200; });
  std::string amount = std::to_string(aMaxTasks * 1000);
  this->Record("ceiling team=team tasks=" + std::to_string(aMaxTasks) + " milli_cores=" + amount +
               " memory_mib=" + amount + " accelerators=0");
  this->Record("key_issued key=k team=team");
  Json key = Json::parse(
    this->Call(0, "POST", "/v1/admin/keys", R"({"team": "team"})").body, nullptr, false);
  this->teamKey = key.is_object() ? key.value("key", std::string()) : "";
  auto isInForce = [&](std::size_t aInstance) {
    CallResult response =
      this->Call(aInstance, "GET", "/v1/services/desk/requests/warm-up", "", "team");
    return response.status == 200;
  };
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    WaitFor([&] { return isInForce(i); });
  }
  WaitFor([&] { return this->Leader().has_value(); });
  // An instance has evidence of a store outage only after it has read the seats of the others,
  // which happens with its first renewal.
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    WaitFor([&] {
      Json status = Json::parse(this->Call(i, "GET", "/v1/admin/status").body, nullptr, false);
      std::size_t responding = 0;
      for (const Json& instance : status.is_object() ? status["instances"] : Json::array()) {
        responding += instance.value("answers", false) ? 1 : 0;
      }
      return responding == this->daemons.size();
    });
  }
}

std::string FleetHarness::Submit(const std::string& aBody)
{
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->IsStopped(i)) {
      continue;
    }
    CallResult response = this->Call(i, "POST", "/v1/jobs", aBody, "team");
    Json json = Json::parse(response.body, nullptr, false);
    if (response.status == 202 && json.is_object()) {
      return json.value("job", std::string());
    }
  }
  return "";
}

std::string FleetHarness::JobState(const std::string& aJob)
{
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->IsStopped(i)) {
      continue;
    }
    CallResult response = this->Call(i, "GET", "/v1/jobs/" + aJob, "", "team");
    Json json = Json::parse(response.body, nullptr, false);
    if (response.status == 200 && json.is_object()) {
      return json.value("state", std::string());
    }
  }
  return "";
}

std::optional<std::size_t> FleetHarness::Leader()
{
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->IsStopped(i)) {
      continue;
    }
    CallResult response = this->Call(i, "GET", "/v1/admin/status");
    Json json = Json::parse(response.body, nullptr, false);
    std::string leader =
      json.is_object() && json["leader"].is_string() ? json["leader"].get<std::string>() : "";
    for (std::size_t j = 0; j < this->daemons.size(); ++j) {
      if (this->daemons[j].name == leader && !this->IsStopped(j)) {
        return j;
      }
    }
  }
  return std::nullopt;
}

bool FleetHarness::WaitFor(const std::function<bool()>& aCondition)
{
  SteadyClock clock;
  TimePoint end = clock.Now() + kHangTimeout;
  while (!aCondition()) {
    if (clock.Now() > end) {
      return false;
    }
    std::this_thread::sleep_for(50ms);
  }
  return true;
}

void FleetHarness::StartLoad(unsigned aThreads)
{
  this->isLoading = true;
  for (unsigned i = 0; i < aThreads; ++i) {
    this->load.emplace_back([this, i] { this->RunLoad(i); });
  }
}

void FleetHarness::StopLoad()
{
  this->isLoading = false;
  for (std::thread& thread : this->load) {
    thread.join();
  }
  this->load.clear();
}

void FleetHarness::RunLoad(unsigned aThread)
{
  for (unsigned n = 0; this->isLoading; ++n) {
    this->SendRequest("load-" + std::to_string(aThread) + "-" + std::to_string(n), n + aThread);
    std::this_thread::sleep_for(5ms);
  }
}

void FleetHarness::SendRequest(const std::string& aId, std::size_t aFirst)
{
  bool isRecorded = false;
  ++this->sent;
  std::string path = "/v1/services/desk/requests/check?work_ms=20&rid=" + aId;
  std::size_t count = 0;
  {
    std::lock_guard lock(this->mutex);
    count = this->daemons.size();
  }
  for (std::size_t i = 0; i < count; ++i) {
    std::size_t instance = (aFirst + i) % count;
    if (this->IsStopped(instance) || this->Call(instance, "GET", "/readyz").status != 200) {
      continue;
    }
    if (!isRecorded) {
      isRecorded = true;
      this->Record("request_sent request=" + aId +
                   " repeatable=false team=team key=k instance=" + this->daemons[instance].name);
    }
    CallResult response = this->Call(instance, "GET", path, "", "team");
    bool isNotRun =
      response.isConnectionRefused || (response.status == 503 && response.outcome == "not_run");
    if (isNotRun && i + 1 < count) {
      continue;
    }
    if (response.status == 0) {
      ++this->broken;
      this->Record("request_broken request=" + aId);
      return;
    }
    bool matchesRequest = response.body.find("\"request_id\":\"" + aId + "\"") != std::string::npos;
    this->successfulResponses += response.status == 200 && matchesRequest ? 1 : 0;
    std::string outcome = response.outcome.empty() ? "unknown" : response.outcome;
    this->Record("request_answered request=" + aId + " status=" + std::to_string(response.status) +
                 " outcome=" + outcome +
                 " complete=" + (response.status != 200 || matchesRequest ? "true" : "false"));
    return;
  }
  if (isRecorded) {
    this->Record("request_answered request=" + aId + " status=503 outcome=not_run complete=true");
  }
}

void FleetHarness::Record(const std::string& aEvent)
{
  std::lock_guard lock(this->mutex);
  auto space = aEvent.find(' ');
  this->history += "event=" + aEvent.substr(0, space) +
                   " at_ms=" + std::to_string(NowMilliseconds()) +
                   (space == std::string::npos ? "" : aEvent.substr(space)) + "\n";
}

StoreCounts FleetHarness::StoreCalls() const
{
  httplib::Client client(this->store.Address().address, this->store.Address().port);
  httplib::Result result = client.Get("/v1/stats");
  Json json = result ? Json::parse(result->body, nullptr, false) : Json::object();
  return { json.value("writes", std::uint64_t{ 0 }),
           json.value("reads", std::uint64_t{ 0 }),
           json.value("rejected", std::uint64_t{ 0 }),
           json.value("waiting_watches", std::uint64_t{ 0 }) };
}

std::size_t FleetHarness::TaskStarts() const
{
  std::ostringstream ignored;
  return CollectHistory({ this->instances }, ignored).taskStarts;
}

HistoryReport FleetHarness::Check()
{
  this->Record("end");
  std::ostringstream text;
  CollectHistory({ this->instances }, text);
  std::lock_guard lock(this->mutex);
  return CheckHistory(text.str() + this->history, "history");
}

} // namespace daisydrift
