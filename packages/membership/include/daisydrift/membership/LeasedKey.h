#pragma once
// A store key held under a lease, and the time for which its holder may rely on it.

#include "daisydrift/external.h"

#include <functional>

namespace daisydrift {

/// Parameters of leased keys.
struct LeaseOptions
{
  /// Time to live of a lease (docs/design.md, section 2.3). A lease is renewed once a second, so
  /// two renewals in a row may fail.
  std::chrono::milliseconds ttl{ 3000 };
  /// Timeout of one store call.
  std::chrono::milliseconds callTimeout{ 1000 };
  /// Attempts at a store call before an operation gives up.
  unsigned maxAttempts = 4;
};

/// Claims, renews and gives up one key. Not thread-safe. The lease counts as confirmed for its time
/// to live from the time the renewal was *sent*, on the local monotonic clock: the store can't have
/// counted it from an earlier time, however late the response arrives.
class LeasedKey
{
public:
  LeasedKey(Store& aStore, const Clock& aClock, LeaseOptions aOptions);

  /// Creates aKey, which must be absent. aMakeValue returns the value for a lease number; the
  /// number must be part of it, so that a claim whose response was lost can be told from an earlier
  /// one. Errors: Conflict (another holder), NotPermitted (a key is held already), and those of the
  /// store. After any other error than NotPermitted nothing is held.
  std::error_code Claim(const std::string& aKey,
                        const std::function<std::string(LeaseId)>& aMakeValue);
  /// Replaces the value if nobody has changed or deleted the key since the claim. Errors: Conflict
  /// (changed or deleted), NotPermitted (nothing is held), and those of the store.
  std::error_code Replace(const std::string& aValue);
  /// Renews the lease. Errors: LeaseExpired (the key is deleted and nothing is held any more),
  /// NotPermitted (nothing is held), and those of the store.
  std::error_code Renew();
  /// Gives up the key. Best effort: when the store call fails, the lease expires by itself.
  void Revoke();
  /// Gives up the key without a store call; the lease expires by itself.
  void Abandon() { this->lease = 0; }

  /// True while a key is held, confirmed or not.
  bool IsHeld() const { return this->lease != 0; }
  /// True while the lease is confirmed, so that no other instance can hold the key.
  bool IsConfirmed(TimePoint aNow) const { return this->IsHeld() && aNow < this->validUntil; }
  /// End of the time for which the lease is confirmed.
  TimePoint ValidUntil() const { return this->validUntil; }
  /// Lease that the key is bound to; 0 when nothing is held.
  LeaseId Lease() const { return this->lease; }

private:
  /// Writes the key. Reads it back to resolve a write whose response was lost.
  std::error_code Write(const std::string& aValue);

  Store& store;
  const Clock& clock;
  LeaseOptions options;
  std::string key;
  LeaseId lease = 0;
  Revision revision = 0;
  TimePoint validUntil = TimePoint::min();
};

} // namespace daisydrift
