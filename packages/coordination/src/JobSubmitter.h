#pragma once
// Stores the jobs that callers submit.

#include "StoredJobNotifier.h"
#include "daisydrift/coordination/JsonFields.h"

#include <map>

namespace daisydrift::coordination {

/// True if a write that ended with this error may have been carried out, or may be later.
bool MayHaveBeenWritten(std::error_code aError);
/// The same for a call of another instance.
bool MayHaveBeenServed(std::error_code aError);

/// Stores submitted jobs, through the leader when the store refuses this instance's calls. Each
/// submission ends once: as accepted when its job is stored, as unknown only if a write of it, or
/// the call to the leader, may have been carried out, and as refused otherwise. Nothing is sent for
/// a submission that has ended.
class JobSubmitter
{
public:
  /// aOwnLeader returns this instance's Leader; null unless it leads and has loaded the stored
  /// jobs.
  JobSubmitter(const Leader::Environment& aEnvironment,
               Membership& aMembership,
               std::function<Leader*()> aOwnLeader,
               StoredJobNotifier& aNotifier);
  ~JobSubmitter();

  void Submit(const JobDefinition& aDefinition,
              Duration aTimeout,
              std::function<void(SubmitOutcome)> aDone);
  /// Stores a job on behalf of an instance that cannot reach the store.
  void StoreForPeer(const JobDefinition& aDefinition, std::function<void(SubmitOutcome)> aDone);
  /// Ends all open submissions.
  void EndOpenSubmissions();

private:
  struct Submission;
  using SubmissionRef = std::shared_ptr<Submission>;

  SubmissionRef AddSubmission(const JobDefinition& aDefinition,
                              Duration aTimeout,
                              std::function<void(SubmitOutcome)> aDone);
  void StoreJob(const SubmissionRef& aSubmission);
  void OnStoreResponse(const SubmissionRef& aSubmission, const Result<std::uint64_t>& aRevision);
  /// The id is in use: reads whether by this job, or since it was cancelled before it was stored.
  void ResolveConflict(const SubmissionRef& aSubmission);
  /// Handles what is stored under the id of a submission whose write had a conflict.
  void OnConflictingItem(const SubmissionRef& aSubmission,
                         const std::optional<KeyValueItem>& aItem);
  void SubmitToLeader(const SubmissionRef& aSubmission);
  void OnLeaderResponse(const SubmissionRef& aSubmission, const Result<nlohmann::json>& aResponse);
  /// Ends a submission whose job is not known to be stored. aCause is for the log.
  void End(const SubmissionRef& aSubmission, const char* aCause);
  /// The same from the event loop, for callers that may be within a call of Submit.
  void EndLater(const SubmissionRef& aSubmission, const char* aCause);
  void Finish(const SubmissionRef& aSubmission, SubmitOutcome aOutcome);

  Leader::Environment env;
  Membership& membership;
  std::function<Leader*()> ownLeader;
  StoredJobNotifier& notifier;
  /// Submissions that have not ended, by number.
  std::map<std::uint64_t, SubmissionRef> open;
  std::uint64_t nextNumber = 0;
};

} // namespace daisydrift::coordination
