#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "JobCodec.h"

namespace daisydrift {
namespace {

/// Parses a body and returns "line:column: code" of each finding, separated by spaces.
std::string Codes(const std::string& aBody)
{
  Findings findings;
  bool isAccepted = ParseJobSubmission(aBody, findings).has_value();
  EXPECT_EQ(isAccepted, findings.Empty()) << aBody;
  std::string codes;
  for (const Finding& finding : findings.Items()) {
    codes += (codes.empty() ? "" : " ") + std::to_string(finding.place.line) + ":" +
             std::to_string(finding.place.column) + ": " + finding.code;
  }
  return codes;
}

/// Returns a valid submission with additional fields.
std::string WithFields(const std::string& aFields)
{
  return R"({"name":"a","size":{"milli_cores":1,"memory_mib":1})" + aFields + "}";
}

/// Returns a submission with this text as its size.
std::string WithSize(const std::string& aSize)
{
  return R"({"name":"a","size":)" + aSize + "}";
}

/// Returns a submission whose payload consists of nested arrays.
std::string WithNestedPayload(std::size_t aDepth)
{
  return WithFields(R"(,"payload":)" + std::string(aDepth, '[') + std::string(aDepth, ']'));
}

// Guards against an invalid submission that is accepted, or rejected with a wrong code or position.
TEST(JobCodec, RejectsInvalidSubmissions)
{
  struct Case
  {
    std::string body;
    std::string codes;
  };
  const std::vector<Case> kCases = {
    { "", "1:1: malformed_json" },
    { "{\n  \"name\": x}", "2:11: malformed_json" },
    { "[]", "1:1: wrong_type" },
    { "null", "1:1: wrong_type" },
    { "{}", "0:0: missing_field 0:0: missing_field" },
    { WithFields(R"(,"colour":1)"), "0:0: unknown_field" },
    { WithFields(R"(,"class":"cron")"), "0:0: unknown_value" },
    { WithFields(R"(,"class":7)"), "0:0: wrong_type" },
    { WithFields(R"(,"urgent":"yes")"), "0:0: wrong_type" },
    { WithFields(R"(,"kind":"")"), "0:0: wrong_type" },
    { WithFields(R"(,"kind":")" + std::string(129, 'k') + "\""), "0:0: wrong_type" },
    { WithFields(R"(,"tasks":0)"), "0:0: out_of_range" },
    { WithFields(R"(,"tasks":-1)"), "0:0: out_of_range" },
    { WithFields(R"(,"tasks":20001)"), "0:0: out_of_range" },
    { WithFields(R"(,"tasks":4294967297)"), "0:0: out_of_range" },
    { WithFields(R"(,"tasks":18446744073709551615)"), "0:0: out_of_range" },
    { WithFields(R"(,"tasks":1.5)"), "0:0: out_of_range" },
    { WithFields(R"(,"tasks":"1")"), "0:0: out_of_range" },
    { WithFields(R"(,"max_failures":0)"), "0:0: out_of_range" },
    { WithFields(R"(,"run_time_ms":-1)"), "0:0: out_of_range" },
    { WithSize("[1,2]"), "0:0: missing_field" },
    { WithSize("{}"), "0:0: missing_field 0:0: missing_field" },
    { WithSize(R"({"milli_cores":0,"memory_mib":1})"), "0:0: out_of_range" },
    { WithSize(R"({"milli_cores":1,"memory_mib":-1})"), "0:0: out_of_range" },
    { WithSize(R"({"milli_cores":10000001,"memory_mib":1})"), "0:0: out_of_range" },
    { WithSize(R"({"milli_cores":1,"memory_mib":1,"accelerators":1001})"), "0:0: out_of_range" },
    { WithSize(R"({"milli_cores":1,"memory_mib":1,"disk":{"a":[{}]}})"), "0:0: unknown_field" },
    // All errors are reported at once.
    { R"({"tasks":0,"urgent":1,"x":1,"size":{"milli_cores":0,"memory_mib":0}})",
      "0:0: unknown_field 0:0: missing_field 0:0: wrong_type 0:0: out_of_range 0:0: out_of_range "
      "0:0: out_of_range" },
  };
  for (const Case& testCase : kCases) {
    EXPECT_EQ(Codes(testCase.body), testCase.codes) << testCase.body;
  }
  EXPECT_EQ(Codes(WithFields("")), "");
  EXPECT_EQ(Codes(WithFields(R"(,"tasks":20000)")), "");
}

// Guards against an uncaught exception for a number beyond the range of a double.
TEST(JobCodec, RejectsNumbersThatOverflow)
{
  EXPECT_EQ(Codes(WithFields(R"(,"tasks":1e999)")), "0:0: out_of_range");
  EXPECT_EQ(Codes(WithFields(R"(,"payload":-1e999)")), "0:0: out_of_range");
}

// Guards against stack exhaustion by a deeply nested payload.
TEST(JobCodec, ParsesDeepNesting)
{
  std::string body = WithNestedPayload(kMaxSubmissionBytes / 2 - 64);
  ASSERT_LE(body.size(), kMaxSubmissionBytes);
  EXPECT_EQ(Codes(body), "");
  EXPECT_EQ(Codes(body.substr(0, body.size() / 2)),
            "1:" + std::to_string(body.size() / 2 + 1) + ": malformed_json");
}

// Guards against input that causes an exception or is rejected without a finding. RapidCheck
// generates 100 inputs.
RC_GTEST_PROP(JobCodec, RandomInputNeverThrows, ())
{
  const auto kPieces = *rc::gen::container<std::vector<std::string>>(
    rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                   rc::gen::element<std::string>("{",
                                                 "}",
                                                 "[",
                                                 "]",
                                                 ":",
                                                 ",",
                                                 "\"name\"",
                                                 "\"size\"",
                                                 "\"payload\"",
                                                 "1e999",
                                                 "-1",
                                                 "18446744073709551616",
                                                 "\xff",
                                                 "null")));
  std::string text;
  for (const std::string& piece : kPieces) {
    text += piece;
  }
  for (const std::string& body : { text, WithFields(",\"payload\":" + text), WithSize(text) }) {
    Findings findings;
    bool isAccepted = ParseJobSubmission(body, findings).has_value();
    RC_ASSERT(isAccepted == findings.Empty());
  }
}

// Guards against job ids that do not parse back to the same region and number.
RC_GTEST_PROP(JobCodec, JobIdsRoundTrip, ())
{
  auto region = *rc::gen::nonEmpty(rc::gen::container<std::string>(
    rc::gen::oneOf(rc::gen::inRange('a', 'z'), rc::gen::just('-'))));
  auto job = *rc::gen::positive<JobNumber>();
  std::string readRegion;
  JobNumber readJob = 0;
  RC_ASSERT(ParseJobId(FormatJobId(region, job), readRegion, readJob));
  RC_ASSERT(readRegion == region);
  RC_ASSERT(readJob == job);
}

// Guards against a malformed job id that is accepted, or that changes the output parameters.
TEST(JobCodec, RejectsMalformedJobIds)
{
  for (const char* text : { "",
                            "-",
                            "a",
                            "a-",
                            "-1",
                            "a-0",
                            "a-x",
                            "a-1x",
                            "a-+1",
                            "a- 1",
                            "a-18446744073709551616" }) {
    std::string region = "unchanged";
    JobNumber job = 7;
    EXPECT_FALSE(ParseJobId(text, region, job)) << text;
    EXPECT_EQ(region, "unchanged") << text;
    EXPECT_EQ(job, 7U) << text;
  }
}

} // namespace
} // namespace daisydrift
