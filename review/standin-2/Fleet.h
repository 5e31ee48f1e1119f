#pragma once
// Stand-ins of the second review: the platform's store, runners and clients, and the real processes
// under test. They speak the users' PROTOCOL.md on loopback addresses and the real clock, on one
// thread. A case sets the hooks to put the disruption.

#include "Wire.h"
#include "daisydrift/http.h"

#include <nlohmann/json.hpp>

#include <asio.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace review {

using namespace daisydrift;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// Figures of a small installation (SYSTEM.md, Pennicott).
constexpr int kHeartbeatMs = 1500;
constexpr int kHoldMaxMs = 6000;
constexpr int kStopMs = 100;
constexpr int kGangTimeoutMs = 3000;
constexpr int kStoreAnswerMs = 4;
constexpr const char* kHost = "nony24.example";
constexpr const char* kKey = "key-of-tenant-1";

/// Writes what was sent, answered and run, with the time in milliseconds.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : file(aFile)
    , start(std::chrono::steady_clock::now())
  {
  }
  bool IsOpen() const { return this->file.is_open(); }
  std::int64_t Ms() const
  {
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - this->start)
      .count();
  }
  void Line(const std::string& aText)
  {
    this->file << this->Ms() << " " << aText << "\n";
    this->file.flush();
  }

private:
  std::ofstream file;
  std::chrono::steady_clock::time_point start;
};

/// One run of a task on a runner, as the runner saw it.
struct RunEvent
{
  std::string task;
  std::uint64_t run = 0;
  std::string runner;
  std::int64_t born = 0;
  std::int64_t startedMs = 0;
  std::int64_t endedMs = -1;
  std::string how;
  /// Time at which last_seen reached the end; -1 before. Never, once the lease has lapsed.
  std::int64_t notedMs = -1;
  bool lapsedBeforeNoted = false;
};

/// The platform's metadata store. Each process under test has a port of its own, so that a
/// disruption can be put for one of them.
class Store
{
public:
  struct Loss
  {
    /// The write is done after this time, and never answered.
    int delayMs = 0;
  };

  Store(AsioLoop& aLoop, Record& aRecord)
    : loop(aLoop)
    , record(aRecord)
  {
    this->ExpireLeases();
  }

  /// Decides about a write before it is done; without a value it is done and answered.
  std::function<std::optional<Loss>(int, const json&)> onWrite;
  /// Called after a write was done.
  std::function<void(int, const json&, bool)> onWritten;
  int writes = 0;
  int lostWrites = 0;

