#include "daisydrift/membership/LeasedKey.h"

namespace daisydrift {

LeasedKey::LeasedKey(Store& aStore, const Clock& aClock, LeaseOptions aOptions)
  : store(aStore)
  , clock(aClock)
  , options(aOptions)
{
}

std::error_code LeasedKey::Claim(const std::string& aKey,
                                 const std::function<std::string(LeaseId)>& aMakeValue)
{
  if (this->IsHeld()) {
    return Errc::NotPermitted;
  }
  TimePoint sentAt = this->clock.Now();
  // A grant whose response is lost leaves a lease without keys, which expires by itself.
  auto granted = this->store.GrantLease(this->options.ttl, this->options.callTimeout);
  if (!granted) {
    return granted.Error();
  }
  this->lease = *granted;
  this->key = aKey;
  this->revision = 0;
  this->validUntil = sentAt + this->options.ttl;
  auto error = this->Write(aMakeValue(this->lease));
  if (error) {
    this->Revoke();
  }
  return error;
}

std::error_code LeasedKey::Replace(const std::string& aValue)
{
  return this->IsHeld() ? this->Write(aValue) : make_error_code(Errc::NotPermitted);
}

std::error_code LeasedKey::Write(const std::string& aValue)
{
  std::error_code error = Errc::OutcomeUnknown;
  for (unsigned i = 0; i < this->options.maxAttempts && error == Errc::OutcomeUnknown; ++i) {
    auto written = this->store.CompareAndSwap(
      this->key, aValue, this->revision, this->lease, this->options.callTimeout);
    if (written) {
      this->revision = *written;
      return {};
    }
    error = written.Error();
    if (error != Errc::OutcomeUnknown && error != Errc::Conflict) {
      return error;
    }
    // The key is read after a conflict too: when a request is repeated, this holder's own earlier
    // write causes the conflict.
    auto entry = this->store.Get(this->key, this->options.callTimeout);
    if (entry && entry->value == aValue) {
      this->revision = entry->revision;
      return {};
    }
    bool isChanged = entry && entry->revision != this->revision;
    bool isDeleted = entry.Error() == Errc::NotFound && this->revision != 0;
    if (isChanged || isDeleted) {
      return Errc::Conflict;
    }
  }
  return error;
}

std::error_code LeasedKey::Renew()
{
  if (!this->IsHeld()) {
    return Errc::NotPermitted;
  }
  TimePoint sentAt = this->clock.Now();
  auto error = this->store.RenewLease(this->lease, this->options.callTimeout);
  if (!error) {
    this->validUntil = std::max(this->validUntil, sentAt + this->options.ttl);
  } else if (error == Errc::LeaseExpired) {
    this->lease = 0;
  }
  return error;
}

void LeasedKey::Revoke()
{
  if (this->IsHeld()) {
    static_cast<void>(this->store.RevokeLease(this->lease, this->options.callTimeout));
  }
  this->lease = 0;
}

} // namespace daisydrift
