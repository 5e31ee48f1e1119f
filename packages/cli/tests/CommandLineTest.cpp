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

/// Response with a problem document that states an outcome.
ScriptedResponse ProblemResponse(int aStatus, const std::string& aOutcome)
{
  return { aStatus,
           "{\"code\":\"some_code\",\"detail\":\"some detail\",\"outcome\":\"" + aOutcome + "\"}",
           "application/problem+json" };
}

// Guards against wrong exit codes, by which scripts decide whether to repeat a command.
TEST(CommandLine, ExitCodeMatchesResponse)
{
  struct Case
  {
    std::string command;
    ScriptedResponse response;
    ExitCode code;
  };
  const std::vector<Case> kCases = {
    { "jobs", { 200, "{\"jobs\":[]}" }, ExitCode::Ok },
    { "jobs", { 200, "{\"jobs\":[" }, ExitCode::Failed },
    { "jobs", { 200, "[]" }, ExitCode::Failed },
    { "jobs", ProblemResponse(401, "not_run"), ExitCode::Failed },
    { "jobs", ProblemResponse(503, "not_run"), ExitCode::Failed },
    { "jobs", { 500, "no json", "text/plain" }, ExitCode::Failed },
    { "status r-1", ProblemResponse(404, "not_run"), ExitCode::Failed },
    { "submit -", { 202, "{\"job\":\"r-1\",\"state\":\"waiting\"}" }, ExitCode::Ok },
    { "submit -", ProblemResponse(422, "not_run"), ExitCode::BadInput },
    { "submit -", ProblemResponse(400, "not_run"), ExitCode::BadInput },
    { "submit -", ProblemResponse(429, "not_run"), ExitCode::Failed },
    { "submit -", ProblemResponse(503, "not_run"), ExitCode::Failed },
    { "submit -", ProblemResponse(504, "unknown"), ExitCode::OutcomeUnknown },
    { "submit -", { 502, "bad gateway", "text/plain" }, ExitCode::OutcomeUnknown },
    { "cancel r-1", { 200, "{\"job\":\"r-1\",\"state\":\"cancelled\"}" }, ExitCode::Ok },
    { "cancel --name award", { 200, "{\"cancelled\":2}" }, ExitCode::Ok },
    { "domains drain hobart", ProblemResponse(409, "not_run"), ExitCode::Conflict },
    { "domains drain hobart", ProblemResponse(504, "unknown"), ExitCode::OutcomeUnknown },
    { "keys issue a", ProblemResponse(504, "unknown"), ExitCode::OutcomeUnknown },
    { "request desk /x", { 200, "hello" }, ExitCode::Ok },
    { "request desk /x", ProblemResponse(503, "not_run"), ExitCode::Failed },
    { "request desk /x", ProblemResponse(502, "ran"), ExitCode::Failed },
    { "request desk /x", ProblemResponse(502, "unknown"), ExitCode::OutcomeUnknown },
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
  for (const Case& testCase : kCases) {
    FakeServer server;
    server.customHandler = [&](const ReceivedRequest&) { return testCase.response; };
    RunResult result = RunCommand(testCase.command + " --server " + server.Address(), { kJob });
    EXPECT_EQ(result.code, testCase.code)
      << testCase.command << " " << testCase.response.status << result.err;
    EXPECT_EQ(RunCommand(testCase.command + " --server " + kUnreachableServer, { kJob }).code,
              ExitCode::Unreachable);
  }
}

// Guards against invalid usage that is not detected before a request is sent.
TEST(CommandLine, RejectsInvalidUsage)
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
  EXPECT_TRUE(server.ReceivedRequests().empty());
}

