#include "UsageControl.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Attempts looked at in one round, so that a burst of reports does not delay starts.
constexpr std::size_t kMaxReviewed = 256;
/// Run time and reports before unused size is reclaimed: the start-up phase is not typical.
constexpr std::chrono::seconds kSettledRunTime{ 30 };
constexpr std::uint32_t kSettledReports = 3;
/// A report received this long after a reduction was decided shows that the worker was reached.
/// Commands travel with the exchange that brings reports; this is several exchanges.
constexpr std::chrono::seconds kReductionDelay{ 5 };
/// The limit keeps this margin above the highest usage.
constexpr double kMargin = 1.25;
/// A reduction must give back at least this part of the limit.
constexpr double kWorthwhile = 0.2;
/// Usage above this part of the limit means that the limit binds.
constexpr double kBinding = 0.95;
/// Growth of a binding limit.
constexpr double kGrowth = 1.5;
/// Smallest limit after a reduction.
constexpr Resources kSmallest{ 50, 64, 0 };

std::int64_t Scaled(std::int64_t aAmount, double aFactor)
{
  return static_cast<std::int64_t>(static_cast<double>(aAmount) * aFactor);
}

bool IsBinding(std::int64_t aUsage, std::int64_t aLimit)
{
  return aLimit > 0 && aUsage >= Scaled(aLimit, kBinding);
}

bool IsWorthwhile(std::int64_t aTarget, std::int64_t aLimit)
{
  return aTarget < Scaled(aLimit, 1 - kWorthwhile);
}

} // namespace

UsageControl::UsageControl(ClusterState& aState, Commands& aCommands)
  : state(aState)
  , commands(aCommands)
{
}

void UsageControl::OnUsage(Attempt& aAttempt, const Resources& aUsage, TimePoint aNow)
{
  aAttempt.usage = aUsage;
  aAttempt.peakUsage = Max(aAttempt.peakUsage, aUsage);
  ++aAttempt.usageReports;
  if (aAttempt.counted != aAttempt.limit && aNow - aAttempt.reducedAt >= kReductionDelay) {
    this->state.SetCounted(aAttempt, aAttempt.limit);
    TeamQueue::RetryCeiling(*aAttempt.job->team);
  }
  if (!aAttempt.isUsageDirty) {
    aAttempt.isUsageDirty = true;
    this->dirty.push_back({ { aAttempt.job->spec.number, aAttempt.taskIndex }, aAttempt.number });
  }
}

void UsageControl::Run(TimePoint aNow)
{
  for (std::size_t i = 0; i < kMaxReviewed && !this->dirty.empty(); ++i) {
    Attempt* attempt = this->state.FindAttempt(this->dirty.front());
    this->dirty.pop_front();
    if (attempt != nullptr) {
      attempt->isUsageDirty = false;
      if (!attempt->isStopping) {
        this->Review(*attempt, aNow);
      }
    }
  }
}

void UsageControl::Review(Attempt& aAttempt, TimePoint aNow)
{
  if (IsBinding(aAttempt.usage.milliCores, aAttempt.limit.milliCores) ||
      IsBinding(aAttempt.usage.memoryMiB, aAttempt.limit.memoryMiB)) {
    this->Raise(aAttempt, aNow);
    return;
  }
  this->Reclaim(aAttempt, aNow);
}

void UsageControl::Raise(Attempt& aAttempt, TimePoint aNow)
{
  const Worker& worker = this->state.workers[aAttempt.worker];
  Job& job = *aAttempt.job;
  Resources wanted = aAttempt.limit;
  if (IsBinding(aAttempt.usage.milliCores, aAttempt.limit.milliCores)) {
    wanted.milliCores = Scaled(aAttempt.limit.milliCores, kGrowth) + 1;
  }
  bool needsMemory = IsBinding(aAttempt.usage.memoryMiB, aAttempt.limit.memoryMiB);
  if (needsMemory) {
    wanted.memoryMiB =
      std::max(Scaled(aAttempt.limit.memoryMiB, kGrowth), aAttempt.usage.memoryMiB) + 1;
  }
  wanted = Max(Min(wanted, worker.capacity), aAttempt.limit);
  // Reserved room may not be used up by growth.
  Resources room = worker.isReserved ? Resources() : worker.Free();
  Resources more = wanted - aAttempt.counted;
  const Team& team = *job.team;
  Resources after = team.running + more;
  if (wanted != aAttempt.limit && more.FitsIn(room) && after.FitsIn(team.policy.ceiling)) {
    this->commands.Throttle(aAttempt, wanted, aNow);
    return;
  }
  // Cores are held to the limit by the worker. Memory cannot be: the task ends or must move.
  bool hasOutgrown = needsMemory && aAttempt.usage.memoryMiB > aAttempt.limit.memoryMiB;
  if (hasOutgrown) {
    job.grownSize.memoryMiB = std::max(job.grownSize.memoryMiB, wanted.memoryMiB);
    this->outgrown.push_back(job.spec.number);
    if (job.spec.isRepeatable) {
      this->commands.StopWhole(aAttempt, StopReason::OutgrewSize);
    }
  }
}

void UsageControl::Reclaim(Attempt& aAttempt, TimePoint aNow)
{
  bool isSettled = aNow - aAttempt.assignedAt >= kSettledRunTime &&
                   aAttempt.usageReports >= kSettledReports && aAttempt.counted == aAttempt.limit;
  if (!isSettled) {
    return;
  }
  Resources target = { Scaled(aAttempt.peakUsage.milliCores, kMargin),
                       Scaled(aAttempt.peakUsage.memoryMiB, kMargin),
                       0 };
  // What other attempts of the kind have used may still be needed later in the run.
  Resources corrected = Estimates::Correct(*aAttempt.job->estimate, aAttempt.limit);
  if (aAttempt.job->estimate->milliCores.samples > 0) {
    target = Max(target, corrected);
  }
  target = Max(target, kSmallest);
  target = Min(target, aAttempt.limit);
  target.accelerators = aAttempt.limit.accelerators;
  if (IsWorthwhile(target.milliCores, aAttempt.limit.milliCores) ||
      IsWorthwhile(target.memoryMiB, aAttempt.limit.memoryMiB)) {
    this->commands.Throttle(aAttempt, target, aNow);
  }
}

} // namespace daisydrift::core
