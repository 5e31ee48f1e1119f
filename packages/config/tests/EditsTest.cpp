#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "ConfigFixture.h"

#include <set>

namespace daisydrift {
namespace {

std::string ConflictRows(const EditOutcome& aOutcome)
{
  std::string text;
  for (const EditConflict& conflict : aOutcome.conflicts) {
    text += conflict.row + " ";
  }
  return text;
}

std::string FindingCodes(const EditOutcome& aOutcome)
{
  std::string text;
  for (const Finding& finding : aOutcome.findings.Items()) {
    text += finding.place.source + ":" + finding.code + " ";
  }
  return text;
}

// Guards against an edit on an older base version that overwrites a row changed since then, and
// against one that is refused although its rows are unchanged.
TEST(Edits, ConflictsRowByRow)
{
  ConfigDocument document = MakeDocument({ PutTeam{ MakeTeam("a") }, PutTeam{ MakeTeam("b") } });
  ApplyEdits(document, MakeRequest("second", 1, { PutTeam{ MakeTeam("a", 2) } }), At(1001));
  ConfigDocument before = document;

  EditOutcome refused = ApplyEdits(
    document,
    MakeRequest("third", 1, { PutTeam{ MakeTeam("a", 3) }, PutTeam{ MakeTeam("b", 3) } }),
    At(1002));
  EXPECT_EQ(refused.error, Errc::Conflict);
  EXPECT_EQ(ConflictRows(refused), "team/a ");
  EXPECT_EQ(document, before);

  EditOutcome accepted =
    ApplyEdits(document, MakeRequest("fourth", 1, { PutTeam{ MakeTeam("b", 3) } }), At(1002));
  EXPECT_FALSE(accepted.error);
  EXPECT_EQ(accepted.version, 3U);
}

// Guards against rows that are recreated, and keys that are issued, for a team that another
// operator has removed.
TEST(Edits, RemovedRowsConflict)
{
  ConfigDocument document = MakeDocument({ PutTeam{ MakeTeam("a") } });
  ApplyEdits(document, MakeRequest("second", 1, { RemoveTeam{ "a" } }), At(1001));
  EXPECT_EQ(ConflictRows(ApplyEdits(
              document, MakeRequest("third", 1, { PutTeam{ MakeTeam("a") } }), At(1002))),
            "team/a ");
  EXPECT_EQ(ConflictRows(ApplyEdits(
              document, MakeRequest("fourth", 1, { IssueKey{ MakeKey("1", "a") } }), At(1002))),
            "team/a ");
  EXPECT_EQ(ConflictRows(ApplyEdits(
              document, MakeRequest("fifth", 9, { PutTeam{ MakeTeam("a") } }), At(1002))),
            "document ");
}

// Guards against a new team that gets the keys or the access to services of a removed team of the
// same name.
TEST(Edits, RemovingTeamWithdrawsKeysAndAccess)
{
  ServiceEntry service{ "bursary-desk", 8, 64, false, { "a", "b" } };
  ConfigDocument document = MakeDocument({ PutTeam{ MakeTeam("a") },
                                           PutTeam{ MakeTeam("b") },
                                           IssueKey{ MakeKey("1", "a") },
                                           PutService{ service } });
  EditOutcome outcome = ApplyEdits(
    document, MakeRequest("second", 1, { RemoveTeam{ "a" }, PutTeam{ MakeTeam("a") } }), At(1001));
  ASSERT_FALSE(outcome.error);
  EXPECT_EQ(Authenticate(document, "key 1", At(1002)).refusal, KeyRefusal::Revoked);
  EXPECT_EQ(document.services.at("bursary-desk").teams, std::vector<TeamName>{ "b" });
}

// Guards against invalid edits that are accepted, and requests that are applied in part.
TEST(Edits, RefusesInvalidEdits)
{
  TeamEntry noWeight = MakeTeam("c", 0);
  KeyEntry samePrefix = MakeKey("2", "a");
  samePrefix.prefix = MakeKey("1", "a").prefix;
  KeyEntry noDigest = MakeKey("3", "a");
  noDigest.digest.clear();
  struct Case
  {
    std::vector<Edit> edits;
    std::string codes;
  };
  const std::vector<Case> kCases = {
    { { PutTeam{ MakeTeam("good") }, PutTeam{ noWeight } }, "edits[1]:out_of_range " },
    { { PutTeam{ MakeTeam("=cmd") } }, "edits[0]:bad_name " },
    { { RemoveTeam{ "x" }, RevokeKey{ "x" } }, "edits[0]:not_found edits[1]:not_found " },
    { { IssueKey{ MakeKey("2", "x") } }, "edits[0]:unknown_team " },
    { { IssueKey{ samePrefix } }, "edits[0]:already_exists " },
    { { IssueKey{ noDigest } }, "edits[0]:bad_value " },
    { { DrainFailureDomain{ "x" } }, "edits[0]:not_found " },
    { { PutFailureDomain{ "hobart", "" } }, "edits[0]:bad_name " },
    { { PutService{ { "s", 0, 1, true, {} } } }, "edits[0]:out_of_range " },
    { { PutService{ { "s", 1, 1, false, { "x" } } } }, "edits[0]:unknown_team " },
    { { PutPolicy{ { "fast" } } }, "edits[0]:bad_value " },
    { {}, "request:bad_value " },
  };
  const ConfigDocument kDocument =
    MakeDocument({ PutTeam{ MakeTeam("a") }, IssueKey{ MakeKey("1", "a") } });
  for (const Case& one : kCases) {
    ConfigDocument document = kDocument;
    EditOutcome outcome = ApplyEdits(document, MakeRequest("second", 1, one.edits), At(1001));
    EXPECT_EQ(outcome.error, Errc::InvalidArgument);
    EXPECT_EQ(FindingCodes(outcome), one.codes);
    EXPECT_EQ(document, kDocument);
  }
}

// Guards against a request that is applied twice, and against an id that is reused for other edits.
TEST(Edits, SameIdIsAppliedOnce)
{
  ConfigDocument document = MakeDocument({ PutTeam{ MakeTeam("a") } });
  EditRequest request = MakeRequest("second", 1, { PutTeam{ MakeTeam("a", 2) } });
  EXPECT_TRUE(ApplyEdits(document, request, At(1001)).hasChanged);
  ApplyEdits(document, MakeRequest("third", 2, { PutTeam{ MakeTeam("a", 3) } }), At(1002));
  EditOutcome again = ApplyEdits(document, request, At(1003));
  EXPECT_FALSE(again.error);
  EXPECT_EQ(again.version, 2U);
  EXPECT_EQ(document.teams.at("a").weight, 3U);
  request.baseVersion = 3;
  EXPECT_EQ(ApplyEdits(document, request, At(1003)).version, 2U);
  request.edits = { RemoveTeam{ "a" } };
  EXPECT_EQ(FindingCodes(ApplyEdits(document, request, At(1004))), "request:edit_id_reused ");
}

// Guards against a document that exceeds the store's size limit as keys are issued, against a full
// document in which a key can no longer be revoked, and against inactive keys that are not removed.
TEST(Edits, DocumentStaysBounded)
{
  ConfigDocument document = MakeDocument({ PutTeam{ MakeTeam("a") } });
  EditOutcome outcome;
  std::string last;
  for (int batch = 0; !outcome.error && batch < 200; ++batch) {
    std::vector<Edit> edits;
    for (int i = 0; i < 50; ++i) {
      std::string id = std::to_string(10'000 + batch * 50 + i);
      edits.emplace_back(IssueKey{ MakeKey(id, "a") });
    }
    outcome =
      ApplyEdits(document, MakeRequest("batch-" + std::to_string(batch), {}, edits), At(2000));
    last = outcome.error ? last : std::get<IssueKey>(edits.back()).key.id;
  }
  EXPECT_EQ(FindingCodes(outcome), "request:too_large ");
  EXPECT_FALSE(
    ApplyEdits(document, MakeRequest("revoke", {}, { RevokeKey{ last } }), At(2001)).error);
  EXPECT_LT(EncodeConfig(document).size(), kMaxStoreValueBytes);

  std::size_t before = document.keys.size();
  std::vector<std::string> ids;
  for (const auto& [id, key] : document.keys) {
    ids.push_back(id);
  }
  for (std::size_t i = 0; i < 300; i += 100) {
    std::vector<Edit> edits;
    for (std::size_t j = i; j < i + 100; ++j) {
      edits.emplace_back(RevokeKey{ ids[j] });
    }
    EditRequest request = MakeRequest("revoke-" + ids[i], {}, edits);
    ASSERT_FALSE(ApplyEdits(document, request, At(2002)).error);
  }
  WallTime later = At(2003) + kInactiveKeyRetention;
  for (const char* id : { "90001", "90002" }) {
    EditRequest request = MakeRequest(id, {}, { IssueKey{ MakeKey(id, "a") } });
    EXPECT_FALSE(ApplyEdits(document, request, later).error);
  }
  EXPECT_EQ(document.keys.size(), before - 2 * kMaxDroppedKeys + 2);
}

// Guards against removed rows whose version is erased although edits with an older base version are
// still accepted, so that conflicts go undetected.
TEST(Edits, ErasedRemovalsRaiseTheOldestBase)
{
  ConfigDocument document = MakeDocument({ PutTeam{ MakeTeam("a") }, RemoveTeam{ "a" } });
  EXPECT_EQ(document.version, 0U);
  for (std::size_t i = 0; i <= kMaxRemovedRows; ++i) {
    std::string name = "t" + std::to_string(i);
    ApplyEdits(document, MakeRequest("put-" + name, {}, { PutTeam{ MakeTeam(name) } }), At(1));
    ApplyEdits(document, MakeRequest("remove-" + name, {}, { RemoveTeam{ name } }), At(1));
  }
  EXPECT_EQ(document.oldestBase, 2U);
  EXPECT_EQ(document.changedIn.size(), kMaxRemovedRows);
  EditRequest request = MakeRequest("late", 1, { PutTeam{ MakeTeam("t0") } });
  EXPECT_EQ(ConflictRows(ApplyEdits(document, request, At(2))), "document ");
}

/// One random edit of a team.
struct RandomEdit
{
  int team = 0;
  bool isRemoval = false;
  std::uint32_t weight = 1;
  ConfigVersion age = 0;
};

// Guards against conflicts and results that differ from a reference model, which keeps a full copy
// of the teams and the changed rows of each version.
RC_GTEST_PROP(Edits, AgreesWithReferenceModel, ())
{
  auto randomEdits = *rc::gen::container<std::vector<RandomEdit>>(rc::gen::build<RandomEdit>(
    rc::gen::set(&RandomEdit::team, rc::gen::inRange(0, 4)),
    rc::gen::set(&RandomEdit::isRemoval,
                 rc::gen::weightedElement<bool>({ { 3, false }, { 1, true } })),
    rc::gen::set(&RandomEdit::weight, rc::gen::inRange(1U, 4U)),
    rc::gen::set(&RandomEdit::age, rc::gen::inRange<ConfigVersion>(0, 5))));
  ConfigDocument document;
  using Teams = std::map<TeamName, TeamEntry>;
  std::vector<Teams> history{ {} };
  std::vector<std::set<TeamName>> changedTeams{ {} };
  int number = 0;
  for (const RandomEdit& randomEdit : randomEdits) {
    std::string name = "t" + std::to_string(randomEdit.team);
    ConfigVersion newestVersion = history.size() - 1;
    ConfigVersion baseVersion = newestVersion - std::min(newestVersion, randomEdit.age);
    Edit edit = randomEdit.isRemoval ? Edit(RemoveTeam{ name })
                                     : Edit(PutTeam{ MakeTeam(name, randomEdit.weight) });
    ++number;
    EditOutcome outcome = ApplyEdits(
      document, MakeRequest("e" + std::to_string(number), baseVersion, { edit }), At(number));

    bool isConflict = false;
    for (ConfigVersion version = baseVersion + 1; version <= newestVersion; ++version) {
      isConflict = isConflict || changedTeams[version].count(name) > 0;
    }
    Teams next = history.back();
    bool isMissing = randomEdit.isRemoval && next.erase(name) == 0;
    if (!randomEdit.isRemoval) {
      next[name] = MakeTeam(name, randomEdit.weight);
    }
    if (isConflict) {
      RC_ASSERT(outcome.error == Errc::Conflict);
    } else if (isMissing) {
      RC_ASSERT(outcome.error == Errc::InvalidArgument);
    } else {
      RC_ASSERT(!outcome.error);
      if (!(next == history.back())) {
        history.push_back(next);
        changedTeams.push_back({ name });
      }
    }
    RC_ASSERT(document.teams == history.back());
    RC_ASSERT(document.version == history.size() - 1);
    RC_ASSERT(VerifyAudit(document).Empty());
  }
}

// Guards against edits that change between the command line and the daemon.
TEST(EditCodec, ReadsWhatWasWritten)
{
  KeyEntry key = MakeKey("1", "a");
  key.expiry = At(5000);
  EditRequest request = MakeRequest("id-1",
                                    7,
                                    { PutTeam{ MakeTeam("a", 2) },
                                      RemoveTeam{ "b" },
                                      IssueKey{ key },
                                      RevokeKey{ "dd_12345" },
                                      PutFailureDomain{ "hobart", "lutruwita" },
                                      DrainFailureDomain{ "hobart" },
                                      ReturnFailureDomain{ "burnie" },
                                      PutService{ { "s", 8, 64, false, { "a", "b" } } },
                                      RemoveService{ "old" },
                                      PutPolicy{ { "packing" } } });
  for (std::optional<ConfigVersion> base :
       { std::optional<ConfigVersion>(7), std::optional<ConfigVersion>() }) {
    request.baseVersion = base;
    Findings findings;
    std::optional<EditRequest> read = ParseEdits(EncodeEdits(request), "f", findings);
    ASSERT_TRUE(read) << findings.ToText();
    EXPECT_EQ(read->edits, request.edits);
    EXPECT_EQ(read->baseVersion, request.baseVersion);
    EXPECT_EQ(read->actor + read->editId, "adaid-1");
  }
}

// Guards against malformed edits that are accepted, or reported at the wrong position.
TEST(EditCodec, ReportsMalformedEditsWithPosition)
{
  Findings findings;
  ParseEdits(
    "{\"base_version\": -1, \"edit_id\": \"x\",\n \"edits\": [{\"drain\": {\"nam\": \"a\"}},\n"
    "  {\"fly\": {}}, 7, {\"put_policy\": {\"preset\": \"fast\"}}]}",
    "f",
    findings);
  EXPECT_EQ(findings.ToText(),
            "f:1:18: out_of_range: \"base_version\" must be from 0 to 9223372036854775807\n"
            "f:1:1: missing_key: the request needs \"actor\"\n"
            "f:2:22: missing_key: the edit needs \"name\"\n"
            "f:2:23: unknown_key: \"nam\" is not a key of the edit\n"
            "f:3:4: unknown_edit: \"fly\" is not an edit\n"
            "f:3:16: wrong_type: an edit must be an object with one member, the operation\n"
            "f:3:34: bad_value: preset must be \"waiting_time\", \"packing\" or empty\n");
}

} // namespace
} // namespace daisydrift
