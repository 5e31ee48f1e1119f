// Contract of the calls between instances over loopback. Guards against a field lost or changed on
// the wire, an error that reaches the caller as another one, and a slow call that holds up
// heartbeats.

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
    auto reply = channel->SendHeartbeat(heartbeat, kHangLimit);
    ASSERT_TRUE(reply) << reply.Error().message();
    EXPECT_EQ(*reply, heartbeat);
    EXPECT_EQ(reply.Failure(), PeerFailure::None);
  }
}

TEST(PeerContract, CallKeepsEveryField)
{
  Fixture fixture;
  Call seen;
  CallReply answer{ 202, "application/json", kBytes, { { "Retry-After", "3" }, { "X", kBytes } } };
  fixture.service.call = [&](const Call& aCall) {
    seen = aCall;
    return answer;
  };
  auto channel = fixture.Channel();
  for (CallKind kind : { CallKind::Submit, CallKind::Query, CallKind::Cancel, CallKind::Edit }) {
    Call call{ kind, "team a", kBytes, kBytes, "/v1/jobs?x=1", 30s };
    auto reply = channel->SendCall(call, kHangLimit);
    ASSERT_TRUE(reply) << reply.Error().message();
    EXPECT_EQ(*reply, answer);
    EXPECT_EQ(seen, call);
  }
}

TEST(PeerContract, ForwardedRequestKeepsEveryField)
{
  Fixture fixture;
  ForwardedRequest seen;
  ForwardedReply answer{ 503, { { "A", "1" }, { "A", "2" } }, kBytes, "not_run", "no_slot" };
  fixture.service.forward = [&](const ForwardedRequest& aRequest) {
    seen = aRequest;
    return answer;
  };
  ForwardedRequest request{ "bursary-desk",   "t",    7,    "POST", "/p?q=%20",
                            { { "B", "x" } }, kBytes, true, 30s };
  auto reply = fixture.Channel()->ForwardRequest(request, kHangLimit);
  ASSERT_TRUE(reply) << reply.Error().message();
  EXPECT_EQ(*reply, answer);
  EXPECT_EQ(seen, request);
}

TEST(PeerContract, ConfigAndSuccessorKeepEveryField)
{
  Fixture fixture;
  fixture.service.config = [] { return ConfigReply{ 99, std::string(1'000'000, 'c') }; };
  SuccessorNotice seen;
  fixture.service.successor = [&](const SuccessorNotice& aNotice) {
    seen = aNotice;
    return SuccessorAck{ false, std::nullopt, 5s };
  };
  auto channel = fixture.Channel();
  auto config = channel->FetchConfig(kHangLimit);
  ASSERT_TRUE(config);
  EXPECT_EQ(*config, (ConfigReply{ 99, std::string(1'000'000, 'c') }));
  SuccessorNotice notice{ "scheduler/north", 8, 6 };
  auto ack = channel->NotifySuccessor(notice, kHangLimit);
  ASSERT_TRUE(ack);
  EXPECT_EQ(*ack, (SuccessorAck{ false, std::nullopt, 5s }));
  EXPECT_EQ(seen, notice);
}

TEST(PeerContract, ErrorsOfTheServiceReachTheCallerUnchanged)
{
  Fixture fixture;
  std::error_code error;
  fixture.service.call = [&](const Call&) { return Result<CallReply>(error); };
  auto channel = fixture.Channel();
  for (int value = 1; value <= static_cast<int>(Errc::Corrupt); ++value) {
    error = static_cast<Errc>(value);
    auto reply = channel->SendCall(MakeCall(""), kHangLimit);
    EXPECT_EQ(reply.Error(), error);
    EXPECT_EQ(reply.Failure(), PeerFailure::Answered);
  }
  error = std::make_error_code(std::errc::no_space_on_device);
  EXPECT_EQ(channel->SendCall(MakeCall(""), kHangLimit).Error(), Errc::OutcomeUnknown);
}

} // namespace
} // namespace daisydrift