  unsigned short Listen(int aCaller)
  {
    HttpServerLimits limits;
    limits.maxBodyBytes = 8 * 1024 * 1024;
    limits.maxConnections = 4000;
    this->listeners.push_back(std::make_unique<HttpListener>(
      this->loop, limits, [this, aCaller](const Ref<HttpExchange>& aExchange) {
        this->Handle(aCaller, aExchange);
      }));
    if (this->listeners.back()->Open({ "127.0.0.1", 0 })) {
      return 0;
    }
    return this->listeners.back()->Port();
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    ++this->revision;
    this->Write(aKey, aValue, 0);
  }
  void Remove(const std::string& aKey)
  {
    if (this->items.count(aKey) != 0) {
      ++this->revision;
      this->Write(aKey, std::nullopt, 0);
    }
  }
  std::string Get(const std::string& aKey) const
  {
    auto found = this->items.find(aKey);
    return found == this->items.end() ? "" : found->second.value;
  }

private:
  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Change
  {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease
  {
    Duration ttl{ 0 };
    TimePoint expiresAt;
  };

  static std::string Query(const std::string& aTarget, const std::string& aName)
  {
    std::size_t at = aTarget.find('?');
    while (at != std::string::npos) {
      std::size_t end = aTarget.find('&', at + 1);
      std::string part =
        aTarget.substr(at + 1, end == std::string::npos ? end : end - at - 1);
      if (part.rfind(aName + "=", 0) == 0) {
        std::string text;
        for (std::size_t i = aName.size() + 1; i < part.size(); ++i) {
          if (part[i] == '%' && i + 2 < part.size()) {
            text += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
            i += 2;
          } else {
            text += part[i];
          }
        }
        return text;
      }
      at = end;
    }
    return "";
  }

  void Write(const std::string& aKey, std::optional<std::string> aValue, std::uint64_t aLease)
  {
    this->history.push_back({ aKey, aValue, this->revision, aLease });
    if (!aValue) {
      this->items.erase(aKey);
      return;
    }
    Item& item = this->items[aKey];
    item.created = item.created == 0 ? this->revision : item.created;
    item.value = std::move(*aValue);
    item.revision = this->revision;
    item.lease = aLease;
  }

  static json ToJson(const std::string& aKey, const Item& aItem)
  {
    return { { "key", aKey },
             { "value", platform::EncodeBase64(aItem.value) },
             { "revision", aItem.revision },
             { "create_revision", aItem.created },
             { "lease_id", aItem.lease } };
  }

  void Answer(const Ref<HttpExchange>& aExchange, int aStatus, const json& aBody)
  {
    HttpResponse response{ aStatus, { { "Content-Type", platform::kJsonType } }, aBody.dump() };
    this->loop.After(milliseconds(kStoreAnswerMs),
                     [aExchange, response] { aExchange->Reply(response); });
  }

  void Handle(int aCaller, const Ref<HttpExchange>& aExchange)
  {
    const std::string target = aExchange->Request().target;
    std::string path = target.substr(0, target.find('?'));
    std::optional<json> parsed = ParseJson(aExchange->Request().body);
    json body = parsed && parsed->is_object() ? *parsed : json::object();
    if (path == "/kv-key") {
      auto found = this->items.find(Query(target, "key"));
      if (found == this->items.end()) {
        this->Answer(aExchange, 404, { { "at", this->revision } });
        return;
      }
      json item = ToJson(found->first, found->second);
      item["at"] = this->revision;
      this->Answer(aExchange, 200, item);
    } else if (path == "/kv-range") {
      this->AnswerRange(aExchange, Query(target, "prefix"), Query(target, "after"));
    } else if (path == "/kv-watch") {
      std::string wait = Query(target, "wait_ms");
      this->Watch(aExchange,
                  Query(target, "prefix"),
                  std::stoull("0" + Query(target, "after")),
                  this->loop.Now() + milliseconds(std::stoi("0" + wait)));
    } else if (path == "/kv-txn") {
      ++this->writes;
      std::optional<Loss> loss = this->onWrite ? this->onWrite(aCaller, body) : std::nullopt;
      if (!loss) {
        json answer = json::object();
        int status = this->Commit(body, answer);
        this->Answer(aExchange, status, answer);
        if (this->onWritten) {
          this->onWritten(aCaller, body, status == 200);
        }
        return;
      }
      ++this->lostWrites;
      this->unanswered.push_back(aExchange); // The channel returns nothing further.
      this->loop.After(milliseconds(loss->delayMs), [this, body] {
        json answer = json::object();
        int status = this->Commit(body, answer);
        this->record.Line("store: a write whose answer was lost is done now, status " +
                          std::to_string(status));
      });
    } else if (path == "/kv-lease") {
      ++this->writes;
      std::uint64_t id = this->nextLease++;
      auto ttl = milliseconds(body.value("ttl_ms", 1000));
      this->leases[id] = { ttl, this->loop.Now() + ttl };
      this->Answer(aExchange, 200, { { "lease_id", id }, { "ttl_ms", ttl.count() } });
    } else if (path.rfind("/kv-keep/", 0) == 0) {
      auto found = this->leases.find(std::stoull("0" + path.substr(9)));
      if (found != this->leases.end()) {
        found->second.expiresAt = this->loop.Now() + found->second.ttl;
      }
      this->Answer(aExchange, found == this->leases.end() ? 404 : 200, json::object());
    } else if (path == "/machines") {
      this->Answer(aExchange, 200, { { "machines", json::array() }, { "next_token", "" } });
    } else {
      this->Answer(aExchange, 404, json::object());
    }
  }

  void AnswerRange(const Ref<HttpExchange>& aExchange,
                   const std::string& aPrefix,
                   const std::string& aAfter)
  {
    json list = json::array();
    bool hasMore = false;
    for (auto item = this->items.lower_bound(std::max(aPrefix, aAfter));
         item != this->items.end() && item->first.rfind(aPrefix, 0) == 0;
         ++item) {
      if (item->first <= aAfter) {
        continue;
      }
      if (list.size() >= 500) {
        hasMore = true;
        break;
      }
      list.push_back(ToJson(item->first, item->second));
    }
    this->Answer(
      aExchange, 200, { { "items", list }, { "has_more", hasMore }, { "at", this->revision } });
  }

  void Watch(const Ref<HttpExchange>& aExchange,
             const std::string& aPrefix,
             std::uint64_t aAfter,
             TimePoint aDeadline)
  {
    json events = json::array();
    auto first = std::upper_bound(
      this->history.begin(), this->history.end(), aAfter, [](std::uint64_t aRev, const Change& c) {
        return aRev < c.revision;
      });
    for (; first != this->history.end(); ++first) {
      if (first->key.rfind(aPrefix, 0) != 0) {
        continue;
      }
      json event{ { "key", first->key }, { "revision", first->revision } };
      if (first->value) {
        event["value"] = platform::EncodeBase64(*first->value);
        event["lease_id"] = first->lease;
      } else {
        event["compacted"] = true;
      }
      events.push_back(std::move(event));
    }
    if (events.empty() && this->loop.Now() < aDeadline) {
      std::uint64_t seen = this->revision;
      this->loop.After(milliseconds(5), [this, aExchange, aPrefix, seen, aDeadline] {
        this->Watch(aExchange, aPrefix, seen, aDeadline);
      });
      return;
    }
    this->Answer(aExchange, 200, { { "events", events }, { "at", this->revision } });
  }

  int Commit(const json& aBody, json& aAnswer)
  {
    json rows = aBody.value("precondition", json::array());
    json puts = aBody.value("puts", json::array());
    json removals = aBody.value("remove", json::array());
    if (rows.size() + puts.size() + removals.size() > 32) {
      return 400;
    }
    bool holds = true;
    json current = json::array();
    for (const json& row : rows) {
      std::string key = row.at("key");
      auto found = this->items.find(key);
      std::uint64_t known = found == this->items.end() ? 0 : found->second.revision;
      holds = holds && known == row.at("revision").get<std::uint64_t>();
      if (found != this->items.end()) {
        current.push_back(ToJson(key, found->second));
      }
    }
    if (!holds) {
      aAnswer["items"] = current;
      return 412;
    }
    for (const json& put : puts) {
      std::uint64_t lease = put.value("lease_id", std::uint64_t(0));
      if (lease != 0 && this->leases.count(lease) == 0) {
        return 404;
      }
    }
    ++this->revision;
    for (const json& put : puts) {
      std::string value = put.at("value");
      this->Write(put.at("key"),
                  platform::DecodeBase64(value).value_or(""),
                  put.value("lease_id", std::uint64_t(0)));
    }
    for (const json& key : removals) {
      if (this->items.count(key.get<std::string>()) != 0) {
        this->Write(key, std::nullopt, 0);
      }
    }
    aAnswer["revision"] = this->revision;
    return 200;
  }

  void ExpireLeases()
  {
    TimePoint now = this->loop.Now();
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
      if (lease->second.expiresAt > now) {
        ++lease;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto& [key, item] : this->items) {
        if (item.lease == lease->first) {
          keys.push_back(key);
        }
      }
      for (const std::string& key : keys) {
        this->Remove(key);
      }
      lease = this->leases.erase(lease);
    }
    this->loop.After(milliseconds(20), [this] { this->ExpireLeases(); });
  }

  AsioLoop& loop;
  Record& record;
  std::map<std::string, Item> items;
  std::vector<Change> history;
  std::map<std::uint64_t, Lease> leases;
  std::uint64_t revision = 1;
  std::uint64_t nextLease = 1;
  std::vector<Ref<HttpExchange>> unanswered;
  std::vector<std::unique_ptr<HttpListener>> listeners;
};

