#include "daisydrift/membership/SeatHolder.h"

#include "Charts.h"
#include "Records.h"

#include <algorithm>

namespace daisydrift {

namespace {

const std::string kSeatPrefix = "seats/";
/// Not below kSeatPrefix, so that a listing of the seats does not return the histories.
const std::string kSeatHistoryPrefix = "seat-history/";

std::string SeatKey(unsigned aSeat)
{
  return kSeatPrefix + std::to_string(aSeat);
}

/// Returns the seat number of a key; nothing when aKey is not the key of a seat.
std::optional<unsigned> SeatOfKey(const std::string& aKey)
{
  for (unsigned seat = 0; seat < kSeatCount; ++seat) {
    if (aKey == SeatKey(seat)) {
      return seat;
    }
  }
  return std::nullopt;
}

} // namespace

std::string SeatRole(unsigned aSeat)
{
  return "seat/" + std::to_string(aSeat);
}

SeatHolder::SeatHolder(Store& aStore, const Clock& aClock, SeatRecord aSelf, LeaseOptions aOptions)
  : store(aStore)
  , clock(aClock)
  , self(std::move(aSelf))
  , options(aOptions)
  , role(aStore, aClock, aOptions, kSeatChart, "seat.chart")
{
}

std::error_code SeatHolder::Claim()
{
  if (this->role.Key().IsHeld()) {
    return Errc::NotPermitted;
  }
  if (auto error = this->ReadTable()) {
    return error;
  }
  // Instances try the seats from different ones on, so that those that start together rarely
  // compete for the same seat.
  std::size_t firstSeat = std::hash<InstanceId>()(this->self.instance) % kSeatCount;
  for (unsigned i = 0; i < kSeatCount; ++i) {
    auto seat = static_cast<unsigned>((firstSeat + i) % kSeatCount);
    bool isTaken = std::any_of(this->table.begin(),
                               this->table.end(),
                               [&](const SeatRecord& aRecord) { return aRecord.seat == seat; });
    if (isTaken) {
      continue;
    }
    auto error = this->ClaimSeat(seat);
    if (error != Errc::Conflict) {
      return error;
    }
  }
  return Errc::LimitReached;
}

std::error_code SeatHolder::ReadTable()
{
  auto entries = this->store.List(kSeatPrefix, this->options.callTimeout);
  if (!entries) {
    return entries.Error();
  }
  this->table.clear();
  for (const StoreEntry& entry : *entries) {
    auto seat = SeatOfKey(entry.key);
    SeatRecord record;
    if (seat && ParseSeat(entry.value, record)) {
      record.seat = *seat;
      this->table.push_back(std::move(record));
    }
  }
  return {};
}

std::error_code SeatHolder::ClaimSeat(unsigned aSeat)
{
  this->self.seat = aSeat;
  this->self.epoch = 0;
  auto error = this->role.Key().Claim(
    SeatKey(aSeat), [&](LeaseId aLease) { return SerializeSeat(this->self, aLease); });
  if (error) {
    return error;
  }
  error = this->EnterTerm();
  if (error) {
    // The lease may have ended meanwhile. The term stays in the history; the next holder waits for
    // proof that it has ended, which is safe.
    this->role.Key().Revoke();
    return error;
  }
  this->role.OnClaimed();
  this->role.Evidence().SetOtherSeats(this->OtherInstances());
  this->role.Fire("claimed");
  return {};
}

std::error_code SeatHolder::EnterTerm()
{
  auto term =
    this->History().BeginTerm({ this->self.instance, this->self.address, this->self.epoch });
  if (!term) {
    return term.Error();
  }
  this->self.epoch = term->epoch;
  auto error = this->role.Key().Replace(SerializeSeat(this->self, this->role.Key().Lease()));
  if (error) {
    return error;
  }
  this->predecessors = term->predecessors;
  this->predecessorsWithoutStopProof.clear();
  for (const RoleHolder& predecessor : this->predecessors) {
    this->predecessorsWithoutStopProof.insert(predecessor.instance);
  }
  this->heldSince = this->clock.Now();
  // The number of seats in a predecessor's seat table is not known. That of a full table is safe,
  // since it gives the highest SuccessionQuorum.
  this->stopDetector.emplace(kSeatCount - 1, this->heldSince);
  this->isReady = false;
  this->isHistoryCleared = this->predecessors.empty();
  return {};
}

std::error_code SeatHolder::Renew()
{
  if (!this->role.Key().IsHeld()) {
    return Errc::NotPermitted;
  }
  // The table is read before the renewal is sent, so that it contains every instance that held its
  // seat before this holder's last renewal. SupporterState::Acknowledge relies on it.
  if (auto error = this->ReadTable()) {
    return error;
  }
  this->role.Evidence().SetOtherSeats(this->OtherInstances());
  if (auto error = this->role.Renew()) {
    return error;
  }
  if (this->isReady && !this->isHistoryCleared) {
    // When this fails, the next renewal repeats it.
    this->isHistoryCleared = !this->History().EndEarlierTerms(this->self.epoch);
  }
  return {};
}

void SeatHolder::Release()
{
  if (!this->role.Key().IsHeld()) {
    return;
  }
  this->role.Fire("lost");
  if (this->isReady && !this->isHistoryCleared) {
    static_cast<void>(this->History().EndEarlierTerms(this->self.epoch));
  }
  // When the call fails, the next holder waits as after a crash.
  static_cast<void>(this->History().EndTerm(this->self.epoch));
  this->role.Key().Revoke();
}

bool SeatHolder::CanUse(TimePoint aNow)
{
  this->role.Refresh(aNow, this->isReady);
  if (this->role.StateName() == "waiting" && (this->isReady || this->IsWaitOver(aNow))) {
    this->isReady = this->role.Fire("ready");
  }
  return this->role.StateName() == "held" || this->role.StateName() == "continuing";
}

bool SeatHolder::IsWaitOver(TimePoint aNow) const
{
  if (this->predecessors.empty()) {
    return true;
  }
  auto stoppedAt = this->stopDetector->StoppedAt(aNow);
  return stoppedAt && aNow >= *stoppedAt + kMaxRequestDuration;
}

bool SeatHolder::IsConfirmed(TimePoint aNow) const
{
  return this->role.Key().IsConfirmed(aNow);
}

std::optional<unsigned> SeatHolder::Seat() const
{
  return this->role.Key().IsHeld() ? std::optional<unsigned>(this->self.seat) : std::nullopt;
}

void SeatHolder::OnAcknowledgement(const InstanceId& aPeer,
                                   TimePoint aSentAt,
                                   TimePoint aReceivedAt)
{
  if (this->stopDetector) {
    this->stopDetector->OnAcknowledgement(aPeer, aSentAt, aReceivedAt);
  }
}

void SeatHolder::OnPredecessorStopped(const InstanceId& aPredecessor, TimePoint aNow)
{
  if (this->predecessorsWithoutStopProof.erase(aPredecessor) > 0 &&
      this->predecessorsWithoutStopProof.empty()) {
    this->stopDetector->OnStopProved(aNow);
  }
}

RoleHistory SeatHolder::History() const
{
  return { this->store, kSeatHistoryPrefix + std::to_string(this->self.seat), this->options };
}

std::set<InstanceId> SeatHolder::OtherInstances() const
{
  std::set<InstanceId> others;
  for (const SeatRecord& record : this->table) {
    // Epoch 0 means that the claim is not complete.
    if (record.epoch != 0 && record.instance != this->self.instance) {
      others.insert(record.instance);
    }
  }
  return others;
}

} // namespace daisydrift
