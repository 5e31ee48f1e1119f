#include "Standin.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <tuple>

namespace review {

using daisydrift::Result;

namespace {
std::int64_t Number(const json& aObject, const char* aName)
{
  auto found = aObject.find(aName);
  return found != aObject.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

std::string JobOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.find('.'));
}

/// A loopback address that only this run uses, so that its instances meet neither those of other
/// runs nor ports that the system chooses on 127.0.0.1. A process id has at most 22 bits.
std::string AddressOfRun()
{
  in_addr address{};
  address.s_addr =
    htonl((127U << 24U) + (128U << 16U) + (static_cast<unsigned>(::getpid()) & 0x3fffffU));
  char text[INET_ADDRSTRLEN];
  ::inet_ntop(AF_INET, &address, text, sizeof(text));
  return text;
}

/// Ports of the first instance; those of the others follow. The system chooses higher ports.
constexpr int kFirstPort = 20000;
constexpr int kPortsPerInstance = 4;
} // namespace

void Record::Add(const std::string& aLine)
{
  auto now = std::chrono::steady_clock::now() - this->startedAt;
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", std::chrono::duration<double>(now).count());
  this->file << time << aLine << std::endl;
}

void Record::Violation(const std::string& aLine)
{
  ++this->violations;
  if (this->violations <= 20) {
    this->Add("BROKEN " + aLine);
    std::cout << "BROKEN " << aLine << std::endl;
  }
}

Runner::Runner(World& aWorld,
               daisydrift::soak::SoakStore& aStore,
               std::string aId,
               std::string aKind)
  : world(aWorld)
  , store(aStore)
  , id(std::move(aId))
  , kind(std::move(aKind))
  , born(aWorld.loop.WallClockNow().time_since_epoch().count())
  , bornAt(aWorld.loop.Now())
{
  this->Tick();
}

bool Runner::Open()
{
  this->Listen();
  return this->port != 0;
}

void Runner::Listen()
{
  this->listener = std::make_unique<daisydrift::HttpListener>(
    this->world.loop, daisydrift::HttpServerLimits{}, [this](const Ref<HttpExchange>& aExchange) {
      this->Handle(aExchange);
    });
  std::error_code error = this->listener->Open({ "127.0.0.1", this->port });
  if (error) {
    std::cerr << "runner's port: " << error.message() << "\n";
    return;
  }
  this->port = this->listener->Port();
}

void Runner::Beat()
{
  ++this->beatTimer;
  if (this->isCut || this->isDown) {
    return;
  }
  json entry{ { "service", "desk" },
              { "address", "127.0.0.1:" + std::to_string(this->port) },
              { "zone", "z0" },
              { "version", "v1" },
              { "slots", 8 },
              { "state", this->state },
              { "cold_remaining_ms", 0 },
              { "sequence", ++this->sequence },
              { "born", this->born },
              { "clock_ms", this->Clock() },
              { "labels", json::array({ this->kind, "r0" }) } };
  entry["capacity"] = { { "cpu", this->capacityMilliCores }, { "mem_mb", 65536 }, { "gpu", 0 } };
  if (this->state == "draining") {
    entry["remaining_ms"] = this->remainingMs;
  }
  this->store.Put("servers/" + this->id, entry.dump());
  this->isListed = true;
  this->lastBeat = this->world.loop.Now();
  this->ScheduleBeat(kHeartbeat);
}

void Runner::ScheduleBeat(Duration aDelay)
{
  this->world.loop.After(aDelay, [this, timer = this->beatTimer] {
    if (timer == this->beatTimer) {
      this->Beat();
    }
  });
}

void Runner::SetDraining(int aRemainingMs)
{
  this->state = "draining";
  this->remainingMs = aRemainingMs;
  this->Beat();
}