class Runner;

/// What all runners share: the jobs that clients sent, the gangs, and the runs.
struct Shared
{
  AsioLoop& loop;
  Record& record;
  Store& store;
  /// Jobs by id, as they were sent.
  std::map<std::string, json> jobs;
  std::vector<RunEvent> runs;
  struct Member
  {
    Runner* runner;
    std::string task;
    std::uint64_t localId;
  };
  std::map<std::string, std::vector<Member>> gangs;
  /// How long a task works, and how it ends.
  struct Plan
  {
    int ms = 1000;
    std::string how = "done";
  };
  std::function<Plan(const std::string&, std::uint64_t)> plan;
  bool logsRuns = true;

  const json* StepOf(const std::string& aTask) const
  {
    std::optional<TaskName> name = platform::ParseTaskName(aTask);
    auto job = name ? this->jobs.find(name->job) : this->jobs.end();
    if (job == this->jobs.end() || name->step >= job->second["steps"].size()) {
      return nullptr;
    }
    return &job->second["steps"][name->step];
  }
};

/// A runner: runs tasks under a lease, registers itself in the store.
class Runner
{
public:
  Runner(Shared& aShared,
         std::string aId,
         std::string aService,
         std::string aZone,
         std::string aKind,
         std::string aRack,
         int aCpu = 16000,
         int aMemory = 65536)
    : shared(aShared)
    , id(std::move(aId))
    , service(std::move(aService))
    , zone(std::move(aZone))
    , kind(std::move(aKind))
    , rack(std::move(aRack))
    , cpu(aCpu)
    , memory(aMemory)
    , listener(aShared.loop, Limits(), [this](const Ref<HttpExchange>& aExchange) {
      this->Handle(aExchange);
    })
  {
  }

  bool Open()
  {
    if (this->listener.Open({ "127.0.0.1", 0 })) {
      return false;
    }
    this->Boot();
    this->Heartbeat();
    this->CheckLease();
    return true;
  }

  const std::string& Id() const { return this->id; }
  std::size_t Running() const { return this->running.size(); }
  bool IsUp() const { return this->isUp; }
  std::int64_t Born() const { return this->born; }

  /// No path to the system's machines and to the store; runs go on.
  bool isCut = false;
  /// Answers starts with 503 and does nothing for them.
  bool isUnhealthy = false;
  /// Fails all members of gangs that it has started.
  bool failsGangs = false;
  bool isDraining = false;
  /// An order gets no answer and is carried out after the returned time.
  std::function<std::optional<int>(const std::string&, const json&)> onOrder;

  /// All that runs is gone, also what the runner knew.
  void Crash()
  {
    this->isUp = false;
    ++this->generation;
    for (auto& [task, run] : this->running) {
      RunEvent& event = this->shared.runs[run.event];
      event.endedMs = this->shared.record.Ms();
      event.how = "crashed";
    }
    std::map<std::string, Run> lost = std::exchange(this->running, {});
    this->ends.clear();
    for (auto& [task, run] : lost) {
      this->LeaveGang(task, run.number, "crashed");
    }
    for (const Ref<HttpExchange>& exchange : std::exchange(this->open, {})) {
      exchange->Abort();
    }
    this->shared.record.Line("runner " + this->id + " crashes");
  }
  /// A new boot under the same id, perhaps of another kind.
  void Restart(const std::string& aNewKind = "")
  {
    this->kind = aNewKind.empty() ? this->kind : aNewKind;
    this->Boot();
    this->isUp = true;
    this->shared.record.Line("runner " + this->id + " starts again, born " +
                             std::to_string(this->born));
    this->Register();
  }
  void Register()
  {
    if (!this->isUp || this->isCut || this->hasLeft) {
      return;
    }
    json entry{ { "service", this->service },
                { "address", "127.0.0.1:" + std::to_string(this->listener.Port()) },
                { "zone", this->zone },
                { "version", "1" },
                { "slots", 8 },
                { "state", this->isDraining ? "draining" : "ready" },
                { "cold_remaining_ms", 0 },
                { "sequence", ++this->sequence },
                { "born", this->born },
                { "labels", json::array({ this->kind, this->rack }) },
                { "capacity", { { "cpu", this->cpu }, { "mem_mb", this->memory }, { "gpu", 0 } } } };
    if (this->isDraining) {
      entry["remaining_ms"] = 2000;
    }
    this->registeredAt = this->shared.loop.Now();
    this->shared.store.Put("servers/" + this->id, entry.dump());
  }
  /// The end of a planned shutdown.
  void Leave()
  {
    this->Crash();
    this->hasLeft = true;
    this->shared.store.Remove("servers/" + this->id);
  }
  /// The work of all tasks that run now, but those that last, is done at the same moment.
  void FinishAll()
  {
    std::vector<std::pair<std::string, std::uint64_t>> all;
    for (const auto& [task, run] : this->running) {
      if (!run.lasts) {
        all.emplace_back(task, run.localId);
      }
    }
    for (const auto& [task, localId] : all) {
      this->End(task, localId, "done");
    }
  }
  /// Carries out an order, whoever sent it when.
  std::pair<int, json> Execute(const std::string& aPath, const json& aBody)
  {
    json answer{ { "clock_ms", this->Clock() }, { "born", this->born } };
    auto token = aBody.value("fencing_token", std::uint64_t(0));
    if (token < this->fence) {
      answer["reason"] = "fence";
      return { 409, answer };
    }
    this->fence = token;
    if (aPath == "/run-start") {
      return this->StartRun(aBody, answer);
    }
    if (aPath == "/run-stop") {
      std::string task = aBody.value("task", "");
      auto number = aBody.value("run_id", std::uint64_t(0));
      this->closed[task] = std::max(this->closed[task], number);
      auto run = this->running.find(task);
      if (run != this->running.end() && run->second.number == number) {
        std::uint64_t localId = run->second.localId;
        this->shared.loop.After(milliseconds(kStopMs),
                                [this, task, localId, g = this->generation] {
                                  if (g == this->generation) {
                                    this->End(task, localId, "stopped");
                                  }
                                });
      }
      return { 200, answer };
    }
    if (aPath == "/hold") {
      if (aBody.contains("deadline_ms")) {
        this->ExtendLease(aBody);
      }
      auto seen = aBody.value("last_seen", std::uint64_t(0));
      for (const EndRow& row : this->ends) {
        RunEvent& event = this->shared.runs[row.event];
        if (row.number <= seen && event.notedMs < 0) {
          event.notedMs = this->shared.record.Ms();
        }
      }
      std::erase_if(this->ends, [seen](const EndRow& aRow) { return aRow.number <= seen; });
      return { 200, answer };
    }
    if (aPath == "/pace") {
      return { 200, answer };
    }
    return { 404, answer };
  }

private:
  struct Run
  {
    std::uint64_t number = 0;
    std::uint64_t localId = 0;
    std::size_t event = 0;
    TimePoint startedAt;
    int ms = 0;
    bool lasts = false;
  };
  struct EndRow
  {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    std::size_t event = 0;
  };

