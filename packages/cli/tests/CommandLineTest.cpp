#include "FakeServer.h"

#include "daisydrift/settings.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace daisydrift {
namespace {

const std::string kHeader =
  "team,weight,milli_cores,memory_mib,accelerators,max_running_tasks,open_queue\n";
const std::string kJob = "{\"name\": \"award\", \"size\": {\"milli_cores\": 1, \"memory_mib\": 1}}";

TeamEntry MakeTeam(const std::string& aName, std::uint32_t aWeight = 1)
{
  return { aName, aWeight, { 1000, 1024, 0 }, 10, false };
}

/// A problem with a code and an outcome.
ScriptedAnswer Problem(int aStatus, const std::string& aOutcome)
{
  return { aStatus,
           "{\"code\":\"some_code\",\"detail\":\"some detail\",\"outcome\":\"" + aOutcome + "\"}",
           "application/problem+json" };
}

// Guards against wrong exit codes: scripts decide by them whether to repeat a command.
TEST(CommandLine, ExitCodesFollowTheAnswer)
{
  struct Case
  {
    std::string command;
    ScriptedAnswer answer;
    ExitCode code;
  };
  const std::vector<Case> kCases = {
    { "jobs", { 200, "{\"jobs\":[]}" }, ExitCode::Ok },
    { "jobs", { 200, "{\"jobs\":[" }, ExitCode::Failed },
    { "jobs", { 200, "[]" }, ExitCode::Failed },
    { "jobs", Problem(401, "not_run"), ExitCode::Failed },
    { "jobs", Problem(503, "not_run"), ExitCode::Failed },
    { "jobs", { 500, "no json", "text/plain" }, ExitCode::Failed },
    { "status r-1", Problem(404, "not_run"), ExitCode::Failed },
    { "submit -", { 202, "{\"job\":\"r-1\",\"state\":\"waiting\"}" }, ExitCode::Ok },
    { "submit -", Problem(422, "not_run"), ExitCode::BadInput },
    { "submit -", Problem(400, "not_run"), ExitCode::BadInput },
    { "submit -", Problem(429, "not_run"), ExitCode::Failed },
    { "submit -", Problem(503, "not_run"), ExitCode::Failed },
    { "submit -", Problem(504, "unknown"), ExitCode::OutcomeUnknown },
    { "submit -", { 502, "bad gateway", "text/plain" }, ExitCode::OutcomeUnknown },
    { "cancel r-1", { 200, "{\"job\":\"r-1\",\"state\":\"cancelled\"}" }, ExitCode::Ok },
    { "cancel --name award", { 200, "{\"cancelled\":2}" }, ExitCode::Ok },
    { "domains drain hobart", Problem(409, "not_run"), ExitCode::Conflict },
    { "domains drain hobart", Problem(504, "unknown"), ExitCode::OutcomeUnknown },
    { "keys issue a", Problem(504, "unknown"), ExitCode::OutcomeUnknown },
    { "request desk /x", { 200, "hello" }, ExitCode::Ok },
    { "request desk /x", Problem(503, "not_run"), ExitCode::Failed },
    { "request desk /x", Problem(502, "ran"), ExitCode::Failed },
    { "request desk /x", Problem(502, "unknown"), ExitCode::OutcomeUnknown },
    { "status-fleet", { 200, "{\"instances\":[],\"teams\":[],\"leader\":null}" }, ExitCode::Ok },
    { "queue", { 200, "{\"waiting\":[]}" }, ExitCode::Ok },
    { "explain r-1", { 200, "{\"job\":\"r-1\",\"code\":\"fleet_full\"}" }, ExitCode::Ok },
    { "watch r-1", { 200, "{\"job\":\"r-1\",\"state\":\"succeeded\"}" }, ExitCode::Ok },
    { "watch r-1", { 200, "{\"job\":\"r-1\",\"state\":\"failed\"}" }, ExitCode::Failed },
    { "watch r-1",
      { 200, "{\"job\":\"r-1\",\"state\":\"outcome_unknown\"}" },
      ExitCode::OutcomeUnknown },
    { "teams export", { 200, "{}" }, ExitCode::Failed },
  };
  for (const Case& one : kCases) {
    FakeServer server;
    server.script = [&](const SeenRequest&) { return one.answer; };
    RunResult result = RunCommand(one.command + " --server " + server.Address(), { kJob });
    EXPECT_EQ(result.code, one.code) << one.command << " " << one.answer.status << result.err;
    EXPECT_EQ(RunCommand(one.command + " --server " + kNoServer, { kJob }).code,
              ExitCode::Unreachable);
  }
}

// Guards against mistakes in usage that reach a server.
TEST(CommandLine, RefusesWrongUsage)
{
  FakeServer server;
  const std::vector<std::string> kCommands = {
    "",
    "fly",
    "teams",
    "teams apply",
    "teams apply a b",
    "teams apply /no/such/file",
    "teams apply - --against -",
    "teams diff - --against -",
    "jobs extra",
    "jobs --outp json",
    "jobs --output xml",
    "jobs --output json --output json",
    "jobs --key dd_secret-key",
    "jobs --timeout-ms 0",
    "jobs --timeout-ms 1x",
    "jobs --key-file /no/such/file",
    "jobs --server localhost:80",
    "submit - --idempotency-key a/b",
    "cancel",
    "cancel r-1 --name award",
    "keys issue bad/name",
    "keys issue a --expires-in 5",
    "keys issue a --expires-in 0d",
    "keys revoke dd_secret-key",
    "services put s",
    "services put s --slots 0 --connections 1",
    "services put s --slots 1 --connections 1 --team bad/name",
    "domains put hobart",
    "request desk x --method get",
    "request bad/name x",
    "help fly",
  };
  for (const std::string& command : kCommands) {
    std::string full = command;
    if (!command.empty() && command != "fly" && command != "teams" && command != "help fly" &&
        command.find("--server") == std::string::npos) {
      full += " --server " + server.Address();
    }
    RunResult result = RunCommand(full, { kJob });
    EXPECT_EQ(result.code, ExitCode::BadInput) << command << result.err;
    EXPECT_NE(result.err, "") << command;
    EXPECT_EQ(result.err.find("secret-key"), std::string::npos) << command;
  }
  EXPECT_EQ(RunCommand("jobs").code, ExitCode::BadInput);
  EXPECT_TRUE(server.Seen().empty());
}

// Guards against a write that is sent again where it could run twice, and against one that is given
// up although another server could take it.
TEST(CommandLine, RetriesOnlyWhereSafe)
{
  struct Case
  {
    std::string command;
    bool isRepeated;
  };
  const std::vector<Case> kCases = {
    { "submit -", true },
    { "domains drain hobart", true },
    { "keys revoke dd_12345", true },
    { "cancel r-1", true },
    { "request desk x --repeatable", true },
    { "jobs", true },
    { "keys issue a", false },
    { "cancel --name award", false },
    { "request desk x", false },
  };
  for (const Case& one : kCases) {
    FakeServer good;
    good.script = [](const SeenRequest&) { return ScriptedAnswer{ 200, "{\"version\":1}" }; };
    {
      ClosingServer closing;
      RunResult result = RunCommand(
        one.command + " --server " + closing.Address() + " --server " + good.Address(), { kJob });
      EXPECT_EQ(result.code, one.isRepeated ? ExitCode::Ok : ExitCode::OutcomeUnknown)
        << one.command << result.err;
      EXPECT_EQ(closing.Requests(), 1);
      EXPECT_EQ(good.Seen().size(), one.isRepeated ? 1U : 0U) << one.command;
    }
    RunResult unsent =
      RunCommand(one.command + " --server " + kNoServer + " --server " + good.Address(), { kJob });
    EXPECT_EQ(unsent.code, ExitCode::Ok) << one.command << unsent.err;
  }
}

// Guards against an unknown outcome that a second server's "not run" turns into "not carried out".
TEST(CommandLine, DoubtOutlivesRefusalsOfOthers)
{
  ClosingServer closing;
  FakeServer refusing;
  refusing.script = [](const SeenRequest&) { return Problem(503, "not_run"); };
  std::string servers = " --server " + closing.Address() + " --server " + refusing.Address();
  RunResult result = RunCommand("submit - --idempotency-key k1" + servers, { kJob });
  EXPECT_EQ(result.code, ExitCode::OutcomeUnknown);
  EXPECT_NE(result.err.find("--idempotency-key k1"), std::string::npos);
  EXPECT_EQ(refusing.Seen().at(0).idempotencyKey, "k1");
  // A read has no outcome to be in doubt of.
  EXPECT_EQ(RunCommand("jobs --server " + closing.Address()).code, ExitCode::Unreachable);
}

// Guards against an export that changes something when it is applied, and against wrong exit codes
// for differences.
TEST(CommandLine, TeamsRoundTrip)
{
  FakeServer server;
  server.Edit({ PutTeam{ MakeTeam("a") }, PutTeam{ MakeTeam("b") } });
  std::string at = " --server " + server.Address();
  std::string exported = RunCommand("teams export" + at).out;
  EXPECT_EQ(RunCommand("teams diff -" + at, { exported }).code, ExitCode::Ok);
  EXPECT_EQ(RunCommand("teams apply -" + at, { exported }).code, ExitCode::Ok);
  EXPECT_EQ(server.Document().version, 1U);

  std::string changed = kHeader + "a,5,1000,1024,0,10,no\nc,1,1,1,0,1,yes\n";
  EXPECT_EQ(RunCommand("teams diff -" + at, { changed }).code, ExitCode::Differences);
  EXPECT_EQ(RunCommand("teams apply - --dry-run" + at, { changed }).code, ExitCode::Differences);
  EXPECT_EQ(RunCommand("teams apply -" + at, { changed }).code, ExitCode::Failed);
  EXPECT_EQ(server.Document().version, 1U);
  EXPECT_EQ(RunCommand("teams apply - --remove" + at, { changed }).code, ExitCode::Ok);
  EXPECT_EQ(server.Document().version, 2U);
  EXPECT_EQ(ExportTeams(server.Document()), changed);
  EXPECT_EQ(server.Document().audit.back().actor, "ada");
  EXPECT_EQ(RunCommand("teams apply - --remove" + at, { changed }).code, ExitCode::Ok);
  EXPECT_EQ(server.Document().version, 2U);

  RunResult bad = RunCommand("teams apply -" + at, { kHeader + "a,0,x,1,1,1,no\n" });
  EXPECT_EQ(bad.code, ExitCode::BadInput);
  EXPECT_NE(bad.err.find("standard input:2:3: bad_value"), std::string::npos) << bad.err;
  EXPECT_NE(bad.err.find("standard input:2:5: bad_value"), std::string::npos) << bad.err;
}

// Guards against an apply that overwrites what another operator changed after it was compared.
TEST(CommandLine, RacingApplyIsConflict)
{
  FakeServer server;
  server.Edit({ PutTeam{ MakeTeam("a") } });
  server.script = [&](const SeenRequest& aRequest) -> std::optional<ScriptedAnswer> {
    if (aRequest.method == "POST") {
      server.Edit({ PutTeam{ MakeTeam("a", 7) } });
    }
    return std::nullopt;
  };
  RunResult result = RunCommand("teams apply - --server " + server.Address(),
                                { kHeader + "a,5,1000,1024,0,10,no\n" });
  EXPECT_EQ(result.code, ExitCode::Conflict);
  EXPECT_NE(result.err.find("team/a: changed in version 2"), std::string::npos) << result.err;
  EXPECT_EQ(server.Document().teams.at("a").weight, 7U);
}

// Guards against a comparison offline that needs a server.
TEST(CommandLine, ComparesOffline)
{
  std::string path = testing::TempDir() + "teams.csv";
  std::ofstream(path) << kHeader << "a,1,1,1,1,1,no\n";
  EXPECT_EQ(RunCommand("teams diff - --against " + path, { kHeader + "a,1,1,1,1,1,no\n" }).code,
            ExitCode::Ok);
  RunResult result =
    RunCommand("teams apply - --dry-run --against " + path, { kHeader + "a,2,1,1,1,1,no\n" });
  EXPECT_EQ(result.code, ExitCode::Differences);
  EXPECT_NE(result.out.find("change"), std::string::npos);
  std::remove(path.c_str());
}

// Guards against a wait that ends before every instance has the version, or never.
TEST(CommandLine, WaitsForEveryInstance)
{
  FakeServer server;
  server.Edit({ PutFailureDomain{ "hobart", "lutruwita" } });
  int polls = 0;
  int ready = 3;
  server.script = [&](const SeenRequest& aRequest) -> std::optional<ScriptedAnswer> {
    if (aRequest.path != "/v1/admin/status") {
      return std::nullopt;
    }
    ++polls;
    if (polls == 1) {
      return Problem(503, "not_run");
    }
    std::string version = polls >= ready ? "2" : "1";
    return ScriptedAnswer{ 200,
                           "{\"instances\":[{\"id\":\"i1\",\"config_version\":2},"
                           "{\"id\":\"i2\",\"config_version\":" +
                             version + "}]}" };
  };
  std::string at = " --server " + server.Address();
  EXPECT_EQ(RunCommand("domains drain hobart --wait" + at).code, ExitCode::Ok);
  EXPECT_EQ(polls, ready);
  EXPECT_TRUE(server.Document().failureDomains.at("hobart").isDrained);
  polls = 0;
  ready = 1'000'000;
  RunResult late = RunCommand("domains drain hobart --wait --wait-timeout-ms 2000" + at);
  EXPECT_EQ(late.code, ExitCode::Failed);
  EXPECT_NE(late.err.find("i2"), std::string::npos) << late.err;
  EXPECT_EQ(late.err.find("i1"), std::string::npos) << late.err;
}

// Guards against a key that is not sent, or that is printed where it must not be.
TEST(CommandLine, KeysStaySecret)
{
  FakeServer server;
  server.Edit({ PutTeam{ MakeTeam("a") } });
  std::string at = " --server " + server.Address();
  std::string path = testing::TempDir() + "key";
  std::ofstream(path) << "dd_from-file\n";
  RunResult issued = RunCommand("keys issue a --expires-in 90d" + at);
  EXPECT_EQ(issued.code, ExitCode::Ok);
  EXPECT_EQ(server.Seen().back().body, "{\"team\":\"a\",\"expires_s\":7776000}");
  EXPECT_EQ(server.Seen().back().authorization, "Bearer dd_secret-key");
  std::string prefix = server.Document().keys.begin()->second.prefix;
  EXPECT_NE(issued.out.find(prefix), std::string::npos);
  RunResult listed = RunCommand("keys list --key-file " + path + at);
  EXPECT_EQ(server.Seen().back().authorization, "Bearer dd_from-file");
  EXPECT_NE(listed.out.find(prefix), std::string::npos);
  EXPECT_EQ(RunCommand("keys revoke " + prefix + at).code, ExitCode::Ok);
  EXPECT_TRUE(server.Document().keys.begin()->second.revokedAt.has_value());
  RunOptions split;
  split.key = "dd_a\r\nX: y";
  EXPECT_EQ(RunCommand("jobs" + at, split).code, ExitCode::BadInput);
  std::remove(path.c_str());
}

// Guards against control sequences of a server or another caller that reach the terminal, and
// against colour in files.
TEST(CommandLine, OutputIsSafeForTerminals)
{
  FakeServer server;
  server.script = [](const SeenRequest&) {
    return ScriptedAnswer{ 200,
                           "{\"jobs\":[{\"job\":\"r-1\",\"name\":\"a\\u001b[31mb\\u009b1m\","
                           "\"state\":\"failed\"}]}" };
  };
  RunOptions terminal;
  terminal.isTerminal = true;
  std::string command = "jobs --server " + server.Address();
  EXPECT_EQ(RunCommand(command).out.find('\033'), std::string::npos);
  std::string coloured = RunCommand(command, terminal).out;
  EXPECT_NE(coloured.find("\033[31mfailed\033[0m"), std::string::npos);
  EXPECT_NE(coloured.find("a?[31mb?1m"), std::string::npos);
  EXPECT_EQ(RunCommand(command + " --output json", terminal).out.find('\033'), std::string::npos);
}

// Guards against a watch that stops before the job ends or misses a change.
TEST(CommandLine, WatchFollowsTheJob)
{
  FakeServer server;
  int reads = 0;
  server.script = [&](const SeenRequest&) {
    const std::vector<std::string> kStates = { "waiting", "running", "running", "succeeded" };
    return ScriptedAnswer{
      200, "{\"job\":\"r-1\",\"state\":\"" + kStates.at(static_cast<std::size_t>(reads++)) + "\"}"
    };
  };
  RunResult result = RunCommand("watch r-1 --server " + server.Address());
  EXPECT_EQ(result.code, ExitCode::Ok);
  EXPECT_EQ(reads, 4);
  EXPECT_EQ(std::count(result.out.begin(), result.out.end(), '\n'), 6);
}

// Guards against a broken audit chain that is reported as whole.
TEST(CommandLine, VerifiesTheAuditChain)
{
  FakeServer server;
  server.Edit({ PutTeam{ MakeTeam("a") } });
  server.Edit({ PutTeam{ MakeTeam("a", 2) } });
  std::string at = " --server " + server.Address();
  EXPECT_EQ(RunCommand("audit" + at).code, ExitCode::Ok);
  EXPECT_EQ(RunCommand("audit verify" + at).code, ExitCode::Ok);
  JsonValue entry = EncodeAuditEntry(server.Document().audit[1]);
  std::string body = "{\"entries\":[" + ToJsonText(entry) + "]}";
  body.replace(body.find("other"), 5, "eve");
  FakeServer tampered;
  tampered.script = [&](const SeenRequest&) { return ScriptedAnswer{ 200, body }; };
  EXPECT_EQ(RunCommand("audit verify --server " + tampered.Address()).code, ExitCode::Failed);
}

// Guards against services and failure domains that are not stored as asked for.
TEST(CommandLine, PutsServicesAndDomains)
{
  FakeServer server;
  server.Edit({ PutTeam{ MakeTeam("a") }, PutTeam{ MakeTeam("b") } });
  std::string at = " --server " + server.Address();
  EXPECT_EQ(
    RunCommand("services put bursary-desk --slots 8 --connections 64 --team b --team a" + at).code,
    ExitCode::Ok);
  ServiceEntry expected{ "bursary-desk", 8, 64, false, { "a", "b" } };
  EXPECT_EQ(server.Document().services.at("bursary-desk"), expected);
  EXPECT_EQ(RunCommand("services put x --slots 1 --connections 1 --team none" + at).code,
            ExitCode::BadInput);
  EXPECT_EQ(RunCommand("domains put hobart --region lutruwita" + at).code, ExitCode::Ok);
  EXPECT_EQ(RunCommand("domains drain hobart" + at).code, ExitCode::Ok);
  EXPECT_NE(RunCommand("domains list" + at).out.find("hobart          lutruwita  yes"),
            std::string::npos);
  EXPECT_EQ(RunCommand("domains return hobart" + at).code, ExitCode::Ok);
  EXPECT_FALSE(server.Document().failureDomains.at("hobart").isDrained);
}

// Guards against bad files that are accepted or reported at the wrong place.
TEST(CommandLine, ChecksFilesBeforeSending)
{
  RunResult settings = RunCommand("check-settings -", { "{\n \"seats\": 0 }" });
  EXPECT_EQ(settings.code, ExitCode::BadInput);
  EXPECT_NE(settings.err.find("standard input:2:11: out_of_range"), std::string::npos);
  Findings findings;
  ReadJobFile(
    "{ // job\n \"name\": \"\", \"class\": \"fast\", \"tasks\": 0,\n \"size\": {\"cores\": "
    "1, \"milli_cores\": 5}, \"colour\": 1 }",
    "f",
    findings);
  EXPECT_EQ(findings.ToText(),
            "f:2:10: bad_value: \"name\" must be 1 to 128 characters\n"
            "f:2:23: bad_value: \"class\" must be batch, gang or service\n"
            "f:2:40: out_of_range: \"tasks\" must be from 1 to 1000000\n"
            "f:3:10: missing_key: \"size\" needs \"memory_mib\"\n"
            "f:3:11: unknown_key: \"cores\" is not a key of \"size\"\n"
            "f:3:42: unknown_key: \"colour\" is not a key of the job\n");
  Findings none;
  EXPECT_EQ(
    ReadJobFile("{ /* c */ \"name\":\"a\", \"payload\":[1.5,null],\n"
                "\"size\":{\"milli_cores\":1,\"memory_mib\":2}}",
                "f",
                none),
    "{\"name\":\"a\",\"payload\":[1.5,null],\"size\":{\"milli_cores\":1,\"memory_mib\":2}}");
}

// Guards against exceptions on garbage: 5,000 argument lists and 5,000 job files.
TEST(CommandLine, SurvivesGarbage)
{
  const std::vector<std::string> kWords = {
    "teams",       "apply",       "-",    "--",     "--output", "--output=json", "--wait",
    "-x",          "--=",         "",     "=",      "jobs",     "submit",        "--server",
    "127.0.0.1:1", "--key-file=", "\xff", "cancel", "r-1",      "--name",        "help"
  };
  const std::vector<std::string> kPieces = {
    "{", "}", "\"name\":", "\"size\":{", "1", "-", "\"", "\"tasks\":", ",", "[", "]"
  };
  std::uint64_t state = 20261204;
  auto next = [&state](std::size_t aBound) {
    state = state * 6364136223846793005U + 1442695040888963407U;
    return static_cast<std::size_t>((state >> 33) % aBound);
  };
  for (int i = 0; i < 5000; ++i) {
    std::vector<std::string> arguments;
    for (std::size_t count = next(7); count > 0; --count) {
      arguments.push_back(kWords[next(kWords.size())]);
    }
    std::string text;
    for (std::size_t count = next(20); count > 0; --count) {
      text += kPieces[next(kPieces.size())];
    }
    std::string error;
    Findings findings;
    EXPECT_NO_THROW({
      bool isParsed = ParseCommand(arguments, error).has_value();
      EXPECT_EQ(isParsed, error.empty());
      bool isRead = ReadJobFile(text, "f", findings).has_value();
      EXPECT_EQ(isRead, findings.Empty());
    });
  }
}

} // namespace
} // namespace daisydrift
