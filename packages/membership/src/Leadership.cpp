#include "daisydrift/membership/Leadership.h"

#include "Charts.h"
#include "Records.h"

namespace daisydrift {

namespace {

/// Number of other seats assumed in a former leader's table when it is not known; any number from
/// two up is safe.
constexpr std::size_t kUnknownOthers = 2;

std::string LeaderKey(const std::string& aRegion)
{
  return "scheduler/" + aRegion;
}

RoleHistory HistoryOf(Store& aStore, const std::string& aRegion, const LeaseOptions& aOptions)
{
  return { aStore, "scheduler-history/" + aRegion, aOptions };
}

} // namespace

std::string LeaderRole(const std::string& aRegion)
{
  return LeaderKey(aRegion);
}

Leadership::Leadership(Store& aStore,
                       const Clock& aClock,
                       std::string aRegion,
                       InstanceId aInstance,
                       std::string aAddress,
                       LeaseOptions aOptions)
  : store(aStore)
  , clock(aClock)
  , region(std::move(aRegion))
  , self{ std::move(aInstance), std::move(aAddress), 0 }
  , options(aOptions)
  , state(aStore, aClock, aOptions, kLeadershipChart, "leadership.chart")
{
}

Result<Epoch> Leadership::Campaign(const std::set<InstanceId>& aPeers)
{
  if (this->state.Key().IsHeld()) {
    return Errc::NotPermitted;
  }
  // A read is cheaper for the store than a lease that is not used.
  auto current = this->store.Get(LeaderKey(this->region), this->options.callTimeout);
  if (current) {
    return Errc::Conflict;
  }
  if (current.Error() != Errc::NotFound) {
    return current.Error();
  }
  this->self.epoch = 0;
  auto error = this->state.Key().Claim(
    LeaderKey(this->region), [&](LeaseId aLease) { return WriteLeader(this->self, aLease); });
  if (error) {
    return error;
  }
  error = this->EnterTerm();
  if (error) {
    this->state.Key().Revoke();
    return error;
  }
  this->state.OnClaimed();
  this->state.Evidence().SetTable(aPeers);
  this->state.Fire("elected");
  return this->epoch;
}

std::error_code Leadership::EnterTerm()
{
  auto term = HistoryOf(this->store, this->region, this->options).Enter(this->self);
  if (!term) {
    return term.Error();
  }
  this->self.epoch = term->epoch;
  // Fails when the lease has ended meanwhile: an epoch is in force only while it is in the key.
  auto error = this->state.Key().Replace(WriteLeader(this->self, this->state.Key().Lease()));
  if (error) {
    return error;
  }
  this->epoch = term->epoch;
  this->formers = term->formers;
  this->unproved.clear();
  for (const RoleHolder& former : this->formers) {
    this->unproved.insert(former.instance);
  }
  this->electedAt = this->clock.Now();
  this->succession.emplace(kUnknownOthers, this->electedAt);
  this->isSettled = this->formers.empty();
  return {};
}

std::error_code Leadership::Renew(const std::set<InstanceId>& aPeers)
{
  if (!this->state.Key().IsHeld()) {
    return Errc::NotPermitted;
  }
  this->state.Evidence().SetTable(aPeers);
  if (auto error = this->state.Renew()) {
    return error;
  }
  if (!this->isSettled && this->FormersStoppedAt(this->clock.Now())) {
    this->isSettled = !HistoryOf(this->store, this->region, this->options).Settle(this->epoch);
  }
  return {};
}

void Leadership::StepDown()
{
  if (!this->state.Key().IsHeld()) {
    return;
  }
  this->state.Fire("lost");
  static_cast<void>(HistoryOf(this->store, this->region, this->options).Leave(this->epoch));
  this->state.Key().Revoke();
}

LeadershipStatus Leadership::Status(TimePoint aNow)
{
  this->state.Refresh(aNow, true);
  const std::string& name = this->state.Name();
  if (name == "leading") {
    return LeadershipStatus::Leading;
  }
  if (name == "continuing") {
    return LeadershipStatus::Continuing;
  }
  return name == "doubtful" ? LeadershipStatus::Doubtful : LeadershipStatus::Follower;
}

void Leadership::OnAcknowledgement(const InstanceId& aPeer,
                                   TimePoint aSentAt,
                                   TimePoint aReceivedAt)
{
  if (this->succession) {
    this->succession->OnAcknowledgement(aPeer, aSentAt, aReceivedAt);
  }
}

void Leadership::OnFormerStopped(const InstanceId& aFormer, TimePoint aNow)
{
  if (this->unproved.erase(aFormer) > 0 && this->unproved.empty()) {
    this->succession->OnProof(aNow);
  }
}

std::optional<TimePoint> Leadership::FormersStoppedAt(TimePoint aNow) const
{
  if (!this->succession) {
    return std::nullopt;
  }
  return this->formers.empty() ? this->electedAt : this->succession->StoppedAt(aNow);
}

Result<RoleHolder> ReadLeaderOf(Store& aStore,
                                const std::string& aRegion,
                                std::chrono::milliseconds aTimeout)
{
  auto entry = aStore.Get(LeaderKey(aRegion), aTimeout);
  if (!entry) {
    return entry.Error();
  }
  RoleHolder leader;
  if (!ReadLeader(entry->value, leader)) {
    return Errc::Corrupt;
  }
  return leader;
}

} // namespace daisydrift
