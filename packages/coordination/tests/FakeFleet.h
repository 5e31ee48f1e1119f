#pragma once
// Workers in memory that keep leases, fencing numbers and lists of ends, and note what must not be.

#include "MemoryStore.h"

#include <set>

namespace daisydrift {

/// What happens to one order to start.
enum class StartFault
{
  None,
  /// It is carried out; the answer is lost.
  AnswerLost,
  /// The answer is lost and it is carried out 2 s later.
  DoneLate
};

class FakeFleet : public WorkerGateway
{
public:
  explicit FakeFleet(VirtualLoop& aLoop);

  /// Adds a worker of four cores and lists it in the store.
  void AddWorker(MemoryStore& aStore, const WorkerId& aId);
  /// The worker's process ends: nothing runs there any more and nobody answers.
  void Kill(const WorkerId& aId);
  /// The worker runs on but nobody reaches it.
  void Cut(const WorkerId& aId, bool aIsCut);

  void Start(const WorkerListing& aWorker,
             const StartOrder& aOrder,
             std::chrono::milliseconds aLease,
             Epoch aFence,
             std::function<void(StartAnswer, bool)> aDone) override;
  void Stop(const WorkerListing& aWorker,
            const StopOrder& aOrder,
            Epoch aFence,
            std::function<void(std::error_code)> aDone) override;
  void Pace(const WorkerListing& aWorker,
            const PaceOrder& aOrder,
            Epoch aFence,
            std::function<void(std::error_code)> aDone) override;
  void Look(const WorkerListing& aWorker,
            const LookRequest& aRequest,
            Epoch aFence,
            std::function<void(const Result<WorkerReport>&)> aDone) override;

  /// Run time of every task.
  Duration runTime = std::chrono::milliseconds(600);
  std::function<StartFault(const StartOrder&)> startFault;
  /// How the runs end that begin now.
  RunOutcome outcome = RunOutcome::Succeeded;
  /// True for a look that is carried out and whose answer is lost; empty for none.
  std::function<bool(const WorkerId&)> isLookLost;
  /// Starts that were carried out, and what broke a rule.
  std::size_t begun = 0;
  std::vector<std::string> violations;
  /// Runs that have succeeded, by task.
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
    bool isCut = false;
    Epoch fence = 0;
    TimePoint leaseEnd;
    std::map<TaskName, Run> running;
    /// Highest run of a task that ended or was stopped there.
    std::map<TaskName, RunNumber> closed;
    std::vector<EndedTask> ended;
    std::uint64_t nextEnd = 1;
    std::uint64_t acknowledged = 0;
  };

  bool IsReachable(const WorkerId& aId) const;
  std::chrono::milliseconds Clock() const;
  void Begin(const WorkerId& aId, const StartOrder& aOrder);
  void End(const WorkerId& aId, const TaskName& aTask, std::uint64_t aRunId, RunOutcome aOutcome);
  void ExtendLease(Worker& aWorker, std::chrono::milliseconds aLease);
  void CheckLeases();
  void Answer(const WorkerId& aId,
              const LookRequest& aRequest,
              TimePoint aUntil,
              std::function<void(const Result<WorkerReport>&)> aDone);

  VirtualLoop& loop;
  std::map<WorkerId, Worker> workers;
  /// Tasks whose success was taken note of.
  std::set<TaskName> noted;
  std::uint64_t nextRunId = 1;
};

/// Reads the entries that FakeFleet lists.
std::optional<WorkerListing> FakeWorkerFrom(const std::string& aKey, const std::string& aValue);

} // namespace daisydrift
