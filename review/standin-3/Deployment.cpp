#include "Deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>
#include <sstream>
#include <utility>

namespace review {

namespace {
constexpr std::int64_t kMaxLeaseMs = 6000;
constexpr milliseconds kStopTime{ 50 };
constexpr milliseconds kUpkeepTime{ 2000 };
constexpr const char* kService = "desk";

std::int64_t Number(const json& aBody, const char* aName)
{
  auto found = aBody.find(aName);
  return found != aBody.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

void Reply(const Ref<HttpExchange>& aExchange, int aStatus, const json& aBody)
{
  aExchange->Reply({ aStatus, { { "Content-Type", "application/json" } }, aBody.dump() });
}

/// The next port of that address that is free. They lie below those that the system chooses.
unsigned short FreePort(const std::string& aAddress)
{
  static unsigned short next = 20000;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
  for (int tries = 0; tries < 1000; ++tries) {
    address.sin_port = htons(next++);
    int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    bool isFree = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(fd);
    if (isFree) {
      break;
    }
  }
  return ntohs(address.sin_port);
}

std::string Text(const SocketEndpoint& aEndpoint)
{
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}
} // namespace

Record::Record(AsioLoop& aLoop, const std::string& aFile)
  : loop(aLoop)
  , start(aLoop.Now())
  , file(aFile)
{
}

double Record::Seconds() const
{
  return std::chrono::duration<double>(this->loop.Now() - this->start).count();
}

void Record::Add(const std::string& aText)
{
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", this->Seconds());
  this->file << time << aText << std::endl;
}

void Record::Violation(const std::string& aText)
{
  ++this->violations;
  this->Add("BROKEN " + aText);
  std::cout << "BROKEN " << aText << std::endl;
}

Runner::Runner(AsioLoop& aLoop,
               Record& aRecord,
               Store& aStore,
               std::string aId,
               std::vector<std::string> aLabels,
               Amounts aCapacity)
  : loop(aLoop)
  , record(aRecord)
  , store(aStore)
  , id(std::move(aId))
  , labels(std::move(aLabels))
  , capacity(aCapacity)
  , born(aLoop.WallClockNow().time_since_epoch().count())
  , bornAt(aLoop.Now())
  , listener(aLoop, {}, [this](const Ref<HttpExchange>& aExchange) { this->Handle(aExchange); })
{
}

Runner::~Runner()
{
  *this->isAlive = false;
}

void Runner::Open()
{
  this->listener.Open({ "127.0.0.1", 0 });
  this->Register();
  this->CheckLease();
}

void Runner::Register()
{
  this->store.Put("servers/" + this->id,
                  json{ { "service", kService },
                        { "address", "127.0.0.1:" + std::to_string(this->listener.Port()) },
                        { "zone", "z0" },
                        { "version", "1" },
                        { "slots", 8 },
                        { "state", "ready" },
                        { "cold_remaining_ms", 0 },
                        { "sequence", ++this->sequence },
                        { "born", this->born },
                        { "labels", this->labels },
                        { "capacity",
                          { { "cpu", this->capacity.cpu },
                            { "mem_mb", this->capacity.memory },
                            { "gpu", 0 } } } }
                    .dump());
}

void Runner::Unregister()
{
  this->store.Remove("servers/" + this->id);
}

void Runner::Crash()
{
  this->record.Add("runner " + this->id + " ends with " + std::to_string(this->running.size()) +
                   " runs");
  this->isDown = true;
  ++this->life;
  this->running.clear();
  this->closed.clear();
  this->ends.clear();
  this->nextEnd = 1;
  this->fence = 0;
  this->leaseEnd = 0;
}

void Runner::Restart(std::vector<std::string> aLabels, Duration aEntryDelay)
{
  this->labels = std::move(aLabels);
  this->isDown = false;
  this->born = this->loop.WallClockNow().time_since_epoch().count();
  this->bornAt = this->loop.Now();
  this->sequence = 0;
  this->record.Add("runner " + this->id + " starts again, born " + std::to_string(this->born) +
                   ", labels " + json(this->labels).dump());
  this->loop.After(aEntryDelay, [this, alive = this->isAlive, now = this->life] {
    if (*alive && now == this->life) {
      this->Register();
      this->record.Add("runner " + this->id + " has written its entry");
    }
  });
}

std::int64_t Runner::ClockMs() const
{
  return std::chrono::duration_cast<milliseconds>(this->loop.Now() - this->bornAt).count();
}

void Runner::ExtendLease(const json& aBody)
{
  this->leaseEnd = std::max(this->leaseEnd,
                            std::min(Number(aBody, "deadline_ms"), this->ClockMs() + kMaxLeaseMs));
}

void Runner::CheckLease()
{
  if (!this->isDown && this->ClockMs() > this->leaseEnd) {
    auto lapsed = this->running;
    for (const auto& [task, run] : lapsed) {
      this->EndRun(task, run.number, "lapsed");
    }
  }
  this->loop.After(milliseconds(10), [this, alive = this->isAlive] {
    if (*alive) {
      this->CheckLease();
    }
  });
}

json Runner::Answer() const
{
  return { { "clock_ms", this->ClockMs() }, { "born", this->born } };
}

void Runner::Handle(const Ref<HttpExchange>& aExchange)
{
  if (this->isDown) {
    aExchange->Abort();
    return;
  }
  const daisydrift::HttpRequest& request = aExchange->Request();
  if (request.method == "GET") {
    aExchange->Reply({ 200, {}, "" });
    return;
  }
  std::optional<json> body = daisydrift::ParseJson(request.body);
  if (!body || !body->is_object()) {
    Reply(aExchange, 400, this->Answer());
    return;
  }
  if (daisydrift::FindHeader(request.headers, "X-Daisydrift-Expected-Instance") != this->id) {
    Reply(aExchange, 421, this->Answer());
    return;
  }
  std::int64_t token = Number(*body, "fencing_token");
  if (token < this->fence) {
    json answer = this->Answer();
    answer["reason"] = "fence";
    Reply(aExchange, 409, answer);
    return;
  }
  this->fence = token;
  if (request.target == "/run-start") {
    this->Start(aExchange, *body);
  } else if (request.target == "/run-stop") {
    this->Stop(aExchange, *body);
  } else if (request.target == "/hold") {
    this->Hold(aExchange, *body);
  } else {
    Reply(aExchange, request.target == "/pace" ? 200 : 404, this->Answer());
  }
}

void Runner::Start(const Ref<HttpExchange>& aExchange, const json& aBody)
{
  std::string task = aBody.value("task", "");
  std::int64_t number = Number(aBody, "run_id");
  json answer = this->Answer();
  bool isLate = Number(aBody, "deadline_ms") < this->ClockMs();
  auto present = this->running.find(task);
  if (present != this->running.end() && present->second.number == number) {
    this->ExtendLease(aBody);
    Reply(aExchange, 200, answer);
    return;
  }
  auto over = this->closed.find(task);
  bool isOld = (over != this->closed.end() && number <= over->second) ||
               (present != this->running.end() && number < present->second.number);
  if (isOld || isLate) {
    answer["reason"] = isOld ? "old" : "late";
    Reply(aExchange, 409, answer);
    return;
  }
  this->ExtendLease(aBody);
  std::istringstream spec(aBody.value("spec", ""));
  std::string word;
  std::int64_t run = 1000;
  spec >> word >> run;
  Duration duration = this->durationOf ? this->durationOf(task) : Duration(milliseconds(run));
  this->running[task] = { number, this->loop.Now(), duration };
  this->record.Add("start " + task + " run " + std::to_string(number) + " on " + this->id +
                   " fence " + std::to_string(this->fence));
  if (this->onStart) {
    this->onStart(*this, task);
  }
  this->loop.After(duration,
                   [this, alive = this->isAlive, task, number, now = this->life] {
                     if (*alive && now == this->life) {
                       this->EndRun(task, number, "done");
                     }
                   });
  Reply(aExchange, 200, answer);
}

void Runner::Stop(const Ref<HttpExchange>& aExchange, const json& aBody)
{
  std::string task = aBody.value("task", "");
  std::int64_t number = Number(aBody, "run_id");
  this->closed[task] = std::max(this->closed[task], number);
  auto present = this->running.find(task);
  if (present != this->running.end() && present->second.number == number) {
    this->loop.After(kStopTime, [this, alive = this->isAlive, task, number, now = this->life] {
      if (*alive && now == this->life) {
        this->EndRun(task, number, "stopped");
      }
    });
  }
  Reply(aExchange, 200, this->Answer());
}

void Runner::Hold(const Ref<HttpExchange>& aExchange, const json& aBody)
{
  if (aBody.contains("deadline_ms")) {
    this->ExtendLease(aBody);
  }
  std::int64_t lastSeen = Number(aBody, "last_seen");
  std::erase_if(this->ends, [lastSeen](const End& aEnd) { return aEnd.number <= lastSeen; });
  this->AnswerHold(
    aExchange, this->loop.Now() + milliseconds(Number(aBody, "wait_ms")), this->life);
}

void Runner::AnswerHold(const Ref<HttpExchange>& aExchange, TimePoint aDeadline, int aLife)
{
  if (this->isDown || aLife != this->life) {
    aExchange->Abort();
    return;
  }
  if (this->ends.empty() && this->loop.Now() < aDeadline) {
    this->loop.After(milliseconds(10), [this, alive = this->isAlive, aExchange, aDeadline, aLife] {
      if (*alive) {
        this->AnswerHold(aExchange, aDeadline, aLife);
      }
    });
    return;
  }
  json answer = this->Answer();
  answer["running"] = json::array();
  answer["finished"] = json::array();
  for (const auto& [task, run] : this->running) {
    Duration elapsed = this->loop.Now() - run.startedAt;
    double share = std::chrono::duration<double>(elapsed) / run.duration;
    std::string saved = this->checkpointOf ? this->checkpointOf(task, elapsed) : "";
    answer["running"].push_back(
      json::array({ task, run.number, saved, std::min(static_cast<int>(share * 100), 99), 0 }));
  }
  for (const End& end : this->ends) {
    if (answer["finished"].size() < 500) {
      answer["finished"].push_back(json::array({ end.number, end.task, end.run, end.how, "" }));
    }
  }
  Reply(aExchange, 200, answer);
}

void Runner::EndRun(const std::string& aTask, std::int64_t aNumber, const std::string& aHow)
{
  auto found = this->running.find(aTask);
  if (found == this->running.end() || found->second.number != aNumber) {
    return;
  }
  this->running.erase(found);
  this->closed[aTask] = std::max(this->closed[aTask], aNumber);
  this->ends.push_back({ this->nextEnd++, aTask, aNumber, aHow });
  this->record.Add("end " + aTask + " run " + std::to_string(aNumber) + " on " + this->id + " " +
                   aHow);
}

Instance::Instance(AsioLoop& aLoop,
                   Record& aRecord,
                   std::string aProgram,
                   std::string aFolder,
                   std::string aName,
                   std::string aAddress)
  : loop(aLoop)
  , record(aRecord)
  , program(std::move(aProgram))
  , folder(std::move(aFolder))
  , name(std::move(aName))
  , address(std::move(aAddress))
{
  for (unsigned short& port : this->ports) {
    port = FreePort(this->address);
  }
}

Instance::~Instance()
{
  this->Kill();
}

void Instance::WriteSettings(const SocketEndpoint& aStore, const SocketEndpoint& aMachines)
{
  // As deploy/instance.jsonc is rendered for a small deployment.
  std::ofstream file(this->folder + "/" + this->name + ".jsonc");
  file << "{ \"instance\": \"" << this->name << "\", \"failure_domain\": \"z0\",\n"
       << "  \"address\": \"" << this->address << "\", \"callers\": \"" << Text(this->Callers())
       << "\", \"readiness\": \"" << Text(this->Readiness()) << "\",\n"
       << "  \"peer_port\": " << this->ports[2] << ", \"metrics_port\": " << this->ports[3]
       << ", \"cores\": 0.25, \"max_descriptors\": 4100, \"memory_mib\": 260,\n"
       << "  \"store\": \"" << Text(aStore) << "\", \"machines\": \"" << Text(aMachines) << "\",\n"
       << "  \"preemption\": true, \"longest_lease_ms\": 6000, \"config_in_force_ms\": 2000,\n"
       << "  \"drain_in_force_ms\": 2000, \"order_pause_ms\": 3000, \"remote_penalty\": 2 }\n";
}

bool Instance::Start()
{
  std::string log = this->folder + "/" + this->name + ".log";
  std::string variable = "DAISYDRIFT_BOOT=" + this->folder + "/" + this->name + ".jsonc";
  std::string option = "--platform";
  std::array<char*, 3> arguments{ this->program.data(), option.data(), nullptr };
  std::array<char*, 2> environment{ variable.data(), nullptr };
  this->pid = ::fork();
  if (this->pid == 0) {
    // The process ends with the stand-in, also when that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execve(this->program.c_str(), arguments.data(), environment.data());
    ::_exit(127);
  }
  if (this->pid < 0) {
    this->pid = 0;
  }
  this->record.Add("instance " + this->name + " is started, pid " + std::to_string(this->pid));
  return this->pid != 0;
}

void Instance::Signal(int aSignal)
{
  if (this->pid != 0) {
    this->record.Add("signal " + std::to_string(aSignal) + " to " + this->name);
    ::kill(this->pid, aSignal);
  }
}

bool Instance::HasEnded()
{
  int status = 0;
  if (this->pid != 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid) {
    this->pid = 0;
    this->record.Add("instance " + this->name + " has ended, status " + std::to_string(status));
  }
  return this->pid == 0;
}

void Instance::Kill()
{
  if (this->pid != 0) {
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
    this->pid = 0;
  }
}

std::int64_t Instance::ResidentMib() const
{
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
  std::int64_t total = 0;
  std::int64_t resident = 0;
  file >> total >> resident;
  return resident * ::sysconf(_SC_PAGESIZE) / (1024 * 1024);
}

Machines::Machines(AsioLoop& aLoop, Record& aRecord)
  : loop(aLoop)
  , record(aRecord)
  , listener(aLoop, {}, [this](const Ref<HttpExchange>& aExchange) { this->Handle(aExchange); })
{
}

void Machines::Open()
{
  this->listener.Open({ "127.0.0.1", 0 });
}

void Machines::Add(const std::string& aMachine, Runner* aRunner)
{
  this->machines[aMachine].runner = aRunner;
}

void Machines::AddWave(std::int64_t aWave, std::vector<std::string> aMachines, std::size_t aMaximum)
{
  this->waves[aWave] = { std::move(aMachines), aMaximum };
}

std::size_t Machines::CountDown(std::int64_t aWave) const
{
  return static_cast<std::size_t>(
    std::count_if(this->machines.begin(), this->machines.end(), [aWave](const auto& aEntry) {
      return aEntry.second.state == "upkeep" && aEntry.second.wave == aWave;
    }));
}

bool Machines::HadUpkeep(const std::string& aMachine, std::int64_t aWave) const
{
  return this->machines.at(aMachine).done.count(aWave) != 0;
}

void Machines::Handle(const Ref<HttpExchange>& aExchange)
{
  const daisydrift::HttpRequest& request = aExchange->Request();
  if (request.method == "GET") {
    json list = json::array();
    for (const auto& [name, machine] : this->machines) {
      list.push_back({ { "machine", name },
                       { "pool", kService },
                       { "state", machine.state },
                       { "zone", "z0" },
                       { "labels", machine.runner->Labels() },
                       { "capacity", { { "cpu", 16000 }, { "mem_mb", 65536 }, { "gpu", 0 } } },
                       { "id", machine.state == "up" ? machine.runner->Id() : "" } });
    }
    if (auto action = std::exchange(this->onList, nullptr)) {
      action();
    }
    this->loop.After(this->delay, [aExchange, list] {
      Reply(aExchange, 200, { { "machines", list }, { "next_token", "" } });
    });
    return;
  }
  std::optional<json> body = daisydrift::ParseJson(request.body);
  std::string holder(daisydrift::FindHeader(request.headers, "X-Daisydrift-Lease-Holder"));
  std::string fence(daisydrift::FindHeader(request.headers, "X-Daisydrift-Fencing-Token"));
  if (request.target != "/machine-upkeep" || !body || !body->is_object() || fence.empty()) {
    Reply(aExchange, 400, json::object());
    return;
  }
  if (this->lateBy) {
    if (std::optional<Duration> late = this->lateBy(body->value("machine", ""), holder)) {
      this->record.Add("order for " + body->value("machine", "") + " from " + holder +
                       " gets no answer and is carried out later");
      this->loop.After(*late, [this, aExchange, body = *body, holder, fence] {
        int status = 0;
        json answer = this->Upkeep(body, holder, std::stoll(fence), status);
        this->record.Add("late order: " + std::to_string(status) + " " + answer.dump());
      });
      return;
    }
  }
  int status = 0;
  json answer = this->Upkeep(*body, holder, std::stoll(fence), status);
  this->loop.After(this->delay, [aExchange, status, answer] { Reply(aExchange, status, answer); });
}

json Machines::Upkeep(const json& aBody, const std::string& aHolder, std::int64_t aFence, int& aStatus)
{
  std::string name = aBody.value("machine", "");
  std::int64_t wave = Number(aBody, "wave");
  auto found = this->machines.find(name);
  auto known = this->waves.find(wave);
  std::string text = "upkeep of " + name + " in wave " + std::to_string(wave) + " ordered by " +
                     aHolder + ", fence " + std::to_string(aFence);
  if (found == this->machines.end()) {
    aStatus = 400;
    return json::object();
  }
  Machine& machine = found->second;
  if (aFence < machine.fence) {
    this->record.Add(text + ": 409 fence");
    aStatus = 409;
    return { { "reason", "fence" } };
  }
  machine.fence = aFence;
  bool isOf = known != this->waves.end() &&
              std::count(known->second.machines.begin(), known->second.machines.end(), name) > 0;
  aStatus = isOf ? 200 : 409;
  if (!isOf) {
    this->record.Add(text + ": 409 wave");
    return { { "reason", "wave" } };
  }
  if (machine.done.count(wave) != 0) {
    this->record.Add(text + ": 200, already done");
    return json::object();
  }
  if (machine.state != "up") {
    this->record.Add(text + ": 409 busy");
    aStatus = 409;
    return { { "reason", "busy" } };
  }
  std::size_t down = this->CountDown(wave);
  this->record.Add(text + ": begins, " + std::to_string(down) + " of at most " +
                   std::to_string(known->second.maximum) + " are down");
  if (down >= known->second.maximum) {
    this->record.Violation("LIMIT: the upkeep of " + name + " in wave " + std::to_string(wave) +
                           " begins while " + std::to_string(down) + " of at most " +
                           std::to_string(known->second.maximum) + " machines are down for theirs");
  }
  machine.state = "upkeep";
  machine.wave = wave;
  machine.done.insert(wave);
  machine.runner->Crash();
  machine.runner->Unregister();
  if (this->onUpkeep) {
    this->onUpkeep(name, wave, aHolder);
  }
  this->loop.After(kUpkeepTime, [this, name] {
    Machine& back = this->machines[name];
    back.state = "up";
    back.wave = 0;
    back.runner = this->newRunner(name);
    this->record.Add("machine " + name + " is up again with runner " + back.runner->Id());
  });
  return json::object();
}

Client::Client(AsioLoop& aLoop, Record& aRecord)
  : loop(aLoop)
  , record(aRecord)
  , http(aLoop, 32)
{
}

void Client::Call(const SocketEndpoint& aTo,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aKey,
                  const json& aBody,
                  Done aDone)
{
  // The Host field names the address, which the configuration gives as the queue's host.
  daisydrift::HttpRequest request{ aMethod,
                                   aPath,
                                   { { "Authorization", "Bearer " + aKey },
                                     { "X-Daisydrift-Deadline-Ms", "3000" } },
                                   "" };
  if (!aBody.is_null()) {
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = aBody.dump();
  }
  std::string text = aMethod + " " + aPath + " to port " + std::to_string(aTo.port);
  this->http.Send(aTo,
                  std::move(request),
                  milliseconds(3000),
                  [this, text, done = std::move(aDone)](
                    const daisydrift::Result<daisydrift::HttpResponse>& aResponse) {
                    int status = aResponse ? aResponse->status : 0;
                    json body = json::object();
                    if (aResponse) {
                      body = daisydrift::ParseJson(aResponse->body).value_or(json::object());
                    }
                    this->record.Add(text + ": " +
                                     (status == 0 ? "no answer" : std::to_string(status)) + " " +
                                     body.dump().substr(0, 100));
                    done(status, body);
                  });
}

Deployment::Deployment(const std::string& aProgram,
                       const std::string& aFolder,
                       const std::string& aRecordFile)
  : record(this->loop, aRecordFile)
  , store(this->loop, 1)
  , machines(this->loop, this->record)
  , client(this->loop, this->record)
  , program(aProgram)
  , folder(aFolder)
{
  // An address that only this run uses. A process id has at most 22 bits.
  auto pid = static_cast<unsigned>(::getpid());
  this->address = "127." + std::to_string(65 + ((pid >> 16U) & 63U)) + "." +
                  std::to_string((pid >> 8U) & 255U) + "." + std::to_string(pid & 255U);
  // run.sh ends a run that takes too long; the processes end with it.
  this->loop.OnSignal(SIGTERM, [this] { this->GiveUp("it was ended"); });
  this->loop.OnSignal(SIGINT, [this] { this->GiveUp("it was ended"); });
}

Deployment::~Deployment()
{
  for (auto& instance : this->instances) {
    instance->Kill();
  }
}

void Deployment::After(Duration aDelay, std::function<void()> aAction)
{
  this->loop.After(aDelay, std::move(aAction));
}

void Deployment::WriteConfig(std::int64_t aVersion,
                             const std::map<std::string, std::int64_t>& aTenants)
{
  json tenants = json::array();
  for (const auto& [name, ceiling] : aTenants) {
    tenants.push_back({ { "name", name },
                        { "weight", 100 },
                        { "maximum", { { "cpu", ceiling }, { "mem_mb", 0 }, { "gpu", 0 } } },
                        { "api_keys", { this->KeyOf(name) } } });
  }
  this->store.Put("op/config",
                  json{ { "version", aVersion },
                        { "routes",
                          { { { "name", "queue" },
                              { "host", this->address },
                              { "prefix", "/queue/" },
                              { "type", "non_idempotent" },
                              { "timeout_ms", 3000 },
                              { "target_latency_ms", 1200 },
                              { "priority", 0 },
                              { "service", kService },
                              { "max_attempts", 4 },
                              { "stretch_factor", 1.5 },
                              { "allow_anonymous", false } } } },
                        { "services", { { { "name", kService } } } },
                        { "limits", json::object() },
                        { "tenants", tenants } }
                    .dump());
}

Runner& Deployment::AddRunner(const std::string& aId,
                              std::vector<std::string> aLabels,
                              Amounts aCapacity)
{
  this->runners.push_back(std::make_unique<Runner>(
    this->loop, this->record, this->store, aId, std::move(aLabels), aCapacity));
  this->runners.back()->Open();
  return *this->runners.back();
}

void Deployment::Start(int aInstances, std::function<void()> aAction)
{
  this->store.Open();
  this->machines.Open();
  SocketEndpoint storeEndpoint{ "127.0.0.1", this->store.Port() };
  for (int number = 1; number <= aInstances; ++number) {
    this->instances.push_back(std::make_unique<Instance>(this->loop,
                                                         this->record,
                                                         this->program,
                                                         this->folder,
                                                         "i" + std::to_string(number),
                                                         this->address));
    this->instances.back()->WriteSettings(storeEndpoint, this->machines.Endpoint());
    if (!this->instances.back()->Start()) {
      this->After(milliseconds(0), [this] { this->GiveUp("the program can't be started"); });
      return;
    }
  }
  this->WaitForReady(std::move(aAction), 100);
}

void Deployment::WaitForReady(std::function<void()> aAction, int aTries)
{
  if (aTries == 0) {
    this->GiveUp("the instances don't get ready");
    return;
  }
  auto left = std::make_shared<std::size_t>(this->instances.size());
  auto ready = std::make_shared<std::size_t>(0);
  for (auto& instance : this->instances) {
    this->client.Call(
      instance->Readiness(),
      "GET",
      "/ready",
      "",
      nullptr,
      [this, left, ready, aAction, aTries](int aStatus, const json&) {
        *ready += aStatus == 200 ? 1 : 0;
        if (--*left > 0) {
          return;
        }
        this->FindLeader([this, isReady = *ready == this->instances.size(), aAction, aTries](
                           Instance* aLeader) {
          if (isReady && aLeader != nullptr) {
            this->After(milliseconds(2000), aAction);
          } else {
            this->After(milliseconds(200),
                        [this, aAction, aTries] { this->WaitForReady(aAction, aTries - 1); });
          }
        });
      });
  }
}

void Deployment::FindLeader(std::function<void(Instance*)> aDone)
{
  this->client.Call({ "127.0.0.1", this->store.Port() },
                    "GET",
                    "/kv-key?key=daisydrift/group/leader",
                    "",
                    nullptr,
                    [this, aDone](int aStatus, const json& aBody) {
                      Instance* leader = nullptr;
                      if (aStatus == 200) {
                        std::string value =
                          daisydrift::platform::DecodeBase64(aBody.value("value", "")).value_or("");
                        json document = daisydrift::ParseJson(value).value_or(json::object());
                        for (auto& instance : this->instances) {
                          if (instance->Name() == document.value("name", "")) {
                            leader = instance.get();
                          }
                        }
                      }
                      aDone(leader);
                    });
}

void Deployment::Submit(const std::string& aTenant,
                        const std::string& aJob,
                        const json& aBody,
                        std::function<void(int)> aDone,
                        int aTries,
                        const Instance* aAvoided)
{
  Instance* next = this->instances[this->nextInstance++ % this->instances.size()].get();
  if (next == aAvoided) {
    next = this->instances[this->nextInstance++ % this->instances.size()].get();
  }
  Instance& to = *next;
  this->client.Call(to.Callers(),
                    "POST",
                    "/queue/" + aJob,
                    this->KeyOf(aTenant),
                    aBody,
                    [=, this](int aStatus, const json&) {
                      bool isFinal = (aStatus >= 200 && aStatus < 300) ||
                                     (aStatus >= 400 && aStatus < 500 && aStatus != 429);
                      if (isFinal || aTries <= 1) {
                        aDone(aStatus);
                        return;
                      }
                      this->After(milliseconds(500), [=, this] {
                        this->Submit(aTenant, aJob, aBody, aDone, aTries - 1, aAvoided);
                      });
                    });
}

void Deployment::State(const std::string& aTenant,
                       const std::string& aJob,
                       std::function<void(const std::string&)> aDone,
                       int aTries)
{
  Instance& to = *this->instances[this->nextInstance++ % this->instances.size()];
  this->client.Call(to.Callers(),
                    "GET",
                    "/queue/" + aJob,
                    this->KeyOf(aTenant),
                    nullptr,
                    [=, this](int aStatus, const json& aAnswer) {
                      if (aStatus == 200) {
                        aDone(aAnswer.value("state", ""));
                      } else if (aStatus == 410) {
                        aDone("410");
                      } else if (aTries <= 1) {
                        aDone("");
                      } else {
                        this->After(milliseconds(200), [=, this] {
                          this->State(aTenant, aJob, aDone, aTries - 1);
                        });
                      }
                    });
}

void Deployment::Finish()
{
  this->exitCode = this->record.HasViolations() ? 1 : 0;
  this->record.Add(this->exitCode == 1 ? "result: the rule was broken" : "result: the rule held");
  std::cout << (this->exitCode == 1 ? "the rule was broken" : "the rule held") << std::endl;
  for (auto& instance : this->instances) {
    instance->Kill();
  }
  this->loop.Stop();
}

void Deployment::GiveUp(const std::string& aWhy)
{
  this->exitCode = 2;
  this->record.Add("the case could not run: " + aWhy);
  std::cout << "the case could not run: " << aWhy << std::endl;
  for (auto& instance : this->instances) {
    instance->Kill();
  }
  this->loop.Stop();
}

} // namespace review