  static HttpServerLimits Limits()
  {
    HttpServerLimits limits;
    limits.maxBodyBytes = 1024 * 1024;
    return limits;
  }
  void Boot()
  {
    this->born = std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
    this->bootedAt = this->shared.loop.Now();
    this->fence = 0;
    this->lease = 0;
    this->closed.clear();
    this->nextEnd = 1;
    this->sequence = 0;
  }
  std::int64_t Clock() const
  {
    return std::chrono::duration_cast<milliseconds>(this->shared.loop.Now() - this->bootedAt)
      .count();
  }
  void ExtendLease(const json& aBody)
  {
    auto deadline = aBody.value("deadline_ms", std::int64_t(0));
    this->lease = std::max(this->lease, std::min(deadline, this->Clock() + kHoldMaxMs));
  }
  void Heartbeat()
  {
    if (this->hasLeft) {
      return;
    }
    this->Register();
    if (this->shared.loop.Now() - this->registeredAt > milliseconds(3 * kHeartbeatMs)) {
      this->shared.store.Remove("servers/" + this->id);
    }
    this->shared.loop.After(milliseconds(kHeartbeatMs), [this] { this->Heartbeat(); });
  }
  void CheckLease()
  {
    if (this->isUp && this->Clock() > this->lease) {
      std::vector<std::pair<std::string, std::uint64_t>> all;
      for (const auto& [task, run] : this->running) {
        all.emplace_back(task, run.localId);
      }
      for (const auto& [task, localId] : all) {
        this->End(task, localId, "lapsed");
      }
      for (const EndRow& row : this->ends) {
        if (this->shared.runs[row.event].notedMs < 0) {
          this->shared.runs[row.event].lapsedBeforeNoted = true;
        }
      }
    }
    this->shared.loop.After(milliseconds(10), [this] { this->CheckLease(); });
  }
  void Handle(const Ref<HttpExchange>& aExchange)
  {
    if (!this->isUp) {
      aExchange->Abort();
      return;
    }
    if (this->isCut) {
      this->open.push_back(aExchange); // Silence.
      return;
    }
    const HttpRequest& request = aExchange->Request();
    std::optional<json> body = ParseJson(request.body);
    if (!body || !body->is_object()) {
      aExchange->Reply({ 400, {}, "{}" });
      return;
    }
    if (FindHeader(request.headers, platform::kExpectedWorkerHeader) != this->id) {
      aExchange->Reply({ 421, {}, "{}" });
      return;
    }
    std::string path = request.target;
    if (std::optional<int> delay = this->onOrder ? this->onOrder(path, *body) : std::nullopt) {
      this->open.push_back(aExchange); // No answer.
      this->shared.loop.After(milliseconds(*delay), [this, path, body = *body, boot = this->born] {
        if (this->isUp && boot == this->born) {
          auto [status, answer] = this->Execute(path, body);
          this->shared.record.Line("runner " + this->id + " carries out late " + path + " " +
                                   body.dump().substr(0, 200) + " -> " + std::to_string(status));
        }
      });
      return;
    }
    if (path == "/run-start" && this->isUnhealthy) {
      if (this->shared.logsRuns) {
        this->shared.record.Line("runner " + this->id + " refuses with 503: " +
                                 body->value("task", ""));
      }
      aExchange->Reply({ 503, {}, "{}" });
      return;
    }
    auto [status, answer] = this->Execute(path, *body);
    if (path == "/hold" && status == 200) {
      int wait = body->value("wait_ms", 0);
      this->AnswerHold(aExchange, this->shared.loop.Now() + milliseconds(wait), this->generation);
      return;
    }
    aExchange->Reply({ status, { { "Content-Type", platform::kJsonType } }, answer.dump() });
  }
  void AnswerHold(const Ref<HttpExchange>& aExchange, TimePoint aUntil, std::uint64_t aGeneration)
  {
    if (aGeneration != this->generation) {
      aExchange->Abort();
      return;
    }
    if (this->isCut) {
      this->open.push_back(aExchange);
      return;
    }
    if (this->ends.empty() && this->shared.loop.Now() < aUntil) {
      this->shared.loop.After(milliseconds(5), [this, aExchange, aUntil, aGeneration] {
        this->AnswerHold(aExchange, aUntil, aGeneration);
      });
      return;
    }
    json report{ { "clock_ms", this->Clock() },
                 { "born", this->born },
                 { "running", json::array() },
                 { "finished", json::array() } };
    for (const auto& [task, run] : this->running) {
      double share = run.ms <= 0 ? 0
                                 : std::chrono::duration<double, std::milli>(
                                     this->shared.loop.Now() - run.startedAt)
                                       .count() /
                                     run.ms;
      int percent = run.lasts ? 100 : std::min(static_cast<int>(share * 100), 99);
      report["running"].push_back(json::array({ task, run.number, "", percent, 0 }));
    }
    for (const EndRow& row : this->ends) {
      if (report["finished"].size() >= 500) {
        break;
      }
      report["finished"].push_back(json::array({ row.number, row.task, row.run, row.how, "" }));
    }
    aExchange->Reply({ 200, { { "Content-Type", platform::kJsonType } }, report.dump() });
  }
  std::pair<int, json> StartRun(const json& aBody, json& aAnswer)
  {
    std::string task = aBody.value("task", "");
    auto number = aBody.value("run_id", std::uint64_t(0));
    auto deadline = aBody.value("deadline_ms", std::int64_t(0));
    auto present = this->running.find(task);
    if (present != this->running.end() && present->second.number == number) {
      this->ExtendLease(aBody);
      return { 200, aAnswer };
    }
    auto last = this->closed.find(task);
    bool isOld = (last != this->closed.end() && number <= last->second) ||
                 present != this->running.end();
    if (isOld || deadline <= this->Clock()) {
      if (isOld) {
        this->ExtendLease(aBody);
      }
      aAnswer["reason"] = isOld ? "old" : "late";
      return { 409, aAnswer };
    }
    this->ExtendLease(aBody);
    const json* step = this->shared.StepOf(task);
    Shared::Plan plan = this->shared.plan(task, number);
    Run run;
    run.number = number;
    run.localId = this->nextLocal++;
    run.startedAt = this->shared.loop.Now();
    run.ms = plan.ms;
    run.lasts = step != nullptr && step->value("long_running", false);
    run.event = this->shared.runs.size();
    this->shared.runs.push_back(
      { task, number, this->id, this->born, this->shared.record.Ms(), -1, "", -1, false });
    this->running[task] = run;
    if (this->shared.logsRuns) {
      this->shared.record.Line("run " + task + " " + std::to_string(number) + " starts on " +
                               this->id + " born " + std::to_string(this->born));
    }
    if (step != nullptr && step->value("gang", false)) {
      this->JoinGang(task, run, step->value("count", 1), plan);
    } else if (!run.lasts || plan.how != "done") {
      this->EndLater(task, run.localId, plan.ms, plan.how);
    }
    return { 200, aAnswer };
  }
  void EndLater(const std::string& aTask, std::uint64_t aLocal, int aMs, const std::string& aHow)
  {
    this->shared.loop.After(milliseconds(aMs), [this, aTask, aLocal, aHow, g = this->generation] {
      if (g == this->generation) {
        this->End(aTask, aLocal, aHow);
      }
    });
  }
  static std::string GangKey(const std::string& aTask, std::uint64_t aRun)
  {
    return aTask.substr(0, aTask.rfind('.')) + "/" + std::to_string(aRun);
  }
  void JoinGang(const std::string& aTask, const Run& aRun, int aCount, const Shared::Plan& aPlan)
  {
    std::string key = GangKey(aTask, aRun.number);
    auto& gang = this->shared.gangs[key];
    gang.push_back({ this, aTask, aRun.localId });
    if (gang.size() < static_cast<std::size_t>(aCount)) {
      this->shared.loop.After(
        milliseconds(kGangTimeoutMs),
        [this, key, aCount, aTask, local = aRun.localId, g = this->generation] {
          auto found = this->shared.gangs.find(key);
          if (g == this->generation && found != this->shared.gangs.end() &&
              found->second.size() < static_cast<std::size_t>(aCount)) {
            this->End(aTask, local, "alone");
          }
        });
      return;
    }
    this->shared.loop.After(milliseconds(aPlan.ms), [this, key, how = aPlan.how] {
      auto found = this->shared.gangs.find(key);
      if (found == this->shared.gangs.end()) {
        return;
      }
      std::vector<Shared::Member> members = std::move(found->second);
      this->shared.gangs.erase(found);
      bool isBroken = std::any_of(members.begin(), members.end(), [](const Shared::Member& aMember) {
        return aMember.runner->failsGangs;
      });
      // A runner that fails all that it started ends its members `failed`, the others are `broken`.
      for (const Shared::Member& member : members) {
        std::string end = member.runner->failsGangs ? "failed" : isBroken ? "broken" : how;
        member.runner->End(member.task, member.localId, end);
      }
    });
  }
  void LeaveGang(const std::string& aTask, std::uint64_t aRun, const std::string& aHow)
  {
    auto found = this->shared.gangs.find(GangKey(aTask, aRun));
    if (found == this->shared.gangs.end()) {
      return;
    }
    std::vector<Shared::Member> members = std::move(found->second);
    this->shared.gangs.erase(found);
    for (const Shared::Member& member : members) {
      if (member.task != aTask) {
        member.runner->End(member.task, member.localId, aHow == "done" ? "done" : "broken");
      }
    }
  }
  void End(const std::string& aTask, std::uint64_t aLocal, const std::string& aHow)
  {
    auto found = this->running.find(aTask);
    if (found == this->running.end() || found->second.localId != aLocal) {
      return;
    }
    Run run = found->second;
    this->running.erase(found);
    this->closed[aTask] = std::max(this->closed[aTask], run.number);
    RunEvent& event = this->shared.runs[run.event];
    event.endedMs = this->shared.record.Ms();
    event.how = aHow;
    this->ends.push_back({ this->nextEnd++, aTask, run.number, aHow, run.event });
    if (this->shared.logsRuns) {
      this->shared.record.Line("run " + aTask + " " + std::to_string(run.number) + " ends " + aHow +
                               " on " + this->id);
    }
    this->LeaveGang(aTask, run.number, aHow);
  }

