#include "Enforcement.h"

namespace daisydrift::core {

namespace {

/// True when stopping an attempt of this size lowers an amount that exceeds its limit.
bool Helps(const Resources& aSize, const Resources& aUsed, const Resources& aLimit)
{
  return (aUsed.milliCores > aLimit.milliCores && aSize.milliCores > 0) ||
         (aUsed.memoryMiB > aLimit.memoryMiB && aSize.memoryMiB > 0) ||
         (aUsed.accelerators > aLimit.accelerators && aSize.accelerators > 0);
}

/// Tasks that may not run again are stopped only when stopping the others is not enough.
constexpr bool kPassesByRepeatable[] = { true, false };

} // namespace

Enforcement::Enforcement(ClusterState& aState, const PolicySettings& aSettings, Commands& aCommands)
  : state(aState)
  , commands(aCommands)
{
  this->moveLimiter.Reset(aSettings.refillStartsPerSecond, TimePoint());
}

void Enforcement::Run(TimePoint aNow)
{
  if (this->mustCheckCeilings) {
    this->mustCheckCeilings = false;
    for (Team& team : this->state.teams) {
      this->EnforceCeiling(team);
    }
  }
  this->BeginEvacuation();
  this->Evacuate(aNow);
}

void Enforcement::EnforceCeiling(Team& aTeam)
{
  const TeamPolicy& policy = aTeam.policy;
  for (bool isRepeatable : kPassesByRepeatable) {
    for (auto it = aTeam.attempts.rbegin(); it != aTeam.attempts.rend(); ++it) {
      Resources used = aTeam.running - aTeam.stopping;
      std::uint32_t tasks = aTeam.runningTasks - aTeam.stoppingTasks;
      if (used.FitsIn(policy.ceiling) && tasks <= policy.maxRunningTasks) {
        return;
      }
      bool helps = tasks > policy.maxRunningTasks || Helps(it->counted, used, policy.ceiling);
      if (!it->isStopping && helps && it->job->spec.isRepeatable == isRepeatable) {
        this->commands.StopWhole(*it, StopReason::CeilingLowered);
      }
    }
  }
}

void Enforcement::EnforceCapacity(Worker& aWorker)
{
  for (bool isRepeatable : kPassesByRepeatable) {
    for (auto it = aWorker.attempts.rbegin(); it != aWorker.attempts.rend(); ++it) {
      Resources used = aWorker.committed;
      for (const Attempt& attempt : aWorker.attempts) {
        if (attempt.isStopping) {
          used -= attempt.counted;
        }
      }
      if (used.FitsIn(aWorker.capacity)) {
        return;
      }
      if (!it->isStopping && Helps(it->counted, used, aWorker.capacity) &&
          it->job->spec.isRepeatable == isRepeatable) {
        this->commands.StopWhole(*it, StopReason::Preempted);
      }
    }
  }
}

void Enforcement::BeginEvacuation()
{
  for (Position position : this->changedWorkers) {
    Worker& worker = this->state.workers[position];
    // A silent worker gets no command that it could answer; its tasks wait for proof.
    bool canAnswer = worker.health == WorkerHealth::Live || worker.health == WorkerHealth::Leaving;
    worker.isEvacuating = canAnswer && (worker.health == WorkerHealth::Leaving ||
                                        this->state.domains[worker.domain].isDrained);
    if (worker.isEvacuating) {
      this->evacuating.insert(position);
    } else {
      this->evacuating.erase(position);
    }
    if (canAnswer && !worker.committed.FitsIn(worker.capacity)) {
      this->EnforceCapacity(worker);
    }
  }
  this->changedWorkers.clear();
}

void Enforcement::Evacuate(TimePoint aNow)
{
  if (this->evacuating.empty()) {
    return;
  }
  this->moveLimiter.Advance(aNow);
  for (auto it = this->evacuating.begin(); it != this->evacuating.end();) {
    for (Attempt& attempt : this->state.workers[*it].attempts) {
      const JobSpec& spec = attempt.job->spec;
      bool mustMove = spec.isRepeatable && (spec.canCheckpoint || attempt.job->IsService());
      if (attempt.isStopping || !mustMove) {
        continue;
      }
      if (!this->moveLimiter.HasToken()) {
        return;
      }
      this->moveLimiter.Take();
      this->commands.StopWhole(attempt, StopReason::FailureDomainDrained);
    }
    it = this->evacuating.erase(it);
  }
}

} // namespace daisydrift::core
