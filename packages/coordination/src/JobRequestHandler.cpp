#include "JobRequestHandler.h"

#include "RecordCodec.h"

#include <limits>

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
/// Response time limit of a healthy leader.
constexpr std::chrono::milliseconds kLeaderTimeout{ 600 };
/// Delay before the leader is called again, or looked up again.
constexpr std::chrono::milliseconds kRetryDelay{ 60 };
/// Attempts to call the leader before the store is read instead.
constexpr int kAttemptsBeforeStoreRead = 3;
/// Part of a caller's time that is kept for reading the store when the leader does not answer; with
/// little time it is half of it. The store normally responds within 4 ms.
constexpr std::chrono::milliseconds kStoreReadTime{ 300 };
/// For calls that are repeated until their deadline.
constexpr int kMaxAttempts = 1000;
/// A write without a response after this time is sent again in parallel. The store normally
/// responds within 4 ms.
constexpr std::chrono::milliseconds kHedgeDelay{ 150 };
constexpr int kMaxOpenWrites = 4;
constexpr int kLastState = static_cast<int>(DispatchState::Cancelled);
constexpr std::size_t kMaxPending = std::numeric_limits<std::uint32_t>::max();
} // namespace

struct JobRequestHandler::Submission
{
  JobDefinition definition;
  TimePoint deadline;
  std::function<void(SubmitOutcome)> done;
  /// The outcome of a write is unknown, so the job may be stored.
  bool mayBeStored = false;
  /// Received from another instance; not forwarded again.
  bool isForPeer = false;
  /// Writes without a response so far.
  int openWrites = 0;
  bool wasSentToLeader = false;
};

JobRequestHandler::JobRequestHandler(
  const Leader::Environment& aEnvironment,
  Membership& aMembership,
  std::function<Leader*()> aOwnLeader,
  std::function<void(const std::function<void()>&)> aCheckLeadership)
  : env(aEnvironment)
  , membership(aMembership)
  , ownLeader(std::move(aOwnLeader))
  , checkLeadership(std::move(aCheckLeadership))
  , notifier(aEnvironment, aMembership, this->ownLeader)
{
}

void JobRequestHandler::Submit(const JobDefinition& aDefinition,
                               Duration aTimeout,
                               std::function<void(SubmitOutcome)> aDone)
{
  auto submission = std::make_shared<Submission>();
  submission->definition = aDefinition;
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
  Duration timeout = std::min(aTimeout, MaxHandoverTime(this->env.settings));
  submission->deadline = this->env.loop.Now() + timeout;
  submission->done = std::move(aDone);
  // The calls to the store and to the leader may end later than the caller waits.
  this->env.loop.After(
    timeout, [this, submission] { this->FinishSubmission(submission, SubmitOutcome::Unknown); });
  if (this->membership.IsStoreAvailable()) {
    this->StoreJob(submission);
  } else {
    this->SubmitToLeader(submission);
  }
}

void JobRequestHandler::RefuseAsync(const std::shared_ptr<Submission>& aSubmission)
{
  this->env.loop.After(Duration(0), [this, aSubmission] {
    this->FinishSubmission(aSubmission, SubmitOutcome::Refused);
  });
}

void JobRequestHandler::StoreForPeer(const JobDefinition& aDefinition,
                                     std::function<void(SubmitOutcome)> aDone)
{
  auto submission = std::make_shared<Submission>();
  submission->definition = aDefinition;
  submission->deadline = this->env.loop.Now() + kLeaderTimeout;
  submission->done = std::move(aDone);
  submission->isForPeer = true;
  if (this->membership.IsStoreAvailable()) {
    this->StoreJob(submission);
  } else {
    this->RefuseAsync(submission);
  }
}

void JobRequestHandler::StoreJob(const std::shared_ptr<Submission>& aSubmission)
{
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
    if (aSubmission->done && aSubmission->openWrites > 0 &&
        aSubmission->openWrites < kMaxOpenWrites) {
      this->StoreJob(aSubmission);
    }
  });
}

void JobRequestHandler::OnStoreResponse(const std::shared_ptr<Submission>& aSubmission,
                                        const Result<std::uint64_t>& aRevision)
{
  if (!aSubmission->done) {
    return; // Another write has determined the outcome.
  }
  bool isOutcomeUnknown = aRevision.Error() == make_error_code(Errc::OutcomeUnknown);
  if (!isOutcomeUnknown) {
    this->membership.OnStoreResult(aRevision.Error());
  }
  if (aRevision) {
    this->FinishSubmission(aSubmission, SubmitOutcome::Accepted);
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
    this->FinishSubmission(
      aSubmission, aSubmission->mayBeStored ? SubmitOutcome::Unknown : SubmitOutcome::Refused);
  } else if (aSubmission->mayBeStored) {
    this->env.loop.After(kRetryDelay, [this, aSubmission] { this->StoreJob(aSubmission); });
  } else if (!aSubmission->isForPeer && !aSubmission->wasSentToLeader) {
    this->SubmitToLeader(aSubmission);
  } else {
    this->FinishSubmission(aSubmission, SubmitOutcome::Refused);
  }
}

