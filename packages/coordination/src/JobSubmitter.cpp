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
/// Writes of submissions that are open at once, half of the adapter's connections: a write that
/// waited for a connection would count as sent at its caller's deadline.
constexpr std::size_t kMaxOpenWritesOfAll = 32;
/// Time between reviews of the held submissions.
constexpr std::chrono::milliseconds kReviewInterval{ 50 };
/// Time after which a leader that has refused a submission, or has not answered, is asked again.
constexpr std::chrono::milliseconds kLeaderRetryInterval{ 500 };
/// Released submissions that are open at once; one until the first is stored, since the store may
/// fail again.
constexpr std::size_t kMaxOpenReleases = 4;
/// Bytes of a held submission besides its text.
constexpr std::size_t kFixedHeldBytes = 2048;

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
  /// Was held and has been sent; it is not held again.
  bool wasReleased = false;
  /// Counts in openReleases.
  bool isReleaseOpen = false;
  /// Bytes that it counts for while it is held.
  std::size_t heldBytes = 0;
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
  this->Send(submission);
}

void JobSubmitter::Send(const SubmissionRef& aSubmission)
{
  bool isStoreUsable =
    this->membership.IsStoreAvailable() && this->openWrites < kMaxOpenWritesOfAll;
  if (!this->held.empty()) {
    this->HoldOrEnd(aSubmission, "behind_held");
  } else if (isStoreUsable) {
    this->StoreJob(aSubmission);
  } else if (!this->membership.IsStoreAvailable() && this->CanAskLeader()) {
    this->SubmitToLeader(aSubmission);
  } else {
    this->HoldOrEnd(aSubmission, "store_unavailable");
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
  ++this->openWrites;
  this->env.store.Commit(transaction, [this, aSubmission](const Result<std::uint64_t>& aRevision) {
    --aSubmission->openWrites;
    --this->openWrites;
    this->OnStoreResponse(aSubmission, aRevision);
  });
  // Repeating the write is safe: at most one of them finds the id unused.
  this->env.loop.After(kHedgeDelay, [this, aSubmission] {
    if (aSubmission->openWrites > 0 && aSubmission->openWrites < kMaxOpenWrites &&
        this->openWrites < kMaxOpenWritesOfAll) {
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
  if (!this->membership.IsStoreAvailable()) {
    if (!aSubmission->mayBeStored && !aSubmission->wasSentToLeader && this->CanAskLeader()) {
      this->SubmitToLeader(aSubmission);
    } else {
      this->HoldOrEnd(aSubmission, "store_unavailable");
    }
  } else if (this->env.loop.Now() + kRetryDelay >= aSubmission->deadline) {
    this->End(aSubmission, "deadline");
  } else if (aSubmission->mayBeStored) {
    this->env.loop.After(kRetryDelay, [this, aSubmission] { this->StoreJob(aSubmission); });
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

bool JobSubmitter::CanAskLeader() const
{
  const std::optional<LeaderRecord>& leader = this->membership.Leader();
  return leader && leader->incarnation != this->membership.Incarnation() &&
         this->env.loop.Now() >= this->nextLeaderCallAt;
}

void JobSubmitter::SubmitToLeader(const SubmissionRef& aSubmission)
{
  Duration timeLeft = aSubmission->deadline - this->env.loop.Now() - kCallMargin;
  if (aSubmission->isForPeer || timeLeft <= Duration(0)) {
    this->EndLater(aSubmission, "deadline");
    return;
  }
  aSubmission->wasSentToLeader = true;
  aSubmission->isAtLeader = true;
  this->env.peers.Call(this->membership.Leader()->endpoint,
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
  std::string outcome = OutcomeName(SubmitOutcome::Unknown);
  if (aResponse) {
    JsonFields fields(*aResponse);
    outcome = fields.Text("outcome");
    if (!fields.IsValid()) {
      this->membership.Unreadable().AddAnswer("submit", fields.Error());
    }
  } else if (!MayHaveBeenServed(aResponse.Error())) {
    outcome = OutcomeName(SubmitOutcome::Refused);
  }
  if (outcome == OutcomeName(SubmitOutcome::Accepted)) {
    this->nextLeaderCallAt = TimePoint();
    this->Finish(aSubmission, SubmitOutcome::Accepted);
    return;
  }
  this->nextLeaderCallAt = this->env.loop.Now() + kLeaderRetryInterval;
  if (outcome == OutcomeName(SubmitOutcome::Refused)) {
    this->HoldOrEnd(aSubmission, "leader_refused");
  } else {
    aSubmission->mayBeStored = true;
    this->End(aSubmission, "leader_unsure");
  }
}

void JobSubmitter::HoldOrEnd(const SubmissionRef& aSubmission, const char* aCause)
{
  bool isWorthIt = aSubmission->done && !aSubmission->isForPeer && !aSubmission->wasReleased &&
                   this->IsWorthHolding(*aSubmission, this->held.size());
  std::size_t bytes =
    isWorthIt ? kFixedHeldBytes + 2 * ToJson(aSubmission->definition).dump().size() : 0;
  if (!isWorthIt || !HoldPolicy::HasRoom({ this->held.size(), this->heldBytes }, bytes)) {
    this->EndLater(aSubmission, aCause);
    return;
  }
  if (this->held.empty()) {
    this->heldSince = this->env.loop.Now();
    this->heldCount = 0;
    LogLine(LogLevel::Warning, "submissions_held")
      .Add("cause", aCause)
      .Add("outage_age_ms", this->membership.StoreOutage().Age(this->heldSince));
  }
  ++this->heldCount;
  aSubmission->heldBytes = bytes;
  this->heldBytes += bytes;
  this->held.emplace(aSubmission->number, aSubmission);
  this->env.metrics.Count("submissions_held_total");
  this->env.metrics.Set("submissions_held", static_cast<double>(this->held.size()));
  this->ScheduleReview();
}

bool JobSubmitter::IsWorthHolding(const Submission& aSubmission, std::size_t aAhead) const
{
  TimePoint now = this->env.loop.Now();
  return HoldPolicy::IsWorthWaiting(this->membership.StoreOutage(),
                                    aSubmission.deadline - now,
                                    aAhead,
                                    this->membership.Members().size(),
                                    now);
}

void JobSubmitter::RemoveHeld(Submission& aSubmission)
{
  if (this->held.erase(aSubmission.number) == 0) {
    return;
  }
  this->heldBytes -= aSubmission.heldBytes;
  this->env.metrics.Set("submissions_held", static_cast<double>(this->held.size()));
  if (this->held.empty()) {
    LogLine(LogLevel::Info, "submissions_held_no_more")
      .Add("held", this->heldCount)
      .Add("store_available", this->membership.IsStoreAvailable())
      .Add("spent_ms", this->env.loop.Now() - this->heldSince);
  }
}

void JobSubmitter::ScheduleReview()
{
  if (this->isReviewScheduled || this->held.empty()) {
    return;
  }
  this->isReviewScheduled = true;
  Duration interval = HoldPolicy::ReleaseInterval(this->membership.Members().size());
  this->env.loop.After(std::min<Duration>(kReviewInterval, interval), [this] {
    this->isReviewScheduled = false;
    this->ReviewHeld();
    this->ScheduleReview();
  });
}

void JobSubmitter::ReviewHeld()
{
  std::vector<SubmissionRef> hopeless;
  std::size_t ahead = 0;
  for (const auto& [number, submission] : this->held) {
    if (this->IsWorthHolding(*submission, ahead)) {
      ++ahead;
    } else {
      hopeless.push_back(submission);
    }
  }
  for (const SubmissionRef& submission : hopeless) {
    this->End(submission, "outage_lasts");
  }
  this->ReleaseNext();
}

void JobSubmitter::ReleaseNext()
{
  TimePoint now = this->env.loop.Now();
  if (this->held.empty() || now < this->nextReleaseAt) {
    return;
  }
  std::size_t maxOpen = this->hasStoredReleased ? kMaxOpenReleases : 1;
  bool canStore = this->membership.IsStoreAvailable() && this->openReleases < maxOpen &&
                  this->openWrites < kMaxOpenWritesOfAll;
  bool canAskLeader = !this->membership.IsStoreAvailable() && this->CanAskLeader();
  if (!canStore && !canAskLeader) {
    return;
  }
  SubmissionRef next = this->held.begin()->second;
  this->RemoveHeld(*next);
  this->nextReleaseAt = now + HoldPolicy::ReleaseInterval(this->membership.Members().size());
  if (canStore) {
    next->wasReleased = true;
    next->isReleaseOpen = true;
    ++this->openReleases;
    this->StoreJob(next);
  } else {
    // The others wait for its result.
    this->nextLeaderCallAt = now + kLeaderTimeout;
    this->SubmitToLeader(next);
  }
}

void JobSubmitter::OnReleased(Submission& aSubmission, bool aIsStored)
{
  if (std::exchange(aSubmission.isReleaseOpen, false)) {
    --this->openReleases;
    this->hasStoredReleased = this->hasStoredReleased || aIsStored;
    this->env.metrics.Count(aIsStored ? "submissions_released_total{stored=\"true\"}"
                                      : "submissions_released_total{stored=\"false\"}");
  }
}

void JobSubmitter::OnStoreRegained()
{
  this->hasStoredReleased = false;
  this->env.loop.After(Duration(0), [this] { this->ReleaseNext(); });
}

void JobSubmitter::OnLeaderChanged()
{
  this->nextLeaderCallAt = TimePoint();
  this->env.loop.After(Duration(0), [this] { this->ReleaseNext(); });
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
    this->RemoveHeld(*aSubmission);
    this->OnReleased(*aSubmission, aOutcome == SubmitOutcome::Accepted);
    done(aOutcome);
  }
}

} // namespace daisydrift::coordination
