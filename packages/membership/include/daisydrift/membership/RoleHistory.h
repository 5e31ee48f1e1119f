#pragma once
// The epochs and former holders of a role (a seat or a leadership), kept without a lease.

#include "daisydrift/membership/LeasedKey.h"

#include <string>
#include <vector>

namespace daisydrift {

/// One holder of a role.
struct RoleHolder
{
  InstanceId instance;
  /// Where its heartbeats are answered; a refused connection there proves that it stopped.
  std::string address;
  Epoch epoch = 0;

  bool operator==(const RoleHolder&) const = default;
};

/// Result of entering a role.
struct RoleTerm
{
  Epoch epoch = 0;
  /// Earlier holders that may still be acting.
  std::vector<RoleHolder> formers;
};

/// Counts the epochs of a role in a key without a lease, because the leased key disappears with its
/// holder and an epoch must never be used twice. The key also names the holders not known to have
/// stopped: a holder that dies before it has proof of its predecessor's stop must not hide it.
class RoleHistory
{
public:
  RoleHistory(Store& aStore, std::string aKey, LeaseOptions aOptions);

  /// Starts a new term with a higher epoch. aSelf.epoch is ignored. Earlier terms of the same
  /// instance are dropped, since it acts under the newest only. Errors: Corrupt and those of the
  /// store.
  Result<RoleTerm> Enter(const RoleHolder& aSelf);
  /// Notes that all former holders of the term have stopped. Errors: Conflict (there is a newer
  /// term), Corrupt and those of the store.
  std::error_code Settle(Epoch aEpoch);
  /// Notes that the holder of aEpoch has stopped. Former holders that are not settled stay.
  std::error_code Leave(Epoch aEpoch);

private:
  /// Reads, changes and writes the history until no other writer interferes.
  std::error_code Update(const std::function<std::error_code(RoleTerm&)>& aChange);

  Store& store;
  std::string key;
  LeaseOptions options;
};

} // namespace daisydrift
