#pragma once
// Jobs, workers, teams and attempts.

#include "Entities.h"
#include "RunTimeEstimator.h"

#include <unordered_map>

namespace daisydrift::dispatch {

/// Owns all records of the dispatcher and keeps their sums consistent.
class FleetState
{
public:
  explicit FleetState(const DispatchSettings& aSettings);
  ~FleetState();

  Team& EnsureTeam(const TeamName& aName);
  /// The newest known rules of a queue. While none are known, its jobs neither start nor fail.
  const QueuePolicy* EnsureQueue(const QueueName& aName);
  /// Adopts rules of a queue unless newer ones are known. Returns true when the queue was known
  /// without rules.
  bool AdoptRules(const QueuePolicy& aRules);
  static bool HasRules(const QueuePolicy& aQueue) { return !aQueue.service.empty(); }
  Worker& EnsureWorker(const WorkerId& aId);
  Worker* FindWorker(const WorkerId& aId);
  Worker* FindWorker(std::uint32_t aNumber);
  /// All worker numbers are below this.
  std::size_t WorkerNumbers() const { return this->workersByNumber.size(); }
  /// Removes the workers that are not listed and have no attempts.
  void RemoveUnlistedWorkers();
  /// Restarts of a worker that were noticed in this term, also of one that was removed. While it is
  /// removed nobody notices one, so that time counts as one restart.
  std::uint32_t CountRestarts(const WorkerId& aWorker) const;
  Job* FindJob(const JobId& aId);
  Step* FindStep(const StepName& aName);
  Attempt* FindAttempt(AttemptKey aKey);
  Attempt* FindAttempt(const Worker& aWorker, const TaskName& aTask, RunNumber aRun);

  /// Adds the steps of the job's next occurrence.
  void AddOccurrence(Job& aJob, std::uint32_t aOccurrence);
  /// True when the task may get an attempt on the worker: it has no other one, or one that may be
  /// copied and is on another worker.
  static bool CanAddAttempt(const Step& aStep, std::uint32_t aIndex, const Worker& aWorker);
  /// Adds an attempt to start a task on a worker and commits its resources. CanAddAttempt must
  /// hold.
  Attempt& AddAttempt(Step& aStep,
                      std::uint32_t aIndex,
                      Worker& aWorker,
                      RunNumber aRun,
                      TimePoint aNow);
  /// Removes an attempt that has provably ended or can no longer start, and releases its resources.
  void RemoveAttempt(Attempt& aAttempt);
  static void MarkSucceeded(Step& aStep, std::uint32_t aIndex);
  /// Records that the job's progress must be stored.
  void MarkChanged(Job& aJob);
  /// Records that the part of the job's progress with that task must be stored.
  static void MarkPartChanged(Step& aStep, std::uint32_t aIndex);
  /// Marks steps of an occurrence as ready once all steps that they depend on have succeeded.
  static void UpdateReadySteps(Job& aJob, std::uint32_t aOccurrence);
  /// Removes the steps of the earliest occurrences that have succeeded, whole parts of the progress
  /// at a time.
  static void RetireOccurrences(Job& aJob);
  /// Puts a job into a final state. Its waiting tasks are no longer started, and the next sweep
  /// stops its running ones.
  void Finish(Job& aJob, DispatchState aState, WallTime aWall);
  void RemoveJob(const JobId& aId);

  /// True when aCount more tasks of aSize fit within the team's resource ceiling.
  static bool FitsCeiling(const Team& aTeam, const Resources& aSize, std::int64_t aCount = 1);
  /// Resources that a task takes from its worker's capacity.
  static Resources CommittedResources(const StepSpec& aSpec);

  /// Expected run time of a task of the step, on its own cores and beside its data.
  RunTime ExpectedRunTime(const Step& aStep) const;

  const DispatchSettings& settings;
  /// Share of a worker's cores that queues below the first priority leave free at present.
  double headroom;
  std::set<FailureDomain> drainedDomains;
  std::map<WorkerId, std::unique_ptr<Worker>> workers;
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs;
  /// Jobs that are not in a final state or still have attempts.
  std::set<Job*> openJobs;
  std::map<TeamName, Team> teams;
  RunTimeEstimator runTimes;
  /// Number of tasks that run twice.
  std::size_t runningCopies = 0;
  /// Jobs whose progress must be stored.
  std::vector<JobId> changedJobs;

private:
  /// Newest rules of each queue, including queues that were removed from the configuration.
  std::map<QueueName, QueuePolicy> queues;
  std::unordered_map<AttemptKey, std::unique_ptr<Attempt>> attempts;
  AttemptKey nextKey = 1;
  /// What CountRestarts returns for the workers that were removed.
  std::unordered_map<WorkerId, std::uint32_t> restartsOfRemovedWorkers;
  /// Null for the numbers of removed workers.
  std::vector<Worker*> workersByNumber;
};

} // namespace daisydrift::dispatch
