#pragma once
// The leader of a region: connects the scheduler with the journal and the workers.

#include "CommitQueue.h"
#include "JobCodec.h"
#include "WorkerSession.h"

#include "daisydrift/config.h"
#include "daisydrift/core.h"
#include "daisydrift/durable.h"
#include "daisydrift/external.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace daisydrift {

/// The leader makes no decisions when the configuration was last confirmed longer ago than this.
constexpr std::chrono::seconds kMaxConfigAgeForStarts{ 4 };
/// A submission is rejected immediately when the journal has been blocked for longer than this.
constexpr std::chrono::seconds kMaxBlockedTimeForSubmissions{ 1 };
/// Maximum number of starts decided in one step.
constexpr std::size_t kMaxStartsPerStep = 256;

/// No job is accepted while the state may be larger than this: a state that no snapshot can hold
/// fills the journal, and then no leader can take over.
constexpr std::size_t kMaxStateBytesForSubmissions = kMaxStateBytes / 4 * 3;
/// No task is started while the state may be larger than this.
constexpr std::size_t kMaxStateBytesForStarts = kMaxStateBytes / 16 * 15;
/// Time between two snapshots that are written only to remove expired jobs from a full state.
constexpr std::chrono::seconds kFullStateSnapshotInterval{ 60 };

/// Space in a record for one assignment: 48 bytes, and the IDs of the worker and its incarnation.
constexpr std::size_t kAssignmentBytes = 128;
/// Largest number of tasks in a gang, whose assignments are committed in one record.
constexpr std::size_t kMaxGangTasks = kMaxRecordBytes / kAssignmentBytes;

/// Functions that the leader needs.
struct RegionLeaderHooks
{
  /// Starts an exchange with a worker, which is one call of WorkerClient::Sync. Its result must
  /// always be passed to OnSyncResult, also after a timeout.
  std::function<
    void(const WorkerId& aWorker, const Endpoint& aEndpoint, const SyncRequest& aRequest)>
    beginSync;
  /// Returns true when this leader may renew task leases: its own lease is confirmed, or there is
  /// evidence of a store outage.
  std::function<bool()> canRenewTaskLeases;
  /// Returns true when no task lease renewed by an earlier leader can still be valid.
  std::function<bool()> havePredecessorLeasesExpired;
  /// Returns the wall-clock seconds since 1970; used only for retention times.
  std::function<std::int64_t()> wallSeconds;
};

/// Result of a submission.
struct SubmitReply
{
  /// No error: accepted.
  /// - Conflict: the idempotency key was used with another body.
  /// - InvalidArgument: the body is invalid, see the findings.
  /// - NotPermitted: the job was refused, see the explanation.
  /// - DeadlineExceeded, Overloaded: not accepted; the journal was blocked or did not commit it in
  ///   time, or another leader has taken over.
  /// - LimitReached: not accepted; the region keeps as many jobs as a snapshot can hold.
  /// - OutcomeUnknown: the job may or may not have been accepted.
  std::error_code error;
  JobNumber job = 0;
  /// True when an earlier submission with the same idempotency key was found.
  bool isRepeat = false;
  Findings findings;
  Explanation explanation;
};

/// A submission to the leader.
struct SubmitCall
{
  TeamName team;
  std::string idempotencyKey;
  std::string body;
  /// The job is not accepted after this time.
  TimePoint deadline;
  std::function<void(const SubmitReply&)> reply;
};

/// Settings of a RegionLeader.
struct RegionLeaderOptions
{
  std::string region;
  Epoch epoch = 0;
  InstanceId writer;
  PolicySettings policy;
  /// Time between two exchanges with a worker that runs attempts, when there are no commands for
  /// it.
  Duration syncInterval = std::chrono::seconds(1);
};

/// Leads a region from the takeover until it is superseded. Not thread-safe; all methods must be
/// called from one thread. The caller passes the current time.
class RegionLeader
{
public:
  /// Restores the region from aOwnership, the result of TakeOver().
  RegionLeader(RegionLeaderOptions aOptions,
               RegionLeaderHooks aHooks,
               RegionOwnership aOwnership,
               const ConfigDocument& aConfig,
               const std::vector<InstanceInfo>& aInstances,
               TimePoint aNow);

  /// Sets a newer configuration.
  void SetConfig(const ConfigDocument& aConfig, TimePoint aNow);
  /// The configuration was confirmed as the newest at aTime.
  void ConfirmConfig(TimePoint aTime) { this->configConfirmedAt = aTime; }
  /// Sets the platform's list of instances.
  void SetInstances(const std::vector<InstanceInfo>& aInstances, TimePoint aNow);
  /// Takes the result of an exchange that was started with RegionLeaderHooks::beginSync.
  void OnSyncResult(const WorkerId& aWorker, const Result<SyncReport>& aResult, TimePoint aNow);

