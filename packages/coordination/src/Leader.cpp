#include "Leader.h"

#include "RecordCodec.h"

namespace daisydrift::coordination {

namespace {
/// Events within this time are handled in the same scheduling round.
constexpr std::chrono::milliseconds kRoundDelay{ 2 };
/// Least time between two rounds as a multiple of the last one's duration, which grows with the
/// number of waiting jobs: the rest of the time is for calls, without which the backlog can't
/// shrink.
constexpr int kRoundPauseFactor = 2;
/// Longest time between two rounds: the process may have been suspended during the last one.
constexpr std::chrono::milliseconds kMaxRoundPause{ 300 };
/// One in so many failures to throttle a task is logged.
constexpr unsigned kThrottleLogInterval = 10;
/// Time between rounds without events, which handle retries, leases and throttling.
constexpr std::chrono::milliseconds kTickInterval{ 50 };
/// The store counts as unavailable when a batch takes longer than this.
constexpr std::chrono::milliseconds kStoreUnavailableAfter{ 900 };
constexpr std::chrono::seconds kPurgeInterval{ 1 };
/// Time between log lines that summarize the load.
constexpr std::chrono::seconds kSummaryInterval{ 1 };
/// Run numbers reserved for each task and term, so that the numbers of a later term are always
/// higher.
constexpr RunNumber kRunsPerTerm = 1000;

DispatchSettings SettingsForTerm(const InstanceSettings& aSettings, const LeaderRecord& aRecord)
{
  DispatchSettings settings = aSettings.dispatch;
  settings.firstRunNumber = (aRecord.term - 1) * kRunsPerTerm + 1;
  settings.longestEarlierLease = LongestLease(aRecord.earlier, aSettings);
  // Term 1 is followed by the first multiple.
  settings.maxFencedRestarts =
    static_cast<std::uint32_t>(TermAfter(aRecord.term) - aRecord.term - 1);
  return settings;
}

} // namespace

Leader::Leader(const Environment& aEnvironment,
               const LeaderRecord& aRecord,
               std::function<void()> aOnTermEnded)
  : env(aEnvironment)
  , record(aRecord)
  , onTermEnded(std::move(aOnTermEnded))
  , confirmation(aRecord.earlier.voters)
  , leasesRevision(aRecord.revision)
{
  this->dispatcher = std::make_unique<Dispatcher>(SettingsForTerm(this->env.settings, aRecord),
                                                  this->env.loop.Now());
  this->recordWriter = std::make_unique<RecordWriter>(
    this->env.loop,
    this->env.store,
    KeyValueTransaction::Condition{ this->env.settings.storePrefix + "group/leader",
                                    aRecord.revision },
    this->env.settings.storePrefix + "guards/" + std::to_string(aRecord.term) + "/",
    RecordWriter::Hooks{
      [this](std::uint64_t aBatch) { return this->TakeBatch(aBatch); },
      [this](std::uint64_t aBatch) { this->OnBatchStored(aBatch); },
      [this] { this->EndTerm("replaced_in_store"); },
      [this](TimePoint aSentAt) { this->confirmation.OnStoreConfirmed(aSentAt); },
      [this](std::uint64_t aBatch, const std::string& aKey, std::size_t aBytes) {
        this->OnRecordRefused(aBatch, aKey, aBytes);
      } });
  this->workerPoller = std::make_unique<WorkerPoller>(
    this->env.loop,
    this->env.workers,
    *this->dispatcher,
    this->env.settings,
    WorkerPoller::Hooks{
      [this] { this->ScheduleRound(); },
      [this] { this->EndTerm("fenced_by_worker"); },
      [this](const WorkerId& aWorker, std::int64_t aIncarnation, TimePoint aSentAt) {
        this->OnPollAccepted(aWorker, aIncarnation, aSentAt);
      },
      [this] { return this->ConfirmedAt(); },
      [this](const WorkerId& aWorker) { return this->FencingTokenFor(aWorker); } });
  this->maintenance = std::make_unique<MaintenanceController>(
    this->env.loop,
    this->env.store,
    this->env.machines,
    *this->dispatcher,
    this->env.settings,
    this->env.decoders,
    KeyValueTransaction::Condition{ this->env.settings.storePrefix + "group/leader",
                                    aRecord.revision },
    aRecord.term,
    MaintenanceController::Hooks{ [this] { this->ScheduleRound(); },
                                  [this] { this->EndTerm("fenced_by_platform"); } });
  this->adviceSlots = std::make_unique<AdviceRequestSlots>(
    this->env.loop,
    this->env.advice,
    this->env.peers,
    this->env.membership,
    this->env.settings.name,
    [this](const AdviceRequest& aRequest,
           const Result<AdviceResponse>& aResponse,
           TimePoint aValidUntil) {
      TimePoint now = this->env.loop.Now();
      if (aResponse) {
        this->dispatcher->OnAdvice(aRequest, aResponse->grants, aValidUntil);
      } else {
        this->dispatcher->OnAdviceFailed(aRequest, now);
      }
      this->ScheduleRound();
    });
}

Leader::~Leader()
{
  *this->isAlive = false;
  for (auto& [job, done] : this->cancellations) {
    done(make_error_code(Errc::OutcomeUnknown));
  }
}

void Leader::After(Duration aDelay, std::function<void()> aAction)
{
  this->env.loop.After(aDelay, [this, alive = this->isAlive, action = std::move(aAction)] {
    if (*alive && !this->hasEnded) {
      action();
    }
  });
}

void Leader::Start()
{
  LogLine(LogLevel::Info, "term_begins")
    .Add("term", this->record.term)
    .Add("longest_earlier_lease_ms", this->record.earlier.longestLease);
  this->env.metrics.Count("terms_total");
  this->LoadProgress();
  if (this->record.term > 1) {
    const DispatchSettings& dispatch = this->env.settings.dispatch;
    this->After(dispatch.leaseMargin +
                  std::chrono::ceil<Duration>(dispatch.maxLease * (1 + dispatch.maxClockDrift)),
                [this] { this->OnEarlierLeadersEnded("time"); });
    this->CheckEarlierLeader();
  } else {
    this->haveEarlierLeadersEnded = true;
    this->longestLease = OwnLease(this->env.settings);
  }
}

void Leader::ApplyWorker(const std::string& aKey,
                         const std::optional<std::string>& aValue,
                         std::uint64_t aRevision)
{
  std::optional<WorkerListing> listing =
    aValue ? this->env.decoders.worker(aKey, *aValue) : std::nullopt;
  if (listing) {
    this->dispatcher->ListWorker(*listing);
  } else {
    this->dispatcher->UnlistWorker(this->WorkerIdOfKey(aKey));
  }
  if (aValue && !listing) {
    this->ReportOddWorker(aKey, *aValue, aRevision);
  } else {
    this->oddWorkers.erase(aKey);
  }
}

void Leader::ReportOddWorker(const std::string& aKey,
                             const std::string& aValue,
                             std::uint64_t aRevision)
{
  auto [known, isNew] = this->oddWorkers.try_emplace(aKey, aRevision);
  if (!isNew && known->second == aRevision) {
    return;
  }
  known->second = aRevision;
  this->env.metrics.Count("worker_entries_unreadable_total");
  LogLine(LogLevel::Warning, "worker_entry_unreadable")
    .Add("key", aKey)
    .Add("revision", aRevision)
    .Add("bytes", aValue.size())
    .Add("reason",
         this->env.decoders.workerProblem ? this->env.decoders.workerProblem(aKey, aValue) : "");
}

void Leader::OnConfigChange()
{
  if (this->env.config.Config() != nullptr) {
    this->dispatcher->SetPolicy(this->env.config.Config()->policy);
  }
  this->dispatcher->SetDrainedDomains(this->env.config.DrainedDomains());
  this->maintenance->SetWaves(this->env.config.Waves());
  this->ScheduleRound();
}

void Leader::AddJob(const JobDefinition& aDefinition, const char* aSource)
{
  if (this->isRecovered && this->finished.count(aDefinition.id) == 0 &&
      this->withdrawnJobs.count(aDefinition.id) == 0 &&
      this->dispatcher->AddJob(aDefinition, this->env.loop.Now(), this->env.loop.WallClockNow())) {
    this->env.metrics.Count("jobs_added_total");
    // The clocks of two instances may differ, so a negative delay counts as zero.
    Duration delay =
      std::max<Duration>(this->env.loop.WallClockNow() - aDefinition.acceptedAt, Duration(0));
    this->env.metrics.Observe("job_known_seconds", delay);
    LogLine(LogLevel::Info, "job_added")
      .Add("job", aDefinition.id)
      .Add("queue", aDefinition.queue)
      .Add("team", aDefinition.team)
      .Add("steps", aDefinition.steps.size())
      .Add("config_version", this->env.config.Version())
      .Add("source", aSource)
      .Add("known_after_ms", delay);
    this->ScheduleRound();
  }
}

std::optional<DispatchState> Leader::State(const JobId& aJob) const
{
  auto stored = this->finished.find(aJob);
  if (stored != this->finished.end()) {
    return stored->second.state;
  }
  std::optional<DispatchState> state = this->dispatcher->State(aJob);
  // A final state is not reported before it is stored.
  return state && IsFinal(*state) ? DispatchState::Running : state;
}

void Leader::Cancel(const JobId& aJob, std::function<void(std::error_code)> aDone)
{
  if (this->finished.count(aJob) != 0) {
    aDone(std::error_code());
    return;
  }
  if (!this->dispatcher->CancelJob(aJob, this->env.loop.Now(), this->env.loop.WallClockNow())) {
    aDone(make_error_code(Errc::NotFound));
    return;
  }
  LogLine(LogLevel::Info, "job_cancelled").Add("job", aJob);
  this->cancellations.emplace(aJob, std::move(aDone));
  this->ScheduleRound();
}

std::size_t Leader::CountQueuedJobs(const QueueName& aQueue) const
{
  return this->dispatcher->CountQueuedJobs(aQueue);
}

FleetForecast Leader::Forecast()
{
  FleetForecast forecast = this->dispatcher->Forecast(this->env.loop.Now());
  forecast.term = this->record.term;
  forecast.sequence = ++this->forecastSequence;
  return forecast;
}

void Leader::ScheduleRound()
{
  if (this->isRoundScheduled || !this->isRecovered) {
    return;
  }
  this->isRoundScheduled = true;
  TimePoint now = this->env.loop.Now();
  this->nextRoundAt = std::max(now + kRoundDelay, this->roundPauseUntil);
  this->After(this->nextRoundAt - now, [this] { this->RunRound(); });
}

void Leader::Tick()
{
  this->After(kTickInterval, [this] { this->Tick(); });
  TimePoint now = this->env.loop.Now();
  std::optional<TimePoint> oldestBatchStart = this->recordWriter->OldestBatchStart();
  this->workerPoller->SetStoreUnavailable(oldestBatchStart &&
                                          now - *oldestBatchStart > kStoreUnavailableAfter);
  this->CheckConfirmation(now);
  if (now >= this->nextSummary) {
    this->nextSummary = now + kSummaryInterval;
    this->LogSummary(now);
    this->StoreLeases();
  }
  if (now >= this->nextPurge) {
    this->nextPurge = now + kPurgeInterval;
    this->PurgeFinishedJobs();
  }
  this->ScheduleRound();
}

void Leader::LogSummary(TimePoint aNow)
{
  DispatchCounts counts = this->dispatcher->Counts(aNow);
  LogLine(LogLevel::Info, "load")
    .Add("jobs", counts.jobs)
    .Add("waiting_tasks", counts.waitingTasks)
    .Add("waiting_first_priority", counts.waitingHighestPriority)
    .Add("waiting_at_ceiling", counts.tasksAtCeiling)
    .Add("running_tasks", counts.runningTasks)
    .Add("workers", counts.workers)
    .Add("workers_in_reach", counts.reachableWorkers)
    .Add("quarantined", counts.quarantinedWorkers)
    .Add("capacity_mcores", counts.capacity.milliCores)
    .Add("committed_mcores", counts.committed.milliCores)
    .Add("questions", counts.openAdviceRequests)
    .Add("lanes", this->adviceSlots->MaxOpenRequests())
    .Add("steps_passed_over", counts.stepsPassedOver)
    .Add("waiting_service_tasks", counts.waitingServiceTasks)
    .Add("longest_service_wait_ms", counts.longestServiceWait)
    .Add("longest_waiting_service", counts.longestWaitingService)
    .Add("jobs_age_ms", aNow - this->jobsKnownAt)
    .Add("workers_age_ms", aNow - this->workersKnownAt)
    .Add("rounds", this->roundCount)
    .Add("longest_round_ms", this->maxRoundDuration)
    .Add("longest_lag_ms", this->maxRoundDelay);
  this->roundCount = 0;
  this->maxRoundDuration = Duration(0);
  this->maxRoundDelay = Duration(0);
  this->env.metrics.Set("waiting_tasks", static_cast<double>(counts.waitingTasks));
  this->env.metrics.Set("running_tasks", static_cast<double>(counts.runningTasks));
  this->env.metrics.Set("running_copies", static_cast<double>(counts.runningCopies));
  this->env.metrics.Set("copies_started_in_term", static_cast<double>(counts.copiesStarted));
  this->env.metrics.Set("copies_won_in_term", static_cast<double>(counts.copiesWon));
  this->env.metrics.Set("workers_in_reach", static_cast<double>(counts.reachableWorkers));
}

void Leader::RunRound()
{
  TimePoint now = this->env.loop.Now();
  if (this->isRoundScheduled) {
    this->maxRoundDelay = std::max(this->maxRoundDelay, now - this->nextRoundAt);
  }
  this->isRoundScheduled = false;
  ++this->roundCount;
  DispatchRound round = this->dispatcher->Decide(
    now, this->env.loop.WallClockNow(), this->adviceSlots->MaxOpenRequests());
  for (AttemptKey start : round.starts) {
    if (const JobId* job = this->dispatcher->JobOf(start)) {
      this->pendingStarts[*job].push_back(start);
    }
  }
  for (const StopCommand& command : round.stops) {
    this->SendStop(command);
  }
  for (const ThrottleCommand& command : round.throttles) {
    this->SendThrottle(command);
  }
  for (const AdviceRequest& request : round.adviceRequests) {
    this->adviceSlots->Enqueue(request);
  }
  for (const QueueName& queue : round.jobsGivenUp) {
    this->env.metrics.Count("jobs_given_up_total{queue=\"" + queue + "\"}");
  }
  for (const QueueName& queue : round.tasksPreempted) {
    this->env.metrics.Count("tasks_preempted_total{queue=\"" + queue + "\"}");
  }
  for (const auto& [queue, wait] : round.waits) {
    this->env.metrics.Observe("wait_seconds{queue=\"" + queue + "\"}", wait);
  }
  Duration duration = this->env.loop.Now() - now;
  this->maxRoundDuration = std::max(this->maxRoundDuration, duration);
  this->roundPauseUntil =
    now + duration + std::min<Duration>(duration * kRoundPauseFactor, kMaxRoundPause);
  this->recordWriter->Flush();
}

void Leader::SendStop(const StopCommand& aCommand)
{
  const WorkerListing* worker = this->dispatcher->FindWorker(aCommand.worker);
  if (worker == nullptr || worker->endpoint.port == 0) {
    return; // Without an address: the runs end when their leases expire.
  }
  Epoch token = this->FencingTokenFor(aCommand.worker);
  this->env.workers.Stop(*worker,
                         aCommand,
                         token,
                         [this, alive = this->isAlive, aCommand, token](std::error_code aError) {
                           if (!*alive) {
                             return;
                           }
                           if (aError == make_error_code(Errc::Fenced)) {
                             this->OnFenced(aCommand.worker, token);
                           } else if (!aError) {
                             this->dispatcher->OnStopConfirmed(aCommand, this->env.loop.Now());
                           }
                         });
}

void Leader::SendThrottle(const ThrottleCommand& aCommand)
{
  const WorkerListing* worker = this->dispatcher->FindWorker(aCommand.worker);
  if (worker == nullptr || worker->endpoint.port == 0) {
    return;
  }
  if (aCommand.repeats > 0) {
    this->env.metrics.Count("throttles_repeated_total");
  }
  Epoch token = this->FencingTokenFor(aCommand.worker);
  this->env.workers.Throttle(
    *worker,
    aCommand,
    token,
    [this, alive = this->isAlive, aCommand, token](std::error_code aError) {
      if (!*alive) {
        return;
      }
      if (!aError) {
        this->dispatcher->OnThrottleConfirmed(aCommand, this->env.loop.Now());
        return;
      }
      // It is sent again with a later round.
      if (aCommand.repeats % kThrottleLogInterval == 0) {
        LogLine(LogLevel::Warning, "pace_failed")
          .Add("job", aCommand.task.job)
          .Add("task", aCommand.task.index)
          .Add("worker", aCommand.worker)
          .Add("percent", aCommand.percent)
          .Add("repeats", aCommand.repeats)
          .Add("error", aError);
      }
      if (aError == make_error_code(Errc::Fenced)) {
        this->OnFenced(aCommand.worker, token);
      }
    });
}

Epoch Leader::FencingTokenFor(const WorkerId& aWorker) const
{
  return this->record.term + this->dispatcher->CountRestarts(aWorker);
}

bool Leader::OnFenced(const WorkerId& aWorker, Epoch aToken)
{
  // The worker has restarted since, and has accepted a higher number of this leader.
  bool isOwn = aToken < this->FencingTokenFor(aWorker);
  if (!isOwn) {
    this->EndTerm("fenced_by_worker");
  }
  return !isOwn;
}

void Leader::EndTerm(const char* aReason)
{
  if (this->hasEnded) {
    return;
  }
  this->hasEnded = true;
  LogLine(LogLevel::Warning, "term_ends").Add("term", this->record.term).Add("reason", aReason);
  // The callback destroys this object, so it must not run from within one of the object's own
  // callbacks.
  this->env.loop.After(Duration(0), [alive = this->isAlive, onEnded = this->onTermEnded] {
    if (*alive) {
      onEnded();
    }
  });
}

} // namespace daisydrift::coordination
