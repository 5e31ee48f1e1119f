#pragma once
// Decides whether a new job is admitted or refused because of the load.

#include "daisydrift/dispatch/WaitForecast.h"

#include <set>
#include <unordered_map>

namespace daisydrift {

enum class RefusalCause
{
  /// The workers of the queue's service have too much work before the job.
  Backlog,
  /// The team's resource ceiling has.
  TeamCeiling
};

/// Text for logs and metrics.
const char* NameOf(RefusalCause aCause);

/// Why a job is refused.
struct AdmissionRefusal
{
  RefusalCause cause = RefusalCause::Backlog;
  /// Expected end, the least one by the tracked error, and the bound that it exceeds; all from now.
  Duration expectedEnd{ 0 };
  Duration leastEnd{ 0 };
  Duration bound{ 0 };
  Duration forecastAge{ 0 };
  std::uint64_t forecastSequence = 0;
  /// Time after which the caller is to return.
  std::chrono::seconds retryAfter{ 1 };
};

/// Refuses a job that ends without value however wrong the forecast is by its tracked error.
/// Addresses a burst, or a team with many times its usual load: what is accepted beyond the work
/// that can be done displaces accepted jobs, and its callers learn too late that it is not done.
///
/// Everything else is admitted: without a recent forecast, before its error is known, and jobs that
/// can't run for other reasons than the load, whose callers are owed the final state. Services and
/// jobs with due times are not passed to this policy.
class AdmissionPolicy
{
public:
  /// Older forecasts refuse nothing.
  static constexpr std::chrono::seconds kMaxForecastAge{ 5 };

  /// aMargin multiplies the tracked error.
  explicit AdmissionPolicy(double aMargin)
    : margin(aMargin)
  {
  }

  /// Decides on the job aId by a forecast that was computed aAge ago; empty when it is admitted.
  std::optional<AdmissionRefusal> Decide(const JobId& aId,
                                         const ForecastJob& aJob,
                                         const FleetForecast& aForecast,
                                         Duration aAge,
                                         TimePoint aNow);

private:
  using ScopeKey = std::pair<QueueName, std::optional<TeamName>>;

  std::optional<AdmissionRefusal> DecideIn(const LoadScope& aScope,
                                           const ScopeKey& aKey,
                                           const ForecastJob& aJob,
                                           const ForecastError& aError,
                                           bool aIsOverRate,
                                           Duration aAge);
  std::chrono::seconds RetryAfter(const JobId& aId,
                                  const ForecastJob& aJob,
                                  const FleetForecast& aForecast,
                                  Duration aExcess,
                                  TimePoint aNow);

  double margin;
  /// Scopes that refuse; they go on until the forecast is well under the bound.
  std::set<ScopeKey> refusing;
  /// Time of the first refusal of each job, of the last ones, in this order.
  std::unordered_map<JobId, TimePoint> firstRefusals;
  std::deque<JobId> refusedJobs;
  /// Refusals of each queue and team by the forecast with this term and sequence.
  std::map<std::pair<QueueName, TeamName>, std::int64_t> turns;
  std::pair<Epoch, std::uint64_t> turnsOf;
};

} // namespace daisydrift
