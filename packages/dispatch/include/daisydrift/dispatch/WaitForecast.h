#pragma once
// Forecast of the time after which a new job starts and ends, from the work that goes before it.

#include "daisydrift/dispatch/DispatchTypes.h"

#include <array>
#include <deque>

namespace daisydrift {

/// Core-seconds of work by the time at which they are due. The times are points, each a quarter
/// later than the one before, so that a curve has a bounded size; work counts from the first point
/// that is not before its due time on.
class WorkCurve
{
public:
  static constexpr std::size_t kPoints = 40;

  /// Time of a point, from 0.5 s to some 50 minutes.
  static Duration TimeOf(std::size_t aPoint);
  /// Adds work. What is due after the last point is left out, which only shortens forecasts.
  void Add(Duration aDue, double aCoreSeconds);
  /// Adds another curve, at each point at most the work that aCores can do by then; 0 cores mean no
  /// limit.
  void AddLimited(const WorkCurve& aOther, double aCores);
  /// Work that is due by the last point that is not after aTime.
  double DueBy(Duration aTime) const;
  /// The same without work that can't be done in time by aCores, since it is given up then and
  /// delays nothing. What is due at the first point counts in any case, since it may be running.
  double DoneBy(Duration aTime, double aCores) const;
  double Total() const;

  /// Work that is added at each point, in whole core-seconds or less, without the zeros at the end.
  std::vector<std::uint64_t> ToWholeCoreSeconds() const;
  /// aAdded has at most kPoints numbers.
  static WorkCurve FromWholeCoreSeconds(const std::vector<std::uint64_t>& aAdded);

  bool operator==(const WorkCurve&) const = default;

private:
  std::array<double, kPoints> added{};
};

/// Work that goes before a new job of one queue.
struct WorkAhead
{
  /// Work of jobs that are expected to meet their objectives, by the times of these.
  WorkCurve inTime;
  /// Work of all jobs that still have value, by the times at which they lose it.
  WorkCurve valued;
  /// The same without the queue's own jobs that have more than half of the mean work: the scheduler
  /// may give these up for a job with less work.
  WorkCurve valuedLight;

  bool operator==(const WorkAhead&) const = default;
};

/// A limit on the cores that jobs use together, and the work that is to be done within it: the
/// workers of a queue's service, or the resource ceiling of a team.
struct LoadScope
{
  double cores = 0;
  /// Cores of the largest worker.
  double largestCores = 0;
  /// Mean core-seconds that are left of a waiting job of the queue.
  double meanWork = 0;
  WorkAhead ahead;
  /// Work before a job that is above its team's rate.
  WorkAhead aheadOfOverRate;
};

/// By how much forecasts have exceeded what happened: nine of ten recent ones by less.
struct ForecastError
{
  Duration time{ 0 };
  /// As a fraction of the forecast.
  double share = 0;
};

/// Token bucket of a team's job rate.
struct TeamRate
{
  double tokens = 0;
  double perSecond = 0;
};

/// The waiting work of the fleet at one time, as computed by a leader.
struct FleetForecast
{
  /// Term of the leader, and number of the forecast within it.
  Epoch term = 0;
  std::uint64_t sequence = 0;
  /// Queues with more work than the workers of their service do in a second.
  std::map<QueueName, LoadScope> queues;
  /// The same for teams with a resource ceiling, by queue and team.
  std::map<std::pair<QueueName, TeamName>, LoadScope> teams;
  /// Teams with waiting jobs above their rate.
  std::map<TeamName, TeamRate> rates;
  /// Error by queue, once enough jobs have ended.
  std::map<QueueName, ForecastError> errors;
};

/// Unfinished work of one job; times count from the forecast on.
struct PendingJob
{
  QueueName queue;
  TeamName team;
  bool isOverRate = false;
  /// Expected to meet its objective.
  bool isInTime = false;
  /// Until its objective, and until it has no value any more.
  Duration due{ 0 };
  Duration noValueAfter{ 0 };
  /// Core-seconds of its tasks that are not running, and those left of its running ones.
  double waitingWork = 0;
  double runningWork = 0;
};

/// What a forecast is computed from.
struct ForecastInput
{
  struct Service
  {
    double cores = 0;
    /// Cores of the largest worker.
    double largestCores = 0;
  };
  struct Queue
  {
    std::string service;
    std::uint32_t priority = 0;
  };
  struct Team
  {
    /// 0 for no limit.
    double ceilingCores = 0;
    TeamRate rate;
  };
  std::map<std::string, Service> services;
  std::map<QueueName, Queue> queues;
  std::map<TeamName, Team> teams;
  std::vector<PendingJob> jobs;
};

/// A job as a forecast sees it.
struct ForecastJob
{
  QueueName queue;
  TeamName team;
  Duration criticalPath{ 0 };
  Duration objective{ 0 };
  /// Core-seconds.
  double work = 0;
  /// Cores of its largest task, and of its largest gang.
  double largestTaskCores = 0;
  double largestGangCores = 0;
  /// It never starts, since one of its tasks or gangs is larger than the ceiling of its team.
  bool exceedsCeiling = false;
};

/// Expected times of a job in one scope, from the forecast on.
struct WaitEstimate
{
  /// Start and end if the scheduler lets the job be in time.
  Duration inTimeStart{ 0 };
  Duration inTimeEnd{ 0 };
  /// Start and end if it does not.
  Duration lateStart{ 0 };
  Duration lateEnd{ 0 };
};

/// Computes forecasts. Addresses a burst, or a team with many times its usual load, in which a job
/// that is accepted now ends without value.
///
/// All figures are lower bounds: the capacity is that of all workers of the service as if none held
/// a service task or a task of a lower priority, and the work ahead is that which the scheduling
/// order puts first and which can run on any worker.
class WaitForecast
{
public:
  static FleetForecast Compute(const ForecastInput& aInput);
  /// Expected times of a job in a scope of a forecast that was computed aAge ago. aErrorShare is
  /// the fraction of the estimate, from 0 on, by which it may be too long: work that could be done
  /// in time if it is takes up that much more.
  static WaitEstimate EstimateIn(const LoadScope& aScope,
                                 const ForecastJob& aJob,
                                 bool aIsOverRate,
                                 Duration aAge,
                                 double aErrorShare);
  /// Expected end of a job, the latest of all its scopes.
  static Duration ExpectedEnd(const FleetForecast& aForecast,
                              const ForecastJob& aJob,
                              bool aIsOverRate,
                              Duration aAge);
};

/// True for a job whose end can be forecast: not for services, and not for jobs with due times.
bool HasForecast(const JobDefinition& aDefinition);
/// True if a task of the step, or the whole step if it is a gang, is larger than the ceiling, in
/// which 0 means no limit.
bool ExceedsCeiling(const StepSpec& aStep, const Resources& aCeiling);
/// Describes a job for a forecast by the rules of its queue and the ceiling of its team.
ForecastJob ForecastJobOf(const JobDefinition& aDefinition,
                          const QueuePolicy& aQueue,
                          const Resources& aCeiling);

/// Compares the forecasts of one queue with what happened.
class ForecastErrors
{
public:
  /// Adds a job that was forecast to end after aForecast and has ended after aActual.
  void Add(Duration aForecast, Duration aActual);
  /// Empty until enough jobs have ended.
  std::optional<ForecastError> Tracked() const;

private:
  std::deque<ForecastError> recent;
};

} // namespace daisydrift
