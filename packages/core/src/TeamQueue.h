#pragma once
// Waiting jobs of a team, grouped by shape.

#include "Entities.h"

namespace daisydrift::core {

/// Operations on the queue of one team. A group is in exactly one of the team's three sets; a group
/// without jobs is dropped.
class TeamQueue
{
public:
  /// Adds the job to its group.
  static void Insert(Team& aTeam, Job& aJob);
  /// Takes the job out of its group.
  static void Erase(Team& aTeam, Job& aJob);
  /// Moves a group to the set of aState.
  static void SetState(Team& aTeam, Group& aGroup, GroupState aState);
  /// Makes all groups ready that wait for the ceiling.
  static void RetryCeiling(Team& aTeam);
  /// Makes the groups ready that found no worker and whose first job satisfies aMayFit.
  template<typename MayFit>
  static void RetryNoWorker(Team& aTeam, MayFit aMayFit)
  {
    for (auto it = aTeam.noWorkerFits.begin(); it != aTeam.noWorkerFits.end();) {
      Group& group = *it->second;
      ++it;
      if (aMayFit(*group.jobs.begin()->second)) {
        SetState(aTeam, group, GroupState::Ready);
      }
    }
  }

private:
  static std::set<std::pair<std::uint64_t, Group*>>& SetOf(Team& aTeam, GroupState aState);
};

} // namespace daisydrift::core
