#include "FailureCount.h"

#include <algorithm>

namespace daisydrift::dispatch {

FailureCount::FailureCount(std::uint32_t aCount,
                           std::vector<RunNumber> aRuns,
                           RunNumber aLastCompletedRun)
  : count(aCount)
  , runs(std::move(aRuns))
{
  std::sort(this->runs.begin(), this->runs.end());
  this->runs.erase(std::unique(this->runs.begin(), this->runs.end()), this->runs.end());
  if (this->runs.size() < this->count) {
    this->lastKnownRun = this->runs.empty() ? aLastCompletedRun : this->runs.front();
  }
}

bool FailureCount::Add(RunNumber aRun)
{
  auto position = std::lower_bound(this->runs.begin(), this->runs.end(), aRun);
  bool isKnown = position != this->runs.end() && *position == aRun;
  if (isKnown || aRun <= this->lastKnownRun) {
    return false;
  }
  this->runs.insert(position, aRun);
  ++this->count;
  if (this->runs.size() > kMaxRuns) {
    this->lastKnownRun = this->runs.front();
    this->runs.erase(this->runs.begin());
  }
  return true;
}

} // namespace daisydrift::dispatch
