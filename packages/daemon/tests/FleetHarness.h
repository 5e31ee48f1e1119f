#pragma once
// Entry instances as separate processes, with stand-ins of the platform in the test's process.
// Everything listens on 127.0.0.1 with ports that the system chooses.

#include "daisydrift/checker.h"
#include "daisydrift/standins.h"

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace daisydrift {

/// Answer of one HTTP call.
struct CallResult
{
  /// 0: no whole answer.
  int status = 0;
  /// True when the connection was refused: nothing was sent.
  bool isRefused = false;
  std::string body;
  std::string outcome;
};

/// Calls that the store has counted. A waiting watch counts as one read when it begins.
struct StoreCounts
{
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t rejected = 0;
  std::uint64_t waitingWatches = 0;
};

/// One entry instance.
struct DaemonProcess
{
  pid_t pid = 0;
  std::string name;
  std::string logFile;
  Endpoint http;
  Endpoint operators;
  bool isStopped = false;
};

/// A fleet for one test. Waits have a generous limit only as a safeguard against a hang.
class FleetHarness
{
public:
  FleetHarness(unsigned aInstances, unsigned aWorkers, unsigned aUpstreams);
  ~FleetHarness();

  /// Starts one more instance and waits until it serves; returns its index.
  std::size_t StartInstance();
  /// Sends a signal to an instance.
  void Signal(std::size_t aInstance, int aSignal);
  /// Waits until the process of an instance has ended; returns its exit code, -1 when it was
  /// killed.
  int WaitForEnd(std::size_t aInstance);
  /// Sets faults of the store, as StoreServer takes them.
  void SetStoreFaults(const std::string& aJson);

  /// Calls an instance as operator, or as a team when aTeam is not empty.
  CallResult Call(std::size_t aInstance,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody = "",
                  const std::string& aTeam = "");
  /// Creates the team "team" with a key, the failure domains and the service "desk", and waits
  /// until all is in force.
  /// The team may run aMaxTasks tasks of one core and 1,000 MiB at once.
  void SetUpFleet(unsigned aMaxTasks = 60);
  /// Submits a job for the team; returns its id, or "" when it was not accepted.
  std::string Submit(const std::string& aBody);
  /// State of a job, asked at any instance that answers; "" when none does.
  std::string JobState(const std::string& aJob);
  /// Index of the instance that leads, if one says so.
  std::optional<std::size_t> Leader();
  /// Waits until aCondition holds; returns false when the safeguard ended the wait.
  static bool WaitFor(const std::function<bool()>& aCondition);

  /// Sends requests that are not repeatable through the ready instances, as a load balancer does,
  /// until StopLoad.
  void StartLoad(unsigned aThreads);
  void StopLoad();
  /// Requests sent, and how many were answered by an upstream.
  unsigned Sent() const { return this->sent; }
  unsigned Answered() const { return this->answered; }
  /// Requests whose connection broke before the whole answer.
  unsigned Broken() const { return this->broken; }

  /// Adds an event to the history, with the current time.
  void Record(const std::string& aEvent);
  /// Verdict on all that workers, upstreams and callers saw.
  HistoryReport Check();
  /// Calls of the store so far.
  StoreCounts StoreCalls() const;
  /// Starts over all workers so far.
  std::size_t TaskStarts() const;
  /// Instances started so far.
  const std::vector<DaemonProcess>& Instances() const { return this->daemons; }
  /// Key of the team.
  const std::string& TeamKey() const { return this->teamKey; }

private:
  void WriteSettings(const std::string& aFile) const;
  bool ReadAddresses(DaemonProcess& aDaemon) const;
  void SetStopped(DaemonProcess& aDaemon);
  /// Thread-safe, unlike the field itself.
  bool IsStopped(std::size_t aInstance) const;
  void RunLoad(unsigned aThread);
  void SendOne(const std::string& aId, std::size_t aFirst);

  std::string folder;
  StoreServer store{ { 500, 2000 } };
  std::vector<std::unique_ptr<WorkerServer>> workers;
  std::vector<std::unique_ptr<UpstreamServer>> upstreams;
  std::vector<InstanceInfo> instances;
  std::unique_ptr<DirectoryServer> directory;
  std::vector<DaemonProcess> daemons;
  std::string operatorKey = "operator-key-of-the-test";
  std::string teamKey;
  mutable std::mutex mutex;
  std::string history;
  std::vector<std::thread> load;
  std::atomic<bool> isLoading{ false };
  std::atomic<unsigned> sent{ 0 };
  std::atomic<unsigned> answered{ 0 };
  std::atomic<unsigned> broken{ 0 };
};

} // namespace daisydrift
