#include "daisydrift/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace daisydrift {
namespace {

const std::string kValidSettings = R"({
  // Identity
  "region": "lutruwita", "failure_domain": "hobart",
  "listen": { "address": "10.0.0.1", "http_port": 80 },
  "store": { "endpoints": ["10.0.9.1:2379", "10.0.9.2:2379"] },
  "directory": { "endpoint": "10.0.9.3:80" }, /* platform */
  "operators": { "key_digest_file": "operators.sha256" },
  "instances": { "secret_file": "secret" },
  "limits": { "idle_timeout_ms": 5000 },
  "policy": { "preset": "packing", "packing_weight": 2 }
})";

std::string LoadAndDescribeFindings(const std::string& aText)
{
  Findings findings;
  LoadDaemonSettings(aText, "f", findings);
  return findings.ToText();
}

/// The valid settings with one part replaced.
std::string ReplaceInValidSettings(const std::string& aOldText, const std::string& aNewText)
{
  std::string text = kValidSettings;
  text.replace(text.find(aOldText), aOldText.size(), aNewText);
  return text;
}

// Guards against a setting that is written to the wrong field, and a default that is not applied.
TEST(DaemonSettings, ReadsValuesAndDefaults)
{
  Findings findings;
  DaemonSettings settings = LoadDaemonSettings(kValidSettings, "f", findings);
  EXPECT_EQ(findings.ToText(), "");
  EXPECT_EQ(settings.failureDomain, "hobart");
  EXPECT_EQ(settings.instanceId, "");
  EXPECT_EQ(settings.listen.httpPort, 80);
  EXPECT_EQ(settings.listen.rpcPort, 7402);
  EXPECT_EQ(settings.advertisedAddress, "10.0.0.1");
  ASSERT_EQ(settings.storeEndpoints.size(), 2U);
  EXPECT_EQ(ToString(settings.storeEndpoints[1]), "10.0.9.2:2379");
  EXPECT_EQ(settings.seats, 7U);
  EXPECT_EQ(settings.limits.idleTimeout, std::chrono::seconds(5));
  EXPECT_EQ(settings.limits.headerTimeout, std::chrono::seconds(10));
  EXPECT_EQ(settings.workerSyncInterval, std::chrono::seconds(1));
  EXPECT_EQ(settings.policy.preset, PolicyPreset::Packing);
  EXPECT_EQ(settings.policy.packingWeight, 2.0);
  EXPECT_FALSE(settings.policy.spreadWeight.has_value());
  EXPECT_EQ(settings.logLevel, LogLevel::Info);
}

// Guards against an invalid settings file that is accepted, or reported at the wrong position.
TEST(DaemonSettings, ReportsInvalidSettingsWithPosition)
{
  struct Case
  {
    std::string text;
    std::string findings;
  };
  const std::vector<Case> kCases = {
    { ReplaceInValidSettings("\"region\"", "\"regoin\""),
      "f:3:3: unknown_key: \"regoin\" is not a setting\n"
      "f:1:1: missing_key: \"region\" is required\n" },
    { ReplaceInValidSettings("\"http_port\"", "\"port\""),
      "f:4:38: unknown_key: \"listen.port\" is not a setting\n" },
    { ReplaceInValidSettings("80 }", "\"80\" }"),
      "f:4:51: wrong_type: \"listen.http_port\" must be an integer\n" },
    { ReplaceInValidSettings("80 }", "80.5 }"),
      "f:4:51: wrong_type: \"listen.http_port\" must be an integer\n" },
    { ReplaceInValidSettings("80 }", "65536 }"),
      "f:4:51: out_of_range: \"listen.http_port\" must be from 0 to 65535\n" },
    { ReplaceInValidSettings("5000", "99"),
      "f:9:34: out_of_range: \"limits.idle_timeout_ms\" must be from 100 to 3600000 ms\n" },
    { ReplaceInValidSettings("{ \"idle_timeout_ms\": 5000 }", "7"),
      "f:9:13: wrong_type: \"limits\" must be an object\n" },
    { ReplaceInValidSettings("\"hobart\"", "\"hobart\", \"region\": \"x\""),
      "f:3:54: duplicate_key: \"region\" is given more than once\n" },
    { ReplaceInValidSettings("\"packing\",", "\"pack\","),
      "f:10:25: bad_value: \"policy.preset\" must be one of waiting_time, packing\n" },
    { ReplaceInValidSettings("10.0.9.2:2379", "store:2379"),
      "f:5:45: bad_value: \"store.endpoints\" must hold IPv4 numbers as IP:PORT\n" },
    { ReplaceInValidSettings("\"10.0.9.1:2379\", \"10.0.9.2:2379\"", ""),
      "f:5:27: out_of_range: \"store.endpoints\" must name at least one IP:PORT\n" },
    { ReplaceInValidSettings("10.0.9.3:80", "10.0.9.3"),
      "f:6:30: bad_value: \"directory.endpoint\" must be an IPv4 number and a port as IP:PORT\n" },
    { ReplaceInValidSettings("\"10.0.0.1\"", "\"0.0.0.0\""),
      "f:1:1: missing_key: \"advertised_address\" must be the address of this instance when it "
      "listens on 0.0.0.0\n" },
    { ReplaceInValidSettings("\"key_digest_file\"", "\"key_digest\""),
      "f:7:32: bad_value: \"operators.key_digest\" must be 64 lower-case hexadecimal digits\n" },
    { ReplaceInValidSettings("\"key_digest_file\": \"operators.sha256\"", ""),
      "f:1:1: missing_key: one of \"operators.key_digest\" and \"operators.key_digest_file\" is "
      "required\n" },
    { ReplaceInValidSettings("\"limits\"", "\"tls\": { \"key_file\": \"k\" }, \"limits\""),
      "f:9:24: conflicting_keys: \"tls.certificate_file\" and \"tls.key_file\" must be given "
      "together\n" },
    { ReplaceInValidSettings("\"hobart\"", "\"\""),
      "f:3:44: bad_value: \"failure_domain\" must be text that is not empty\n" },
    { "[]", "f:1:1: wrong_type: the settings must be an object\n" },
    { "", "f:1:1: syntax: a value is expected, but the text ends\n" },
  };
  for (const Case& testCase : kCases) {
    EXPECT_EQ(LoadAndDescribeFindings(testCase.text), testCase.findings) << testCase.text;
  }
}

// Guards against a syntax error that hides later errors, or that causes false reports of missing
// keys.
TEST(DaemonSettings, ContinuesAfterSyntaxErrors)
{
  std::string text = ReplaceInValidSettings("\"lutruwita\"", "lutruwita");
  text.replace(text.find("80 }"), 4, "-1 }");
  text.replace(text.find("\"secret\""), 8, "\"\\q\" x");
  EXPECT_EQ(LoadAndDescribeFindings(text),
            "f:3:13: syntax: a value is expected\n"
            "f:8:34: syntax: unknown escape in a string\n"
            "f:8:38: syntax: ',' or '}' is expected\n"
            "f:4:51: out_of_range: \"listen.http_port\" must be from 0 to 65535\n");
}

} // namespace
} // namespace daisydrift
