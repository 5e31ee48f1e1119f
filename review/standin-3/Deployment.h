#pragma once
// A small deployment for the scripts of the third review: real instances as separate processes, and
// stand-ins for the platform's store, its runners and its machine interface.

#include "Store.h"
#include "Wire.h"
#include "daisydrift/http.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace review {

using daisydrift::AsioLoop;
using daisydrift::Duration;
using daisydrift::HttpExchange;
using daisydrift::HttpListener;
using daisydrift::Ref;
using daisydrift::SocketEndpoint;
using daisydrift::TimePoint;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// What was sent, answered and run, with the time since the start of the program.
class Record
{
public:
  Record(AsioLoop& aLoop, const std::string& aFile);
  void Add(const std::string& aText);
  void Violation(const std::string& aText);
  bool HasViolations() const { return this->violations > 0; }
  double Seconds() const;

private:
  AsioLoop& loop;
  TimePoint start;
  std::ofstream file;
  int violations = 0;
};

struct Amounts
{
  std::int64_t cpu = 16000;
  std::int64_t memory = 65536;
};

/// One runner: carries out orders as PROTOCOL.md says. A task's spec is `run MS`, its run time.
class Runner
{
public:
  Runner(AsioLoop& aLoop,
         Record& aRecord,
         Store& aStore,
         std::string aId,
         std::vector<std::string> aLabels,
         Amounts aCapacity);
  ~Runner();

  /// Registers in the store.
  void Open();
  /// The process ends; what runs is lost.
  void Crash();
  /// A new process under the same id, perhaps of another kind; writes its entry after aEntryDelay.
  void Restart(std::vector<std::string> aLabels, Duration aEntryDelay);
  /// Removes the entry in the store.
  void Unregister();

  const std::string& Id() const { return this->id; }
  const std::vector<std::string>& Labels() const { return this->labels; }
  bool IsDown() const { return this->isDown; }
  std::size_t CountRuns() const { return this->running.size(); }

  /// Called with the name of each task that begins.
  std::function<void(Runner&, const std::string&)> onStart;
  /// Run time of a task, instead of the one in its spec.
  std::function<Duration(const std::string&)> durationOf;
  /// Checkpoint of a task that has run for a time; without it there are none.
  std::function<std::string(const std::string&, Duration)> checkpointOf;

private:
  struct Run
  {
    std::int64_t number = 0;
    TimePoint startedAt;
    Duration duration{ 0 };
  };
  struct End
  {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
  };
  void Register();
  void Handle(const Ref<HttpExchange>& aExchange);
  void Start(const Ref<HttpExchange>& aExchange, const json& aBody);
  void Stop(const Ref<HttpExchange>& aExchange, const json& aBody);
  void Hold(const Ref<HttpExchange>& aExchange, const json& aBody);
  void AnswerHold(const Ref<HttpExchange>& aExchange, TimePoint aDeadline, int aLife);
  void EndRun(const std::string& aTask, std::int64_t aNumber, const std::string& aHow);
  void ExtendLease(const json& aBody);
  void CheckLease();
  std::int64_t ClockMs() const;
  json Answer() const;

  AsioLoop& loop;
  Record& record;
  Store& store;
  std::string id;
  std::vector<std::string> labels;
  Amounts capacity;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
  int life = 1;
  int sequence = 0;
  std::int64_t born = 0;
  TimePoint bornAt;
  bool isDown = false;
  std::int64_t fence = 0;
  std::int64_t leaseEnd = 0;
  std::map<std::string, Run> running;
  /// Highest run of each task that ended or was stopped here.
  std::map<std::string, std::int64_t> closed;
  std::vector<End> ends;
  std::int64_t nextEnd = 1;
  HttpListener listener;
};

/// A process of the system.
class Instance
{
public:
  Instance(AsioLoop& aLoop,
           Record& aRecord,
           std::string aProgram,
           std::string aFolder,
           std::string aName,
           std::string aAddress);
  ~Instance();

  void WriteSettings(const SocketEndpoint& aStore, const SocketEndpoint& aMachines);
  bool Start();
  void Signal(int aSignal);
  /// True when the process has ended; collects it.
  bool HasEnded();
  /// Ends the process and waits for it.
  void Kill();
  std::int64_t ResidentMib() const;
  const std::string& Name() const { return this->name; }
  SocketEndpoint Callers() const { return { this->address, this->ports[0] }; }
  SocketEndpoint Readiness() const { return { this->address, this->ports[1] }; }
  pid_t Pid() const { return this->pid; }

private:
  AsioLoop& loop;
  Record& record;
  std::string program;
  std::string folder;
  std::string name;
  std::string address;
  unsigned short ports[4] = {};
  pid_t pid = 0;
};

