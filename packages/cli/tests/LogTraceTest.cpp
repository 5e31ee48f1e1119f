// Guards against a history that lacks lines of the job or is out of order when the logs of several
// instances follow one another.

#include "LogTrace.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

// Recorded log lines of three instances, concatenated, about a job whose leader was killed.
const char* const kLogs =
  R"(edge-3 time=2026-10-04T06:04:13.500Z level=info event=job_finished job=aa11 state=2
edge-3 time=2026-10-04T06:04:12.900Z level=info event=term_begins term=2
edge-3 time=2026-10-04T06:04:20.000Z level=info event=term_begins term=3
edge-1 time=2026-10-04T06:04:12.025Z level=info event=request_answered method=POST job=aa11 queue=q team=t status=200 config_version=2 spent_ms=6.1
edge-1 time=2026-10-04T06:04:12.026Z level=info event=request_answered method=POST job=bb22 queue=q team=t status=200 config_version=2 spent_ms=6.1
edge-2 time=2026-10-04T06:04:12.060Z level=info event=tasks_started job=aa11 step=0 tasks=3
a line without a time that names job=aa11
)";

TEST(LogTraceTest, ShowsJobLinesAndFleetEventsBetweenThem)
{
  std::vector<std::string> history = TraceJob(kLogs, "aa11");
  ASSERT_EQ(history.size(), 4U);
  EXPECT_NE(history[0].find("event=request_answered"), std::string::npos);
  EXPECT_NE(history[1].find("event=tasks_started"), std::string::npos);
  EXPECT_NE(history[2].find("event=term_begins term=2"), std::string::npos);
  EXPECT_NE(history[3].find("event=job_finished"), std::string::npos);
}

TEST(LogTraceTest, UnknownJobHasNoHistory)
{
  EXPECT_TRUE(TraceJob(kLogs, "cc33").empty());
  EXPECT_TRUE(TraceJob("", "aa11").empty());
}

} // namespace
} // namespace daisydrift
