#include "daisydrift/dispatch/AdmissionPolicy.h"

#include "StepRank.h"

#include <algorithm>

namespace daisydrift {

namespace {
/// A forecast that is older counts as twice as old. Announcements come each 0.7 s, so two have been
/// missed, and more may have changed than the work that was done.
constexpr std::chrono::seconds kTrustedAge{ 2 };
/// Percentage of the bound below which a scope that refuses admits again. Required by the
/// specification; without it, a forecast that varies around the bound refuses every other caller.
constexpr int kReleasePercent = 80;
/// Callers wait for three seconds and return four times; a longer delay is of no use to them.
constexpr std::chrono::seconds kMaxRetryAfter{ 60 };
/// Refused jobs whose first refusal is remembered: two minutes of a burst at 70 a second.
constexpr std::size_t kMaxRememberedJobs = 8192;
constexpr std::chrono::seconds kLeastSpread{ 2 };

/// True if the job is above its team's rate whenever it arrives within aAge of the forecast.
bool IsSurelyOverRate(const FleetForecast& aForecast, const TeamName& aTeam, Duration aAge)
{
  auto found = aForecast.rates.find(aTeam);
  if (found == aForecast.rates.end()) {
    return false;
  }
  const TeamRate& rate = found->second;
  double seconds = std::chrono::duration<double>(aAge).count();
  return rate.tokens + rate.perSecond * seconds < 1;
}
} // namespace

const char* NameOf(RefusalCause aCause)
{
  return aCause == RefusalCause::Backlog ? "backlog" : "team_ceiling";
}

std::optional<AdmissionRefusal> AdmissionPolicy::Decide(const JobId& aId,
                                                        const ForecastJob& aJob,
                                                        const FleetForecast& aForecast,
                                                        Duration aAge,
                                                        TimePoint aNow)
{
  auto queue = aForecast.queues.find(aJob.queue);
  auto team = aForecast.teams.find({ aJob.queue, aJob.team });
  auto error = aForecast.errors.find(aJob.queue);
  bool hasQueue = queue != aForecast.queues.end();
  bool hasTeam = team != aForecast.teams.end();
  if (!hasQueue) {
    this->refusing.erase({ aJob.queue, std::nullopt });
  }
  if (!hasTeam) {
    this->refusing.erase({ aJob.queue, aJob.team });
  }
  if (aAge > kMaxForecastAge || error == aForecast.errors.end()) {
    return std::nullopt;
  }
  auto fits = [&aJob](const LoadScope& aScope) {
    return aJob.largestTaskCores <= aScope.largestCores && aJob.largestGangCores <= aScope.cores;
  };
  if (aJob.exceedsCeiling || (hasQueue && !fits(queue->second)) ||
      (hasTeam && !fits(team->second))) {
    return std::nullopt;
  }
  bool isOverRate = IsSurelyOverRate(aForecast, aJob.team, aAge);
  Duration age = aAge > kTrustedAge ? aAge * 2 : aAge;
  std::optional<AdmissionRefusal> refusal;
  if (hasTeam) {
    refusal =
      this->DecideIn(team->second, { aJob.queue, aJob.team }, aJob, error->second, isOverRate, age);
    if (refusal) {
      refusal->cause = RefusalCause::TeamCeiling;
    }
  }
  if (hasQueue && !refusal) {
    refusal = this->DecideIn(
      queue->second, { aJob.queue, std::nullopt }, aJob, error->second, isOverRate, age);
  }
  if (refusal) {
    refusal->forecastAge = aAge;
    refusal->forecastSequence = aForecast.sequence;
    refusal->retryAfter =
      this->RetryAfter(aId, aJob, aForecast, refusal->expectedEnd - refusal->bound, aNow);
  }
  return refusal;
}

std::optional<AdmissionRefusal> AdmissionPolicy::DecideIn(const LoadScope& aScope,
                                                          const ScopeKey& aKey,
                                                          const ForecastJob& aJob,
                                                          const ForecastError& aError,
                                                          bool aIsOverRate,
                                                          Duration aAge)
{
  WaitEstimate estimate =
    WaitForecast::EstimateIn(aScope, aJob, aIsOverRate, aAge, aError.share * this->margin);
  Duration bound = aJob.objective * dispatch::kNoValueFactor;
  // The end if the forecast is too late by the tracked error.
  auto least = [&](Duration aEnd) {
    auto error = std::max(static_cast<double>(aError.time.count()),
                          static_cast<double>(aEnd.count()) * aError.share);
    return aEnd - Duration(static_cast<Duration::rep>(error * this->margin));
  };
  Duration leastEnd = least(estimate.lateEnd);
  Duration release = bound * kReleasePercent / 100;
  bool isRefusing = this->refusing.count(aKey) != 0;
  // A job that would take too long even on an idle fleet is not refused because of the load.
  if (least(estimate.inTimeEnd) <= aJob.objective || aJob.criticalPath > bound ||
      leastEnd <= (isRefusing ? release : bound)) {
    if (leastEnd <= release) {
      this->refusing.erase(aKey);
    }
    return std::nullopt;
  }
  this->refusing.insert(aKey);
  AdmissionRefusal refusal;
  refusal.expectedEnd = estimate.lateEnd;
  refusal.leastEnd = leastEnd;
  refusal.bound = bound;
  return refusal;
}

std::chrono::seconds AdmissionPolicy::RetryAfter(const JobId& aId,
                                                 const ForecastJob& aJob,
                                                 const FleetForecast& aForecast,
                                                 Duration aExcess,
                                                 TimePoint aNow)
{
  using std::chrono::seconds;
  std::pair<Epoch, std::uint64_t> version{ aForecast.term, aForecast.sequence };
  if (this->turnsOf != version) {
    this->turnsOf = version;
    this->turns.clear();
  }
  auto [first, isNew] = this->firstRefusals.emplace(aId, aNow);
  if (isNew) {
    this->refusedJobs.push_back(aId);
  }
  // The work above the bound must be done before a job like this one is admitted.
  seconds base = std::clamp(std::chrono::ceil<seconds>(aExcess), seconds(1), kMaxRetryAfter);
  bool hasWaited = aNow - first->second >= base;
  if (this->refusedJobs.size() > kMaxRememberedJobs) {
    this->firstRefusals.erase(this->refusedJobs.front());
    this->refusedJobs.pop_front();
  }
  if (hasWaited) {
    return base; // Before those that are refused for the first time.
  }
  std::int64_t turn = this->turns[{ aJob.queue, aJob.team }]++;
  seconds spread = std::max(kLeastSpread, base / 2);
  return std::min(base + seconds(turn % (spread.count() + 1)), kMaxRetryAfter);
}

} // namespace daisydrift
