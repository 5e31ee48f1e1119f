#pragma once
// State of the leading instance: recovery, scheduling rounds and the resulting commands.

#include "AdviceRequestSlots.h"
#include "ConfigFollower.h"
#include "MaintenanceController.h"
#include "RecordWriter.h"
#include "WorkerPoller.h"

#include <unordered_map>

namespace daisydrift::coordination {

inline bool IsFinal(DispatchState aState)
{
  return aState != DispatchState::Queued && aState != DispatchState::Running;
}

/// One term of leadership. It ends when the store, a worker or the platform shows that another
/// instance leads.
class Leader
{
public:
  /// Services of the instance that the leader uses.
  struct Environment
  {
    EventLoop& loop;
    KeyValueStore& store;
    WorkerGateway& workers;
    MachineGateway& machines;
    AdviceClient& advice;
    PeerTransport& peers;
    Metrics& metrics;
    const PlatformDecoders& decoders;
    const InstanceSettings& settings;
    const Membership& membership;
    const ConfigFollower& config;
  };

  Leader(const Environment& aEnvironment,
         const LeaderRecord& aRecord,
         std::function<void()> aOnTermEnded);
  ~Leader();

  void Start();
  const LeaderRecord& Record() const { return this->record; }
  /// True once the stored jobs have been loaded.
  bool IsRecovered() const { return this->isRecovered; }

  void OnConfigChange();
  /// Adds a job that is stored already. aSource names the path by which it became known, for the
  /// log.
  void AddJob(const JobDefinition& aDefinition, const char* aSource);
  /// Stored state of a job; nothing when it is unknown.
  std::optional<DispatchState> State(const JobId& aJob) const;
  /// Cancels a job; aDone runs once that is stored. Error NotFound: the job is not known to the
  /// leader.
  void Cancel(const JobId& aJob, std::function<void(std::error_code)> aDone);
  std::size_t CountQueuedJobs(const QueueName& aQueue) const;
  /// Forecast of the waits of new jobs, with the next sequence number of this term.
  FleetForecast Forecast();

private:
  /// A paged read of all keys with a prefix.
  struct PagedRead
  {
    std::string prefix;
    std::string after;
    std::uint64_t revision = 0;
    std::function<void(const KeyValueItem&)> onItem;
    /// Gets the revision after which changes must be watched.
    std::function<void(std::uint64_t)> onDone;
  };