// Guards against a write that is sent again although it could run twice, and against one that is
// not sent to the next server although that is safe.
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
  for (const Case& testCase : kCases) {
    FakeServer available;
    available.customHandler = [](const ReceivedRequest&) {
      return ScriptedResponse{ 200, "{\"version\":1}" };
    };
    {
      ClosingServer closing;
      RunResult result = RunCommand(testCase.command + " --server " + closing.Address() +
                                      " --server " + available.Address(),
                                    { kJob });
      EXPECT_EQ(result.code, testCase.isRepeated ? ExitCode::Ok : ExitCode::OutcomeUnknown)
        << testCase.command << result.err;
      EXPECT_EQ(closing.RequestCount(), 1);
      EXPECT_EQ(available.ReceivedRequests().size(), testCase.isRepeated ? 1U : 0U)
        << testCase.command;
    }
    RunResult unsent = RunCommand(testCase.command + " --server " + kUnreachableServer +
                                    " --server " + available.Address(),
                                  { kJob });
    EXPECT_EQ(unsent.code, ExitCode::Ok) << testCase.command << unsent.err;
  }
}

// Guards against reporting "not carried out" when the first server closed the connection without a
// response and only the second one responded "not_run".
TEST(CommandLine, UnknownOutcomeIsKeptAfterLaterRefusal)
{
  ClosingServer closing;
  FakeServer refusing;
  refusing.customHandler = [](const ReceivedRequest&) { return ProblemResponse(503, "not_run"); };
  std::string servers = " --server " + closing.Address() + " --server " + refusing.Address();
  RunResult result = RunCommand("submit - --idempotency-key k1" + servers, { kJob });
  EXPECT_EQ(result.code, ExitCode::OutcomeUnknown);
  EXPECT_NE(result.err.find("--idempotency-key k1"), std::string::npos);
  EXPECT_EQ(refusing.ReceivedRequests().at(0).idempotencyKey, "k1");
  // The outcome of a read is never unknown.
  EXPECT_EQ(RunCommand("jobs --server " + closing.Address()).code, ExitCode::Unreachable);
}

// Guards against an unmodified export that causes changes when it is applied, and against wrong
// exit codes for differences.
TEST(CommandLine, TeamsRoundTrip)
{
  FakeServer server;
  server.ApplyAsOtherOperator({ PutTeam{ MakeTeam("a") }, PutTeam{ MakeTeam("b") } });
  std::string serverOption = " --server " + server.Address();
  std::string exported = RunCommand("teams export" + serverOption).out;
  EXPECT_EQ(RunCommand("teams diff -" + serverOption, { exported }).code, ExitCode::Ok);
  EXPECT_EQ(RunCommand("teams apply -" + serverOption, { exported }).code, ExitCode::Ok);
  EXPECT_EQ(server.Document().version, 1U);

  std::string changed = kHeader + "a,5,1000,1024,0,10,no\nc,1,1,1,0,1,yes\n";
  EXPECT_EQ(RunCommand("teams diff -" + serverOption, { changed }).code, ExitCode::Differences);
  EXPECT_EQ(RunCommand("teams apply - --dry-run" + serverOption, { changed }).code,
            ExitCode::Differences);
  EXPECT_EQ(RunCommand("teams apply -" + serverOption, { changed }).code, ExitCode::Failed);
  EXPECT_EQ(server.Document().version, 1U);
  EXPECT_EQ(RunCommand("teams apply - --remove" + serverOption, { changed }).code, ExitCode::Ok);
  EXPECT_EQ(server.Document().version, 2U);
  EXPECT_EQ(ExportTeams(server.Document()), changed);
  EXPECT_EQ(server.Document().audit.back().actor, "ada");
  EXPECT_EQ(RunCommand("teams apply - --remove" + serverOption, { changed }).code, ExitCode::Ok);
  EXPECT_EQ(server.Document().version, 2U);

  RunResult bad = RunCommand("teams apply -" + serverOption, { kHeader + "a,0,x,1,1,1,no\n" });
  EXPECT_EQ(bad.code, ExitCode::BadInput);
  EXPECT_NE(bad.err.find("standard input:2:3: bad_value"), std::string::npos) << bad.err;
  EXPECT_NE(bad.err.find("standard input:2:5: bad_value"), std::string::npos) << bad.err;
}

