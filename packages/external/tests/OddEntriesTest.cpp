// Entries that another writer or a defect made odd: of another type, out of range, deeply nested.
// Guards against a process that ends, a list that is no longer followed because of one entry, and
// numbers that wrap around.

#include "daisydrift/external.h"
#include "daisydrift/standins.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <random>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr auto kTimeout = 30s;
constexpr std::size_t kDeep = 200'000;

/// Responds to each request with the body that the test has set.
struct BodyServer
{
  BodyServer()
    : listener([this](RawConnection& aConnection, unsigned) {
      while (!aConnection.ReceiveUntil("\r\n\r\n").empty()) {
        std::lock_guard lock(this->mutex);
        aConnection.Send("HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Length: " +
                         std::to_string(this->body.size()) + "\r\n\r\n" + this->body);
      }
    })
  {
  }
  void Set(std::string aBody)
  {
    std::lock_guard lock(this->mutex);
    this->body = std::move(aBody);
  }

  std::mutex mutex;
  std::string body;
  RawListener listener;
};

std::string Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

std::string Item(const std::string& aId, const std::string& aState, const std::string& aPort = "1")
{
  return R"({"id":")" + aId + R"(","kind":"upstream","address":"10.0.0.1:)" + aPort +
         R"(","failure_domain":"f","region":"r","state":")" + aState + R"("})";
}

/// "ID state" of each instance that the directory returns for a list of these items.
std::string Listed(HttpInstanceDirectory& aDirectory,
                   BodyServer& aServer,
                   const std::string& aItems)
{
  aServer.Set("{\"instances\":[" + aItems + "]}");
  auto listed = aDirectory.List(kTimeout);
  if (!listed) {
    return listed.Error().message();
  }
  std::string text;
  for (const InstanceInfo& instance : *listed) {
    text += instance.id + (instance.state == InstanceState::Live ? " live," : " leaving,");
  }
  return text;
}

TEST(OddDirectoryEntry, HidesNoOtherAndLeavesItsInstanceAsItWas)
{
  BodyServer server;
  HttpInstanceDirectory directory(server.listener.Address());
  const std::string kOdd[] = { Item("b", "live", "65536"),
                               Item("b", "live", "99999999999999999999"),
                               Item("b", "live", "0"),
                               Item("b", "resting"),
                               R"({"id":"b","kind":)" + Nested(kDeep) + "}" };
  for (const std::string& odd : kOdd) {
    SCOPED_TRACE(odd.substr(0, 100));
    EXPECT_EQ(Listed(directory, server, Item("a", "live") + "," + Item("b", "live")),
              "a live,b live,");
    std::string now = Listed(directory, server, Item("a", "leaving") + "," + odd);
    EXPECT_EQ(now, "a leaving,b live,");
    EXPECT_EQ(Listed(directory, server, Item("a", "leaving")), "a leaving,");
  }
}

// An item without an ID may stand for any instance.
TEST(OddDirectoryEntry, WithoutAnIdLeavesAllUnlistedInstancesAsTheyWere)
{
  BodyServer server;
  HttpInstanceDirectory directory(server.listener.Address());
  for (const std::string& odd : { std::string("{}"), std::string("7"), Nested(kDeep) }) {
    EXPECT_EQ(Listed(directory, server, Item("a", "live") + "," + Item("b", "live")),
              "a live,b live,");
    EXPECT_EQ(Listed(directory, server, Item("a", "leaving") + "," + odd), "a leaving,b live,");
    EXPECT_EQ(Listed(directory, server, Item("a", "leaving")), "a leaving,");
  }
}

/// CBOR of a response of the store with one entry.
Json StoreResponse()
{
  return { { "revision", 5 },
           { "entries",
             Json::array(
               { { { "key", "k" }, { "revision", 4 }, { "value", Json::binary({ 1 }) } } }) } };
}

std::string ToCbor(const Json& aJson)
{
  std::vector<std::uint8_t> bytes = Json::to_cbor(aJson);
  return { bytes.begin(), bytes.end() };
}

// Guards against an exception in a thread that catches none.
TEST(OddStoreResponse, IsCorrupt)
{
  BodyServer server;
  HttpStore store(server.listener.Address());
  server.Set(ToCbor(StoreResponse()));
  ASSERT_TRUE(store.List("k", kTimeout));
  std::vector<std::string> bodies;
  for (const char* path : { "/revision", "/entries/0/revision", "/entries/0/key" }) {
    for (const Json& value : { Json("x"), Json(-1), Json(1e300), Json::array() }) {
      Json odd = StoreResponse();
      odd[Json::json_pointer(path)] = value;
      if (path != std::string("/entries/0/key") || !value.is_string()) {
        bodies.push_back(ToCbor(odd));
      }
    }
  }
  // A list that claims 2^62 items, and one nested deeper than the stack.
  bodies.emplace_back("\x9b\x40\0\0\0\0\0\0\0", 9);
  bodies.push_back(std::string(4 * kDeep, '\x81'));
  for (const std::string& body : bodies) {
    server.Set(body);
    EXPECT_EQ(store.List("k", kTimeout).Error(), Errc::Corrupt)
      << testing::PrintToString(body.substr(0, 40));
    EXPECT_EQ(store.Watch("k", 0, 1s).Error(), Errc::Corrupt);
  }
}

SyncReport ValidReport()
{
  AttemptId attempt;
  attempt = { { 1, 0 }, 1 };
  return { "w#1",
           3,
           { 16'000, 64'000, 2 },
           { { attempt, { 1, 2, 3 }, { 1, 2, 3 } } },
           { { 1, WorkerEventKind::Started, attempt, "" } } };
}

