// Guards against a checker that misses a violation of an invariant, reports the wrong invariant, or
// reports a violation in a history that the invariants allow.

#include "daisydrift/checker.h"

#include <gtest/gtest.h>

#include <set>

namespace daisydrift {
namespace {

/// History that exercises every invariant and violates none. The cases below refer to its lines by
/// number, from 1.
const std::vector<std::string> kCleanHistory = {
  "event=worker at_ms=0 worker=w1 failure_domain=hobart milli_cores=4000 memory_mib=8192 "
  "accelerators=1",
  "event=worker at_ms=0 worker=w2 failure_domain=burnie milli_cores=4000 memory_mib=8192 "
  "accelerators=1",
  "event=upstream at_ms=0 upstream=u1 slots=1 connections=1",
  "event=upstream at_ms=0 upstream=u2 slots=1 connections=1",
  "event=key_issued at_ms=0 key=k1 team=a",
  "event=key_issued at_ms=0 key=k2 team=b",
  "event=queue at_ms=0 queue=public open=true",
  "event=ceiling at_ms=0 team=a tasks=2 milli_cores=4000 memory_mib=8192 accelerators=1",
  "event=instance_started at_ms=0 instance=e1",
  "event=instance_started at_ms=0 instance=e2",
  "event=config_in_force at_ms=10 instance=e1 version=1 digest=d1",
  "event=config_in_force at_ms=10 instance=e2 version=1 digest=d1",
  // Two tasks of team a; the first starts again on another worker after its end.
  "event=submission at_ms=100 submission=s1 team=a key=k1 verdict=accepted",
  "event=task_start at_ms=200 worker=w1 attempt=1.0.1 team=a milli_cores=2000 memory_mib=1024 "
  "accelerators=0 submission=s1",
  "event=task_start at_ms=210 worker=w1 attempt=1.1.1 team=a milli_cores=2000 memory_mib=1024 "
  "accelerators=1 repeatable=false",
  "event=task_end at_ms=300 worker=w1 attempt=1.0.1",
  "event=task_start at_ms=301 worker=w2 attempt=1.0.2 team=a milli_cores=2000 memory_mib=1024 "
  "accelerators=0",
  // A refused submission that never runs, work for an open queue, and work within the tolerance for
  // a revoked key.
  "event=submission at_ms=400 submission=s2 team=a key=k1 verdict=refused outcome=not_run",
  "event=submission at_ms=410 submission=s3 team=a queue=public verdict=accepted",
  "event=key_revoked at_ms=1000 key=k2",
  "event=submission at_ms=5900 submission=s4 team=b key=k2 verdict=accepted",
  // No task starts in the drained failure domain after the tolerance.
  "event=domain_drained at_ms=1000 domain=hobart",
  "event=domain_returned at_ms=9000 domain=hobart",
  "event=task_end at_ms=9100 worker=w1 attempt=1.1.1",
  "event=task_start at_ms=9200 worker=w1 attempt=2.0.1 team=b milli_cores=4000 memory_mib=1024 "
  "accelerators=0",
  // Requests: responses out of order, a repeatable one that runs twice, a refused one that never
  // runs.
  "event=request_sent at_ms=10000 request=r1 repeatable=false instance=e1 team=a key=k1",
  "event=request_sent at_ms=10001 request=r2 repeatable=true instance=e1",
  "event=request_sent at_ms=10002 request=r3 repeatable=false instance=e1",
  "event=connection_open at_ms=10003 upstream=u1 connection=c1",
  "event=upstream_start at_ms=10004 upstream=u1 request=r1",
  "event=upstream_start at_ms=10005 upstream=u2 request=r2",
  "event=upstream_end at_ms=10006 upstream=u2 request=r2",
  "event=upstream_start at_ms=10007 upstream=u2 request=r2",
  "event=upstream_end at_ms=10008 upstream=u2 request=r2 answer=a2",
  "event=request_answered at_ms=10009 request=r2 status=200 outcome=ran complete=true answer=a2",
  "event=upstream_end at_ms=10010 upstream=u1 request=r1 answer=a1",
  "event=request_answered at_ms=10011 request=r1 status=200 outcome=ran complete=true answer=a1",
  "event=request_answered at_ms=10012 request=r3 status=503 outcome=not_run complete=true",
  // A leaving upstream, a planned stop and a crash.
  "event=upstream_leaving at_ms=11000 upstream=u2",
  "event=request_sent at_ms=11100 request=r4 repeatable=false instance=e1",
  "event=instance_stop_planned at_ms=11200 instance=e1",
  "event=upstream_start at_ms=11300 upstream=u2 request=r4",
  "event=upstream_end at_ms=11400 upstream=u2 request=r4 answer=a4",
  "event=request_answered at_ms=11500 request=r4 status=200 outcome=ran complete=true answer=a4",
  "event=instance_stopped at_ms=12000 instance=e1",
  "event=instance_started at_ms=12500 instance=e3",
  "event=config_in_force at_ms=12600 instance=e3 version=1 digest=d1",
  "event=edit_accepted at_ms=20000 version=2 digest=d2",
  "event=config_in_force at_ms=21000 instance=e2 version=2 digest=d2",
  "event=config_in_force at_ms=32000 instance=e3 version=2 digest=d2",
  "event=request_sent at_ms=40000 request=r5 repeatable=false instance=e2",
  "event=request_broken at_ms=40100 request=r5 instance=e2",
  "event=instance_crashed at_ms=40101 instance=e2",
  R"({"event": "end", "at_ms": 60000, "note": "recording stopped"})",
};

std::string JoinLines(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const std::string& line : aLines) {
    text += line + "\n";
  }
  return text;
}

TEST(HistoryCheckerTest, CleanHistoryPassesAndExercisesEveryInvariant)
{
  HistoryReport report = CheckHistory(JoinLines(kCleanHistory), "clean");
  EXPECT_TRUE(report.findings.Empty()) << report.findings.ToText();
  EXPECT_TRUE(report.violations.empty()) << report.ToText();
  for (unsigned invariant = 1; invariant <= kInvariantCount; ++invariant) {
    EXPECT_GT(report.checks[invariant - 1], 0u) << "I" << invariant;
  }
}

struct ViolationCase
{
  unsigned invariant;
  const char* name;
  /// Lines appended to the clean history; the checker orders events by time.
  std::vector<std::string> added;
  /// Line of the clean history that is removed; 0 for none.
  unsigned removed = 0;
};

const std::string kSmallTask = " team=c milli_cores=1000 memory_mib=1024 accelerators=0";

const std::vector<ViolationCase> kViolationCases = {
  { 1,
    "worker overcommitted by a start",
    { "event=task_start at_ms=9300 worker=w1 attempt=3.0.1" + kSmallTask } },
  { 1,
    "worker overcommitted by a resize",
    { "event=task_resized at_ms=9300 worker=w1 attempt=2.0.1 milli_cores=4001 memory_mib=1 "
      "accelerators=0" } },
  { 1, "task end missing", {}, 24 },
  { 1,
    "upstream runs more than its slots",
    { "event=request_sent at_ms=10003 request=x repeatable=true",
      "event=upstream_start at_ms=10004.5 upstream=u1 request=x",
      "event=upstream_end at_ms=10004.6 upstream=u1 request=x",
      "event=request_answered at_ms=10005 request=x status=500 outcome=ran complete=true" } },
  { 1,
    "upstream has more than its connections",
    { "event=connection_open at_ms=10010 upstream=u1 connection=c2" } },
  { 2,
    "attempt 2 starts while attempt 1 runs",
    { "event=task_start at_ms=5000 worker=w2 attempt=8.0.1" + kSmallTask,
      "event=task_start at_ms=5001 worker=w2 attempt=8.0.2" + kSmallTask } },
  { 2,
    "the same attempt starts at two workers",
    { "event=task_start at_ms=20000 worker=w2 attempt=2.0.1" + kSmallTask } },
  { 3,
    "revoked key works after the tolerance",
    { "event=submission at_ms=6001 submission=x team=b key=k2 verdict=accepted" } },
  { 3,
    "key of another team",
    { "event=submission at_ms=500 submission=x team=b key=k1 verdict=accepted" } },
  { 3, "key never issued", { "event=submission at_ms=500 submission=x team=b verdict=accepted" } },
  { 3, "queue no longer open", { "event=queue at_ms=405 queue=public open=false" } },
  { 3,
    "request with a revoked key runs",
    { "event=request_sent at_ms=20000 request=x repeatable=true team=b key=k2",
      "event=upstream_start at_ms=20001 upstream=u1 request=x",
      "event=upstream_end at_ms=20002 upstream=u1 request=x",
      "event=request_answered at_ms=20003 request=x status=200 outcome=ran complete=true" } },
  { 4,
    "third task of a team with two",
    { "event=task_start at_ms=400 worker=w2 attempt=4.0.1 team=a milli_cores=0 memory_mib=0 "
      "accelerators=0" } },
  { 4,
    "lowered ceiling ignored",
    { "event=ceiling at_ms=20000 team=a tasks=0 milli_cores=0 memory_mib=0 accelerators=0" } },
  { 5,
    "start in a drained failure domain",
    { "event=task_start at_ms=6001 worker=w1 attempt=5.0.1 team=c milli_cores=0 memory_mib=0 "
      "accelerators=0" } },
  { 6,
    "answer of another request",
    { "event=request_sent at_ms=30000 request=x repeatable=true",
      "event=request_answered at_ms=30001 request=x status=200 outcome=ran complete=true "
      "answer=a1" } },
  { 6,
    "incomplete response",
    { "event=request_sent at_ms=30000 request=x repeatable=true",
      "event=request_answered at_ms=30001 request=x status=200 outcome=ran complete=false" } },
  { 6,
    "two responses",
    { "event=request_answered at_ms=30001 request=r1 status=200 outcome=ran complete=true "
      "answer=a1" } },
  { 6, "no response", { "event=request_sent at_ms=30000 request=x repeatable=true" } },
  { 6, "connection ends without a crash", {}, 53 },
  { 7,
    "refused request ran",
    { "event=upstream_start at_ms=30000 upstream=u1 request=r3",
      "event=upstream_end at_ms=30001 upstream=u1 request=r3" } },
  { 7,
    "refused submission ran",
    { "event=task_start at_ms=500 worker=w2 attempt=7.0.1 submission=s2" + kSmallTask } },
  { 8,
    "request ran at two upstreams",
    { "event=upstream_start at_ms=10010.5 upstream=u2 request=r1",
      "event=upstream_end at_ms=10010.6 upstream=u2 request=r1" } },
  { 8,
    "task that is not repeatable started again",
    { "event=task_start at_ms=9400 worker=w2 attempt=1.1.2 team=c milli_cores=0 memory_mib=0 "
      "accelerators=0" } },
  { 9,
    "leaving upstream gets a request",
    { "event=request_sent at_ms=16000 request=x repeatable=true",
      "event=upstream_start at_ms=16001 upstream=u2 request=x",
      "event=upstream_end at_ms=16002 upstream=u2 request=x",
      "event=request_answered at_ms=16003 request=x status=200 outcome=ran complete=true" } },
  { 10,
    "planned stop breaks a request",
    { "event=request_sent at_ms=11000 request=x repeatable=true instance=e1",
      "event=request_broken at_ms=11999 request=x instance=e1" } },
  { 11, "version not in force in time", {}, 50 },
  { 11,
    "version goes back",
    { "event=config_in_force at_ms=34000 instance=e3 version=1 digest=d1" } },
  { 11,
    "two edits accepted as one version",
    { "event=edit_accepted at_ms=20001 version=2 digest=d2" } },
  { 11,
    "one version with two contents",
    { "event=config_in_force at_ms=33000 instance=e3 version=2 digest=other" } },
  { 11,
    "new instance starts with an old version",
    { "event=instance_started at_ms=34000 instance=e4",
      "event=config_in_force at_ms=34001 instance=e4 version=1 digest=d1" } },
};

TEST(HistoryCheckerTest, FindsInjectedViolations)
{
  std::set<unsigned> coveredInvariants;
  for (const ViolationCase& item : kViolationCases) {
    SCOPED_TRACE(std::string("I") + std::to_string(item.invariant) + " " + item.name);
    std::vector<std::string> lines = kCleanHistory;
    if (item.removed != 0) {
      lines[item.removed - 1] = "# removed";
    }
    lines.insert(lines.end(), item.added.begin(), item.added.end());
    HistoryReport report = CheckHistory(JoinLines(lines), "planted");
    EXPECT_TRUE(report.findings.Empty()) << report.findings.ToText();
    for (unsigned invariant = 1; invariant <= kInvariantCount; ++invariant) {
      EXPECT_EQ(report.IsAllowed(invariant), invariant != item.invariant) << report.ToText();
    }
    ASSERT_EQ(report.violations.size(), 1u) << report.ToText();
    EXPECT_FALSE(report.violations.front().lines.empty());
    coveredInvariants.insert(item.invariant);
  }
  EXPECT_EQ(coveredInvariants.size(), kInvariantCount);
}

// Guards against a report that lists lines other than those that show the violation.
TEST(HistoryCheckerTest, NamesTheOffendingLines)
{
  std::vector<std::string> lines = kCleanHistory;
  lines.push_back("event=submission at_ms=6001 submission=x team=b key=k2 verdict=accepted");
  HistoryReport report = CheckHistory(JoinLines(lines), "planted");
  ASSERT_EQ(report.violations.size(), 1u);
  EXPECT_EQ(report.violations.front().lines,
            (std::vector<unsigned>{ 20, static_cast<unsigned>(lines.size()) }));
  EXPECT_NE(report.ToText().find("I3 line 20 55: submission x is accepted with a revoked key"),
            std::string::npos)
    << report.ToText();
}

// Guards against tolerances that are not applied, or with a wrong comparison at the limit.
TEST(HistoryCheckerTest, TolerancesAreInclusive)
{
  std::vector<std::string> lines = kCleanHistory;
  lines.push_back("event=submission at_ms=6000 submission=x team=b key=k2 verdict=accepted");
  EXPECT_TRUE(CheckHistory(JoinLines(lines), "").violations.empty());
  CheckTolerances strict;
  strict.revokedKey = Duration(0);
  EXPECT_FALSE(CheckHistory(JoinLines(lines), "", strict).IsAllowed(3));
}

struct MalformedCase
{
  const char* line;
  const char* code;
  unsigned column;
};

const MalformedCase kMalformedCases[] = {
  { "event=end at_ms=1 junk", "not_key_value", 19 },
  { "event=end at_ms=1 =x", "not_key_value", 19 },
  { "event=end at_ms=1 note=\"open", "unterminated_quote", 24 },
  { "event=end at_ms=1 note=a\"b", "stray_quote", 25 },
  { "event=end at_ms=1 note=\"a\"b", "not_key_value", 27 },
  { "event=end at_ms=1 at_ms=2", "duplicate_key", 19 },
  { "at_ms=1", "missing_key", 1 },
  { "event=end", "missing_key", 1 },
  { "event=end at_ms=-1", "bad_value", 11 },
  { "event=end at_ms=nan", "bad_value", 11 },
  { "event=end at_ms=1e300", "bad_value", 11 },
  { "event=finish at_ms=1", "unknown_event", 1 },
  { "event=end at_ms=1 colour=red", "unknown_key", 19 },
  { "event=upstream at_ms=1 upstream=u slots=many connections=1", "bad_value", 35 },
  { "event=upstream at_ms=1 upstream=u slots=99999999999999999999 connections=1", "bad_value", 35 },
  { "event=upstream at_ms=1 upstream= slots=1 connections=1", "bad_value", 24 },
  { "event=upstream_start at_ms=1 upstream=u", "missing_key", 1 },
  { "event=task_end at_ms=1 worker=w attempt=1.x.1", "bad_value", 33 },
  { "event=queue at_ms=1 queue=q open=yes", "bad_value", 29 },
  { R"({"event": "end", "at_ms": 1)", "bad_json", 28 },
  { R"({"event": "end", "at_ms": [1]})", "bad_value", 18 },
  { R"({"event": "end", "at_ms": 1, "at_ms": 2})", "duplicate_key", 30 },
  { "event=task_end at_ms=1 worker=w attempt=1.0.1", "unknown_worker", 1 },
  { "event=connection_open at_ms=1 upstream=u connection=c", "unknown_upstream", 1 },
  { "event=request_answered at_ms=1 request=r status=200 outcome=ran complete=true",
    "unknown_request",
    1 },
};

TEST(HistoryCheckerTest, ReportsMalformedLinesWithPosition)
{
  for (const MalformedCase& item : kMalformedCases) {
    SCOPED_TRACE(item.line);
    HistoryReport report = CheckHistory(std::string("# comment\n\n") + item.line + "\n", "h");
    ASSERT_EQ(report.findings.Items().size(), 1u) << report.findings.ToText();
    const Finding& finding = report.findings.Items().front();
    EXPECT_EQ(finding.code, item.code);
    EXPECT_EQ(finding.place.line, 3u);
    EXPECT_EQ(finding.place.column, item.column);
  }
}

// Guards against events processed in the order of the file instead of by time.
TEST(HistoryCheckerTest, OrderOfLinesDoesNotMatter)
{
  std::vector<std::string> lines(kCleanHistory.rbegin(), kCleanHistory.rend());
  HistoryReport report = CheckHistory(JoinLines(lines), "reversed");
  EXPECT_TRUE(report.findings.Empty()) << report.findings.ToText();
  EXPECT_TRUE(report.violations.empty()) << report.ToText();
}

} // namespace
} // namespace daisydrift
