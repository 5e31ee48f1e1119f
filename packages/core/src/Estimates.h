#pragma once
// Size and run-time estimates by team and job kind, from lagged usage.

#include "Entities.h"

namespace daisydrift::core {

/// Mean and mean deviation of one observed quantity, both exponentially weighted.
struct Moment
{
  double mean = 0;
  double deviation = 0;
  /// Highest value seen, decaying towards the mean.
  double highest = 0;
  std::uint32_t samples = 0;

  /// Adds an observation.
  void Add(double aValue);
  /// Mean plus aDeviations times the mean deviation.
  double Upper(double aDeviations) const { return this->mean + aDeviations * this->deviation; }
  /// Mean deviation as a share of the mean.
  double Error() const { return this->mean > 0 ? this->deviation / this->mean : 0; }
};

/// What is known of one kind of jobs of one team.
struct Estimate
{
  /// Peak of cores (thousandths) and memory (MiB) used by each ended attempt.
  Moment milliCores;
  Moment memoryMiB;
  /// Seconds that successful attempts ran.
  Moment runSeconds;
};

/// All estimates. A process rebuilds them after a restart.
class Estimates
{
public:
  /// The estimate of a kind; created when new. The address is stable.
  Estimate& Of(const TeamName& aTeam, const std::string& aKind)
  {
    return this->byKind[{ aTeam, aKind }];
  }
  /// All estimates by team and kind.
  const std::map<std::pair<TeamName, std::string>, Estimate>& All() const { return this->byKind; }

  /// Learns from an attempt that ended at aNow; a successful one also gives a run time.
  static void Learn(Estimate& aEstimate,
                    const Attempt& aAttempt,
                    bool aHasSucceeded,
                    TimePoint aNow);
  /// Declared size corrected by the estimate, once it has enough samples. Cores are never raised,
  /// since a task that wants more still runs with what it declared; accelerators are kept.
  static Resources Correct(const Estimate& aEstimate, const Resources& aDeclared);
  /// Expected run time: estimated, else declared, else nothing.
  static std::optional<Duration> RunTime(const Estimate& aEstimate, const JobSpec& aSpec);

private:
  std::map<std::pair<TeamName, std::string>, Estimate> byKind;
};

} // namespace daisydrift::core
