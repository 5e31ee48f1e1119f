#pragma once
// Stand-ins of the review: runners, the store's size limit, clients, and instances as processes.
// The store itself is the project's own stand-in (platform/soak/SoakStore).

#include "SoakStore.h"
#include "Wire.h"
#include "daisydrift/http.h"
#include "daisydrift/platform.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

using daisydrift::Duration;
using daisydrift::HttpExchange;
using daisydrift::HttpHeaders;
using daisydrift::HttpRequest;
using daisydrift::HttpResponse;
using daisydrift::Ref;
using daisydrift::SocketEndpoint;
using daisydrift::TimePoint;
using nlohmann::json;
using std::chrono::milliseconds;

/// Figures of the pages (DEPLOY.md, "Settings of a process").
constexpr std::int64_t kHoldMaxMs = 6000;
constexpr milliseconds kHeartbeat{ 1500 };
constexpr std::size_t kEndsPerAnswer = 500;
constexpr std::size_t kValueBytes = 1048576;

/// What was sent, answered and run, with the time since the start.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : file(aFile)
    , startedAt(std::chrono::steady_clock::now())
  {
  }
  void Add(const std::string& aLine);
  void Violation(const std::string& aLine);
  std::size_t Violations() const { return this->violations; }

private:
  std::ofstream file;
  std::chrono::steady_clock::time_point startedAt;
  std::size_t violations = 0;
};

struct TaskSpec
{
  Duration duration{ milliseconds(1000) };
  /// Tasks of a job take up to seven times this less, by their index.
  Duration spread{ 0 };
  std::string label;
  /// The tasks last; they are at work after a short startup.
  bool isService = false;
};

/// All runs of all runners, for the checks.
struct Run
{
  std::string runner;
  std::string task;
  std::uint64_t number = 0;
  TimePoint begunAt;
  TimePoint endedAt;
  bool isEnded = false;
  std::string how;
  /// An end counts as taken note of when last_seen has reached it, unless the lease lapsed between.
  bool isNoted = false;
  bool hasLapsedSinceEnd = false;
};

class World
{
public:
  World(daisydrift::AsioLoop& aLoop, Record& aRecord)
    : loop(aLoop)
    , record(aRecord)
  {
  }
  daisydrift::AsioLoop& loop;
  Record& record;
  /// Duration and label of the tasks of a job, by its id.
  std::map<std::string, TaskSpec> jobs;
  std::vector<std::shared_ptr<Run>> runs;
  std::function<void(const std::shared_ptr<Run>&)> onStart;
  /// Single starts and ends are recorded.
  bool isVerbose = true;
};

/// A runner as PROTOCOL.md describes it.
class Runner
{
public:
  Runner(World& aWorld, daisydrift::soak::SoakStore& aStore, std::string aId, std::string aKind);
  bool Open();
  /// Beats each heartbeat_ms. An entry without a beat for three intervals is removed by the store.
  void Beat();
  void SetDraining(int aRemainingMs);
  /// Cut off from instances and store: nothing reaches the runner, connections are refused. It runs
  /// on by its own clock.
  void Cut();
  void Heal();
  /// The process dies and starts again under the same id, as another kind if one is given.
  void CrashAndRestart(Duration aDown, const std::string& aKind, Duration aFirstBeatAfter);
  /// The runner's machine goes down for its upkeep; all that runs there ends.
  void GoDown();

  const std::string& Id() const { return this->id; }
  const std::string& Kind() const { return this->kind; }
  std::size_t CountRunning() const { return this->running.size(); }
  bool IsCut() const { return this->isCut; }
  TimePoint LastBeat() const { return this->lastBeat; }
  std::function<void()> onHold;
  /// The next /hold gets no answer; ReleaseHeldCall carries it out (PROTOCOL.md: "It may also be
  /// executed seconds later, after newer calls").
  void HoldBackNextCall() { this->isHoldingBack = true; }
  bool HasHeldCall() const { return this->heldCall.has_value(); }
  void ReleaseHeldCall();
  /// The runner fails all that it runs and starts, and still beats (PROTOCOL.md, grown page).
  void SetGrey(bool aIsGrey);
  std::int64_t capacityMilliCores = 16000;

private:
  struct End
  {
    std::uint64_t number;
    std::shared_ptr<Run> run;
  };
  struct Waiting
  {
    Ref<HttpExchange> exchange;
    TimePoint until;
  };
  void Listen();
  void Handle(const Ref<HttpExchange>& aExchange);
  std::pair<int, json> Execute(const std::string& aPath, const json& aBody);
  std::pair<int, json> Start(const json& aBody);
  void EndRun(const std::string& aTask, const std::string& aHow);
  void ExtendLease(std::int64_t aDeadline);
  void Tick();
  void AnswerWaiting();
  json Report() const;
  json Answer() const;
  std::int64_t Clock() const;
  void ScheduleBeat(Duration aDelay);