// Guards against an apply that overwrites a change which another operator made after the
// comparison.
TEST(CommandLine, ConcurrentEditIsConflict)
{
  FakeServer server;
  server.ApplyAsOtherOperator({ PutTeam{ MakeTeam("a") } });
  server.customHandler = [&](const ReceivedRequest& aRequest) -> std::optional<ScriptedResponse> {
    if (aRequest.method == "POST") {
      server.ApplyAsOtherOperator({ PutTeam{ MakeTeam("a", 7) } });
    }
    return std::nullopt;
  };
  RunResult result = RunCommand("teams apply - --server " + server.Address(),
                                { kHeader + "a,5,1000,1024,0,10,no\n" });
  EXPECT_EQ(result.code, ExitCode::Conflict);
  EXPECT_NE(result.err.find("team/a: changed in version 2"), std::string::npos) << result.err;
  EXPECT_EQ(server.Document().teams.at("a").weight, 7U);
}

// Guards against a comparison of two files that requires a server.
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

// Guards against a wait that ends before every instance has the version, or that never ends.
TEST(CommandLine, WaitsForEveryInstance)
{
  FakeServer server;
  server.ApplyAsOtherOperator({ PutFailureDomain{ "hobart", "lutruwita" } });
  int polls = 0;
  int readyAfterPolls = 3;
  server.customHandler = [&](const ReceivedRequest& aRequest) -> std::optional<ScriptedResponse> {
    if (aRequest.path != "/v1/admin/status") {
      return std::nullopt;
    }
    ++polls;
    if (polls == 1) {
      return ProblemResponse(503, "not_run");
    }
    std::string version = polls >= readyAfterPolls ? "2" : "1";
    return ScriptedResponse{ 200,
                             "{\"instances\":[{\"id\":\"i1\",\"config_version\":2},"
                             "{\"id\":\"i2\",\"config_version\":" +
                               version + "}]}" };
  };
  std::string serverOption = " --server " + server.Address();
  EXPECT_EQ(RunCommand("domains drain hobart --wait" + serverOption).code, ExitCode::Ok);
  EXPECT_EQ(polls, readyAfterPolls);
  EXPECT_TRUE(server.Document().failureDomains.at("hobart").isDrained);
  polls = 0;
  readyAfterPolls = 1'000'000;
  RunResult timedOut =
    RunCommand("domains drain hobart --wait --wait-timeout-ms 2000" + serverOption);
  EXPECT_EQ(timedOut.code, ExitCode::Failed);
  EXPECT_NE(timedOut.err.find("i2"), std::string::npos) << timedOut.err;
  EXPECT_EQ(timedOut.err.find("i1"), std::string::npos) << timedOut.err;
}

// Guards against a key that is not sent, or that leaks into the output.
TEST(CommandLine, KeysStaySecret)
{
  FakeServer server;
  server.ApplyAsOtherOperator({ PutTeam{ MakeTeam("a") } });
  std::string serverOption = " --server " + server.Address();
  std::string path = testing::TempDir() + "key";
  std::ofstream(path) << "dd_from-file\n";
  RunResult issued = RunCommand("keys issue a --expires-in 90d" + serverOption);
  EXPECT_EQ(issued.code, ExitCode::Ok);
  EXPECT_EQ(server.ReceivedRequests().back().body, "{\"team\":\"a\",\"expires_s\":7776000}");
  EXPECT_EQ(server.ReceivedRequests().back().authorization, "Bearer dd_secret-key");
  std::string prefix = server.Document().keys.begin()->second.prefix;
  EXPECT_NE(issued.out.find(prefix), std::string::npos);
  RunResult listed = RunCommand("keys list --key-file " + path + serverOption);
  EXPECT_EQ(server.ReceivedRequests().back().authorization, "Bearer dd_from-file");
  EXPECT_NE(listed.out.find(prefix), std::string::npos);
  EXPECT_EQ(RunCommand("keys revoke " + prefix + serverOption).code, ExitCode::Ok);
  EXPECT_TRUE(server.Document().keys.begin()->second.revokedAt.has_value());
  RunOptions split;
  split.key = "dd_a\r\nX: y";
  EXPECT_EQ(RunCommand("jobs" + serverOption, split).code, ExitCode::BadInput);
  std::remove(path.c_str());
}