void JobRequestHandler::ResolveConflict(const std::shared_ptr<Submission>& aSubmission)
{
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
      this->FinishSubmission(aSubmission, SubmitOutcome::Unknown);
    }
  });
}

void JobRequestHandler::OnConflictingItem(const std::shared_ptr<Submission>& aSubmission,
                                          const std::optional<KeyValueItem>& aItem)
{
  if (!aItem) {
    this->StoreJob(aSubmission); // The record was deleted meanwhile.
    return;
  }
  if (aItem->value == kWithdrawnTombstone) {
    LogLine(LogLevel::Info, "submission_withdrawn")
      .Add("job", aSubmission->definition.id)
      .Add("revision", aItem->revision);
    this->FinishSubmission(aSubmission, SubmitOutcome::Refused);
    return;
  }
  // An earlier attempt or a repeated request has stored the job already.
  this->FinishSubmission(aSubmission, SubmitOutcome::Accepted);
  this->NotifyLeader(aItem->value);
}

void JobRequestHandler::SubmitToLeader(const std::shared_ptr<Submission>& aSubmission)
{
  aSubmission->wasSentToLeader = true;
  const std::optional<LeaderRecord>& leader = this->membership.Leader();
  if (!leader || this->ownLeader() != nullptr) {
    this->RefuseAsync(aSubmission); // There is no other instance to ask, and nothing was sent.
    return;
  }
  this->env.peers.Call(leader->endpoint,
                       "submit",
                       ToJson(aSubmission->definition),
                       kLeaderTimeout,
                       [this, aSubmission](const Result<json>& aResponse) {
                         std::string outcome;
                         if (aResponse) {
                           JsonFields fields(*aResponse);
                           outcome = fields.Text("outcome");
                           this->ReportAnswer("submit", fields);
                         }
                         if (outcome == "accepted") {
                           this->FinishSubmission(aSubmission, SubmitOutcome::Accepted);
                           return;
                         }
                         bool wasNotSent =
                           !aResponse &&
                           (aResponse.Error() == make_error_code(Errc::Unreachable) ||
                            aResponse.Error() == make_error_code(Errc::DeadlineExceeded));
                         if (outcome == "refused" || wasNotSent) {
                           this->FinishSubmission(aSubmission, SubmitOutcome::Refused);
                           return;
                         }
                         this->FinishSubmission(aSubmission, SubmitOutcome::Unknown);
                       });
}

void JobRequestHandler::FinishSubmission(const std::shared_ptr<Submission>& aSubmission,
                                         SubmitOutcome aOutcome)
{
  if (aSubmission->done) {
    aSubmission->done(aOutcome);
    aSubmission->done = nullptr;
  }
}

bool JobRequestHandler::ReportAnswer(const char* aMethod, const JsonFields& aAnswer)
{
  if (!aAnswer.IsValid()) {
    this->membership.Unreadable().AddAnswer(aMethod, aAnswer.Error());
  }
  return aAnswer.IsValid();
}

void JobRequestHandler::NotifyLeader(const std::string& aRecord)
{
  if (std::optional<JobDefinition> job = OpenDefinitionFromText(aRecord)) {
    this->notifier.Add(*job);
  }
}

void JobRequestHandler::CallLeader(const std::string& aMethod,
                                   const json& aArguments,
                                   TimePoint aDeadline,
                                   int aMaxAttempts,
                                   const Reply& aReply)
{
  TimePoint now = this->env.loop.Now();
  auto retry = [this, aMethod, aArguments, aDeadline, aMaxAttempts, aReply] {
    this->CallLeader(aMethod, aArguments, aDeadline, aMaxAttempts - 1, aReply);
  };
  if (aMaxAttempts == 0 || now >= aDeadline) {
    aReply(Errc::Unreachable);
    return;
  }
  const std::optional<LeaderRecord>& leader = this->membership.Leader();
  bool isOwn = leader && leader->incarnation == this->membership.Incarnation();
  if (!leader || (isOwn && this->ownLeader() == nullptr)) {
    // There is no leader, or this instance leads and has not loaded the stored jobs yet. Once it
    // has, it is called like any other leader.
    this->env.loop.After(kRetryDelay, retry);
    return;
  }
  Duration timeout = std::min<Duration>(kLeaderTimeout, aDeadline - now);
  this->env.peers.Call(leader->endpoint,
                       aMethod,
                       aArguments,
                       timeout,
                       [this, aDeadline, retry, aReply](const Result<json>& aResponse) {
                         if (aResponse) {
                           aReply(aResponse);
                           return;
                         }
                         this->membership.SuspectLeader();
                         if (this->env.loop.Now() + kRetryDelay >= aDeadline) {
                           aReply(Errc::Unreachable);
                           return;
                         }
                         this->env.loop.After(kRetryDelay, retry);
                       });
}

