// Guards against a cancellation without a selector that cancels all unfinished jobs, and against
// one that is reported as executed although there is no leader.

#include "LeaderCallHandler.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

const ConfigDocument& NoConfig()
{
  static const ConfigDocument sConfig;
  return sConfig;
}

TEST(CancelTest, NeedsASelector)
{
  ManualClock clock;
  bool hasReachedLeader = false;
  LeaderCallHandler calls(
    "r",
    clock,
    [&](const std::function<void(RegionLeader*)>&) { hasReachedLeader = true; },
    NoConfig);
  for (const char* body : { "{}", "[]", "", "{\"job\": 7}", "{\"jobs\": \"r-1\"}" }) {
    Call call;
    call.kind = CallKind::Cancel;
    call.body = body;
    CallReply reply = calls.Handle(call);
    EXPECT_EQ(reply.status, 400) << body;
    EXPECT_NE(reply.body.find("\"not_run\""), std::string::npos) << reply.body;
  }
  EXPECT_FALSE(hasReachedLeader);
}

TEST(CancelTest, WithoutLeaderIsNotRun)
{
  ManualClock clock;
  LeaderCallHandler calls(
    "r", clock, [](const std::function<void(RegionLeader*)>& aWork) { aWork(nullptr); }, NoConfig);
  Call call;
  call.kind = CallKind::Cancel;
  call.body = R"({"name": "n"})";
  call.timeout = std::chrono::seconds(1);
  CallReply reply = calls.Handle(call);
  EXPECT_EQ(reply.status, 503);
  EXPECT_NE(reply.body.find("\"not_run\""), std::string::npos) << reply.body;
}

} // namespace
} // namespace daisydrift
