#pragma once
// State of the scheduler: workers, teams, jobs and attempts, with consistent sums.

#include "Estimates.h"
#include "FreeCapacityIndex.h"
#include "TeamQueue.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace daisydrift::core {

/// Owns all records. Every change that affects a sum goes through this class, so the sums of a
/// worker and a team always equal the totals over their attempts.
class ClusterState
{
public:
  ClusterState();

  /// Index of a failure domain; adds it if it is new.
  EntityIndex FindOrAddDomain(const FailureDomain& aName);
  /// Index of a worker; adds an unresponsive one without capacity if it is new.
  EntityIndex FindOrAddWorker(const WorkerId& aId);
  /// Index of a worker, or kNoEntity if it is unknown.
  EntityIndex FindWorker(const WorkerId& aId) const;
  /// Sets the failure domain, rack, capacity and health of a worker.
  void SetWorkerDescription(EntityIndex aWorker, const WorkerDescription& aDescription);
  /// Adds the worker to the index of free capacity, updates it there or removes it, depending on
  /// its state.
  void ReindexWorker(EntityIndex aWorker);
  /// Replaces the set of drained failure domains.
  void SetDrained(const std::set<FailureDomain>& aDrained);
  /// True if the worker may get new tasks, regardless of free capacity, quarantine and reservation.
  bool AcceptsStarts(const Worker& aWorker) const;

  /// Returns the team, or null if it is unknown.
  Team* FindTeam(const TeamName& aName);
  const Team* FindTeam(const TeamName& aName) const;
  /// Returns the team; adds an unconfigured one with a ceiling of zero if it is new.
  Team& FindOrAddTeam(const TeamName& aName);

  /// Returns the job, or null if it is unknown.
  Job* FindJob(JobNumber aNumber);
  const Job* FindJob(JobNumber aNumber) const;
  /// Adds a job; its number must not be in use.
  Job& AddJob(const JobSpec& aSpec, TimePoint aNow);
  /// Removes a job, which must have no attempts and not be queued.
  void RemoveJob(JobNumber aNumber);
  /// All jobs, ordered by number.
  std::vector<const Job*> SortedJobs() const;

  /// Returns an attempt that has not ended, or null.
  Attempt* FindAttempt(const AttemptId& aId);
  /// Adds an attempt of a task and commits aLimit to it.
  Attempt& AddAttempt(Job& aJob,
                      std::uint32_t aTask,
                      std::uint32_t aNumber,
                      EntityIndex aWorker,
                      const Resources& aLimit,
                      TimePoint aNow);
  /// Removes an attempt and releases its committed resources.
  void RemoveAttempt(Attempt& aAttempt);
  /// Marks an attempt as being stopped.
  void MarkStopping(Attempt& aAttempt);
  /// Records whether the limit of an attempt still has to be confirmed by its worker.
  void SetLimitUnconfirmed(Attempt& aAttempt, bool aIsUnconfirmed);
  /// Changes the resources committed to an attempt.
  void SetCommitted(Attempt& aAttempt, const Resources& aCommitted);
  /// Adds aAmount, which may be negative, to the resources held on a worker.
  void AdjustHeld(EntityIndex aWorker, const Resources& aAmount);
  /// Sets whether a worker is part of GangPlanner's reservation.
  void SetReserved(EntityIndex aWorker, bool aIsReserved);

  /// Applies an event of the task state chart.
  void ApplyEvent(Task& aTask, TaskEvent aEvent);
  /// Size of the job's next attempt: the declared size corrected by the estimate.
  Resources NextAttemptSize(const Job& aJob) const;
  /// Adds the job to its queue or removes it, depending on its state.
  void UpdateQueue(Job& aJob);
  /// True if aCount more attempts of aSize keep the team within its ceiling.
  static bool FitsCeiling(const Team& aTeam, const Resources& aSize, std::uint32_t aCount = 1);

  std::deque<Worker> workers;
  std::deque<Domain> domains;
  std::vector<std::string> racks;
  std::deque<Team> teams;
  FreeCapacityIndex freeCapacityIndex;
  Estimates estimates;
  /// Urgent jobs with waiting tasks, except gangs, ordered by arrival.
  std::set<std::pair<std::uint64_t, Job*>> urgentJobs;
  /// Total capacity of the workers that are not gone and not in a drained failure domain.
  Resources regionCapacity;
  /// Largest capacity of any worker that is not gone, per resource type.
  Resources maxWorkerCapacity;
  /// Largest free capacity among workers whose free capacity grew since the last retry of blocked
  /// groups, per resource type. Valid only if hasFreedCapacity is set.
  Resources freedCapacity;
  bool hasFreedCapacity = false;
  /// True if all groups that found no worker must be retried, whatever their size.
  bool mustRetryAllGroups = false;
  std::size_t attemptCount = 0;

private:
  /// Adds the worker's capacity to the sums or subtracts it.
  void UpdateCapacitySums(const Worker& aWorker, bool aIsAdded);
  static void UpdateAmountCount(std::map<std::int64_t, std::size_t>& aCounts,
                                std::int64_t aAmount,
                                bool aIsAdded);
  void UpdateWaitingSums(Job& aJob);
  void UpdatePlacementCounts(const Attempt& aAttempt, int aChange);
  EntityIndex FindOrAddRack(const std::string& aName);

  const TaskChart& chart;
  std::unordered_map<WorkerId, EntityIndex> workerByName;
  std::map<FailureDomain, EntityIndex> domainByName;
  std::map<std::string, EntityIndex> rackByName;
  std::map<TeamName, EntityIndex> teamByName;
  std::unordered_map<JobNumber, std::unique_ptr<Job>> jobs;
  /// Storage of the attempts, with stable addresses; ended attempts are reused.
  std::deque<Attempt> attemptPool;
  std::vector<Attempt*> freeAttempts;
  std::uint64_t nextSequence = 1;
  /// Number of workers by capacity of each resource type, to find the largest.
  std::map<std::int64_t, std::size_t> workerCountByCores;
  std::map<std::int64_t, std::size_t> workerCountByMemory;
  std::map<std::int64_t, std::size_t> workerCountByAccelerators;
};

} // namespace daisydrift::core
