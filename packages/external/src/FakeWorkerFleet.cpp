#include "daisydrift/external/FakeWorkerFleet.h"

#include <cassert>

namespace daisydrift {

FakeWorkerFleet::FakeWorkerFleet(const Clock& aClock)
  : clock(aClock)
{
}

WorkerModel& FakeWorkerFleet::Add(const Endpoint& aEndpoint,
                                  Resources aCapacity,
                                  std::chrono::milliseconds aInitialLease)
{
  auto [it, isNew] =
    this->workers.try_emplace(aEndpoint, ToString(aEndpoint) + "#1", aCapacity, aInitialLease);
  assert(isNew);
  return it->second;
}

WorkerModel& FakeWorkerFleet::At(const Endpoint& aEndpoint)
{
  return this->workers.at(aEndpoint);
}

Result<SyncReport> FakeWorkerFleet::Sync(const Endpoint& aEndpoint,
                                         const SyncRequest& aRequest,
                                         std::chrono::milliseconds)
{
  auto found = this->workers.find(aEndpoint);
  WorkerFault fault = this->faultHook ? this->faultHook(aEndpoint) : WorkerFault::None;
  if (found == this->workers.end() || fault == WorkerFault::Unreachable) {
    return Errc::Unreachable;
  }
  Result<SyncReport> report = found->second.Sync(aRequest, this->clock.Now());
  if (fault == WorkerFault::ResponseLost) {
    return Errc::OutcomeUnknown;
  }
  return report;
}

} // namespace daisydrift
