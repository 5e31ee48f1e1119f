#include "Leader.h"

#include "RecordCodec.h"

#include <algorithm>

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
/// Time between rounds without events, which handle retries, leases and throttling.
constexpr std::chrono::milliseconds kTickInterval{ 50 };
/// The store counts as unavailable when a batch takes longer than this.
constexpr std::chrono::milliseconds kStoreUnavailableAfter{ 900 };
constexpr std::chrono::seconds kPurgeInterval{ 1 };
/// Most parts of jobs' progress that one batch deletes: each transaction is a call to the store.
constexpr std::size_t kMaxPartsDeletedPerBatch = 200;
/// Delay before the final state of a job is written again that the store has refused.
constexpr std::chrono::seconds kRefusedRecordDelay{ 1 };
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
    aRecord.term,
    WorkerPoller::Hooks{
      [this] { this->ScheduleRound(); },
      [this] { this->EndTerm("fenced_by_worker"); },
      [this](const WorkerId& aWorker, std::int64_t aIncarnation, TimePoint aSentAt) {
        this->OnPollAccepted(aWorker, aIncarnation, aSentAt);
      },
      [this] { return this->ConfirmedAt(); } });
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
  this->env.metrics.Set("workers_in_reach", static_cast<double>(counts.reachableWorkers));
}

void Leader::PurgeFinishedJobs()
{
  const std::string& prefix = this->env.settings.storePrefix;
  for (const JobId& id : this->dispatcher->ClosedJobs()) {
    if (this->finished.count(id) != 0) {
      this->DropParts(id, std::nullopt);
      this->dispatcher->EraseJob(id);
      // The tombstone prevents the id from being reused, and is quick to load.
      this->cleanupRecords[DefinitionKey(prefix, id)] = kDefinitionTombstone;
    }
  }
  auto retention =
    std::chrono::duration_cast<std::chrono::milliseconds>(this->env.settings.retention);
  WallTime oldest = this->env.loop.WallClockNow() - retention;
  for (auto& [id, job] : this->finished) {
    if (job.isExpired || job.finishedAt >= oldest || this->dispatcher->State(id)) {
      continue;
    }
    job.isExpired = true;
    this->cleanupRecords[DefinitionKey(prefix, id)] = "";
    this->cleanupRecords[ProgressKey(prefix, id)] = "";
    this->expiredJobs.push_back(id);
  }
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
  Duration duration = this->env.loop.Now() - now;
  this->maxRoundDuration = std::max(this->maxRoundDuration, duration);
  this->roundPauseUntil =
    now + duration + std::min<Duration>(duration * kRoundPauseFactor, kMaxRoundPause);
  this->recordWriter->Flush();
}

std::map<std::string, std::string> Leader::TakeBatch(std::uint64_t aBatch)
{
  const std::string& prefix = this->env.settings.storePrefix;
  std::map<std::string, std::string> records;
  BatchInFlight& batch = this->batchesInFlight[aBatch];
  for (const JobId& id : this->dispatcher->TakeChangedJobs()) {
    this->deferredJobs.insert(id);
  }
  std::set<JobId> changed = std::exchange(this->deferredJobs, {});
  for (const JobId& id : changed) {
    // Only one record of a job may be in flight, so that records are stored in order.
    if (this->jobsInFlight.count(id) != 0) {
      this->deferredJobs.insert(id);
      continue;
    }
    batch.jobs.insert(id);
    if (auto starts = this->pendingStarts.extract(id)) {
      batch.starts.insert(batch.starts.end(), starts.mapped().begin(), starts.mapped().end());
    }
    std::optional<ChangedProgress> progress = this->dispatcher->TakeChangedProgress(id);
    if (!progress) {
      continue;
    }
    this->jobsInFlight.insert(id);
    const JobProgress& head = progress->head;
    records[ProgressKey(prefix, id)] = ToJson(head).dump();
    for (const auto& [part, steps] : progress->parts) {
      std::string key = ProgressPartKey(prefix, id, part);
      records[key] = ProgressPartToText(steps);
      this->storedParts[id].insert(part);
      this->obsoleteParts.erase(key);
    }
    if (progress->firstPart > 0) {
      batch.firstParts[id] = progress->firstPart;
    }
    if (IsFinal(head.state) && this->finished.count(id) == 0) {
      batch.finished[id] = { head.state, head.finishedAt };
    }
  }
  this->completionTracker.OnBatchStarted(
    aBatch, this->workerPoller->UnacknowledgedCompletions(), batch.jobs, this->deferredJobs);
  // Cleanup records are only written along with others.
  if (!records.empty()) {
    records.merge(this->cleanupRecords);
    this->cleanupRecords.clear();
    batch.expired = std::exchange(this->expiredJobs, {});
    for (std::size_t count = 0; count < kMaxPartsDeletedPerBatch && !this->obsoleteParts.empty();
         ++count) {
      records[this->obsoleteParts.extract(this->obsoleteParts.begin()).value()] = "";
    }
  }
  return records;
}

