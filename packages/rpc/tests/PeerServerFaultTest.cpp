// Limits, bad input and stopping of the server. Guards against one bad connection that takes others
// with it, unbounded work, and a stop that cuts off calls.

#include "RpcTesting.h"

#include "daisydrift/standins.h"

#include <gtest/gtest.h>

#include <cstring>
#include <random>
#include <thread>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

/// Length of the first Cap'n Proto message in aBytes, from its segment table.
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

/// Number of whole messages in a recorded stream.
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
std::string Messages(std::string aBytes, int aFirst, int aLast)
{
  std::string kept;
  for (int i = 0; i <= aLast; ++i) {
    std::size_t length = MessageLength(aBytes);
    kept += i >= aFirst ? aBytes.substr(0, length) : "";
    aBytes.erase(0, length);
  }
  return kept;
}

/// A connection through a relay, authenticated by a good client, on which the test may then send
/// anything to either side.
struct Injector
{
  explicit Injector(Fixture& aFixture)
    : relay(aFixture.server.Address())
    , channel(aFixture.loop, relay.Address(), GoodOptions())
  {
    EXPECT_TRUE(this->channel.SendHeartbeat(MakeHeartbeat(), kHangLimit));
    // Handshake, request for the calls, heartbeat, and the end of both: nothing more is sent, so
    // that the test's bytes are not followed by others.
    while (CountMessages(this->relay.SentByClient(0)) < 6) {
      std::this_thread::yield();
    }
  }
  /// The two messages of the handshake.
  std::string RecordedHandshake() const { return Messages(this->relay.SentByClient(0), 0, 1); }
  /// The two messages after it: a request for the calls, and a heartbeat.
  std::string RecordedCall() const { return Messages(this->relay.SentByClient(0), 2, 3); }

  TcpRelay relay;
  PeerChannel channel;
};

/// Calls until a heartbeat is answered: the channel learns of a closed connection in its own time,
/// and a call made before that has an unknown outcome.
void AwaitRecovery(PeerChannel& aChannel)
{
  for (;;) {
    auto reply = aChannel.SendHeartbeat(MakeHeartbeat(), kHangLimit);
    if (reply) {
      EXPECT_EQ(*reply, MakeHeartbeat());
      return;
    }
    ASSERT_EQ(reply.Error(), Errc::OutcomeUnknown);
    ASSERT_EQ(reply.Failure(), PeerFailure::Disconnected);
  }
}

/// Bad inputs drawn from a seed: random bytes, and recorded calls that are changed, cut off, or
/// given another segment table.
std::string DrawInput(std::mt19937& aRandom, const std::string& aRecorded)
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
    bad->Send(DrawInput(random, recorded));
    bad->EndSending();
    bad->AwaitEnd();
    ASSERT_TRUE(good->SendHeartbeat(MakeHeartbeat(), kHangLimit)) << i;
  }
  EXPECT_EQ(good->Traffic().connections, 1u);
  EXPECT_TRUE(fixture.ServesGoodClient());
}

TEST(PeerServerFault, FuzzedInputAfterAuthenticationDisturbsNoOtherConnection)
{
  constexpr unsigned kInputs = 500;
  Fixture fixture;
  auto good = fixture.Channel();
  std::mt19937 random(20261205);
  for (unsigned i = 0; i < kInputs; ++i) {
    Injector injector(fixture);
    injector.relay.SendToTarget(DrawInput(random, injector.RecordedCall()));
    auto reply = good->SendHeartbeat(MakeHeartbeat(), kHangLimit);
    ASSERT_TRUE(reply && *reply == MakeHeartbeat()) << i;
  }
  EXPECT_EQ(good->Traffic().connections, 1u);
  EXPECT_TRUE(fixture.ServesGoodClient());
}

