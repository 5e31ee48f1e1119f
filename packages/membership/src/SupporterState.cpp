#include "daisydrift/membership/SupporterState.h"

#include "daisydrift/membership/PredecessorStopDetector.h"

#include <algorithm>

namespace daisydrift {

namespace {

/// Largest number of holders recorded for a role. A successor names the predecessors that may still
/// be active; more than a few of them would need as many crashes, each before the predecessor of
/// the crashed holder was known to have stopped.
constexpr std::size_t kMaxRememberedHolders = 16;

} // namespace

void SupporterState::OnHolderSeen(const std::string& aRole, Epoch aEpoch, TimePoint aSentAt)
{
  Role& role = this->roles[aRole];
  role.highestEpoch = std::max(role.highestEpoch, aEpoch);
  TimePoint& seen = role.lastSeen.try_emplace(aEpoch, aSentAt).first->second;
  seen = std::max(seen, aSentAt);
  if (role.lastSeen.size() > kMaxRememberedHolders) {
    role.lastSeen.erase(role.lastSeen.begin());
  }
}

void SupporterState::OnSuccessorKnown(const std::string& aRole, Epoch aEpoch)
{
  Role& role = this->roles[aRole];
  role.highestEpoch = std::max(role.highestEpoch, aEpoch);
}

bool SupporterState::Supports(const std::string& aRole, Epoch aEpoch) const
{
  auto found = this->roles.find(aRole);
  return found == this->roles.end() || aEpoch >= found->second.highestEpoch;
}

bool SupporterState::Acknowledge(const std::string& aRole,
                                 Epoch aSuccessor,
                                 const std::vector<Epoch>& aPredecessors,
                                 TimePoint aSeatHeldSince,
                                 bool aIsSeatConfirmed,
                                 std::chrono::milliseconds aTtl)
{
  Role& role = this->roles[aRole];
  if (aSuccessor < role.highestEpoch) {
    return false;
  }
  role.highestEpoch = aSuccessor;
  return aIsSeatConfirmed &&
         std::all_of(aPredecessors.begin(), aPredecessors.end(), [&](Epoch aPredecessor) {
           auto seen = role.lastSeen.find(aPredecessor);
           return seen != role.lastSeen.end() &&
                  aSeatHeldSince + aTtl + kClockMargin < seen->second;
         });
}

} // namespace daisydrift
