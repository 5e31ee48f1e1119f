#pragma once
// Implementation of the dispatcher: events are handled in Dispatcher.cpp and Reports.cpp,
// leases on workers in WorkerLeases.cpp, scheduling rounds in Rounds.cpp, stops for higher
// priorities in Preemption.cpp, and stored progress in Progress.cpp.

#include "AdvicePlanner.h"
#include "Backlog.h"
#include "CopyPlanner.h"
#include "HeadroomController.h"
#include "InterferenceController.h"
#include "OverloadSelector.h"
#include "Placement.h"
#include "PreemptionPlanner.h"
#include "StepRank.h"
#include "daisydrift/dispatch/Dispatcher.h"

namespace daisydrift {

class Dispatcher::Impl
{
public:
  Impl(const DispatchSettings& aSettings, TimePoint aTermStart);

  /// Processes the completions in a worker's report.
  void ProcessCompletions(dispatch::Worker& aWorker, const WorkerReport& aReport, TimePoint aNow);
  /// Compares the tasks that a worker runs with those that it should run, and handles differences.
  void ReconcileRunningTasks(dispatch::Worker& aWorker,
                             const WorkerReport& aReport,
                             TimePoint aSentAt,
                             TimePoint aNow);
  void OnCompletion(dispatch::Attempt& aAttempt, const RunCompletion& aCompletion, TimePoint aNow);
  /// Marks a task without an attempt as succeeded, with all that follows from it.
  void MarkTaskSucceeded(dispatch::Step& aStep, std::uint32_t aIndex);
  /// A run of the task that has no attempt any more has succeeded.
  void OnEarlierSuccess(dispatch::Step& aStep, std::uint32_t aIndex);
  void OnTaskSucceeded(dispatch::Attempt& aAttempt, TimePoint aNow);
  void OnTaskFailed(dispatch::Attempt& aAttempt, TimePoint aNow);
  /// Counts a failed run of a task, or of the gang that it belongs to, unless it was counted
  /// before.
  void CountFailure(dispatch::Step& aStep, std::uint32_t aIndex, RunNumber aRun, TimePoint aNow);
  /// Removes an attempt that has ended, or that never started.
  void CloseAttempt(dispatch::Attempt& aAttempt);
  /// Adopts a reported run that has no attempt here, or stops it.
  void OnUnknownRun(dispatch::Worker& aWorker, const RunningTask& aRunning, TimePoint aNow);
  /// Longest lease, from its first report in this term, that earlier leaders may have given a
  /// worker.
  Duration LongestLeaseBefore(const dispatch::Worker& aWorker,
                              const WorkerReport& aReport,
                              TimePoint aNow) const;
  /// Handles the first report of a new incarnation of the worker.
  void OnIncarnationChange(dispatch::Worker& aWorker, const WorkerReport& aReport, TimePoint aNow);
  /// Handles the next reports, until the worker refuses commands for its earlier incarnations.
  void UpdateFence(dispatch::Worker& aWorker, const WorkerReport& aReport, TimePoint aSentAt);
  /// Time until which an attempt that is decided now may run on a lease that is longer than the one
  /// that is asked for; 0 if it can't.
  WallTime LongLeaseUntil(const dispatch::Worker& aWorker, TimePoint aNow) const;
  void CloseExpiredAttempts(dispatch::Worker& aWorker, TimePoint aNow);

