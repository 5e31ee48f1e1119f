#include "LimitAdjuster.h"

#include <algorithm>

namespace daisydrift::core {

namespace {

/// Maximum number of attempts reviewed in one round, so that a burst of reports does not delay
/// starts.
constexpr std::size_t kMaxReviewsPerRound = 256;
/// Run time and number of usage reports before unused resources are reclaimed, because usage during
/// start-up is not typical.
constexpr std::chrono::seconds kMinRunTimeToReclaim{ 30 };
constexpr std::uint32_t kMinReportsToReclaim = 3;
/// A usage report that arrives this long after a reduction was decided shows that the worker has
/// received it: commands travel in the exchanges that bring reports, and this covers several of
/// them.
constexpr std::chrono::seconds kReductionDelay{ 5 };
/// Ratio of a reduced limit to the peak usage.
constexpr double kLimitHeadroomFactor = 1.25;
/// Minimum fraction of the limit that a reduction must release.
constexpr double kMinReclaimFraction = 0.2;
/// Fraction of the limit from which the usage counts as having reached it.
constexpr double kAtLimitFraction = 0.95;
/// Factor by which a limit that has been reached is raised.
constexpr double kGrowthFactor = 1.5;
/// Lower bound of a reduced limit.
constexpr Resources kMinLimit{ 50, 64, 0 };

std::int64_t Scaled(std::int64_t aAmount, double aFactor)
{
  return static_cast<std::int64_t>(static_cast<double>(aAmount) * aFactor);
}

bool IsAtLimit(std::int64_t aUsage, std::int64_t aLimit)
{
  return aLimit > 0 && aUsage >= Scaled(aLimit, kAtLimitFraction);
}

bool IsWorthReclaiming(std::int64_t aTarget, std::int64_t aLimit)
{
  return aTarget < Scaled(aLimit, 1 - kMinReclaimFraction);
}

} // namespace

LimitAdjuster::LimitAdjuster(ClusterState& aState, DecisionRecorder& aRecorder)
  : state(aState)
  , recorder(aRecorder)
{
}

void LimitAdjuster::OnUsage(Attempt& aAttempt, const Resources& aUsage, TimePoint aNow)
{
  aAttempt.usage = aUsage;
  aAttempt.peakUsage = Max(aAttempt.peakUsage, aUsage);
  ++aAttempt.usageReports;
  if (aAttempt.committed != aAttempt.limit && aNow - aAttempt.limitReducedAt >= kReductionDelay) {
    this->state.SetCommitted(aAttempt, aAttempt.limit);
    TeamQueue::RetryCeilingReached(*aAttempt.job->team);
  }
  if (!aAttempt.isUsageReviewPending) {
    aAttempt.isUsageReviewPending = true;
    this->pendingReviews.push_back(
      { { aAttempt.job->spec.number, aAttempt.taskIndex }, aAttempt.number });
  }
}

void LimitAdjuster::Run(TimePoint aNow)
{
  for (std::size_t i = 0; i < kMaxReviewsPerRound && !this->pendingReviews.empty(); ++i) {
    Attempt* attempt = this->state.FindAttempt(this->pendingReviews.front());
    this->pendingReviews.pop_front();
    if (attempt != nullptr) {
      attempt->isUsageReviewPending = false;
      if (!attempt->isStopping) {
        this->ReviewAttempt(*attempt, aNow);
      }
    }
  }
}

void LimitAdjuster::ReviewAttempt(Attempt& aAttempt, TimePoint aNow)
{
  if (IsAtLimit(aAttempt.usage.milliCores, aAttempt.limit.milliCores) ||
      IsAtLimit(aAttempt.usage.memoryMiB, aAttempt.limit.memoryMiB)) {
    this->RaiseLimit(aAttempt, aNow);
    return;
  }
  this->ReclaimUnused(aAttempt, aNow);
}

void LimitAdjuster::RaiseLimit(Attempt& aAttempt, TimePoint aNow)
{
  const Worker& worker = this->state.workers[aAttempt.worker];
  Job& job = *aAttempt.job;
  Resources wanted = aAttempt.limit;
  if (IsAtLimit(aAttempt.usage.milliCores, aAttempt.limit.milliCores)) {
    wanted.milliCores = Scaled(aAttempt.limit.milliCores, kGrowthFactor) + 1;
  }
  bool needsMemory = IsAtLimit(aAttempt.usage.memoryMiB, aAttempt.limit.memoryMiB);
  if (needsMemory) {
    wanted.memoryMiB =
      std::max(Scaled(aAttempt.limit.memoryMiB, kGrowthFactor), aAttempt.usage.memoryMiB) + 1;
  }
  wanted = Max(Min(wanted, worker.capacity), aAttempt.limit);
  // Capacity reserved for another job must not be used to raise limits.
  Resources available = worker.isReserved ? Resources() : worker.FreeCapacity();
  Resources more = wanted - aAttempt.committed;
  const Team& team = *job.team;
  Resources after = team.running + more;
  if (wanted != aAttempt.limit && more.FitsIn(available) && after.FitsIn(team.policy.ceiling)) {
    this->recorder.Throttle(aAttempt, wanted, aNow);
    return;
  }
  // The worker can throttle cores to the limit but not memory: the task ends or must be moved.
  bool hasOutgrown = needsMemory && aAttempt.usage.memoryMiB > aAttempt.limit.memoryMiB;
  if (hasOutgrown) {
    job.grownSize.memoryMiB = std::max(job.grownSize.memoryMiB, wanted.memoryMiB);
    this->outgrownJobs.push_back(job.spec.number);
    if (job.spec.isRepeatable) {
      this->recorder.StopWithGang(aAttempt, StopReason::OutgrewSize);
    }
  }
}

void LimitAdjuster::ReclaimUnused(Attempt& aAttempt, TimePoint aNow)
{
  bool hasStableUsage = aNow - aAttempt.assignedAt >= kMinRunTimeToReclaim &&
                        aAttempt.usageReports >= kMinReportsToReclaim &&
                        aAttempt.committed == aAttempt.limit;
  if (!hasStableUsage) {
    return;
  }
  Resources target = { Scaled(aAttempt.peakUsage.milliCores, kLimitHeadroomFactor),
                       Scaled(aAttempt.peakUsage.memoryMiB, kLimitHeadroomFactor),
                       0 };
  // The attempt may still need later in its run what other attempts of the kind have used.
  Resources corrected = Estimates::CorrectSize(*aAttempt.job->estimate, aAttempt.limit);
  if (aAttempt.job->estimate->milliCores.samples > 0) {
    target = Max(target, corrected);
  }
  target = Max(target, kMinLimit);
  target = Min(target, aAttempt.limit);
  target.accelerators = aAttempt.limit.accelerators;
  if (IsWorthReclaiming(target.milliCores, aAttempt.limit.milliCores) ||
      IsWorthReclaiming(target.memoryMiB, aAttempt.limit.memoryMiB)) {
    this->recorder.Throttle(aAttempt, target, aNow);
  }
}

} // namespace daisydrift::core