  /// Accepts or rejects a job. The reply to an accepted job follows its commit.
  void Submit(SubmitCall aCall, TimePoint aNow);
  /// Cancels those of aJobs that have not finished. After the commit, aReply gets the error and the
  /// number of cancelled jobs. Errors: DeadlineExceeded (no job was cancelled), OutcomeUnknown
  /// (some may have been).
  void Cancel(const std::vector<JobNumber>& aJobs,
              TimePoint aDeadline,
              const std::function<void(std::error_code, std::size_t)>& aReply);

  /// Makes decisions, commits them and starts exchanges with workers. Must be called every few
  /// milliseconds. Returns the error of the journal, if any, or Fenced when superseded.
  std::error_code Step(TimePoint aNow);

  /// Returns true once another leader has taken over; Abandon must be called then.
  bool IsSuperseded() const { return this->isSuperseded || this->commits.IsFenced(); }
  /// Drops all uncommitted entries and sends the replies that wait for them. Later submissions are
  /// refused.
  void Abandon(TimePoint aNow);

  const Scheduler& GetScheduler() const { return this->scheduler; }
  const CommitQueue& Commits() const { return this->commits; }
  Epoch LeaderEpoch() const { return this->options.epoch; }
  /// Number of known workers.
  std::size_t WorkerCount() const { return this->workers.size(); }
  /// Number of workers that have reported to this leader and are responsive.
  std::size_t ReportingWorkerCount() const;
  /// Number of attempts assigned to workers in a failure domain, for the status of a drain.
  std::size_t CountAssignedAttempts(const FailureDomain& aDomain) const;
  /// Number of start commands that were queued for workers.
  std::uint64_t StartCount() const { return this->startCount; }

private:
  struct Worker
  {
    InstanceInfo info;
    WorkerSession session;
    /// Attempts assigned to this worker that have not ended, with the incarnation they were meant
    /// for.
    std::map<AttemptId, std::string> assigned;
    /// Attempts that run without an assignment and whose end is being committed.
    std::set<AttemptId> unassigned;
    Resources capacity;
    /// The description that was passed to the scheduler last.
    WorkerDescription lastDescription;
  };

  void Restore(TimePoint aNow);
  void RestoreJob(const JobRecord& aJob, TimePoint aNow);
  /// Returns the worker, and adds it if the platform's list does not contain it.
  Worker& FindOrAddWorker(const WorkerId& aId, TimePoint aNow);
  /// Passes the worker's description to the scheduler if it has changed.
  void UpdateWorkerDescription(Worker& aWorker, TimePoint aNow);
  void EndAllAttempts(Worker& aWorker,
                      AttemptOutcome aOutcome,
                      const std::string& aDetail,
                      TimePoint aNow);
  /// Reports the end of an attempt to the scheduler and adds it to the journal.
  void EndAttempt(Worker& aWorker,
                  AttemptId aAttempt,
                  AttemptOutcome aOutcome,
                  const std::string& aDetail,
                  TimePoint aNow,
                  CommitQueue::Callback aCallback = {});
  void OnSessionUpdate(Worker& aWorker, const SessionUpdate& aUpdate, TimePoint aNow);
  /// Stops an attempt that runs on the worker although no record assigns it to the worker.
  void StopUnassignedAttempt(Worker& aWorker, const AttemptId& aAttempt);
  /// Compares the restored assignments with the first report of a worker.
  void Reconcile(Worker& aWorker, const SyncReport& aReport, TimePoint aNow);
  void OnWorkerEvent(Worker& aWorker, const WorkerEvent& aEvent, TimePoint aNow);
  /// Ends the attempts whose start was not sent in time, and those on unreachable workers whose
  /// leases have expired.
  void EndExpiredAttempts(TimePoint aNow);
  void BeginExchanges(TimePoint aNow);
  void Decide(TimePoint aNow);
  /// Commits the assignment and then queues the start command. Assignments with the same non-zero
  /// aAtomicGroup are committed in one record.
  void Execute(const StartDecision& aDecision, std::uint64_t aAtomicGroup, TimePoint aNow);
  void Execute(const StopDecision& aDecision, TimePoint aNow);
  void Execute(const ThrottleDecision& aDecision, TimePoint aNow);
  void Execute(const JobFinishedDecision& aDecision);
  void EraseExpiredJobs();
  /// Requests a snapshot from time to time while the state is full: without new jobs there are few
  /// records, and so no snapshot would become due.
  void MakeRoom(TimePoint aNow);

  RegionLeaderOptions options;
  RegionLeaderHooks hooks;
  Scheduler scheduler;
  CommitQueue commits;
  std::map<WorkerId, Worker> workers;
  std::map<JobNumber, std::string> payloads;
  /// Jobs that are gangs; the assignments of a gang are committed in one record.
  std::set<JobNumber> gangs;
  /// Submissions that repeat one whose commit is in progress, by team and digest of their
  /// idempotency key. An entry exists during the commit even without repetitions.
  std::map<std::pair<TeamName, std::string>, std::vector<SubmitCall>> duplicateSubmissions;
  JobNumber nextJob = 1;
  TimePoint configConfirmedAt;
  TimePoint fullStateSnapshotAt;
  bool isSuperseded = false;
  bool isAbandoned = false;
  std::uint64_t startCount = 0;
};

} // namespace daisydrift
