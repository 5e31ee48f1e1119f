// Faults as the caller sees them. Guards against a call reported as not sent although it may have
// been executed (or the other way round), a stopped process taken for an unresponsive one, an
// unresponsive connection that stays in use, a slow call that delays heartbeats, and a reply that
// reaches another caller.

#include "RpcTesting.h"

#include "daisydrift/standins.h"

#include <gtest/gtest.h>

#include <random>
#include <thread>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

PeerChannelOptions WithConnectTimeout(std::chrono::milliseconds aTimeout)
{
  PeerChannelOptions options{ .secret = "s3cret" };
  options.connectTimeout = aTimeout;
  return options;
}

struct UnreachableCase
{
  const char* name;
  std::function<std::unique_ptr<RawListener>()> listener;
  PeerFailure failure;
};

class UnreachablePeer : public testing::TestWithParam<UnreachableCase>
{};

// Guards against a call that was certainly not sent, but is reported as possibly executed.
TEST_P(UnreachablePeer, CallIsCertainlyNotSent)
{
  auto loop = std::make_shared<RpcEventLoop>();
  auto listener = GetParam().listener();
  PeerChannel channel(
    loop, listener ? listener->Address() : RefusingEndpoint(), WithConnectTimeout(200ms));
  for (int i = 0; i < 2; ++i) {
    auto reply = channel.SendCall(MakeCall("x"), kHangTimeout);
    EXPECT_EQ(reply.Error(), Errc::Unreachable);
    EXPECT_EQ(reply.Failure(), GetParam().failure);
  }
  auto heartbeat = channel.SendHeartbeat(MakeHeartbeat(), kHangTimeout);
  EXPECT_EQ(heartbeat.Error(), Errc::Unreachable);
  EXPECT_EQ(heartbeat.Failure(), GetParam().failure);
  EXPECT_EQ(channel.Traffic().connections, 0u);
}

std::unique_ptr<RawListener> Listen(RawListener::Script aScript)
{
  return std::make_unique<RawListener>(std::move(aScript));
}

const UnreachableCase kUnreachableCases[] = {
  { "Refused", [] { return std::unique_ptr<RawListener>(); }, PeerFailure::ConnectionRefused },
  { "AcceptsAndNeverAnswers", [] { return Listen(NeverRespond); }, PeerFailure::Unresponsive },
  { "ClosesAtOnce",
    [] { return Listen([](RawConnection&, unsigned) {}); },
    PeerFailure::Disconnected },
  { "Resets",
    [] { return Listen([](RawConnection& aConnection, unsigned) { aConnection.Reset(); }); },
    PeerFailure::Disconnected },
  { "AnswersGarbage",
    [] {
      return Listen([](RawConnection& aConnection, unsigned) {
        aConnection.Send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
        aConnection.AwaitClose();
      });
    },
    PeerFailure::Disconnected },
  { "StopsWithinAMessage",
    [] {
      return Listen([](RawConnection& aConnection, unsigned) {
        aConnection.Send(std::string("\0\0\0\0\x08\0\0\0\0", 9));
        aConnection.EndSending();
        aConnection.AwaitClose();
      });
    },
    PeerFailure::Disconnected },
};

INSTANTIATE_TEST_SUITE_P(Cases,
                         UnreachablePeer,
                         testing::ValuesIn(kUnreachableCases),
                         [](const auto& aInfo) { return std::string(aInfo.param.name); });

TEST(PeerChannelFault, TimeoutBeforeTheConnectionIsMadeIsNotSent)
{
  auto loop = std::make_shared<RpcEventLoop>();
  RawListener unresponsive(NeverRespond);
  PeerChannel channel(loop, unresponsive.Address(), ValidOptions());
  auto reply = channel.SendCall(MakeCall("x"), 50ms);
  EXPECT_EQ(reply.Error(), Errc::Unreachable);
  EXPECT_EQ(reply.Failure(), PeerFailure::Unresponsive);
}

TEST(PeerChannelFault, SlowCallHasAnUnknownOutcomeAndTheNextOneUsesAnotherConnection)
{
  Fixture fixture;
  Gate slow;
  fixture.service.call = [&](const Call& aCall) {
    if (aCall.body == "slow") {
      slow.Pass();
    }
    return CallReply{ 200, "", aCall.body, {} };
  };
  auto channel = fixture.Channel();
  ASSERT_TRUE(channel->SendHeartbeat(MakeHeartbeat(), kHangTimeout));
  auto reply = channel->SendCall(MakeCall("slow"), 50ms);
  EXPECT_EQ(reply.Error(), Errc::OutcomeUnknown);
  EXPECT_EQ(reply.Failure(), PeerFailure::Unresponsive);
  auto next = channel->SendCall(MakeCall("next"), kHangTimeout);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->body, "next");
  EXPECT_EQ(channel->Traffic().connections, 2u);
  slow.Open();
}