  Shared& shared;
  std::string id;
  std::string service;
  std::string zone;
  std::string kind;
  std::string rack;
  int cpu;
  int memory;
  bool isUp = true;
  bool hasLeft = false;
  std::uint64_t generation = 1;
  std::int64_t born = 0;
  TimePoint bootedAt;
  TimePoint registeredAt;
  std::uint64_t fence = 0;
  std::int64_t lease = 0;
  std::uint64_t sequence = 0;
  std::map<std::string, Run> running;
  std::map<std::string, std::uint64_t> closed;
  std::vector<EndRow> ends;
  std::uint64_t nextEnd = 1;
  std::uint64_t nextLocal = 1;
  std::vector<Ref<HttpExchange>> open;
  HttpListener listener;
};

/// A process under test, started with the command of the deploy file.
class Process
{
public:
  Process(Record& aRecord, std::string aRoot, std::string aFolder, int aNumber)
    : record(aRecord)
    , root(std::move(aRoot))
    , folder(std::move(aFolder))
    , number(aNumber)
    , name("edge-hobart-" + std::to_string(aNumber + 1))
  {
  }
  ~Process() { this->Kill(); }

  const std::string& Name() const { return this->name; }
  int Number() const { return this->number; }
  pid_t Pid() const { return this->pid; }
  SocketEndpoint Callers() const { return { this->address, this->ports[0] }; }
  SocketEndpoint Readiness() const { return { this->address, this->ports[1] }; }