  /// Creates the occurrences of a job that are due, and updates which of its steps are ready.
  void StartDueOccurrences(dispatch::Job& aJob, WallTime aWall);
  void CompleteIfDone(dispatch::Job& aJob);
  /// Marks all attempts of a task for stopping.
  void StopRuns(dispatch::Task& aTask);
  /// Marks all attempts of a gang for stopping.
  void StopGang(dispatch::Step& aStep);
  /// Checks all jobs and attempts for what is due: occurrences, expired leases, stalls and stops.
  void Sweep(TimePoint aNow, DispatchRound& aRound);
  /// Stops an attempt that is stalled, or so slow that a restart on another worker ends sooner.
  void CheckProgress(dispatch::Attempt& aAttempt, TimePoint aNow);
  /// Stops an attempt on a draining worker when the task can continue on another worker.
  void MigrateFromDrainingWorker(dispatch::Attempt& aAttempt, TimePoint aNow);
  /// True when the step's disruption budget allows one more of its tasks to be stopped.
  bool CanDisrupt(const dispatch::Step& aStep) const;
  /// Adapts the headroom to how long the steps that are waiting have waited.
  void UpdateHeadroom(const std::vector<dispatch::WaitingStep>& aWaiting, TimePoint aNow);
  void PlaceStep(dispatch::Step& aStep, TimePoint aNow, DispatchRound& aRound);
  void PlaceGang(dispatch::Step& aStep, TimePoint aNow, DispatchRound& aRound);
  /// Starts copies of tasks whose run holds up their step, where they take no room from
  /// aWaiting. aPosition: number of steps for which advice was considered before.
  void PlaceCopies(const std::vector<dispatch::WaitingStep>& aWaiting,
                   TimePoint aNow,
                   std::size_t aRequestSlots,
                   std::size_t aPosition,
                   DispatchRound& aRound);
  void StartCopy(const dispatch::CopyPlanner::Straggler& aStraggler,
                 dispatch::Worker& aWorker,
                 TimePoint aNow,
                 DispatchRound& aRound);
  /// Records which of a task's two runs has succeeded; does nothing for a task with one run.
  void LogCopyResult(const dispatch::Attempt& aSucceeded, TimePoint aNow);
  /// Adds an attempt, which is sent once the progress of its job has been stored.
  void PlanStart(dispatch::Step& aStep,
                 std::uint32_t aIndex,
                 dispatch::Worker& aWorker,
                 RunNumber aRun,
                 TimePoint aNow,
                 DispatchRound& aRound);
  /// Stops running tasks for waiting steps, if the settings allow it.
  void PlanPreemptions(const std::vector<dispatch::WaitingStep>& aWaiting,
                       TimePoint aNow,
                       DispatchRound& aRound);
  /// The same for steps of one service.
  void PlanPreemptionsOf(const std::vector<const dispatch::Step*>& aSteps,
                         TimePoint aNow,
                         DispatchRound& aRound);
  /// True when tasks may be stopped for the step.
  bool MayPreempt(const dispatch::Step& aStep, TimePoint aNow) const;
  dispatch::PreemptibleRun DescribeRun(const dispatch::Attempt& aAttempt, TimePoint aNow) const;
  dispatch::PreemptionNeed DescribeNeed(const dispatch::Step& aStep, TimePoint aNow) const;
  /// Stops an attempt, or its gang, for a step that has to start within aSlack.
  void Preempt(dispatch::Attempt& aAttempt,
               const dispatch::Step& aFor,
               Duration aSlack,
               TimePoint aNow,
               DispatchRound& aRound);
  RunNumber NextRunNumber(const dispatch::Task& aTask) const;
  /// Adopts rules of a queue unless newer ones are known.
  void AdoptRules(const QueuePolicy& aRules);
  /// Fails the job of a task that has failed as often as its queue allows.
  void FailIfAttemptsAreUsedUp(dispatch::Step& aStep, std::uint32_t aIndex);
  /// The same for all tasks of the job.
  void FailIfAttemptsAreUsedUp(dispatch::Job& aJob);
  /// Restores the stored progress of all steps, the parts in any order.
  void RestoreSteps(dispatch::Job& aJob, const std::vector<StepProgress>& aParts, TimePoint aNow);
  /// Marks the tasks that have succeeded by a part; they may have open runs all the same.
  void RestoreSuccesses(dispatch::Job& aJob, const StepProgress& aPart);
  /// Restores what else a part says of its tasks.
  void RestoreTasks(dispatch::Job& aJob, const StepProgress& aPart, TimePoint aNow);
  /// Step that a part describes; null if the job has no such step, or no longer.
  dispatch::Step* EnsureRestoredStep(dispatch::Job& aJob, const StepProgress& aPart);
  dispatch::Job& InsertJob(const JobDefinition& aDefinition, TimePoint aNow);
  /// Notes when a new job is expected to end, if there is a recent forecast.
  void NoteExpectedEnd(dispatch::Job& aJob, TimePoint aNow, WallTime aWall);

  DispatchSettings settings;
  TimePoint termStart;
  /// Time by which all leases of earlier leaders have expired, however long they are.
  TimePoint longestLeaseBound;
  /// Time by which the leases on a worker that has not reported in this term have expired.
  TimePoint restoredLeaseBound;
  /// Wall clock time of the newest scheduling round or restored job.
  WallTime wall;
  dispatch::FleetState state;
  dispatch::WorkerReliability reliability;
  dispatch::Placement placement;
  dispatch::AdvicePlanner advicePlanner;
  dispatch::CopyPlanner copyPlanner;
  dispatch::OverloadSelector overloadSelector;
  dispatch::HeadroomController headroomController;
  dispatch::InterferenceController interference;
  /// Stops of runs that have no attempt here; sent with the next sweep.
  std::vector<StopCommand> unknownRunStops;
  dispatch::PreemptionPlanner preemptionPlanner;
  TimePoint nextPreemptionPlan;
  TimePoint nextSweep;
  /// Position in the list of stragglers at which the next sweep begins.
  std::size_t stragglersPassed = 0;
  std::uint64_t copiesStarted = 0;
  /// Copies that succeeded before the first run of their task.
  std::uint64_t copiesWon = 0;
  std::uint64_t nextSequence = 1;
  /// The last forecast, and its errors by queue.
  FleetForecast forecast;
  TimePoint forecastAt;
  std::map<QueueName, ForecastErrors> forecastErrors;
};

/// Identifies the task of an attempt.
TaskName NameOf(const dispatch::Attempt& aAttempt);

} // namespace daisydrift
