#pragma once
// JSON serialization of the values that this package stores; JSON, since the values are small and
// are read by operators.

#include "daisydrift/membership/RoleHistory.h"
#include "daisydrift/membership/SeatHolder.h"

#include <string>

namespace daisydrift {

std::string SerializeHistory(const RoleTerm& aHistory);
/// Returns false when aText is malformed.
bool ParseHistory(const std::string& aText, RoleTerm& aOut);

std::string SerializeSeat(const SeatRecord& aSeat, LeaseId aLease);
/// Returns false when aText is malformed.
bool ParseSeat(const std::string& aText, SeatRecord& aOut);

/// Value of a leader's key: holder, epoch and lease number.
std::string SerializeLeader(const RoleHolder& aLeader, LeaseId aLease);
/// Returns false when aText is malformed.
bool ParseLeader(const std::string& aText, RoleHolder& aOut);

} // namespace daisydrift
