#pragma once
// Choice of the running tasks to stop for tasks of a higher priority.

#include "daisydrift/base.h"

#include <cstdint>
#include <vector>

namespace daisydrift::dispatch {

/// A running task.
struct PreemptibleRun
{
  std::uint64_t key = 0;
  Resources size;
  std::uint32_t priority = 0;
  /// Expected time until its capacity is free without a stop; for a run that is being stopped, the
  /// time that this takes.
  Duration left{ 0 };
  /// False for services, runs that are being stopped or were stopped shortly before, and tasks
  /// whose capacity would not become free.
  bool canStop = false;
  bool canCheckpoint = false;
  /// Work that a stop loses, in core seconds; of a gang, that of all its members.
  double lostWork = 0;
  /// Cores, in thousandths, that stop with this run: its own, or those of its whole gang.
  std::int64_t stoppedMilliCores = 0;
  /// The same for all members of a gang; 0 for none.
  std::uint64_t gang = 0;
};

struct PreemptionWorker
{
  std::uint32_t number = 0;
  Resources free;
  std::vector<PreemptibleRun> runs;
};

/// Waiting tasks of one step.
struct PreemptionNeed
{
  std::uint32_t priority = 0;
  Resources size;
  std::uint32_t tasks = 0;
  /// Time until the tasks have to start to be in time.
  Duration slack{ 0 };
  /// By worker number: the workers that may run the step.
  std::vector<bool> usable;
};

/// Decides which running tasks are stopped for waiting ones. Answers a load of the first priority,
/// or a service, that comes to a fleet full of long tasks of lower priorities: by themselves these
/// free their capacity too late. Tasks that checkpoint and lose the least work for the capacity
/// that they free are stopped first, never those that end before the capacity is needed. Nothing is
/// stopped for less than kMinLateness, nor for a task that would be late all the same, and no more
/// than kMaxStoppedShare of the work of lower priorities is stopped at a time.
class PreemptionPlanner
{
public:
  static constexpr std::chrono::milliseconds kMinLateness{ 1000 };
  static constexpr double kMaxStoppedShare = 0.1;
  /// Time for which a task that was stopped is not stopped again.
  static constexpr std::chrono::seconds kRepeatDelay{ 5 };
  /// Time that a task takes to continue from its checkpoint; upper bound stated by the customers.
  static constexpr std::chrono::milliseconds kRestoreTime{ 600 };

  /// Learns from a run that has ended aTime after its stop was sent.
  void OnStopped(Duration aTime);
  /// Expected time from the decision until the capacity is free.
  Duration StopTime() const { return this->stopTime; }
  /// Returns the runs to stop for a step, of a gang any member. Needs are passed in the scheduling
  /// order; what one takes is taken from aWorkers and aBudget, the cores, in thousandths, that may
  /// still be stopped.
  std::vector<std::uint64_t> Plan(const PreemptionNeed& aNeed,
                                  std::vector<PreemptionWorker>& aWorkers,
                                  std::int64_t& aBudget) const;

private:
  /// Runs of one worker that together free capacity for one more task.
  struct Option
  {
    PreemptionWorker* worker = nullptr;
    std::vector<PreemptibleRun*> runs;
    std::uint32_t tasks = 0;
    std::int64_t stoppedMilliCores = 0;
    bool allCheckpoint = true;
    /// Lost work for each task that can start.
    double cost = 0;
  };

  /// Tasks of the need that fit on the worker at the latest by aTime, without a stop.
  static std::uint32_t TasksBy(const PreemptionNeed& aNeed,
                               const PreemptionWorker& aWorker,
                               Duration aTime);
  /// Marks a run, and the others of its gang, as being stopped.
  void MarkStopped(const PreemptibleRun& aRun, std::vector<PreemptionWorker>& aWorkers) const;
  Option CheapestOption(const PreemptionNeed& aNeed, PreemptionWorker& aWorker) const;

  /// Until a stop was observed, the longest stop time that customers state.
  Duration stopTime = std::chrono::milliseconds(900);
};

} // namespace daisydrift::dispatch
