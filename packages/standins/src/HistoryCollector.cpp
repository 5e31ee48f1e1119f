#include "daisydrift/standins/HistoryCollector.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace daisydrift {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kReadTimeout{ 10 };

Json FetchJson(const Endpoint& aEndpoint, const char* aPath)
{
  httplib::Client client(aEndpoint.address, aEndpoint.port);
  client.set_read_timeout(kReadTimeout);
  httplib::Result result = client.Get(aPath);
  return result ? Json::parse(result->body, nullptr, false) : Json();
}

std::string FormatMilliseconds(const Json& aEntry)
{
  auto microseconds = aEntry.at("time_us").get<std::int64_t>();
  std::string fraction = std::to_string(1000 + microseconds % 1000).substr(1);
  return std::to_string(microseconds / 1000) + "." + fraction;
}

std::string FormatResources(const Json& aResources)
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

void WriteWorkerHistory(const InstanceInfo& aWorker,
                        const Json& aHistory,
                        std::ostream& aOut,
                        CollectorCounts& aCounts)
{
  aOut << "event=worker at_ms=0 worker=" << aWorker.id
       << " failure_domain=" << aWorker.failureDomain << FormatResources(aHistory.at("capacity"))
       << '\n';
  for (const Json& entry : aHistory.at("entries")) {
    std::string kind = entry.at("kind").get<std::string>();
    std::string commonFields = " at_ms=" + FormatMilliseconds(entry) + " worker=" + aWorker.id +
                               " attempt=" + entry.at("attempt").get<std::string>();
    if (kind == "started") {
      ++aCounts.taskStarts;
      aOut << "event=task_start" << commonFields << " team=" << TeamOf(entry)
           << FormatResources(entry.at("limit")) << '\n';
    } else if (kind == "resized") {
      aOut << "event=task_resized" << commonFields << FormatResources(entry.at("limit")) << '\n';
    } else if (kind == "succeeded" || kind == "failed" || kind == "stopped") {
      aCounts.taskSuccesses += kind == "succeeded" ? 1 : 0;
      aOut << "event=task_end" << commonFields << '\n';
    }
  }
}

void WriteUpstreamHistory(const InstanceInfo& aUpstream,
                          const Json& aStats,
                          std::ostream& aOut,
                          CollectorCounts& aCounts)
{
  constexpr int kContractConnections = 64;
  aOut << "event=upstream at_ms=0 upstream=" << aUpstream.id
       << " slots=" << aStats.at("slots").get<unsigned>() << " connections=" << kContractConnections
       << '\n';
  for (const Json& entry : aStats.at("history")) {
    bool isStart = entry.at("kind").get<std::string>() == "start";
    aCounts.upstreamStarts += isStart ? 1 : 0;
    aOut << (isStart ? "event=upstream_start" : "event=upstream_end")
         << " at_ms=" << FormatMilliseconds(entry) << " upstream=" << aUpstream.id
         << " request=" << entry.at("request").get<std::string>() << '\n';
  }
}

} // namespace

CollectorCounts CollectHistory(const CollectorTargets& aTargets, std::ostream& aOut)
{
  CollectorCounts counts;
  for (const InstanceInfo& instance : aTargets.instances) {
    bool isWorker = instance.kind == InstanceKind::Worker;
    Json json = FetchJson(instance.endpoint, isWorker ? "/control/history" : "/control/stats");
    if (!json.is_object()) {
      ++counts.missing;
    } else if (isWorker) {
      WriteWorkerHistory(instance, json, aOut, counts);
    } else {
      WriteUpstreamHistory(instance, json, aOut, counts);
    }
  }
  return counts;
}

} // namespace daisydrift
