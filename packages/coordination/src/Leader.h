#pragma once
// What the leading instance does: recovery, rounds of decisions, and the calls that follow.

#include "AdviceLanes.h"
#include "ConfigFollower.h"
#include "RecordStore.h"
#include "UpkeepDriver.h"
#include "WorkerLooks.h"

#include <unordered_map>

namespace daisydrift::coordination {

/// What is left of the definition of a job that is closed.
inline constexpr const char* kClosedDefinition = "closed";

inline bool IsFinal(DispatchState aState)
{
  return aState != DispatchState::Queued && aState != DispatchState::Running;
}

/// One term of leadership. It ends when the store or a worker shows that another instance leads.
class Leader
{
public:
  /// What a leader needs of its instance.
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
         std::function<void()> aOnLost);
  ~Leader();

  void Begin();
  const LeaderRecord& Record() const { return this->record; }
  /// True when the stored jobs are known.
  bool IsRecovered() const { return this->isRecovered; }

  void OnConfigChange();
  /// A job that has been stored.
  void AddJob(const JobDefinition& aDefinition);
  /// State of a job as far as it is stored; nothing when unknown.
  std::optional<DispatchState> State(const JobId& aJob) const;
  /// Cancels a job; done when that is stored. Error NotFound: unknown here.
  void Cancel(const JobId& aJob, std::function<void(std::error_code)> aDone);
  std::size_t Pending(const QueueName& aQueue) const;

private:
  /// A list that is read page by page.
  struct ListReading
  {
    std::string prefix;
    std::string after;
    std::uint64_t revision = 0;
    std::function<void(const KeyValueItem&)> onItem;
    /// Gets the revision from which changes have to be followed.
    std::function<void(std::uint64_t)> onDone;
  };

  void ReadAll(const std::string& aPrefix,
               const std::function<void(const KeyValueItem&)>& aOnItem,
               const std::function<void(std::uint64_t)>& aOnDone);
  void ReadNext(const ListReading& aReading);
  void LoadProgress();
  void LoadDefinitions();
  void LoadWorkers();
  void OnRecovered();
  void FollowJobs();
  /// Adds the jobs that were stored while the history was lost.
  void ReloadDefinitions();
  void AddStoredJob(const std::string& aRecord);
  void FollowWorkers();
  void ApplyWorker(const std::string& aKey, const std::optional<std::string>& aValue);
  /// Rounds are joined, so that events that come together are decided together.
  void Kick();
  void Decide();
  void Tick();
  /// Sends the starts that are still wanted; their records are stored.
  void SendStarts(const std::vector<AttemptKey>& aStarts);
  void SendStart(const StartOrder& aOrder, int aTry);
  void OnStartAnswer(const StartOrder& aOrder, int aTry, StartAnswer aAnswer, bool aIsFenced);
  void SendStop(const StopOrder& aOrder);
  void SendPace(const PaceOrder& aOrder);
  std::map<std::string, std::string> TakeGroup(std::uint64_t aGroup);
  void OnStored(std::uint64_t aGroup);
  void Lose(const char* aReason);
  /// Drops closed jobs from the decisions, and their records when nobody asks for them any more.
  void ForgetOldJobs();
  void LogSummary(TimePoint aNow);
  /// Runs aAction after aDelay unless the term has ended.
  void After(Duration aDelay, std::function<void()> aAction);
  std::string WorkerKeyName(const std::string& aKey) const;

  Environment env;
  LeaderRecord record;
  std::function<void()> onLost;
  std::unique_ptr<Dispatcher> dispatcher;
  std::unique_ptr<RecordStore> records;
  std::unique_ptr<WorkerLooks> looks;
  std::unique_ptr<AdviceLanes> lanes;
  std::unique_ptr<UpkeepDriver> upkeep;
  bool isRecovered = false;
  bool isLost = false;
  bool isKicked = false;
  /// During recovery.
  std::map<JobId, JobProgress> progress;
  std::set<WorkerId> listedWorkers;
  std::uint64_t jobsRevision = 0;
  std::uint64_t workersRevision = 0;
  TimePoint nextForget;
  TimePoint nextSummary;
  TimePoint kickedAt;
  /// Longest delay and duration of a round, and their number, since the last summary.
  Duration longestLag{ 0 };
  Duration longestRound{ 0 };
  std::size_t rounds = 0;
  /// A job in a final state.
  struct FinishedJob
  {
    DispatchState state = DispatchState::Completed;
    WallTime finishedAt;
  };
  /// Jobs whose final state is stored.
  std::unordered_map<JobId, FinishedJob> finished;
  /// What follows when a group of records is stored.
  struct GroupUnderWay
  {
    std::set<JobId> jobs;
    std::vector<AttemptKey> starts;
    std::map<JobId, FinishedJob> finished;
  };
  std::map<std::uint64_t, GroupUnderWay> groupsUnderWay;
  /// Jobs with a record under way, and those of them that have changed since.
  std::set<JobId> jobsUnderWay;
  std::set<JobId> jobsDeferred;
  /// Starts whose records are in no group yet.
  std::map<JobId, std::vector<AttemptKey>> startsDecided;
  StoredEnds storedEnds;
  /// Records for the next group beside the jobs' progress; an empty value removes a key.
  std::map<std::string, std::string> extraRecords;
  std::multimap<JobId, std::function<void(std::error_code)>> cancellations;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift::coordination