  /// Chooses a loopback address and free ports, and renders the template of the settings.
  bool Prepare(unsigned short aStorePort)
  {
    for (int attempt = 0; attempt < 50 && !this->ChoosePorts(attempt); ++attempt) {
    }
    if (this->ports.size() != 3) {
      return false;
    }
    std::string store = "127.0.0.1:" + std::to_string(aStorePort);
    auto at = [this](std::size_t aPort) {
      return this->address + ":" + std::to_string(this->ports[aPort]);
    };
    json fields{ { "node_name", this->name },
                 { "zone", "hobart" },
                 { "ip", this->address },
                 { "listen_addrs", { { "frontend", at(0) }, { "readiness", at(1) } } },
                 { "ephemeral_ports", json::array({ this->ports[2], this->ports[2] }) },
                 { "limits", { { "cpu_shares", 0.25 }, { "max_fds", 4100 } } },
                 { "platform", { { "address", store } } },
                 { "cloud_api", { { "address", store } } },
                 { "bounds",
                   { { "hold_max_ms", kHoldMaxMs },
                     { "config_apply_ms", 2000 },
                     { "drain_ms", 2000 },
                     { "lease_ttl_ms", 3000 },
                     { "remote_penalty", 2 } } } };
    std::ifstream file(this->root + "/deploy/instance.jsonc");
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
      return false;
    }
    std::ofstream out(this->Settings());
    out << Render(text.str(), fields);
    return static_cast<bool>(out);
  }

  void Start()
  {
    std::string log = this->folder + "/" + this->name + ".log";
    pid_t parent = ::getpid();
    pid_t child = ::fork();
    if (child == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent || ::chdir(this->root.c_str()) != 0) {
        ::_exit(127);
      }
      int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      for (int descriptor = 3; descriptor < 4096; ++descriptor) {
        ::close(descriptor);
      }
      std::string variable = "DAISYDRIFT_BOOT=" + this->Settings();
      std::string program = "target/bin/daisydriftd";
      std::string option = "--platform";
      char* arguments[] = { program.data(), option.data(), nullptr };
      char* environment[] = { variable.data(), nullptr };
      ::execve(program.c_str(), arguments, environment);
      ::_exit(127);
    }
    this->pid = child;
    this->record.Line("process " + this->name + " starts, pid " + std::to_string(child));
  }
  void Signal(int aSignal)
  {
    if (this->pid > 0) {
      this->record.Line("signal " + std::to_string(aSignal) + " to " + this->name);
      ::kill(this->pid, aSignal);
    }
  }
  /// SIGKILL, and waits for the end.
  void Kill()
  {
    if (this->pid > 0) {
      ::kill(this->pid, SIGKILL);
      ::waitpid(this->pid, nullptr, 0);
      this->record.Line("process " + this->name + " was killed");
      this->pid = 0;
    }
  }
  /// True once when the process has ended by itself; aHow says how.
  bool HasEnded(std::string& aHow)
  {
    int status = 0;
    if (this->pid <= 0 || ::waitpid(this->pid, &status, WNOHANG) != this->pid) {
      return false;
    }
    this->pid = 0;
    aHow = WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                               : "with status " + std::to_string(WEXITSTATUS(status));
    return true;
  }
  /// The last line of the process's output that contains the text.
  std::string LastLine(const std::string& aText) const
  {
    std::ifstream log(this->folder + "/" + this->name + ".log");
    std::string found;
    for (std::string line; std::getline(log, line);) {
      if (line.find(aText) != std::string::npos) {
        found = line;
      }
    }
    return found;
  }

private:
  std::string Settings() const { return this->folder + "/" + this->name + ".jsonc"; }

  static bool IsFree(const std::string& aAddress, unsigned short aPort, unsigned short& aChosen)
  {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context);
    std::error_code error;
    acceptor.open(asio::ip::tcp::v4(), error);
    acceptor.bind({ asio::ip::make_address_v4(aAddress), aPort }, error);
    if (error) {
      return false;
    }
    aChosen = acceptor.local_endpoint().port();
    return true;
  }
  /// An address of 127.0.0.0/8 that no other run uses.
  bool ChoosePorts(int aAttempt)
  {
    unsigned host = (static_cast<unsigned>(::getpid()) * 16 + static_cast<unsigned>(this->number) +
                     static_cast<unsigned>(aAttempt) * 4099) %
                    (200U * 250U * 250U);
    this->address = "127." + std::to_string(20 + host / (250U * 250U)) + "." +
                    std::to_string(1 + host / 250U % 250U) + "." + std::to_string(1 + host % 250U);
    this->ports.clear();
    unsigned short chosen = 0;
    if (!IsFree(this->address, 9464, chosen)) {
      return false;
    }
    // Below the range from which the system chooses the ports of outgoing connections.
    for (unsigned short port = 18183; port < 18186; ++port) {
      if (!IsFree(this->address, port, chosen)) {
        return false;
      }
      this->ports.push_back(port);
    }
    return true;
  }

  static const json* Field(const json& aFields, const std::string& aPath)
  {
    const json* at = &aFields;
    std::stringstream parts(aPath);
    for (std::string part; std::getline(parts, part, '.');) {
      if (at->is_array()) {
        std::size_t index = std::stoul(part);
        at = index < at->size() ? &(*at)[index] : nullptr;
      } else {
        auto found = at->is_object() ? at->find(part) : at->end();
        at = at->is_object() && found != at->end() ? &*found : nullptr;
      }
      if (at == nullptr) {
        return nullptr;
      }
    }
    return at;
  }
  /// The part of DEPLOY.md's templates that deploy/instance.jsonc uses.
  static std::string Render(const std::string& aText, const json& aFields)
  {
    std::string out;
    std::size_t at = 0;
    while (at < aText.size()) {
      std::size_t open = aText.find("{{", at);
      if (open == std::string::npos) {
        return out + aText.substr(at);
      }
      out += aText.substr(at, open - at);
      std::size_t close = aText.find("}}", open);
      std::string name = aText.substr(open + 2, close - open - 2);
      at = close + 2;
      if (name[0] == '#') {
        std::string end = "{{/" + name.substr(1) + "}}";
        std::size_t stop = aText.find(end, at);
        if (Field(aFields, name.substr(1)) != nullptr) {
          out += Render(aText.substr(at, stop - at), aFields);
        }
        at = stop + end.size();
        continue;
      }
      std::size_t bar = name.find('|');
      if (const json* value = Field(aFields, name.substr(0, bar))) {
        out += value->dump();
      }
    }
    return out;
  }

  Record& record;
  std::string root;
  std::string folder;
  int number;
  std::string name;
  std::string address;
  std::vector<unsigned short> ports;
  pid_t pid = 0;
};

