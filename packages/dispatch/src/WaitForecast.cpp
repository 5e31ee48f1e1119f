#include "daisydrift/dispatch/WaitForecast.h"

#include "StepRank.h"

#include <algorithm>

namespace daisydrift {

namespace {
constexpr std::chrono::milliseconds kFirstPoint{ 500 };
/// Work for less time than this is no backlog; such scopes are left out, so that the announcements
/// of a fleet that is not overloaded stay small.
constexpr double kMinBacklogSeconds = 1;
/// Most teams in a forecast, those with the longest backlogs. Bounds the size of announcements,
/// which a leader on a link of 10 Mbit/s sends to all instances.
constexpr std::size_t kMaxTeams = 8;
/// Ended jobs by which the error is judged, and the least number of them.
constexpr std::size_t kMaxRecentErrors = 64;
constexpr std::size_t kMinRecentErrors = 8;
/// Nine of ten errors are below the tracked one.
constexpr std::size_t kErrorQuantileTenths = 9;
/// A job with less than this share of the mean work is light.
constexpr double kLightShare = 0.5;
/// A limit is rounded down to a point, so work that fills all time up to that point may fill it up
/// to the next one.
constexpr double kPointRatio = 1.25;
/// Larger errors count as this one, which makes ten times the capacity usable.
constexpr double kMaxErrorShare = 0.9;
/// Longest forecast; a caller may declare tasks of years.
constexpr double kMaxSeconds = 1e6;

using PointTimes = std::array<Duration, WorkCurve::kPoints>;

constexpr PointTimes MakePointTimes()
{
  PointTimes times{};
  Duration time = kFirstPoint;
  for (Duration& point : times) {
    point = time;
    time += time / 4;
  }
  return times;
}

constexpr PointTimes kPointTimes = MakePointTimes();

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::clamp(aSeconds, 0.0, kMaxSeconds)));
}

void Add(WorkAhead& aAhead, const PendingJob& aJob, bool aIsLight)
{
  // What runs ends before anything else starts in its place, whatever its time.
  aAhead.inTime.Add(Duration(0), aJob.runningWork);
  aAhead.valued.Add(Duration(0), aJob.runningWork);
  aAhead.valuedLight.Add(Duration(0), aJob.runningWork);
  if (aJob.noValueAfter <= Duration(0)) {
    return; // The rest goes last.
  }
  if (aJob.isInTime) {
    aAhead.inTime.Add(aJob.due, aJob.waitingWork);
  }
  aAhead.valued.Add(aJob.noValueAfter, aJob.waitingWork);
  if (aIsLight) {
    aAhead.valuedLight.Add(aJob.noValueAfter, aJob.waitingWork);
  }
}

void AddLimited(WorkAhead& aAhead, const WorkAhead& aOther, double aCores)
{
  aAhead.inTime.AddLimited(aOther.inTime, aCores);
  aAhead.valued.AddLimited(aOther.valued, aCores);
  aAhead.valuedLight.AddLimited(aOther.valuedLight, aCores);
}

bool HasBacklog(const LoadScope& aScope)
{
  return aScope.cores > 0 &&
         aScope.aheadOfOverRate.valued.Total() > aScope.cores * kMinBacklogSeconds;
}

/// Mean work that is left of the queue's own jobs.
double MeanWork(const ForecastInput& aInput, const QueueName& aQueue)
{
  double work = 0;
  std::size_t jobs = 0;
  for (const PendingJob& job : aInput.jobs) {
    if (job.queue == aQueue && job.noValueAfter > Duration(0)) {
      work += job.waitingWork + job.runningWork;
      ++jobs;
    }
  }
  return jobs == 0 ? 0 : work / static_cast<double>(jobs);
}

/// Work before a new job of a queue, by team.
std::map<TeamName, LoadScope> CollectTeams(const ForecastInput& aInput,
                                           const QueueName& aName,
                                           const ForecastInput::Queue& aQueue)
{
  std::map<TeamName, LoadScope> teams;
  double mean = MeanWork(aInput, aName);
  for (const PendingJob& job : aInput.jobs) {
    auto other = aInput.queues.find(job.queue);
    if (other == aInput.queues.end() || other->second.service != aQueue.service ||
        other->second.priority > aQueue.priority) {
      continue;
    }
    bool isHigher = other->second.priority < aQueue.priority;
    bool isLight = isHigher || job.waitingWork + job.runningWork < mean * kLightShare;
    LoadScope& team = teams[job.team];
    team.meanWork = mean;
    Add(team.aheadOfOverRate, job, isLight);
    if (isHigher || !job.isOverRate) {
      Add(team.ahead, job, isLight);
    }
  }
  return teams;
}