void Runner::SetGrey(bool aIsGrey)
{
  this->isGrey = aIsGrey;
  this->world.record.Add(this->id + (aIsGrey ? " fails all that it runs" : " is sound again"));
  if (aIsGrey) {
    std::vector<std::string> failing;
    for (const auto& [task, run] : this->running) {
      failing.push_back(task);
    }
    for (const std::string& task : failing) {
      this->EndRun(task, "failed");
    }
  }
}

void Runner::ReleaseHeldCall()
{
  auto [status, answer] = this->Execute("/hold", *this->heldCall);
  this->world.record.Add("the /hold held back is carried out: " + std::to_string(status) +
                         " lease_left_ms=" + std::to_string(this->leaseEnd - this->Clock()));
  this->heldCall.reset();
}

void Runner::Cut()
{
  this->isCut = true;
  this->listener.reset(); // Closes the port and the idle connections.
  for (Waiting& poll : std::exchange(this->waiting, {})) {
    poll.exchange->Abort();
  }
  this->world.record.Add("cut " + this->id + " running=" + std::to_string(this->running.size()));
}

void Runner::Heal()
{
  this->isCut = false;
  this->Listen();
  this->Beat();
  this->world.record.Add("healed " + this->id);
}

void Runner::GoDown()
{
  this->isDown = true;
  ++this->life;
  ++this->beatTimer;
  this->listener.reset();
  for (Waiting& poll : std::exchange(this->waiting, {})) {
    poll.exchange->Abort();
  }
  for (auto& [task, run] : this->running) {
    run->isEnded = true;
    run->how = "crash";
    run->endedAt = this->world.loop.Now();
  }
  this->running.clear();
  this->ends.clear();
  this->isListed = false;
  this->store.Remove("servers/" + this->id);
}

void Runner::CrashAndRestart(Duration aDown, const std::string& aKind, Duration aFirstBeatAfter)
{
  this->isDown = true;
  ++this->life;
  ++this->beatTimer;
  this->listener.reset();
  for (Waiting& poll : std::exchange(this->waiting, {})) {
    poll.exchange->Abort();
  }
  this->world.record.Add("crash " + this->id);
  for (auto& [task, run] : this->running) {
    run->isEnded = true;
    run->how = "crash";
    run->endedAt = this->world.loop.Now();
  }
  this->running.clear();
  this->closed.clear();
  this->ends.clear();
  this->nextEnd = 1;
  this->world.loop.After(aDown, [this, aKind, aFirstBeatAfter] {
    this->isDown = false;
    this->fence = 0;
    this->leaseEnd = 0;
    this->sequence = 0;
    this->kind = aKind.empty() ? this->kind : aKind;
    this->born = this->world.loop.WallClockNow().time_since_epoch().count();
    this->bornAt = this->world.loop.Now();
    this->Listen();
    this->world.record.Add("started again " + this->id + " kind=" + this->kind);
    ++this->beatTimer;
    this->ScheduleBeat(aFirstBeatAfter);
  });
}

std::int64_t Runner::Clock() const
{
  return std::chrono::duration_cast<milliseconds>(this->world.loop.Now() - this->bornAt).count();
}

void Runner::ExtendLease(std::int64_t aDeadline)
{
  this->leaseEnd = std::max(this->leaseEnd, std::min(aDeadline, this->Clock() + kHoldMaxMs));
}

void Runner::Tick()
{
  if (!this->isDown && this->Clock() > this->leaseEnd) {
    std::vector<std::string> lapsed;
    for (const auto& [task, run] : this->running) {
      lapsed.push_back(task);
    }
    for (const std::string& task : lapsed) {
      this->EndRun(task, "lapsed");
    }
    for (End& end : this->ends) {
      end.run->hasLapsedSinceEnd = true;
    }
  }
  // The store removes an entry after three intervals of silence.
  if (this->isListed && this->world.loop.Now() - this->lastBeat >= 3 * kHeartbeat) {
    this->isListed = false;
    this->store.Remove("servers/" + this->id);
    this->world.record.Add("entry removed " + this->id);
  }
  this->AnswerWaiting();
  this->world.loop.After(milliseconds(5), [this] { this->Tick(); });
}

