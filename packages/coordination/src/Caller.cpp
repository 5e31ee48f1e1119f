#include "Caller.h"

#include "RecordCodec.h"

namespace daisydrift::coordination {

using nlohmann::json;

namespace {
/// Response time limit of a healthy leader.
constexpr std::chrono::milliseconds kLeaderTimeout{ 600 };
/// Delay before the leader is called again, or looked up again.
constexpr std::chrono::milliseconds kRetryDelay{ 60 };
/// Attempts to call the leader before the store is read instead.
constexpr int kTriesBeforeStore = 3;
constexpr int kManyTries = 1000;
constexpr int kNotifyTries = 5;
/// A write without a response after this time is sent a second time in parallel. The store normally
/// responds within 4 ms.
constexpr std::chrono::milliseconds kHedgeDelay{ 150 };
constexpr int kMostOpenWrites = 4;
} // namespace

struct Caller::Submission
{
  JobDefinition definition;
  TimePoint until;
  std::function<void(SubmitOutcome)> done;
  /// The outcome of a write is unknown, so the job may be stored.
  bool mayBeStored = false;
  /// Received from another instance; not forwarded again.
  bool isForOther = false;
  /// Writes without a response so far.
  int openWrites = 0;
  bool wasOverLeader = false;
};

Caller::Caller(const Leader::Environment& aEnvironment,
               Membership& aMembership,
               std::function<Leader*()> aOwnLeader,
               std::function<void(const std::function<void()>&)> aCheckLeadership)
  : env(aEnvironment)
  , membership(aMembership)
  , ownLeader(std::move(aOwnLeader))
  , checkLeadership(std::move(aCheckLeadership))
{
}

void Caller::Submit(const JobDefinition& aDefinition,
                    Duration aTimeout,
                    std::function<void(SubmitOutcome)> aDone)
{
  auto submission = std::make_shared<Submission>();
  submission->definition = aDefinition;
  submission->until = this->env.loop.Now() + aTimeout;
  submission->done = std::move(aDone);
  if (this->membership.IsStoreInReach()) {
    this->Store(submission);
  } else {
    this->StoreOverLeader(submission);
  }
}

void Caller::RefuseLater(const std::shared_ptr<Submission>& aSubmission)
{
  this->env.loop.After(Duration(0), [this, aSubmission] {
    this->FinishSubmission(aSubmission, SubmitOutcome::Refused);
  });
}

void Caller::StoreFor(const JobDefinition& aDefinition, std::function<void(SubmitOutcome)> aDone)
{
  auto submission = std::make_shared<Submission>();
  submission->definition = aDefinition;
  submission->until = this->env.loop.Now() + kLeaderTimeout;
  submission->done = std::move(aDone);
  submission->isForOther = true;
  if (this->membership.IsStoreInReach()) {
    this->Store(submission);
  } else {
    this->RefuseLater(submission);
  }
}

void Caller::Store(const std::shared_ptr<Submission>& aSubmission)
{
  KeyValueTransaction transaction;
  std::string key = DefinitionKey(this->env.settings.storePrefix, aSubmission->definition.id);
  transaction.conditions.push_back({ key, 0 });
  transaction.puts.push_back({ key, ToJson(aSubmission->definition).dump(), 0 });
  ++aSubmission->openWrites;
  this->env.store.Commit(transaction, [this, aSubmission](const Result<std::uint64_t>& aRevision) {
    --aSubmission->openWrites;
    this->OnStoreAnswer(aSubmission, aRevision);
  });
  // Repeating the write is safe: at most one of them finds the id unused.
  this->env.loop.After(kHedgeDelay, [this, aSubmission] {
    if (aSubmission->done && aSubmission->openWrites > 0 &&
        aSubmission->openWrites < kMostOpenWrites) {
      this->Store(aSubmission);
    }
  });
}

void Caller::OnStoreAnswer(const std::shared_ptr<Submission>& aSubmission,
                           const Result<std::uint64_t>& aRevision)
{
  if (!aSubmission->done) {
    return; // Another write has settled the outcome.
  }
  bool mayHaveHappened = aRevision.Error() == make_error_code(Errc::OutcomeUnknown);
  if (!mayHaveHappened) {
    this->membership.NoteStore(aRevision.Error());
  }
  // Conflict: an earlier attempt or a repeated request has stored the job already.
  if (aRevision || aRevision.Error() == make_error_code(Errc::Conflict)) {
    this->FinishSubmission(aSubmission, SubmitOutcome::Accepted);
    this->Notify(aSubmission->definition, kNotifyTries);
    return;
  }
  aSubmission->mayBeStored = aSubmission->mayBeStored || mayHaveHappened;
  if (aSubmission->openWrites > 0) {
    return;
  }
  // While the store is unreachable, report the result at once: the client may retry on another
  // instance.
  bool isHopeless = aSubmission->mayBeStored && !this->membership.IsStoreInReach();
  if (isHopeless || this->env.loop.Now() + kRetryDelay >= aSubmission->until) {
    this->FinishSubmission(
      aSubmission, aSubmission->mayBeStored ? SubmitOutcome::Unknown : SubmitOutcome::Refused);
  } else if (aSubmission->mayBeStored) {
    this->env.loop.After(kRetryDelay, [this, aSubmission] { this->Store(aSubmission); });
  } else if (!aSubmission->isForOther && !aSubmission->wasOverLeader) {
    this->StoreOverLeader(aSubmission);
  } else {
    this->FinishSubmission(aSubmission, SubmitOutcome::Refused);
  }
}

void Caller::StoreOverLeader(const std::shared_ptr<Submission>& aSubmission)
{
  aSubmission->wasOverLeader = true;
  const std::optional<LeaderRecord>& leader = this->membership.Leader();
  if (!leader || this->ownLeader() != nullptr) {
    this->RefuseLater(aSubmission); // There is no other instance to ask, and nothing was sent.
    return;
  }
  this->env.peers.Call(leader->endpoint,
                       "submit",
                       ToJson(aSubmission->definition),
                       kLeaderTimeout,
                       [this, aSubmission](const Result<json>& aAnswer) {
                         std::string outcome =
                           aAnswer ? aAnswer->value("outcome", "unknown") : "unknown";
                         if (outcome == "accepted") {
                           this->FinishSubmission(aSubmission, SubmitOutcome::Accepted);
                           return;
                         }
                         bool wasNotSent =
                           !aAnswer && (aAnswer.Error() == make_error_code(Errc::Unreachable) ||
                                        aAnswer.Error() == make_error_code(Errc::DeadlineExceeded));
                         if (outcome == "refused" || wasNotSent) {
                           this->FinishSubmission(aSubmission, SubmitOutcome::Refused);
                           return;
                         }
                         this->FinishSubmission(aSubmission, SubmitOutcome::Unknown);
                       });
}

void Caller::FinishSubmission(const std::shared_ptr<Submission>& aSubmission,
                              SubmitOutcome aOutcome)
{
  if (aSubmission->done) {
    aSubmission->done(aOutcome);
    aSubmission->done = nullptr;
  }
}

void Caller::Notify(const JobDefinition& aDefinition, int aTriesLeft)
{
  if (Leader* own = this->ownLeader()) {
    own->AddJob(aDefinition);
    return;
  }
  const std::optional<LeaderRecord>& leader = this->membership.Leader();
  if (!leader || aTriesLeft == 0) {
    return; // Found by the next leader on recovery, or by this one in the job changes.
  }
  this->env.peers.Call(leader->endpoint,
                       "notice",
                       ToJson(aDefinition),
                       kLeaderTimeout,
                       [this, aDefinition, aTriesLeft](const Result<json>& aAnswer) {
                         if (!aAnswer) {
                           this->membership.Suspect();
                           this->env.loop.After(kRetryDelay, [this, aDefinition, aTriesLeft] {
                             this->Notify(aDefinition, aTriesLeft - 1);
                           });
                         }
                       });
}

void Caller::CallLeader(const std::string& aMethod,
                        const json& aArguments,
                        TimePoint aUntil,
                        int aMaxTries,
                        const Reply& aReply)
{
  TimePoint now = this->env.loop.Now();
  auto again = [this, aMethod, aArguments, aUntil, aMaxTries, aReply] {
    this->CallLeader(aMethod, aArguments, aUntil, aMaxTries - 1, aReply);
  };
  if (aMaxTries == 0 || now >= aUntil) {
    aReply(Errc::Unreachable);
    return;
  }
  const std::optional<LeaderRecord>& leader = this->membership.Leader();
  if (!leader || leader->incarnation == this->membership.Incarnation()) {
    this->env.loop.After(kRetryDelay, again);
    return;
  }
  Duration timeout = std::min<Duration>(kLeaderTimeout, aUntil - now);
  this->env.peers.Call(leader->endpoint,
                       aMethod,
                       aArguments,
                       timeout,
                       [this, again, aReply](const Result<json>& aAnswer) {
                         if (aAnswer) {
                           aReply(aAnswer);
                           return;
                         }
                         this->membership.Suspect();
                         this->env.loop.After(kRetryDelay, again);
                       });
}

void Caller::Query(const JobId& aJob,
                   Duration aTimeout,
                   const std::function<void(const Result<DispatchState>&)>& aDone)
{
  TimePoint until = this->env.loop.Now() + aTimeout;
  Leader* own = this->ownLeader();
  if (own != nullptr && !this->membership.IsLeaseSure()) {
    // Another instance may lead and have a newer state of the job.
    this->checkLeadership([this, aJob, until, aDone] { this->QueryLeader(aJob, until, aDone); });
    return;
  }
  this->QueryLeader(aJob, until, aDone);
}

void Caller::QueryLeader(const JobId& aJob,
                         TimePoint aUntil,
                         const std::function<void(const Result<DispatchState>&)>& aDone)
{
  if (Leader* own = this->ownLeader()) {
    std::optional<DispatchState> state = own->State(aJob);
    if (state) {
      aDone(*state);
    } else {
      this->QueryStore(aJob, aUntil, aDone);
    }
    return;
  }
  this->CallLeader("query",
                   { { "job", aJob } },
                   aUntil,
                   kTriesBeforeStore,
                   [this, aJob, aUntil, aDone](const Result<json>& aAnswer) {
                     int state = aAnswer ? aAnswer->value("state", -1) : -1;
                     if (state >= 0) {
                       aDone(static_cast<DispatchState>(state));
                     } else {
                       this->QueryStore(aJob, aUntil, aDone);
                     }
                   });
}

void Caller::QueryStore(const JobId& aJob,
                        TimePoint aUntil,
                        const std::function<void(const Result<DispatchState>&)>& aDone)
{
  auto again = [this, aJob, aUntil, aDone](std::error_code aError) {
    if (this->env.loop.Now() + kRetryDelay >= aUntil) {
      aDone(aError);
      return;
    }
    this->env.loop.After(kRetryDelay,
                         [this, aJob, aUntil, aDone] { this->QueryStore(aJob, aUntil, aDone); });
  };
  const std::string& prefix = this->env.settings.storePrefix;
  this->env.store.Read(
    ProgressKey(prefix, aJob),
    [this, aJob, aDone, again, prefix](const Result<std::optional<KeyValueItem>>& aItem) {
      if (!aItem) {
        again(aItem.Error());
        return;
      }
      if (*aItem) {
        std::optional<json> parsed = ParseJson((*aItem)->value);
        std::optional<JobProgress> progress = parsed ? JobProgressFrom(*parsed) : std::nullopt;
        if (progress) {
          aDone(progress->state);
        } else {
          aDone(Errc::Corrupt);
        }
        return;
      }
      this->env.store.Read(DefinitionKey(prefix, aJob),
                           [aDone, again](const Result<std::optional<KeyValueItem>>& aDefinition) {
                             if (!aDefinition) {
                               again(aDefinition.Error());
                             } else if (*aDefinition) {
                               aDone(DispatchState::Queued);
                             } else {
                               aDone(Errc::NotFound);
                             }
                           });
    });
}

void Caller::Cancel(const JobId& aJob,
                    Duration aTimeout,
                    const std::function<void(std::error_code)>& aDone)
{
  this->CancelUntil(aJob, this->env.loop.Now() + aTimeout, aDone);
}

void Caller::CancelUntil(const JobId& aJob,
                         TimePoint aUntil,
                         const std::function<void(std::error_code)>& aDone)
{
  auto onUnknown = [this, aJob, aUntil, aDone] {
    this->env.store.Read(
      DefinitionKey(this->env.settings.storePrefix, aJob),
      [this, aJob, aUntil, aDone](const Result<std::optional<KeyValueItem>>& aItem) {
        if (aItem && !*aItem) {
          aDone(make_error_code(Errc::NotFound));
        } else if (this->env.loop.Now() + kRetryDelay >= aUntil) {
          aDone(make_error_code(Errc::OutcomeUnknown));
        } else {
          // Stored, but the leader has not read it yet.
          this->env.loop.After(
            kRetryDelay, [this, aJob, aUntil, aDone] { this->CancelUntil(aJob, aUntil, aDone); });
        }
      });
  };
  if (Leader* own = this->ownLeader()) {
    own->Cancel(aJob, [onUnknown, aDone](std::error_code aError) {
      if (aError == make_error_code(Errc::NotFound)) {
        onUnknown();
      } else {
        aDone(aError);
      }
    });
    return;
  }
  this->CallLeader("cancel",
                   { { "job", aJob } },
                   aUntil,
                   kManyTries,
                   [onUnknown, aDone](const Result<json>& aAnswer) {
                     if (!aAnswer) {
                       aDone(make_error_code(Errc::OutcomeUnknown));
                     } else if (aAnswer->value("found", false)) {
                       aDone(std::error_code());
                     } else {
                       onUnknown();
                     }
                   });
}

void Caller::CountPending(const QueueName& aQueue,
                          Duration aTimeout,
                          const std::function<void(const Result<std::size_t>&)>& aDone)
{
  if (Leader* own = this->ownLeader()) {
    aDone(own->Pending(aQueue));
    return;
  }
  this->CallLeader("pending",
                   { { "queue", aQueue } },
                   this->env.loop.Now() + aTimeout,
                   kManyTries,
                   [aDone](const Result<json>& aAnswer) {
                     if (aAnswer) {
                       aDone(aAnswer->value("pending", std::size_t(0)));
                     } else {
                       aDone(aAnswer.Error());
                     }
                   });
}

} // namespace daisydrift::coordination
