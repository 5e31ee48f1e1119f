#include "daisydrift/membership/ConfigFreshness.h"

#include <algorithm>

namespace daisydrift {

bool ConfigFreshness::OnStoreResponse(std::uint64_t aVersion, TimePoint aSentAt)
{
  if (aVersion < this->version) {
    return false;
  }
  bool isNew = aVersion > this->version;
  this->version = aVersion;
  this->Confirm(aSentAt);
  return isNew;
}

void ConfigFreshness::OnWatchUnchanged(TimePoint aSentAt)
{
  if (this->version != 0) {
    this->Confirm(aSentAt);
  }
}

bool ConfigFreshness::OnPeerVersion(std::uint64_t aVersion) const
{
  return aVersion > this->version;
}

bool ConfigFreshness::OnPeerDocument(std::uint64_t aVersion)
{
  if (aVersion <= this->version) {
    return false;
  }
  this->version = aVersion;
  return true;
}

void ConfigFreshness::OnOutageEvidence(TimePoint aSince)
{
  if (this->version != 0) {
    this->confirmedAt = std::max(this->confirmedAt, aSince);
  }
}

bool ConfigFreshness::CanAcceptAuthenticatedRequests(TimePoint aNow) const
{
  return this->IsConfirmedWithin(kMaxConfigAge, aNow);
}

bool ConfigFreshness::CanStartTasks(TimePoint aNow) const
{
  return this->IsConfirmedWithin(kMaxLeaderConfigAge, aNow);
}

bool ConfigFreshness::IsFallbackReadDue(TimePoint aNow, bool aIsLeader) const
{
  return this->lastRead + (aIsLeader ? kLeaderFallbackReadInterval : kFallbackReadInterval) <= aNow;
}

void ConfigFreshness::OnFallbackRead(TimePoint aNow)
{
  this->lastRead = std::max(this->lastRead, aNow);
}

bool ConfigFreshness::IsConfirmedWithin(Duration aAge, TimePoint aNow) const
{
  return this->version != 0 && aNow < this->confirmedAt + aAge;
}

void ConfigFreshness::Confirm(TimePoint aSentAt)
{
  this->confirmedAt = std::max(this->confirmedAt, aSentAt);
  this->lastRead = std::max(this->lastRead, aSentAt);
}

} // namespace daisydrift
