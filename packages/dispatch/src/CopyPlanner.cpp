#include "CopyPlanner.h"

#include <algorithm>
#include <tuple>

namespace daisydrift::dispatch {

namespace {
/// Kinds of waiting steps with which a worker is compared; with more of them there are no copies.
constexpr std::size_t kMaxWaitingKinds = 16;
/// A copy that fails counts as a failure of the task, so two runs may use up two attempts.
constexpr std::uint32_t kRunsWithCopy = 2;

bool KeepsHeadroom(const Step& aStep)
{
  return aStep.job->queue->priority != 0 && !aStep.spec->isService;
}

/// Every worker that has room for aStep has room for aSmaller.
bool Covers(const Step& aSmaller, const Step& aStep)
{
  bool isSameKind = aSmaller.spec->requiredLabel == aStep.spec->requiredLabel &&
                    aSmaller.spec->usesSpareCores == aStep.spec->usesSpareCores &&
                    KeepsHeadroom(aSmaller) == KeepsHeadroom(aStep) &&
                    aSmaller.spec->maxPerWorker == 0;
  return isSameKind && aSmaller.spec->size.FitsIn(aStep.spec->size);
}

Duration RunTimeSoFar(const Attempt& aAttempt)
{
  return aAttempt.confirmedAt == TimePoint::max() ? Duration(0)
                                                  : aAttempt.listedAt - aAttempt.confirmedAt;
}
} // namespace

CopyPlanner::CopyPlanner(FleetState& aState, Placement& aPlacement, TimePoint aTermStart)
  : state(aState)
  , placement(aPlacement)
  , termStart(aTermStart)
{
}

RunObservation CopyPlanner::Observe(const Attempt& aAttempt,
                                    Duration aExpected,
                                    TimePoint aNow) const
{
  const Worker& worker = *aAttempt.worker;
  RunObservation run;
  run.elapsed = std::max(RunTimeSoFar(aAttempt), Duration(0));
  run.sinceProgress = aAttempt.listedAt - aAttempt.progressChangedAt;
  run.percent = aAttempt.progressPercent;
  run.expected = aExpected;
  run.canCheckpoint = aAttempt.step->spec->canCheckpoint;
  run.silentFor = aNow - std::max({ worker.reportedAt, this->termStart, aAttempt.decidedAt });
  run.isSilent = worker.isUnresponsive || run.silentFor > this->state.settings.reportTimeout;
  run.isDraining = worker.IsDraining();
  run.remaining = worker.listing.isDraining ? worker.listing.remaining : Duration(0);
  return run;
}

void CopyPlanner::FindIn(Step& aStep, TimePoint aNow, std::vector<Straggler>& aFound) const
{
  std::vector<Duration> runTimes = aStep.runTimes;
  for (const Task& task : aStep.tasks) {
    if (task.attempt != nullptr && task.attempt->isStartKnown && !task.hasSucceeded &&
        task.checkpoint.empty()) {
      Duration projected =
        StragglerRule::Project(RunTimeSoFar(*task.attempt), task.attempt->progressPercent);
      if (projected > Duration(0)) {
        runTimes.push_back(projected);
      }
    }
  }
  Duration expected = StragglerRule::TypicalOf(std::move(runTimes));
  if (expected == Duration(0)) {
    expected = this->state.ExpectedRunTime(aStep).typical;
  }
  for (std::uint32_t index = 0; index < aStep.tasks.size(); ++index) {
    const Task& task = aStep.tasks[index];
    const Attempt* attempt = task.attempt;
    bool isCandidate = attempt != nullptr && !task.hasSucceeded && !task.hadCopy &&
                       attempt->state != AttemptState::Planned &&
                       task.failures.Count() + kRunsWithCopy <= aStep.job->queue->maxAttempts;
    if (!isCandidate) {
      continue;
    }
    RunObservation run = this->Observe(*attempt, expected, aNow);
    if (!run.isSilent && (attempt->state != AttemptState::Running || attempt->isStopping)) {
      continue; // It has just begun, or is about to start again.
    }
    StragglerCause cause = StragglerRule::Judge(run);
    if (cause != StragglerCause::None) {
      aFound.push_back({ &aStep, index, cause, run });
    }
  }
}

std::vector<CopyPlanner::Straggler> CopyPlanner::Find(TimePoint aNow) const
{
  std::vector<Straggler> found;
  for (Job* job : this->state.openJobs) {
    if (job->IsFinished() || !FleetState::HasRules(*job->queue)) {
      continue;
    }
    for (const auto& step : job->steps) {
      step->wantedCopies = 0;
      if (step->active > 0 && step->CanHaveCopies()) {
        this->FindIn(*step, aNow, found);
      }
    }
  }
  std::sort(found.begin(), found.end(), [](const Straggler& aLeft, const Straggler& aRight) {
    auto orderOf = [](const Straggler& aEntry) {
      const Job& job = *aEntry.step->job;
      return std::make_tuple(job.queue->priority,
                             job.sequence,
                             aEntry.step->occurrence,
                             aEntry.step->number,
                             aEntry.index);
    };
    return orderOf(aLeft) < orderOf(aRight);
  });
  return found;
}

void CopyPlanner::AddWaiting(const Step& aStep)
{
  const Team* team = aStep.job->team;
  if (team != nullptr && !FleetState::FitsCeiling(*team, aStep.spec->size)) {
    return; // It can't use any capacity.
  }
  WaitingWork& work = this->waiting[aStep.job->queue->service];
  if (std::any_of(work.steps.begin(), work.steps.end(), [&aStep](const Step* aOther) {
        return Covers(*aOther, aStep);
      })) {
    return;
  }
  std::erase_if(work.steps, [&aStep](const Step* aOther) { return Covers(aStep, *aOther); });
  work.hasManyKinds = work.hasManyKinds || work.steps.size() >= kMaxWaitingKinds;
  if (!work.hasManyKinds) {
    work.steps.push_back(&aStep);
  }
}

bool CopyPlanner::CouldServeWaiting(const std::string& aService, const Worker& aWorker) const
{
  auto found = this->waiting.find(aService);
  if (found == this->waiting.end()) {
    return false;
  }
  const WaitingWork& work = found->second;
  return work.hasManyKinds ||
         std::any_of(work.steps.begin(), work.steps.end(), [&](const Step* aStep) {
           return Placement::Matches(*aStep, aWorker) &&
                  this->placement.CountSlots(*aStep, aWorker, 1) > 0;
         });
}

Worker* CopyPlanner::Choose(const Straggler& aStraggler, TimePoint aNow) const
{
  const Step& step = *aStraggler.step;
  const Task& task = step.tasks[aStraggler.index];
  if (step.job->team != nullptr && !FleetState::FitsCeiling(*step.job->team, step.spec->size)) {
    return nullptr;
  }
  std::vector<Worker*> candidates = this->placement.Candidates(step, aNow);
  std::erase_if(candidates, [&](const Worker* aWorker) {
    return aWorker->IsDraining() || !FleetState::CanAddAttempt(step, aStraggler.index, *aWorker) ||
           this->CouldServeWaiting(step.job->queue->service, *aWorker);
  });
  return this->placement.Choose(step, task, candidates);
}

bool CopyPlanner::NeedsAdvice(const Step& aStep) const
{
  return aStep.job->queue->advice && this->waiting.count(aStep.job->queue->service) == 0 &&
         this->placement.MayFit(aStep);
}

} // namespace daisydrift::dispatch
