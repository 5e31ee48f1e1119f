#pragma once
// Plain types of the decision library's interface.

#include "daisydrift/base.h"

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace daisydrift {

/// How the tasks of a job are to be run.
enum class WorkClass
{
  /// Tasks start one by one as capacity allows.
  Batch,
  /// All tasks start together or none does.
  Gang,
  /// Tasks run until cancelled and are replaced when they end.
  Service
};

/// A job as accepted. Sizes and times are as declared and may be far off.
struct JobSpec
{
  JobNumber number = 0;
  TeamName team;
  /// Name given by the caller, for people.
  std::string name;
  /// Jobs of one team and kind share an estimate of size and run time.
  std::string kind;
  WorkClass workClass = WorkClass::Batch;
  /// Starts within the urgent target, by preemption if needed.
  bool isUrgent = false;
  std::uint32_t taskCount = 1;
  /// Declared size of each task.
  Resources size;
  /// Declared run time of a task; zero when not declared.
  Duration declaredRunTime{ 0 };
  /// True when an attempt that ended without an outcome may be followed by another. Services are
  /// always repeatable, since their tasks are replaced whenever they end.
  bool isRepeatable = true;
  /// True when a checkpoint saves the work done so far.
  bool canCheckpoint = false;
  /// Attempts that may fail before the task fails.
  std::uint32_t maxFailures = 3;
};

/// Limits and weight of a team.
struct TeamPolicy
{
  TeamName name;
  /// Share relative to other teams when the fleet is full; at least 1.
  std::uint32_t weight = 1;
  /// Resources that the team may have running at once in this region. Hard.
  Resources ceiling;
  /// Tasks that the team may have running at once in this region. Hard.
  std::uint32_t maxRunningTasks = 0;
};

/// What is known of a worker.
enum class WorkerHealth
{
  Live,
  /// Will be taken away: gets no new tasks.
  Leaving,
  /// Does not answer: gets no new tasks; its tasks stay counted until proof of their end.
  Silent,
  /// Proved gone: its tasks have ended.
  Gone
};

/// A worker as the decision library sees it.
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
  /// Ended without an outcome: stopped on command, its lease ended, or its worker is gone.
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
  /// A task that is not repeatable ended without an outcome.
  OutcomeUnknown
};

/// Start an attempt. Sent to the worker only after it is durable.
struct StartDecision
{
  AttemptId attempt;
  WorkerId worker;
  /// The worker holds the task to this size.
  Resources limit;
};

/// Why an attempt is stopped.
enum class StopReason
{
  Cancelled,
  Preempted,
  CeilingLowered,
  FailureDomainDrained,
  OutgrewSize,
  GangIncomplete
};

/// Stop an attempt, with a checkpoint first when asked.
struct StopDecision
{
  AttemptId attempt;
  WorkerId worker;
  StopReason reason = StopReason::Cancelled;
  bool checkpointFirst = false;
  Duration grace{ 0 };
};

/// Hold a running attempt to a new size.
struct ThrottleDecision
{
  AttemptId attempt;
  WorkerId worker;
  Resources limit;
};

/// A job reached a final state.
struct JobFinishedDecision
{
  JobNumber job = 0;
  JobState state = JobState::Succeeded;
  /// Reason for people, such as "failed on 3 workers".
  std::string reason;
};

/// One command or transition decided.
using Decision = std::variant<StartDecision, StopDecision, ThrottleDecision, JobFinishedDecision>;

/// Counts and state of one job.
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

/// Why a job waits or was refused, and what would change it.
struct Explanation
{
  /// Machine-readable code, such as "ceiling_reached", "no_worker_fits", "fleet_full",
  /// "gang_reserved".
  std::string code;
  std::string message;
  /// What an operator or caller can do.
  std::string advice;
};

/// Share of one team at the moment.
struct TeamUsage
{
  TeamName team;
  std::uint32_t weight = 1;
  Resources running;
  std::uint32_t tasksRunning = 0;
  std::uint32_t tasksWaiting = 0;
  /// Largest share of any resource kind of the region, 0 to 1.
  double dominantShare = 0;
  /// The share it is entitled to now, by weight and demand, 0 to 1.
  double fairShare = 0;
};

/// What is known of the size and run time of one kind of jobs of one team.
struct SizeEstimate
{
  TeamName team;
  std::string kind;
  /// Ended attempts whose usage was seen.
  std::uint32_t samples = 0;
  /// Mean of the highest usage of an attempt, and its mean deviation as a part of the mean.
  Resources meanPeak;
  double coresError = 0;
  double memoryError = 0;
  /// Mean run time of successful attempts; zero when none was seen.
  Duration meanRunTime{ 0 };
  double runTimeError = 0;
};

} // namespace daisydrift
