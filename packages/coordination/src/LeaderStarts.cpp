// Starts of a leader: when they may be sent, and their results.

#include "Leader.h"

namespace daisydrift::coordination {

namespace {
/// Attempts to send a start command; a worker recognizes a repeated one. When all stay unanswered,
/// a stop command makes the worker reject a start that arrives late.
constexpr int kStartAttempts = 3;
/// Delay before the store is asked again whether this instance still leads.
constexpr std::chrono::milliseconds kConfirmRetryDelay{ 60 };
/// Longest time from a read of the leader key until it proves nothing any more.
constexpr std::chrono::milliseconds kMaxConfirmTime{ 300 };
} // namespace

bool Leader::IsLeadershipCertain() const
{
  return this->env.membership.IsLeaseValid() ||
         this->env.loop.Now() - this->startsConfirmedAt < kMaxConfirmTime;
}

bool Leader::IsWorkerListRecent() const
{
  return this->env.loop.Now() - this->workersKnownAt <= this->env.settings.maxWorkerListAge;
}

void Leader::ConfirmAndSendStarts(const std::vector<AttemptKey>& aStarts)
{
  TimePoint sentAt = this->env.loop.Now();
  LogLine(LogLevel::Warning, "starts_await_confirmation")
    .Add("starts", aStarts.size())
    .Add("term", this->record.term)
    .Add("confirmed_age_ms", sentAt - this->ConfirmedAt());
  this->env.metrics.Count("starts_confirmed_late_total");
  this->env.store.Read(this->env.settings.storePrefix + "group/leader",
                       [this, alive = this->isAlive, aStarts, sentAt](
                         const Result<std::optional<KeyValueItem>>& aItem) {
                         if (!*alive || this->hasEnded) {
                           return;
                         }
                         if (!aItem) {
                           this->After(kConfirmRetryDelay,
                                       [this, aStarts] { this->SendStarts(aStarts); });
                         } else if (!*aItem || (*aItem)->revision != this->record.revision) {
                           this->EndTerm("replaced_in_store");
                         } else {
                           this->startsConfirmedAt = sentAt;
                           this->confirmation.OnStoreConfirmed(sentAt);
                           this->SendStarts(aStarts);
                         }
                       });
}

void Leader::SendStarts(const std::vector<AttemptKey>& aStarts)
{
  TimePoint now = this->env.loop.Now();
  if (!aStarts.empty() && !this->IsLeadershipCertain()) {
    this->ConfirmAndSendStarts(aStarts);
    return;
  }
  if (!aStarts.empty() && !this->IsWorkerListRecent()) {
    this->startsAwaitingWorkers.insert(
      this->startsAwaitingWorkers.end(), aStarts.begin(), aStarts.end());
    this->env.metrics.Count("starts_delayed_by_worker_list_total", aStarts.size());
    this->RefreshWorkerList();
    return;
  }
  std::map<StepName, unsigned> startedTasks;
  for (AttemptKey key : aStarts) {
    if (std::optional<StartCommand> command = this->dispatcher->TakeStartCommand(key, now)) {
      ++startedTasks[{ command->task.job, command->task.occurrence, command->task.step }];
      this->SendStart(*command, 1);
    }
  }
  for (const auto& [step, tasks] : startedTasks) {
    LogLine(LogLevel::Info, "tasks_started")
      .Add("job", step.job)
      .Add("step", step.step)
      .Add("tasks", tasks)
      .Add("term", this->record.term);
  }
}

void Leader::SendStart(const StartCommand& aCommand, int aAttempt)
{
  const WorkerListing* worker = this->dispatcher->FindWorker(aCommand.worker);
  std::optional<std::chrono::milliseconds> lease =
    this->dispatcher->ExtendWorkerLease(aCommand.worker, this->ConfirmedAt());
  if (worker == nullptr || !lease) {
    this->OnStartResult(
      aCommand, aAttempt, aAttempt == 1 ? StartResult::NotSent : StartResult::Unknown);
    return;
  }
  this->env.metrics.Count("starts_total");
  Epoch token = this->FencingTokenFor(aCommand.worker);
  this->env.workers.Start(
    *worker,
    aCommand,
    *lease,
    token,
    [this, alive = this->isAlive, aCommand, aAttempt, token](StartResult aResult, bool aIsFenced) {
      if (!*alive || (aIsFenced && this->OnFenced(aCommand.worker, token))) {
        return;
      }
      this->OnStartResult(
        aCommand, aAttempt, aIsFenced ? StartResult::IncarnationMismatch : aResult);
    });
}

void Leader::OnStartResult(const StartCommand& aCommand, int aAttempt, StartResult aResult)
{
  bool isRepeated = aAttempt > 1;
  // A worker that has ended the run recognizes its start only until it restarts, so a run that is
  // over is not started again.
  bool isOver = this->dispatcher->JobOf(aCommand.attempt) == nullptr;
  // Each attempt takes a timeout, in which the worker may have begun to leave or the job may have
  // been cancelled.
  bool isAllowed = this->dispatcher->IsStartAllowed(aCommand.attempt) && this->IsWorkerListRecent();
  bool canRepeat = aAttempt < kStartAttempts && !isOver && isAllowed && this->IsLeadershipCertain();
  if (aResult == StartResult::Unknown && canRepeat) {
    this->SendStart(aCommand, aAttempt + 1);
    return;
  }
  // An earlier attempt may still arrive, so only results that refer to this run are conclusive.
  if (isRepeated && aResult != StartResult::Accepted && aResult != StartResult::Superseded) {
    aResult = StartResult::Unknown;
  }
  this->env.metrics.Count(aResult == StartResult::Accepted ? "starts_accepted_total"
                                                           : "starts_refused_total");
  this->dispatcher->OnStartResult(aCommand.attempt, aResult, this->env.loop.Now());
  if (aResult != StartResult::Accepted) {
    this->ScheduleRound();
  }
}

} // namespace daisydrift::coordination