void Runner::Handle(const Ref<HttpExchange>& aExchange)
{
  if (this->isCut || this->isDown) {
    aExchange->Abort();
    return;
  }
  const HttpRequest& request = aExchange->Request();
  if (request.method == "GET") {
    aExchange->Reply({ 200, {}, "" });
    return;
  }
  json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    aExchange->Reply({ 400, {}, "" });
    return;
  }
  std::string_view expected =
    daisydrift::FindHeader(request.headers, daisydrift::platform::kExpectedWorkerHeader);
  if (!expected.empty() && expected != this->id) {
    aExchange->Reply({ 421, {}, "" });
    return;
  }
  if (request.target == "/hold" && this->isHoldingBack && body.contains("deadline_ms")) {
    this->isHoldingBack = false;
    this->heldCall = body;
    this->heldExchange = aExchange;
    this->world.record.Add("a /hold to " + this->id + " is held back: " + request.body);
    return;
  }
  auto [status, answer] = this->Execute(request.target, body);
  if (request.target == "/hold" && status == 200) {
    TimePoint until = this->world.loop.Now() + milliseconds(Number(body, "wait_ms"));
    this->waiting.push_back({ aExchange, until });
    this->AnswerWaiting();
    if (this->onHold) {
      this->onHold();
    }
    return;
  }
  aExchange->Reply({ status, { { "Content-Type", "application/json" } }, answer.dump() });
}

void Runner::AnswerWaiting()
{
  std::vector<Waiting> left;
  for (Waiting& poll : std::exchange(this->waiting, {})) {
    if (this->ends.empty() && this->world.loop.Now() < poll.until) {
      left.push_back(poll);
    } else {
      poll.exchange->Reply(
        { 200, { { "Content-Type", "application/json" } }, this->Report().dump() });
    }
  }
  this->waiting.insert(this->waiting.end(), left.begin(), left.end());
}

json Runner::Answer() const
{
  return { { "clock_ms", this->Clock() }, { "born", this->born } };
}

json Runner::Report() const
{
  json report = this->Answer();
  report["running"] = json::array();
  report["finished"] = json::array();
  for (const auto& [task, run] : this->running) {
    double part = 0;
    auto job = this->world.jobs.find(JobOf(task));
    if (job != this->world.jobs.end()) {
      part = std::chrono::duration<double>(this->world.loop.Now() - run->begunAt) /
             std::chrono::duration<double>(job->second.duration);
    }
    bool isService = job != this->world.jobs.end() && job->second.isService;
    int percent = std::min(isService ? 100 : 99, static_cast<int>(part * 100));
    report["running"].push_back(json::array({ task, run->number, "", percent, 10 }));
  }
  for (const End& end : this->ends) {
    if (report["finished"].size() >= kEndsPerAnswer) {
      break;
    }
    report["finished"].push_back(
      json::array({ end.number, end.run->task, end.run->number, end.run->how, "" }));
  }
  return report;
}

std::pair<int, json> Runner::Execute(const std::string& aPath, const json& aBody)
{
  json answer = this->Answer();
  auto token = static_cast<std::uint64_t>(Number(aBody, "fencing_token"));
  if (token < this->fence) {
    answer["reason"] = "fence";
    return { 409, answer };
  }
  this->fence = token;
  if (aPath == "/run-start") {
    return this->Start(aBody);
  }
  if (aPath == "/run-stop") {
    std::string task = aBody.value("task", "");
    auto number = static_cast<std::uint64_t>(Number(aBody, "run_id"));
    auto found = this->running.find(task);
    if (found != this->running.end() && found->second->number == number) {
      this->EndRun(task, "stopped");
    }
    this->closed[task] = std::max(this->closed[task], number);
    return { 200, answer };
  }
  if (aPath == "/hold") {
    if (aBody.contains("deadline_ms")) {
      this->ExtendLease(Number(aBody, "deadline_ms"));
    }
    auto seen = static_cast<std::uint64_t>(Number(aBody, "last_seen"));
    for (End& end : this->ends) {
      if (end.number <= seen && !end.run->hasLapsedSinceEnd) {
        end.run->isNoted = true;
      }
    }
    std::erase_if(this->ends, [seen](const End& aEnd) { return aEnd.number <= seen; });
    return { 200, answer };
  }
  return { aPath == "/pace" ? 200 : 404, answer };
}

