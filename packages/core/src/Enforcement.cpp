#include "Enforcement.h"

namespace daisydrift::core {

namespace {

/// True if stopping an attempt of aSize reduces a resource type whose usage exceeds aLimit.
bool ReducesExcess(const Resources& aSize, const Resources& aUsed, const Resources& aLimit)
{
  return (aUsed.milliCores > aLimit.milliCores && aSize.milliCores > 0) ||
         (aUsed.memoryMiB > aLimit.memoryMiB && aSize.memoryMiB > 0) ||
         (aUsed.accelerators > aLimit.accelerators && aSize.accelerators > 0);
}

/// Tasks that are not repeatable are stopped only if stopping the repeatable ones is not enough.
constexpr bool kRepeatablePasses[] = { true, false };

} // namespace

Enforcement::Enforcement(ClusterState& aState,
                         const PolicySettings& aSettings,
                         DecisionRecorder& aRecorder)
  : state(aState)
  , recorder(aRecorder)
{
  this->evacuationLimiter.Reset(aSettings.refillStartsPerSecond, TimePoint());
}

void Enforcement::Run(TimePoint aNow)
{
  if (this->mustCheckCeilings) {
    this->mustCheckCeilings = false;
    for (Team& team : this->state.teams) {
      this->EnforceCeiling(team);
    }
  }
  this->CheckChangedWorkers();
  this->StopMovableTasks(aNow);
}

void Enforcement::EnforceCeiling(Team& aTeam)
{
  // Attempts whose real limits are not known yet count as nothing here: they ran within the ceiling
  // at the earlier leader, perhaps with lower limits. No start is decided on that assumption.
  const TeamPolicy& policy = aTeam.policy;
  for (bool isRepeatable : kRepeatablePasses) {
    for (auto it = aTeam.attempts.rbegin(); it != aTeam.attempts.rend(); ++it) {
      Resources used = aTeam.running - aTeam.stopping - aTeam.unconfirmed;
      std::uint32_t tasks = aTeam.runningTasks - aTeam.stoppingTasks;
      if (used.FitsIn(policy.ceiling) && tasks <= policy.maxRunningTasks) {
        return;
      }
      bool reducesExcess =
        tasks > policy.maxRunningTasks ||
        (!it->isLimitUnconfirmed && ReducesExcess(it->committed, used, policy.ceiling));
      if (!it->isStopping && reducesExcess && it->job->spec.isRepeatable == isRepeatable) {
        this->recorder.StopWithGang(*it, StopReason::CeilingLowered);
      }
    }
  }
}

void Enforcement::EnforceCapacity(Worker& aWorker)
{
  for (bool isRepeatable : kRepeatablePasses) {
    for (auto it = aWorker.attempts.rbegin(); it != aWorker.attempts.rend(); ++it) {
      Resources used = aWorker.committed;
      for (const Attempt& attempt : aWorker.attempts) {
        if (attempt.isStopping) {
          used -= attempt.committed;
        }
      }
      if (used.FitsIn(aWorker.capacity)) {
        return;
      }
      if (!it->isStopping && ReducesExcess(it->committed, used, aWorker.capacity) &&
          it->job->spec.isRepeatable == isRepeatable) {
        this->recorder.StopWithGang(*it, StopReason::Preempted);
      }
    }
  }
}

void Enforcement::CheckChangedWorkers()
{
  for (EntityIndex workerIndex : this->changedWorkers) {
    Worker& worker = this->state.workers[workerIndex];
    // An unresponsive worker cannot confirm a stop; its attempts end only when their end is proven.
    bool canRespond =
      worker.health == WorkerHealth::Live || worker.health == WorkerHealth::Draining;
    worker.isEvacuating = canRespond && (worker.health == WorkerHealth::Draining ||
                                         this->state.domains[worker.domain].isDrained);
    if (worker.isEvacuating) {
      this->evacuatingWorkers.insert(workerIndex);
    } else {
      this->evacuatingWorkers.erase(workerIndex);
    }
    if (canRespond && !worker.committed.FitsIn(worker.capacity)) {
      this->EnforceCapacity(worker);
    }
  }
  this->changedWorkers.clear();
}

void Enforcement::StopMovableTasks(TimePoint aNow)
{
  if (this->evacuatingWorkers.empty()) {
    return;
  }
  this->evacuationLimiter.Advance(aNow);
  for (auto it = this->evacuatingWorkers.begin(); it != this->evacuatingWorkers.end();) {
    for (Attempt& attempt : this->state.workers[*it].attempts) {
      const JobSpec& spec = attempt.job->spec;
      bool mustMove = spec.isRepeatable && (spec.canCheckpoint || attempt.job->IsService());
      if (attempt.isStopping || !mustMove) {
        continue;
      }
      if (!this->evacuationLimiter.HasToken()) {
        return;
      }
      this->evacuationLimiter.TakeToken();
      this->recorder.StopWithGang(attempt, StopReason::FailureDomainDrained);
    }
    it = this->evacuatingWorkers.erase(it);
  }
}

} // namespace daisydrift::core
