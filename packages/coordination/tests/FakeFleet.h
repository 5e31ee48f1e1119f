#pragma once
// Simulated workers that enforce leases and fencing tokens, keep completions and record violated
// invariants.

#include "InMemoryStore.h"

#include <set>

namespace daisydrift {

/// Fault of one start command.
enum class StartFault
{
  None,
  /// The command is carried out; the response is lost.
  ResponseLost,
  /// The response is lost, and the command is carried out 2 s later.
  AppliedLate
};

class FakeFleet : public WorkerGateway
{
public:
  explicit FakeFleet(VirtualLoop& aLoop);

  /// Adds a worker with four cores and lists it in the store.
  void AddWorker(InMemoryStore& aStore, const WorkerId& aId);
  /// Lists the worker as one that is to leave.
  static void Drain(InMemoryStore& aStore, const WorkerId& aId);
  /// Ends the worker's process and all its runs; it no longer answers.
  void Kill(const WorkerId& aId);
  /// Starts a new process of the worker under its id, which runs and knows nothing.
  void Restart(const WorkerId& aId);
  /// Sets whether the worker, which keeps running, is unreachable.
  void SetUnreachable(const WorkerId& aId, bool aIsUnreachable);
  /// The same, but connections to the worker are refused.
  void SetRefusing(const WorkerId& aId, bool aIsRefusing);
  /// Highest fencing token that the worker's present incarnation has seen.
  Epoch FencingToken(const WorkerId& aId) const { return this->workers.at(aId).fencingToken; }
  std::size_t CountRuns(const WorkerId& aId) const { return this->workers.at(aId).running.size(); }

  void Start(const WorkerListing& aWorker,
             const StartCommand& aCommand,
             std::chrono::milliseconds aLease,
             Epoch aFencingToken,
             std::function<void(StartResult, bool)> aDone) override;
  void Stop(const WorkerListing& aWorker,
            const StopCommand& aCommand,
            Epoch aFencingToken,
            std::function<void(std::error_code)> aDone) override;
  void Throttle(const WorkerListing& aWorker,
                const ThrottleCommand& aCommand,
                Epoch aFencingToken,
                std::function<void(std::error_code)> aDone) override;
  void Poll(const WorkerListing& aWorker,
            const PollRequest& aRequest,
            Epoch aFencingToken,
            std::function<void(const Result<WorkerReport>&)> aDone) override;

  /// Most completions that a worker lists in one report.
  std::size_t maxCompletionsPerReport = 500;
  /// Longest lease that a worker grants.
  Duration maxLease = std::chrono::milliseconds(6000);
  /// Run time of each task.
  Duration runTime = std::chrono::milliseconds(600);
  std::function<StartFault(const StartCommand&)> startFault;
  /// A late start for an earlier incarnation is carried out by the next one, which can't tell them
  /// apart, unless its fencing token is lower than one that it has seen.
  bool reachesNextIncarnation = false;
  /// Outcome of the runs that start from now on.
  RunOutcome outcome = RunOutcome::Succeeded;
  /// Run time and outcome of each run instead of runTime and outcome; a run whose time is empty
  /// lasts until it is stopped. Empty for none.
  std::function<std::pair<std::optional<Duration>, RunOutcome>(const StartCommand&)> planRun;
  /// Number of members of the task's gang, or 0; empty for no gangs.
  std::function<std::uint32_t(const TaskName&)> gangSize;
  /// True for a poll that is carried out but whose response is lost; empty for none.
  std::function<bool(const WorkerId&)> isPollResponseLost;
  /// Called when a stop command is sent; empty for none.
  std::function<void()> onStop;
  /// Number of runs that were started, and violated invariants.
  std::size_t startedRuns = 0;
  std::vector<std::string> violations;
  /// Number of successful runs by task.
  std::map<TaskName, int> successes;
  /// Number of failed runs by task.
  std::map<TaskName, std::uint32_t> failures;
  /// Number of the task's runs at present.
  std::size_t CountRuns(const TaskName& aTask) const;

private:
  struct Run
  {
    RunNumber run = 0;
    std::uint64_t id = 0;
    /// A member of a gang, which works only while all members are present.
    bool isMember = false;
  };
  struct Worker
  {
    bool isDown = false;
    bool isUnreachable = false;
    /// Connections are refused; for an unreachable worker.
    bool isRefusing = false;
    std::int64_t incarnation = 1;
    Epoch fencingToken = 0;
    TimePoint leaseEnd;
    std::map<TaskName, Run> running;
    /// Highest run number of each task that has ended or was stopped on the worker.
    std::map<TaskName, RunNumber> highestEndedRun;
    std::vector<RunCompletion> completions;
    std::uint64_t nextCompletionNumber = 1;
    std::uint64_t acknowledged = 0;
  };

  bool IsReachable(const WorkerId& aId) const;
  /// Delay until a call to an unreachable worker fails, and its error.
  Duration FailureDelay(const WorkerId& aId) const;
  Errc FailureOf(const WorkerId& aId) const;
  std::chrono::milliseconds Clock() const;
  void StartRun(const WorkerId& aId, const StartCommand& aCommand);
  void EndRun(const WorkerId& aId,
              const TaskName& aTask,
              std::uint64_t aRunId,
              RunOutcome aOutcome);
  /// Calls aAction for each member of the task's gang that belongs to the same run.
  void ForGang(const TaskName& aTask,
               RunNumber aRun,
               const std::function<void(const WorkerId&, const TaskName&, std::uint64_t)>& aAction);
  void StartMember(const WorkerId& aId, const StartCommand& aCommand, std::uint64_t aRunId);
  void ExtendLease(Worker& aWorker, std::chrono::milliseconds aLease);
  void CheckLeases();
  void AnswerPoll(const WorkerId& aId,
                  std::int64_t aIncarnation,
                  const PollRequest& aRequest,
                  TimePoint aUntil,
                  std::function<void(const Result<WorkerReport>&)> aDone);

  VirtualLoop& loop;
  std::map<WorkerId, Worker> workers;
  /// Tasks whose success was acknowledged.
  std::set<TaskName> acknowledgedSuccesses;
  std::uint64_t nextRunId = 1;
};

/// Parses the worker entries that FakeFleet writes.
std::optional<WorkerListing> ParseFakeWorker(const std::string& aKey, const std::string& aValue);

} // namespace daisydrift