// Guards against a call whose timeout fails the other calls on its connection.
TEST(PeerChannelFault, CallsOnARetiredConnectionStillFinish)
{
  Fixture fixture;
  Gate gate;
  fixture.service.call = [&](const Call& aCall) {
    gate.Pass();
    return CallReply{ 200, "", aCall.body, {} };
  };
  auto channel = fixture.Channel();
  PeerResult<CallReply> patient(Errc::Unreachable, PeerFailure::None);
  std::thread other([&] { patient = channel->SendCall(MakeCall("patient"), kHangTimeout); });
  ASSERT_TRUE(gate.WaitForArrivals(1));
  EXPECT_EQ(channel->SendCall(MakeCall("hasty"), 50ms).Error(), Errc::OutcomeUnknown);
  gate.Open();
  other.join();
  ASSERT_TRUE(patient);
  EXPECT_EQ(patient->body, "patient");
}

TEST(PeerChannelFault, SlowCallsDoNotDelayHeartbeats)
{
  Fixture fixture;
  Gate gate;
  fixture.service.call = [&](const Call& aCall) {
    gate.Pass();
    return CallReply{ 200, "", aCall.body, {} };
  };
  auto channel = fixture.Channel();
  constexpr unsigned kSlowCalls = 32;
  std::vector<std::thread> callers;
  for (unsigned i = 0; i < kSlowCalls; ++i) {
    callers.emplace_back([&] { EXPECT_TRUE(channel->SendCall(MakeCall("x"), kHangTimeout)); });
  }
  ASSERT_TRUE(gate.WaitForArrivals(kSlowCalls));
  EXPECT_TRUE(channel->SendHeartbeat(MakeHeartbeat(), kHangTimeout));
  EXPECT_TRUE(channel->FetchConfig(kHangTimeout));
  EXPECT_TRUE(channel->NotifySuccessor({ "seat/1", 2, 3 }, kHangTimeout));
  gate.Open();
  for (std::thread& caller : callers) {
    caller.join();
  }
}

TEST(PeerChannelFault, TwoMissedHeartbeatsReplaceAnUnresponsiveConnection)
{
  Fixture fixture;
  TcpRelay relay(fixture.server.Address());
  PeerChannel channel(fixture.loop, relay.Address(), ValidOptions());
  ASSERT_TRUE(channel.SendHeartbeat(MakeHeartbeat(), kHangTimeout));
  relay.DropTraffic();
  for (int i = 0; i < 2; ++i) {
    auto missed = channel.SendHeartbeat(MakeHeartbeat(), 50ms);
    EXPECT_EQ(missed.Error(), Errc::OutcomeUnknown);
    EXPECT_EQ(missed.Failure(), PeerFailure::Unresponsive);
    EXPECT_EQ(channel.Traffic().connections, 1u);
  }
  EXPECT_TRUE(channel.SendHeartbeat(MakeHeartbeat(), kHangTimeout));
  EXPECT_EQ(channel.Traffic().connections, 2u);
}

// Guards against calls that wait until a long timeout on a connection known to be unresponsive.
TEST(PeerChannelFault, CallsOnAnUnresponsiveConnectionFailWithIt)
{
  Fixture fixture;
  TcpRelay relay(fixture.server.Address());
  PeerChannel channel(fixture.loop, relay.Address(), ValidOptions());
  Gate gate;
  fixture.service.call = [&](const Call& aCall) {
    gate.Pass();
    return CallReply{ 200, "", aCall.body, {} };
  };
  PeerResult<CallReply> reply(Errc::Unreachable, PeerFailure::None);
  std::thread caller([&] { reply = channel.SendCall(MakeCall("x"), 24h); });
  ASSERT_TRUE(gate.WaitForArrivals(1));
  relay.DropTraffic();
  EXPECT_FALSE(channel.SendHeartbeat(MakeHeartbeat(), 50ms));
  EXPECT_FALSE(channel.SendHeartbeat(MakeHeartbeat(), 50ms));
  caller.join();
  EXPECT_EQ(reply.Error(), Errc::OutcomeUnknown);
  EXPECT_EQ(reply.Failure(), PeerFailure::Disconnected);
  gate.Open();
}

/// Document of the largest size of a store value, over a link on which it takes 2.5 s.
constexpr std::size_t kDocumentBytes = 1'000'000;
constexpr std::size_t kSlowBytesPerSecond = 400'000;

