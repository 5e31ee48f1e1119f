#include <gtest/gtest.h>

#include "ConfigFixture.h"

#include <algorithm>

namespace daisydrift {
namespace {

/// A document with many edits, its chunks kept beside it.
struct Trail
{
  ConfigDocument document;
  std::vector<std::string> chunks;
};

Trail MakeTrail(int aEdits)
{
  Trail trail;
  for (int i = 0; i < aEdits; ++i) {
    if (std::optional<AuditChunk> chunk = SpillAudit(trail.document)) {
      EXPECT_EQ(chunk->key, "audit/" + std::to_string(trail.chunks.size()));
      trail.chunks.push_back(chunk->value);
    }
    TeamEntry team = MakeTeam("a", 1 + (i % 2));
    ApplyEdits(
      trail.document, MakeRequest("e" + std::to_string(i), {}, { PutTeam{ team } }), At(1000 + i));
  }
  return trail;
}

std::string CodesOf(const Findings& aFindings)
{
  std::string text;
  for (const Finding& finding : aFindings.Items()) {
    text += finding.code + " ";
  }
  return text;
}

// Guards against entries lost when the tail is trimmed, and against a tail that grows.
TEST(Audit, ChunksContinueTheTail)
{
  Trail trail = MakeTrail(1000);
  EXPECT_EQ(trail.document.version, 1000U);
  EXPECT_GE(trail.chunks.size(), 5U);
  EXPECT_EQ(trail.document.auditChunks, trail.chunks.size());
  EXPECT_LE(trail.document.audit.size(), kMaxAuditTail);
  EXPECT_GE(trail.document.audit.size(), 2U);
  EXPECT_EQ(VerifyAudit(trail.document, trail.chunks).ToText(), "");
  EXPECT_EQ(VerifyAudit(trail.document).ToText(), "");
}

// Guards against changed, missing or reordered entries, and rows changed without an entry, that are
// not noticed.
TEST(Audit, DetectsTampering)
{
  const Trail kTrail = MakeTrail(300);
  struct Case
  {
    std::function<void(Trail&)> change;
    std::string codes;
  };
  const std::vector<Case> kCases = {
    { [](Trail& aTrail) { aTrail.document.audit[3].actor = "eve"; }, "audit_changed " },
    { [](Trail& aTrail) { aTrail.document.audit[3].changes[0].before = ""; }, "audit_changed " },
    { [](Trail& aTrail) {
       aTrail.document.audit[3].actor = "eve";
       aTrail.document.audit[3].digest = AuditDigest(aTrail.document.audit[3]);
     },
      "audit_chain " },
    { [](Trail& aTrail) { aTrail.document.audit.erase(aTrail.document.audit.begin() + 3); },
      "audit_missing audit_chain " },
    { [](Trail& aTrail) { aTrail.document.audit.erase(aTrail.document.audit.begin()); },
      "audit_chain " },
    { [](Trail& aTrail) { aTrail.document.audit.pop_back(); }, "audit_missing audit_content " },
    { [](Trail& aTrail) { aTrail.document.audit.clear(); }, "audit_missing " },
    { [](Trail& aTrail) { std::swap(aTrail.document.audit[3], aTrail.document.audit[4]); },
      "audit_missing audit_chain audit_missing audit_chain audit_missing audit_chain " },
    { [](Trail& aTrail) { aTrail.document.teams["a"].weight = 9; }, "audit_content " },
    { [](Trail& aTrail) { aTrail.chunks.pop_back(); }, "audit_missing audit_chain " },
    { [](Trail& aTrail) {
       std::string& chunk = aTrail.chunks[0];
       chunk.replace(chunk.find("ada"), 3, "eve");
     },
      "audit_changed " },
  };
  ASSERT_GE(kTrail.chunks.size(), 2U);
  for (std::size_t i = 0; i < kCases.size(); ++i) {
    Trail trail = kTrail;
    kCases[i].change(trail);
    EXPECT_EQ(CodesOf(VerifyAudit(trail.document, trail.chunks)), kCases[i].codes) << "case " << i;
  }
}

// Guards against a document that changes when it is written and read again.
TEST(ConfigCodec, ReadsWhatWasWritten)
{
  Trail trail = MakeTrail(230);
  KeyEntry key = MakeKey("1", "a");
  key.expiry = At(9000);
  EditOutcome outcome = ApplyEdits(trail.document,
                                   MakeRequest("more",
                                               {},
                                               { IssueKey{ key },
                                                 RevokeKey{ "1" },
                                                 PutFailureDomain{ "hobart", "lutruwita" },
                                                 DrainFailureDomain{ "hobart" },
                                                 PutService{ { "s", 8, 64, false, { "a" } } },
                                                 PutPolicy{ { "packing" } } }),
                                   At(5000));
  ASSERT_FALSE(outcome.error) << outcome.findings.ToText();
  Findings findings;
  std::optional<ConfigDocument> read = ParseConfig(EncodeConfig(trail.document), "f", findings);
  ASSERT_TRUE(read) << findings.ToText();
  EXPECT_EQ(*read, trail.document);
  EXPECT_TRUE(ParseConfig(
    EncodeConfig(trail.document, KeyDigests::Omitted), "f", findings, KeyDigests::Omitted));
  EXPECT_FALSE(ParseConfig(EncodeConfig(trail.document, KeyDigests::Omitted), "f", findings));
}

// Guards against a document that breaks its own rules and is taken from the store all the same.
TEST(ConfigCodec, ReportsBrokenDocuments)
{
  ConfigDocument good = MakeDocument({ PutTeam{ MakeTeam("a") }, IssueKey{ MakeKey("1", "a") } });
  struct Case
  {
    std::function<void(ConfigDocument&)> change;
    std::string codes;
  };
  const std::vector<Case> kCases = {
    { [](auto& aDocument) { aDocument.teams.clear(); }, "unknown_team " },
    { [](auto& aDocument) { aDocument.teams["a"].weight = 0; }, "out_of_range " },
    { [](auto& aDocument) { aDocument.keys["1"].digest = "ab"; }, "bad_value " },
    { [](auto& aDocument) {
       KeyEntry copy = aDocument.keys["1"];
       copy.id = "2";
       aDocument.keys["2"] = copy;
     },
      "duplicate_key_prefix duplicate_key_digest " },
    { [](auto& aDocument) { aDocument.changedIn["team/a"] = 9; }, "out_of_range " },
    { [](auto& aDocument) {
       aDocument.services["s"] = { "s", 1, 1, false, { "x" } };
     },
      "unknown_team " },
    { [](auto& aDocument) {
       aDocument.services["s"] = { "s", 1, 1, false, { "b", "a" } };
     },
      "bad_value " },
  };
  for (const Case& one : kCases) {
    ConfigDocument document = good;
    one.change(document);
    Findings findings;
    EXPECT_FALSE(ParseConfig(EncodeConfig(document), "f", findings));
    EXPECT_EQ(CodesOf(findings), one.codes);
  }
  Findings findings;
  std::string future = EncodeConfig(good);
  future.replace(future.find("\"format\":1"), 10, "\"format\":2");
  EXPECT_FALSE(ParseConfig(future, "f", findings));
}

// Guards against crashes on garbage: 4,000 documents with bytes changed, removed or repeated.
TEST(ConfigCodec, SurvivesGarbage)
{
  const std::string kText = EncodeConfig(MakeTrail(3).document);
  std::uint64_t state = 20261204;
  auto next = [&state](std::size_t aBound) {
    state = state * 6364136223846793005U + 1442695040888963407U;
    return static_cast<std::size_t>((state >> 33) % aBound);
  };
  for (int i = 0; i < 4000; ++i) {
    std::string text = kText;
    for (std::size_t changes = 1 + next(4); changes > 0; --changes) {
      std::size_t at = next(text.size());
      switch (next(3)) {
        case 0:
          text[at] = static_cast<char>(next(256));
          break;
        case 1:
          text.erase(at, 1 + next(20));
          break;
        default:
          text.insert(at, text.substr(next(text.size()), next(20)));
      }
    }
    Findings findings;
    EXPECT_NO_THROW({
      std::optional<ConfigDocument> document = ParseConfig(text, "f", findings);
      EXPECT_EQ(document.has_value(), findings.Empty());
      ParseEdits(text, "f", findings);
      ParseTeams(text, "f", findings);
    });
  }
}

} // namespace
} // namespace daisydrift
