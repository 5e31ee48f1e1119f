// Guards against a link that is filled by copies of the configuration: from several peers at once,
// again from the start after a fixed time, with the heartbeats waiting for them.

#include "Membership.h"

#include "daisydrift/standins.h"

#include <gtest/gtest.h>

#include <thread>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

constexpr const char* kSecret = "s3cret";
constexpr ConfigVersion kPeerVersion = 5;
/// The document takes 3 s, longer than the interval of heartbeats.
constexpr std::size_t kDocumentBytes = 900'000;
constexpr std::size_t kSlowBytesPerSecond = 300'000;
/// Ends a test that would wait for good.
constexpr std::chrono::seconds kHangTimeout{ 60 };

/// A document of kDocumentBytes or a little more.
std::string LargeDocument()
{
  ConfigDocument document;
  document.version = kPeerVersion;
  // White space is as good as any content to fill the link.
  return EncodeConfig(document) + std::string(kDocumentBytes, ' ');
}

/// A peer with a newer configuration, behind a slow link.
struct SlowPeer final : PeerService
{
  SlowPeer(std::shared_ptr<RpcEventLoop> aLoop, InstanceId aInstance)
    : instance(std::move(aInstance))
    , server(std::move(aLoop), *this, { .secret = kSecret })
  {
    EXPECT_FALSE(this->server.Start({ "127.0.0.1", 0 }));
    this->link = std::make_unique<TcpRelay>(this->server.Address());
    this->link->LimitRateToClients(kSlowBytesPerSecond);
  }

  Result<HeartbeatReply> OnHeartbeat(const Heartbeat&) override
  {
    ++this->heartbeats;
    HeartbeatReply reply;
    reply.instance = this->instance;
    reply.configVersion = kPeerVersion;
    return reply;
  }
  Result<ConfigReply> OnFetchConfig() override
  {
    ++this->fetches;
    return ConfigReply{ kPeerVersion, LargeDocument() };
  }
  Result<SuccessorAck> OnSuccessor(const SuccessorNotice&) override { return SuccessorAck{}; }
  Result<CallReply> OnCall(const Call&) override { return Errc::NotPermitted; }
  Result<ForwardedReply> OnForwardedRequest(const ForwardedRequest&) override
  {
    return Errc::NotPermitted;
  }

  /// The record of this peer's seat in the store.
  std::string SeatRecordText() const
  {
    return R"({"instance":")" + this->instance + R"(","address":")" +
           ToString(this->link->Address()) +
           R"(","failure_domain":"f","region":"r","epoch":1,"lease":0})";
  }

  InstanceId instance;
  std::atomic<unsigned> heartbeats{ 0 };
  std::atomic<unsigned> fetches{ 0 };
  PeerServer server;
  std::unique_ptr<TcpRelay> link;
};

TEST(MembershipConfig, OneCopyAtATimeArrivesOverASlowLinkBesideHeartbeats)
{
  SteadyClock clock;
  FakeStore store(clock);
  Metrics metrics;
  ConfigHolder config(clock);
  auto loop = std::make_shared<RpcEventLoop>();
  PeerChannelPool channels(loop, { .secret = kSecret });
  PeerChannelPool configChannels(loop, { .secret = kSecret });
  SlowPeer first(loop, "first");
  SlowPeer second(loop, "second");
  ASSERT_TRUE(store.CompareAndSwap("seats/0", first.SeatRecordText(), 0, 0, 1s));
  ASSERT_TRUE(store.CompareAndSwap("seats/1", second.SeatRecordText(), 0, 0, 1s));
  MembershipHooks hooks;
  hooks.onSeatChanged = [](std::optional<unsigned>) {};
  hooks.onElected = [](Epoch) {};
  hooks.onLeadershipLost = [] {};
  hooks.freeSlots = [] { return std::vector<FreeSlots>(); };
  Membership membership({ "own", "r", "f", { "127.0.0.1", 1 }, { "127.0.0.1", 2 } },
                        std::move(hooks),
                        store,
                        channels,
                        configChannels,
                        config,
                        clock,
                        metrics);
  config.OnStoreFailed();
  membership.Start();
  TimePoint end = clock.Now() + kHangTimeout;
  while (config.Version() != kPeerVersion && clock.Now() < end) {
    std::this_thread::sleep_for(1ms);
  }
  EXPECT_EQ(config.Version(), kPeerVersion);
  EXPECT_EQ(first.fetches + second.fetches, 1U);
  EXPECT_GE(first.heartbeats, 2U);
  EXPECT_GE(second.heartbeats, 2U);
  membership.Stop(false);
}

} // namespace
} // namespace daisydrift
