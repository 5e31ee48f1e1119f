#pragma once
// The decision state: workers, teams, jobs and attempts, with all sums kept consistent.

#include "Estimates.h"
#include "TeamQueue.h"
#include "WorkerIndex.h"

#include <deque>
#include <memory>
#include <unordered_map>

namespace daisydrift::core {

/// Owner of all records. Every change of a sum goes through it, so that a worker's and a team's
/// sums always equal those over their attempts.
class ClusterState
{
public:
  ClusterState();

  /// Position of a failure domain by name; adds it when new.
  Position DomainPosition(const FailureDomain& aName);
  /// Position of a worker by id; adds a silent one without capacity when new.
  Position WorkerPosition(const WorkerId& aId);
  /// Position of a worker or kNoPosition.
  Position FindWorker(const WorkerId& aId) const;
  /// Sets place, capacity and health of a worker.
  void DescribeWorker(Position aWorker, const WorkerDescription& aDescription);
  /// Puts the worker into the index or takes it out, by its present state.
  void RefreshWorker(Position aWorker);
  /// Replaces the set of drained failure domains.
  void SetDrained(const std::set<FailureDomain>& aDrained);
  /// True when the worker may get starts, apart from room and quarantine.
  bool AcceptsStarts(const Worker& aWorker) const;

  /// Finds a team or null.
  Team* FindTeam(const TeamName& aName);
  const Team* FindTeam(const TeamName& aName) const;
  /// Finds a team or adds one without ceiling that is not configured.
  Team& EnsureTeam(const TeamName& aName);

  /// Finds a job or null.
  Job* FindJob(JobNumber aNumber);
  const Job* FindJob(JobNumber aNumber) const;
  /// Adds a job; its number must be free.
  Job& AddJob(const JobSpec& aSpec, TimePoint aNow);
  /// Drops a job without attempts.
  void RemoveJob(JobNumber aNumber);
  /// Jobs by number.
  std::vector<const Job*> SortedJobs() const;

  /// Finds a running attempt or null.
  Attempt* FindAttempt(const AttemptId& aId);
  /// Adds an attempt of a task and counts it.
  Attempt& AddAttempt(Job& aJob,
                      std::uint32_t aTask,
                      std::uint32_t aNumber,
                      Position aWorker,
                      const Resources& aLimit,
                      TimePoint aNow);
  /// Removes an attempt and no longer counts it.
  void RemoveAttempt(Attempt& aAttempt);
  /// Marks an attempt as being stopped.
  void MarkStopping(Attempt& aAttempt);
  /// Changes the amount counted for an attempt.
  void SetCounted(Attempt& aAttempt, const Resources& aCounted);
  /// Changes the amount held on a worker for urgent tasks.
  void AddHeld(Position aWorker, const Resources& aAmount);
  /// Marks a worker as part of the reservation or not.
  void SetReserved(Position aWorker, bool aIsReserved);

  /// Applies an event of the task's state chart.
  void Apply(Task& aTask, TaskEvent aEvent);
  /// Size that the next attempt of the job gets: the declared size as corrected by the estimate.
  Resources SizeOf(const Job& aJob) const;
  /// Puts the job into its queue, or out of it, by its present state.
  void Requeue(Job& aJob);
  /// True when one more attempt of aSize keeps the team within its ceiling.
  static bool FitsCeiling(const Team& aTeam, const Resources& aSize, std::uint32_t aCount = 1);

  std::deque<Worker> workers;
  std::deque<Domain> domains;
  std::vector<std::string> racks;
  std::deque<Team> teams;
  WorkerIndex index;
  Estimates estimates;
  /// Jobs with waiting urgent tasks, by arrival.
  std::set<std::pair<std::uint64_t, Job*>> urgentJobs;
  /// Capacity of workers that are not gone and not in a drained failure domain.
  Resources regionCapacity;
  /// Largest capacity of one worker that is not gone, kind by kind.
  Resources largestWorker;
  /// Largest free amounts that grew since the last round, kind by kind.
  Resources grownFree;
  bool hasGrown = false;
  /// True when groups that found no worker must be tried again whatever their size.
  bool mustRetryAll = false;
  std::size_t attemptCount = 0;

private:
  /// Adds or takes away the worker's part in the sums of capacity.
  void CountCapacity(const Worker& aWorker, bool aIsAdded);
  static void CountAmount(std::map<std::int64_t, std::size_t>& aCounts,
                          std::int64_t aAmount,
                          bool aIsAdded);
  void RefreshWaitingSums(Job& aJob);
  void CountPlace(const Attempt& aAttempt, int aChange);
  Position RackPosition(const std::string& aName);

  const TaskChart& chart;
  std::unordered_map<WorkerId, Position> workerByName;
  std::map<FailureDomain, Position> domainByName;
  std::map<std::string, Position> rackByName;
  std::map<TeamName, Position> teamByName;
  std::unordered_map<JobNumber, std::unique_ptr<Job>> jobs;
  /// Attempts with stable addresses; ended ones are reused.
  std::deque<Attempt> attemptPool;
  std::vector<Attempt*> freeAttempts;
  std::uint64_t nextSequence = 1;
  /// Workers by capacity, for each kind, to know the largest.
  std::map<std::int64_t, std::size_t> workersByCores;
  std::map<std::int64_t, std::size_t> workersByMemory;
  std::map<std::int64_t, std::size_t> workersByAccelerators;
};

} // namespace daisydrift::core