  void ReadPrefix(const std::string& aPrefix,
                  const std::function<void(const KeyValueItem&)>& aOnItem,
                  const std::function<void(std::uint64_t)>& aOnDone);
  void ReadNextPage(const PagedRead& aRead);
  /// Asks the previous leader's process, until it answers, whether its term has ended.
  void CheckEarlierLeader();
  /// No earlier leader extends leases any more beyond the longest one.
  void OnEarlierLeadersEnded(const char* aSource);
  /// What the record of the leaders' leases says of this term.
  struct LeasesRecord
  {
    /// Longest lease that may be in force.
    Duration longest{ 0 };
    LeadershipConfirmation::Voters voters;
    bool operator==(const LeasesRecord&) const = default;
  };
  /// Stores that no earlier leader extends leases, the longest lease that may be in force, and the
  /// voters, unless that is stored or another leader may be at work.
  void StoreLeases();
  void SendLeases(const LeasesRecord& aRecord);
  void OnLeasesStored(const LeasesRecord& aRecord, std::uint64_t aRevision);
  /// Handles a failed condition: an earlier attempt was applied, another instance leads, or the
  /// record was removed.
  void ResolveLeasesConflict(const LeasesRecord& aRecord);
  void RetryLeases(const LeasesRecord& aRecord, std::error_code aError);
  KeyValueTransaction::Put LeasesItemFor(const LeasesRecord& aRecord) const;
  /// The workers that are to confirm this leadership.
  LeadershipConfirmation::Voters SelectVoters() const;
  /// Latest time at which this leader is known to have led.
  TimePoint ConfirmedAt();
  void OnPollAccepted(const WorkerId& aWorker, std::int64_t aIncarnation, TimePoint aSentAt);
  /// Logs when leadership was last confirmed long ago, and when it is confirmed again.
  void CheckConfirmation(TimePoint aNow);
  void LoadProgress();
  /// Adds a stored head, or a part, of a job's progress to what is known of it.
  void LoadProgressItem(const KeyValueItem& aItem);
  void LoadDefinitions();
  /// Has parts deleted that an earlier leader left when it ended.
  void DropPartsOfClosedJobs();
  void LoadWorkers();
  void OnRecovered();
  void PollJobChanges();
  /// Adds jobs that were stored during a gap in the changes.
  void ReloadDefinitions();
  /// Parses a stored definition; nothing for a tombstone and, after a report, for one that can't be
  /// decoded.
  std::optional<JobDefinition> ReadDefinition(const std::string& aKey,
                                              const std::string& aRecord,
                                              std::uint64_t aRevision) const;
  /// Adds the job of a stored definition unless it is known; without a value it was deleted.
  void ApplyDefinition(const std::string& aKey,
                       const std::optional<std::string>& aValue,
                       std::uint64_t aRevision,
                       const char* aSource);
  /// A job was cancelled before it was stored.
  void OnJobWithdrawn(const JobId& aJob, std::uint64_t aRevision);
  /// Logs a failed poll of a list, with the age of what is known of it.
  void OnListPollFailed(const char* aList,
                        std::error_code aError,
                        TimePoint aSentAt,
                        TimePoint aKnownAt);
  void PollWorkerChanges();
  /// Reads the changes of the list of workers now, beside a poll that may wait for a lost response.
  void RefreshWorkerList();
  void ApplyWorkerChanges(const KeyValueChanges& aChanges, TimePoint aSentAt);
  /// The list was read at that time; sends the starts that wait for it.
  void OnWorkersKnown(TimePoint aSentAt);
  /// aRevision is that of the value, for the log.
  void ApplyWorker(const std::string& aKey,
                   const std::optional<std::string>& aValue,
                   std::uint64_t aRevision);
  /// Counts and logs an entry that names no worker to use, each version of it once.
  void ReportOddWorker(const std::string& aKey, const std::string& aValue, std::uint64_t aRevision);
  /// Schedules a round soon, so that events which arrive together share one round.
  void ScheduleRound();
  void RunRound();
  void Tick();
  /// Sends the start commands that are still valid; the records of their jobs are stored. After a
  /// delay or a suspension another instance may lead, so the store is asked first.
  void SendStarts(const std::vector<AttemptKey>& aStarts);
  /// True if no other instance leads: the lease of leadership can't have ended, or the store has
  /// just shown that it has not.
  bool IsLeadershipCertain() const;
  /// True while starts may be sent by the list of workers as it is known.
  bool IsWorkerListRecent() const;
  /// Reads the leader key, until the store answers, and sends the starts if it is unchanged.
  void ConfirmAndSendStarts(const std::vector<AttemptKey>& aStarts);
  void SendStart(const StartCommand& aCommand, int aAttempt);
  void OnStartResult(const StartCommand& aCommand, int aAttempt, StartResult aResult);
  void SendStop(const StopCommand& aCommand);
  void SendThrottle(const ThrottleCommand& aCommand);
  std::map<std::string, std::string> TakeBatch(std::uint64_t aBatch);
  void OnBatchStored(std::uint64_t aBatch);
  /// The store refuses a record as invalid. Ends its job, and no other.
  void OnRecordRefused(std::uint64_t aBatch, const std::string& aKey, std::size_t aBytes);
  /// Has the stored parts of a job's progress before aEnd, or all, deleted.
  void DropParts(const JobId& aJob, std::optional<std::uint64_t> aEnd);
  /// Fencing token for commands to the worker that are sent now.
  Epoch FencingTokenFor(const WorkerId& aWorker) const;
  /// A worker has refused a command with that token. Ends the term, and returns true, if it has
  /// accepted one of a later leader.
  bool OnFenced(const WorkerId& aWorker, Epoch aToken);
  void EndTerm(const char* aReason);
  /// Removes finished jobs from the dispatcher, and deletes their records after the retention time.
  void PurgeFinishedJobs();
  void LogSummary(TimePoint aNow);
  /// Runs aAction after aDelay unless the term has ended.
  void After(Duration aDelay, std::function<void()> aAction);
  std::string WorkerIdOfKey(const std::string& aKey) const;

