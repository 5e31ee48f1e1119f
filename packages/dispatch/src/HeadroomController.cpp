#include "HeadroomController.h"

#include <algorithm>

namespace daisydrift::dispatch {

namespace {
/// Part of the headroom that always stays, so that a few short tasks find room at once.
constexpr double kLeastPart = 0.2;
/// Times in which the headroom goes through its whole range.
constexpr std::chrono::milliseconds kShrinkTime{ 1000 };
constexpr std::chrono::milliseconds kGrowTime{ 300 };
/// A group of queues is at risk when more than one in this many of its waiting steps is.
constexpr std::size_t kStepsForOneAtRisk = 5;
/// Longest time that counts between two updates: after a pause nothing is known about it.
constexpr std::chrono::milliseconds kMaxUpdateTime{ 100 };
} // namespace

void HeadroomController::Waiting::Add(Duration aWaited, Duration aSlack, double aRiskShare)
{
  ++this->steps;
  auto limit = std::chrono::duration_cast<Duration>(aSlack * aRiskShare);
  this->atRisk += aWaited > std::max(limit, Duration(0)) ? 1 : 0;
}

bool HeadroomController::Waiting::IsAtRisk() const
{
  return this->atRisk > 1 && this->atRisk * kStepsForOneAtRisk > this->steps;
}

HeadroomController::HeadroomController(double aMost)
  : most(aMost)
  , headroom(aMost)
{
}

void HeadroomController::Update(const Waiting& aFirstPriority,
                                const Waiting& aLowerPriorities,
                                TimePoint aNow)
{
  Duration passed = std::clamp<Duration>(aNow - this->updatedAt, Duration(0), kMaxUpdateTime);
  this->updatedAt = aNow;
  bool isShrinking = aLowerPriorities.IsAtRisk() && !aFirstPriority.IsAtRisk();
  std::chrono::duration<double, Duration::period> range =
    isShrinking ? Duration(kShrinkTime) : Duration(kGrowTime);
  double step = this->most * (1 - kLeastPart) * (passed / range);
  this->headroom =
    std::clamp(this->headroom + (isShrinking ? -step : step), this->most * kLeastPart, this->most);
}

} // namespace daisydrift::dispatch
