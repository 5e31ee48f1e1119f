// Instances pass the configuration on to those that the store does not serve, and to no others.

#include "ConfigExchange.h"

#include "InMemoryStore.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace daisydrift::coordination {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kConfigKey = "operators/config";
const SocketEndpoint kPeer{ "127.0.0.1", 9 };

/// Keeps the calls open until the test answers them.
class ManualPeers : public PeerTransport
{
public:
  struct OpenCall
  {
    std::string method;
    json arguments;
    std::function<void(const Result<json>&)> respond;
  };
  void Call(const SocketEndpoint&,
            const std::string& aMethod,
            const json& aArguments,
            Duration,
            std::function<void(const Result<json>&)> aDone) override
  {
    this->calls.push_back({ aMethod, aArguments, std::move(aDone) });
  }
  std::vector<OpenCall> calls;
};

/// A store whose response to a read of the operators' keys arrives in parts, without an end.
class EndlessStore : public InMemoryStore
{
public:
  using InMemoryStore::InMemoryStore;
  void ReadPage(const std::string& aPrefix,
                const std::string& aAfter,
                std::function<void(const Result<KeyValuePage>&)> aDone,
                std::function<bool()> aOnProgress) override
  {
    if (aPrefix == "operators/" && this->isEndless) {
      this->progress = std::move(aOnProgress);
      return;
    }
    InMemoryStore::ReadPage(aPrefix, aAfter, std::move(aDone), std::move(aOnProgress));
  }
  bool isEndless = false;
  std::function<bool()> progress;
};

std::optional<FleetConfig> ParseConfig(const std::string& aDocument, Findings&)
{
  FleetConfig config;
  config.version = std::stoull(aDocument);
  config.document = aDocument;
  return config;
}

class ConfigExchangeTest : public ::testing::Test
{
protected:
  ConfigExchangeTest()
    : store(this->loop)
    , decoders{ ParseConfig, {}, kConfigKey, "operators/drain/", "", {}, "", {} }
    , follower(this->loop, this->store, this->decoders, this->settings, this->metrics, [] {})
    , membership(this->loop,
                 this->store,
                 this->peers,
                 this->settings,
                 this->metrics,
                 "this",
                 Membership::Hooks{ [](const LeaderRecord&) {}, [] {}, [] {} })
    , exchange(this->loop,
               this->peers,
               this->membership,
               this->follower,
               this->settings,
               this->metrics,
               [](const LeaderRecord&) {})
  {
    this->store.Put(kConfigKey, "5");
  }

  static InstanceSettings Settings()
  {
    InstanceSettings settings;
    settings.name = "i0";
    settings.operatorPrefix = "operators/";
    settings.storePrefix = "daisydrift/";
    return settings;
  }

  VirtualLoop loop;
  EndlessStore store;
  ManualPeers peers;
  Metrics metrics;
  InstanceSettings settings = Settings();
  PlatformDecoders decoders;
  ConfigFollower follower;
  Membership membership;
  ConfigExchange exchange;
};

// Guards against documents that are asked for again and again, which take the time of the instance
// that sends them and a part of the link of the one that asks.
TEST_F(ConfigExchangeTest, DocumentIsFetchedOnceAndOnlyForANewerVersion)
{
  this->follower.Start();
  this->loop.RunFor(seconds(1));
  ASSERT_EQ(this->follower.Version(), 5U);
  this->exchange.Fetch(kPeer);
  ASSERT_EQ(this->peers.calls.size(), 1U);
  EXPECT_EQ(this->peers.calls[0].arguments.value("document", true), false);
  this->peers.calls[0].respond(json{ { "version", 5 }, { "age_us", 1000 } });
  EXPECT_EQ(this->peers.calls.size(), 1U) << "the version is the same";

  this->exchange.Fetch(kPeer);
  this->peers.calls[1].respond(json{ { "version", 6 }, { "age_us", 1000 } });
  ASSERT_EQ(this->peers.calls.size(), 3U);
  EXPECT_TRUE(this->peers.calls[2].arguments.value("document", true));
  for (int announcement = 0; announcement < 10; ++announcement) {
    this->exchange.Fetch(kPeer);
  }
  EXPECT_EQ(this->peers.calls.size(), 3U) << "the document is on its way";
  this->peers.calls[2].respond(json{ { "version", 6 }, { "age_us", 1000 }, { "document", "6" } });
  EXPECT_EQ(this->follower.Version(), 6U);
}

