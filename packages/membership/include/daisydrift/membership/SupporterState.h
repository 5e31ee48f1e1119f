#pragma once
// Which holders of seats and leaderships an instance supports, and which successors it has
// acknowledged.

#include "daisydrift/base.h"

#include <map>
#include <string>
#include <vector>

namespace daisydrift {

/// Records for each role (a seat or the leadership of a region) the holders seen and the successors
/// acknowledged. An acknowledgement is kept for the life of the process; a restarted process is
/// another instance and not in any holder's seat table. Not thread-safe.
class SupporterState
{
public:
  /// A read of the store sent at aSentAt showed the holder of aRole with aEpoch.
  void OnHolderSeen(const std::string& aRole, Epoch aEpoch, TimePoint aSentAt);
  /// Another instance reported a successor with aEpoch.
  void OnSuccessorKnown(const std::string& aRole, Epoch aEpoch);

  /// True while no successor of the holder with aEpoch is known or acknowledged.
  bool Supports(const std::string& aRole, Epoch aEpoch) const;

  /// Acknowledges the successor with epoch aSuccessor in aRole: holders of lower epochs are not
  /// supported any more. Returns whether the acknowledgement counts for the successor. It does when
  /// this instance holds a confirmed seat and is in the seat table of every predecessor that may
  /// still be active (aPredecessors). That is known when this instance had held its seat, since
  /// aSeatHeldSince, for longer than a lease of aTtl before it last saw that predecessor's key: a
  /// holder reads the seat table with each renewal, and its last renewal was at most aTtl before
  /// its key was seen.
  bool Acknowledge(const std::string& aRole,
                   Epoch aSuccessor,
                   const std::vector<Epoch>& aPredecessors,
                   TimePoint aSeatHeldSince,
                   bool aIsSeatConfirmed,
                   std::chrono::milliseconds aTtl);

private:
  struct Role
  {
    /// Highest epoch seen, reported or acknowledged.
    Epoch highestEpoch = 0;
    /// When each holder was last seen in the store; the lowest epochs are dropped.
    std::map<Epoch, TimePoint> lastSeen;
  };

  std::map<std::string, Role> roles;
};

} // namespace daisydrift
