#pragma once
// Runs entry instances as separate processes, with stand-ins for the platform in the test's
// process. All servers listen on 127.0.0.1 on ports chosen by the operating system.

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

/// Result of one HTTP request.
struct CallResult
{
  /// HTTP status; 0 when no complete response was received.
  int status = 0;
  /// True when the connection was refused, so that nothing was sent.
  bool isConnectionRefused = false;
  std::string body;
  std::string outcome;
};

/// Numbers of calls that the store has counted. A watch counts as one read when it starts.
struct StoreCounts
{
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t rejected = 0;
  std::uint64_t waitingWatches = 0;
};

/// Process of one entry instance.
struct DaemonProcess
{
  pid_t pid = 0;
  std::string name;
  std::string logFile;
  Endpoint http;
  Endpoint operators;
  bool isStopped = false;
};

/// A fleet for one test. Waits end after a generous timeout, which only protects against hangs.
class FleetHarness
{
public:
  FleetHarness(unsigned aInstances, unsigned aWorkers, unsigned aUpstreams);
  ~FleetHarness();

  /// Starts one more instance, waits until it is ready and returns its index.
  std::size_t StartInstance();
  /// Sends a signal to the process of an instance.
  void Signal(std::size_t aInstance, int aSignal);
  /// Waits until the process of an instance has ended. Returns its exit code, or -1 when it was
  /// killed by a signal.
  int WaitForExit(std::size_t aInstance);
  /// Sets the faults of the store, in the JSON format of StoreServer.
  void SetStoreFaults(const std::string& aJson);

  /// Sends a request to an instance as operator, or with the team's key when aTeam is not empty.
  CallResult Call(std::size_t aInstance,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aBody = "",
                  const std::string& aTeam = "");
  /// Creates the team "team" with a key, the failure domains and the service "desk", and waits
  /// until the configuration is in force on all instances. The team may run aMaxTasks tasks of one
  /// core and 1,000 MiB at once.
  void SetUpFleet(unsigned aMaxTasks = 60);
  /// Submits a job of the team. Returns its id, or "" when it was not accepted.
  std::string Submit(const std::string& aBody);
  /// Returns the state of a job from the first instance that knows it; "" when none does.
  std::string JobState(const std::string& aJob);
  /// Returns the index of the leading instance; nothing when no instance reports one.
  std::optional<std::size_t> Leader();
  /// Waits until aCondition is true. Returns false after the timeout.
  static bool WaitFor(const std::function<bool()>& aCondition);

  /// Sends requests that are not repeatable to the ready instances, like a load balancer, until
  /// StopLoad.
  void StartLoad(unsigned aThreads);
  void StopLoad();
  /// Number of requests sent, and of those with a response from an upstream.
  unsigned Sent() const { return this->sent; }
  unsigned SuccessfulResponses() const { return this->successfulResponses; }
  /// Number of requests whose connection broke before the complete response.
  unsigned Broken() const { return this->broken; }

  /// Adds an event with the current time to the history.
  void Record(const std::string& aEvent);
  /// Checks the history of all that workers, upstreams and callers observed.
  HistoryReport Check();
  /// Numbers of store calls so far.
  StoreCounts StoreCalls() const;
  /// Number of task starts on all workers so far.
  std::size_t TaskStarts() const;
  /// All instances started so far, including stopped ones.
  const std::vector<DaemonProcess>& Instances() const { return this->daemons; }
  /// API key of the team.
  const std::string& TeamKey() const { return this->teamKey; }

private:
  void WriteSettings(const std::string& aFile) const;
  bool ReadAddresses(DaemonProcess& aDaemon) const;
  void SetStopped(DaemonProcess& aDaemon);
  /// Thread-safe, unlike direct access to DaemonProcess::isStopped.
  bool IsStopped(std::size_t aInstance) const;
  void RunLoad(unsigned aThread);
  void SendRequest(const std::string& aId, std::size_t aFirst);

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
  std::atomic<unsigned> successfulResponses{ 0 };
  std::atomic<unsigned> broken{ 0 };
};

} // namespace daisydrift
