#pragma once
// Commands to workers.

#include "daisydrift/dispatch.h"

#include <functional>

namespace daisydrift {

/// Parameters of a poll of a worker.
struct PollRequest
{
  /// Acknowledges the completions up to this number; the worker drops them.
  std::uint64_t lastCompletion = 0;
  /// New end of the lease of all runs on the worker, as a time on the worker's monotonic clock;
  /// empty to leave the lease unchanged.
  std::optional<std::chrono::milliseconds> lease;
  /// Longest time that the worker may delay its response while there is no new completion.
  Duration wait{ 0 };
};

/// Calls to workers. aFencingToken is the leader's fencing token. Errors: Unreachable (refused,
/// never sent), DeadlineExceeded (never sent), OutcomeUnknown, Fenced, NotPermitted (another
/// incarnation answered), Overloaded.
class WorkerGateway
{
public:
  virtual ~WorkerGateway() = default;
  /// aLease is the new end of the lease of all runs on the worker, as a time on the worker's
  /// monotonic clock. aDone gets the result, and true when the worker has seen a higher fencing
  /// token.
  virtual void Start(const WorkerListing& aWorker,
                     const StartCommand& aCommand,
                     std::chrono::milliseconds aLease,
                     Epoch aFencingToken,
                     std::function<void(StartResult, bool)> aDone) = 0;
  virtual void Stop(const WorkerListing& aWorker,
                    const StopCommand& aCommand,
                    Epoch aFencingToken,
                    std::function<void(std::error_code)> aDone) = 0;
  virtual void Throttle(const WorkerListing& aWorker,
                        const ThrottleCommand& aCommand,
                        Epoch aFencingToken,
                        std::function<void(std::error_code)> aDone) = 0;
  virtual void Poll(const WorkerListing& aWorker,
                    const PollRequest& aRequest,
                    Epoch aFencingToken,
                    std::function<void(const Result<WorkerReport>&)> aDone) = 0;
};

} // namespace daisydrift