// Guards against an answer made of garbage, and a channel that does not recover from it.
TEST(PeerServerFault, FuzzedInputFromTheServerNeverBecomesAnAnswer)
{
  constexpr unsigned kInputs = 300;
  Fixture fixture;
  std::mt19937 random(20261206);
  for (unsigned i = 0; i < kInputs; ++i) {
    Injector injector(fixture);
    injector.relay.SendToClient(DrawInput(random, injector.RecordedCall()));
    injector.relay.ResetAll();
    auto reply = injector.channel.SendCall(MakeCall("body"), kHangLimit);
    if (reply) {
      ASSERT_EQ(reply->body, "body") << i;
    }
    // The channel learns of the broken connection in its own time.
    do {
      reply = injector.channel.SendCall(MakeCall("next"), kHangLimit);
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
  options.messageLimit = 500ms;
  Fixture fixture(options);
  auto good = fixture.Channel();
  ASSERT_TRUE(good->SendHeartbeat(MakeHeartbeat(), kHangLimit));
  Injector injector(fixture);
  injector.relay.SendToTarget(GetParam().input(injector.RecordedCall()));
  injector.relay.AwaitTargetEnd();
  EXPECT_TRUE(good->SendHeartbeat(MakeHeartbeat(), kHangLimit));
  EXPECT_EQ(good->Traffic().connections, 1u);
  AwaitRecovery(injector.channel);
  EXPECT_TRUE(fixture.ServesGoodClient());
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
  options.authenticationLimit = kHangLimit;
  Fixture fixture(options);
  std::vector<std::shared_ptr<RawConnection>> idle;
  for (int i = 0; i < 4; ++i) {
    idle.push_back(RawConnection::Connect(fixture.server.Address()));
  }
  RawConnection::Connect(fixture.server.Address())->AwaitEnd();
  auto refused = fixture.Channel()->SendHeartbeat(MakeHeartbeat(), kHangLimit);
  EXPECT_EQ(refused.Error(), Errc::Unreachable);
  idle.clear();
  // The server learns of the closed connections in its own time.
  auto channel = fixture.Channel();
  while (!channel->SendHeartbeat(MakeHeartbeat(), kHangLimit)) {
  }
}

TEST(PeerServerLimit, IdleConnectionIsClosedAndReplaced)
{
  PeerServerOptions options{ .secret = "s3cret" };
  options.idleLimit = 500ms;
  Fixture fixture(options);
  Injector injector(fixture);
  injector.relay.AwaitTargetEnd();
  AwaitRecovery(injector.channel);
  EXPECT_EQ(injector.channel.Traffic().connections, 2u);
}

// Guards against replies that pile up for a peer which does not read them.
TEST(PeerServerLimit, PeerThatDoesNotReadItsRepliesIsClosed)
{
  constexpr int kReplies = 8;
  PeerServerOptions options{ .secret = "s3cret" };
  options.messageLimit = 500ms;
  options.maxConnections = 2;
  Fixture fixture(options);
  // Together more than the system buffers for one connection.
  fixture.service.config = [] { return ConfigReply{ 1, std::string(3'900'000, 'c') }; };
  auto good = fixture.Channel();
  ASSERT_TRUE(good->SendHeartbeat(MakeHeartbeat(), kHangLimit));
  Injector injector(fixture);
  injector.relay.StopReadingFromTarget();
  std::vector<std::thread> callers;
  for (int i = 0; i < kReplies; ++i) {
    callers.emplace_back([&] { std::ignore = injector.channel.FetchConfig(24h); });
  }
  // There is room for another connection only when the stalled one has been closed.
  auto third = fixture.Channel();
  while (!third->SendHeartbeat(MakeHeartbeat(), kHangLimit)) {
    EXPECT_TRUE(good->SendHeartbeat(MakeHeartbeat(), kHangLimit));
    std::this_thread::sleep_for(10ms);
  }
  EXPECT_EQ(good->Traffic().connections, 1u);
  injector.relay.ResetAll();
  for (std::thread& caller : callers) {
    caller.join();
  }
}

/// Counts the outcomes of aCalls calls made at once while none may end.
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
        auto reply = this->channel->SendCall(MakeCall("x"), kHangLimit);
        ++(reply                               ? this->answered
           : reply.Error() == Errc::Overloaded ? this->overloaded
                                               : this->failed);
      });
    }
  }
  /// Lets the calls end once aCount of them have been refused.
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
  std::atomic<unsigned> answered{ 0 };
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
  EXPECT_EQ(calls.answered, 3u);
  EXPECT_EQ(calls.overloaded, 2u);
}

