#pragma once
// Estimates of size and run time by team and job kind, from lagging usage reports.

#include "Entities.h"

namespace daisydrift::core {

/// Exponentially weighted mean and mean deviation of an observed quantity.
struct ExponentialAverage
{
  double mean = 0;
  double deviation = 0;
  /// Highest observed value, decaying towards the mean.
  double highest = 0;
  std::uint32_t samples = 0;

  /// Adds an observation.
  void Add(double aValue);
  /// Mean plus aDeviations times the mean deviation.
  double UpperBound(double aDeviations) const { return this->mean + aDeviations * this->deviation; }
  /// Mean deviation relative to the mean.
  double RelativeError() const { return this->mean > 0 ? this->deviation / this->mean : 0; }
};

/// Observed sizes and run times of the jobs of one team and kind.
struct Estimate
{
  /// Peak usage of the ended attempts, in thousandths of a core and in MiB.
  ExponentialAverage milliCores;
  ExponentialAverage memoryMiB;
  /// Run time of the successful attempts, in seconds.
  ExponentialAverage runSeconds;
};

/// All estimates. They are not persistent; a restarted process learns them anew.
class Estimates
{
public:
  /// Returns the estimate of a team and kind; adds it if it is new. The address is stable.
  Estimate& FindOrAdd(const TeamName& aTeam, const std::string& aKind)
  {
    return this->byKind[{ aTeam, aKind }];
  }
  /// All estimates, ordered by team and kind.
  const std::map<std::pair<TeamName, std::string>, Estimate>& All() const { return this->byKind; }

  /// Updates the estimate with an attempt that ended at aNow; its run time counts only if it
  /// succeeded.
  static void RecordAttempt(Estimate& aEstimate,
                            const Attempt& aAttempt,
                            bool aHasSucceeded,
                            TimePoint aNow);
  /// Declared size corrected by the estimate, once it has enough samples. Cores are never raised,
  /// since a task that wants more still runs with the declared cores. Accelerators are not changed.
  static Resources CorrectSize(const Estimate& aEstimate, const Resources& aDeclared);
  /// Expected run time: estimated if there are enough samples, else declared, else nothing.
  static std::optional<Duration> ExpectedRunTime(const Estimate& aEstimate, const JobSpec& aSpec);

private:
  std::map<std::pair<TeamName, std::string>, Estimate> byKind;
};

} // namespace daisydrift::core