std::pair<int, json> Runner::Start(const json& aBody)
{
  json answer = this->Answer();
  std::string task = aBody.value("task", "");
  auto number = static_cast<std::uint64_t>(Number(aBody, "run_id"));
  std::int64_t deadline = Number(aBody, "deadline_ms");
  auto job = this->world.jobs.find(JobOf(task));
  if (job == this->world.jobs.end()) {
    this->world.record.Violation("UNASKED " + task);
    return { 400, answer };
  }
  auto present = this->running.find(task);
  if (present != this->running.end() && present->second->number == number) {
    this->ExtendLease(deadline);
    return { 200, answer };
  }
  auto closedRun = this->closed.find(task);
  bool isOld = (closedRun != this->closed.end() && number <= closedRun->second) ||
               present != this->running.end();
  if (isOld || deadline < this->Clock()) {
    answer["reason"] = isOld ? "old" : "late";
    if (isOld) {
      this->ExtendLease(deadline);
    }
    return { 409, answer };
  }
  this->ExtendLease(deadline);
  auto run = std::make_shared<Run>();
  run->runner = this->id;
  run->task = task;
  run->number = number;
  run->begunAt = this->world.loop.Now();
  this->running[task] = run;
  this->world.runs.push_back(run);
  if (this->world.isVerbose) {
    this->world.record.Add("start " + task + " run=" + std::to_string(number) + " on " + this->id +
                           " kind=" + this->kind);
  }
  if (this->world.onStart) {
    this->world.onStart(run);
  }
  // For tasks that last, the duration is that of their startup.
  if (job->second.isService && !this->isGrey) {
    return { 200, answer };
  }
  int index = std::atoi(task.substr(task.rfind('.') + 1).c_str());
  Duration length = job->second.duration - job->second.spread * (index % 8);
  Duration duration = this->isGrey ? Duration(milliseconds(50)) : length;
  std::string how = this->isGrey ? "failed" : "done";
  this->world.loop.After(duration, [this, run, how, started = this->life] {
    auto found = this->running.find(run->task);
    if (started == this->life && found != this->running.end() && found->second == run) {
      this->EndRun(run->task, how);
    }
  });
  return { 200, answer };
}

void Runner::EndRun(const std::string& aTask, const std::string& aHow)
{
  auto found = this->running.find(aTask);
  std::shared_ptr<Run> run = found->second;
  this->running.erase(found);
  run->isEnded = true;
  run->how = aHow;
  run->endedAt = this->world.loop.Now();
  this->closed[aTask] = std::max(this->closed[aTask], run->number);
  this->ends.push_back({ this->nextEnd++, run });
  if (this->world.isVerbose) {
    this->world.record.Add("end " + aTask + " run=" + std::to_string(run->number) + " on " +
                           this->id + " " + aHow);
  }
}

StoreFront::StoreFront(daisydrift::AsioLoop& aLoop, Record& aRecord, SocketEndpoint aStore)
  : record(aRecord)
  , store(std::move(aStore))
  , client(aLoop, 1000)
  , listener(
      aLoop,
      [] {
        daisydrift::HttpServerLimits limits;
        limits.maxBodyBytes = 64 * 1024 * 1024;
        return limits;
      }(),
      [this](const Ref<HttpExchange>& aExchange) { this->Handle(aExchange); })
{
}

