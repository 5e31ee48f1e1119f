#pragma once
// Data types of the dispatcher's interface.

#include "daisydrift/base.h"
#include "daisydrift/http/EventLoop.h"
#include "daisydrift/http/HttpMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// Identifier of a job, chosen by the caller that submits it.
using JobId = std::string;
/// Name of a queue; unique within the configuration.
using QueueName = std::string;
/// Number of one run of a task; increases with each start.
using RunNumber = std::uint64_t;

/// One step of a job: a set of equal tasks.
struct StepSpec
{
  std::uint32_t taskCount = 1;
  Resources size;
  /// Run time of a task as declared by the caller; often inaccurate.
  Duration estimate{ 0 };
  /// Indices of earlier steps whose tasks must all succeed before this step starts.
  std::vector<std::uint32_t> dependencies;
  bool canCheckpoint = false;
  /// Gang scheduling: all tasks start, run and succeed together.
  bool isGang = false;
  /// Runs slower when its tasks are spread over several racks.
  bool isRackLocal = false;
  /// Several copies of one task may run at the same time.
  bool allowsCopies = false;
  /// Runs until the job is cancelled; its tasks are restarted after any outcome.
  bool isService = false;
  /// Best effort: uses only processor time that other tasks leave idle, so its cores don't count
  /// against a worker's capacity.
  bool usesSpareCores = false;
  /// Label that the worker must have; empty for no requirement.
  std::string requiredLabel;
  /// Rack that holds the step's data; tasks run slower on other racks. Empty for none.
  std::string dataRack;
  /// Image that the tasks run; tasks of the same image behave alike.
  std::string image;
  /// Greatest number of the step's tasks on one worker; 0 for no limit.
  std::uint32_t maxPerWorker = 0;
  /// Disruption budget: service tasks that the scheduler itself may make unavailable at the same
  /// time; 0 for no limit.
  std::uint32_t maxUnavailable = 0;
  /// Target for the tail latency of a service task's responses; zero for none.
  Duration tailLatencyTarget{ 0 };
};

/// Timing of the advice service, which says on which workers the steps of a queue may run.
struct AdvicePolicy
{
  Duration baseTime{ 0 };
  Duration timePerWorker{ 0 };
  /// Validity of granted tickets.
  Duration validity{ 0 };

  /// Expected response time of a request that names aWorkers workers.
  Duration TimeFor(std::size_t aWorkers) const
  {
    return this->baseTime + this->timePerWorker * static_cast<std::int64_t>(aWorkers);
  }
};

/// Scheduling rules of one queue.
struct QueuePolicy
{
  QueueName name;
  /// Service whose workers run the queue's jobs.
  std::string service;
  /// 0 is the highest priority.
  std::uint32_t priority = 0;
  /// Number of failures of one task after which its job fails.
  std::uint32_t maxAttempts = 1;
  /// A job's latency objective is its critical path times this factor, plus targetLatency.
  double stretchFactor = 1;
  Duration targetLatency{ 0 };
  std::optional<AdvicePolicy> advice;
  /// Version of the configuration that these rules are from.
  std::uint64_t version = 0;
};

/// Scheduling rules of one team.
struct TeamRules
{
  TeamName name;
  /// The team's share of a full fleet, and the jobs per second for which it is guaranteed timely
  /// results. The dispatcher uses it as that rate: jobs above it rank last.
  double weight = 1;
  /// Most resources that the team's tasks may use at the same time; a resource with 0 has no limit.
  Resources ceiling;
  /// Version of the configuration that these rules are from.
  std::uint64_t version = 0;
};

/// A job as accepted from its caller.
struct JobDefinition
{
  JobId id;
  QueueName queue;
  /// Rules of the queue by which the job was accepted. They stay in force after the queue is
  /// removed from the configuration. Empty in records of versions that did not store them.
  std::optional<QueuePolicy> rules;
  /// Empty for a job that was submitted without an API key to an open queue.
  TeamName team;
  /// As `rules`, of the team; empty also for a job without a team.
  std::optional<TeamRules> teamRules;
  /// Opaque data that is passed to the workers unchanged.
  std::string payload;
  std::vector<StepSpec> steps;
  /// Number of scheduled repetitions of the steps; 0 for a job that runs once, immediately.
  std::uint32_t occurrences = 0;
  /// Due time of the first occurrence.
  WallTime firstDue;
  /// Time between the due times of two occurrences.
  Duration interval{ 0 };
  WallTime acceptedAt;
};

/// Identifies one task.
struct TaskName
{
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const TaskName&) const = default;
};

/// Identifies one step of one occurrence of a job; advice is requested for each step.
struct StepName
{
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const StepName&) const = default;
};

/// Queue and team rules of one version of the configuration.
struct FleetPolicy
{
  std::uint64_t version = 0;
  std::map<QueueName, QueuePolicy> queues;
  std::map<TeamName, TeamRules> teams;
};

/// A worker as listed in the platform's directory.
struct WorkerListing
{
  WorkerId id;
  std::string service;
  SocketEndpoint endpoint;
  FailureDomain domain;
  std::vector<std::string> labels;
  std::string rack;
  Resources capacity;
  bool isDraining = false;
  /// Least time until a draining worker goes away.
  Duration remaining{ 0 };
  /// Identifies one process lifetime of the worker; a restarted worker keeps no earlier state.
  std::int64_t incarnation = 0;
};

/// How a run ended.
enum class RunOutcome
{
  Succeeded,
  Failed,
  Stopped,
  LeaseExpired,
  /// Stopped because another member of its gang ended.
  GangBroken,
  /// The other members of its gang did not start in time.
  GangIncomplete
};

