#include "TeamQueue.h"

#include <cassert>

namespace daisydrift::core {

std::set<std::pair<std::uint64_t, JobGroup*>>& TeamQueue::GroupsIn(Team& aTeam,
                                                                   JobGroupState aState)
{
  switch (aState) {
    case JobGroupState::Ready:
      return aTeam.ready;
    case JobGroupState::NoWorkerFits:
      return aTeam.noWorkerFits;
    case JobGroupState::CeilingReached:
      break;
  }
  return aTeam.ceilingReached;
}

void TeamQueue::Insert(Team& aTeam, Job& aJob)
{
  assert(aJob.group == nullptr);
  const Resources& size = aJob.spec.size;
  JobGroup::Key key{ aJob.spec.kind,
                     size.milliCores,
                     size.memoryMiB,
                     size.accelerators,
                     aJob.IsGang() || aJob.IsService() ? aJob.spec.number : 0 };
  auto [it, isNew] = aTeam.groups.try_emplace(key);
  JobGroup& group = it->second;
  if (isNew) {
    group.key = key;
  } else {
    GroupsIn(aTeam, group.state).erase({ group.headSequence, &group });
  }
  group.jobs.insert({ aJob.sequence, &aJob });
  group.headSequence = group.jobs.begin()->first;
  GroupsIn(aTeam, group.state).insert({ group.headSequence, &group });
  aJob.group = &group;
}

void TeamQueue::Erase(Team& aTeam, Job& aJob)
{
  assert(aJob.group != nullptr);
  JobGroup& group = *aJob.group;
  aJob.group = nullptr;
  group.jobs.erase({ aJob.sequence, &aJob });
  if (!group.jobs.empty() && group.jobs.begin()->first == group.headSequence) {
    return;
  }
  GroupsIn(aTeam, group.state).erase({ group.headSequence, &group });
  if (group.jobs.empty()) {
    JobGroup::Key key = group.key;
    aTeam.groups.erase(key);
    return;
  }
  group.headSequence = group.jobs.begin()->first;
  GroupsIn(aTeam, group.state).insert({ group.headSequence, &group });
}

void TeamQueue::SetState(Team& aTeam, JobGroup& aGroup, JobGroupState aState)
{
  if (aGroup.state == aState) {
    return;
  }
  GroupsIn(aTeam, aGroup.state).erase({ aGroup.headSequence, &aGroup });
  aGroup.state = aState;
  GroupsIn(aTeam, aState).insert({ aGroup.headSequence, &aGroup });
}

void TeamQueue::RetryCeilingReached(Team& aTeam)
{
  for (const auto& [sequence, group] : aTeam.ceilingReached) {
    group->state = JobGroupState::Ready;
    aTeam.ready.insert({ sequence, group });
  }
  aTeam.ceilingReached.clear();
}

} // namespace daisydrift::core
