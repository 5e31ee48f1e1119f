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
/// A cancellation's call to the leader ends this long before the caller's time, so that its error,
/// which says whether it was sent, is known by then.
constexpr std::chrono::milliseconds kCallMargin{ 20 };
constexpr int kLastState = static_cast<int>(DispatchState::Cancelled);
constexpr std::size_t kMaxPending = std::numeric_limits<std::uint32_t>::max();
} // namespace

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
  , submitter(aEnvironment, aMembership, this->ownLeader, this->notifier)
{
}

void JobRequestHandler::Submit(const JobDefinition& aDefinition,
                               Duration aTimeout,
                               std::function<void(SubmitOutcome)> aDone)
{
  this->submitter.Submit(aDefinition, aTimeout, std::move(aDone));
}

void JobRequestHandler::StoreForPeer(const JobDefinition& aDefinition,
                                     std::function<void(SubmitOutcome)> aDone)
{
  this->submitter.StoreForPeer(aDefinition, std::move(aDone));
}

void JobRequestHandler::EndOpenRequests()
{
  this->submitter.EndOpenSubmissions();
  while (!this->openCancellations.empty()) {
    CancellationRef cancellation = this->openCancellations.begin()->second;
    this->EndCancellation(cancellation);
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

void JobRequestHandler::CallLeader(const LeaderCallRef& aCall)
{
  TimePoint now = this->env.loop.Now();
  if (aCall->attemptsLeft == 0 || now >= aCall->deadline) {
    aCall->reply(aCall->mayBeServed ? Errc::OutcomeUnknown : Errc::Unreachable);
    return;
  }
  auto retry = [this, aCall] { this->CallLeader(aCall); };
  --aCall->attemptsLeft;
  const std::optional<LeaderRecord>& leader = this->membership.Leader();
  bool isOwn = leader && leader->incarnation == this->membership.Incarnation();
  if (!leader || (isOwn && this->ownLeader() == nullptr)) {
    // There is no leader, or this instance leads and has not loaded the stored jobs yet. Once it
    // has, it is called like any other leader.
    this->env.loop.After(kRetryDelay, retry);
    return;
  }
  Duration timeout = std::min<Duration>(kLeaderTimeout, aCall->deadline - now);
  aCall->isOpen = true;
  this->env.peers.Call(
    leader->endpoint,
    aCall->method,
    aCall->arguments,
    timeout,
    [this, aCall, retry](const Result<json>& aResponse) {
      aCall->isOpen = false;
      if (aResponse) {
        aCall->reply(aResponse);
        return;
      }
      aCall->mayBeServed = aCall->mayBeServed || MayHaveBeenServed(aResponse.Error());
      this->membership.SuspectLeader();
      if (this->env.loop.Now() + kRetryDelay >= aCall->deadline) {
        aCall->reply(aCall->mayBeServed ? Errc::OutcomeUnknown : Errc::Unreachable);
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
      this->BeginStoreQuery({ aJob, aDeadline, aDone, true });
    }
    return;
  }
  Duration timeLeft = aDeadline - this->env.loop.Now();
  this->CallLeader(std::make_shared<LeaderCall>(
    LeaderCall{ "query",
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
                    this->BeginStoreQuery({ aJob, aDeadline, aDone, aResponse.HasValue() });
                  }
                } }));
}

void JobRequestHandler::BeginStoreQuery(const StoreQuery& aQuery)
{
  auto done = std::make_shared<QueryCallback>(aQuery.done);
  StoreQuery query = aQuery;
  query.done = [done](const Result<DispatchState>& aState) {
    if (QueryCallback answer = std::exchange(*done, nullptr)) {
      answer(aState);
    }
  };
  // A read of a silent store ends later than a caller with little time waits.
  this->env.loop.After(std::max(aQuery.deadline - this->env.loop.Now(), Duration(0)),
                       [done = query.done] { done(Errc::DeadlineExceeded); });
  this->QueryStore(query);
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
  auto cancellation = std::make_shared<Cancellation>();
  cancellation->number = this->nextCancellation++;
  cancellation->job = aJob;
  cancellation->deadline = this->env.loop.Now() + aTimeout;
  cancellation->done = aDone;
  this->openCancellations.emplace(cancellation->number, cancellation);
  // The store may be silent for longer than the caller waits.
  this->env.loop.After(aTimeout, [this, number = cancellation->number] {
    auto found = this->openCancellations.find(number);
    if (found != this->openCancellations.end()) {
      this->EndCancellation(CancellationRef(found->second));
    }
  });
  this->SendCancellation(cancellation);
}

void JobRequestHandler::SendCancellation(const CancellationRef& aCancellation)
{
  if (!aCancellation->done) {
    return;
  }
  if (Leader* localLeader = this->ownLeader()) {
    bool mayHaveEffect = std::exchange(aCancellation->mayHaveEffect, true);
    localLeader->Cancel(aCancellation->job,
                        [this, aCancellation, mayHaveEffect](std::error_code aError) {
                          if (aError == make_error_code(Errc::NotFound)) {
                            aCancellation->mayHaveEffect = mayHaveEffect;
                            this->OnUnknownJob(aCancellation);
                          } else if (aError) {
                            // The term has ended before the cancellation was stored; the next
                            // leader carries it out.
                            this->RetryCancellation(aCancellation);
                          } else {
                            this->FinishCancellation(aCancellation, aError);
                          }
                        });
    return;
  }
  aCancellation->leaderCall = std::make_shared<LeaderCall>(
    LeaderCall{ "cancel",
                { { "job", aCancellation->job } },
                aCancellation->deadline - kCallMargin,
                kMaxAttempts,
                [this, aCancellation](const Result<json>& aResponse) {
                  aCancellation->leaderCall.reset();
                  this->OnCancellationResponse(aCancellation, aResponse);
                } });
  this->CallLeader(LeaderCallRef(aCancellation->leaderCall));
}

void JobRequestHandler::OnCancellationResponse(const CancellationRef& aCancellation,
                                               const Result<json>& aResponse)
{
  if (!aResponse) {
    aCancellation->mayHaveEffect =
      aCancellation->mayHaveEffect || MayHaveBeenServed(aResponse.Error());
    this->EndCancellation(aCancellation);
    return;
  }
  JsonFields fields(*aResponse);
  bool isFound = fields.Flag("found");
  if (!this->ReportAnswer("cancel", fields)) {
    aCancellation->mayHaveEffect = true;
    this->EndCancellation(aCancellation);
  } else if (isFound) {
    this->FinishCancellation(aCancellation, std::error_code());
  } else {
    this->OnUnknownJob(aCancellation);
  }
}

void JobRequestHandler::OnUnknownJob(const CancellationRef& aCancellation)
{
  this->env.store.Read(DefinitionKey(this->env.settings.storePrefix, aCancellation->job),
                       [this, aCancellation](const Result<std::optional<KeyValueItem>>& aItem) {
                         if (aItem && !*aItem) {
                           this->WithdrawJob(aCancellation);
                           return;
                         }
                         if (aItem && IsTombstone((*aItem)->value)) {
                           this->FinishCancellation(aCancellation, make_error_code(Errc::NotFound));
                           return;
                         }
                         if (aItem) {
                           this->NotifyLeader((*aItem)->value);
                         }
                         this->RetryCancellation(aCancellation);
                       });
}

void JobRequestHandler::RetryCancellation(const CancellationRef& aCancellation)
{
  if (this->env.loop.Now() + kRetryDelay >= aCancellation->deadline) {
    this->EndCancellation(aCancellation);
    return;
  }
  this->env.loop.After(kRetryDelay,
                       [this, aCancellation] { this->SendCancellation(aCancellation); });
}

void JobRequestHandler::WithdrawJob(const CancellationRef& aCancellation)
{
  if (!aCancellation->done) {
    return; // It was answered as having had no effect.
  }
  KeyValueTransaction transaction;
  std::string key = DefinitionKey(this->env.settings.storePrefix, aCancellation->job);
  transaction.conditions.push_back({ key, 0 });
  transaction.puts.push_back({ key, kWithdrawnTombstone, 0 });
  bool mayHaveEffect = std::exchange(aCancellation->mayHaveEffect, true);
  this->env.store.Commit(
    transaction, [this, aCancellation, mayHaveEffect](const Result<std::uint64_t>& aRevision) {
      aCancellation->mayHaveEffect = mayHaveEffect || MayHaveBeenWritten(aRevision.Error());
      if (aRevision) {
        this->env.metrics.Count("jobs_withdrawn_total");
        LogLine(LogLevel::Info, "job_withdrawn")
          .Add("job", aCancellation->job)
          .Add("revision", *aRevision);
        this->FinishCancellation(aCancellation, make_error_code(Errc::NotFound));
        return;
      }
      // Conflict: the job, or an earlier attempt of this write, has been stored meanwhile.
      this->RetryCancellation(aCancellation);
    });
}

void JobRequestHandler::EndCancellation(const CancellationRef& aCancellation)
{
  bool mayHaveEffect = aCancellation->mayHaveEffect;
  if (LeaderCall* call = aCancellation->leaderCall.get()) {
    mayHaveEffect = mayHaveEffect || call->isOpen || call->mayBeServed;
    call->attemptsLeft = 0; // No further attempt follows the answer to the caller.
  }
  this->FinishCancellation(aCancellation, mayHaveEffect ? Errc::OutcomeUnknown : Errc::Unreachable);
}

void JobRequestHandler::FinishCancellation(const CancellationRef& aCancellation,
                                           std::error_code aError)
{
  if (aCancellation->done) {
    std::function<void(std::error_code)> done = std::exchange(aCancellation->done, nullptr);
    this->openCancellations.erase(aCancellation->number);
    done(aError);
  }
}

void JobRequestHandler::CountPending(const QueueName& aQueue,
                                     Duration aTimeout,
                                     const std::function<void(const Result<std::size_t>&)>& aDone)
{
  if (Leader* localLeader = this->ownLeader()) {
    aDone(localLeader->CountQueuedJobs(aQueue));
    return;
  }
  this->CallLeader(std::make_shared<LeaderCall>(
    LeaderCall{ "pending",
                { { "queue", aQueue } },
                this->env.loop.Now() + aTimeout,
                kMaxAttempts,
                [this, aDone](const Result<json>& aResponse) {
                  if (!aResponse) {
                    aDone(Errc::Unreachable);
                    return;
                  }
                  JsonFields fields(*aResponse);
                  auto pending = fields.Integer<std::size_t>("pending", 0, kMaxPending);
                  if (this->ReportAnswer("pending", fields)) {
                    aDone(pending);
                  } else {
                    aDone(Errc::Unreachable);
                  }
                } }));
}

} // namespace daisydrift::coordination
