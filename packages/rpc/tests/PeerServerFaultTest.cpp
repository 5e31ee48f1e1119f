// Limits, malformed input and shutdown of the server. Guards against a bad connection that affects
// others, unbounded queues, and a shutdown that interrupts running calls.

#include "RpcTesting.h"

#include "daisydrift/standins.h"

#include <gtest/gtest.h>

#include <cstring>
#include <random>
#include <thread>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

/// Length in bytes of the first Cap'n Proto message in aBytes, from its segment table.
std::size_t MessageLength(const std::string& aBytes)
{
  auto word = [&](std::size_t aIndex) {
    std::uint32_t value = 0;
    std::memcpy(&value, aBytes.data() + aIndex * 4, 4);
    return value;
  };
  std::size_t segments = word(0) + 1;
  std::size_t length = (segments + 2) / 2 * 8;
  for (std::size_t i = 0; i < segments; ++i) {
    length += word(i + 1) * 8;
  }
  return length;
}

/// Number of complete messages in a recorded stream.
int CountMessages(std::string aBytes)
{
  int count = 0;
  while (aBytes.size() >= 8 && MessageLength(aBytes) <= aBytes.size()) {
    aBytes.erase(0, MessageLength(aBytes));
    ++count;
  }
  return count;
}

/// Messages aFirst to aLast of a recorded stream, counted from 0.
std::string ExtractMessages(std::string aBytes, int aFirst, int aLast)
{
  std::string kept;
  for (int i = 0; i <= aLast; ++i) {
    std::size_t length = MessageLength(aBytes);
    kept += i >= aFirst ? aBytes.substr(0, length) : "";
    aBytes.erase(0, length);
  }
  return kept;
}

/// An authenticated connection through a relay, on which the test can then send arbitrary bytes to
/// either side.
struct Injector
{
  explicit Injector(Fixture& aFixture)
    : relay(aFixture.server.Address())
    , channel(aFixture.loop, relay.Address(), ValidOptions())
  {
    EXPECT_TRUE(this->channel.SendHeartbeat(MakeHeartbeat(), kHangTimeout));
    // Waits for all six messages: two of the handshake, the bootstrap request, the heartbeat, and
    // the Finish messages of both. The client then sends nothing more, so that no other bytes
    // follow the test's bytes.
    while (CountMessages(this->relay.SentByClient(0)) < 6) {
      std::this_thread::yield();
    }
  }
  /// The client's two messages of the handshake.
  std::string RecordedHandshake() const
  {
    return ExtractMessages(this->relay.SentByClient(0), 0, 1);
  }
  /// The client's next two messages: the bootstrap request and a heartbeat.
  std::string RecordedCall() const { return ExtractMessages(this->relay.SentByClient(0), 2, 3); }

  TcpRelay relay;
  PeerChannel channel;
};

/// Sends heartbeats until one succeeds: the channel detects a closed connection asynchronously, and
/// a call made before that has an unknown outcome.
void WaitForRecovery(PeerChannel& aChannel)
{
  for (;;) {
    auto reply = aChannel.SendHeartbeat(MakeHeartbeat(), kHangTimeout);
    if (reply) {
      EXPECT_EQ(*reply, MakeHeartbeat());
      return;
    }
    ASSERT_EQ(reply.Error(), Errc::OutcomeUnknown);
    ASSERT_EQ(reply.Failure(), PeerFailure::Disconnected);
  }
}

/// Returns seeded random input: random bytes, or the recorded messages with changed bytes,
/// truncated, or with another segment table.
std::string MakeMalformedInput(std::mt19937& aRandom, const std::string& aRecorded)
{
  std::string input = aRecorded;
  switch (aRandom() % 4) {
    case 0:
      input.resize(1 + aRandom() % 300);
      for (char& character : input) {
        character = static_cast<char>(aRandom());
      }
      break;
    case 1:
      for (unsigned changes = 1 + aRandom() % 8; changes > 0; --changes) {
        input[aRandom() % input.size()] = static_cast<char>(aRandom());
      }
      break;
    case 2:
      input.resize(aRandom() % input.size());
      break;
    default:
      for (std::size_t i = 0; i < 8; ++i) {
        input[i] = static_cast<char>(aRandom() % 3 == 0 ? aRandom() : 0);
      }
      break;
  }
  return input;
}

