#pragma once
// Plain records of the decision state. Sums in them are kept by ClusterState only.

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
struct Group;
struct Job;
struct Team;

/// Position of a worker, failure domain, rack or team in its table.
using Position = std::uint32_t;
inline constexpr Position kNoPosition = std::numeric_limits<Position>::max();

struct WorkerListTag;
struct TeamListTag;
using NormalLink = boost::intrusive::link_mode<boost::intrusive::normal_link>;
using WorkerHook =
  boost::intrusive::list_base_hook<boost::intrusive::tag<WorkerListTag>, NormalLink>;
using TeamHook = boost::intrusive::list_base_hook<boost::intrusive::tag<TeamListTag>, NormalLink>;

/// One attempt that occupies a worker.
struct Attempt
  : public WorkerHook
  , public TeamHook
{
  Job* job = nullptr;
  std::uint32_t taskIndex = 0;
  std::uint32_t number = 0;
  Position worker = kNoPosition;
  /// Size the worker was last told to hold the attempt to.
  Resources limit;
  /// Size counted on the worker and the team; above `limit` until a reduction has taken effect.
  Resources counted;
  /// Highest usage reported.
  Resources peakUsage;
  Resources usage;
  std::uint32_t usageReports = 0;
  /// Increases with each attempt: a higher one is newer.
  std::uint64_t sequence = 0;
  TimePoint assignedAt;
  /// Start or last checkpoint: work since then is lost when the attempt is stopped without one.
  TimePoint workSavedAt;
  /// Time when a reduction of the limit was decided.
  TimePoint reducedAt;
  /// When it should end by estimate; far in the future when not known.
  TimePoint expectedEnd;
  bool hasStarted = false;
  bool isStopping = false;
  /// Started on capacity reserved for a gang: is stopped when the gang could start without it.
  bool isBackfill = false;
  /// Started on a quarantined worker to test it.
  bool isProbe = false;
  /// Usage arrived that has not been looked at.
  bool isUsageDirty = false;
};

using WorkerAttempts = boost::intrusive::list<Attempt, boost::intrusive::base_hook<WorkerHook>>;
using TeamAttempts = boost::intrusive::list<Attempt, boost::intrusive::base_hook<TeamHook>>;

/// One worker.
struct Worker
{
  WorkerId id;
  Position domain = kNoPosition;
  Position rack = kNoPosition;
  Resources capacity;
  /// Sum of `counted` of its attempts.
  Resources committed;
  /// Held for urgent tasks that wait for preempted attempts to end.
  Resources held;
  WorkerHealth health = WorkerHealth::Silent;
  bool isQuarantined = false;
  /// Reserved for the gang that holds the reservation.
  bool isReserved = false;
  /// Attempts must be moved away (leaving, or in a drained failure domain).
  bool isEvacuating = false;
  /// Gets no start for a moment, after it rejected one.
  bool isRejecting = false;
  /// Free amount as last put into the index.
  Resources indexedFree;
  WorkerAttempts attempts;

  Resources Free() const { return this->capacity - this->committed - this->held; }
};

/// One failure domain.
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
  /// Consecutive ends of a service task soon after its start.
  std::uint32_t quickEnds = 0;
  Attempt* attempt = nullptr;
};

/// A job and its tasks.
struct Job
{
  JobSpec spec;
  Team* team = nullptr;
  Estimate* estimate = nullptr;
  /// Arrival order.
  std::uint64_t sequence = 0;
  TimePoint addedAt;
  /// Since when at least one task has been waiting without a start.
  TimePoint waitingSince;
  JobState state = JobState::Waiting;
  std::string reason;
  /// No further attempts: cancelled or failed as a whole.
  bool isEnding = false;
  /// The final state has been announced.
  bool isFinished = false;
  bool hasHealthyTask = false;
  std::vector<Task> tasks;
  /// Waiting tasks, first to be started at `waitingHead`.
  std::vector<std::uint32_t> waiting;
  std::size_t waitingHead = 0;
  std::uint32_t delayedCount = 0;
  std::uint32_t activeCount = 0;
  std::uint32_t succeededCount = 0;
  std::uint32_t failedCount = 0;
  std::uint32_t unknownCount = 0;
  /// Where a task has failed, for the blame of jobs and workers: task, worker.
  std::vector<std::pair<std::uint32_t, Position>> failedOn;
  /// Running tasks of a service by failure domain and by rack.
  std::vector<std::uint32_t> tasksByDomain;
  std::vector<std::uint32_t> tasksByRack;
  /// Size grown beyond the declaration after a task outgrew it.
  Resources grownSize;
  /// Queue it stands in; null when it does not wait.
  Group* group = nullptr;
  bool isInUrgentQueue = false;
  /// Resources of its waiting tasks that are included in its team's sum.
  Resources waitingCounted;
  std::uint32_t waitingTasksCounted = 0;

  std::uint32_t WaitingCount() const
  {
    return static_cast<std::uint32_t>(this->waiting.size() - this->waitingHead);
  }
  bool IsGang() const { return this->spec.workClass == WorkClass::Gang; }
  bool IsService() const { return this->spec.workClass == WorkClass::Service; }
};

/// Why the jobs of a group get no start at the moment.
enum class GroupState : std::uint8_t
{
  Ready,
  NoWorkerFits,
  CeilingReached
};

/// Waiting jobs of a team whose tasks are interchangeable for placement; a gang has its own group.
struct Group
{
  /// Kind, declared size, and the job number for a gang.
  using Key = std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t, JobNumber>;
  Key key;
  GroupState state = GroupState::Ready;
  /// By arrival.
  std::set<std::pair<std::uint64_t, Job*>> jobs;
  /// Position in the team's set of its state.
  std::uint64_t headSequence = 0;
  /// A gang that did not fit is not tried again before this time.
  TimePoint retryAt;
};

/// A team with its sums and its queue.
struct Team
{
  TeamPolicy policy;
  /// False for a team that is no longer configured.
  bool isConfigured = true;
  Position position = kNoPosition;
  /// Sum of `counted` of its attempts, stopping ones included.
  Resources running;
  std::uint32_t runningTasks = 0;
  /// The part of `running` that is being stopped.
  Resources stopping;
  std::uint32_t stoppingTasks = 0;
  /// The part of `running` that is used by services, which end only when cancelled.
  Resources services;
  std::uint32_t serviceTasks = 0;
  /// Sums over its waiting tasks.
  Resources waiting;
  std::uint32_t waitingTasks = 0;
  /// Oldest first.
  TeamAttempts attempts;
  /// Share owed for past waiting; positive when it got less than its fair share.
  double debt = 0;
  double fairShare = 0;
  std::map<Group::Key, Group> groups;
  std::set<std::pair<std::uint64_t, Group*>> ready;
  std::set<std::pair<std::uint64_t, Group*>> noWorkerFits;
  std::set<std::pair<std::uint64_t, Group*>> ceilingReached;
  /// An urgent task waits in this round for room under the ceiling: other work must not take it.
  bool isUrgentAtCeiling = false;
  /// Since when it has waiting work while it runs less than its fair share.
  std::optional<TimePoint> underservedSince;
};

/// Largest share of any kind of aTotal; kinds of which there is none count only when used.
double DominantShare(const Resources& aPart, const Resources& aTotal);
/// Kind-wise smaller and larger amounts.
Resources Min(const Resources& aLeft, const Resources& aRight);
Resources Max(const Resources& aLeft, const Resources& aRight);
/// aCount times aSize.
Resources Times(const Resources& aSize, std::int64_t aCount);

} // namespace daisydrift::core
