#pragma once
// JSON answers about the whole fleet.

#include "PeerTable.h"

#include "daisydrift/config.h"
#include "daisydrift/settings.h"

namespace daisydrift {

/// State of the instance that answers.
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

/// `{"instances": [...], "leader": ID or null, "teams": [...], "region": {...}}`. aRegion is the
/// leader's answer about its region; when it is no success the region is null.
std::string FleetStatusJson(const OwnStatus& aOwn,
                            const std::vector<PeerInfo>& aPeers,
                            TimePoint aNow,
                            const CallReply& aRegion);

/// `{"entries": [...]}`: the audit entries in the document, oldest first.
std::string AuditJson(const ConfigDocument& aDocument);

} // namespace daisydrift
