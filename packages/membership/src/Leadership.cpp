#include "daisydrift/membership/Leadership.h"

#include "Charts.h"
#include "Records.h"

namespace daisydrift {

namespace {

/// Number of other seats assumed in a predecessor's seat table, which is not known. Any number from
/// 2 up is safe, since SuccessionQuorum has its highest value for all of them.
constexpr std::size_t kAssumedOtherSeats = 2;

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
  , role(aStore, aClock, aOptions, kLeadershipChart, "leadership.chart")
{
}

Result<Epoch> Leadership::Campaign(const std::set<InstanceId>& aPeers)
{
  if (this->role.Key().IsHeld()) {
    return Errc::NotPermitted;
  }
  // Reads the key first, since a read costs the store less than granting a lease in vain.
  auto current = this->store.Get(LeaderKey(this->region), this->options.callTimeout);
  if (current) {
    return Errc::Conflict;
  }
  if (current.Error() != Errc::NotFound) {
    return current.Error();
  }
  this->self.epoch = 0;
  auto error = this->role.Key().Claim(
    LeaderKey(this->region), [&](LeaseId aLease) { return SerializeLeader(this->self, aLease); });
  if (error) {
    return error;
  }
  error = this->EnterTerm();
  if (error) {
    this->role.Key().Revoke();
    return error;
  }
  this->role.OnClaimed();
  this->role.Evidence().SetOtherSeats(aPeers);
  this->role.Fire("elected");
  return this->epoch;
}

std::error_code Leadership::EnterTerm()
{
  auto term = HistoryOf(this->store, this->region, this->options).BeginTerm(this->self);
  if (!term) {
    return term.Error();
  }
  this->self.epoch = term->epoch;
  // Fails when the lease has ended meanwhile: an epoch is valid only while it is in the leased key.
  auto error = this->role.Key().Replace(SerializeLeader(this->self, this->role.Key().Lease()));
  if (error) {
    return error;
  }
  this->epoch = term->epoch;
  this->predecessors = term->predecessors;
  this->predecessorsWithoutStopProof.clear();
  for (const RoleHolder& predecessor : this->predecessors) {
    this->predecessorsWithoutStopProof.insert(predecessor.instance);
  }
  this->electedAt = this->clock.Now();
  this->stopDetector.emplace(kAssumedOtherSeats, this->electedAt);
  this->isHistoryCleared = this->predecessors.empty();
  return {};
}

std::error_code Leadership::Renew(const std::set<InstanceId>& aPeers)
{
  if (!this->role.Key().IsHeld()) {
    return Errc::NotPermitted;
  }
  this->role.Evidence().SetOtherSeats(aPeers);
  if (auto error = this->role.Renew()) {
    return error;
  }
  if (!this->isHistoryCleared && this->PredecessorsStoppedAt(this->clock.Now())) {
    this->isHistoryCleared =
      !HistoryOf(this->store, this->region, this->options).EndEarlierTerms(this->epoch);
  }
  return {};
}

void Leadership::StepDown()
{
  if (!this->role.Key().IsHeld()) {
    return;
  }
  this->role.Fire("lost");
  static_cast<void>(HistoryOf(this->store, this->region, this->options).EndTerm(this->epoch));
  this->role.Key().Revoke();
}

LeadershipStatus Leadership::Status(TimePoint aNow)
{
  this->role.Refresh(aNow, true);
  const std::string& name = this->role.StateName();
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
  if (this->stopDetector) {
    this->stopDetector->OnAcknowledgement(aPeer, aSentAt, aReceivedAt);
  }
}

void Leadership::OnPredecessorStopped(const InstanceId& aPredecessor, TimePoint aNow)
{
  if (this->predecessorsWithoutStopProof.erase(aPredecessor) > 0 &&
      this->predecessorsWithoutStopProof.empty()) {
    this->stopDetector->OnStopProved(aNow);
  }
}

std::optional<TimePoint> Leadership::PredecessorsStoppedAt(TimePoint aNow) const
{
  if (!this->stopDetector) {
    return std::nullopt;
  }
  return this->predecessors.empty() ? this->electedAt : this->stopDetector->StoppedAt(aNow);
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
  if (!ParseLeader(entry->value, leader)) {
    return Errc::Corrupt;
  }
  return leader;
}

} // namespace daisydrift
