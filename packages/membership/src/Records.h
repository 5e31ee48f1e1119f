#pragma once
// Stored forms of the values of this package: JSON, since they are small and read by people.

#include "daisydrift/membership/RoleHistory.h"
#include "daisydrift/membership/SeatHolder.h"

#include <string>

namespace daisydrift {

std::string WriteHistory(const RoleTerm& aHistory);
/// Returns false when aText is malformed.
bool ReadHistory(const std::string& aText, RoleTerm& aOut);

std::string WriteSeat(const SeatRecord& aSeat, LeaseId aLease);
/// Returns false when aText is malformed.
bool ReadSeat(const std::string& aText, SeatRecord& aOut);

/// Leader's key: holder and epoch.
std::string WriteLeader(const RoleHolder& aLeader, LeaseId aLease);
/// Returns false when aText is malformed.
bool ReadLeader(const std::string& aText, RoleHolder& aOut);

} // namespace daisydrift