bool IsAmount(std::int64_t aValue)
{
  return aValue >= 0 && aValue <= 1'000'000'000'000;
}

bool IsWithinRange(const Resources& aResources)
{
  return IsAmount(aResources.milliCores) && IsAmount(aResources.memoryMiB) &&
         IsAmount(aResources.accelerators);
}

TEST(OddWorkerReport, NumberOutOfRangeIsCorrupt)
{
  Json valid = Json::parse(EncodeSyncReport(ValidReport()));
  ASSERT_TRUE(DecodeSyncReport(valid.dump()));
  for (const char* path : { "/number",
                            "/capacity/milli_cores",
                            "/capacity/memory_mib",
                            "/running/0/limit/accelerators",
                            "/running/0/usage/milli_cores",
                            "/events/0/number" }) {
    for (const Json& value : { Json(-1), Json(1e300), Json(1.5), Json(true) }) {
      Json odd = valid;
      odd[Json::json_pointer(path)] = value;
      EXPECT_EQ(DecodeSyncReport(odd.dump()).Error(), Errc::Corrupt) << path << " " << value;
    }
  }
  for (const Json& value : { Json(INT64_MAX), Json(UINT64_MAX) }) {
    Json odd = valid;
    odd["capacity"]["memory_mib"] = value;
    EXPECT_EQ(DecodeSyncReport(odd.dump()).Error(), Errc::Corrupt) << value;
  }
}

/// Changes one value of aJson: drops it, or replaces it by an odd one.
void Mutate(Json& aJson, std::mt19937& aRandom)
{
  Json* at = &aJson;
  while (at->is_structured() && !at->empty() && (at == &aJson || aRandom() % 4 != 0)) {
    auto child = at->begin();
    std::advance(child, aRandom() % at->size());
    if (aRandom() % 16 == 0) {
      at->erase(child);
      return;
    }
    at = &*child;
  }
  const Json kOdd[] = { Json(),
                        Json(true),
                        Json(-1),
                        Json(0),
                        Json(1.5),
                        Json(1e300),
                        Json(-1e300),
                        Json(INT64_MAX),
                        Json(65'536),
                        Json(UINT64_MAX),
                        Json(INT64_MIN),
                        Json(""),
                        Json("x\0y"),
                        Json::array(),
                        Json::object(),
                        Json("10.0.0.1:65536"),
                        Json("1e999"),
                        Json::binary({}),
                        Json({ { "id", 1 } }) };
  *at = kOdd[aRandom() % std::size(kOdd)];
}

/// Document of aJson with a change of a few bytes, or with deep nesting, now and then.
std::string OddText(std::string aText, std::mt19937& aRandom)
{
  switch (aRandom() % 8) {
    case 0:
      aText[aRandom() % aText.size()] = static_cast<char>(aRandom());
      break;
    case 1:
      aText.resize(aRandom() % aText.size());
      break;
    case 2:
      aText.insert(aRandom() % aText.size(),
                   std::string(aRandom() % 3000, aRandom() % 2 == 0 ? '[' : '\x81'));
      break;
    default:
      break;
  }
  return aText;
}

unsigned Runs(unsigned aDefault)
{
  const char* runs = std::getenv("ODD_ENTRY_RUNS");
  return runs != nullptr ? static_cast<unsigned>(std::strtoul(runs, nullptr, 10)) : aDefault;
}

// More runs by hand: ODD_ENTRY_RUNS.
TEST(OddEntryProperty, MutatedMessagesOfWorkersAndDirectoryHaveNumbersInRange)
{
  std::mt19937 random(20261205);
  unsigned accepted = 0;
  Json report = Json::parse(EncodeSyncReport(ValidReport()));
  Json list = Json::parse("{\"instances\":[" + Item("a", "live") + "]}");
  for (unsigned i = 0; i < Runs(20'000); ++i) {
    Json odd = i % 2 == 0 ? report : list;
    for (unsigned changes = random() % 3; changes > 0; --changes) {
      Mutate(odd, random);
    }
    std::string text = OddText(odd.dump(-1, ' ', false, Json::error_handler_t::replace), random);
    auto decoded = DecodeSyncReport(text);
    auto instances = DecodeInstances(text);
    static_cast<void>(DecodeSyncRequest(text));
    if (decoded) {
      ASSERT_TRUE(IsWithinRange(decoded->capacity)) << i;
      for (const RunningAttempt& running : decoded->running) {
        ASSERT_TRUE(IsWithinRange(running.limit) && IsWithinRange(running.usage)) << i;
      }
    }
    for (const InstanceInfo& instance : instances ? *instances : std::vector<InstanceInfo>()) {
      ASSERT_NE(instance.endpoint.port, 0) << i;
    }
    accepted += decoded || instances ? 1 : 0;
  }
  EXPECT_GT(accepted, 0U);
}

TEST(OddEntryProperty, MutatedResponsesOfTheStoreEndNoProcess)
{
  std::mt19937 random(20261206);
  BodyServer server;
  HttpStore store(server.listener.Address());
  unsigned accepted = 0;
  for (unsigned i = 0; i < Runs(2'000); ++i) {
    Json odd = StoreResponse();
    for (unsigned changes = random() % 3; changes > 0; --changes) {
      Mutate(odd, random);
    }
    server.Set(OddText(ToCbor(odd), random));
    auto entries = store.List("k", kTimeout);
    ASSERT_TRUE(entries || entries.Error() == Errc::Corrupt) << i << entries.Error().message();
    accepted += entries ? 1 : 0;
  }
  EXPECT_GT(accepted, 0U);
}

} // namespace
} // namespace daisydrift