// Guards against a transfer that is given up although it makes progress, so that a peer behind a
// slow link never gets the configuration.
TEST(PeerChannelFault, DocumentThatTakesLongerThanTheSilenceTimeoutArrives)
{
  PeerServerOptions serverOptions{ .secret = "s3cret" };
  serverOptions.silenceTimeout = 1s;
  Fixture fixture(serverOptions);
  fixture.service.config = [] { return ConfigReply{ 7, std::string(kDocumentBytes, 'c') }; };
  TcpRelay relay(fixture.server.Address());
  relay.LimitRateToClients(kSlowBytesPerSecond);
  PeerChannelOptions options = ValidOptions();
  options.silenceTimeout = 1s;
  PeerChannel channel(fixture.loop, relay.Address(), options);
  auto config = channel.FetchConfig(1s, kHangTimeout);
  ASSERT_TRUE(config);
  EXPECT_EQ(config->bytes.size(), kDocumentBytes);
  EXPECT_EQ(channel.Traffic().connections, 1u);
}

// Guards against heartbeats that close a connection, and so fail its calls, because their responses
// are behind a long one.
TEST(PeerChannelFault, HeartbeatsBehindALongReplyDoNotCloseTheConnection)
{
  Fixture fixture;
  Gate gate;
  fixture.service.call = [&](const Call&) {
    gate.Pass();
    return CallReply{ 200, "", std::string(kDocumentBytes, 'c'), {} };
  };
  TcpRelay relay(fixture.server.Address());
  relay.LimitRateToClients(kSlowBytesPerSecond);
  PeerChannel channel(fixture.loop, relay.Address(), ValidOptions());
  PeerResult<CallReply> reply(Errc::Unreachable, PeerFailure::None);
  std::thread caller([&] { reply = channel.SendCall(MakeCall("x"), kHangTimeout); });
  ASSERT_TRUE(gate.WaitForArrivals(1));
  std::uint64_t receivedBefore = channel.Traffic().bytesReceived;
  gate.Open();
  while (channel.Traffic().bytesReceived == receivedBefore) {
    std::this_thread::sleep_for(1ms);
  }
  for (int i = 0; i < 3; ++i) {
    EXPECT_FALSE(channel.SendHeartbeat(MakeHeartbeat(), 300ms));
  }
  caller.join();
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->body.size(), kDocumentBytes);
  EXPECT_TRUE(channel.SendHeartbeat(MakeHeartbeat(), kHangTimeout));
  EXPECT_EQ(channel.Traffic().connections, 1u);
}

// Guards against a peer that keeps a call alive for good without a reply of its own.
TEST(PeerChannelFault, FetchFromASilentPeerFailsAfterTheSilenceTimeout)
{
  Fixture fixture;
  Gate gate;
  fixture.service.config = [&] {
    gate.Pass();
    return ConfigReply{ 1, "{}" };
  };
  auto channel = fixture.Channel();
  auto config = channel->FetchConfig(100ms, std::chrono::milliseconds(24h));
  EXPECT_EQ(config.Error(), Errc::OutcomeUnknown);
  EXPECT_EQ(config.Failure(), PeerFailure::Unresponsive);
  gate.Open();
}

TEST(PeerChannelFault, PeerThatDiesDuringACallLeavesItsOutcomeUnknownAndThenRefusesConnections)
{
  Fixture fixture;
  auto relay = std::make_unique<TcpRelay>(fixture.server.Address());
  PeerChannel channel(fixture.loop, relay->Address(), ValidOptions());
  Gate gate;
  fixture.service.call = [&](const Call& aCall) {
    gate.Pass();
    return CallReply{ 200, "", aCall.body, {} };
  };
  PeerResult<CallReply> reply(Errc::Unreachable, PeerFailure::None);
  std::thread caller([&] { reply = channel.SendCall(MakeCall("x"), kHangTimeout); });
  ASSERT_TRUE(gate.WaitForArrivals(1));
  relay->ResetAll();
  caller.join();
  EXPECT_EQ(reply.Error(), Errc::OutcomeUnknown);
  EXPECT_EQ(reply.Failure(), PeerFailure::Disconnected);
  relay.reset();
  auto next = channel.SendCall(MakeCall("y"), kHangTimeout);
  EXPECT_EQ(next.Error(), Errc::Unreachable);
  EXPECT_EQ(next.Failure(), PeerFailure::ConnectionRefused);
  gate.Open();
}

TEST(PeerChannelFault, ClosingTheChannelEndsItsCalls)
{
  Fixture fixture;
  Gate gate;
  fixture.service.call = [&](const Call& aCall) {
    gate.Pass();
    return CallReply{ 200, "", aCall.body, {} };
  };
  auto channel = fixture.Channel();
  PeerResult<CallReply> reply(Errc::Unreachable, PeerFailure::None);
  std::thread caller(
    [&, raw = channel.get()] { reply = raw->SendCall(MakeCall("x"), kHangTimeout); });
  ASSERT_TRUE(gate.WaitForArrivals(1));
  channel.reset();
  caller.join();
  EXPECT_EQ(reply.Error(), Errc::OutcomeUnknown);
  gate.Open();
}