// Guards against control sequences from a server or another caller that reach the terminal, and
// against colour codes in redirected output.
TEST(CommandLine, OutputIsSafeForTerminals)
{
  FakeServer server;
  server.customHandler = [](const ReceivedRequest&) {
    return ScriptedResponse{ 200,
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

// Guards against a watch that stops before the job ends or misses a change of state.
TEST(CommandLine, WatchFollowsTheJob)
{
  FakeServer server;
  int reads = 0;
  server.customHandler = [&](const ReceivedRequest&) {
    const std::vector<std::string> kStates = { "waiting", "running", "running", "succeeded" };
    return ScriptedResponse{
      200, "{\"job\":\"r-1\",\"state\":\"" + kStates.at(static_cast<std::size_t>(reads++)) + "\"}"
    };
  };
  RunResult result = RunCommand("watch r-1 --server " + server.Address());
  EXPECT_EQ(result.code, ExitCode::Ok);
  EXPECT_EQ(reads, 4);
  EXPECT_EQ(std::count(result.out.begin(), result.out.end(), '\n'), 6);
}

// Guards against a tampered audit chain that is reported as valid.
TEST(CommandLine, VerifiesTheAuditChain)
{
  FakeServer server;
  server.ApplyAsOtherOperator({ PutTeam{ MakeTeam("a") } });
  server.ApplyAsOtherOperator({ PutTeam{ MakeTeam("a", 2) } });
  std::string serverOption = " --server " + server.Address();
  EXPECT_EQ(RunCommand("audit" + serverOption).code, ExitCode::Ok);
  EXPECT_EQ(RunCommand("audit verify" + serverOption).code, ExitCode::Ok);
  JsonValue entry = EncodeAuditEntry(server.Document().audit[1]);
  std::string body = "{\"entries\":[" + ToJsonText(entry) + "]}";
  body.replace(body.find("other"), 5, "eve");
  FakeServer tampered;
  tampered.customHandler = [&](const ReceivedRequest&) { return ScriptedResponse{ 200, body }; };
  EXPECT_EQ(RunCommand("audit verify --server " + tampered.Address()).code, ExitCode::Failed);
}

// Guards against services and failure domains that are stored with other values than given.
TEST(CommandLine, PutsServicesAndDomains)
{
  FakeServer server;
  server.ApplyAsOtherOperator({ PutTeam{ MakeTeam("a") }, PutTeam{ MakeTeam("b") } });
  std::string serverOption = " --server " + server.Address();
  EXPECT_EQ(RunCommand("services put bursary-desk --slots 8 --connections 64 --team b --team a" +
                       serverOption)
              .code,
            ExitCode::Ok);
  ServiceEntry expected{ "bursary-desk", 8, 64, false, { "a", "b" } };
  EXPECT_EQ(server.Document().services.at("bursary-desk"), expected);
  EXPECT_EQ(RunCommand("services put x --slots 1 --connections 1 --team none" + serverOption).code,
            ExitCode::BadInput);
  EXPECT_EQ(RunCommand("domains put hobart --region lutruwita" + serverOption).code, ExitCode::Ok);
  EXPECT_EQ(RunCommand("domains drain hobart" + serverOption).code, ExitCode::Ok);
  EXPECT_NE(RunCommand("domains list" + serverOption).out.find("hobart          lutruwita  yes"),
            std::string::npos);
  EXPECT_EQ(RunCommand("domains return hobart" + serverOption).code, ExitCode::Ok);
  EXPECT_FALSE(server.Document().failureDomains.at("hobart").isDrained);
}

// Guards against invalid files that are accepted or reported at the wrong line or column.
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

// Guards against exceptions on random input: 5,000 argument lists and 5,000 job files.
TEST(CommandLine, RandomInputDoesNotThrow)
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
  auto nextRandom = [&state](std::size_t aBound) {
    state = state * 6364136223846793005U + 1442695040888963407U;
    return static_cast<std::size_t>((state >> 33) % aBound);
  };
  for (int i = 0; i < 5000; ++i) {
    std::vector<std::string> arguments;
    for (std::size_t count = nextRandom(7); count > 0; --count) {
      arguments.push_back(kWords[nextRandom(kWords.size())]);
    }
    std::string text;
    for (std::size_t count = nextRandom(20); count > 0; --count) {
      text += kPieces[nextRandom(kPieces.size())];
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
