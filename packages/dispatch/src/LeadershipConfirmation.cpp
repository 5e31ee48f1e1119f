#include "daisydrift/dispatch/LeadershipConfirmation.h"

#include <algorithm>
#include <cassert>
#include <functional>
#include <utility>

namespace daisydrift {

namespace {
/// The votes are counted after each poll of a small fleet, and of a large one after each poll of
/// one voter in so many: a count goes through all voters. A proof is then that much older, never
/// newer.
constexpr std::size_t kCountsPerPollOfAllVoters = 32;
} // namespace

LeadershipConfirmation::LeadershipConfirmation(std::optional<Voters> aEarlierVoters)
  : earlierVoterCount(aEarlierVoters ? aEarlierVoters->size() : 0)
  , earlierVotersLeft(std::move(aEarlierVoters))
{
}

void LeadershipConfirmation::OnStoreConfirmed(TimePoint aTime)
{
  this->storeConfirmedAt = std::max(this->storeConfirmedAt, aTime);
}

void LeadershipConfirmation::OnVotersSent(const Voters& aVoters)
{
  assert(!this->sentVoters);
  this->sentVoters = aVoters;
}

void LeadershipConfirmation::OnVotersStored()
{
  this->voters = *std::exchange(this->sentVoters, std::nullopt);
  std::erase_if(this->workers,
                [this](const auto& aWorker) { return this->voters.count(aWorker.first) == 0; });
}

void LeadershipConfirmation::OnPollAccepted(const WorkerId& aWorker,
                                            std::int64_t aIncarnation,
                                            TimePoint aSentAt,
                                            TimePoint aNow)
{
  auto [found, isNew] = this->workers.try_emplace(aWorker);
  WorkerState& worker = found->second;
  if (this->earlierVotersLeft) {
    this->earlierVotersLeft->erase(aWorker);
  }
  if (isNew || worker.incarnation != aIncarnation) {
    worker.incarnation = aIncarnation;
    worker.knownAt = aNow;
  }
  worker.acceptedAt = aSentAt;
  if (aSentAt <= this->ConfirmedAt()) {
    return; // Mostly so, since the store confirms the leadership with each transaction.
  }
  ++this->pollsSinceCount;
  if (this->pollsSinceCount * kCountsPerPollOfAllVoters < this->voters.size()) {
    return;
  }
  this->pollsSinceCount = 0;
  ++this->counts;
  TimePoint confirmed = this->ConfirmedBy(this->voters);
  if (this->sentVoters) {
    confirmed = std::min(confirmed, this->ConfirmedBy(*this->sentVoters));
  }
  this->workersConfirmedAt = std::max(this->workersConfirmedAt, confirmed);
}

TimePoint LeadershipConfirmation::AcceptedAt(const WorkerId& aWorker) const
{
  auto found = this->workers.find(aWorker);
  bool isCounted = found != this->workers.end() && this->storeConfirmedAt > found->second.knownAt;
  return isCounted ? found->second.acceptedAt : TimePoint();
}

TimePoint LeadershipConfirmation::ConfirmedBy(const Voters& aVoters) const
{
  std::vector<TimePoint> times;
  times.reserve(aVoters.size());
  for (const WorkerId& id : aVoters) {
    times.push_back(this->AcceptedAt(id));
  }
  if (times.empty()) {
    return TimePoint();
  }
  auto majority = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), majority, times.end(), std::greater<>());
  return *majority;
}

TimePoint LeadershipConfirmation::ConfirmedAt() const
{
  return std::max(this->storeConfirmedAt, this->workersConfirmedAt);
}

bool LeadershipConfirmation::HaveEarlierLeadersEnded() const
{
  return this->earlierVotersLeft && this->earlierVotersLeft->size() <= this->earlierVoterCount / 2;
}

std::size_t LeadershipConfirmation::CountAccepted(TimePoint aTime) const
{
  return static_cast<std::size_t>(
    std::count_if(this->voters.begin(), this->voters.end(), [this, aTime](const WorkerId& aId) {
      return this->AcceptedAt(aId) >= aTime;
    }));
}

} // namespace daisydrift