TEST(PeerServerFault, FuzzedInputBeforeAuthenticationClosesItsConnectionOnly)
{
  constexpr unsigned kInputs = 500;
  Fixture fixture;
  auto good = fixture.Channel();
  std::string recorded;
  {
    Injector injector(fixture);
    recorded = injector.RecordedHandshake() + injector.RecordedCall();
  }
  std::mt19937 random(20261204);
  for (unsigned i = 0; i < kInputs; ++i) {
    auto bad = RawConnection::Connect(fixture.server.Address());
    ASSERT_TRUE(bad) << i;
    bad->Send(MakeMalformedInput(random, recorded));
    bad->EndSending();
    bad->AwaitClose();
    ASSERT_TRUE(good->SendHeartbeat(MakeHeartbeat(), kHangTimeout)) << i;
  }
  EXPECT_EQ(good->Traffic().connections, 1u);
  EXPECT_TRUE(fixture.ServesValidClient());
}

TEST(PeerServerFault, FuzzedInputAfterAuthenticationAffectsNoOtherConnection)
{
  constexpr unsigned kInputs = 500;
  Fixture fixture;
  auto good = fixture.Channel();
  std::mt19937 random(20261205);
  for (unsigned i = 0; i < kInputs; ++i) {
    Injector injector(fixture);
    injector.relay.SendToTarget(MakeMalformedInput(random, injector.RecordedCall()));
    auto reply = good->SendHeartbeat(MakeHeartbeat(), kHangTimeout);
    ASSERT_TRUE(reply && *reply == MakeHeartbeat()) << i;
  }
  EXPECT_EQ(good->Traffic().connections, 1u);
  EXPECT_TRUE(fixture.ServesValidClient());
}

// Guards against malformed input that is decoded as a reply, and a channel that does not recover.
TEST(PeerServerFault, FuzzedInputFromTheServerNeverBecomesAReply)
{
  constexpr unsigned kInputs = 300;
  Fixture fixture;
  std::mt19937 random(20261206);
  for (unsigned i = 0; i < kInputs; ++i) {
    Injector injector(fixture);
    injector.relay.SendToClient(MakeMalformedInput(random, injector.RecordedCall()));
    injector.relay.ResetAll();
    auto reply = injector.channel.SendCall(MakeCall("body"), kHangTimeout);
    if (reply) {
      ASSERT_EQ(reply->body, "body") << i;
    }
    // The channel detects the lost connection asynchronously.
    do {
      reply = injector.channel.SendCall(MakeCall("next"), kHangTimeout);
    } while (!reply);
    ASSERT_EQ(reply->body, "next") << i;
  }
}

struct BadInputCase
{
  const char* name;
  std::function<std::string(const std::string& aRecorded)> input;
};

class BadInput : public testing::TestWithParam<BadInputCase>
{};

TEST_P(BadInput, ClosesItsConnectionAndOthersAreServed)
{
  PeerServerOptions options{ .secret = "s3cret" };
  options.messageTimeout = 500ms;
  Fixture fixture(options);
  auto good = fixture.Channel();
  ASSERT_TRUE(good->SendHeartbeat(MakeHeartbeat(), kHangTimeout));
  Injector injector(fixture);
  injector.relay.SendToTarget(GetParam().input(injector.RecordedCall()));
  injector.relay.AwaitTargetClose();
  EXPECT_TRUE(good->SendHeartbeat(MakeHeartbeat(), kHangTimeout));
  EXPECT_EQ(good->Traffic().connections, 1u);
  WaitForRecovery(injector.channel);
  EXPECT_TRUE(fixture.ServesValidClient());
}

const BadInputCase kBadInputCases[] = {
  { "Garbage", [](const std::string&) { return std::string(64, '\xff'); } },
  { "MessageLargerThanAllowed",
    [](const std::string&) { return std::string("\0\0\0\0\xff\xff\xff\x7f", 8); } },
  { "MessageOfTooManySegments",
    [](const std::string&) { return std::string("\xff\xff\0\0\0\0\0\0", 8); } },
  { "MessageThatNeverEnds",
    [](const std::string& aRecorded) {
      return aRecorded.substr(0, MessageLength(aRecorded) - 8);
    } },
  { "OneByte", [](const std::string&) { return std::string(1, '\0'); } },
  { "EmptyMessage", [](const std::string&) { return std::string("\0\0\0\0\0\0\0\0", 8); } },
};

INSTANTIATE_TEST_SUITE_P(Cases, BadInput, testing::ValuesIn(kBadInputCases), [](const auto& aInfo) {
  return std::string(aInfo.param.name);
});