TEST(PeerChannelFault, CallTooLargeForAMessageIsNotSent)
{
  Fixture fixture;
  auto channel = fixture.Channel();
  std::string large(PeerServerOptions{}.maxMessageBytes, 'x');
  auto call = channel->SendCall(MakeCall(large), kHangTimeout);
  EXPECT_EQ(call.Error(), Errc::InvalidArgument);
  ForwardedRequest request;
  request.body = large;
  EXPECT_EQ(channel->ForwardRequest(request, kHangTimeout).Error(), Errc::InvalidArgument);
  EXPECT_TRUE(channel->SendHeartbeat(MakeHeartbeat(), kHangTimeout));
}

// Guards against an oversized reply that closes the connection and fails its other calls.
TEST(PeerChannelFault, ReplyTooLargeForAMessageFailsItsCallOnly)
{
  Fixture fixture;
  fixture.service.call = [&](const Call&) {
    return CallReply{ 200, "", std::string(PeerServerOptions{}.maxMessageBytes, 'x'), {} };
  };
  auto channel = fixture.Channel();
  auto call = channel->SendCall(MakeCall("x"), kHangTimeout);
  EXPECT_EQ(call.Error(), Errc::OutcomeUnknown);
  EXPECT_EQ(call.Failure(), PeerFailure::ErrorReply);
  EXPECT_TRUE(channel->SendHeartbeat(MakeHeartbeat(), kHangTimeout));
  EXPECT_EQ(channel->Traffic().connections, 1u);
}

TEST(PeerChannelFault, PoolKeepsOneChannelForEachEndpoint)
{
  Fixture first;
  Fixture second;
  PeerChannelPool channels(first.loop, ValidOptions());
  auto channel = channels.GetOrCreate(first.server.Address());
  EXPECT_EQ(channel, channels.GetOrCreate(first.server.Address()));
  EXPECT_NE(channel, channels.GetOrCreate(second.server.Address()));
  channels.Retain({ second.server.Address() });
  EXPECT_NE(channel, channels.GetOrCreate(first.server.Address()));
  EXPECT_TRUE(channel->SendHeartbeat(MakeHeartbeat(), kHangTimeout));
}

// Guards against replies that reach another caller: 16 threads make 100 calls each, with seeded
// random bodies and delays. A tenth of the calls have a timeout of 1 ms, so that their replies
// arrive late.
TEST(PeerChannelFault, ConcurrentAndLateRepliesReachOnlyTheirCallers)
{
  constexpr unsigned kThreads = 16;
  constexpr unsigned kCallsPerThread = 100;
  PeerServerOptions options{ .secret = "s3cret" };
  options.maxConnections = kThreads * kCallsPerThread;
  Fixture fixture(options);
  fixture.service.call = [](const Call& aCall) {
    auto delay = std::chrono::microseconds(std::stoul(aCall.path));
    std::this_thread::sleep_for(delay);
    return CallReply{ 200, "", aCall.body, {} };
  };
  fixture.service.forward = [](const ForwardedRequest& aRequest) {
    std::this_thread::sleep_for(std::chrono::microseconds(std::stoul(aRequest.target)));
    return ForwardedReply{ 200, {}, aRequest.body, "ran", "" };
  };
  auto channel = fixture.Channel();
  std::atomic<unsigned> replied{ 0 };
  std::vector<std::thread> threads;
  for (unsigned thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      std::mt19937 random(20261204 + thread);
      for (unsigned i = 0; i < kCallsPerThread; ++i) {
        std::string body = std::to_string(thread) + "/" + std::to_string(i) + "/";
        body.append(random() % 3000, static_cast<char>('a' + random() % 26));
        std::string delay = std::to_string(random() % 2000);
        std::chrono::milliseconds timeout = random() % 10 == 0 ? 1ms : kHangTimeout;
        Call call = MakeCall(body);
        call.path = delay;
        ForwardedRequest request;
        request.target = delay;
        request.body = body;
        request.timeout = kHangTimeout;
        bool isForward = random() % 2 == 0;
        std::optional<std::string> reply;
        if (isForward) {
          auto result = channel->ForwardRequest(request, timeout);
          reply = result ? std::optional(result->body) : std::nullopt;
        } else {
          auto result = channel->SendCall(call, timeout);
          reply = result ? std::optional(result->body) : std::nullopt;
        }
        if (reply) {
          EXPECT_EQ(*reply, body);
          ++replied;
        } else {
          EXPECT_EQ(timeout, 1ms);
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_GT(replied, kThreads * kCallsPerThread / 2);
}

} // namespace
} // namespace daisydrift
