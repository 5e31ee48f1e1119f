#pragma once
// Records of the cluster state. Only ClusterState updates the sums in them.

#include "TaskChart.h"
#include "daisydrift/core/PolicySettings.h"
#include "daisydrift/core/Types.h"

#include <boost/intrusive/list.hpp>

#include <limits>
#include <map>
#include <optional>
#include <set>

namespace daisydrift::core {

struct Attempt;
struct Estimate;
struct JobGroup;
struct Job;
struct Team;

/// Index of a worker, failure domain, rack or team in its table in ClusterState.
using EntityIndex = std::uint32_t;
inline constexpr EntityIndex kNoEntity = std::numeric_limits<EntityIndex>::max();

struct WorkerListTag;
struct TeamListTag;
using NormalLink = boost::intrusive::link_mode<boost::intrusive::normal_link>;
using WorkerHook =
  boost::intrusive::list_base_hook<boost::intrusive::tag<WorkerListTag>, NormalLink>;
using TeamHook = boost::intrusive::list_base_hook<boost::intrusive::tag<TeamListTag>, NormalLink>;

/// An attempt that is assigned to a worker and has not ended.
struct Attempt
  : public WorkerHook
  , public TeamHook
{
  Job* job = nullptr;
  std::uint32_t taskIndex = 0;
  std::uint32_t number = 0;
  EntityIndex worker = kNoEntity;
  /// Resource limit last sent to the worker.
  Resources limit;
  /// Resources committed to the attempt on its worker and in its team; exceeds `limit` until a
  /// reduction has taken effect on the worker.
  Resources committed;
  /// Highest reported usage, per resource type.
  Resources peakUsage;
  Resources usage;
  std::uint32_t usageReports = 0;
  /// Increases with each attempt; a newer attempt has a higher number.
  std::uint64_t sequence = 0;
  TimePoint assignedAt;
  /// Time of the start or last checkpoint. Work done since then is lost if the attempt is stopped
  /// without a checkpoint.
  TimePoint workSavedAt;
  /// Time at which the last reduction of the limit was decided.
  TimePoint limitReducedAt;
  /// Estimated end; far in the future if the run time is unknown.
  TimePoint expectedEnd;
  bool hasStarted = false;
  bool isStopping = false;
  /// Restored with the limit of its assignment, which an earlier leader may have changed; the
  /// worker has not reported the real one yet.
  bool isLimitUnconfirmed = false;
  /// Backfill: started on reserved workers; stopped once the job that holds the reservation could
  /// start without it.
  bool isBackfill = false;
  /// Started on a quarantined worker to probe it.
  bool isProbe = false;
  /// A usage report has arrived that LimitAdjuster has not reviewed yet.
  bool isUsageReviewPending = false;
};

using WorkerAttempts = boost::intrusive::list<Attempt, boost::intrusive::base_hook<WorkerHook>>;
using TeamAttempts = boost::intrusive::list<Attempt, boost::intrusive::base_hook<TeamHook>>;

/// A worker and its attempts.
struct Worker
{
  WorkerId id;
  EntityIndex domain = kNoEntity;
  EntityIndex rack = kNoEntity;
  Resources capacity;
  /// Sum of `committed` over its attempts.
  Resources committed;
  /// Resources held for tasks that wait for preempted attempts to end.
  Resources held;
  WorkerHealth health = WorkerHealth::Unresponsive;
  bool isQuarantined = false;
  /// Reserved for the job that holds GangPlanner's reservation.
  bool isReserved = false;
  /// Its movable attempts are to be stopped because it is about to be removed or its failure domain
  /// is drained.
  bool isEvacuating = false;
  /// Gets no new tasks for a short time after it rejected one.
  bool isPausedAfterRejection = false;
  /// Free capacity last written to the index.
  Resources indexedFree;
  WorkerAttempts attempts;

