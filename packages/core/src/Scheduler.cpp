#include "daisydrift/core/Scheduler.h"

#include "SchedulerImpl.h"

namespace daisydrift {

namespace {

JobStatus ToJobStatus(const core::Job& aJob)
{
  JobStatus status;
  status.job = aJob.spec.number;
  status.team = aJob.spec.team;
  status.name = aJob.spec.name;
  status.workClass = aJob.spec.workClass;
  status.state = aJob.isEnding          ? aJob.state
                 : aJob.activeCount > 0 ? JobState::Running
                                        : JobState::Waiting;
  status.tasksWaiting = aJob.WaitingCount() + aJob.delayedCount;
  status.tasksRunning = aJob.activeCount;
  status.tasksSucceeded = aJob.succeededCount;
  status.tasksFailed = aJob.failedCount;
  status.reason = aJob.reason;
  return status;
}

SizeEstimate ToSizeEstimate(const std::pair<TeamName, std::string>& aKey,
                            const core::Estimate& aEstimate)
{
  SizeEstimate result;
  result.team = aKey.first;
  result.kind = aKey.second;
  result.samples = aEstimate.milliCores.samples;
  result.meanPeak = { static_cast<std::int64_t>(aEstimate.milliCores.mean),
                      static_cast<std::int64_t>(aEstimate.memoryMiB.mean),
                      0 };
  result.coresError = aEstimate.milliCores.RelativeError();
  result.memoryError = aEstimate.memoryMiB.RelativeError();
  result.meanRunTime =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aEstimate.runSeconds.mean));
  result.runTimeError = aEstimate.runSeconds.RelativeError();
  return result;
}

} // namespace

Scheduler::Scheduler(const PolicySettings& aSettings)
  : impl(std::make_unique<Impl>(aSettings))
{
}

Scheduler::~Scheduler() = default;

std::optional<Explanation> Scheduler::CheckJob(const JobSpec& aSpec) const
{
  return this->impl->explainer.CheckJob(aSpec);
}

std::error_code Scheduler::AddJob(const JobSpec& aSpec, TimePoint aNow)
{
  return this->impl->AddJob(aSpec, aNow);
}

std::error_code Scheduler::CancelJob(JobNumber aJob, TimePoint /*aNow*/)
{
  return this->impl->CancelJob(aJob);
}

std::error_code Scheduler::EraseJob(JobNumber aJob)
{
  return this->impl->EraseJob(aJob);
}

void Scheduler::SetTeams(const std::vector<TeamPolicy>& aTeams, TimePoint /*aNow*/)
{
  this->impl->SetTeams(aTeams);
}

void Scheduler::SetDrainedFailureDomains(const std::set<FailureDomain>& aDrained, TimePoint aNow)
{
  this->impl->SetDrained(aDrained, aNow);
}

void Scheduler::UpdateWorker(const WorkerDescription& aWorker, TimePoint aNow)
{
  this->impl->UpdateWorker(aWorker, aNow);
}

void Scheduler::OnStarted(const AttemptId& aAttempt, TimePoint aNow)
{
  this->impl->OnStarted(aAttempt, aNow);
}

void Scheduler::OnEnded(const AttemptId& aAttempt,
                        AttemptOutcome aOutcome,
                        const std::string& aDetail,
                        TimePoint aNow)
{
  this->impl->OnEnded(aAttempt, aOutcome, aDetail, aNow);
}

void Scheduler::OnCheckpointed(const AttemptId& aAttempt, TimePoint aNow)
{
  this->impl->OnCheckpointed(aAttempt, aNow);
}

void Scheduler::OnUsage(const AttemptId& aAttempt, const Resources& aUsage, TimePoint aNow)
{
  this->impl->OnUsage(aAttempt, aUsage, aNow);
}

void Scheduler::RestoreAttempt(const AttemptId& aAttempt,
                               const WorkerId& aWorker,
                               const Resources& aLimit,
                               TimePoint aNow)
{
  this->impl->RestoreAttempt(aAttempt, aWorker, aLimit, aNow);
}

void Scheduler::RestoreLimit(const AttemptId& aAttempt, const Resources& aLimit)
{
  this->impl->RestoreLimit(aAttempt, aLimit);
}

void Scheduler::RestoreTask(const TaskId& aTask,
                            std::uint32_t aAttempts,
                            std::uint32_t aFailures,
                            bool aHasSucceeded)
{
  this->impl->RestoreTask(aTask, aAttempts, aFailures, aHasSucceeded);
}

void Scheduler::RestoreTaskWithUnknownOutcome(const TaskId& aTask, std::uint32_t aAttempts)
{
  this->impl->RestoreTaskWithUnknownOutcome(aTask, aAttempts);
}

std::vector<Decision> Scheduler::Decide(TimePoint aNow, std::size_t aMaxStarts)
{
  return this->impl->Decide(aNow, aMaxStarts);
}

std::optional<JobStatus> Scheduler::Status(JobNumber aJob) const
{
  const core::Job* job = this->impl->state.FindJob(aJob);
  if (job == nullptr) {
    return std::nullopt;
  }
  return ToJobStatus(*job);
}

std::vector<JobStatus> Scheduler::Jobs() const
{
  std::vector<JobStatus> all;
  for (const core::Job* job : this->impl->state.SortedJobs()) {
    all.push_back(ToJobStatus(*job));
  }
  return all;
}

std::optional<Explanation> Scheduler::Explain(JobNumber aJob, TimePoint aNow) const
{
  const core::Job* job = this->impl->state.FindJob(aJob);
  if (job == nullptr) {
    return std::nullopt;
  }
  return this->impl->explainer.Explain(*job, aNow);
}

std::vector<TeamUsage> Scheduler::Teams(TimePoint /*aNow*/) const
{
  return this->impl->Teams();
}

std::vector<SizeEstimate> Scheduler::SizeEstimates() const
{
  std::vector<SizeEstimate> all;
  for (const auto& [key, estimate] : this->impl->state.estimates.All()) {
    all.push_back(ToSizeEstimate(key, estimate));
  }
  return all;
}

Resources Scheduler::Committed(const WorkerId& aWorker) const
{
  core::EntityIndex workerIndex = this->impl->state.FindWorker(aWorker);
  return workerIndex == core::kNoEntity ? Resources()
                                        : this->impl->state.workers[workerIndex].committed;
}

} // namespace daisydrift
