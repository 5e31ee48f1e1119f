#include "daisydrift/membership/SeatHolder.h"

#include "Charts.h"
#include "Records.h"

#include <algorithm>

namespace daisydrift {

namespace {

const std::string kSeatPrefix = "seats/";
/// Not below kSeatPrefix, so that a list of the seats does not return it.
const std::string kHistoryPrefix = "seat-history/";

std::string SeatKey(unsigned aSeat)
{
  return kSeatPrefix + std::to_string(aSeat);
}

/// Reads the seat number of a key; nothing when the key is not that of a seat.
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
  , state(aStore, aClock, aOptions, kSeatChart, "seat.chart")
{
}

std::error_code SeatHolder::Claim()
{
  if (this->state.Key().IsHeld()) {
    return Errc::NotPermitted;
  }
  if (auto error = this->ReadTable()) {
    return error;
  }
  // Candidates begin at different seats, so that instances that start together rarely collide.
  std::size_t first = std::hash<InstanceId>()(this->self.instance) % kSeatCount;
  for (unsigned i = 0; i < kSeatCount; ++i) {
    auto seat = static_cast<unsigned>((first + i) % kSeatCount);
    bool isTaken = std::any_of(this->table.begin(),
                               this->table.end(),
                               [&](const SeatRecord& aRecord) { return aRecord.seat == seat; });
    if (isTaken) {
      continue;
    }
    auto error = this->Take(seat);
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
    if (seat && ReadSeat(entry.value, record)) {
      record.seat = *seat;
      this->table.push_back(std::move(record));
    }
  }
  return {};
}

std::error_code SeatHolder::Take(unsigned aSeat)
{
  this->self.seat = aSeat;
  this->self.epoch = 0;
  auto error = this->state.Key().Claim(
    SeatKey(aSeat), [&](LeaseId aLease) { return WriteSeat(this->self, aLease); });
  if (error) {
    return error;
  }
  error = this->EnterTerm();
  if (error) {
    // The lease may have ended meanwhile. The term stays in the history; the next holder treats it
    // as unproved, which is safe.
    this->state.Key().Revoke();
    return error;
  }
  this->state.OnClaimed();
  this->state.Evidence().SetTable(this->OtherInstances());
  this->state.Fire("claimed");
  return {};
}

std::error_code SeatHolder::EnterTerm()
{
  auto term = this->History().Enter({ this->self.instance, this->self.address, this->self.epoch });
  if (!term) {
    return term.Error();
  }
  this->self.epoch = term->epoch;
  auto error = this->state.Key().Replace(WriteSeat(this->self, this->state.Key().Lease()));
  if (error) {
    return error;
  }
  this->formers = term->formers;
  this->unproved.clear();
  for (const RoleHolder& former : this->formers) {
    this->unproved.insert(former.instance);
  }
  this->heldSince = this->clock.Now();
  // The number of seats in a former holder's table is not known; that of a full table is safe.
  this->succession.emplace(kSeatCount - 1, this->heldSince);
  this->isReady = false;
  this->isSettled = this->formers.empty();
  return {};
}

std::error_code SeatHolder::Renew()
{
  if (!this->state.Key().IsHeld()) {
    return Errc::NotPermitted;
  }
  // The table is read before the renewal is sent: an instance that held its seat before this
  // holder's last renewal is then in its table, on which SupportLedger::Acknowledge relies.
  if (auto error = this->ReadTable()) {
    return error;
  }
  this->state.Evidence().SetTable(this->OtherInstances());
  if (auto error = this->state.Renew()) {
    return error;
  }
  if (this->isReady && !this->isSettled) {
    // When this fails it is done by the next renewal.
    this->isSettled = !this->History().Settle(this->self.epoch);
  }
  return {};
}

void SeatHolder::Release()
{
  if (!this->state.Key().IsHeld()) {
    return;
  }
  this->state.Fire("lost");
  if (this->isReady && !this->isSettled) {
    static_cast<void>(this->History().Settle(this->self.epoch));
  }
  // Without an answer the next holder waits, as after a crash.
  static_cast<void>(this->History().Leave(this->self.epoch));
  this->state.Key().Revoke();
}

bool SeatHolder::MayAct(TimePoint aNow)
{
  this->state.Refresh(aNow, this->isReady);
  if (this->state.Name() == "waiting" && (this->isReady || this->IsWaitOver(aNow))) {
    this->isReady = this->state.Fire("ready");
  }
  return this->state.Name() == "held" || this->state.Name() == "continuing";
}

bool SeatHolder::IsWaitOver(TimePoint aNow) const
{
  if (this->formers.empty()) {
    return true;
  }
  auto stoppedAt = this->succession->StoppedAt(aNow);
  return stoppedAt && aNow >= *stoppedAt + kLongestRequest;
}

bool SeatHolder::IsConfirmed(TimePoint aNow) const
{
  return this->state.Key().IsConfirmed(aNow);
}

std::optional<unsigned> SeatHolder::Seat() const
{
  return this->state.Key().IsHeld() ? std::optional<unsigned>(this->self.seat) : std::nullopt;
}

void SeatHolder::OnAcknowledgement(const InstanceId& aPeer,
                                   TimePoint aSentAt,
                                   TimePoint aReceivedAt)
{
  if (this->succession) {
    this->succession->OnAcknowledgement(aPeer, aSentAt, aReceivedAt);
  }
}

void SeatHolder::OnFormerStopped(const InstanceId& aFormer, TimePoint aNow)
{
  if (this->unproved.erase(aFormer) > 0 && this->unproved.empty()) {
    this->succession->OnProof(aNow);
  }
}

RoleHistory SeatHolder::History() const
{
  return { this->store, kHistoryPrefix + std::to_string(this->self.seat), this->options };
}

std::set<InstanceId> SeatHolder::OtherInstances() const
{
  std::set<InstanceId> others;
  for (const SeatRecord& record : this->table) {
    // Epoch 0 is a claim that is not complete.
    if (record.epoch != 0 && record.instance != this->self.instance) {
      others.insert(record.instance);
    }
  }
  return others;
}

} // namespace daisydrift