void KeepLongestBacklogs(FleetForecast& aForecast)
{
  if (aForecast.teams.size() <= kMaxTeams) {
    return;
  }
  std::vector<std::pair<double, std::pair<QueueName, TeamName>>> backlogs;
  for (const auto& [key, scope] : aForecast.teams) {
    backlogs.emplace_back(-scope.aheadOfOverRate.valued.Total() / scope.cores, key);
  }
  std::sort(backlogs.begin(), backlogs.end());
  for (std::size_t position = kMaxTeams; position < backlogs.size(); ++position) {
    aForecast.teams.erase(backlogs[position].second);
  }
}
} // namespace

Duration WorkCurve::TimeOf(std::size_t aPoint)
{
  return kPointTimes[aPoint];
}

void WorkCurve::Add(Duration aDue, double aCoreSeconds)
{
  const auto* point = std::lower_bound(kPointTimes.begin(), kPointTimes.end(), aDue);
  if (point != kPointTimes.end()) {
    this->added[static_cast<std::size_t>(point - kPointTimes.begin())] += aCoreSeconds;
  }
}

void WorkCurve::AddLimited(const WorkCurve& aOther, double aCores)
{
  double sum = 0;
  double counted = 0;
  for (std::size_t point = 0; point < kPoints; ++point) {
    sum += aOther.added[point];
    double limited = aCores > 0 ? std::min(sum, aCores * Seconds(kPointTimes[point])) : sum;
    this->added[point] += limited - counted;
    counted = limited;
  }
}

double WorkCurve::DueBy(Duration aTime) const
{
  double sum = 0;
  for (std::size_t point = 0; point < kPoints && kPointTimes[point] <= aTime; ++point) {
    sum += this->added[point];
  }
  return sum;
}

double WorkCurve::DoneBy(Duration aTime, double aCores) const
{
  double done = 0;
  for (std::size_t point = 0; point < kPoints && kPointTimes[point] <= aTime; ++point) {
    double limit = point == 0 ? this->added[0] : aCores * Seconds(kPointTimes[point]);
    done = std::min(done + this->added[point], std::max(done, limit));
  }
  return done;
}

double WorkCurve::Total() const
{
  return this->DueBy(Duration::max());
}

std::vector<std::uint64_t> WorkCurve::ToWholeCoreSeconds() const
{
  std::vector<std::uint64_t> whole;
  std::uint64_t written = 0;
  double sum = 0;
  for (double work : this->added) {
    sum += work;
    auto total = static_cast<std::uint64_t>(sum);
    whole.push_back(total - written);
    written = total;
  }
  while (!whole.empty() && whole.back() == 0) {
    whole.pop_back();
  }
  return whole;
}

WorkCurve WorkCurve::FromWholeCoreSeconds(const std::vector<std::uint64_t>& aAdded)
{
  WorkCurve curve;
  for (std::size_t point = 0; point < std::min(aAdded.size(), kPoints); ++point) {
    curve.added[point] = static_cast<double>(aAdded[point]);
  }
  return curve;
}

FleetForecast WaitForecast::Compute(const ForecastInput& aInput)
{
  FleetForecast forecast;
  for (const auto& [name, queue] : aInput.queues) {
    auto service = aInput.services.find(queue.service);
    if (service == aInput.services.end()) {
      continue;
    }
    LoadScope scope;
    scope.cores = service->second.cores;
    scope.largestCores = service->second.largestCores;
    for (auto& [teamName, team] : CollectTeams(aInput, name, queue)) {
      auto limits = aInput.teams.find(teamName);
      double ceiling = limits == aInput.teams.end() ? 0 : limits->second.ceilingCores;
      scope.meanWork = team.meanWork;
      AddLimited(scope.ahead, team.ahead, ceiling);
      AddLimited(scope.aheadOfOverRate, team.aheadOfOverRate, ceiling);
      team.cores = ceiling;
      team.largestCores = scope.largestCores;
      if (HasBacklog(team)) {
        forecast.teams[{ name, teamName }] = team;
      }
    }
    if (HasBacklog(scope)) {
      forecast.queues[name] = scope;
    }
  }
  KeepLongestBacklogs(forecast);
  for (const PendingJob& job : aInput.jobs) {
    auto team = aInput.teams.find(job.team);
    if (job.isOverRate && team != aInput.teams.end()) {
      forecast.rates[job.team] = team->second.rate;
    }
  }
  return forecast;
}

