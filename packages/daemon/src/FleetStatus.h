#pragma once
// JSON documents about the whole fleet.

#include "PeerTable.h"

#include "daisydrift/config.h"
#include "daisydrift/settings.h"

namespace daisydrift {

/// State of the instance that creates the document.
struct OwnStatus
{
  InstanceId instance;
  std::optional<unsigned> seat;
  std::string region;
  FailureDomain failureDomain;
  ConfigVersion configVersion = 0;
  bool isLeader = false;
  bool isStoreReachable = false;
};

/// Returns `{"instances": [...], "leader": ID or null, "teams": [...], "region": {...}}`. aRegion
/// is the leader's reply about its region; unless its status is 200, "region" is null and "teams"
/// is empty.
std::string FleetStatusJson(const OwnStatus& aOwn,
                            const std::vector<PeerInfo>& aPeers,
                            TimePoint aNow,
                            const CallReply& aRegion);

/// Returns `{"entries": [...], "anchor", "chunks"}`: the audit entries in the document, oldest
/// first, and its references to the older ones.
std::string AuditJson(const ConfigDocument& aDocument);

} // namespace daisydrift
