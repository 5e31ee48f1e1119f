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
  /// Ends the worker's process and all its runs; it no longer answers.
  void Kill(const WorkerId& aId);
  /// Sets whether the worker, which keeps running, is unreachable.
  void SetUnreachable(const WorkerId& aId, bool aIsUnreachable);

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

  /// Run time of each task.
  Duration runTime = std::chrono::milliseconds(600);
  std::function<StartFault(const StartCommand&)> startFault;
  /// Outcome of the runs that start from now on.
  RunOutcome outcome = RunOutcome::Succeeded;
  /// True for a poll that is carried out but whose response is lost; empty for none.
  std::function<bool(const WorkerId&)> isPollResponseLost;
  /// Number of runs that were started, and violated invariants.
  std::size_t startedRuns = 0;
  std::vector<std::string> violations;
  /// Number of successful runs by task.
  std::map<TaskName, int> successes;

private:
  struct Run
  {
    RunNumber run = 0;
    std::uint64_t id = 0;
  };
  struct Worker
  {
    bool isDown = false;
    bool isUnreachable = false;
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
  std::chrono::milliseconds Clock() const;
  void StartRun(const WorkerId& aId, const StartCommand& aCommand);
  void EndRun(const WorkerId& aId,
              const TaskName& aTask,
              std::uint64_t aRunId,
              RunOutcome aOutcome);
  void ExtendLease(Worker& aWorker, std::chrono::milliseconds aLease);
  void CheckLeases();
  void AnswerPoll(const WorkerId& aId,
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