WaitEstimate WaitForecast::EstimateIn(const LoadScope& aScope,
                                      const ForecastJob& aJob,
                                      bool aIsOverRate,
                                      Duration aAge,
                                      double aErrorShare)
{
  WaitEstimate estimate;
  const WorkAhead& ahead = aIsOverRate ? aScope.aheadOfOverRate : aScope.ahead;
  const WorkCurve& valued = aJob.work < aScope.meanWork ? ahead.valuedLight : ahead.valued;
  double usableCores =
    aScope.cores * kPointRatio / (1 - std::clamp(aErrorShare, 0.0, kMaxErrorShare));
  auto waitFor = [&](const WorkCurve& aCurve, Duration aTime) {
    double done = aCurve.DoneBy(aTime, usableCores);
    // Meanwhile all cores may have worked on it.
    return aScope.cores > 0 ? FromSeconds(done / aScope.cores - Seconds(aAge)) : Duration(0);
  };
  estimate.inTimeStart = waitFor(ahead.inTime, aJob.objective);
  estimate.inTimeEnd = estimate.inTimeStart + aJob.criticalPath;
  estimate.lateStart = waitFor(valued, aJob.objective * dispatch::kNoValueFactor);
  estimate.lateEnd = estimate.lateStart + aJob.criticalPath;
  return estimate;
}

Duration WaitForecast::ExpectedEnd(const FleetForecast& aForecast,
                                   const ForecastJob& aJob,
                                   bool aIsOverRate,
                                   Duration aAge)
{
  Duration end = aJob.criticalPath;
  auto consider = [&](const LoadScope& aScope) {
    WaitEstimate estimate = EstimateIn(aScope, aJob, aIsOverRate, aAge, 0);
    bool isInTime = estimate.inTimeEnd <= aJob.objective;
    end = std::max(end, isInTime ? estimate.inTimeEnd : estimate.lateEnd);
  };
  auto queue = aForecast.queues.find(aJob.queue);
  if (queue != aForecast.queues.end()) {
    consider(queue->second);
  }
  auto team = aForecast.teams.find({ aJob.queue, aJob.team });
  if (team != aForecast.teams.end()) {
    consider(team->second);
  }
  return end;
}

bool HasForecast(const JobDefinition& aDefinition)
{
  return aDefinition.occurrences == 0 &&
         std::none_of(aDefinition.steps.begin(),
                      aDefinition.steps.end(),
                      [](const StepSpec& aStep) { return aStep.isService; });
}

bool ExceedsCeiling(const StepSpec& aStep, const Resources& aCeiling)
{
  std::int64_t count = aStep.isGang ? aStep.taskCount : 1;
  auto exceeds = [count](std::int64_t aAmount, std::int64_t aLimit) {
    return aLimit > 0 && aAmount * count > aLimit;
  };
  return exceeds(aStep.size.milliCores, aCeiling.milliCores) ||
         exceeds(aStep.size.memoryMiB, aCeiling.memoryMiB) ||
         exceeds(aStep.size.accelerators, aCeiling.accelerators);
}

ForecastJob ForecastJobOf(const JobDefinition& aDefinition,
                          const QueuePolicy& aQueue,
                          const Resources& aCeiling)
{
  constexpr double kMilli = 1000;
  ForecastJob job;
  job.queue = aDefinition.queue;
  job.team = aDefinition.team;
  job.objective = dispatch::LatencyObjectiveOf(aDefinition, aQueue);
  for (Duration path : dispatch::CriticalPathsOf(aDefinition)) {
    job.criticalPath = std::max(job.criticalPath, path);
  }
  for (const StepSpec& step : aDefinition.steps) {
    double cores = static_cast<double>(step.size.milliCores) / kMilli;
    job.largestTaskCores = std::max(job.largestTaskCores, cores);
    if (step.isGang) {
      job.largestGangCores = std::max(job.largestGangCores, cores * step.taskCount);
    }
    job.exceedsCeiling = job.exceedsCeiling || ExceedsCeiling(step, aCeiling);
    if (!step.usesSpareCores) {
      job.work += cores * step.taskCount * Seconds(step.estimate);
    }
  }
  return job;
}

void ForecastErrors::Add(Duration aForecast, Duration aActual)
{
  ForecastError error;
  error.time = std::max(aForecast - aActual, Duration(0));
  error.share =
    aForecast > Duration(0) ? std::min(Seconds(error.time) / Seconds(aForecast), 1.0) : 0;
  this->recent.push_back(error);
  if (this->recent.size() > kMaxRecentErrors) {
    this->recent.pop_front();
  }
}

std::optional<ForecastError> ForecastErrors::Tracked() const
{
  if (this->recent.size() < kMinRecentErrors) {
    return std::nullopt;
  }
  std::vector<Duration> times;
  std::vector<double> shares;
  for (const ForecastError& error : this->recent) {
    times.push_back(error.time);
    shares.push_back(error.share);
  }
  std::sort(times.begin(), times.end());
  std::sort(shares.begin(), shares.end());
  std::size_t position = (this->recent.size() - 1) * kErrorQuantileTenths / 10;
  return ForecastError{ times[position], shares[position] };
}

} // namespace daisydrift
