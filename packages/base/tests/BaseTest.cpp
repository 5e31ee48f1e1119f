// Guards against log values that can forge a second log line, malformed identifiers that are
// accepted, and errors in state charts that show up only when a transition is taken.

#include "daisydrift/base.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisydrift {
namespace {

TEST(LogLineTest, QuotesValuesThatCouldForgeAPair)
{
  LogLine line(LogLevel::Debug, "test");
  line.Add("body", "a b\nevent=\"forged\"")
    .Add("count", 3)
    .Add("wait_ms", std::chrono::milliseconds(4));
  EXPECT_EQ(line.Text(), "event=test body=\"a b\\nevent=\\\"forged\\\"\" count=3 wait_ms=4.000000");
}

RC_GTEST_PROP(LogLineProperty, QuotedValueHasNoLineBreak, (const std::string& aValue))
{
  std::string quoted = QuoteLogValue(aValue);
  RC_ASSERT(quoted.find('\n') == std::string::npos);
  RC_ASSERT(quoted.find('\r') == std::string::npos);
}

RC_GTEST_PROP(IdsProperty,
              AttemptIdRoundTripsThroughText,
              (JobNumber aJob, std::uint32_t aIndex, std::uint32_t aAttempt))
{
  AttemptId id{ { aJob, aIndex }, aAttempt };
  AttemptId parsed;
  RC_ASSERT(ParseAttemptId(ToString(id), parsed));
  RC_ASSERT(parsed == id);
}

TEST(IdsTest, MalformedAttemptIdIsRejected)
{
  for (const char* text :
       { "", "1", "1.2", "1.2.", "1.2.x", "1.2.3.4", "-1.2.3", "1.2.99999999999", " 1.2.3" }) {
    AttemptId id;
    EXPECT_FALSE(ParseAttemptId(text, id)) << text;
  }
}

TEST(StateChartTest, FollowsTransitions)
{
  Findings findings;
  auto chart = StateChart::Parse("# comment\ninitial a\na go -> b\nfinal b\n", "x.chart", findings);
  ASSERT_TRUE(chart) << findings.ToText();
  EXPECT_EQ(chart->Next("a", "go"), "b");
  EXPECT_EQ(chart->Next("b", "go"), std::nullopt);
  EXPECT_TRUE(chart->IsFinal("b"));
}

TEST(StateChartTest, ReportsAllFindingsWithTheirLocation)
{
  Findings findings;
  auto chart =
    StateChart::Parse("initial a\n  a go b\na go -> b\na go -> c\nd x -> a\n", "x.chart", findings);
  EXPECT_FALSE(chart);
  std::string text = findings.ToText();
  EXPECT_NE(text.find("x.chart:2:3: malformed_line"), std::string::npos) << text;
  EXPECT_NE(text.find("x.chart:4:1: duplicate_transition"), std::string::npos) << text;
  EXPECT_NE(text.find("unreachable_state: no transition leads to 'd'"), std::string::npos) << text;
  EXPECT_NE(text.find("dead_end: 'b'"), std::string::npos) << text;
}

TEST(MetricsTest, PrintsPrometheusText)
{
  Metrics metrics;
  metrics.Count("requests_total{code=\"200\"}", 2);
  metrics.Set("queue_length", 4);
  metrics.Observe("wait_seconds", std::chrono::milliseconds(10));
  std::string text = metrics.ToPrometheusText();
  EXPECT_NE(text.find("# TYPE requests_total counter\nrequests_total{code=\"200\"} 2\n"),
            std::string::npos)
    << text;
  EXPECT_NE(text.find("queue_length 4\n"), std::string::npos) << text;
  EXPECT_NE(text.find("wait_seconds_count 1\n"), std::string::npos) << text;
}

TEST(LogSamplerTest, LogsAllEventsUpToTheLimitAndThenSamples)
{
  LogSampler sampler(5, 10);
  unsigned lines = 0;
  for (int event = 0; event < 105; ++event) {
    lines += sampler.Weight(std::chrono::seconds(1)) > 0 ? 1 : 0;
  }
  EXPECT_EQ(lines, 15U);
  EXPECT_EQ(sampler.Weight(std::chrono::seconds(2)), 1U);
}

} // namespace
} // namespace daisydrift
