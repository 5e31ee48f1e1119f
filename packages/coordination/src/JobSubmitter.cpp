#include "JobSubmitter.h"

#include "RecordCodec.h"

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
/// Response time limit of a healthy leader.
constexpr std::chrono::milliseconds kLeaderTimeout{ 600 };
/// Delay before the store is called again.
constexpr std::chrono::milliseconds kRetryDelay{ 60 };
/// A write without a response after this time is sent again in parallel. The store normally
/// responds within 4 ms.
constexpr std::chrono::milliseconds kHedgeDelay{ 150 };
constexpr int kMaxOpenWrites = 4;
/// A call to the leader ends this long before the caller's time, so that its error, which says
/// whether it was sent, is known by then.
constexpr std::chrono::milliseconds kCallMargin{ 20 };

const char* OutcomeName(SubmitOutcome aOutcome)
{
  switch (aOutcome) {
    case SubmitOutcome::Accepted:
      return "accepted";
    case SubmitOutcome::Refused:
      return "refused";
    case SubmitOutcome::Unknown:
      return "unknown";
  }
  return "unknown";
}
} // namespace

bool MayHaveBeenWritten(std::error_code aError)
{
  // Corrupt: the store has answered that it has carried out the call, with an unreadable body.
  return aError == make_error_code(Errc::OutcomeUnknown) ||
         aError == make_error_code(Errc::Corrupt);
}

bool MayHaveBeenServed(std::error_code aError)
{
  return aError != make_error_code(Errc::Unreachable) &&
         aError != make_error_code(Errc::DeadlineExceeded) &&
         aError != make_error_code(Errc::Overloaded) &&
         aError != make_error_code(Errc::InvalidArgument) &&
         aError != make_error_code(Errc::NotPermitted);
}

struct JobSubmitter::Submission
{
  std::uint64_t number = 0;
  JobDefinition definition;
  TimePoint deadline;
  /// Empty once the submission has ended.
  std::function<void(SubmitOutcome)> done;
  /// A write or the call to the leader has ended with an unknown outcome.
  bool mayBeStored = false;
  /// Received from another instance; not forwarded again.
  bool isForPeer = false;
  /// Writes without a response so far.
  int openWrites = 0;
  bool isAtLeader = false;
  bool wasSentToLeader = false;
};

JobSubmitter::JobSubmitter(const Leader::Environment& aEnvironment,
                           Membership& aMembership,
                           std::function<Leader*()> aOwnLeader,
                           StoredJobNotifier& aNotifier)
  : env(aEnvironment)
  , membership(aMembership)
  , ownLeader(std::move(aOwnLeader))
  , notifier(aNotifier)
{
}

JobSubmitter::~JobSubmitter() = default;

JobSubmitter::SubmissionRef JobSubmitter::AddSubmission(const JobDefinition& aDefinition,
                                                        Duration aTimeout,
                                                        std::function<void(SubmitOutcome)> aDone)
{
  auto submission = std::make_shared<Submission>();
  submission->number = this->nextNumber++;
  submission->definition = aDefinition;
  submission->deadline = this->env.loop.Now() + aTimeout;
  submission->done = std::move(aDone);
  this->open.emplace(submission->number, submission);
  // The calls to the store and to the leader may end later than the caller waits.
  this->env.loop.After(aTimeout, [this, number = submission->number] {
    auto found = this->open.find(number);
    if (found != this->open.end()) {
      this->End(SubmissionRef(found->second), "deadline");
    }
  });
  return submission;
}

void JobSubmitter::Submit(const JobDefinition& aDefinition,
                          Duration aTimeout,
                          std::function<void(SubmitOutcome)> aDone)
{
  Duration timeout = std::min(aTimeout, MaxHandoverTime(this->env.settings));
  SubmissionRef submission = this->AddSubmission(aDefinition, timeout, std::move(aDone));
  if (const FleetConfig* config = this->env.config.Config()) {
    // The leader may have a configuration without this queue or team, now or after its removal.
    auto rules = config->policy.queues.find(aDefinition.queue);
    if (rules != config->policy.queues.end()) {
      submission->definition.rules = rules->second;
    }
    auto teamRules = config->policy.teams.find(aDefinition.team);
    if (teamRules != config->policy.teams.end()) {
      submission->definition.teamRules = teamRules->second;
    }
  }
  if (this->membership.IsStoreAvailable()) {
    this->StoreJob(submission);
  } else {
    this->SubmitToLeader(submission);
  }
}