TEST(PeerServerLimit, ConnectionsBeyondTheLimitAreClosed)
{
  PeerServerOptions options{ .secret = "s3cret" };
  options.maxConnections = 4;
  options.authenticationTimeout = kHangTimeout;
  Fixture fixture(options);
  std::vector<std::shared_ptr<RawConnection>> idle;
  for (int i = 0; i < 4; ++i) {
    idle.push_back(RawConnection::Connect(fixture.server.Address()));
  }
  RawConnection::Connect(fixture.server.Address())->AwaitClose();
  auto refused = fixture.Channel()->SendHeartbeat(MakeHeartbeat(), kHangTimeout);
  EXPECT_EQ(refused.Error(), Errc::Unreachable);
  idle.clear();
  // The server detects the closed connections asynchronously.
  auto channel = fixture.Channel();
  while (!channel->SendHeartbeat(MakeHeartbeat(), kHangTimeout)) {
  }
}

TEST(PeerServerLimit, IdleConnectionIsClosedAndReplaced)
{
  PeerServerOptions options{ .secret = "s3cret" };
  options.idleTimeout = 500ms;
  Fixture fixture(options);
  Injector injector(fixture);
  injector.relay.AwaitTargetClose();
  WaitForRecovery(injector.channel);
  EXPECT_EQ(injector.channel.Traffic().connections, 2u);
}

// Guards against replies that accumulate for a peer that does not read them.
TEST(PeerServerLimit, PeerThatDoesNotReadItsRepliesIsClosed)
{
  constexpr int kReplies = 8;
  PeerServerOptions options{ .secret = "s3cret" };
  options.messageTimeout = 500ms;
  options.maxConnections = 2;
  Fixture fixture(options);
  // Together the replies exceed the system's buffers of one connection.
  fixture.service.config = [] { return ConfigReply{ 1, std::string(3'900'000, 'c') }; };
  auto good = fixture.Channel();
  ASSERT_TRUE(good->SendHeartbeat(MakeHeartbeat(), kHangTimeout));
  Injector injector(fixture);
  injector.relay.StopReadingFromTarget();
  std::vector<std::thread> callers;
  for (int i = 0; i < kReplies; ++i) {
    callers.emplace_back([&] { std::ignore = injector.channel.FetchConfig(24h); });
  }
  // The limit admits another connection only after the stalled one has been closed.
  auto third = fixture.Channel();
  while (!third->SendHeartbeat(MakeHeartbeat(), kHangTimeout)) {
    EXPECT_TRUE(good->SendHeartbeat(MakeHeartbeat(), kHangTimeout));
    std::this_thread::sleep_for(10ms);
  }
  EXPECT_EQ(good->Traffic().connections, 1u);
  injector.relay.ResetAll();
  for (std::thread& caller : callers) {
    caller.join();
  }
}

/// Makes aCalls concurrent calls, which block until Finish, and counts their outcomes.
struct BlockedCalls
{
  BlockedCalls(Fixture& aFixture, unsigned aCalls)
    : channel(aFixture.Channel())
  {
    aFixture.service.call = [this](const Call& aCall) {
      this->gate.Pass();
      return CallReply{ 200, "", aCall.body, {} };
    };
    for (unsigned i = 0; i < aCalls; ++i) {
      this->callers.emplace_back([this] {
        auto reply = this->channel->SendCall(MakeCall("x"), kHangTimeout);
        ++(reply                               ? this->succeeded
           : reply.Error() == Errc::Overloaded ? this->overloaded
                                               : this->failed);
      });
    }
  }
  /// Unblocks the calls once aCount of them have failed, and waits for all.
  void Finish(unsigned aCount)
  {
    while (this->overloaded + this->failed < aCount) {
      std::this_thread::yield();
    }
    this->gate.Open();
    for (std::thread& caller : this->callers) {
      caller.join();
    }
  }

  Gate gate;
  std::unique_ptr<PeerChannel> channel;
  std::atomic<unsigned> succeeded{ 0 };
  std::atomic<unsigned> overloaded{ 0 };
  std::atomic<unsigned> failed{ 0 };
  std::vector<std::thread> callers;
};

TEST(PeerServerLimit, CallsOfOneConnectionAreBounded)
{
  PeerServerOptions options{ .secret = "s3cret" };
  options.maxCallsPerConnection = 3;
  Fixture fixture(options);
  BlockedCalls calls(fixture, 5);
  calls.Finish(2);
  EXPECT_EQ(calls.succeeded, 3u);
  EXPECT_EQ(calls.overloaded, 2u);
}

