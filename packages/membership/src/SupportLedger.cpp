#include "daisydrift/membership/SupportLedger.h"

#include "daisydrift/membership/SuccessorClaim.h"

#include <algorithm>

namespace daisydrift {

namespace {

/// Holders remembered for each role. A successor names the former holders that may still act; more
/// than a few would need as many crashes within the succession time of each.
constexpr std::size_t kHoldersRemembered = 16;

} // namespace

void SupportLedger::OnHolderSeen(const std::string& aRole, Epoch aEpoch, TimePoint aSentAt)
{
  Role& role = this->roles[aRole];
  role.highest = std::max(role.highest, aEpoch);
  TimePoint& seen = role.lastSeen.try_emplace(aEpoch, aSentAt).first->second;
  seen = std::max(seen, aSentAt);
  if (role.lastSeen.size() > kHoldersRemembered) {
    role.lastSeen.erase(role.lastSeen.begin());
  }
}

void SupportLedger::OnSuccessorKnown(const std::string& aRole, Epoch aEpoch)
{
  Role& role = this->roles[aRole];
  role.highest = std::max(role.highest, aEpoch);
}

bool SupportLedger::Supports(const std::string& aRole, Epoch aEpoch) const
{
  auto found = this->roles.find(aRole);
  return found == this->roles.end() || aEpoch >= found->second.highest;
}

bool SupportLedger::Acknowledge(const std::string& aRole,
                                Epoch aSuccessor,
                                const std::vector<Epoch>& aFormers,
                                TimePoint aSeatHeldSince,
                                bool aIsSeatConfirmed,
                                std::chrono::milliseconds aTtl)
{
  Role& role = this->roles[aRole];
  if (aSuccessor < role.highest) {
    return false;
  }
  role.highest = aSuccessor;
  return aIsSeatConfirmed && std::all_of(aFormers.begin(), aFormers.end(), [&](Epoch aFormer) {
           auto seen = role.lastSeen.find(aFormer);
           return seen != role.lastSeen.end() &&
                  aSeatHeldSince + aTtl + kClockMargin < seen->second;
         });
}

} // namespace daisydrift
