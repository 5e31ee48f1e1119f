#pragma once
// Serves callers' requests through the current leader.

#include "JobSubmitter.h"

namespace daisydrift::coordination {

/// Forwards requests to the leader and retries them across a change of leader. Reads the store when
/// there is no leader or the leader does not know the job.
class JobRequestHandler
{
public:
  /// aOwnLeader returns this instance's Leader; null unless it leads and has loaded the stored
  /// jobs. aCheckLeadership asks other members whether this instance still leads.
  JobRequestHandler(const Leader::Environment& aEnvironment,
                    Membership& aMembership,
                    std::function<Leader*()> aOwnLeader,
                    std::function<void(const std::function<void()>&)> aCheckLeadership);

  void Submit(const JobDefinition& aDefinition,
              Duration aTimeout,
              std::function<void(SubmitOutcome)> aDone);
  void Query(const JobId& aJob,
             Duration aTimeout,
             const std::function<void(const Result<DispatchState>&)>& aDone);
  void Cancel(const JobId& aJob,
              Duration aTimeout,
              const std::function<void(std::error_code)>& aDone);
  void CountPending(const QueueName& aQueue,
                    Duration aTimeout,
                    const std::function<void(const Result<std::size_t>&)>& aDone);
  /// Stores a job on behalf of an instance that cannot reach the store.
  void StoreForPeer(const JobDefinition& aDefinition, std::function<void(SubmitOutcome)> aDone);
  void OnStoreRegained() { this->submitter.OnStoreRegained(); }
  void OnLeaderChanged() { this->submitter.OnLeaderChanged(); }
  /// Ends all open submissions and cancellations, without any effect that they have not had.
  void EndOpenRequests();

private:
  using QueryCallback = std::function<void(const Result<DispatchState>&)>;
  /// Query of a job's state in the store.
  struct StoreQuery
  {
    JobId job;
    TimePoint deadline;
    std::function<void(const Result<DispatchState>&)> done;
    /// The leader has answered that it does not know the job.
    bool isUnknownToLeader = false;
    /// The marker of a closed job was read.
    bool isClosed = false;
  };
  using Reply = std::function<void(const Result<nlohmann::json>&)>;
  /// A call that is repeated until the leader answers, the deadline has passed or the attempts have
  /// failed.
  struct LeaderCall
  {
    std::string method;
    nlohmann::json arguments;
    TimePoint deadline;
    int attemptsLeft = 0;
    /// Gets the answer, OutcomeUnknown, or Unreachable if no attempt can have been carried out.
    Reply reply;
    /// An attempt may have been carried out.
    bool mayBeServed = false;
    /// An attempt has no result yet.
    bool isOpen = false;
  };
  using LeaderCallRef = std::shared_ptr<LeaderCall>;
  /// A caller's cancellation of a job.
  struct Cancellation
  {
    std::uint64_t number = 0;
    JobId job;
    TimePoint deadline;
    /// Empty once the cancellation has ended; nothing is sent for it then.
    std::function<void(std::error_code)> done;
    /// A leader may carry it out, or a tombstone may be written.
    bool mayHaveEffect = false;
    /// The call to the leader; null when there is none or it has ended.
    LeaderCallRef leaderCall;
  };
  using CancellationRef = std::shared_ptr<Cancellation>;

  /// False, after a report, when an answer has invalid fields.
  bool ReportAnswer(const char* aMethod, const JsonFields& aAnswer);
  /// Tells the leader about the job of a stored definition, unless it is a tombstone.
  void NotifyLeader(const std::string& aRecord);
  void CallLeader(const LeaderCallRef& aCall);
  /// Asks the leader, and reads the store when the leader does not answer or does not know the job.
  void QueryLeader(const JobId& aJob,
                   TimePoint aDeadline,
                   const std::function<void(const Result<DispatchState>&)>& aDone);
  /// Answers a query from the store by its deadline.
  void BeginStoreQuery(const StoreQuery& aQuery);
  /// Reads the state of a job from its stored progress or, if it has none, its definition.
  void QueryStore(const StoreQuery& aQuery);
  void QueryDefinition(const StoreQuery& aQuery);
  /// Calls QueryStore again after a delay, or reports the error.
  void RetryQuery(const StoreQuery& aQuery, std::error_code aError);
  /// State in a stored progress record. Error Corrupt, after a report, when it can't be decoded.
  Result<DispatchState> StoredState(const KeyValueItem& aProgress);
  void SendCancellation(const CancellationRef& aCancellation);
  void OnCancellationResponse(const CancellationRef& aCancellation,
                              const Result<nlohmann::json>& aResponse);
  /// The leader does not know the job, which may be stored.
  void OnUnknownJob(const CancellationRef& aCancellation);
  /// Sends the cancellation again after a delay, or ends it.
  void RetryCancellation(const CancellationRef& aCancellation);
  /// Keeps a job that is not stored from being stored, since a write of it may be on the way or be
  /// repeated; then reports NotFound.
  void WithdrawJob(const CancellationRef& aCancellation);
  /// Reports OutcomeUnknown, or Unreachable for a cancellation that has had no effect.
  void EndCancellation(const CancellationRef& aCancellation);
  void FinishCancellation(const CancellationRef& aCancellation, std::error_code aError);

  Leader::Environment env;
  Membership& membership;
  std::function<Leader*()> ownLeader;
  std::function<void(const std::function<void()>&)> checkLeadership;
  StoredJobNotifier notifier;
  JobSubmitter submitter;
  /// Cancellations that have not ended, by number.
  std::map<std::uint64_t, CancellationRef> openCancellations;
  std::uint64_t nextCancellation = 0;
};

} // namespace daisydrift::coordination
