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

/// Stores submitted jobs, through the leader when the store refuses this instance's calls. While
/// neither is possible, submissions that are likely to be stored within their callers' time are
/// held, and sent after the outage, oldest first (HoldPolicy); the others end at once. Each
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
  /// The store is available again.
  void OnStoreRegained();
  /// Another leader is known, or none.
  void OnLeaderChanged();
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
  /// Sends the submission to the store or the leader, holds it or ends it.
  void Send(const SubmissionRef& aSubmission);
  /// True if there is a leader that is another instance and has not just refused a submission.
  bool CanAskLeader() const;
  /// True if the submission is worth holding with aAhead submissions before it.
  bool IsWorthHolding(const Submission& aSubmission, std::size_t aAhead) const;
  /// Holds the submission, or ends it from the event loop if that is not worth it.
  void HoldOrEnd(const SubmissionRef& aSubmission, const char* aCause);
  /// Ends the held submissions that are not worth holding any more, and sends the next ones.
  void ReviewHeld();
  void ScheduleReview();
  /// Sends the oldest held submission if it is time for it.
  void ReleaseNext();
  /// A submission that was held has ended, or its write has been refused.
  void OnReleased(Submission& aSubmission, bool aIsStored);
  void RemoveHeld(Submission& aSubmission);
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
  /// Writes without a response of all submissions.
  std::size_t openWrites = 0;
  /// Held submissions, oldest first, and their bytes.
  std::map<std::uint64_t, SubmissionRef> held;
  std::size_t heldBytes = 0;
  bool isReviewScheduled = false;
  /// Released submissions without a result.
  std::size_t openReleases = 0;
  /// One of them has been stored since the store became available.
  bool hasStoredReleased = false;
  TimePoint nextReleaseAt;
  /// The leader is not asked before this time.
  TimePoint nextLeaderCallAt;
  /// Time since which submissions have been held, and their number, for the log.
  TimePoint heldSince;
  std::size_t heldCount = 0;
};

} // namespace daisydrift::coordination
