// Calls between instances over loopback. Guards against a field that is lost or changed on the
// wire, and an error that reaches the caller as another one.

#include "RpcTesting.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

const std::string kBytes("\0\xff\r\n\x01%", 6);

TEST(PeerContract, HeartbeatKeepsEveryField)
{
  Fixture fixture;
  auto channel = fixture.Channel();
  Heartbeat without;
  for (const Heartbeat& heartbeat : { MakeHeartbeat(), without }) {
    auto reply = channel->SendHeartbeat(heartbeat, kHangTimeout);
    ASSERT_TRUE(reply) << reply.Error().message();
    EXPECT_EQ(*reply, heartbeat);
    EXPECT_EQ(reply.Failure(), PeerFailure::None);
  }
}

TEST(PeerContract, CallKeepsEveryField)
{
  Fixture fixture;
  Call received;
  CallReply expectedReply{
    202, "application/json", kBytes, { { "Retry-After", "3" }, { "X", kBytes } }
  };
  fixture.service.call = [&](const Call& aCall) {
    received = aCall;
    return expectedReply;
  };
  auto channel = fixture.Channel();
  for (CallKind kind : { CallKind::Submit, CallKind::Query, CallKind::Cancel, CallKind::Edit }) {
    Call call{ kind, "team a", kBytes, kBytes, "/v1/jobs?x=1", 30s };
    auto reply = channel->SendCall(call, kHangTimeout);
    ASSERT_TRUE(reply) << reply.Error().message();
    EXPECT_EQ(*reply, expectedReply);
    EXPECT_EQ(received, call);
  }
}

TEST(PeerContract, ForwardedRequestKeepsEveryField)
{
  Fixture fixture;
  ForwardedRequest received;
  ForwardedReply expectedReply{ 503, { { "A", "1" }, { "A", "2" } }, kBytes, "not_run", "no_slot" };
  fixture.service.forward = [&](const ForwardedRequest& aRequest) {
    received = aRequest;
    return expectedReply;
  };
  ForwardedRequest request{ "bursary-desk",   "t",    7,    "POST", "/p?q=%20",
                            { { "B", "x" } }, kBytes, true, 30s };
  auto reply = fixture.Channel()->ForwardRequest(request, kHangTimeout);
  ASSERT_TRUE(reply) << reply.Error().message();
  EXPECT_EQ(*reply, expectedReply);
  EXPECT_EQ(received, request);
}

TEST(PeerContract, ConfigAndSuccessorKeepEveryField)
{
  Fixture fixture;
  fixture.service.config = [] { return ConfigReply{ 99, std::string(1'000'000, 'c') }; };
  SuccessorNotice received;
  fixture.service.successor = [&](const SuccessorNotice& aNotice) {
    received = aNotice;
    return SuccessorAck{ false, std::nullopt, 5s };
  };
  auto channel = fixture.Channel();
  auto config = channel->FetchConfig(kHangTimeout);
  ASSERT_TRUE(config);
  EXPECT_EQ(*config, (ConfigReply{ 99, std::string(1'000'000, 'c') }));
  SuccessorNotice notice{ "scheduler/north", 8, 6 };
  auto ack = channel->NotifySuccessor(notice, kHangTimeout);
  ASSERT_TRUE(ack);
  EXPECT_EQ(*ack, (SuccessorAck{ false, std::nullopt, 5s }));
  EXPECT_EQ(received, notice);
}

TEST(PeerContract, ErrorsOfTheServiceReachTheCallerUnchanged)
{
  Fixture fixture;
  std::error_code error;
  fixture.service.call = [&](const Call&) { return Result<CallReply>(error); };
  auto channel = fixture.Channel();
  for (int value = 1; value <= static_cast<int>(Errc::Corrupt); ++value) {
    error = static_cast<Errc>(value);
    auto reply = channel->SendCall(MakeCall(""), kHangTimeout);
    EXPECT_EQ(reply.Error(), error);
    EXPECT_EQ(reply.Failure(), PeerFailure::ErrorReply);
  }
  error = std::make_error_code(std::errc::no_space_on_device);
  EXPECT_EQ(channel->SendCall(MakeCall(""), kHangTimeout).Error(), Errc::OutcomeUnknown);
}

} // namespace
} // namespace daisydrift
