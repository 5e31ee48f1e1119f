#include "daisydrift/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace daisydrift {
namespace {

std::string ReadAndDescribeFindings(const std::string& aText)
{
  Findings findings;
  ReadJson(aText, "f", findings);
  return findings.ToText();
}

// Guards against malformed JSON that is accepted, or reported at the wrong line or column.
TEST(JsonReader, ReportsMalformedText)
{
  struct Case
  {
    std::string text;
    std::string findings;
  };
  const std::vector<Case> kCases = {
    { "{\"a\":1,}", "f:1:8: syntax: a comma must not stand before the end\n" },
    { "[1 2]", "f:1:4: syntax: ',' or ']' is expected\n" },
    { "[1,\n 2", "f:2:3: syntax: ',' or ']' is expected\nf:1:1: syntax: array is not closed\n" },
    { "{a:1}", "f:1:2: syntax: a key in double quotes is expected\n" },
    { "{\"a\" 1}", "f:1:6: syntax: ':' is expected after the key\n" },
    { "\"\xc3\xa9\xff\"", "f:1:3: invalid_utf8: string is not valid UTF-8\n" },
    { "\"\xed\xa0\x80\"",
      "f:1:2: invalid_utf8: string is not valid UTF-8\n"
      "f:1:2: invalid_utf8: string is not valid UTF-8\n"
      "f:1:2: invalid_utf8: string is not valid UTF-8\n" },
    { "\"\\ud800\"", "f:1:2: syntax: escape is half of a surrogate pair\n" },
    { "\"a\tb\"", "f:1:3: syntax: control character in a string; use an escape\n" },
    { "\"abc", "f:1:1: syntax: string is not closed\n" },
    { "[01, 1., 1e, 1e999, -]",
      "f:1:2: syntax: malformed number\nf:1:6: syntax: malformed number\n"
      "f:1:10: syntax: malformed number\nf:1:14: syntax: number is out of range\n"
      "f:1:21: syntax: malformed number\n" },
    { "1 /* x", "f:1:3: syntax: comment is not closed\n" },
    { "{} {}", "f:1:4: syntax: unexpected text after the value\n" },
    { std::string(65, '[') + std::string(65, ']'),
      "f:1:65: too_deep: nesting is deeper than 64\n" },
  };
  for (const Case& testCase : kCases) {
    EXPECT_EQ(ReadAndDescribeFindings(testCase.text), testCase.findings) << testCase.text;
  }
}

// Guards against values that change in a round trip through text.
RC_GTEST_PROP(JsonReader, RoundTripKeepsValues, ())
{
  auto text = *rc::gen::container<std::string>(rc::gen::inRange<char>(0, 127));
  auto integer = *rc::gen::arbitrary<std::int64_t>();
  JsonValue value = JsonValue::Object();
  JsonValue items = JsonValue::Array();
  items.items = { JsonValue(text), JsonValue(integer), JsonValue(true), JsonValue() };
  value.Set("x" + text, items).Set("\xf0\x9f\x8c\xbc", "\xc3\xa9");
  for (unsigned indent : { 0U, 2U }) {
    std::string written = ToJsonText(value, indent);
    Findings findings;
    auto read = ReadJson("// c\n" + written, "f", findings);
    RC_ASSERT(findings.Empty());
    RC_ASSERT(read.has_value());
    RC_ASSERT(ToJsonText(*read, indent) == written);
  }
}

// Guards against crashes and infinite loops on malformed input: 20,000 random sequences of
// fragments that exercise all parts of the grammar.
TEST(JsonReader, ReportsFindingsOnRandomInput)
{
  const std::vector<std::string> kFragments = {
    "{",    "}",        "[",   "]",  ",",    ":",   "\"",          "\\",
    "\\u",  "d83d",     "//",  "/*", "*/",   "\n",  " ",           "-",
    "1",    "0",        ".",   "e",  "true", "nul", "\"region\":", "\"limits\":{",
    "\xff", "\xf0\x9f", "\x01"
  };
  constexpr int kInputs = 20'000;
  std::uint64_t randomState = 20261204;
  auto nextRandom = [&randomState](std::size_t aBound) {
    randomState = randomState * 6364136223846793005U + 1442695040888963407U;
    return static_cast<std::size_t>((randomState >> 33) % aBound);
  };
  for (int i = 0; i < kInputs; ++i) {
    std::string text;
    for (std::size_t fragments = nextRandom(40); fragments > 0; --fragments) {
      text += kFragments[nextRandom(kFragments.size())];
    }
    Findings findings;
    EXPECT_NO_THROW(LoadDaemonSettings(text, "f", findings)) << text;
    EXPECT_FALSE(findings.Empty()) << text;
    EXPECT_LE(findings.Items().size(), 2 * kMaxJsonFindings + 100);
  }
}

} // namespace
} // namespace daisydrift
