#include "RunTimeEstimator.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace daisydrift::dispatch {

namespace {
/// Number of runs with which a level counts as much as the one above it.
constexpr double kRunsOfEqualWeight = 8;
/// Runs over which the averages move, so that a change of an image shows after some fifty tasks.
constexpr double kWindow = 50;
/// Bounds on the ratio of a single run to its declared time. They leave room for declared times
/// that are off by 90% together with a run that takes seven times as long.
constexpr double kMinRatio = 1.0 / 16;
constexpr double kMaxRatio = 80;
/// Variance of the logarithm when nothing is known: two thirds of the tasks take between 0.74 and
/// 1.35 times the declared time.
constexpr double kInitialVariance = 0.09;
/// A larger declared time counts as this; a caller may declare one whose multiple is no Duration.
constexpr std::chrono::hours kLongestDeclared{ 24 * 365 };
/// Entries after which older ones are dropped; a process holds twice as many, some 2 MB.
constexpr std::size_t kMaxEntries = 4096;
constexpr int kLevels = 3;
constexpr int kWorkerLevel = kLevels;

using Names = std::tuple<int, std::string_view, std::string_view, std::string_view>;

std::array<Names, kLevels> LevelsOf(std::string_view aQueue,
                                    std::string_view aTeam,
                                    std::string_view aImage)
{
  return { Names(0, aQueue, "", ""), Names(1, aQueue, aTeam, ""), Names(2, aQueue, aTeam, aImage) };
}

/// Weight of a level against all above it.
double ShareOf(double aRuns)
{
  return aRuns / (aRuns + kRunsOfEqualWeight);
}

Duration Scale(Duration aDeclared, double aRatio)
{
  return std::chrono::duration_cast<Duration>(std::min<Duration>(aDeclared, kLongestDeclared) *
                                              std::min(aRatio, kMaxRatio));
}
} // namespace

void RunTimeEstimator::Statistics::Add(double aRatio)
{
  this->runs = std::min(this->runs + 1, kWindow);
  double weight = 1 / this->runs;
  double difference = std::log(aRatio) - this->logMean;
  this->logMean += weight * difference;
  this->logVariance = (1 - weight) * (this->logVariance + weight * difference * difference);
  this->ratioMean += weight * (aRatio - this->ratioMean);
}

RunTimeEstimator::Statistics& RunTimeEstimator::Ensure(const KeyView& aKey)
{
  auto found = this->recent.find(aKey);
  if (found != this->recent.end()) {
    return found->second;
  }
  if (this->recent.size() >= kMaxEntries) {
    this->older = std::move(this->recent);
    this->recent.clear();
  }
  const auto& [level, queue, team, image] = aKey;
  Key key(level, queue, team, image);
  auto earlier = this->older.extract(key);
  Statistics statistics = earlier ? earlier.mapped() : Statistics();
  return this->recent.emplace(std::move(key), statistics).first->second;
}

const RunTimeEstimator::Statistics* RunTimeEstimator::Find(const KeyView& aKey) const
{
  for (const auto* entries : { &this->recent, &this->older }) {
    auto found = entries->find(aKey);
    if (found != entries->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

void RunTimeEstimator::Add(std::string_view aQueue,
                           std::string_view aTeam,
                           std::string_view aImage,
                           std::string_view aWorker,
                           Duration aDeclared,
                           Duration aActual)
{
  if (aDeclared <= Duration(0) || aActual <= Duration(0)) {
    return;
  }
  auto ratioTo = [aActual](Duration aOther) {
    double ratio = std::chrono::duration<double>(aActual) / std::chrono::duration<double>(aOther);
    return std::clamp(ratio, kMinRatio, kMaxRatio);
  };
  Duration typical = this->Expected(aQueue, aTeam, aImage, aDeclared).typical;
  this->Ensure(KeyView(kWorkerLevel, aWorker, "", "")).Add(ratioTo(std::max(typical, Duration(1))));
  for (const Names& names : LevelsOf(aQueue, aTeam, aImage)) {
    this->Ensure(names).Add(ratioTo(aDeclared));
  }
}

RunTime RunTimeEstimator::Expected(std::string_view aQueue,
                                   std::string_view aTeam,
                                   std::string_view aImage,
                                   Duration aDeclared) const
{
  double logMean = 0;
  double ratioMean = 1;
  double variance = kInitialVariance;
  for (const Names& names : LevelsOf(aQueue, aTeam, aImage)) {
    if (const Statistics* known = this->Find(names)) {
      double share = ShareOf(known->runs);
      logMean += share * (known->logMean - logMean);
      ratioMean += share * (known->ratioMean - ratioMean);
      variance += share * (known->logVariance - variance);
    }
  }
  return { Scale(aDeclared, std::exp(logMean)), Scale(aDeclared, ratioMean), std::sqrt(variance) };
}

double RunTimeEstimator::SlownessOf(std::string_view aWorker) const
{
  const Statistics* known = this->Find(KeyView(kWorkerLevel, aWorker, "", ""));
  return known == nullptr ? 1 : std::exp(ShareOf(known->runs) * known->logMean);
}

void RunTimeEstimator::ForgetWorker(std::string_view aWorker)
{
  KeyView key(kWorkerLevel, aWorker, "", "");
  for (auto* entries : { &this->recent, &this->older }) {
    auto found = entries->find(key);
    if (found != entries->end()) {
      entries->erase(found);
    }
  }
}

} // namespace daisydrift::dispatch