void JobSubmitter::StoreForPeer(const JobDefinition& aDefinition,
                                std::function<void(SubmitOutcome)> aDone)
{
  SubmissionRef submission = this->AddSubmission(aDefinition, kLeaderTimeout, std::move(aDone));
  submission->isForPeer = true;
  if (this->membership.IsStoreAvailable()) {
    this->StoreJob(submission);
  } else {
    this->EndLater(submission, "store_unavailable");
  }
}

void JobSubmitter::EndOpenSubmissions()
{
  while (!this->open.empty()) {
    this->End(SubmissionRef(this->open.begin()->second), "process_ends");
  }
}

void JobSubmitter::StoreJob(const SubmissionRef& aSubmission)
{
  if (!aSubmission->done) {
    return;
  }
  KeyValueTransaction transaction;
  std::string key = DefinitionKey(this->env.settings.storePrefix, aSubmission->definition.id);
  transaction.conditions.push_back({ key, 0 });
  transaction.puts.push_back({ key, ToJson(aSubmission->definition).dump(), 0 });
  ++aSubmission->openWrites;
  this->env.store.Commit(transaction, [this, aSubmission](const Result<std::uint64_t>& aRevision) {
    --aSubmission->openWrites;
    this->OnStoreResponse(aSubmission, aRevision);
  });
  // Repeating the write is safe: at most one of them finds the id unused.
  this->env.loop.After(kHedgeDelay, [this, aSubmission] {
    if (aSubmission->openWrites > 0 && aSubmission->openWrites < kMaxOpenWrites) {
      this->StoreJob(aSubmission);
    }
  });
}

void JobSubmitter::OnStoreResponse(const SubmissionRef& aSubmission,
                                   const Result<std::uint64_t>& aRevision)
{
  if (!aSubmission->done) {
    return; // Another write has determined the outcome.
  }
  bool isOutcomeUnknown = MayHaveBeenWritten(aRevision.Error());
  if (!isOutcomeUnknown) {
    this->membership.OnStoreResult(aRevision.Error());
  }
  if (aRevision) {
    this->Finish(aSubmission, SubmitOutcome::Accepted);
    this->notifier.Add(aSubmission->definition);
    return;
  }
  if (aRevision.Error() == make_error_code(Errc::Conflict)) {
    this->ResolveConflict(aSubmission);
    return;
  }
  aSubmission->mayBeStored = aSubmission->mayBeStored || isOutcomeUnknown;
  if (aSubmission->openWrites > 0) {
    return;
  }
  // While the store is unavailable, report the result at once: the caller may retry on another
  // instance.
  bool cannotBeResolved = aSubmission->mayBeStored && !this->membership.IsStoreAvailable();
  if (cannotBeResolved || this->env.loop.Now() + kRetryDelay >= aSubmission->deadline) {
    this->End(aSubmission, "store_unavailable");
  } else if (aSubmission->mayBeStored) {
    this->env.loop.After(kRetryDelay, [this, aSubmission] { this->StoreJob(aSubmission); });
  } else if (!aSubmission->isForPeer && !aSubmission->wasSentToLeader) {
    this->SubmitToLeader(aSubmission);
  } else {
    this->End(aSubmission, "store_refused");
  }
}

void JobSubmitter::ResolveConflict(const SubmissionRef& aSubmission)
{
  // The id is in use, perhaps by this job.
  aSubmission->mayBeStored = true;
  std::string key = DefinitionKey(this->env.settings.storePrefix, aSubmission->definition.id);
  this->env.store.Read(key, [this, aSubmission](const Result<std::optional<KeyValueItem>>& aItem) {
    if (!aSubmission->done) {
      return; // Another write has determined the outcome.
    }
    if (aItem) {
      this->OnConflictingItem(aSubmission, *aItem);
    } else if (this->membership.IsStoreAvailable() &&
               this->env.loop.Now() + kRetryDelay < aSubmission->deadline) {
      this->env.loop.After(kRetryDelay, [this, aSubmission] {
        if (aSubmission->done) {
          this->ResolveConflict(aSubmission);
        }
      });
    } else {
      this->End(aSubmission, "conflict_unread");
    }
  });
}

