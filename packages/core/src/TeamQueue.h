#pragma once
// Queue of a team's waiting jobs, grouped by kind and size.

#include "Entities.h"

namespace daisydrift::core {

/// Operations on the queue of a team. Each group is in exactly one of the team's three sets, the
/// one for its state. A group without jobs is removed.
class TeamQueue
{
public:
  /// Adds the job to its group, which is created if needed.
  static void Insert(Team& aTeam, Job& aJob);
  /// Removes the job from its group.
  static void Erase(Team& aTeam, Job& aJob);
  /// Moves a group to the set for aState.
  static void SetState(Team& aTeam, JobGroup& aGroup, JobGroupState aState);
  /// Makes all groups ready that are blocked by the ceiling.
  static void RetryCeilingReached(Team& aTeam);
  /// Makes those groups ready that found no worker and whose oldest job satisfies aCanFit.
  template<typename CanFit>
  static void RetryNoWorkerFits(Team& aTeam, CanFit aCanFit)
  {
    for (auto it = aTeam.noWorkerFits.begin(); it != aTeam.noWorkerFits.end();) {
      JobGroup& group = *it->second;
      ++it;
      if (aCanFit(*group.jobs.begin()->second)) {
        SetState(aTeam, group, JobGroupState::Ready);
      }
    }
  }

private:
  static std::set<std::pair<std::uint64_t, JobGroup*>>& GroupsIn(Team& aTeam, JobGroupState aState);
};

} // namespace daisydrift::core
