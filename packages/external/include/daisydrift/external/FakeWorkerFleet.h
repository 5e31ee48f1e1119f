#pragma once
// In-memory workers for tests, with fault injection.

#include "daisydrift/external/WorkerModel.h"

#include <functional>
#include <map>

namespace daisydrift {

/// Fault injected into one exchange with a fake worker.
enum class WorkerFault
{
  None,
  /// The exchange does not reach the worker.
  Unreachable,
  /// The exchange takes effect but its report is lost.
  ResponseLost
};

/// Workers kept in memory and looked up by endpoint. Not thread-safe.
class FakeWorkerFleet : public WorkerClient
{
public:
  using FaultHook = std::function<WorkerFault(const Endpoint& aEndpoint)>;

  explicit FakeWorkerFleet(const Clock& aClock);

  /// Adds a worker; no worker may exist at aEndpoint yet. The reference stays valid for the
  /// lifetime of the fleet.
  WorkerModel& Add(const Endpoint& aEndpoint,
                   Resources aCapacity,
                   std::chrono::milliseconds aInitialLease = std::chrono::seconds(15));
  /// Returns the worker at aEndpoint, which must exist.
  WorkerModel& At(const Endpoint& aEndpoint);
  /// Sets the hook that is called before each exchange; an empty hook injects no faults.
  void SetFaultHook(FaultHook aHook) { this->faultHook = std::move(aHook); }

  Result<SyncReport> Sync(const Endpoint& aEndpoint,
                          const SyncRequest& aRequest,
                          std::chrono::milliseconds aTimeout) override;

private:
  const Clock& clock;
  FaultHook faultHook;
  std::map<Endpoint, WorkerModel> workers;
};

} // namespace daisydrift