void JobRequestHandler::Query(const JobId& aJob,
                              Duration aTimeout,
                              const std::function<void(const Result<DispatchState>&)>& aDone)
{
  TimePoint deadline = this->env.loop.Now() + aTimeout;
  Leader* localLeader = this->ownLeader();
  if (localLeader != nullptr && !this->membership.IsLeaseValid()) {
    // Another instance may lead and have a newer state of the job.
    this->checkLeadership(
      [this, aJob, deadline, aDone] { this->QueryLeader(aJob, deadline, aDone); });
    return;
  }
  this->QueryLeader(aJob, deadline, aDone);
}

void JobRequestHandler::QueryLeader(const JobId& aJob,
                                    TimePoint aDeadline,
                                    const std::function<void(const Result<DispatchState>&)>& aDone)
{
  if (Leader* localLeader = this->ownLeader()) {
    std::optional<DispatchState> state = localLeader->State(aJob);
    if (state) {
      aDone(*state);
    } else {
      this->QueryStore({ aJob, aDeadline, aDone, true });
    }
    return;
  }
  Duration timeLeft = aDeadline - this->env.loop.Now();
  this->CallLeader("query",
                   { { "job", aJob } },
                   aDeadline - std::min<Duration>(kStoreReadTime, timeLeft / 2),
                   kAttemptsBeforeStoreRead,
                   [this, aJob, aDeadline, aDone](const Result<json>& aResponse) {
                     int state = -1;
                     if (aResponse) {
                       JsonFields fields(*aResponse);
                       state = fields.Integer("state", -1, kLastState, -1);
                       this->ReportAnswer("query", fields);
                     }
                     if (state >= 0) {
                       aDone(static_cast<DispatchState>(state));
                     } else {
                       this->QueryStore({ aJob, aDeadline, aDone, aResponse.HasValue() });
                     }
                   });
}

void JobRequestHandler::QueryStore(const StoreQuery& aQuery)
{
  this->env.store.Read(ProgressKey(this->env.settings.storePrefix, aQuery.job),
                       [this, aQuery](const Result<std::optional<KeyValueItem>>& aItem) {
                         if (!aItem) {
                           this->RetryQuery(aQuery, aItem.Error());
                         } else if (*aItem) {
                           aQuery.done(this->StoredState(**aItem));
                         } else if (aQuery.isClosed) {
                           aQuery.done(Errc::NotFound); // Deleted after the retention time.
                         } else {
                           this->QueryDefinition(aQuery);
                         }
                       });
}

void JobRequestHandler::QueryDefinition(const StoreQuery& aQuery)
{
  this->env.store.Read(DefinitionKey(this->env.settings.storePrefix, aQuery.job),
                       [this, aQuery](const Result<std::optional<KeyValueItem>>& aItem) {
                         if (!aItem) {
                           this->RetryQuery(aQuery, aItem.Error());
                         } else if (!*aItem || (*aItem)->value == kWithdrawnTombstone) {
                           aQuery.done(Errc::NotFound);
                         } else if ((*aItem)->value == kDefinitionTombstone) {
                           // Its final state was stored before, perhaps since the read of it.
                           StoreQuery closed = aQuery;
                           closed.isClosed = true;
                           this->QueryStore(closed);
                         } else {
                           if (aQuery.isUnknownToLeader) {
                             this->NotifyLeader((*aItem)->value);
                           }
                           aQuery.done(DispatchState::Queued);
                         }
                       });
}

void JobRequestHandler::RetryQuery(const StoreQuery& aQuery, std::error_code aError)
{
  if (this->env.loop.Now() + kRetryDelay >= aQuery.deadline) {
    aQuery.done(aError);
    return;
  }
  this->env.loop.After(kRetryDelay, [this, aQuery] { this->QueryStore(aQuery); });
}

Result<DispatchState> JobRequestHandler::StoredState(const KeyValueItem& aProgress)
{
  std::string error;
  if (std::optional<JobProgress> progress = JobProgressFromText(aProgress.value, &error)) {
    return progress->state;
  }
  this->membership.Unreadable().AddEntry("progress", aProgress.key, aProgress.revision, error);
  return Errc::Corrupt;
}

void JobRequestHandler::Cancel(const JobId& aJob,
                               Duration aTimeout,
                               const std::function<void(std::error_code)>& aDone)
{
  this->CancelWithRetries(aJob, this->env.loop.Now() + aTimeout, aDone);
}

