#include "daisydrift/core/PolicySettings.h"

namespace daisydrift {

PolicySettings PolicySettings::ForWaitingTime()
{
  PolicySettings settings;
  settings.packingWeight = 0.5;
  settings.spreadWeight = 1.0;
  return settings;
}

PolicySettings PolicySettings::ForPacking()
{
  PolicySettings settings;
  settings.packingWeight = 2.0;
  settings.spreadWeight = 0.25;
  // A shorter half-life keeps momentary shares closer to the fair shares.
  settings.debtHalfLife = std::chrono::minutes(3);
  return settings;
}

} // namespace daisydrift
