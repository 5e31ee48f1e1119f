#include "Explainer.h"

#include <cstdio>

namespace daisydrift::core {

namespace {

std::string Percent(double aShare)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.1f%%", aShare * 100);
  return text;
}

/// Number of workers that are not gone.
std::size_t CountPresentWorkers(const ClusterState& aState)
{
  std::size_t count = 0;
  for (const Worker& worker : aState.workers) {
    count += worker.health == WorkerHealth::Gone ? 0 : 1;
  }
  return count;
}

} // namespace

std::string ToText(const Resources& aResources)
{
  char text[96];
  std::snprintf(text,
                sizeof text,
                "%.3g cores, %lld MiB, %lld accelerators",
                static_cast<double>(aResources.milliCores) / 1000.0,
                static_cast<long long>(aResources.memoryMiB),
                static_cast<long long>(aResources.accelerators));
  return text;
}

Explainer::Explainer(const ClusterState& aState,
                     const TeamShares& aShares,
                     const GangPlanner& aGangs,
                     const Preemption& aPreemption,
                     const WorkerReliability& aReliability)
  : state(aState)
  , shares(aShares)
  , gangs(aGangs)
  , preemption(aPreemption)
  , reliability(aReliability)
{
}

std::optional<Explanation> Explainer::CheckJob(const JobSpec& aSpec) const
{
  const Team* team = this->state.FindTeam(aSpec.team);
  if (team == nullptr || !team->isConfigured) {
    return Explanation{ "unknown_team",
                        "team '" + aSpec.team + "' is not configured",
                        "create the team or submit with the key of another team" };
  }
  if (auto explanation = this->CheckCeiling(aSpec)) {
    return explanation;
  }
  return this->CheckWorkers(aSpec);
}

std::optional<Explanation> Explainer::CheckCeiling(const JobSpec& aSpec) const
{
  const TeamPolicy& policy = this->state.FindTeam(aSpec.team)->policy;
  bool isGang = aSpec.workClass == WorkClass::Gang;
  std::uint32_t taskCount = isGang ? aSpec.taskCount : 1;
  Resources need = Multiply(aSpec.size, taskCount);
  std::string subject = isGang ? "the gang needs " : "a task needs ";
  if (!need.FitsIn(policy.ceiling)) {
    return Explanation{ "ceiling_too_low",
                        subject + ToText(need) + " at once; the ceiling of team '" + aSpec.team +
                          "' is " + ToText(policy.ceiling),
                        "raise the team's ceiling or declare smaller tasks" };
  }
  if (taskCount > policy.maxRunningTasks) {
    return Explanation{ "ceiling_too_low",
                        subject + std::to_string(taskCount) +
                          " running tasks at once; the limit of team '" + aSpec.team + "' is " +
                          std::to_string(policy.maxRunningTasks),
                        "raise the team's limit of running tasks or use fewer tasks" };
  }
  return std::nullopt;
}

std::optional<Explanation> Explainer::CheckWorkers(const JobSpec& aSpec) const
{
  if (CountPresentWorkers(this->state) == 0) {
    // No workers are known yet, so no job can be ruled out.
    return std::nullopt;
  }
  std::uint64_t slots = 0;
  bool isAnyCapacityUnknown = false;
  for (const Worker& worker : this->state.workers) {
    isAnyCapacityUnknown |= !worker.HasReported();
    if (worker.health == WorkerHealth::Gone || !aSpec.size.FitsIn(worker.capacity)) {
      continue;
    }
    slots += GangPlanner::CountSlots(worker.capacity, aSpec.size, aSpec.taskCount);
    if (aSpec.workClass != WorkClass::Gang || slots >= aSpec.taskCount) {
      break;
    }
  }
  if (isAnyCapacityUnknown) {
    // Either the job fits, or it may fit on a worker that has still to report.
    return std::nullopt;
  }
  if (slots == 0) {
    return Explanation{ "no_worker_fits",
                        "a task needs " + ToText(aSpec.size) +
                          "; no worker is large enough, the largest capacities are " +
                          ToText(this->state.maxWorkerCapacity),
                        "declare smaller tasks or add larger workers" };
  }
  if (aSpec.workClass == WorkClass::Gang && slots < aSpec.taskCount) {
    return Explanation{ "fleet_too_small",
                        "the gang has " + std::to_string(aSpec.taskCount) +
                          " tasks; all workers together can run " + std::to_string(slots),
                        "use fewer or smaller tasks or add workers" };
  }
  return std::nullopt;
}

