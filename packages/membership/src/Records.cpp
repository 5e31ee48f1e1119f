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

/// Highest epoch that is accepted. Epochs count elections, so a higher one is a mistake; with the
/// highest number of all, the next epoch would be 0.
constexpr Epoch kMaxEpoch = Epoch{ 1 } << 62U;

/// Reads a whole number up to kMaxEpoch; throws Json::exception for anything else.
Epoch EpochFromJson(const Json& aJson)
{
  const Json& epoch = aJson.at("epoch");
  if (!epoch.is_number_unsigned() || epoch.get<Epoch>() > kMaxEpoch) {
    throw Json::other_error::create(501, "epoch is out of range", nullptr);
  }
  return epoch.get<Epoch>();
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
           EpochFromJson(aJson) };
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
    RoleTerm history{ EpochFromJson(aJson), {} };
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
    // Complete or not at all: aOut may already hold a good record.
    SeatRecord seat = aOut;
    seat.instance = aJson.at("instance").get<std::string>();
    seat.address = aJson.at("address").get<std::string>();
    seat.failureDomain = aJson.at("failure_domain").get<std::string>();
    seat.region = aJson.at("region").get<std::string>();
    seat.epoch = EpochFromJson(aJson);
    aOut = std::move(seat);
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