void Leader::DropParts(const JobId& aJob, std::optional<std::uint64_t> aEnd)
{
  auto parts = this->storedParts.find(aJob);
  if (parts == this->storedParts.end()) {
    return;
  }
  auto end = aEnd ? parts->second.lower_bound(*aEnd) : parts->second.end();
  for (auto part = parts->second.begin(); part != end; part = parts->second.erase(part)) {
    this->obsoleteParts.insert(ProgressPartKey(this->env.settings.storePrefix, aJob, *part));
  }
  if (parts->second.empty()) {
    this->storedParts.erase(parts);
  }
}

void Leader::OnRecordRefused(std::uint64_t aBatch, const std::string& aKey, std::size_t aBytes)
{
  BatchInFlight& batch = this->batchesInFlight[aBatch];
  const std::string& prefix = this->env.settings.storePrefix;
  auto job = std::find_if(batch.jobs.begin(), batch.jobs.end(), [&](const JobId& aId) {
    std::string head = ProgressKey(prefix, aId);
    return aKey == head || aKey.rfind(head + "/", 0) == 0;
  });
  bool isOfJob = job != batch.jobs.end();
  this->env.metrics.Count("records_refused_total");
  LogLine(LogLevel::Error, "record_refused")
    .Add("key", aKey)
    .Add("bytes", aBytes)
    .Add("job", isOfJob ? *job : "")
    .Add("term", this->record.term);
  if (!isOfJob) {
    return;
  }
  // No start of the job is sent that no record names: a finished job's starts are dropped.
  this->dispatcher->FailJob(*job, this->env.loop.Now(), this->env.loop.WallClockNow());
  if (aKey == ProgressKey(prefix, *job) && batch.finished.erase(*job) != 0) {
    this->After(kRefusedRecordDelay, [this, id = *job] {
      this->deferredJobs.insert(id);
      this->recordWriter->Flush();
    });
  }
}

void Leader::OnBatchStored(std::uint64_t aBatch)
{
  BatchInFlight batch = std::move(this->batchesInFlight.extract(aBatch).mapped());
  bool hasUnblockedJobs = false;
  for (const JobId& id : batch.jobs) {
    this->jobsInFlight.erase(id);
    hasUnblockedJobs = hasUnblockedJobs || this->deferredJobs.count(id) != 0;
  }
  for (const auto& [id, job] : batch.finished) {
    this->finished[id] = job;
    LogLine(LogLevel::Info, "job_finished")
      .Add("job", id)
      .Add("state", static_cast<int>(job.state));
    auto waiting = this->cancellations.equal_range(id);
    for (auto entry = waiting.first; entry != waiting.second; ++entry) {
      entry->second(std::error_code());
    }
    this->cancellations.erase(waiting.first, waiting.second);
  }
  for (const JobId& id : batch.expired) {
    this->finished.erase(id);
  }
  for (const auto& [id, firstPart] : batch.firstParts) {
    this->DropParts(id, firstPart);
  }
  this->SendStarts(batch.starts);
  for (const ProcessedCompletions& completions : this->completionTracker.OnBatchStored(aBatch)) {
    this->workerPoller->Acknowledge(completions);
  }
  if (hasUnblockedJobs) {
    this->recordWriter->Flush();
  }
}

void Leader::SendStop(const StopCommand& aCommand)
{
  const WorkerListing* worker = this->dispatcher->FindWorker(aCommand.worker);
  if (worker == nullptr || worker->endpoint.port == 0) {
    return; // Without an address: the runs end when their leases expire.
  }
  this->env.workers.Stop(*worker,
                         aCommand,
                         this->record.term,
                         [this, alive = this->isAlive, aCommand](std::error_code aError) {
                           if (!*alive) {
                             return;
                           }
                           if (aError == make_error_code(Errc::Fenced)) {
                             this->EndTerm("fenced_by_worker");
                           } else if (!aError) {
                             this->dispatcher->OnStopConfirmed(aCommand, this->env.loop.Now());
                           }
                         });
}

void Leader::SendThrottle(const ThrottleCommand& aCommand)
{
  const WorkerListing* worker = this->dispatcher->FindWorker(aCommand.worker);
  if (worker == nullptr) {
    return;
  }
  this->env.workers.Throttle(
    *worker, aCommand, this->record.term, [aCommand](std::error_code aError) {
      if (aError) {
        LogLine(LogLevel::Warning, "pace_failed")
          .Add("worker", aCommand.worker)
          .Add("error", aError);
      }
    });
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