void StoreFront::Handle(const Ref<HttpExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.target == "/kv-txn") {
    json body = json::parse(request.body, nullptr, false);
    for (const json& put : body.value("puts", json::array())) {
      std::size_t size = put.value("value", "").size() / 4 * 3;
      this->largestValue = std::max(this->largestValue, size);
      if (size > kValueBytes + 2) {
        if (++this->refusedValues <= 10) {
          this->record.Add("store refuses a value of " + std::to_string(size) + " bytes for " +
                           put.value("key", "") + " (value_bytes is 1048576)");
        }
        aExchange->Reply({ 400, {}, "" });
        return;
      }
    }
  }
  HttpRequest forwarded{ request.method, request.target, {}, request.body };
  if (!request.body.empty()) {
    forwarded.headers.emplace_back("Content-Type", "application/json");
  }
  this->client.Send(this->store,
                    std::move(forwarded),
                    std::chrono::seconds(35),
                    [aExchange](const Result<HttpResponse>& aResponse) {
                      if (aResponse) {
                        aExchange->Reply({ aResponse->status,
                                           { { "Content-Type", "application/json" } },
                                           aResponse->body });
                      } else {
                        aExchange->Abort();
                      }
                    });
}

Cloud::Cloud(World& aWorld,
             daisydrift::soak::SoakStore& aStore,
             std::vector<std::unique_ptr<Runner>>& aRunners)
  : world(aWorld)
  , store(aStore)
  , runners(aRunners)
  , listener(aWorld.loop, {}, [this](const Ref<HttpExchange>& aExchange) {
    this->Handle(aExchange);
  })
{
  for (std::size_t number = 0; number < aRunners.size(); ++number) {
    this->machines["m-" + std::to_string(number)].runner = aRunners[number].get();
  }
}

void Cloud::Handle(const Ref<HttpExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  json answer{ { "machines", json::array() }, { "next_token", nullptr } };
  int status = 200;
  if (request.target.rfind("/machines", 0) == 0) {
    for (const auto& [name, machine] : this->machines) {
      answer["machines"].push_back(
        { { "machine", name },
          { "pool", "desk" },
          { "state", machine.isUp ? "up" : "upkeep" },
          { "zone", "z0" },
          { "labels", json::array({ "a", "r0" }) },
          { "capacity", { { "cpu", 16000 }, { "mem_mb", 65536 }, { "gpu", 0 } } },
          { "id", machine.runner->Id() } });
    }
  } else if (request.target == "/machine-upkeep") {
    std::tie(status, answer) = this->Upkeep(request);
  } else {
    status = 404;
  }
  aExchange->Reply({ status, { { "Content-Type", "application/json" } }, answer.dump() });
}

std::pair<int, json> Cloud::Upkeep(const HttpRequest& aRequest)
{
  json body = json::parse(aRequest.body, nullptr, false);
  std::string name = body.value("machine", "");
  std::string wave = std::to_string(Number(body, "wave"));
  auto found = this->machines.find(name);
  if (found == this->machines.end()) {
    return { 400, json::object() };
  }
  Machine& machine = found->second;
  std::string token(daisydrift::FindHeader(aRequest.headers, "X-Daisydrift-Fencing-Token"));
  std::uint64_t fence = token.empty() ? 0 : std::stoull(token);
  if (fence < machine.fence) {
    return { 409, { { "reason", "fence" } } };
  }
  machine.fence = fence;
  if (this->upkeeps.count({ name, wave }) != 0) {
    return { 200, json::object() };
  }
  if (!machine.isUp) {
    return { 409, { { "reason", "busy" } } };
  }
  this->upkeeps.insert({ name, wave });
  this->world.record.Add("upkeep of " + name + " for wave " + wave + " begins");
  machine.isUp = false;
  machine.runner->GoDown();
  this->world.loop.After(std::chrono::seconds(2), [this, name] {
    Machine& back = this->machines[name];
    std::string id = "i-" + name.substr(2) + "-" + std::to_string(++back.lives);
    this->runners.push_back(std::make_unique<Runner>(this->world, this->store, id, "a"));
    back.runner = this->runners.back().get();
    back.runner->Open();
    back.runner->Beat();
    back.isUp = true;
    this->world.record.Add(name + " is up again");
  });
  return { 200, json::object() };
}