/// One call of a client on a connection of its own.
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
  /// Status 0: no answer in time, or a broken channel.
  using Done = std::function<void(int, const std::string&)>;

  ClientCall(AsioLoop& aLoop, Done aDone)
    : socket(aLoop.Context())
    , timer(aLoop.Context())
    , done(std::move(aDone))
  {
  }
  void Send(const SocketEndpoint& aTo,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aKeyOfTenant,
            const std::string& aBody,
            int aTimeoutMs,
            int aPatienceMs = 0)
  {
    this->request = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + kHost +
                    "\r\nAuthorization: Bearer " + aKeyOfTenant +
                    "\r\nX-Daisydrift-Deadline-Ms: " + std::to_string(aTimeoutMs) +
                    "\r\nConnection: close\r\n";
    if (!aBody.empty()) {
      this->request += "Content-Type: application/json\r\n";
    }
    this->request += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    auto self = this->shared_from_this();
    // A client may leave before its deadline.
    this->timer.expires_after(milliseconds(aPatienceMs > 0 ? aPatienceMs : aTimeoutMs));
    this->timer.async_wait([self](std::error_code aError) {
      if (!aError) {
        self->Finish();
      }
    });
    this->socket.async_connect(
      { asio::ip::make_address_v4(aTo.address), aTo.port }, [self](std::error_code aError) {
        if (aError) {
          self->Finish();
          return;
        }
        asio::async_write(self->socket,
                          asio::buffer(self->request),
                          [self](std::error_code aWriteError, std::size_t) {
                            if (aWriteError) {
                              self->Finish();
                            }
                          });
        self->Read();
      });
  }

private:
  void Read()
  {
    this->socket.async_read_some(
      asio::buffer(this->buffer),
      [self = this->shared_from_this()](std::error_code aError, std::size_t aSize) {
        if (aError) {
          self->Finish();
          return;
        }
        self->answer.append(self->buffer.data(), aSize);
        self->Read();
      });
  }
  void Finish()
  {
    if (!this->done) {
      return;
    }
    Done call = std::move(this->done);
    this->done = nullptr;
    this->timer.cancel();
    std::error_code ignored;
    this->socket.close(ignored);
    std::size_t head = this->answer.find("\r\n\r\n");
    int status = 0;
    std::string body;
    if (head != std::string::npos && this->answer.rfind("HTTP/1.1 ", 0) == 0) {
      body = this->answer.substr(head + 4);
      std::size_t length = this->answer.find("Content-Length: ");
      bool isWhole = length == std::string::npos || length > head ||
                     std::stoul(this->answer.substr(length + 16)) == body.size();
      status = isWhole ? std::stoi(this->answer.substr(9, 3)) : 0;
    }
    call(status, body);
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  Done done;
  std::string request;
  std::string answer;
  std::array<char, 4096> buffer;
};

/// A small installation: the store, runners, processes and clients of one case.
class Fleet
{
public:
  Fleet()
    : root(Env("CASE_ROOT"))
    , folder(Env("CASE_TEMP"))
    , record(Env("CASE_FOLDER") + "/record.txt")
    , trouble(Env("TROUBLE") != "0")
    , store(this->loop, this->record)
    , shared{ this->loop, this->record, this->store, {}, {}, {}, {}, true }
  {
    ::signal(SIGPIPE, SIG_IGN);
    if (!this->record.IsOpen()) {
      this->NotRun("the record can't be written");
    }
    this->record.Line(this->trouble ? "with the disruption" : "without the disruption");
    this->shared.plan = [](const std::string&, std::uint64_t) { return Shared::Plan{}; };
  }

  static std::string Env(const char* aName)
  {
    const char* value = std::getenv(aName);
    return value == nullptr ? "" : value;
  }

  void Configure(const json& aRoutes, const json& aTenants, int aVersion = 7)
  {
    json document{ { "version", aVersion },
                   { "routes", aRoutes },
                   { "services",
                     json::array({ { { "name", "bursary-desk" }, { "rejects_overload", false } } }) },
                   { "limits", json::object() },
                   { "tenants", aTenants } };
    this->store.Put("op/config", document.dump());
    this->record.Line("operator writes configuration " + document.dump());
  }
  static json Route(const std::string& aName, int aPriority, int aAttempts)
  {
    return { { "name", aName },
             { "host", kHost },
             { "prefix", "/" + aName + "/" },
             { "type", "non_idempotent" },
             { "timeout_ms", 3000 },
             { "target_latency_ms", 1200 },
             { "priority", aPriority },
             { "service", "bursary-desk" },
             { "max_attempts", aAttempts },
             { "stretch_factor", 2.2 },
             { "allow_anonymous", false } };
  }
  static json Tenant(std::int64_t aCpu = 0)
  {
    return { { "name", "tenant-1" },
             { "weight", 100 },
             { "api_keys", json::array({ kKey }) },
             { "maximum", { { "cpu", aCpu }, { "mem_mb", 0 }, { "gpu", 0 } } } };
  }