std::optional<Explanation> Explainer::Explain(const Job& aJob, TimePoint aNow) const
{
  if (aJob.isEnding || (aJob.WaitingCount() == 0 && aJob.delayedCount == 0)) {
    return std::nullopt;
  }
  if (auto rejection = this->CheckJob(aJob.spec)) {
    return rejection;
  }
  if (aJob.WaitingCount() == 0) {
    return Explanation{ "backing_off",
                        "a task exited soon after its start and is restarted after a delay",
                        "check the task's last error" };
  }
  if (aJob.IsGang() && aJob.activeCount > 0) {
    return Explanation{
      "gang_incomplete",
      "a task of the gang ended, so the others are stopped before the gang is restarted",
      "no action needed"
    };
  }
  Resources size = this->state.NextAttemptSize(aJob);
  std::uint32_t taskCount = aJob.IsGang() ? aJob.WaitingCount() : 1;
  if (!ClusterState::FitsCeiling(*aJob.team, size, taskCount)) {
    return this->ExplainCeilingReached(aJob, size);
  }
  if (this->preemption.HoldCount(aJob) > 0) {
    return Explanation{ "preempting",
                        "running work is being preempted to free capacity",
                        "no action needed" };
  }
  if (aJob.IsGang()) {
    return this->ExplainGangWait(aJob, aNow);
  }
  return this->ExplainFleetFull(aJob, size);
}

Explanation Explainer::ExplainCeilingReached(const Job& aJob, const Resources& aSize) const
{
  const Team& team = *aJob.team;
  return { "ceiling_reached",
           "team '" + team.policy.name + "' runs " + ToText(team.running) + " in " +
             std::to_string(team.runningTasks) + " tasks; its ceiling is " +
             ToText(team.policy.ceiling) + " in " + std::to_string(team.policy.maxRunningTasks) +
             " tasks; a task needs " + ToText(aSize),
           "wait for the team's work to end, cancel some of it, or raise the ceiling" };
}

Explanation Explainer::ExplainGangWait(const Job& aJob, TimePoint aNow) const
{
  std::string tasks = std::to_string(aJob.WaitingCount()) + " tasks must start together";
  if (this->gangs.ReservationHolder() == aJob.spec.number && this->gangs.ExpectedStart()) {
    double seconds = std::chrono::duration<double>(*this->gangs.ExpectedStart() - aNow).count();
    return { "gang_reserved",
             tasks + "; workers are reserved, start expected in " +
               std::to_string(static_cast<long long>(std::max(0.0, seconds))) + " s",
             "no action needed" };
  }
  if (this->gangs.ReservationHolder() != 0) {
    return { "behind_reservation",
             tasks + "; freed capacity is reserved for job " +
               std::to_string(this->gangs.ReservationHolder()),
             "wait, or use fewer or smaller tasks" };
  }
  return { "fleet_full", tasks + " but do not fit at the moment", "wait, or use fewer tasks" };
}

Explanation Explainer::ExplainFleetFull(const Job& aJob, const Resources& aSize) const
{
  const Team& team = *aJob.team;
  std::string message = "no worker has " + ToText(aSize) + " free";
  std::string advice = "wait for work to end or add workers";
  if (this->state.freeCapacityIndex.FitsLargestFree(aSize)) {
    message = "waiting for its turn in the queue";
    advice = "no action needed";
  }
  message += "; the team runs " + Percent(this->shares.Share(team)) +
             " of the region, its fair share is " + Percent(team.fairShare);
  for (const Domain& domain : this->state.domains) {
    if (domain.isDrained) {
      message += "; failure domain '" + domain.name + "' is out of service";
      advice = "return the failure domain to service or wait";
    }
  }
  if (this->reliability.QuarantinedCount() > 0) {
    message += "; " + std::to_string(this->reliability.QuarantinedCount()) +
               " workers are quarantined because different jobs failed on them";
  }
  if (this->gangs.ReservationHolder() != 0) {
    message += "; capacity is reserved for job " + std::to_string(this->gangs.ReservationHolder());
  }
  return { "fleet_full", message, advice };
}

} // namespace daisydrift::core
