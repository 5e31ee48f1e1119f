#pragma once
// Epoch counter and earlier holders of a role (a seat or a leadership), stored without a lease.

#include "daisydrift/membership/LeasedKey.h"

#include <string>
#include <vector>

namespace daisydrift {

/// One holder of a role.
struct RoleHolder
{
  InstanceId instance;
  /// Address (HOST:PORT) at which it answers heartbeats; a refused connection there proves that it
  /// has stopped.
  std::string address;
  Epoch epoch = 0;

  bool operator==(const RoleHolder&) const = default;
};

/// A term of a role: the time for which one instance holds it, identified by its epoch.
struct RoleTerm
{
  Epoch epoch = 0;
  /// Earlier holders that may still be active.
  std::vector<RoleHolder> predecessors;
};

/// Counts the epochs of a role in a key without a lease, because the leased key disappears with its
/// holder and an epoch must never be used twice. The key also lists the holders not known to have
/// stopped: when a holder ends before it has proof that its predecessor has stopped, the next
/// holder must still learn of that predecessor.
class RoleHistory
{
public:
  RoleHistory(Store& aStore, std::string aKey, LeaseOptions aOptions);

  /// Begins a new term with a higher epoch. aSelf.epoch is ignored. Earlier terms of the same
  /// instance are removed, since it acts under its newest term only. Errors: Corrupt (malformed
  /// history) and those of the store.
  Result<RoleTerm> BeginTerm(const RoleHolder& aSelf);
  /// Records that the holders of all terms before aEpoch have stopped. Errors: Conflict (there is a
  /// newer term), Corrupt and those of the store.
  std::error_code EndEarlierTerms(Epoch aEpoch);
  /// Records that the holder of the term aEpoch has stopped. Its predecessors stay listed. Errors:
  /// Corrupt and those of the store.
  std::error_code EndTerm(Epoch aEpoch);

private:
  /// Reads, changes and writes the history; repeated after a conflicting write or a failed call, up
  /// to LeaseOptions::maxAttempts times. The history is stored as a RoleTerm: its epoch is the last
  /// one that was assigned, and its predecessors are all holders not known to have stopped, also
  /// the holder of that last epoch.
  std::error_code Update(const std::function<std::error_code(RoleTerm&)>& aChange);

  Store& store;
  std::string key;
  LeaseOptions options;
};

} // namespace daisydrift
