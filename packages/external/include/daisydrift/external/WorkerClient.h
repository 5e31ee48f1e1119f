#pragma once
// Interface to the platform's workers, which run tasks under leases.

#include "daisydrift/base.h"
#include "daisydrift/external/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace daisydrift {

/// Kind of a command to a worker.
enum class WorkerCommandKind
{
  Start,
  Stop,
  Checkpoint,
  Throttle
};

/// Command to a worker about one attempt.
struct WorkerCommand
{
  WorkerCommandKind kind = WorkerCommandKind::Start;
  AttemptId attempt;
  /// Start and Throttle: resource limit of the task.
  Resources limit;
  /// Start: what to run; opaque to daisydrift.
  std::string payload;
  /// Stop: time that the task has to exit by itself.
  std::chrono::milliseconds grace{ 0 };
};

/// An attempt that a worker runs.
struct RunningAttempt
{
  AttemptId attempt;
  Resources limit;
  /// Measured resource usage; lags behind the actual usage.
  Resources usage;
};

/// Kind of an event that a worker reports about an attempt.
enum class WorkerEventKind
{
  Started,
  /// The task exited successfully.
  Succeeded,
  /// The task exited with an error; the attempt ran.
  Failed,
  /// The task was stopped by a command or because its lease expired; the attempt may have had
  /// effects.
  Stopped,
  /// The start was rejected; the attempt never ran.
  Rejected,
  /// A checkpoint was written; a later attempt can resume from it.
  Checkpointed
};

/// Event about an attempt. The worker keeps events until they are acknowledged.
struct WorkerEvent
{
  /// Sequence number within the worker's incarnation; increases by one with each event.
  std::uint64_t number = 0;
  WorkerEventKind kind = WorkerEventKind::Started;
  AttemptId attempt;
  /// Human-readable reason of a failure, stop or rejection.
  std::string detail;
};

/// Request of one exchange with a worker; the response is a SyncReport.
struct SyncRequest
{
  /// Epoch of the sending leader. A worker rejects epochs lower than the highest it has seen.
  Epoch epoch = 0;
  /// Incarnation the request is meant for, from the last report; empty on first contact. A worker
  /// of another incarnation ignores commands, renewals and acknowledgements and only reports, so
  /// that a delayed Start can't run on a worker that restarted and forgot the epoch.
  std::string incarnation;
  /// Number of the last report received from this worker's incarnation; 0 when none. A renewal has
  /// no effect if this report is older than the worker's limit, so that a request delayed in
  /// transit can't extend leases.
  std::uint64_t observedReport = 0;
  /// The worker may discard events up to and including this number.
  std::uint64_t acknowledgedEvent = 0;
  /// New remaining time of the leases of all running attempts; zero renews no lease. A lease is
  /// never shortened.
  std::chrono::milliseconds renewFor{ 0 };
  std::vector<WorkerCommand> commands;
};

/// State of a worker, returned by each exchange.
struct SyncReport
{
  /// Changes when the worker restarts; all attempts of earlier incarnations have ended.
  std::string incarnation;
  /// Sequence number within the incarnation; increases with each report.
  std::uint64_t number = 0;
  Resources capacity;
  std::vector<RunningAttempt> running;
  /// All events after the acknowledged number, in order.
  std::vector<WorkerEvent> events;
};

/// Client of workers.
class WorkerClient
{
public:
  virtual ~WorkerClient() = default;

  /// Makes one exchange with the worker at aEndpoint. The worker executes the commands in order; a
  /// Start of an attempt that it already knows is ignored, so a repeated request starts no attempt
  /// twice. Errors: Fenced (epoch too low, nothing executed), Unreachable (nothing executed),
  /// OutcomeUnknown, Corrupt (malformed response).
  virtual Result<SyncReport> Sync(const Endpoint& aEndpoint,
                                  const SyncRequest& aRequest,
                                  std::chrono::milliseconds aTimeout) = 0;
};

} // namespace daisydrift