Instance::Instance(std::string aProgram,
                   std::string aFolder,
                   int aNumber,
                   unsigned short aStorePort,
                   unsigned short aCloudPort)
  : program(std::move(aProgram))
  , folder(std::move(aFolder))
  , name("edge-" + std::to_string(aNumber))
  , address(AddressOfRun())
  , firstPort(static_cast<unsigned short>(kFirstPort + kPortsPerInstance * aNumber))
  , storePort(aStorePort)
  , cloudPort(aCloudPort)
{
}

Instance::~Instance()
{
  if (this->process > 0) {
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
  }
}

bool Instance::Start()
{
  // deploy/instance.jsonc, rendered with the figures of DEPLOY.md.
  std::string settings = this->folder + "/" + this->name + ".jsonc";
  std::ofstream file(settings);
  auto at = [](const std::string& aAddress, unsigned short aPort) {
    return "\"" + aAddress + ":" + std::to_string(aPort) + "\"";
  };
  std::string loopback = "127.0.0.1";
  file << "{ \"instance\": \"" << this->name << "\", \"failure_domain\": \"z0\",\n"
       << "  \"address\": \"" << this->address
       << "\", \"callers\": " << at(this->address, this->firstPort)
       << ", \"readiness\": " << at(this->address, this->firstPort + 1)
       << ",\n  \"peer_port\": " << this->firstPort + 2
       << ", \"metrics_port\": " << this->firstPort + 3
       << ", \"cores\": 0.25, \"max_descriptors\": 4100,\n"
       << "  \"store\": " << at(loopback, this->storePort) << ",\n";
  if (this->cloudPort != 0) {
    file << "  \"machines\": " << at(loopback, this->cloudPort) << ",\n";
  }
  file << "  \"longest_lease_ms\": " << kHoldMaxMs
       << ", \"config_in_force_ms\": 2000, \"drain_in_force_ms\": 2000,\n"
       << "  \"order_pause_ms\": 3000, \"remote_penalty\": 2 }\n";
  file.close();
  std::string log = this->folder + "/" + this->name + ".log";
  std::string variable = "DAISYDRIFT_BOOT=" + settings;
  this->process = ::fork();
  if (this->process == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    // The instance must not hold the sockets of the stand-ins open.
    for (int descriptor = STDERR_FILENO + 1; descriptor < 1024; ++descriptor) {
      ::close(descriptor);
    }
    const char* arguments[] = { this->program.c_str(), "--platform", nullptr };
    const char* environment[] = { variable.c_str(), nullptr };
    ::execve(this->program.c_str(),
             const_cast<char* const*>(arguments),
             const_cast<char* const*>(environment));
    ::_exit(127);
  }
  return this->process > 0;
}

bool Instance::HasEnded()
{
  if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
    this->process = 0;
  }
  return this->process == 0;
}

Deployment::Deployment(const std::string& aProgram,
                       const std::string& aFolder,
                       const std::string& aRecordFile,
                       int aInstances,
                       int aRunners,
                       const std::vector<std::string>& aKinds,
                       bool aHasCloud)
  : record(aRecordFile)
  , world(this->loop, this->record)
  , store(this->loop, 1)
  , program(aProgram)
  , folder(aFolder)
  , instanceCount(aInstances)
  , client(this->loop, 1000)
{
  for (int number = 0; number < aRunners; ++number) {
    this->runners.push_back(
      std::make_unique<Runner>(this->world,
                               this->store,
                               "i-" + std::to_string(number),
                               aKinds[static_cast<std::size_t>(number) % aKinds.size()]));
  }
  if (aHasCloud) {
    this->cloud = std::make_unique<Cloud>(this->world, this->store, this->runners);
  }
}

