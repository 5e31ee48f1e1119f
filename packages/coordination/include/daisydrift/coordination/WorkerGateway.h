#pragma once
// Commands to workers.

#include "daisydrift/dispatch.h"

#include <functional>

namespace daisydrift {

/// Parameters of a poll of a worker.
struct LookRequest
{
  /// Acknowledges the completions up to this number; the worker drops them.
  std::uint64_t lastEnd = 0;
  /// New expiry of the lease of all runs on the worker, on the worker's clock.
  std::optional<std::chrono::milliseconds> lease;
  /// Longest time that the worker may delay its answer while there is no new completion.
  Duration wait{ 0 };
};

/// Calls to workers. aFence is the leader's fencing token. Errors: Unreachable (refused, never
/// sent), DeadlineExceeded (never sent), OutcomeUnknown, Fenced, NotPermitted (another incarnation
/// answered), Overloaded.
class WorkerGateway
{
public:
  virtual ~WorkerGateway() = default;
  /// aDone gets the result, and true when the worker has seen a higher fencing token.
  virtual void Start(const WorkerListing& aWorker,
                     const StartOrder& aCommand,
                     std::chrono::milliseconds aLease,
                     Epoch aFence,
                     std::function<void(StartAnswer, bool)> aDone) = 0;
  virtual void Stop(const WorkerListing& aWorker,
                    const StopOrder& aCommand,
                    Epoch aFence,
                    std::function<void(std::error_code)> aDone) = 0;
  virtual void Pace(const WorkerListing& aWorker,
                    const PaceOrder& aCommand,
                    Epoch aFence,
                    std::function<void(std::error_code)> aDone) = 0;
  virtual void Look(const WorkerListing& aWorker,
                    const LookRequest& aRequest,
                    Epoch aFence,
                    std::function<void(const Result<WorkerReport>&)> aDone) = 0;
};

} // namespace daisydrift
