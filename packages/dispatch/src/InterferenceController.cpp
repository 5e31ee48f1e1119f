#include "InterferenceController.h"

#include <algorithm>

namespace daisydrift::dispatch {

namespace {
/// Speed of tasks after a standstill, before they return to full speed.
constexpr int kRecoverySpeedPercent = 50;
/// Hysteresis: a service counts as recovered only when its tail latency is below this fraction of
/// the target.
constexpr double kRecoveredShare = 0.9;
/// A report shows the effect of a throttle command only this long after its confirmation: a poll
/// may have been answered before, and progress is reported in whole percents.
constexpr std::chrono::milliseconds kThrottleEffectTime{ 1000 };
} // namespace

InterferenceController::InterferenceController(FleetState& aState)
  : state(aState)
{
}

void InterferenceController::OnReport(Worker& aWorker, TimePoint aNow) const
{
  bool isOver = false;
  bool isRecovered = true;
  for (const Attempt& attempt : aWorker.attempts) {
    Duration target = attempt.step->spec->tailLatencyTarget;
    if (target.count() == 0) {
      continue;
    }
    double limit = std::chrono::duration<double, std::milli>(target).count();
    isOver = isOver || attempt.tailLatencyMs > limit;
    isRecovered = isRecovered && attempt.tailLatencyMs < limit * kRecoveredShare;
  }
  if (isOver && aWorker.overTargetSince == TimePoint::max()) {
    aWorker.overTargetSince = aNow;
  } else if (isRecovered) {
    aWorker.overTargetSince = TimePoint::max();
  }
}

void InterferenceController::UpdateThrottles(Worker& aWorker,
                                             TimePoint aNow,
                                             DispatchRound& aRound) const
{
  const DispatchSettings& settings = this->state.settings;
  if (aWorker.overTargetSince != TimePoint::max() &&
      aNow - aWorker.overTargetSince >= settings.tailLatencyGracePeriod) {
    aWorker.speedPercent = 0;
    aWorker.throttledUntil = aNow + settings.throttleHold;
  } else if (aWorker.speedPercent < 100 && aNow >= aWorker.throttledUntil) {
    aWorker.speedPercent = aWorker.speedPercent == 0 ? kRecoverySpeedPercent : 100;
    aWorker.throttledUntil = aNow + settings.throttleHold;
  }
  for (Attempt& attempt : aWorker.attempts) {
    if (!attempt.step->spec->usesSpareCores || attempt.state != AttemptState::Running ||
        attempt.isStopping) {
      continue;
    }
    bool isNew = attempt.speedPercent != aWorker.speedPercent;
    if (isNew) {
      attempt.speedPercent = aWorker.speedPercent;
      attempt.wasThrottled = true;
      attempt.throttlesSent = 0;
    }
    if (attempt.confirmedSpeed == attempt.speedPercent && this->IsContradicted(attempt)) {
      attempt.confirmedSpeed.reset();
      attempt.throttlesSent = 0;
    }
    bool isDue = isNew || aNow - attempt.throttleSentAt > settings.stopRetryInterval;
    if (attempt.confirmedSpeed != attempt.speedPercent && isDue) {
      attempt.throttleSentAt = aNow;
      const Step& step = *attempt.step;
      aRound.throttles.push_back(
        { { step.job->definition.id, step.occurrence, step.number, attempt.index },
          attempt.run,
          aWorker.listing.id,
          attempt.speedPercent,
          attempt.throttlesSent++ });
    }
  }
}

void InterferenceController::OnConfirmed(Attempt& aAttempt, int aPercent, TimePoint aNow)
{
  // The response to an earlier command for another speed says nothing of the last one.
  if (aAttempt.speedPercent == aPercent) {
    aAttempt.confirmedSpeed = aPercent;
    aAttempt.speedConfirmedAt = aNow;
  }
}

void InterferenceController::MarkSpeedUnknown(Attempt& aAttempt)
{
  aAttempt.confirmedSpeed.reset();
  aAttempt.wasThrottled = true;
}

bool InterferenceController::IsContradicted(const Attempt& aAttempt) const
{
  if (!aAttempt.wasThrottled) {
    return false;
  }
  if (aAttempt.speedPercent == 0) {
    return aAttempt.progressChangedAt > aAttempt.speedConfirmedAt + kThrottleEffectTime;
  }
  TimePoint since = std::max(aAttempt.speedConfirmedAt, aAttempt.progressChangedAt);
  return aAttempt.listedAt - since > this->state.settings.stallTimeout;
}

} // namespace daisydrift::dispatch