/// A task that a worker reports as running.
struct RunningTask
{
  TaskName task;
  RunNumber run = 0;
  std::string checkpoint;
  /// Progress of a batch task, in percent; 100 for a service task that is serving.
  int percent = 0;
  /// Tail latency of a service task's responses, in milliseconds.
  double tailLatencyMs = 0;
};

/// A run that a worker reports as completed, with any outcome.
struct RunCompletion
{
  /// Sequence number of the completion within one incarnation of the worker, from 1.
  std::uint64_t number = 0;
  TaskName task;
  RunNumber run = 0;
  RunOutcome outcome = RunOutcome::Stopped;
  std::string checkpoint;
};

/// A worker's response to a poll.
struct WorkerReport
{
  std::int64_t incarnation = 0;
  /// The worker's monotonic clock, which starts anew at any value with each incarnation.
  std::chrono::milliseconds clock{ 0 };
  /// Start of this incarnation by the worker's wall clock; 0 if it is not known.
  WallTime startedAt{};
  std::vector<RunningTask> running;
  /// Completions in the order of their numbers, from the first that is not acknowledged.
  std::vector<RunCompletion> completions;
  /// False if the worker may have more completions than one report lists. The others follow once
  /// these are acknowledged.
  bool hasAllCompletions = true;
  /// Highest number in the worker's list, including completions that could not be read.
  std::uint64_t lastCompletion = 0;
};

/// Result of a start command.
enum class StartResult
{
  Accepted,
  /// Not started: on this worker this run or a higher one has already ended.
  Superseded,
  /// Not started: the lease in the command had expired.
  TooLate,
  InsufficientResources,
  TicketRejected,
  /// Not started: the worker is unhealthy.
  Unhealthy,
  /// Not started: another incarnation of the worker answered.
  IncarnationMismatch,
  Malformed,
  /// The command was never sent.
  NotSent,
  /// No definite response: the command may have been carried out, or may be later.
  Unknown
};

/// Identifier of one start of a task, unique within this process.
using AttemptKey = std::uint64_t;

/// Command to start a task.
struct StartCommand
{
  AttemptKey attempt = 0;
  TaskName task;
  RunNumber run = 0;
  WorkerId worker;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
};

/// Command to stop a run.
struct StopCommand
{
  TaskName task;
  RunNumber run = 0;
  WorkerId worker;
};

/// Command to throttle a task to a percentage of its full speed.
struct ThrottleCommand
{
  TaskName task;
  RunNumber run = 0;
  WorkerId worker;
  int percent = 100;
  /// Number of times that it was sent before.
  unsigned repeats = 0;
};

/// Request to the advice service: which of these workers may run the step.
struct AdviceRequest
{
  StepName step;
  std::vector<WorkerId> workers;
  /// Expected response time of the service.
  Duration expected{ 0 };
};

/// Permission of the advice service to run a step on a worker.
struct AdviceGrant
{
  WorkerId worker;
  std::string ticket;
};

/// Commands and requests that result from one scheduling round. Starts are sent only after the
/// progress of their jobs has been stored.
struct DispatchRound
{
  std::vector<AttemptKey> starts;
  std::vector<StopCommand> stops;
  std::vector<ThrottleCommand> throttles;
  std::vector<AdviceRequest> adviceRequests;
  /// For metrics: the queues of jobs that were given up for the first time.
  std::vector<QueueName> jobsGivenUp;
  /// For metrics: the queue of each task that is stopped for one of a higher priority.
  std::vector<QueueName> tasksPreempted;
  /// For metrics: the queue of each start, and the time since its step waits.
  std::vector<std::pair<QueueName, Duration>> waits;
};

/// State of a job as shown to callers.
enum class DispatchState
{
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled
};

/// A run that may still be active on a worker.
struct OpenRun
{
  std::uint32_t index = 0;
  RunNumber run = 0;
  WorkerId worker;
  /// Time until which the worker, which had restarted, may hold a longer lease than leaders ask
  /// for; 0 if it does not.
  WallTime longLeaseUntil{};
};

/// Progress of a step that must survive a change of leader.
struct StepProgress
{
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  /// Indices of tasks that have succeeded.
  std::vector<std::uint32_t> succeeded;
  /// Failures by index, where there are any.
  std::map<std::uint32_t, std::uint32_t> failures;
  /// Highest run number that is known to have completed, by index.
  std::map<std::uint32_t, RunNumber> lastCompletedRuns;
  std::map<std::uint32_t, std::string> checkpoints;
  std::vector<OpenRun> open;
  /// All tasks have succeeded; none are listed.
  bool isDone = false;
  /// The failed runs by index, the last ones if there are many; empty in records of earlier
  /// versions.
  std::map<std::uint32_t, std::vector<RunNumber>> failedRuns;
};

/// Progress of a job that must survive a change of leader; stored beside its definition.
struct JobProgress
{
  DispatchState state = DispatchState::Queued;
  /// Steps with any progress.
  std::vector<StepProgress> steps;
  /// Time at which the job reached a final state.
  WallTime finishedAt;
  /// The occurrences before this one have succeeded; none of their steps are listed.
  std::uint32_t firstOccurrence = 0;
  /// The steps are stored in parts.
  bool isDivided = false;
};

/// What is to be stored of a job after a change.
struct ChangedProgress
{
  /// Without steps if they are stored in parts. It has to be stored before parts are deleted, but
  /// in no order with those that are written.
  JobProgress head;
  /// Steps of the parts that have changed, by number of the part.
  std::map<std::uint64_t, std::vector<StepProgress>> parts;
  /// The parts before this one are not needed any more.
  std::uint64_t firstPart = 0;
};

} // namespace daisydrift