  Environment env;
  LeaderRecord record;
  std::function<void()> onTermEnded;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<RecordWriter> recordWriter;
  std::unique_ptr<WorkerPoller> workerPoller;
  std::unique_ptr<AdviceRequestSlots> adviceSlots;
  std::unique_ptr<MaintenanceController> maintenance;
  bool isRecovered = false;
  std::uint64_t forecastSequence = 0;
  bool haveEarlierLeadersEnded = false;
  LeadershipConfirmation confirmation;
  /// Time at which the last read of the leader key before starts was sent.
  TimePoint startsConfirmedAt;
  /// Time of the last confirmation before the log said that there is none; empty otherwise.
  std::optional<TimePoint> unconfirmedSince;
  /// Longest lease on workers that may be in force, for the record of the leaders' leases.
  Duration longestLease{ 0 };
  std::optional<LeasesRecord> storedLeases;
  std::uint64_t leasesRevision = 0;
  bool isStoringLeases = false;
  bool hasEnded = false;
  bool isRoundScheduled = false;
  /// Used only during recovery.
  std::map<JobId, JobProgress> progress;
  std::set<WorkerId> listedWorkers;
  /// Revisions of the entries in the list that name no worker to use, by key.
  std::map<std::string, std::uint64_t> oddWorkers;
  std::uint64_t jobsRevision = 0;
  std::uint64_t workersRevision = 0;
  /// Times at which the reads of jobsRevision and workersRevision were sent.
  TimePoint jobsKnownAt;
  TimePoint workersKnownAt;
  /// Starts that are not sent by an older list of workers.
  std::vector<AttemptKey> startsAwaitingWorkers;
  bool isRefreshingWorkers = false;
  TimePoint nextPurge;
  TimePoint nextSummary;
  /// Due time of the scheduled round, and the time before which none runs.
  TimePoint nextRoundAt;
  TimePoint roundPauseUntil;
  /// Longest delay and duration of a round, and the number of rounds, since the last summary.
  Duration maxRoundDelay{ 0 };
  Duration maxRoundDuration{ 0 };
  std::size_t roundCount = 0;
  /// A job in a final state.
  struct FinishedJob
  {
    DispatchState state = DispatchState::Completed;
    WallTime finishedAt;
    /// The deletion of the job's records is due or in flight.
    bool isExpired = false;
  };
  /// Jobs whose final state is stored.
  std::unordered_map<JobId, FinishedJob> finished;
  /// Jobs that were cancelled before they were stored, by the time at which this leader read that.
  /// Their tombstones are deleted after the retention time, which is longer than a write of them
  /// may be late or repeated (MaxHandoverTime).
  std::unordered_map<JobId, TimePoint> withdrawnJobs;
  /// Actions that follow once a batch of records is stored.
  struct BatchInFlight
  {
    std::set<JobId> jobs;
    std::vector<AttemptKey> starts;
    std::map<JobId, FinishedJob> finished;
    /// Jobs whose records the batch deletes.
    std::vector<JobId> expired;
    /// First part of the progress that is needed once the batch is stored, of jobs stored in parts.
    std::map<JobId, std::uint64_t> firstParts;
  };
  std::map<std::uint64_t, BatchInFlight> batchesInFlight;
  /// Jobs with a record in flight, and jobs with changes that no batch contains yet.
  std::set<JobId> jobsInFlight;
  std::set<JobId> deferredJobs;
  /// Parts of jobs' progress that may be stored.
  std::map<JobId, std::set<std::uint64_t>> storedParts;
  /// Keys of stored parts that are not needed any more. Deleted some at a time, beside other
  /// records.
  std::set<std::string> obsoleteParts;
  /// Starts whose records are not part of a batch yet.
  std::map<JobId, std::vector<AttemptKey>> pendingStarts;
  CompletionTracker completionTracker;
  /// Records for the next batch in addition to the jobs' progress; an empty value deletes the key.
  std::map<std::string, std::string> cleanupRecords;
  /// The cleanup records are written soon, even if there are no others.
  bool isCleanupDue = false;
  /// Jobs whose records cleanupRecords deletes. They stay known until that is stored; otherwise a
  /// list that is read anew would add them as new jobs.
  std::vector<JobId> expiredJobs;
  std::multimap<JobId, std::function<void(std::error_code)>> cancellations;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