TEST(PeerServerLimit, QueuedCallsAreLimitedAndHeartbeatsAreNotAmongThem)
{
  PeerServerOptions options{ .secret = "s3cret" };
  options.callThreads = 1;
  options.maxQueuedCalls = 1;
  Fixture fixture(options);
  BlockedCalls calls(fixture, 6);
  ASSERT_TRUE(calls.gate.WaitForArrivals(1));
  EXPECT_TRUE(fixture.ServesValidClient());
  calls.Finish(4);
  EXPECT_EQ(calls.succeeded, 2u);
  EXPECT_EQ(calls.overloaded, 4u);
}

// Guards against execution of a call whose caller has already timed out.
TEST(PeerServerLimit, CallPastItsDeadlineIsNotExecuted)
{
  Fixture fixture;
  std::atomic<unsigned> executed{ 0 };
  fixture.service.call = [&](const Call&) {
    ++executed;
    return CallReply{};
  };
  Call call = MakeCall("x");
  call.timeout = Duration::zero();
  EXPECT_EQ(fixture.Channel()->SendCall(call, kHangTimeout).Error(), Errc::DeadlineExceeded);
  EXPECT_EQ(executed, 0u);
}

TEST(PeerServerLimit, ExceptionOfTheServiceFailsItsCallOnly)
{
  Fixture fixture;
  fixture.service.call = [](const Call&) -> Result<CallReply> {
    throw std::runtime_error("defect");
  };
  auto channel = fixture.Channel();
  EXPECT_EQ(channel->SendCall(MakeCall("x"), kHangTimeout).Error(), Errc::OutcomeUnknown);
  EXPECT_TRUE(channel->SendHeartbeat(MakeHeartbeat(), kHangTimeout));
  EXPECT_EQ(channel->Traffic().connections, 1u);
}

class PeerServerStop : public testing::Test
{
protected:
  PeerServerStop()
  {
    this->fixture.service.call = [this](const Call& aCall) {
      if (aCall.body == "running") {
        this->gate.Pass();
      }
      return CallReply{ 200, "", aCall.body, {} };
    };
    this->caller = std::thread(
      [this] { this->reply = this->channel->SendCall(MakeCall("running"), kHangTimeout); });
    EXPECT_TRUE(this->gate.WaitForArrivals(1));
  }

  Fixture fixture;
  Gate gate;
  std::unique_ptr<PeerChannel> channel = this->fixture.Channel();
  PeerResult<CallReply> reply{ Errc::Unreachable, PeerFailure::None };
  std::thread caller;
};

TEST_F(PeerServerStop, RejectsNewCallsFinishesRunningOnesAndThenRefusesConnections)
{
  bool isComplete = false;
  std::thread stop([&] { isComplete = this->fixture.server.Stop(kHangTimeout); });
  PeerResult<CallReply> refused(Errc::Unreachable, PeerFailure::None);
  do {
    refused = this->channel->SendCall(MakeCall("new"), kHangTimeout);
  } while (refused);
  EXPECT_EQ(refused.Error(), Errc::NotPermitted);
  EXPECT_EQ(refused.Failure(), PeerFailure::ErrorReply);
  EXPECT_TRUE(this->channel->SendHeartbeat(MakeHeartbeat(), kHangTimeout));
  this->gate.Open();
  stop.join();
  this->caller.join();
  EXPECT_TRUE(isComplete);
  ASSERT_TRUE(this->reply) << this->reply.Error().message();
  EXPECT_EQ(this->reply->body, "running");
  auto after = this->fixture.Channel()->SendHeartbeat(MakeHeartbeat(), kHangTimeout);
  EXPECT_EQ(after.Error(), Errc::Unreachable);
  EXPECT_EQ(after.Failure(), PeerFailure::ConnectionRefused);
}

TEST_F(PeerServerStop, CallStillRunningAtTheTimeoutHasAnUnknownOutcome)
{
  bool isComplete = true;
  std::thread stop([&] { isComplete = this->fixture.server.Stop(1ms); });
  this->caller.join();
  EXPECT_EQ(this->reply.Error(), Errc::OutcomeUnknown);
  EXPECT_EQ(this->reply.Failure(), PeerFailure::Disconnected);
  this->gate.Open();
  stop.join();
  EXPECT_FALSE(isComplete);
}

} // namespace
} // namespace daisydrift
