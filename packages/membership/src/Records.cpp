#include "Records.h"

#include <nlohmann/json.hpp>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

/// Parses aText and calls aRead with the JSON value; returns false when either fails.
template<typename Read>
bool ParseJson(const std::string& aText, Read aRead)
{
  try {
    aRead(Json::parse(aText));
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

Json HolderToJson(const RoleHolder& aHolder)
{
  return { { "instance", aHolder.instance },
           { "address", aHolder.address },
           { "epoch", aHolder.epoch } };
}

RoleHolder HolderFromJson(const Json& aJson)
{
  return { aJson.at("instance").get<std::string>(),
           aJson.at("address").get<std::string>(),
           aJson.at("epoch").get<Epoch>() };
}

} // namespace

std::string SerializeHistory(const RoleTerm& aHistory)
{
  Json predecessors = Json::array();
  for (const RoleHolder& predecessor : aHistory.predecessors) {
    predecessors.push_back(HolderToJson(predecessor));
  }
  return Json{ { "epoch", aHistory.epoch }, { "formers", predecessors } }.dump();
}

bool ParseHistory(const std::string& aText, RoleTerm& aOut)
{
  return ParseJson(aText, [&](const Json& aJson) {
    RoleTerm history{ aJson.at("epoch").get<Epoch>(), {} };
    for (const Json& predecessor : aJson.at("formers")) {
      history.predecessors.push_back(HolderFromJson(predecessor));
    }
    aOut = std::move(history);
  });
}

std::string SerializeSeat(const SeatRecord& aSeat, LeaseId aLease)
{
  return Json{
    { "instance", aSeat.instance },
    { "address", aSeat.address },
    { "failure_domain", aSeat.failureDomain },
    { "region", aSeat.region },
    { "epoch", aSeat.epoch },
    { "lease", aLease }
  }.dump();
}

bool ParseSeat(const std::string& aText, SeatRecord& aOut)
{
  return ParseJson(aText, [&](const Json& aJson) {
    aOut.instance = aJson.at("instance").get<std::string>();
    aOut.address = aJson.at("address").get<std::string>();
    aOut.failureDomain = aJson.at("failure_domain").get<std::string>();
    aOut.region = aJson.at("region").get<std::string>();
    aOut.epoch = aJson.at("epoch").get<Epoch>();
  });
}

std::string SerializeLeader(const RoleHolder& aLeader, LeaseId aLease)
{
  Json json = HolderToJson(aLeader);
  json["lease"] = aLease;
  return json.dump();
}

bool ParseLeader(const std::string& aText, RoleHolder& aOut)
{
  return ParseJson(aText, [&](const Json& aJson) { aOut = HolderFromJson(aJson); });
}

} // namespace daisydrift