void JobSubmitter::OnConflictingItem(const SubmissionRef& aSubmission,
                                     const std::optional<KeyValueItem>& aItem)
{
  if (!aItem) {
    this->StoreJob(aSubmission); // The record was deleted meanwhile.
    return;
  }
  if (aItem->value == kWithdrawnTombstone) {
    // Nothing can be stored under the id while the tombstone exists, so late writes have no effect.
    LogLine(LogLevel::Info, "submission_withdrawn")
      .Add("job", aSubmission->definition.id)
      .Add("revision", aItem->revision);
    this->Finish(aSubmission, SubmitOutcome::Refused);
    return;
  }
  // An earlier attempt or a repeated request has stored the job already.
  this->Finish(aSubmission, SubmitOutcome::Accepted);
  if (std::optional<JobDefinition> job = OpenDefinitionFromText(aItem->value)) {
    this->notifier.Add(*job);
  }
}

void JobSubmitter::SubmitToLeader(const SubmissionRef& aSubmission)
{
  aSubmission->wasSentToLeader = true;
  const std::optional<LeaderRecord>& leader = this->membership.Leader();
  Duration timeLeft = aSubmission->deadline - this->env.loop.Now() - kCallMargin;
  if (!leader || this->ownLeader() != nullptr || timeLeft <= Duration(0)) {
    this->EndLater(aSubmission, "no_leader"); // There is no other instance to ask.
    return;
  }
  aSubmission->isAtLeader = true;
  this->env.peers.Call(leader->endpoint,
                       "submit",
                       ToJson(aSubmission->definition),
                       std::min<Duration>(kLeaderTimeout, timeLeft),
                       [this, aSubmission](const Result<json>& aResponse) {
                         aSubmission->isAtLeader = false;
                         if (aSubmission->done) {
                           this->OnLeaderResponse(aSubmission, aResponse);
                         }
                       });
}

void JobSubmitter::OnLeaderResponse(const SubmissionRef& aSubmission, const Result<json>& aResponse)
{
  if (!aResponse) {
    aSubmission->mayBeStored = aSubmission->mayBeStored || MayHaveBeenServed(aResponse.Error());
    this->End(aSubmission, "leader_unreachable");
    return;
  }
  JsonFields fields(*aResponse);
  std::string outcome = fields.Text("outcome");
  if (!fields.IsValid()) {
    this->membership.Unreadable().AddAnswer("submit", fields.Error());
  }
  if (outcome == OutcomeName(SubmitOutcome::Accepted)) {
    this->Finish(aSubmission, SubmitOutcome::Accepted);
    return;
  }
  bool isRefused = outcome == OutcomeName(SubmitOutcome::Refused);
  aSubmission->mayBeStored = aSubmission->mayBeStored || !isRefused;
  this->End(aSubmission, isRefused ? "leader_refused" : "leader_unsure");
}

void JobSubmitter::End(const SubmissionRef& aSubmission, const char* aCause)
{
  if (!aSubmission->done) {
    return;
  }
  bool mayBeStored =
    aSubmission->mayBeStored || aSubmission->openWrites > 0 || aSubmission->isAtLeader;
  SubmitOutcome outcome = mayBeStored ? SubmitOutcome::Unknown : SubmitOutcome::Refused;
  this->env.metrics.Count(std::string("submissions_not_stored_total{outcome=\"") +
                          OutcomeName(outcome) + "\",cause=\"" + aCause + "\"}");
  this->Finish(aSubmission, outcome);
}

void JobSubmitter::EndLater(const SubmissionRef& aSubmission, const char* aCause)
{
  this->env.loop.After(Duration(0),
                       [this, aSubmission, aCause] { this->End(aSubmission, aCause); });
}

void JobSubmitter::Finish(const SubmissionRef& aSubmission, SubmitOutcome aOutcome)
{
  if (aSubmission->done) {
    std::function<void(SubmitOutcome)> done = std::exchange(aSubmission->done, nullptr);
    this->open.erase(aSubmission->number);
    done(aOutcome);
  }
}

} // namespace daisydrift::coordination
