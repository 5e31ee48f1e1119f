#pragma once
// What an instance has promised about the holders of seats and leaderships: the supporter's side.

#include "daisydrift/base.h"

#include <map>
#include <string>
#include <vector>

namespace daisydrift {

/// Remembers for each role (a seat or the leadership of a region) the holders seen and the
/// successors acknowledged. A promise is kept for the life of the process; a restarted process is
/// another instance and not in any holder's table.
class SupportLedger
{
public:
  /// The store showed aEpoch as holder of aRole, in answer to a read sent at aSentAt.
  void OnHolderSeen(const std::string& aRole, Epoch aEpoch, TimePoint aSentAt);
  /// A successor with aEpoch is known from another instance.
  void OnSuccessorKnown(const std::string& aRole, Epoch aEpoch);

  /// True while no successor of the holder with aEpoch is known or acknowledged.
  bool Supports(const std::string& aRole, Epoch aEpoch) const;

  /// Acknowledges the successor aSuccessor of aRole: from now on, holders of lower epochs are not
  /// supported. Returns whether the acknowledgement counts for the successor. It does when this
  /// instance is in the table of every former holder that may still be acting (aFormers). That is
  /// known when it has held its seat, since aSeatHeldSince, for longer than a lease of aTtl before
  /// it last saw that holder's key: the holder reads the table with each renewal, and the last one
  /// was at most aTtl before its key was seen.
  bool Acknowledge(const std::string& aRole,
                   Epoch aSuccessor,
                   const std::vector<Epoch>& aFormers,
                   TimePoint aSeatHeldSince,
                   bool aIsSeatConfirmed,
                   std::chrono::milliseconds aTtl);

private:
  struct Role
  {
    /// Highest epoch seen, known or acknowledged.
    Epoch highest = 0;
    /// When each holder was last seen in the store; the oldest are dropped.
    std::map<Epoch, TimePoint> lastSeen;
  };

  std::map<std::string, Role> roles;
};

} // namespace daisydrift
