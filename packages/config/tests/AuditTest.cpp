#include <gtest/gtest.h>

#include "ConfigFixture.h"

#include <algorithm>

namespace daisydrift {
namespace {

/// A document after many edits, and the audit chunks moved out of it.
struct AuditTrail
{
  ConfigDocument document;
  std::vector<std::string> chunks;
};

AuditTrail MakeAuditTrail(int aEdits)
{
  AuditTrail auditTrail;
  for (int i = 0; i < aEdits; ++i) {
    if (std::optional<AuditChunk> chunk = MakeAuditChunk(auditTrail.document)) {
      EXPECT_EQ(chunk->key, "audit/" + std::to_string(auditTrail.chunks.size()));
      auditTrail.chunks.push_back(chunk->value);
    }
    TeamEntry team = MakeTeam("a", 1 + (i % 2));
    ApplyEdits(auditTrail.document,
               MakeRequest("e" + std::to_string(i), {}, { PutTeam{ team } }),
               At(1000 + i));
  }
  return auditTrail;
}

std::string FindingCodes(const Findings& aFindings)
{
  std::string text;
  for (const Finding& finding : aFindings.Items()) {
    text += finding.code + " ";
  }
  return text;
}

// Guards against audit entries that are lost when the tail is trimmed, and against a tail that
// grows without bound.
TEST(Audit, ChunksContinueTheTail)
{
  AuditTrail auditTrail = MakeAuditTrail(1000);
  EXPECT_EQ(auditTrail.document.version, 1000U);
  EXPECT_GE(auditTrail.chunks.size(), 5U);
  EXPECT_EQ(auditTrail.document.auditChunks, auditTrail.chunks.size());
  EXPECT_LE(auditTrail.document.audit.size(), kMaxAuditTailEntries);
  EXPECT_GE(auditTrail.document.audit.size(), 2U);
  EXPECT_EQ(VerifyAudit(auditTrail.document, auditTrail.chunks).ToText(), "");
  EXPECT_EQ(VerifyAudit(auditTrail.document).ToText(), "");
}

// Guards against undetected changed, missing or reordered entries, and undetected changes of rows
// without an entry.
TEST(Audit, DetectsTampering)
{
  const AuditTrail kAuditTrail = MakeAuditTrail(300);
  struct Case
  {
    std::function<void(AuditTrail&)> change;
    std::string codes;
  };
  const std::vector<Case> kCases = {
    { [](AuditTrail& aAuditTrail) { aAuditTrail.document.audit[3].actor = "eve"; },
      "audit_changed " },
    { [](AuditTrail& aAuditTrail) { aAuditTrail.document.audit[3].changes[0].before = ""; },
      "audit_changed " },
    { [](AuditTrail& aAuditTrail) {
       aAuditTrail.document.audit[3].actor = "eve";
       aAuditTrail.document.audit[3].digest = AuditDigest(aAuditTrail.document.audit[3]);
     },
      "audit_chain " },
    { [](AuditTrail& aAuditTrail) {
       aAuditTrail.document.audit.erase(aAuditTrail.document.audit.begin() + 3);
     },
      "audit_missing audit_chain " },
    { [](AuditTrail& aAuditTrail) {
       aAuditTrail.document.audit.erase(aAuditTrail.document.audit.begin());
     },
      "audit_chain " },
    { [](AuditTrail& aAuditTrail) { aAuditTrail.document.audit.pop_back(); },
      "audit_missing audit_content " },
    { [](AuditTrail& aAuditTrail) { aAuditTrail.document.audit.clear(); }, "audit_missing " },
    { [](AuditTrail& aAuditTrail) {
       std::swap(aAuditTrail.document.audit[3], aAuditTrail.document.audit[4]);
     },
      "audit_missing audit_chain audit_missing audit_chain audit_missing audit_chain " },
    { [](AuditTrail& aAuditTrail) { aAuditTrail.document.teams["a"].weight = 9; },
      "audit_content " },
    { [](AuditTrail& aAuditTrail) { aAuditTrail.chunks.pop_back(); },
      "audit_missing audit_chain " },
    { [](AuditTrail& aAuditTrail) {
       std::string& chunk = aAuditTrail.chunks[0];
       chunk.replace(chunk.find("ada"), 3, "eve");
     },
      "audit_changed " },
  };
  ASSERT_GE(kAuditTrail.chunks.size(), 2U);
  for (std::size_t i = 0; i < kCases.size(); ++i) {
    AuditTrail auditTrail = kAuditTrail;
    kCases[i].change(auditTrail);
    EXPECT_EQ(FindingCodes(VerifyAudit(auditTrail.document, auditTrail.chunks)), kCases[i].codes)
      << "case " << i;
  }
}

// Guards against a document that changes when it is encoded and parsed again.
TEST(ConfigCodec, ReadsWhatWasWritten)
{
  AuditTrail auditTrail = MakeAuditTrail(230);
  KeyEntry key = MakeKey("1", "a");
  key.expiry = At(9000);
  EditOutcome outcome = ApplyEdits(auditTrail.document,
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
  std::optional<ConfigDocument> read =
    ParseConfig(EncodeConfig(auditTrail.document), "f", findings);
  ASSERT_TRUE(read) << findings.ToText();
  EXPECT_EQ(*read, auditTrail.document);
  EXPECT_TRUE(ParseConfig(
    EncodeConfig(auditTrail.document, KeyDigests::Omitted), "f", findings, KeyDigests::Omitted));
  EXPECT_FALSE(ParseConfig(EncodeConfig(auditTrail.document, KeyDigests::Omitted), "f", findings));
}

// Guards against invalid documents in the store that are accepted.
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
    EXPECT_EQ(FindingCodes(findings), one.codes);
  }
  Findings findings;
  std::string future = EncodeConfig(good);
  future.replace(future.find("\"format\":1"), 10, "\"format\":2");
  EXPECT_FALSE(ParseConfig(future, "f", findings));
}

// Guards against crashes on malformed text: 4,000 documents with bytes changed, removed or
// repeated.
TEST(ConfigCodec, HandlesMalformedText)
{
  const std::string kText = EncodeConfig(MakeAuditTrail(3).document);
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