  /// False until the worker has reported since this scheduler began; until then neither its
  /// capacity nor the limits of its attempts are known.
  bool HasReported() const
  {
    return this->health != WorkerHealth::Unresponsive || this->capacity != Resources();
  }
  Resources FreeCapacity() const { return this->capacity - this->committed - this->held; }
};

/// A failure domain and the sums over its workers.
struct Domain
{
  FailureDomain name;
  bool isDrained = false;
  Resources capacity;
  Resources committed;
};

/// One task of a job.
struct Task
{
  TaskState state = TaskState::Waiting;
  std::uint32_t attempts = 0;
  std::uint32_t failures = 0;
  /// Number of consecutive exits of a service task soon after its start.
  std::uint32_t earlyExits = 0;
  Attempt* attempt = nullptr;
};

/// A job and its tasks.
struct Job
{
  JobSpec spec;
  Team* team = nullptr;
  Estimate* estimate = nullptr;
  /// Position in the order of arrival.
  std::uint64_t sequence = 0;
  TimePoint addedAt;
  /// Time of the job's arrival, its last start, or the last time a task was queued again.
  TimePoint waitingSince;
  JobState state = JobState::Waiting;
  std::string reason;
  /// The job was cancelled, has failed or is complete, and starts no more attempts.
  bool isEnding = false;
  /// The final state has been announced.
  bool isFinished = false;
  /// A task has succeeded or, in a service, has run long enough to count as healthy.
  bool hasHealthyTask = false;
  std::vector<Task> tasks;
  /// Indexes of the waiting tasks in queue order; the head of the queue is at `waitingHead`.
  std::vector<std::uint32_t> waiting;
  std::size_t waitingHead = 0;
  std::uint32_t delayedCount = 0;
  std::uint32_t activeCount = 0;
  std::uint32_t succeededCount = 0;
  std::uint32_t failedCount = 0;
  std::uint32_t unknownCount = 0;
  /// Task and worker of each failed attempt, to tell a faulty job from a faulty worker.
  std::vector<std::pair<std::uint32_t, EntityIndex>> failedPlacements;
  /// Running tasks of a service by failure domain and by rack.
  std::vector<std::uint32_t> tasksByDomain;
  std::vector<std::uint32_t> tasksByRack;
  /// Size that later attempts need at least, raised when a task exceeded its memory limit.
  Resources grownSize;
  /// Group in the team's queue; null if the job is not queued there.
  JobGroup* group = nullptr;
  bool isInUrgentQueue = false;
  /// Resources and number of its waiting tasks that are included in its team's sums.
  Resources waitingCounted;
  std::uint32_t waitingTasksCounted = 0;

  std::uint32_t WaitingCount() const
  {
    return static_cast<std::uint32_t>(this->waiting.size() - this->waitingHead);
  }
  bool IsGang() const { return this->spec.workClass == WorkClass::Gang; }
  bool IsService() const { return this->spec.workClass == WorkClass::Service; }
};

/// Whether the jobs of a group can be tried, or why they are blocked.
enum class JobGroupState : std::uint8_t
{
  Ready,
  NoWorkerFits,
  CeilingReached
};

/// Waiting jobs of a team whose tasks are equivalent for placement. Each gang and each service has
/// a group of its own.
struct JobGroup
{
  /// Job kind, declared size (cores, memory, accelerators), and the number of a gang or service
  /// job.
  using Key = std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t, JobNumber>;
  Key key;
  JobGroupState state = JobGroupState::Ready;
  /// Ordered by arrival.
  std::set<std::pair<std::uint64_t, Job*>> jobs;
  /// Sequence number of the oldest job; key of the group in the team's set for its state.
  std::uint64_t headSequence = 0;
  /// Earliest time of the next retry of a gang that did not fit.
  TimePoint retryAt;
};

/// A team with its resource sums and its queue.
struct Team
{
  TeamPolicy policy;
  /// False if the team is not part of the current configuration.
  bool isConfigured = true;
  EntityIndex index = kNoEntity;
  /// Sum of `committed` over its attempts, including those that are being stopped.
  Resources running;
  std::uint32_t runningTasks = 0;
  /// Part of `running` that belongs to attempts that are being stopped.
  Resources stopping;
  std::uint32_t stoppingTasks = 0;
  /// Part of `running` that belongs to attempts with an unconfirmed limit that are not being
  /// stopped.
  Resources unconfirmed;
  /// Part of `running` that belongs to services, which end only when cancelled.
  Resources services;
  std::uint32_t serviceTasks = 0;
  /// Sums over its waiting tasks.
  Resources waiting;
  std::uint32_t waitingTasks = 0;
  /// Ordered from oldest to newest.
  TeamAttempts attempts;
  /// Dominant share owed to the team for past waiting below its fair share; never negative.
  double debt = 0;
  double fairShare = 0;
  std::map<JobGroup::Key, JobGroup> groups;
  std::set<std::pair<std::uint64_t, JobGroup*>> ready;
  std::set<std::pair<std::uint64_t, JobGroup*>> noWorkerFits;
  std::set<std::pair<std::uint64_t, JobGroup*>> ceilingReached;
  /// An urgent task is blocked by the ceiling in this round, so other work must not start under it.
  bool hasUrgentTaskAtCeiling = false;
  /// Since when the team has had waiting tasks while running less than its fair share.
  std::optional<TimePoint> belowFairShareSince;
};

/// Largest fraction of aTotal that aPart uses of any resource type. Using a type of which aTotal
/// has none counts as 1.
double DominantShare(const Resources& aPart, const Resources& aTotal);
/// Component-wise minimum and maximum.
Resources Min(const Resources& aLeft, const Resources& aRight);
Resources Max(const Resources& aLeft, const Resources& aRight);
/// Returns aSize multiplied by aCount.
Resources Multiply(const Resources& aSize, std::int64_t aCount);

} // namespace daisydrift::core
