#include "FleetStatus.h"

#include <nlohmann/json.hpp>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

/// A peer whose last heartbeat reply is older is shown as not responding.
constexpr std::chrono::seconds kMaxReplyAge{ 5 };

Json OwnJson(const OwnStatus& aOwn)
{
  Json json = { { "id", aOwn.instance },
                { "region", aOwn.region },
                { "failure_domain", aOwn.failureDomain },
                { "config_version", aOwn.configVersion },
                { "is_leader", aOwn.isLeader },
                { "store_reachable", aOwn.isStoreReachable },
                { "answers", true } };
  json["seat"] = aOwn.seat ? Json(*aOwn.seat) : Json();
  return json;
}

Json PeerJson(const PeerInfo& aPeer, TimePoint aNow)
{
  bool isResponding =
    aPeer.lastReply && !aPeer.isConnectionRefused && aNow - aPeer.lastReplyTime <= kMaxReplyAge;
  // The epoch in a heartbeat is that of the sender's own leadership; 0 when it does not lead.
  return { { "id", aPeer.seat.instance },
           { "seat", aPeer.seat.seat },
           { "region", aPeer.seat.region },
           { "failure_domain", aPeer.seat.failureDomain },
           { "config_version", aPeer.lastReply ? aPeer.lastReply->configVersion : 0 },
           { "is_leader", isResponding && aPeer.lastReply->highestEpoch != 0 },
           { "store_reachable", isResponding && aPeer.lastReply->isStoreReachable },
           { "answers", isResponding } };
}

} // namespace

std::string FleetStatusJson(const OwnStatus& aOwn,
                            const std::vector<PeerInfo>& aPeers,
                            TimePoint aNow,
                            const CallReply& aRegion)
{
  Json instances = Json::array({ OwnJson(aOwn) });
  for (const PeerInfo& peer : aPeers) {
    instances.push_back(PeerJson(peer, aNow));
  }
  Json leader;
  for (const Json& instance : instances) {
    if (instance["is_leader"].get<bool>()) {
      leader = instance["id"];
    }
  }
  Json region = aRegion.status == 200 ? Json::parse(aRegion.body, nullptr, false) : Json();
  Json teams = region.is_object() && region.contains("teams") ? region["teams"] : Json::array();
  Json json = {
    { "instances", instances }, { "leader", leader }, { "teams", teams }, { "region", region }
  };
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string AuditJson(const ConfigDocument& aDocument)
{
  Json entries = Json::array();
  for (const AuditEntry& entry : aDocument.audit) {
    entries.push_back(Json::parse(ToJsonText(EncodeAuditEntry(entry)), nullptr, false));
  }
  return Json{
    { "entries", entries }, { "anchor", aDocument.auditAnchor }, { "chunks", aDocument.auditChunks }
  }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace daisydrift