void Deployment::ReadStore(const std::string& aKey, std::function<void(std::string)> aDone)
{
  this->client.Send({ "127.0.0.1", this->store.Port() },
                    { "GET", "/kv-key?key=" + daisydrift::EncodeQueryValue(aKey), {}, "" },
                    milliseconds(2000),
                    [aDone](const Result<HttpResponse>& aAnswer) {
                      json item = aAnswer ? json::parse(aAnswer->body, nullptr, false) : json();
                      std::string value = item.is_object() ? item.value("value", "") : "";
                      aDone(daisydrift::platform::DecodeBase64(value).value_or(""));
                    });
}

bool Deployment::Start()
{
  if (this->store.Open()) {
    return false;
  }
  this->front = std::make_unique<StoreFront>(
    this->loop, this->record, SocketEndpoint{ "127.0.0.1", this->store.Port() });
  if (!this->front->Open()) {
    return false;
  }
  if (this->cloud && !this->cloud->Open()) {
    return false;
  }
  this->PutConfig();
  for (auto& runner : this->runners) {
    if (!runner->Open()) {
      return false;
    }
    runner->Beat();
  }
  for (int number = 0; number < this->instanceCount; ++number) {
    this->instances.push_back(std::make_unique<Instance>(this->program,
                                                         this->folder,
                                                         number,
                                                         this->front->Port(),
                                                         this->cloud ? this->cloud->Port() : 0));
    if (!this->instances.back()->Start()) {
      return false;
    }
  }
  return true;
}

void Deployment::PutConfig()
{
  json config{ { "version", 7 },
               { "services",
                 json::array({ { { "name", "desk" },
                                 { "health_path", "/health" },
                                 { "rejects_overload", false },
                                 { "standby", false } } }) },
               { "limits",
                 { { "max_header_bytes", 16384 },
                   { "max_body_bytes", 262144 },
                   { "header_timeout_ms", 3000 },
                   { "idle_timeout_ms", 15000 } } } };
  config["routes"] = json::array();
  for (const auto& [queue, priority] :
       std::map<std::string, int>{ { "jobs", 0 }, { "watch", 1 }, { "batch", 2 } }) {
    config["routes"].push_back({ { "name", "r-" + queue },
                                 { "host", "desk.example" },
                                 { "prefix", "/" + queue + "/" },
                                 { "type", "non_idempotent" },
                                 { "timeout_ms", 3000 },
                                 { "target_latency_ms", 1200 },
                                 { "priority", priority },
                                 { "service", "desk" },
                                 { "max_attempts", 4 },
                                 { "stretch_factor", 2.2 },
                                 { "allow_anonymous", false } });
  }
  config["tenants"] = json::array();
  for (const char* tenant : { "a", "b" }) {
    config["tenants"].push_back({ { "name", tenant },
                                  { "api_keys", json::array({ std::string("key-of-") + tenant }) },
                                  { "priority", 1 },
                                  { "weight", 1000 },
                                  { "maximum", { { "cpu", 0 }, { "mem_mb", 0 }, { "gpu", 0 } } } });
  }
  this->store.Put("op/config", config.dump());
}

HttpRequest Deployment::Call(const char* aMethod,
                             const std::string& aPath,
                             const std::string& aTenant,
                             const std::string& aBody) const
{
  // The HTTP client adds a Host header of its own behind this one; the first counts.
  HttpRequest request{ aMethod, aPath, {}, aBody };
  request.headers.emplace_back("Host", "desk.example");
  request.headers.emplace_back("Authorization", "Bearer key-of-" + aTenant);
  request.headers.emplace_back("X-Daisydrift-Deadline-Ms", "3000");
  if (!aBody.empty()) {
    request.headers.emplace_back("Content-Type", "application/json");
  }
  return request;
}

