#include "Backlog.h"

#include "DispatcherImpl.h"

#include <algorithm>

namespace daisydrift {

namespace dispatch {

namespace {
constexpr double kMilli = 1000;
/// Longest time of one task; a caller may declare years.
constexpr std::chrono::hours kLongestTask{ 24 };

double CoreSeconds(const StepSpec& aSpec, double aTasks)
{
  Duration estimate = std::min<Duration>(aSpec.estimate, kLongestTask);
  return static_cast<double>(aSpec.size.milliCores) / kMilli * aTasks *
         std::chrono::duration<double>(estimate).count();
}

/// Most of each resource that one worker of each service has.
using LargestSizes = std::map<std::string, Resources>;

LargestSizes AddServices(ForecastInput& aInput, const FleetState& aState)
{
  LargestSizes largest;
  for (const auto& [id, worker] : aState.workers) {
    const WorkerListing& listing = worker->listing;
    // Workers that don't answer at present, or rest after failures, may return.
    if (!worker->isListed || worker->IsDraining()) {
      continue;
    }
    double cores = static_cast<double>(listing.capacity.milliCores) / kMilli;
    ForecastInput::Service& service = aInput.services[listing.service];
    service.cores += cores;
    service.largestCores = std::max(service.largestCores, cores);
    Resources& size = largest[listing.service];
    size.milliCores = std::max(size.milliCores, listing.capacity.milliCores);
    size.memoryMiB = std::max(size.memoryMiB, listing.capacity.memoryMiB);
    size.accelerators = std::max(size.accelerators, listing.capacity.accelerators);
  }
  return largest;
}

TeamRate RateOf(const Team& aTeam, TimePoint aNow)
{
  TeamRate rate{ aTeam.jobTokens, aTeam.rules.weight };
  double seconds = std::chrono::duration<double>(aNow - aTeam.tokensRefilledAt).count();
  rate.tokens += std::max(seconds, 0.0) * rate.perSecond;
  return rate;
}

bool CanUseCapacity(const Step& aStep, const LargestSizes& aLargest)
{
  const StepSpec& spec = *aStep.spec;
  const Job& job = *aStep.job;
  auto largest = aLargest.find(job.queue->service);
  return spec.requiredLabel.empty() && largest != aLargest.end() &&
         spec.size.FitsIn(largest->second) &&
         (job.team == nullptr || !ExceedsCeiling(spec, job.team->rules.ceiling));
}

void AddWork(PendingJob& aPending, const Step& aStep, const LargestSizes& aLargest)
{
  const StepSpec& spec = *aStep.spec;
  if (!aStep.isFinite || spec.usesSpareCores || aStep.IsDone()) {
    return;
  }
  if (CanUseCapacity(aStep, aLargest)) {
    aPending.waitingWork += CoreSeconds(spec, static_cast<double>(aStep.Waiting()));
  }
  if (aStep.active == 0) {
    return;
  }
  double running = 0;
  for (const Task& task : aStep.tasks) {
    if (task.attempt != nullptr && !task.attempt->isStopping) {
      running += (100 - std::clamp(task.attempt->progressPercent, 0, 100)) / 100.0;
    }
  }
  aPending.runningWork += CoreSeconds(spec, running);
}

PendingJob PendingJobOf(const Job& aJob, const LargestSizes& aLargest, TimePoint aNow)
{
  PendingJob pending;
  pending.queue = aJob.definition.queue;
  pending.team = aJob.definition.team;
  pending.isOverRate = aJob.isOverRate;
  pending.due = aJob.addedAt + aJob.latencyObjective - aNow;
  // Jobs that are given up for now count: a new job of no less work would be given up before them.
  pending.noValueAfter = aJob.addedAt + aJob.latencyObjective * kNoValueFactor - aNow;
  Duration timeLeft{ 0 };
  for (const auto& step : aJob.steps) {
    AddWork(pending, *step, aLargest);
    if (step->Waiting() > 0) {
      timeLeft = std::max(timeLeft, aJob.criticalPaths[step->number]);
    }
  }
  // After its latest start, a step goes after those that can still be in time (RankOf).
  pending.isInTime = aJob.outlook == JobOutlook::InTime && pending.due > timeLeft;
  if (!HasForecast(aJob.definition)) {
    pending.waitingWork = 0;
  }
  return pending;
}
} // namespace

ForecastInput BacklogOf(const FleetState& aState, TimePoint aNow)
{
  ForecastInput input;
  LargestSizes largest = AddServices(input, aState);
  // In the order of arrival, since the order of sums changes their last digits.
  std::vector<const Job*> jobs(aState.openJobs.begin(), aState.openJobs.end());
  std::sort(jobs.begin(), jobs.end(), [](const Job* aLeft, const Job* aRight) {
    return aLeft->sequence < aRight->sequence;
  });
  for (const Job* job : jobs) {
    if (job->IsFinished() || !FleetState::HasRules(*job->queue)) {
      continue;
    }
    PendingJob pending = PendingJobOf(*job, largest, aNow);
    if (pending.waitingWork + pending.runningWork <= 0) {
      continue;
    }
    input.queues[pending.queue] = { job->queue->service, job->queue->priority };
    if (job->team != nullptr) {
      const Resources& ceiling = job->team->rules.ceiling;
      input.teams[pending.team] = { static_cast<double>(ceiling.milliCores) / kMilli,
                                    RateOf(*job->team, aNow) };
    }
    input.jobs.push_back(std::move(pending));
  }
  return input;
}

} // namespace dispatch

namespace {
/// A job that is added later is not compared with the forecast; announcements come each 0.7 s.
constexpr std::chrono::seconds kMaxComparedAge{ 2 };
} // namespace

void Dispatcher::Impl::NoteExpectedEnd(dispatch::Job& aJob, TimePoint aNow, WallTime aWall)
{
  bool isCompared = this->forecastAt != TimePoint() && aNow - this->forecastAt <= kMaxComparedAge &&
                    HasForecast(aJob.definition) && dispatch::FleetState::HasRules(*aJob.queue);
  if (isCompared) {
    Resources ceiling = aJob.team == nullptr ? Resources() : aJob.team->rules.ceiling;
    aJob.addedWall = aWall;
    aJob.expectedTime =
      WaitForecast::ExpectedEnd(this->forecast,
                                ForecastJobOf(aJob.definition, *aJob.queue, ceiling),
                                aJob.isOverRate,
                                aNow - this->forecastAt);
  }
}

FleetForecast Dispatcher::Forecast(TimePoint aNow)
{
  this->impl->forecast = WaitForecast::Compute(dispatch::BacklogOf(this->impl->state, aNow));
  this->impl->forecastAt = aNow;
  for (const auto& [queue, errors] : this->impl->forecastErrors) {
    if (std::optional<ForecastError> error = errors.Tracked()) {
      this->impl->forecast.errors[queue] = *error;
    }
  }
  return this->impl->forecast;
}

} // namespace daisydrift
