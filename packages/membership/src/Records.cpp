#include "Records.h"

#include <nlohmann/json.hpp>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

/// Parses aText and lets aRead take its members; false when either fails.
template<typename Read>
bool ReadJson(const std::string& aText, Read aRead)
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

std::string WriteHistory(const RoleTerm& aHistory)
{
  Json formers = Json::array();
  for (const RoleHolder& former : aHistory.formers) {
    formers.push_back(HolderToJson(former));
  }
  return Json{ { "epoch", aHistory.epoch }, { "formers", formers } }.dump();
}

bool ReadHistory(const std::string& aText, RoleTerm& aOut)
{
  return ReadJson(aText, [&](const Json& aJson) {
    RoleTerm history{ aJson.at("epoch").get<Epoch>(), {} };
    for (const Json& former : aJson.at("formers")) {
      history.formers.push_back(HolderFromJson(former));
    }
    aOut = std::move(history);
  });
}

std::string WriteSeat(const SeatRecord& aSeat, LeaseId aLease)
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

bool ReadSeat(const std::string& aText, SeatRecord& aOut)
{
  return ReadJson(aText, [&](const Json& aJson) {
    aOut.instance = aJson.at("instance").get<std::string>();
    aOut.address = aJson.at("address").get<std::string>();
    aOut.failureDomain = aJson.at("failure_domain").get<std::string>();
    aOut.region = aJson.at("region").get<std::string>();
    aOut.epoch = aJson.at("epoch").get<Epoch>();
  });
}

std::string WriteLeader(const RoleHolder& aLeader, LeaseId aLease)
{
  Json json = HolderToJson(aLeader);
  json["lease"] = aLease;
  return json.dump();
}

bool ReadLeader(const std::string& aText, RoleHolder& aOut)
{
  return ReadJson(aText, [&](const Json& aJson) { aOut = HolderFromJson(aJson); });
}

} // namespace daisydrift
