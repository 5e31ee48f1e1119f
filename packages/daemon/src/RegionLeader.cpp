#include "RegionLeader.h"

#include "RegionConfig.h"

#include <algorithm>

namespace daisydrift {

namespace {

/// Number of hexadecimal digits of the digests stored with each job. 128 bits make accidental
/// collisions practically impossible, and a team that constructed a collision would affect only its
/// own jobs.
constexpr std::size_t kShortDigestLength = 32;

std::string ShortDigest(const std::string& aText)
{
  return Sha256Hex(aText).substr(0, kShortDigestLength);
}

StoredAttemptOutcome ToStoredAttemptOutcome(AttemptOutcome aOutcome)
{
  switch (aOutcome) {
    case AttemptOutcome::Succeeded:
      return StoredAttemptOutcome::Succeeded;
    case AttemptOutcome::Failed:
      return StoredAttemptOutcome::Failed;
    case AttemptOutcome::Interrupted:
      return StoredAttemptOutcome::Interrupted;
    case AttemptOutcome::Rejected:
      return StoredAttemptOutcome::Rejected;
  }
  return StoredAttemptOutcome::Interrupted;
}

} // namespace

RegionLeader::RegionLeader(RegionLeaderOptions aOptions,
                           RegionLeaderHooks aHooks,
                           RegionOwnership aOwnership,
                           const ConfigDocument& aConfig,
                           const std::vector<InstanceInfo>& aInstances,
                           TimePoint aNow)
  : options(std::move(aOptions))
  , hooks(std::move(aHooks))
  , scheduler(this->options.policy)
  , commits(std::move(aOwnership))
  , configConfirmedAt(aNow)
{
  this->nextJob = this->commits.State().NextJob();
  this->SetConfig(aConfig, aNow);
  this->SetInstances(aInstances, aNow);
  this->Restore(aNow);
}

void RegionLeader::SetConfig(const ConfigDocument& aConfig, TimePoint aNow)
{
  this->scheduler.SetTeams(MakeTeamPolicies(aConfig, this->commits.State().Jobs()), aNow);
  this->scheduler.SetDrainedFailureDomains(DrainedDomains(aConfig), aNow);
}

void RegionLeader::Restore(TimePoint aNow)
{
  for (const auto& [number, job] : this->commits.State().Jobs()) {
    if (!job.isFinished) {
      this->RestoreJob(job, aNow);
    }
  }
  for (auto& [id, worker] : this->workers) {
    if (worker.info.state == InstanceState::Gone) {
      this->EndAllAttempts(worker, AttemptOutcome::Interrupted, "the worker is gone", aNow);
    }
  }
}

void RegionLeader::RestoreJob(const JobRecord& aJob, TimePoint aNow)
{
  Findings findings;
  std::optional<JobSubmission> submission = ParseJobSubmission(aJob.specification, findings);
  if (!submission) {
    LogLine(LogLevel::Error, "job_unreadable")
      .Add("job", aJob.number)
      .Add("findings", findings.ToText());
    return;
  }
  JobSpec spec = submission->spec;
  spec.number = aJob.number;
  spec.team = aJob.team;
  if (std::error_code error = this->scheduler.AddJob(spec, aNow)) {
    LogLine(LogLevel::Error, "job_not_restored").Add("job", aJob.number).Add("error", error);
    return;
  }
  this->payloads[aJob.number] = submission->payload;
  if (spec.workClass == WorkClass::Gang) {
    this->gangs.insert(aJob.number);
  }
  for (const TaskRecord& task : aJob.tasks) {
    TaskId id{ aJob.number, task.index };
    std::uint32_t ended = task.attemptsUsed - (task.current ? 1 : 0);
    bool isOutcomeUnknown =
      !task.current && task.lastOutcome == StoredAttemptOutcome::Interrupted && !spec.isRepeatable;
    if (isOutcomeUnknown) {
      this->scheduler.RestoreTaskWithUnknownOutcome(id, ended);
    } else {
      this->scheduler.RestoreTask(id, ended, task.failures, task.Succeeded());
    }
    if (task.current) {
      AttemptId attempt{ id, task.attemptsUsed };
      Worker& worker = this->FindOrAddWorker(task.current->worker, aNow);
      worker.assigned[attempt] = task.current->incarnation;
      this->scheduler.RestoreAttempt(attempt, task.current->worker, task.current->limit, aNow);
    }
  }
  if (aJob.isCancelled) {
    static_cast<void>(this->scheduler.CancelJob(aJob.number, aNow));
  }
}

RegionLeader::Worker& RegionLeader::FindOrAddWorker(const WorkerId& aId, TimePoint aNow)
{
  auto found = this->workers.find(aId);
  if (found != this->workers.end()) {
    return found->second;
  }
  // The platform's list does not contain this worker, perhaps because the list is outdated. The
  // worker counts as unresponsive, and its attempts end once their leases must have expired.
  InstanceInfo info;
  info.id = aId;
  auto [it, isNew] = this->workers.emplace(
    aId, Worker{ info, WorkerSession(aId, info.endpoint, aNow), {}, {}, {}, {} });
  this->UpdateWorkerDescription(it->second, aNow);
  return it->second;
}

void RegionLeader::SetInstances(const std::vector<InstanceInfo>& aInstances, TimePoint aNow)
{
  for (const InstanceInfo& info : aInstances) {
    if (info.kind != InstanceKind::Worker || info.region != this->options.region) {
      continue;
    }
    auto [it, isNew] = this->workers.emplace(
      info.id, Worker{ info, WorkerSession(info.id, info.endpoint, aNow), {}, {}, {}, {} });
    Worker& worker = it->second;
    bool hasBecomeGone =
      info.state == InstanceState::Gone && worker.info.state != InstanceState::Gone;
    worker.info = info;
    worker.session.SetEndpoint(info.endpoint);
    if (hasBecomeGone) {
      this->EndAllAttempts(worker, AttemptOutcome::Interrupted, "the worker is gone", aNow);
    }
    this->UpdateWorkerDescription(worker, aNow);
  }
}

void RegionLeader::UpdateWorkerDescription(Worker& aWorker, TimePoint aNow)
{
  WorkerDescription description;
  description.id = aWorker.session.Id();
  description.failureDomain = aWorker.info.failureDomain;
  description.rack = aWorker.info.rack;
  description.capacity = aWorker.capacity;
  if (aWorker.info.state == InstanceState::Gone) {
    description.health = WorkerHealth::Gone;
  } else if (aWorker.session.IsUnresponsive() || !aWorker.session.HasReported()) {
    description.health = WorkerHealth::Unresponsive;
  } else {
    description.health =
      aWorker.info.state == InstanceState::Leaving ? WorkerHealth::Draining : WorkerHealth::Live;
  }
  const WorkerDescription& last = aWorker.lastDescription;
  bool isUnchanged = last.id == description.id && last.failureDomain == description.failureDomain &&
                     last.rack == description.rack && last.capacity == description.capacity &&
                     last.health == description.health;
  if (!isUnchanged) {
    this->scheduler.UpdateWorker(description, aNow);
    aWorker.lastDescription = description;
  }
}

void RegionLeader::OnSyncResult(const WorkerId& aWorker,
                                const Result<SyncReport>& aResult,
                                TimePoint aNow)
{
  auto found = this->workers.find(aWorker);
  if (found == this->workers.end()) {
    return;
  }
  Worker& worker = found->second;
  if (!aResult) {
    worker.session.OnFailure(aNow);
    if (aResult.Error() == Errc::Fenced) {
      LogLine(LogLevel::Warning, "fenced_by_worker")
        .Add("worker", aWorker)
        .Add("epoch", this->options.epoch);
      this->isSuperseded = true;
    }
    this->UpdateWorkerDescription(worker, aNow);
    return;
  }
  this->OnSessionUpdate(worker, worker.session.OnReport(*aResult, aNow), aNow);
}

void RegionLeader::OnSessionUpdate(Worker& aWorker, const SessionUpdate& aUpdate, TimePoint aNow)
{
  aWorker.capacity = aUpdate.report.capacity;
  if (aUpdate.hasRestarted) {
    for (const AttemptId& attempt : aUpdate.unsentStarts) {
      this->EndAttempt(
        aWorker, attempt, AttemptOutcome::Rejected, "the worker restarted before the start", aNow);
    }
    this->EndAllAttempts(aWorker, AttemptOutcome::Interrupted, "the worker restarted", aNow);
  }
  for (const WorkerEvent& event : aUpdate.events) {
    this->OnWorkerEvent(aWorker, event, aNow);
  }
  if (aUpdate.isFirstReport) {
    this->Reconcile(aWorker, aUpdate.report, aNow);
  }
  for (const RunningAttempt& running : aUpdate.report.running) {
    if (aWorker.assigned.contains(running.attempt)) {
      this->scheduler.OnUsage(running.attempt, running.usage, aNow);
    } else {
      this->StopUnassignedAttempt(aWorker, running.attempt);
    }
  }
  this->UpdateWorkerDescription(aWorker, aNow);
}

void RegionLeader::StopUnassignedAttempt(Worker& aWorker, const AttemptId& aAttempt)
{
  if (!aWorker.unassigned.insert(aAttempt).second) {
    return;
  }
  // The attempt may have been started by a successor. The commit proves that there is none.
  auto callback = [this, id = aWorker.session.Id(), aAttempt](CommitOutcome aOutcome,
                                                              TimePoint aNow) {
    auto found = this->workers.find(id);
    if (found == this->workers.end()) {
      return;
    }
    found->second.unassigned.erase(aAttempt);
    if (aOutcome == CommitOutcome::Committed) {
      found->second.session.Enqueue({ WorkerCommandKind::Stop, aAttempt, {}, "", {} }, aNow);
    }
  };
  this->commits.Add(AttemptEnded{ aAttempt, StoredAttemptOutcome::Interrupted, "not assigned" },
                    std::move(callback));
}

void RegionLeader::Reconcile(Worker& aWorker, const SyncReport& aReport, TimePoint aNow)
{
  std::set<AttemptId> running;
  for (const RunningAttempt& attempt : aReport.running) {
    running.insert(attempt.attempt);
    // Throttling is not recorded in the journal, so the limits that the worker reports are valid.
    this->scheduler.RestoreLimit(attempt.attempt, attempt.limit);
  }
  auto assigned = aWorker.assigned;
  for (const auto& [attempt, incarnation] : assigned) {
    if (incarnation != aReport.incarnation) {
      this->EndAttempt(aWorker, attempt, AttemptOutcome::Interrupted, "the worker restarted", aNow);
    } else if (running.contains(attempt)) {
      this->scheduler.OnStarted(attempt, aNow);
    } else {
      // The start command of the earlier leader may still be in flight. After this stop the worker
      // rejects it and reports in an event that the attempt never ran.
      aWorker.session.Enqueue({ WorkerCommandKind::Stop, attempt, {}, "", {} }, aNow);
    }
  }
}

void RegionLeader::OnWorkerEvent(Worker& aWorker, const WorkerEvent& aEvent, TimePoint aNow)
{
  WorkerId id = aWorker.session.Id();
  std::string incarnation = aWorker.session.Incarnation();
  std::uint64_t number = aEvent.number;
  auto acknowledge = [this, id, incarnation, number](CommitOutcome aOutcome, TimePoint) {
    auto found = this->workers.find(id);
    if (aOutcome == CommitOutcome::Committed && found != this->workers.end()) {
      found->second.session.AcknowledgeEvents(incarnation, number);
    }
  };
  switch (aEvent.kind) {
    case WorkerEventKind::Started:
      this->scheduler.OnStarted(aEvent.attempt, aNow);
      return;
    case WorkerEventKind::Checkpointed:
      this->scheduler.OnCheckpointed(aEvent.attempt, aNow);
      return;
    case WorkerEventKind::Succeeded:
      this->EndAttempt(
        aWorker, aEvent.attempt, AttemptOutcome::Succeeded, aEvent.detail, aNow, acknowledge);
      return;
    case WorkerEventKind::Failed:
      this->EndAttempt(
        aWorker, aEvent.attempt, AttemptOutcome::Failed, aEvent.detail, aNow, acknowledge);
      return;
    case WorkerEventKind::Stopped:
      this->EndAttempt(
        aWorker, aEvent.attempt, AttemptOutcome::Interrupted, aEvent.detail, aNow, acknowledge);
      return;
    case WorkerEventKind::Rejected:
      this->EndAttempt(
        aWorker, aEvent.attempt, AttemptOutcome::Rejected, aEvent.detail, aNow, acknowledge);
      return;
  }
}

void RegionLeader::EndAttempt(Worker& aWorker,
                              AttemptId aAttempt,
                              AttemptOutcome aOutcome,
                              const std::string& aDetail,
                              TimePoint aNow,
                              CommitQueue::Callback aCallback)
{
  LogLine(LogLevel::Debug, "attempt_ended")
    .Add("attempt", ToString(aAttempt))
    .Add("worker", aWorker.session.Id())
    .Add("outcome", NameOf(aOutcome))
    .Add("detail", aDetail);
  if (aWorker.assigned.erase(aAttempt) > 0) {
    this->scheduler.OnEnded(aAttempt, aOutcome, aDetail, aNow);
  }
  // The end of an unknown attempt is committed as well, without effect on the state: only a commit
  // proves that this leader was not superseded, and a superseded leader must not acknowledge events
  // of its successor's attempts.
  this->commits.Add(AttemptEnded{ aAttempt, ToStoredAttemptOutcome(aOutcome), aDetail },
                    std::move(aCallback));
}

void RegionLeader::EndAllAttempts(Worker& aWorker,
                                  AttemptOutcome aOutcome,
                                  const std::string& aDetail,
                                  TimePoint aNow)
{
  auto assigned = aWorker.assigned;
  for (const auto& [attempt, incarnation] : assigned) {
    this->EndAttempt(aWorker, attempt, aOutcome, aDetail, aNow);
  }
}

void RegionLeader::Submit(SubmitCall aCall, TimePoint aNow)
{
  SubmitReply reply;
  std::optional<JobSubmission> submission = ParseJobSubmission(aCall.body, reply.findings);
  if (!submission) {
    reply.error = Errc::InvalidArgument;
    aCall.reply(reply);
    return;
  }
  std::string keyDigest = aCall.idempotencyKey.empty() ? "" : ShortDigest(aCall.idempotencyKey);
  std::string bodyDigest = ShortDigest(aCall.body);
  if (const IdempotencyRecord* earlier =
        this->commits.State().FindIdempotencyKey(aCall.team, keyDigest);
      earlier != nullptr && !keyDigest.empty()) {
    reply.isRepeat = true;
    reply.job = earlier->job;
    if (earlier->bodyDigest != bodyDigest) {
      reply.error = Errc::Conflict;
    }
    aCall.reply(reply);
    return;
  }
  JobSpec spec = submission->spec;
  spec.team = aCall.team;
  std::optional<Explanation> refusal = this->scheduler.CheckJob(spec);
  if (!refusal && spec.workClass == WorkClass::Gang && spec.taskCount > kMaxGangTasks) {
    refusal = { "gang_too_large",
                "a gang may have at most " + std::to_string(kMaxGangTasks) + " tasks",
                "use fewer tasks or several jobs" };
  }
  if (refusal) {
    reply.error = Errc::NotPermitted;
    reply.explanation = *refusal;
    aCall.reply(reply);
    return;
  }
  bool isBlocked = this->commits.IsBlocked() &&
                   aNow - this->commits.BlockedSince() > kMaxBlockedTimeForSubmissions;
  if (isBlocked || this->isAbandoned || this->IsSuperseded()) {
    reply.error = Errc::Overloaded;
    aCall.reply(reply);
    return;
  }
  if (this->commits.StateBytes() + aCall.body.size() > kMaxStateBytesForSubmissions) {
    reply.error = Errc::LimitReached;
    aCall.reply(reply);
    return;
  }
  auto key = std::make_pair(aCall.team, keyDigest);
  if (!keyDigest.empty()) {
    auto [it, isFirst] = this->duplicateSubmissions.try_emplace(key);
    if (!isFirst) {
      // The first submission with this key is being committed. This one is processed after it.
      it->second.push_back(std::move(aCall));
      return;
    }
  }
  spec.number = this->nextJob++;
  JobAccepted entry;
  entry.job = spec.number;
  entry.team = aCall.team;
  entry.specification = aCall.body;
  entry.idempotencyKeyDigest = keyDigest;
  entry.bodyDigest = bodyDigest;
  entry.wallSeconds = this->hooks.wallSeconds();
  auto callback = [this, spec, payload = submission->payload, reply, key, sendReply = aCall.reply](
                    CommitOutcome aOutcome, TimePoint aTime) mutable {
    if (aOutcome == CommitOutcome::Committed) {
      reply.error = this->scheduler.AddJob(spec, aTime);
      this->payloads[spec.number] = payload;
      if (spec.workClass == WorkClass::Gang) {
        this->gangs.insert(spec.number);
      }
      reply.job = spec.number;
    } else {
      reply.error =
        aOutcome == CommitOutcome::Unknown ? Errc::OutcomeUnknown : Errc::DeadlineExceeded;
    }
    sendReply(reply);
    auto waiting = this->duplicateSubmissions.extract(key);
    if (!waiting.empty()) {
      for (SubmitCall& call : waiting.mapped()) {
        if (aOutcome == CommitOutcome::Unknown) {
          call.reply(reply);
        } else {
          this->Submit(std::move(call), aTime);
        }
      }
    }
  };
  this->commits.Add(std::move(entry), std::move(callback), 0, aCall.deadline);
}

void RegionLeader::Cancel(const std::vector<JobNumber>& aJobs,
                          TimePoint aDeadline,
                          const std::function<void(std::error_code, std::size_t)>& aReply)
{
  std::vector<JobNumber> unfinished;
  for (JobNumber job : aJobs) {
    std::optional<JobStatus> status = this->scheduler.Status(job);
    if (status && (status->state == JobState::Waiting || status->state == JobState::Running)) {
      unfinished.push_back(job);
    }
  }
  if (unfinished.empty()) {
    aReply({}, 0);
    return;
  }
  // The entries are committed in order, so the last one is committed only if all are. They may be
  // part of several records: when the last one is dropped, earlier ones may have taken effect.
  auto hasPartialEffect = std::make_shared<bool>(false);
  for (std::size_t i = 0; i < unfinished.size(); ++i) {
    bool isLast = i + 1 == unfinished.size();
    auto callback =
      [this, job = unfinished[i], isLast, count = unfinished.size(), hasPartialEffect, aReply](
        CommitOutcome aOutcome, TimePoint aTime) {
        if (aOutcome == CommitOutcome::Committed) {
          static_cast<void>(this->scheduler.CancelJob(job, aTime));
        }
        *hasPartialEffect |= aOutcome != CommitOutcome::NotCommitted;
        if (isLast) {
          std::error_code error;
          if (aOutcome != CommitOutcome::Committed) {
            error = *hasPartialEffect ? Errc::OutcomeUnknown : Errc::DeadlineExceeded;
          }
          aReply(error, error ? 0 : count);
        }
      };
    this->commits.Add(JobCancelled{ unfinished[i] }, std::move(callback), 0, aDeadline);
  }
}

std::error_code RegionLeader::Step(TimePoint aNow)
{
  if (this->IsSuperseded()) {
    return Errc::Fenced;
  }
  this->EndExpiredAttempts(aNow);
  bool isConfigFresh = aNow - this->configConfirmedAt <= kMaxConfigAgeForStarts;
  if (isConfigFresh && !this->commits.IsBlocked()) {
    this->Decide(aNow);
  }
  this->MakeRoom(aNow);
  std::error_code error = this->commits.Flush(aNow, this->hooks.wallSeconds());
  this->EraseExpiredJobs();
  this->BeginExchanges(aNow);
  return error;
}

void RegionLeader::Abandon(TimePoint aNow)
{
  // The callbacks submit the repetitions of dropped submissions again, which must not be queued.
  this->isAbandoned = true;
  this->commits.Abandon(aNow);
}

void RegionLeader::EndExpiredAttempts(TimePoint aNow)
{
  for (auto& [id, worker] : this->workers) {
    for (const AttemptId& attempt : worker.session.TakeExpiredStarts(aNow)) {
      this->EndAttempt(
        worker, attempt, AttemptOutcome::Rejected, "the start could not be sent in time", aNow);
    }
    bool isUnreachable = worker.session.IsUnresponsive() || !worker.session.HasReported();
    if (isUnreachable && !worker.assigned.empty() && worker.session.HaveLeasesExpired(aNow) &&
        this->hooks.havePredecessorLeasesExpired()) {
      LogLine(LogLevel::Warning, "worker_leases_lapsed")
        .Add("worker", id)
        .Add("attempts", worker.assigned.size());
      this->EndAllAttempts(
        worker, AttemptOutcome::Interrupted, "the worker was silent until all leases ended", aNow);
    }
  }
}

void RegionLeader::BeginExchanges(TimePoint aNow)
{
  bool canRenewTaskLeases = this->hooks.canRenewTaskLeases();
  for (auto& [id, worker] : this->workers) {
    if (worker.info.state == InstanceState::Gone || worker.info.endpoint.port == 0) {
      continue;
    }
    Duration interval =
      worker.assigned.empty() ? Duration(kLeaseRenewalInterval) : this->options.syncInterval;
    std::optional<SyncRequest> request =
      worker.session.BeginExchange(this->options.epoch, aNow, interval, canRenewTaskLeases);
    if (request) {
      this->hooks.beginSync(id, worker.info.endpoint, *request);
    }
  }
}

void RegionLeader::Decide(TimePoint aNow)
{
  bool hasRoom = this->commits.StateBytes() <= kMaxStateBytesForStarts;
  std::vector<Decision> decisions = this->scheduler.Decide(aNow, hasRoom ? kMaxStartsPerStep : 0);
  for (const Decision& decision : decisions) {
    if (const auto* start = std::get_if<StartDecision>(&decision)) {
      JobNumber job = start->attempt.task.job;
      this->Execute(*start, this->gangs.contains(job) ? job : 0, aNow);
    } else if (const auto* stop = std::get_if<StopDecision>(&decision)) {
      this->Execute(*stop, aNow);
    } else if (const auto* throttle = std::get_if<ThrottleDecision>(&decision)) {
      this->Execute(*throttle, aNow);
    } else {
      this->Execute(std::get<JobFinishedDecision>(decision));
    }
  }
}

void RegionLeader::Execute(const StartDecision& aDecision,
                           std::uint64_t aAtomicGroup,
                           TimePoint aNow)
{
  Worker& worker = this->FindOrAddWorker(aDecision.worker, aNow);
  std::string incarnation = worker.session.Incarnation();
  worker.assigned[aDecision.attempt] = incarnation;
  auto callback = [this, aDecision, incarnation](CommitOutcome aOutcome, TimePoint aTime) {
    auto found = this->workers.find(aDecision.worker);
    if (aOutcome != CommitOutcome::Committed || found == this->workers.end()) {
      return;
    }
    Worker& target = found->second;
    // The worker may have restarted, or the attempt may have ended, during the commit.
    if (target.assigned.contains(aDecision.attempt) &&
        target.session.Incarnation() == incarnation) {
      ++this->startCount;
      target.session.Enqueue({ WorkerCommandKind::Start,
                               aDecision.attempt,
                               aDecision.limit,
                               this->payloads[aDecision.attempt.task.job],
                               {} },
                             aTime);
    }
  };
  this->commits.Add(
    TaskAssigned{ aDecision.attempt, aDecision.worker, incarnation, aDecision.limit },
    std::move(callback),
    aAtomicGroup);
}

void RegionLeader::Execute(const StopDecision& aDecision, TimePoint aNow)
{
  Worker& worker = this->FindOrAddWorker(aDecision.worker, aNow);
  if (aDecision.checkpointFirst) {
    worker.session.Enqueue({ WorkerCommandKind::Checkpoint, aDecision.attempt, {}, "", {} }, aNow);
  }
  auto grace = std::chrono::duration_cast<std::chrono::milliseconds>(aDecision.grace);
  worker.session.Enqueue({ WorkerCommandKind::Stop, aDecision.attempt, {}, "", grace }, aNow);
  LogLine(LogLevel::Info, "task_stopped")
    .Add("attempt", ToString(aDecision.attempt))
    .Add("worker", aDecision.worker)
    .Add("reason", NameOf(aDecision.reason));
}

void RegionLeader::Execute(const ThrottleDecision& aDecision, TimePoint aNow)
{
  Worker& worker = this->FindOrAddWorker(aDecision.worker, aNow);
  worker.session.Enqueue(
    { WorkerCommandKind::Throttle, aDecision.attempt, aDecision.limit, "", {} }, aNow);
}

void RegionLeader::Execute(const JobFinishedDecision& aDecision)
{
  LogLine(LogLevel::Info, "job_finished")
    .Add("job", FormatJobId(this->options.region, aDecision.job))
    .Add("state", NameOf(aDecision.state))
    .Add("reason", aDecision.reason);
  JobFinished entry{ aDecision.job,
                     static_cast<std::uint8_t>(aDecision.state),
                     aDecision.reason,
                     this->hooks.wallSeconds() };
  this->commits.Add(std::move(entry), {});
}

void RegionLeader::EraseExpiredJobs()
{
  // Jobs are removed from the state only when a snapshot is written, so the sizes rarely differ.
  const auto& jobs = this->commits.State().Jobs();
  if (this->payloads.size() <= jobs.size()) {
    return;
  }
  std::erase_if(this->payloads, [&](const auto& aItem) {
    if (jobs.contains(aItem.first)) {
      return false;
    }
    static_cast<void>(this->scheduler.EraseJob(aItem.first));
    this->gangs.erase(aItem.first);
    return true;
  });
}

void RegionLeader::MakeRoom(TimePoint aNow)
{
  // Somewhat below the limit, so that the largest submission is never refused without a request.
  bool isFull = this->commits.StateBytes() + kMaxSubmissionBytes > kMaxStateBytesForSubmissions;
  if (isFull && aNow - this->fullStateSnapshotAt >= kFullStateSnapshotInterval) {
    this->fullStateSnapshotAt = aNow;
    this->commits.RequestSnapshot();
  }
}

std::size_t RegionLeader::ReportingWorkerCount() const
{
  return static_cast<std::size_t>(
    std::count_if(this->workers.begin(), this->workers.end(), [](const auto& aItem) {
      return aItem.second.session.HasReported() && !aItem.second.session.IsUnresponsive();
    }));
}

std::size_t RegionLeader::CountAssignedAttempts(const FailureDomain& aDomain) const
{
  std::size_t count = 0;
  for (const auto& [id, worker] : this->workers) {
    count += worker.info.failureDomain == aDomain ? worker.assigned.size() : 0;
  }
  return count;
}

} // namespace daisydrift