  Runner& AddRunner(const std::string& aId, const std::string& aKind, const std::string& aRack)
  {
    this->runners.push_back(std::make_unique<Runner>(
      this->shared, aId, "bursary-desk", "hobart", aKind, aRack));
    if (!this->runners.back()->Open()) {
      this->NotRun("a runner's port can't be opened");
    }
    return *this->runners.back();
  }
  void AddProcesses(int aCount)
  {
    for (int number = 0; number < aCount; ++number) {
      unsigned short port = this->store.Listen(number);
      this->processes.push_back(
        std::make_unique<Process>(this->record, this->root, this->folder, number));
      if (port == 0 || !this->processes.back()->Prepare(port)) {
        this->NotRun("a process can't be prepared");
      }
    }
    for (auto& process : this->processes) {
      process->Start();
    }
    this->WatchProcesses();
  }
  /// The process that leads, as the store says; null when none does.
  Process* Leader()
  {
    std::string value = this->store.Get("daisydrift/group/leader");
    std::optional<json> leader = ParseJson(value);
    if (value.empty() || !leader || !leader->is_object()) {
      return nullptr;
    }
    for (auto& process : this->processes) {
      if (process->Name() == leader->value("name", "")) {
        return process.get();
      }
    }
    return nullptr;
  }
  void Call(Process& aProcess,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody,
            ClientCall::Done aDone,
            int aPatienceMs = 0)
  {
    auto call = std::make_shared<ClientCall>(
      this->loop, [this, aMethod, aPath, aDone, name = aProcess.Name()](
                    int aStatus, const std::string& aAnswer) {
        this->record.Line("client: " + aMethod + " " + aPath + " at " + name + " -> " +
                          (aStatus == 0 ? "no answer" : std::to_string(aStatus)) + " " +
                          aAnswer.substr(0, 120));
        aDone(aStatus, aAnswer);
      });
    call->Send(aProcess.Callers(), aMethod, aPath, kKey, aBody, 3000, aPatienceMs);
  }
  /// Hands a job in; after no response, 502 or 504 (and 503) again, at the next process.
  void Submit(const std::string& aQueue,
              const std::string& aId,
              const json& aJob,
              std::function<void(bool)> aDone,
              int aAttempts = 8,
              std::size_t aFirst = 0)
  {
    this->shared.jobs[aId] = aJob;
    Process& process = *this->processes[aFirst % this->processes.size()];
    this->Call(process,
               "POST",
               "/" + aQueue + "/" + aId,
               aJob.dump(),
               [this, aQueue, aId, aJob, aDone, aAttempts, aFirst](int aStatus,
                                                                   const std::string&) {
                 bool isAccepted = aStatus >= 200 && aStatus < 300;
                 if (isAccepted || aAttempts <= 1) {
                   aDone(isAccepted);
                   return;
                 }
                 this->loop.After(milliseconds(300),
                                  [this, aQueue, aId, aJob, aDone, aAttempts, aFirst] {
                                    this->Submit(
                                      aQueue, aId, aJob, aDone, aAttempts - 1, aFirst + 1);
                                  });
               });
  }
  /// Runs aAction once a process leads and all answer that they are ready.
  void WhenReady(std::function<void()> aAction, int aTriesLeft = 150)
  {
    if (aTriesLeft == 0) {
      this->NotRun("the installation doesn't get ready");
      return;
    }
    auto pending = std::make_shared<std::size_t>(this->processes.size());
    auto ready = std::make_shared<bool>(this->Leader() != nullptr);
    for (auto& process : this->processes) {
      auto call = std::make_shared<ClientCall>(
        this->loop, [this, pending, ready, aAction, aTriesLeft](int aStatus, const std::string&) {
          *ready = *ready && aStatus == 200;
          if (--*pending > 0) {
            return;
          }
          if (*ready) {
            this->record.Line("ready; the leader is " + this->Leader()->Name());
            aAction();
          } else {
            this->loop.After(milliseconds(200),
                             [this, aAction, aTriesLeft] { this->WhenReady(aAction, aTriesLeft - 1); });
          }
        });
      call->Send(process->Readiness(), "GET", "/ready", kKey, "", 1000);
    }
  }
  void After(int aMs, std::function<void()> aAction)
  {
    this->loop.After(milliseconds(aMs), std::move(aAction));
  }
  int Run(int aLimitMs = 112000)
  {
    this->After(aLimitMs, [this] { this->NotRun("the case doesn't end in time"); });
    if (this->exitCode < 0) {
      this->loop.Run();
    }
    this->processes.clear();
    return this->exitCode;
  }
  void End(int aCode, const std::string& aText)
  {
    if (this->exitCode < 0) {
      this->exitCode = aCode;
      this->record.Line((aCode == kHeld     ? "HELD: "
                         : aCode == kBroken ? "BROKEN: "
                                            : "NOT RUN: ") +
                        aText);
      std::cout << aText << std::endl;
    }
    this->loop.Stop();
  }
  void NotRun(const std::string& aText) { this->End(kNotRun, aText); }

  AsioLoop loop;
  std::string root;
  std::string folder;
  Record record;
  bool trouble;
  Store store;
  Shared shared;
  std::vector<std::unique_ptr<Runner>> runners;
  std::vector<std::unique_ptr<Process>> processes;
  /// Processes that ended by themselves, and how.
  std::vector<std::string> selfEnds;
  /// A process that has ended is started again after this time.
  int restartMs = 1000;

private:
  void WatchProcesses()
  {
    for (auto& process : this->processes) {
      std::string how;
      if (process->HasEnded(how)) {
        std::string line = process->LastLine("ssert");
        std::size_t place = line.find("packages/"); // Without the folder of the build.
        this->record.Line("process " + process->Name() + " has ended by itself " + how + "; " +
                          (place == std::string::npos ? line : line.substr(place)));
        this->selfEnds.push_back(process->Name() + " " + how);
        this->After(this->restartMs, [&process] { process->Start(); });
      }
    }
    this->After(50, [this] { this->WatchProcesses(); });
  }

  int exitCode = -1;
};

} // namespace review