/// The platform's interface for machines: upkeep in waves, with fences for each machine.
class Machines
{
public:
  Machines(AsioLoop& aLoop, Record& aRecord);
  void Open();
  SocketEndpoint Endpoint() const { return { "127.0.0.1", this->listener.Port() }; }
  void Add(const std::string& aMachine, Runner* aRunner);
  void AddWave(std::int64_t aWave, std::vector<std::string> aMachines, std::size_t aMaximum);
  std::size_t CountDown(std::int64_t aWave) const;
  bool HadUpkeep(const std::string& aMachine, std::int64_t aWave) const;

  /// Time that an answer takes.
  Duration delay = milliseconds(4);
  /// Called once, when the next list is asked for, before the answer.
  std::function<void()> onList;
  /// True when an order is to get no answer and to be carried out after the returned time.
  std::function<std::optional<Duration>(const std::string& aMachine, const std::string& aHolder)>
    lateBy;
  /// Called when an upkeep begins.
  std::function<void(const std::string& aMachine, std::int64_t aWave, const std::string& aHolder)>
    onUpkeep;
  /// Called with the machine that comes back, to put a new runner on it.
  std::function<Runner*(const std::string& aMachine)> newRunner;

private:
  struct Machine
  {
    Runner* runner = nullptr;
    std::string state = "up";
    std::int64_t fence = 0;
    std::int64_t wave = 0;
    std::set<std::int64_t> done;
  };
  struct Wave
  {
    std::vector<std::string> machines;
    std::size_t maximum = 1;
  };
  void Handle(const Ref<HttpExchange>& aExchange);
  json Upkeep(const json& aBody, const std::string& aHolder, std::int64_t aFence, int& aStatus);

  AsioLoop& loop;
  Record& record;
  std::map<std::string, Machine> machines;
  std::map<std::int64_t, Wave> waves;
  HttpListener listener;
};

/// Sends calls of clients to the instances.
class Client
{
public:
  Client(AsioLoop& aLoop, Record& aRecord);
  using Done = std::function<void(int aStatus, const json& aBody)>;
  /// Status 0: no answer.
  void Call(const SocketEndpoint& aTo,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aKey,
            const json& aBody,
            Done aDone);

private:
  AsioLoop& loop;
  Record& record;
  daisydrift::HttpClient http;
};

/// The whole deployment.
class Deployment
{
public:
  Deployment(const std::string& aProgram, const std::string& aFolder, const std::string& aRecordFile);
  ~Deployment();

  /// Starts the stand-ins and aInstances processes, and calls aAction when all say that they are
  /// ready.
  void Start(int aInstances, std::function<void()> aAction);
  void After(Duration aDelay, std::function<void()> aAction);
  /// Writes the configuration; each tenant with its ceiling in thousandths of a core.
  void WriteConfig(std::int64_t aVersion, const std::map<std::string, std::int64_t>& aTenants);
  Runner& AddRunner(const std::string& aId, std::vector<std::string> aLabels, Amounts aCapacity = {});
  /// Hands a job in, with retries at other instances as PROTOCOL.md says, and calls aDone with the
  /// last status. aAvoided is an instance that gets no call.
  void Submit(const std::string& aTenant,
              const std::string& aJob,
              const json& aBody,
              std::function<void(int)> aDone,
              int aTries = 5,
              const Instance* aAvoided = nullptr);
  /// Asks each instance in turn until one answers with a state; empty when none does.
  void State(const std::string& aTenant,
             const std::string& aJob,
             std::function<void(const std::string&)> aDone,
             int aTries = 4);
  /// Calls aDone with the instance that leads, by its record in the store, or null.
  void FindLeader(std::function<void(Instance*)> aDone);
  /// Ends the program with the exit code of the case.
  void Finish();
  /// Ends it with code 2.
  void GiveUp(const std::string& aWhy);
  std::string KeyOf(const std::string& aTenant) const { return "key-of-" + aTenant; }

  AsioLoop loop;
  Record record;
  Store store;
  Machines machines;
  Client client;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Runner>> runners;
  std::string address;
  /// A new seed for each run.
  std::mt19937_64 random{ std::random_device()() };
  int exitCode = 2;

private:
  void WaitForReady(std::function<void()> aAction, int aTries);
  std::string program;
  std::string folder;
  std::size_t nextInstance = 0;
};

} // namespace review