void JobRequestHandler::CancelWithRetries(const JobId& aJob,
                                          TimePoint aDeadline,
                                          const std::function<void(std::error_code)>& aDone)
{
  auto onUnknownJob = [this, aJob, aDeadline, aDone] {
    this->env.store.Read(
      DefinitionKey(this->env.settings.storePrefix, aJob),
      [this, aJob, aDeadline, aDone](const Result<std::optional<KeyValueItem>>& aItem) {
        if (aItem && !*aItem) {
          this->WithdrawJob(aJob, aDeadline, aDone);
          return;
        }
        if (aItem && IsTombstone((*aItem)->value)) {
          aDone(make_error_code(Errc::NotFound));
          return;
        }
        if (aItem) {
          this->NotifyLeader((*aItem)->value);
        }
        this->RetryCancel(aJob, aDeadline, aDone);
      });
  };
  if (Leader* localLeader = this->ownLeader()) {
    localLeader->Cancel(aJob, [this, aJob, aDeadline, onUnknownJob, aDone](std::error_code aError) {
      if (aError == make_error_code(Errc::NotFound)) {
        onUnknownJob();
      } else if (aError && this->env.loop.Now() + kRetryDelay < aDeadline) {
        // The term has ended before the cancellation was stored; the next leader carries it out.
        this->env.loop.After(kRetryDelay, [this, aJob, aDeadline, aDone] {
          this->CancelWithRetries(aJob, aDeadline, aDone);
        });
      } else {
        aDone(aError);
      }
    });
    return;
  }
  this->CallLeader("cancel",
                   { { "job", aJob } },
                   aDeadline,
                   kMaxAttempts,
                   [this, onUnknownJob, aDone](const Result<json>& aResponse) {
                     if (!aResponse) {
                       aDone(make_error_code(Errc::OutcomeUnknown));
                       return;
                     }
                     JsonFields fields(*aResponse);
                     bool isFound = fields.Flag("found");
                     if (!this->ReportAnswer("cancel", fields)) {
                       aDone(make_error_code(Errc::OutcomeUnknown));
                     } else if (isFound) {
                       aDone(std::error_code());
                     } else {
                       onUnknownJob();
                     }
                   });
}

void JobRequestHandler::RetryCancel(const JobId& aJob,
                                    TimePoint aDeadline,
                                    const std::function<void(std::error_code)>& aDone)
{
  if (this->env.loop.Now() + kRetryDelay >= aDeadline) {
    aDone(make_error_code(Errc::OutcomeUnknown));
    return;
  }
  this->env.loop.After(kRetryDelay, [this, aJob, aDeadline, aDone] {
    this->CancelWithRetries(aJob, aDeadline, aDone);
  });
}

void JobRequestHandler::WithdrawJob(const JobId& aJob,
                                    TimePoint aDeadline,
                                    const std::function<void(std::error_code)>& aDone)
{
  KeyValueTransaction transaction;
  std::string key = DefinitionKey(this->env.settings.storePrefix, aJob);
  transaction.conditions.push_back({ key, 0 });
  transaction.puts.push_back({ key, kWithdrawnTombstone, 0 });
  this->env.store.Commit(
    transaction, [this, aJob, aDeadline, aDone](const Result<std::uint64_t>& aRevision) {
      if (aRevision) {
        this->env.metrics.Count("jobs_withdrawn_total");
        LogLine(LogLevel::Info, "job_withdrawn").Add("job", aJob).Add("revision", *aRevision);
        aDone(make_error_code(Errc::NotFound));
        return;
      }
      // Conflict: the job, or an earlier attempt of this write, has been stored meanwhile.
      this->RetryCancel(aJob, aDeadline, aDone);
    });
}

void JobRequestHandler::CountPending(const QueueName& aQueue,
                                     Duration aTimeout,
                                     const std::function<void(const Result<std::size_t>&)>& aDone)
{
  if (Leader* localLeader = this->ownLeader()) {
    aDone(localLeader->CountQueuedJobs(aQueue));
    return;
  }
  this->CallLeader("pending",
                   { { "queue", aQueue } },
                   this->env.loop.Now() + aTimeout,
                   kMaxAttempts,
                   [this, aDone](const Result<json>& aResponse) {
                     if (!aResponse) {
                       aDone(aResponse.Error());
                       return;
                     }
                     JsonFields fields(*aResponse);
                     auto pending = fields.Integer<std::size_t>("pending", 0, kMaxPending);
                     if (this->ReportAnswer("pending", fields)) {
                       aDone(pending);
                     } else {
                       aDone(Errc::Unreachable);
                     }
                   });
}

} // namespace daisydrift::coordination
