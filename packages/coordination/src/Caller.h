#pragma once
// Serves callers' requests through whichever instance leads.

#include "Leader.h"

namespace daisydrift::coordination {

/// Passes requests to the leader and repeats them across a change of leader. What the leader does
/// not know, or nobody leads, is read from the store.
class Caller
{
public:
  /// aCheckLeadership asks other members whether this instance still leads.
  Caller(const Leader::Environment& aEnvironment,
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
  /// Stores a job for another instance that can't reach the store.
  void StoreFor(const JobDefinition& aDefinition, std::function<void(SubmitOutcome)> aDone);

private:
  struct Submission;
  using Reply = std::function<void(const Result<nlohmann::json>&)>;

  void Store(const std::shared_ptr<Submission>& aSubmission);
  void OnStoreAnswer(const std::shared_ptr<Submission>& aSubmission,
                     const Result<std::uint64_t>& aRevision);
  /// Refuses a job that was never sent to the store; not within the caller's call.
  void RefuseLater(const std::shared_ptr<Submission>& aSubmission);
  void StoreOverLeader(const std::shared_ptr<Submission>& aSubmission);
  void FinishSubmission(const std::shared_ptr<Submission>& aSubmission, SubmitOutcome aOutcome);
  /// Tells the leader of a stored job; its own look at the store finds it otherwise.
  void Notify(const JobDefinition& aDefinition, int aTriesLeft);
  /// Calls the leader until it answers or aUntil; aReply gets the last error then.
  void CallLeader(const std::string& aMethod,
                  const nlohmann::json& aArguments,
                  TimePoint aUntil,
                  int aMaxTries,
                  const Reply& aReply);
  /// Asks the leader, or the store when it has no answer.
  void QueryLeader(const JobId& aJob,
                   TimePoint aUntil,
                   const std::function<void(const Result<DispatchState>&)>& aDone);
  void QueryStore(const JobId& aJob,
                  TimePoint aUntil,
                  const std::function<void(const Result<DispatchState>&)>& aDone);
  void CancelUntil(const JobId& aJob,
                   TimePoint aUntil,
                   const std::function<void(std::error_code)>& aDone);

  Leader::Environment env;
  Membership& membership;
  std::function<Leader*()> ownLeader;
  std::function<void(const std::function<void()>&)> checkLeadership;
};

} // namespace daisydrift::coordination
