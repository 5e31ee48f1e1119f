#include "InterferenceController.h"

namespace daisydrift::dispatch {

namespace {
/// Speed of tasks after a standstill, before they return to full speed.
constexpr int kRecoverySpeedPercent = 50;
/// Hysteresis: a service counts as recovered only when its tail latency is below this fraction of
/// the target.
constexpr double kRecoveredShare = 0.9;
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
    if (attempt.step->spec->usesSpareCores && attempt.speedPercent != aWorker.speedPercent &&
        attempt.state == AttemptState::Running && !attempt.isStopping) {
      attempt.speedPercent = aWorker.speedPercent;
      const Step& step = *attempt.step;
      aRound.throttles.push_back(
        { { step.job->definition.id, step.occurrence, step.number, attempt.index },
          attempt.run,
          aWorker.listing.id,
          aWorker.speedPercent });
    }
  }
}

} // namespace daisydrift::dispatch
