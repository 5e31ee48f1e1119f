#pragma once
// Serves callers' requests through the current leader.

#include "StoredJobNotifier.h"
#include "daisydrift/coordination/JsonFields.h"

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

private:
  struct Submission;
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

  void StoreJob(const std::shared_ptr<Submission>& aSubmission);
  void OnStoreResponse(const std::shared_ptr<Submission>& aSubmission,
                       const Result<std::uint64_t>& aRevision);
  /// The id is in use: reads whether by this job, or since it was cancelled before it was stored.
  void ResolveConflict(const std::shared_ptr<Submission>& aSubmission);
  /// Handles what is stored under the id of a submission whose write had a conflict.
  void OnConflictingItem(const std::shared_ptr<Submission>& aSubmission,
                         const std::optional<KeyValueItem>& aItem);
  /// Refuses a job that was never sent to the store. The callback runs from the event loop, never
  /// from within the call.
  void RefuseAsync(const std::shared_ptr<Submission>& aSubmission);
  void SubmitToLeader(const std::shared_ptr<Submission>& aSubmission);
  void FinishSubmission(const std::shared_ptr<Submission>& aSubmission, SubmitOutcome aOutcome);
  /// False, after a report, when an answer has invalid fields.
  bool ReportAnswer(const char* aMethod, const JsonFields& aAnswer);
  /// Tells the leader about the job of a stored definition, unless it is a tombstone.
  void NotifyLeader(const std::string& aRecord);
  /// Calls the leader until it answers, aDeadline has passed or aMaxAttempts attempts have failed.
  /// aReply gets the answer, or Unreachable.
  void CallLeader(const std::string& aMethod,
                  const nlohmann::json& aArguments,
                  TimePoint aDeadline,
                  int aMaxAttempts,
                  const Reply& aReply);
  /// Asks the leader, and reads the store when the leader does not answer or does not know the job.
  void QueryLeader(const JobId& aJob,
                   TimePoint aDeadline,
                   const std::function<void(const Result<DispatchState>&)>& aDone);
  /// Reads the state of a job from its stored progress or, if it has none, its definition.
  void QueryStore(const StoreQuery& aQuery);
  void QueryDefinition(const StoreQuery& aQuery);
  /// Calls QueryStore again after a delay, or reports the error.
  void RetryQuery(const StoreQuery& aQuery, std::error_code aError);
  /// State in a stored progress record. Error Corrupt, after a report, when it can't be decoded.
  Result<DispatchState> StoredState(const KeyValueItem& aProgress);
  void CancelWithRetries(const JobId& aJob,
                         TimePoint aDeadline,
                         const std::function<void(std::error_code)>& aDone);
  /// Calls CancelWithRetries again after a delay, or reports OutcomeUnknown.
  void RetryCancel(const JobId& aJob,
                   TimePoint aDeadline,
                   const std::function<void(std::error_code)>& aDone);
  /// Keeps a job that is not stored from being stored, since a write of it may be on the way or be
  /// repeated; then reports NotFound.
  void WithdrawJob(const JobId& aJob,
                   TimePoint aDeadline,
                   const std::function<void(std::error_code)>& aDone);

  Leader::Environment env;
  Membership& membership;
  std::function<Leader*()> ownLeader;
  std::function<void(const std::function<void()>&)> checkLeadership;
  StoredJobNotifier notifier;
};

} // namespace daisydrift::coordination
