#include "daisydrift/standins/HistoryCollector.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kTimeout{ 10 };

Json Fetch(const Endpoint& aEndpoint, const char* aPath)
{
  httplib::Client client(aEndpoint.address, aEndpoint.port);
  client.set_read_timeout(kTimeout);
  httplib::Result result = client.Get(aPath);
  return result ? Json::parse(result->body, nullptr, false) : Json();
}

std::string Milliseconds(const Json& aEntry)
{
  auto microseconds = aEntry.at("time_us").get<std::int64_t>();
  std::string fraction = std::to_string(1000 + microseconds % 1000).substr(1);
  return std::to_string(microseconds / 1000) + "." + fraction;
}

std::string Amounts(const Json& aResources)
{
  return " milli_cores=" + std::to_string(aResources.at("milli_cores").get<std::int64_t>()) +
         " memory_mib=" + std::to_string(aResources.at("memory_mib").get<std::int64_t>()) +
         " accelerators=" + std::to_string(aResources.at("accelerators").get<std::int64_t>());
}

std::string TeamOf(const Json& aEntry)
{
  Json payload = Json::parse(aEntry.value("payload", std::string()), nullptr, false);
  return payload.is_object() ? payload.value("team", std::string("unknown")) : "unknown";
}

void WriteWorker(const InstanceInfo& aWorker,
                 const Json& aHistory,
                 std::ostream& aOut,
                 CollectorCounts& aCounts)
{
  aOut << "event=worker at_ms=0 worker=" << aWorker.id
       << " failure_domain=" << aWorker.failureDomain << Amounts(aHistory.at("capacity")) << '\n';
  for (const Json& entry : aHistory.at("entries")) {
    std::string kind = entry.at("kind").get<std::string>();
    std::string common = " at_ms=" + Milliseconds(entry) + " worker=" + aWorker.id +
                         " attempt=" + entry.at("attempt").get<std::string>();
    if (kind == "started") {
      ++aCounts.taskStarts;
      aOut << "event=task_start" << common << " team=" << TeamOf(entry)
           << Amounts(entry.at("limit")) << '\n';
    } else if (kind == "resized") {
      aOut << "event=task_resized" << common << Amounts(entry.at("limit")) << '\n';
    } else if (kind == "succeeded" || kind == "failed" || kind == "stopped") {
      aCounts.taskSuccesses += kind == "succeeded" ? 1 : 0;
      aOut << "event=task_end" << common << '\n';
    }
  }
}

void WriteUpstream(const InstanceInfo& aUpstream,
                   const Json& aStats,
                   std::ostream& aOut,
                   CollectorCounts& aCounts)
{
  constexpr int kConnections = 64;
  aOut << "event=upstream at_ms=0 upstream=" << aUpstream.id
       << " slots=" << aStats.at("slots").get<unsigned>() << " connections=" << kConnections
       << '\n';
  for (const Json& entry : aStats.at("history")) {
    bool isStart = entry.at("kind").get<std::string>() == "start";
    aCounts.upstreamStarts += isStart ? 1 : 0;
    aOut << (isStart ? "event=upstream_start" : "event=upstream_end")
         << " at_ms=" << Milliseconds(entry) << " upstream=" << aUpstream.id
         << " request=" << entry.at("request").get<std::string>() << '\n';
  }
}

} // namespace

CollectorCounts CollectHistory(const CollectorTargets& aTargets, std::ostream& aOut)
{
  CollectorCounts counts;
  for (const InstanceInfo& instance : aTargets.instances) {
    bool isWorker = instance.kind == InstanceKind::Worker;
    Json json = Fetch(instance.endpoint, isWorker ? "/control/history" : "/control/stats");
    if (!json.is_object()) {
      ++counts.missing;
    } else if (isWorker) {
      WriteWorker(instance, json, aOut, counts);
    } else {
      WriteUpstream(instance, json, aOut, counts);
    }
  }
  return counts;
}

} // namespace daisydrift