TEST(PeerServerLimit, WaitingCallsAreBoundedAndHeartbeatsAreNotAmongThem)
{
  PeerServerOptions options{ .secret = "s3cret" };
  options.callThreads = 1;
  options.maxWaitingCalls = 1;
  Fixture fixture(options);
  BlockedCalls calls(fixture, 6);
  ASSERT_TRUE(calls.gate.AwaitArrivals(1));
  EXPECT_TRUE(fixture.ServesGoodClient());
  calls.Finish(4);
  EXPECT_EQ(calls.answered, 2u);
  EXPECT_EQ(calls.overloaded, 4u);
}

// Guards against work begun for a caller who has given up.
TEST(PeerServerLimit, CallPastItsDeadlineIsNotCarriedOut)
{
  Fixture fixture;
  std::atomic<unsigned> carriedOut{ 0 };
  fixture.service.call = [&](const Call&) {
    ++carriedOut;
    return CallReply{};
  };
  Call call = MakeCall("x");
  call.deadline = Duration::zero();
  EXPECT_EQ(fixture.Channel()->SendCall(call, kHangLimit).Error(), Errc::DeadlineExceeded);
  EXPECT_EQ(carriedOut, 0u);
}

TEST(PeerServerLimit, ExceptionOfTheServiceFailsItsCallOnly)
{
  Fixture fixture;
  fixture.service.call = [](const Call&) -> Result<CallReply> {
    throw std::runtime_error("defect");
  };
  auto channel = fixture.Channel();
  EXPECT_EQ(channel->SendCall(MakeCall("x"), kHangLimit).Error(), Errc::OutcomeUnknown);
  EXPECT_TRUE(channel->SendHeartbeat(MakeHeartbeat(), kHangLimit));
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
      [this] { this->reply = this->channel->SendCall(MakeCall("running"), kHangLimit); });
    EXPECT_TRUE(this->gate.AwaitArrivals(1));
  }

  Fixture fixture;
  Gate gate;
  std::unique_ptr<PeerChannel> channel = this->fixture.Channel();
  PeerResult<CallReply> reply{ Errc::Unreachable, PeerFailure::None };
  std::thread caller;
};

TEST_F(PeerServerStop, RefusesNewCallsFinishesRunningOnesAndThenRefusesConnections)
{
  bool isComplete = false;
  std::thread stop([&] { isComplete = this->fixture.server.Stop(kHangLimit); });
  PeerResult<CallReply> refused(Errc::Unreachable, PeerFailure::None);
  do {
    refused = this->channel->SendCall(MakeCall("new"), kHangLimit);
  } while (refused);
  EXPECT_EQ(refused.Error(), Errc::NotPermitted);
  EXPECT_EQ(refused.Failure(), PeerFailure::Answered);
  EXPECT_TRUE(this->channel->SendHeartbeat(MakeHeartbeat(), kHangLimit));
  this->gate.Open();
  stop.join();
  this->caller.join();
  EXPECT_TRUE(isComplete);
  ASSERT_TRUE(this->reply) << this->reply.Error().message();
  EXPECT_EQ(this->reply->body, "running");
  auto after = this->fixture.Channel()->SendHeartbeat(MakeHeartbeat(), kHangLimit);
  EXPECT_EQ(after.Error(), Errc::Unreachable);
  EXPECT_EQ(after.Failure(), PeerFailure::Refused);
}

TEST_F(PeerServerStop, CallStillRunningAtTheLimitHasAnUnknownOutcome)
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
