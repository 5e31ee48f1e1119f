#include "TeamQueue.h"

#include <cassert>

namespace daisydrift::core {

std::set<std::pair<std::uint64_t, Group*>>& TeamQueue::SetOf(Team& aTeam, GroupState aState)
{
  switch (aState) {
    case GroupState::Ready:
      return aTeam.ready;
    case GroupState::NoWorkerFits:
      return aTeam.noWorkerFits;
    case GroupState::CeilingReached:
      break;
  }
  return aTeam.ceilingReached;
}

void TeamQueue::Insert(Team& aTeam, Job& aJob)
{
  assert(aJob.group == nullptr);
  const Resources& size = aJob.spec.size;
  Group::Key key{ aJob.spec.kind,
                  size.milliCores,
                  size.memoryMiB,
                  size.accelerators,
                  aJob.IsGang() || aJob.IsService() ? aJob.spec.number : 0 };
  auto [it, isNew] = aTeam.groups.try_emplace(key);
  Group& group = it->second;
  if (isNew) {
    group.key = key;
  } else {
    SetOf(aTeam, group.state).erase({ group.headSequence, &group });
  }
  group.jobs.insert({ aJob.sequence, &aJob });
  group.headSequence = group.jobs.begin()->first;
  SetOf(aTeam, group.state).insert({ group.headSequence, &group });
  aJob.group = &group;
}

void TeamQueue::Erase(Team& aTeam, Job& aJob)
{
  assert(aJob.group != nullptr);
  Group& group = *aJob.group;
  aJob.group = nullptr;
  group.jobs.erase({ aJob.sequence, &aJob });
  if (!group.jobs.empty() && group.jobs.begin()->first == group.headSequence) {
    return;
  }
  SetOf(aTeam, group.state).erase({ group.headSequence, &group });
  if (group.jobs.empty()) {
    Group::Key key = group.key;
    aTeam.groups.erase(key);
    return;
  }
  group.headSequence = group.jobs.begin()->first;
  SetOf(aTeam, group.state).insert({ group.headSequence, &group });
}

void TeamQueue::SetState(Team& aTeam, Group& aGroup, GroupState aState)
{
  if (aGroup.state == aState) {
    return;
  }
  SetOf(aTeam, aGroup.state).erase({ aGroup.headSequence, &aGroup });
  aGroup.state = aState;
  SetOf(aTeam, aState).insert({ aGroup.headSequence, &aGroup });
}

void TeamQueue::RetryCeiling(Team& aTeam)
{
  for (const auto& [sequence, group] : aTeam.ceilingReached) {
    group->state = GroupState::Ready;
    aTeam.ready.insert({ sequence, group });
  }
  aTeam.ceilingReached.clear();
}

} // namespace daisydrift::core