// Guards against a second copy of the document beside the one that the store sends.
TEST_F(ConfigExchangeTest, NoDocumentIsFetchedWhileTheStoreSendsTheConfiguration)
{
  this->store.isEndless = true;
  this->follower.Start();
  for (int part = 0; part < 100; ++part) {
    this->store.progress();
    this->exchange.Fetch(kPeer);
    for (auto& call : std::exchange(this->peers.calls, {})) {
      EXPECT_EQ(call.arguments.value("document", true), false);
      call.respond(json{ { "version", 6 }, { "age_us", 1000 } });
      EXPECT_TRUE(this->peers.calls.empty()) << "the document is on its way";
    }
    this->loop.RunFor(milliseconds(100));
  }
  this->loop.RunFor(milliseconds(500)); // The response has stopped arriving.
  this->exchange.Fetch(kPeer);
  EXPECT_EQ(this->peers.calls.size(), 1U);
}

// Guards against queries that are refused for as long as a response of the store arrives, although
// another instance knows that the version in force is the newest.
TEST_F(ConfigExchangeTest, VersionIsConfirmedWhileTheStoreSendsTheConfiguration)
{
  this->follower.Start();
  this->loop.RunFor(seconds(1));
  this->store.isEndless = true;
  this->store.isSilent = true; // The watch is lost.
  this->loop.RunFor(seconds(4));
  ASSERT_TRUE(this->store.progress);
  for (int part = 0; part < 20; ++part) {
    this->store.progress();
    this->exchange.Fetch(kPeer);
    for (auto& call : std::exchange(this->peers.calls, {})) {
      call.respond(json{ { "version", 5 }, { "age_us", 1000 } });
    }
    this->loop.RunFor(milliseconds(100));
    EXPECT_LE(this->follower.Age(), this->settings.maxConfigAge);
  }
}

// Guards against a document that is transferred again with each announcement although it can't be
// used.
TEST_F(ConfigExchangeTest, UnusableDocumentIsNotFetchedAgain)
{
  this->follower.Start();
  this->loop.RunFor(seconds(1));
  for (int announcement = 0; announcement < 3; ++announcement) {
    this->exchange.Fetch(kPeer);
    this->peers.calls.back().respond(json{ { "version", 6 }, { "age_us", 1000 } });
    if (announcement == 0) {
      ASSERT_EQ(this->peers.calls.size(), 2U);
      this->peers.calls.back().respond(json{ { "version", 6 }, { "document", "0" } });
    }
  }
  EXPECT_EQ(this->peers.calls.size(), 4U);
  this->exchange.Fetch(kPeer);
  this->peers.calls.back().respond(json{ { "version", 7 }, { "age_us", 1000 } });
  EXPECT_EQ(this->peers.calls.size(), 6U) << "another version may be usable";
}

TEST_F(ConfigExchangeTest, DocumentIsSentOnlyWhenItIsWanted)
{
  this->follower.Start();
  this->loop.RunFor(seconds(1));
  EXPECT_FALSE(
    this->exchange.Answer({ { "version", 4 }, { "document", false } }).contains("document"));
  EXPECT_FALSE(this->exchange.Answer({ { "version", 5 } }).contains("document"));
  // Instances of an earlier version do not say whether they want it.
  EXPECT_EQ(this->exchange.Answer({ { "version", 4 } }).value("document", ""), "5");
  EXPECT_EQ(this->metrics.CounterValue("config_documents_sent_total"), 1U);
}

} // namespace
} // namespace daisydrift::coordination