  World& world;
  daisydrift::soak::SoakStore& store;
  std::string id;
  std::string kind;
  std::string state = "ready";
  int remainingMs = 0;
  unsigned short port = 0;
  std::unique_ptr<daisydrift::HttpListener> listener;
  std::int64_t born = 0;
  TimePoint bornAt;
  TimePoint lastBeat;
  std::uint64_t life = 0;
  std::uint64_t sequence = 0;
  std::uint64_t beatTimer = 0;
  bool isCut = false;
  bool isGrey = false;
  bool isHoldingBack = false;
  std::optional<json> heldCall;
  /// Keeps the connection of the held call open, without an answer.
  Ref<HttpExchange> heldExchange;
  bool isDown = false;
  bool isListed = false;
  std::uint64_t fence = 0;
  std::int64_t leaseEnd = 0;
  std::map<std::string, std::shared_ptr<Run>> running;
  std::map<std::string, std::uint64_t> closed;
  std::vector<End> ends;
  std::uint64_t nextEnd = 1;
  std::vector<Waiting> waiting;
};

/// Passes calls to the store and keeps its limit on the size of a value.
class StoreFront
{
public:
  StoreFront(daisydrift::AsioLoop& aLoop, Record& aRecord, SocketEndpoint aStore);
  bool Open() { return !this->listener.Open({ "127.0.0.1", 0 }); }
  unsigned short Port() const { return this->listener.Port(); }
  std::size_t refusedValues = 0;
  std::size_t largestValue = 0;

private:
  void Handle(const Ref<HttpExchange>& aExchange);
  Record& record;
  SocketEndpoint store;
  daisydrift::HttpClient client;
  daisydrift::HttpListener listener;
};

/// The interface of the machines (PROTOCOL.md, "Machines"); each runner has a machine.
class Cloud
{
public:
  Cloud(World& aWorld,
        daisydrift::soak::SoakStore& aStore,
        std::vector<std::unique_ptr<Runner>>& aRunners);
  bool Open() { return !this->listener.Open({ "127.0.0.1", 0 }); }
  unsigned short Port() const { return this->listener.Port(); }
  /// Machine and wave of each upkeep that has begun.
  std::set<std::pair<std::string, std::string>> upkeeps;

private:
  struct Machine
  {
    Runner* runner = nullptr;
    bool isUp = true;
    std::uint64_t fence = 0;
    int lives = 1;
  };
  void Handle(const Ref<HttpExchange>& aExchange);
  std::pair<int, json> Upkeep(const HttpRequest& aRequest);
  World& world;
  daisydrift::soak::SoakStore& store;
  std::vector<std::unique_ptr<Runner>>& runners;
  std::map<std::string, Machine> machines;
  daisydrift::HttpListener listener;
};

/// An instance, started with the command of the deploy file and rendered settings.
class Instance
{
public:
  Instance(std::string aProgram,
           std::string aFolder,
           int aNumber,
           unsigned short aStorePort,
           unsigned short aCloudPort);
  ~Instance();
  bool Start();
  SocketEndpoint Callers() const { return { this->address, this->firstPort }; }
  bool HasEnded();

private:
  std::string program;
  std::string folder;
  std::string name;
  std::string address;
  unsigned short firstPort;
  unsigned short storePort;
  /// 0 for none.
  unsigned short cloudPort;
  int process = 0;
};

/// The common parts of all cases.
class Deployment
{
public:
  Deployment(const std::string& aProgram,
             const std::string& aFolder,
             const std::string& aRecordFile,
             int aInstances,
             int aRunners,
             const std::vector<std::string>& aKinds,
             bool aHasCloud = false);
  bool Start();
  void PutConfig();
  /// Sends a request of a client and repeats it at another instance as PROTOCOL.md tells.
  void Submit(const std::string& aJob,
              const json& aBody,
              const std::string& aTenant,
              std::function<void(int)> aDone,
              const std::string& aQueue = "jobs",
              int aTries = 5);
  void Query(const std::string& aJob,
             const std::string& aTenant,
             std::function<void(int, std::string)> aDone,
             const std::string& aQueue = "jobs");
  std::string NewJobId();
  /// Reads a key as the operator; the value is empty when there is none.
  void ReadStore(const std::string& aKey, std::function<void(std::string)> aDone);
  bool HaveInstancesEnded();

  daisydrift::AsioLoop loop;
  Record record;
  World world;
  daisydrift::soak::SoakStore store;
  std::unique_ptr<StoreFront> front;
  std::vector<std::unique_ptr<Runner>> runners;
  std::vector<std::unique_ptr<Instance>> instances;
  std::unique_ptr<Cloud> cloud;

private:
  HttpRequest Call(const char* aMethod,
                   const std::string& aPath,
                   const std::string& aTenant,
                   const std::string& aBody) const;
  std::string program;
  std::string folder;
  int instanceCount;
  daisydrift::HttpClient client;
  std::size_t next = 0;
  std::uint64_t jobNumber = 0;
};

/// Runs of one task that break the rule TWICE: a start after a run has ended `done`, if that end is
/// taken note of then or later, or two runs at the same time on runners that are up.
std::size_t CheckTwice(World& aWorld);

} // namespace review
