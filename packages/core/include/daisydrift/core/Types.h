#pragma once
// Value types of the scheduling library's interface.

#include "daisydrift/base.h"

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace daisydrift {

/// How the tasks of a job are run.
enum class WorkClass
{
  /// Tasks start independently as capacity allows.
  Batch,
  /// All tasks start together or none starts (gang scheduling).
  Gang,
  /// Tasks run until the job is cancelled and are restarted when they end.
  Service
};

/// An accepted job. Sizes and run times are declared by the caller and may be far off.
struct JobSpec
{
  JobNumber number = 0;
  TeamName team;
  /// Display name given by the caller.
  std::string name;
  /// Jobs of the same team and kind share an estimate of size and run time.
  std::string kind;
  WorkClass workClass = WorkClass::Batch;
  /// True if the job should start within PolicySettings::urgentTarget, by preemption if needed.
  bool isUrgent = false;
  std::uint32_t taskCount = 1;
  /// Declared size of each task.
  Resources size;
  /// Declared run time of a task; zero if not declared.
  Duration declaredRunTime{ 0 };
  /// True if a task may be run again after an attempt whose outcome is unknown. Services are always
  /// repeatable, since their tasks are restarted whenever they end.
  bool isRepeatable = true;
  /// True if the task can write checkpoints that preserve the work done so far.
  bool canCheckpoint = false;
  /// Number of failed attempts after which the task fails.
  std::uint32_t maxFailures = 3;
};

/// Limits and weight of a team.
struct TeamPolicy
{
  TeamName name;
  /// Weight of the team's fair share relative to other teams; at least 1.
  std::uint32_t weight = 1;
  /// Hard limit of the resources that the team's attempts may use at once in this region.
  Resources ceiling;
  /// Hard limit of the tasks that the team may run at once in this region.
  std::uint32_t maxRunningTasks = 0;
};

/// Health of a worker as known to the scheduler.
enum class WorkerHealth
{
  Live,
  /// About to be removed; gets no new tasks.
  Draining,
  /// Does not respond; gets no new tasks. Its attempts stay committed until their end is proven.
  Unresponsive,
  /// Proven to be gone; its attempts have ended.
  Gone
};

/// Properties of a worker that matter for scheduling.
struct WorkerDescription
{
  WorkerId id;
  FailureDomain failureDomain;
  std::string rack;
  Resources capacity;
  WorkerHealth health = WorkerHealth::Live;
};

/// How an attempt ended.
enum class AttemptOutcome
{
  Succeeded,
  /// Ran and reported an error.
  Failed,
  /// Ended without reporting a result: it was stopped, its lease expired, or its worker is gone.
  Interrupted,
  /// Never ran.
  Rejected
};

/// State of a job as a whole.
enum class JobState
{
  Waiting,
  Running,
  Succeeded,
  Failed,
  Cancelled,
  /// The outcome of a task that is not repeatable is unknown.
  OutcomeUnknown
};

/// Starts an attempt. It must be durable before it is sent to the worker.
struct StartDecision
{
  AttemptId attempt;
  WorkerId worker;
  /// Resource limit that the worker enforces on the task.
  Resources limit;
};

/// Why an attempt is stopped.
enum class StopReason
{
  /// Its job was cancelled or ended early.
  Cancelled,
  /// Its resources are needed by another job, or its worker's capacity was reduced.
  Preempted,
  CeilingLowered,
  /// Its failure domain or its worker is being drained.
  FailureDomainDrained,
  /// It uses more memory than its limit, which cannot be raised.
  OutgrewSize,
  /// Another task of its gang is being stopped or needs a new attempt.
  GangIncomplete
};

/// Stops an attempt, after a checkpoint if checkpointFirst is set.
struct StopDecision
{
  AttemptId attempt;
  WorkerId worker;
  StopReason reason = StopReason::Cancelled;
  bool checkpointFirst = false;
  /// Time that the task gets to exit, see PolicySettings::stopGrace.
  Duration grace{ 0 };
};

/// Changes the resource limit of a running attempt.
struct ThrottleDecision
{
  AttemptId attempt;
  WorkerId worker;
  Resources limit;
};

/// Reports that a job has reached a final state.
struct JobFinishedDecision
{
  JobNumber job = 0;
  JobState state = JobState::Succeeded;
  /// Human-readable reason, such as "task 0 failed on 3 different workers".
  std::string reason;
};

/// A command to a worker, or the end of a job, that the scheduler has decided.
using Decision = std::variant<StartDecision, StopDecision, ThrottleDecision, JobFinishedDecision>;

/// State and task counts of a job.
struct JobStatus
{
  JobNumber job = 0;
  TeamName team;
  std::string name;
  WorkClass workClass = WorkClass::Batch;
  JobState state = JobState::Waiting;
  std::uint32_t tasksWaiting = 0;
  std::uint32_t tasksRunning = 0;
  std::uint32_t tasksSucceeded = 0;
  std::uint32_t tasksFailed = 0;
  std::string reason;
};

/// Why a job waits or was rejected, and what can be done about it.
struct Explanation
{
  /// Machine-readable code, such as "ceiling_reached", "no_worker_fits", "fleet_full",
  /// "gang_reserved".
  std::string code;
  std::string message;
  /// What an operator or caller can do.
  std::string advice;
};

/// Current usage and shares of a team.
struct TeamUsage
{
  TeamName team;
  std::uint32_t weight = 1;
  Resources running;
  std::uint32_t tasksRunning = 0;
  std::uint32_t tasksWaiting = 0;
  /// Largest fraction that the team uses of any resource type of the region, 0 to 1.
  double dominantShare = 0;
  /// Dominant share that the team is currently entitled to by weight and demand, 0 to 1.
  double fairShare = 0;
};

/// Estimated size and run time of the jobs of one team and kind.
struct SizeEstimate
{
  TeamName team;
  std::string kind;
  /// Number of ended attempts with reported usage.
  std::uint32_t samples = 0;
  /// Mean of the attempts' peak usage, and its mean deviation relative to the mean.
  Resources meanPeak;
  double coresError = 0;
  double memoryError = 0;
  /// Mean run time of successful attempts, zero if there are none, and its relative deviation.
  Duration meanRunTime{ 0 };
  double runTimeError = 0;
};

} // namespace daisydrift
