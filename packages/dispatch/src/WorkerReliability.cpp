#include "WorkerReliability.h"

#include <algorithm>

namespace daisydrift::dispatch {

namespace {
/// Weight of the newest run in the moving average of a worker's slowdown; averages over about ten
/// runs.
constexpr double kNewestRunWeight = 0.15;
/// Bounds on the ratio of a single run, since some tasks take many times as long as others.
constexpr double kMinSlowdown = 0.4;
constexpr double kMaxSlowdown = 4;
} // namespace

WorkerReliability::WorkerReliability(FleetState& aState)
  : state(aState)
{
}

bool WorkerReliability::AcceptsStarts(const Worker& aWorker, TimePoint aNow) const
{
  return aWorker.isListed && aWorker.hasReported && !aWorker.isUnresponsive && aWorker.isFenced &&
         !aWorker.IsDraining() && aNow >= aWorker.quarantinedUntil && aNow >= aWorker.pausedUntil &&
         aNow - aWorker.reportedAt < this->state.settings.reportTimeout &&
         !(aWorker.isProbing && !aWorker.attempts.empty()) &&
         this->state.drainedDomains.count(aWorker.listing.domain) == 0;
}

void WorkerReliability::OnSuccess(Attempt& aAttempt, TimePoint aNow)
{
  Worker& worker = *aAttempt.worker;
  worker.failedJobs = 0;
  worker.lastFailedJob.clear();
  worker.isProbing = false;
  worker.nextQuarantine = Duration(0);
  const StepSpec& spec = *aAttempt.step->spec;
  const JobDefinition& definition = aAttempt.step->job->definition;
  bool ranFromStart = aAttempt.step->tasks[aAttempt.index].checkpoint.empty();
  if (spec.estimate.count() > 0 && ranFromStart && !spec.isGang && !spec.usesSpareCores &&
      !spec.isService && aAttempt.isStartKnown && aAttempt.confirmedAt != TimePoint::max()) {
    Duration actual = aNow - aAttempt.confirmedAt;
    Duration expected = std::max(this->state.ExpectedRunTime(*aAttempt.step).typical, Duration(1));
    if (!spec.dataRack.empty() && spec.dataRack != worker.listing.rack) {
      actual = std::chrono::duration_cast<Duration>(actual / this->state.settings.remotePenalty);
    }
    this->state.runTimes.Add(
      definition.queue, definition.team, spec.image, worker.listing.id, spec.estimate, actual);
    double ratio = std::chrono::duration<double>(actual) / std::chrono::duration<double>(expected);
    worker.slowdown +=
      kNewestRunWeight * (std::clamp(ratio, kMinSlowdown, kMaxSlowdown) - worker.slowdown);
  }
}

void WorkerReliability::OnFailure(Attempt& aAttempt, TimePoint aNow)
{
  Worker& worker = *aAttempt.worker;
  const Step& step = *aAttempt.step;
  const Task& task = step.tasks[aAttempt.index];
  bool hasFailedElsewhere =
    std::any_of(task.failedPlacements.begin(),
                task.failedPlacements.end(),
                [&worker](const WorkerId& aId) { return aId != worker.listing.id; });
  const JobId& job = step.job->definition.id;
  if (hasFailedElsewhere || worker.lastFailedJob == job) {
    return; // The failure is more likely caused by the job than by the worker.
  }
  worker.lastFailedJob = job;
  ++worker.failedJobs;
  if (worker.failedJobs >= this->state.settings.failuresToQuarantine || worker.isProbing) {
    this->Quarantine(worker, aNow);
  }
}

void WorkerReliability::OnStall(Worker& aWorker, TimePoint aNow)
{
  if (aNow >= aWorker.quarantinedUntil) {
    this->Quarantine(aWorker, aNow);
  }
}

void WorkerReliability::OnRefusal(Worker& aWorker, Duration aPause, TimePoint aNow)
{
  aWorker.pausedUntil = std::max(aWorker.pausedUntil, aNow + aPause);
}

void WorkerReliability::Reset(Worker& aWorker)
{
  aWorker.failedJobs = 0;
  aWorker.lastFailedJob.clear();
  aWorker.isProbing = false;
  aWorker.nextQuarantine = Duration(0);
  aWorker.quarantinedUntil = TimePoint();
  aWorker.pausedUntil = TimePoint();
  aWorker.slowdown = 1;
}

void WorkerReliability::Quarantine(Worker& aWorker, TimePoint aNow)
{
  const DispatchSettings& settings = this->state.settings;
  Duration length = std::max(aWorker.nextQuarantine, settings.initialQuarantine);
  aWorker.quarantinedUntil = aNow + length;
  aWorker.nextQuarantine = std::min(length * 2, settings.maxQuarantine);
  aWorker.isProbing = true;
  aWorker.failedJobs = 0;
  aWorker.lastFailedJob.clear();
  LogLine(LogLevel::Info, "worker_quarantined")
    .Add("worker", aWorker.listing.id)
    .Add("for_ms", length);
}

} // namespace daisydrift::dispatch