void Deployment::Submit(const std::string& aJob,
                        const json& aBody,
                        const std::string& aTenant,
                        std::function<void(int)> aDone,
                        const std::string& aQueue,
                        int aTries)
{
  SocketEndpoint to = this->instances[this->next++ % this->instances.size()]->Callers();
  this->client.Send(
    to,
    this->Call("POST", "/" + aQueue + "/" + aJob, aTenant, aBody.dump()),
    milliseconds(3000),
    [this, aJob, aBody, aTenant, aDone, aQueue, aTries](const Result<HttpResponse>& aAnswer) {
      int status = aAnswer ? aAnswer->status : 0;
      this->record.Add("POST " + aJob + " -> " + std::to_string(status));
      if (status / 100 == 2 || aTries <= 1) {
        aDone(status);
        return;
      }
      this->loop.After(milliseconds(1000), [this, aJob, aBody, aTenant, aDone, aQueue, aTries] {
        this->Submit(aJob, aBody, aTenant, aDone, aQueue, aTries - 1);
      });
    });
}

void Deployment::Query(const std::string& aJob,
                       const std::string& aTenant,
                       std::function<void(int, std::string)> aDone,
                       const std::string& aQueue)
{
  SocketEndpoint to = this->instances[this->next++ % this->instances.size()]->Callers();
  this->client.Send(to,
                    this->Call("GET", "/" + aQueue + "/" + aJob, aTenant, ""),
                    milliseconds(3000),
                    [this, aJob, aDone](const Result<HttpResponse>& aAnswer) {
                      int status = aAnswer ? aAnswer->status : 0;
                      json body = aAnswer ? json::parse(aAnswer->body, nullptr, false) : json();
                      std::string state = body.is_object() ? body.value("state", "") : "";
                      this->record.Add("GET " + aJob + " -> " + std::to_string(status) + " " +
                                       state);
                      aDone(status, state);
                    });
}

std::string Deployment::NewJobId()
{
  char id[32];
  std::snprintf(id, sizeof(id), "%016llx", 0x5c0e7a2100000000ULL + ++this->jobNumber);
  return id;
}

bool Deployment::HaveInstancesEnded()
{
  return std::any_of(this->instances.begin(), this->instances.end(), [](const auto& aInstance) {
    return aInstance->HasEnded();
  });
}

std::size_t CheckTwice(World& aWorld)
{
  std::map<std::string, std::vector<std::shared_ptr<Run>>> byTask;
  for (const auto& run : aWorld.runs) {
    byTask[run->task].push_back(run);
  }
  std::size_t broken = 0;
  TimePoint now = aWorld.loop.Now();
  auto text = [&](const Run& aRun) {
    return aRun.task + " run " + std::to_string(aRun.number) + " on " + aRun.runner;
  };
  for (const auto& [task, runs] : byTask) {
    for (std::size_t later = 1; later < runs.size(); ++later) {
      for (std::size_t earlier = 0; earlier < later; ++earlier) {
        const Run& first = *runs[earlier];
        const Run& second = *runs[later];
        TimePoint firstEnd = first.isEnded ? first.endedAt : now;
        if (first.how == "done" && first.isNoted && second.begunAt >= first.endedAt) {
          ++broken;
          aWorld.record.Violation(
            "TWICE: " + text(second) +
            " starts after a run has ended done that is taken note of: " + text(first));
        } else if (second.begunAt < firstEnd) {
          ++broken;
          auto overlap =
            (second.isEnded ? std::min(firstEnd, second.endedAt) : firstEnd) - second.begunAt;
          aWorld.record.Violation(
            "TWICE: " + text(second) + " runs at the same time as " + text(first) + " for " +
            std::to_string(std::chrono::duration_cast<milliseconds>(overlap).count()) + " ms");
        }
      }
    }
  }
  return broken;
}

} // namespace review
