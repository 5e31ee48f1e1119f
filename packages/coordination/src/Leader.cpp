#include "Leader.h"

#include "RecordCodec.h"

namespace daisydrift::coordination {

namespace {
/// Events within this time are handled in the same scheduling round.
constexpr std::chrono::milliseconds kRoundDelay{ 2 };
/// Time between rounds without events, which handle retries, leases and throttling.
constexpr std::chrono::milliseconds kTickInterval{ 50 };
/// Attempts to send a start command; a worker recognizes a repeated one. When all stay unanswered,
/// a stop command makes the worker reject a start that arrives late.
constexpr int kStartTries = 3;
/// The store counts as unavailable when a batch takes longer than this.
constexpr std::chrono::milliseconds kStoreAwayAfter{ 900 };
constexpr std::chrono::seconds kForgetInterval{ 1 };
/// Time between log lines that summarize the load.
constexpr std::chrono::seconds kSummaryInterval{ 1 };
/// Run numbers reserved for each task and term, so that the numbers of a later term are always
/// higher.
constexpr RunNumber kRunsPerTerm = 1000;

DispatchSettings TermSettings(const InstanceSettings& aSettings, Epoch aTerm)
{
  DispatchSettings settings = aSettings.dispatch;
  settings.firstRun = (aTerm - 1) * kRunsPerTerm + 1;
  return settings;
}

} // namespace

Leader::Leader(const Environment& aEnvironment,
               const LeaderRecord& aRecord,
               std::function<void()> aOnLost)
  : env(aEnvironment)
  , record(aRecord)
  , onLost(std::move(aOnLost))
{
  this->dispatcher = std::make_unique<Dispatcher>(TermSettings(this->env.settings, aRecord.term),
                                                  this->env.loop.Now());
  this->records = std::make_unique<RecordStore>(
    this->env.loop,
    this->env.store,
    KeyValueTransaction::Condition{ this->env.settings.storePrefix + "group/leader",
                                    aRecord.revision },
    this->env.settings.storePrefix + "guards/" + std::to_string(aRecord.term) + "/",
    RecordStore::Hooks{ [this](std::uint64_t aGroup) { return this->TakeGroup(aGroup); },
                        [this](std::uint64_t aGroup) { this->OnStored(aGroup); },
                        [this] { this->Lose("replaced_in_store"); } });
  this->looks = std::make_unique<WorkerLooks>(
    this->env.loop,
    this->env.workers,
    *this->dispatcher,
    this->env.settings,
    aRecord.term,
    WorkerLooks::Hooks{ [this] { this->Kick(); }, [this] { this->Lose("fenced_by_worker"); } });
  this->upkeep = std::make_unique<UpkeepDriver>(
    this->env.loop,
    this->env.store,
    this->env.machines,
    *this->dispatcher,
    this->env.settings,
    this->env.decoders,
    KeyValueTransaction::Condition{ this->env.settings.storePrefix + "group/leader",
                                    aRecord.revision },
    aRecord.term,
    UpkeepDriver::Hooks{ [this] { this->Kick(); }, [this] { this->Lose("fenced_by_platform"); } });
  this->lanes = std::make_unique<AdviceLanes>(
    this->env.loop,
    this->env.advice,
    this->env.peers,
    this->env.membership,
    this->env.settings.name,
    [this](
      const AdviceQuestion& aQuestion, const Result<AdviceAnswer>& aAnswer, TimePoint aValidUntil) {
      TimePoint now = this->env.loop.Now();
      if (aAnswer) {
        this->dispatcher->OnAdvice(aQuestion, aAnswer->grants, aValidUntil);
      } else {
        this->dispatcher->OnAdviceFailed(aQuestion, now);
      }
      this->Kick();
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
    if (*alive && !this->isLost) {
      action();
    }
  });
}

void Leader::Begin()
{
  LogLine(LogLevel::Info, "term_begins").Add("term", this->record.term);
  this->env.metrics.Count("terms_total");
  this->LoadProgress();
}

void Leader::ApplyWorker(const std::string& aKey, const std::optional<std::string>& aValue)
{
  std::optional<WorkerListing> listing =
    aValue ? this->env.decoders.worker(aKey, *aValue) : std::nullopt;
  if (listing) {
    this->dispatcher->ListWorker(*listing);
  } else {
    this->dispatcher->UnlistWorker(this->WorkerKeyName(aKey));
  }
}

void Leader::OnConfigChange()
{
  if (this->env.config.Config() != nullptr) {
    this->dispatcher->SetPolicy(this->env.config.Config()->policy);
  }
  this->dispatcher->SetDrainedDomains(this->env.config.Drained());
  this->upkeep->SetWaves(this->env.config.Waves());
  this->Kick();
}

void Leader::AddJob(const JobDefinition& aDefinition)
{
  if (this->isRecovered && this->finished.count(aDefinition.id) == 0 &&
      this->dispatcher->AddJob(aDefinition, this->env.loop.Now(), this->env.loop.Wall())) {
    this->env.metrics.Count("jobs_added_total");
    LogLine(LogLevel::Info, "job_added")
      .Add("job", aDefinition.id)
      .Add("queue", aDefinition.queue)
      .Add("team", aDefinition.team)
      .Add("steps", aDefinition.steps.size())
      .Add("config_version", this->env.config.Version());
    this->Kick();
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
  if (!this->dispatcher->CancelJob(aJob, this->env.loop.Now(), this->env.loop.Wall())) {
    aDone(make_error_code(Errc::NotFound));
    return;
  }
  LogLine(LogLevel::Info, "job_cancelled").Add("job", aJob);
  this->cancellations.emplace(aJob, std::move(aDone));
  this->Kick();
}

std::size_t Leader::Pending(const QueueName& aQueue) const
{
  return this->dispatcher->Pending(aQueue);
}

void Leader::Kick()
{
  if (this->isKicked || !this->isRecovered) {
    return;
  }
  this->isKicked = true;
  this->kickedAt = this->env.loop.Now();
  this->After(kRoundDelay, [this] { this->Decide(); });
}

void Leader::Tick()
{
  this->After(kTickInterval, [this] { this->Tick(); });
  TimePoint now = this->env.loop.Now();
  std::optional<TimePoint> busySince = this->records->BusySince();
  this->looks->SetStoreAway(busySince && now - *busySince > kStoreAwayAfter);
  if (now >= this->nextSummary) {
    this->nextSummary = now + kSummaryInterval;
    this->LogSummary(now);
  }
  if (now >= this->nextForget) {
    this->nextForget = now + kForgetInterval;
    this->ForgetOldJobs();
  }
  if (!this->isKicked) {
    this->Decide();
  }
}

void Leader::LogSummary(TimePoint aNow)
{
  DispatchCounts counts = this->dispatcher->Counts(aNow);
  LogLine(LogLevel::Info, "load")
    .Add("jobs", counts.jobs)
    .Add("waiting_tasks", counts.waitingTasks)
    .Add("waiting_first_priority", counts.waitingFirstPriority)
    .Add("waiting_at_ceiling", counts.tasksAtCeiling)
    .Add("running_tasks", counts.runningTasks)
    .Add("workers", counts.workers)
    .Add("workers_in_reach", counts.workersInReach)
    .Add("quarantined", counts.quarantinedWorkers)
    .Add("capacity_mcores", counts.capacity.milliCores)
    .Add("committed_mcores", counts.committed.milliCores)
    .Add("questions", counts.openQuestions)
    .Add("lanes", this->lanes->Count())
    .Add("rounds", this->rounds)
    .Add("longest_round_ms", this->longestRound)
    .Add("longest_lag_ms", this->longestLag);
  this->rounds = 0;
  this->longestRound = Duration(0);
  this->longestLag = Duration(0);
  this->env.metrics.Set("waiting_tasks", static_cast<double>(counts.waitingTasks));
  this->env.metrics.Set("running_tasks", static_cast<double>(counts.runningTasks));
  this->env.metrics.Set("workers_in_reach", static_cast<double>(counts.workersInReach));
}

void Leader::ForgetOldJobs()
{
  const std::string& prefix = this->env.settings.storePrefix;
  for (const JobId& id : this->dispatcher->Closed()) {
    if (this->finished.count(id) != 0) {
      this->dispatcher->ForgetJob(id);
      // The tombstone prevents the id from being reused, and is quick to load.
      this->extraRecords[DefinitionKey(prefix, id)] = kClosedDefinition;
    }
  }
  auto retention =
    std::chrono::duration_cast<std::chrono::milliseconds>(this->env.settings.retention);
  WallTime oldest = this->env.loop.Wall() - retention;
  for (auto job = this->finished.begin(); job != this->finished.end();) {
    if (job->second.finishedAt >= oldest || this->dispatcher->State(job->first)) {
      ++job;
      continue;
    }
    this->extraRecords[DefinitionKey(prefix, job->first)] = "";
    this->extraRecords[ProgressKey(prefix, job->first)] = "";
    job = this->finished.erase(job);
  }
}

void Leader::Decide()
{
  TimePoint now = this->env.loop.Now();
  if (this->isKicked) {
    this->longestLag = std::max(this->longestLag, now - this->kickedAt - kRoundDelay);
  }
  this->isKicked = false;
  ++this->rounds;
  DispatchRound round = this->dispatcher->Decide(now, this->env.loop.Wall(), this->lanes->Count());
  for (AttemptKey start : round.starts) {
    if (const JobId* job = this->dispatcher->JobOf(start)) {
      this->startsDecided[*job].push_back(start);
    }
  }
  for (const StopOrder& order : round.stops) {
    this->SendStop(order);
  }
  for (const PaceOrder& order : round.paces) {
    this->SendPace(order);
  }
  for (const AdviceQuestion& question : round.questions) {
    this->lanes->Ask(question);
  }
  this->longestRound = std::max(this->longestRound, this->env.loop.Now() - now);
  this->records->Flush();
}

std::map<std::string, std::string> Leader::TakeGroup(std::uint64_t aGroup)
{
  const std::string& prefix = this->env.settings.storePrefix;
  std::map<std::string, std::string> records;
  GroupUnderWay& group = this->groupsUnderWay[aGroup];
  for (const JobId& id : this->dispatcher->TakeChanged()) {
    this->jobsDeferred.insert(id);
  }
  std::set<JobId> changed = std::exchange(this->jobsDeferred, {});
  for (const JobId& id : changed) {
    // Only one record of a job may be in flight, so that records are stored in order.
    if (this->jobsUnderWay.count(id) != 0) {
      this->jobsDeferred.insert(id);
      continue;
    }
    group.jobs.insert(id);
    if (auto starts = this->startsDecided.extract(id)) {
      group.starts.insert(group.starts.end(), starts.mapped().begin(), starts.mapped().end());
    }
    std::optional<JobProgress> progress = this->dispatcher->Progress(id);
    if (!progress) {
      continue;
    }
    this->jobsUnderWay.insert(id);
    records[ProgressKey(prefix, id)] = ToJson(*progress).dump();
    if (IsFinal(progress->state) && this->finished.count(id) == 0) {
      group.finished[id] = { progress->state, progress->finishedAt };
    }
  }
  this->storedEnds.OnGroupBegun(aGroup, this->looks->Taken(), group.jobs, this->jobsDeferred);
  // Cleanup records are only written along with others.
  if (!records.empty()) {
    records.merge(this->extraRecords);
    this->extraRecords.clear();
  }
  return records;
}

void Leader::OnStored(std::uint64_t aGroup)
{
  GroupUnderWay group = std::move(this->groupsUnderWay.extract(aGroup).mapped());
  bool hasReleased = false;
  for (const JobId& id : group.jobs) {
    this->jobsUnderWay.erase(id);
    hasReleased = hasReleased || this->jobsDeferred.count(id) != 0;
  }
  for (const auto& [id, job] : group.finished) {
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
  this->SendStarts(group.starts);
  for (const TakenEnds& ends : this->storedEnds.OnGroupStored(aGroup)) {
    this->looks->Confirm(ends);
  }
  if (hasReleased) {
    this->records->Flush();
  }
}

void Leader::SendStarts(const std::vector<AttemptKey>& aStarts)
{
  TimePoint now = this->env.loop.Now();
  std::map<StepName, unsigned> startedTasks;
  for (AttemptKey key : aStarts) {
    if (std::optional<StartOrder> order = this->dispatcher->TakeStart(key, now)) {
      ++startedTasks[{ order->task.job, order->task.occurrence, order->task.step }];
      this->SendStart(*order, 1);
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

void Leader::SendStart(const StartOrder& aOrder, int aTry)
{
  const WorkerListing* worker = this->dispatcher->FindWorker(aOrder.worker);
  std::optional<std::chrono::milliseconds> lease =
    this->dispatcher->NextLease(aOrder.worker, this->env.loop.Now());
  if (worker == nullptr || !lease) {
    this->OnStartAnswer(
      aOrder, aTry, aTry == 1 ? StartAnswer::NotSent : StartAnswer::Unknown, false);
    return;
  }
  this->env.metrics.Count("starts_total");
  this->env.workers.Start(
    *worker,
    aOrder,
    *lease,
    this->record.term,
    [this, alive = this->isAlive, aOrder, aTry](StartAnswer aAnswer, bool aIsFenced) {
      if (*alive) {
        this->OnStartAnswer(aOrder, aTry, aAnswer, aIsFenced);
      }
    });
}

void Leader::OnStartAnswer(const StartOrder& aOrder, int aTry, StartAnswer aAnswer, bool aIsFenced)
{
  if (aIsFenced) {
    this->Lose("fenced_by_worker");
    return;
  }
  bool mayHaveLeft = aTry > 1;
  if (aAnswer == StartAnswer::Unknown && aTry < kStartTries) {
    this->SendStart(aOrder, aTry + 1);
    return;
  }
  // An earlier attempt may still arrive, so only results that refer to this run are conclusive.
  if (mayHaveLeft && aAnswer != StartAnswer::Accepted && aAnswer != StartAnswer::Superseded) {
    aAnswer = StartAnswer::Unknown;
  }
  this->env.metrics.Count(aAnswer == StartAnswer::Accepted ? "starts_accepted_total"
                                                           : "starts_refused_total");
  this->dispatcher->OnStartAnswer(aOrder.attempt, aAnswer, this->env.loop.Now());
  if (aAnswer != StartAnswer::Accepted) {
    this->Kick();
  }
}

void Leader::SendStop(const StopOrder& aOrder)
{
  const WorkerListing* worker = this->dispatcher->FindWorker(aOrder.worker);
  if (worker == nullptr || worker->endpoint.port == 0) {
    return; // Without an address: the runs end when their leases expire.
  }
  this->env.workers.Stop(*worker,
                         aOrder,
                         this->record.term,
                         [this, alive = this->isAlive, aOrder](std::error_code aError) {
                           if (!*alive) {
                             return;
                           }
                           if (aError == make_error_code(Errc::Fenced)) {
                             this->Lose("fenced_by_worker");
                           } else if (!aError) {
                             this->dispatcher->OnStopped(aOrder, this->env.loop.Now());
                           }
                         });
}

void Leader::SendPace(const PaceOrder& aOrder)
{
  const WorkerListing* worker = this->dispatcher->FindWorker(aOrder.worker);
  if (worker == nullptr) {
    return;
  }
  this->env.workers.Pace(*worker, aOrder, this->record.term, [aOrder](std::error_code aError) {
    if (aError) {
      LogLine(LogLevel::Warning, "pace_failed").Add("worker", aOrder.worker).Add("error", aError);
    }
  });
}

void Leader::Lose(const char* aReason)
{
  if (this->isLost) {
    return;
  }
  this->isLost = true;
  LogLine(LogLevel::Warning, "term_ends").Add("term", this->record.term).Add("reason", aReason);
  // The callback destroys this object, so it must not run from within one of the object's own
  // callbacks.
  this->env.loop.After(Duration(0), [alive = this->isAlive, lost = this->onLost] {
    if (*alive) {
      lost();
    }
  });
}

} // namespace daisydrift::coordination
