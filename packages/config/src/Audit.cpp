#include "daisydrift/config/Audit.h"

#include "daisydrift/config/ConfigCodec.h"
#include "daisydrift/config/Digest.h"
#include "daisydrift/settings.h"

#include <numeric>

namespace daisydrift {

namespace {

/// Number of the oldest entries to be moved out of the tail: 0 while the tail is within its limits;
/// otherwise as many as needed to reduce it to half of both limits.
std::size_t CountEntriesToMove(const ConfigDocument& aDocument)
{
  std::vector<std::size_t> sizes;
  for (const AuditEntry& entry : aDocument.audit) {
    sizes.push_back(ToJsonText(EncodeAuditEntry(entry)).size());
  }
  std::size_t bytes = std::accumulate(sizes.begin(), sizes.end(), std::size_t(0));
  if (sizes.size() < kMaxAuditTailEntries && bytes < kMaxAuditTailBytes) {
    return 0;
  }
  std::size_t count = 0;
  // The newest entry is never moved: its content digest links the audit log to the rows.
  while (count + 1 < sizes.size() &&
         (sizes.size() - count > kMaxAuditTailEntries / 2 || bytes > kMaxAuditTailBytes / 2)) {
    bytes -= sizes[count];
    ++count;
  }
  return count;
}

/// Checks one entry against the one before it.
void VerifyEntry(const AuditEntry& aEntry,
                 const AuditEntry* aPrevious,
                 const SourceLocation& aPlace,
                 Findings& aFindings)
{
  const std::string kName = "audit entry of version " + std::to_string(aEntry.version);
  if (AuditDigest(aEntry) != aEntry.digest) {
    aFindings.Add(aPlace, "audit_changed", kName + " was changed after it was written");
  }
  if (aPrevious == nullptr) {
    return;
  }
  if (aEntry.version != aPrevious->version + 1) {
    aFindings.Add(
      aPlace, "audit_missing", kName + " follows version " + std::to_string(aPrevious->version));
  }
  if (aEntry.previousDigest != aPrevious->digest) {
    aFindings.Add(aPlace, "audit_chain", kName + " does not continue the entry before it");
  }
}

std::vector<AuditEntry> ParseChunk(const std::string& aText,
                                   const std::string& aSource,
                                   Findings& aFindings)
{
  std::vector<AuditEntry> entries;
  std::optional<JsonValue> root = ReadJson(aText, aSource, aFindings);
  if (!root) {
    return entries;
  }
  ObjectReader reader(*root, aSource, "the chunk", aFindings);
  if (const JsonValue* items = reader.Take("entries", JsonKind::Array, true)) {
    for (const JsonValue& item : items->items) {
      entries.push_back(ParseAuditEntry(item, aSource, aFindings));
    }
  }
  reader.ReportUnknownKeys();
  return entries;
}

/// Checks the entries of all chunks and that the document's audit tail follows them.
void VerifyChunks(const ConfigDocument& aDocument,
                  const std::vector<std::string>& aChunks,
                  Findings& aFindings)
{
  const SourceLocation kPlace{ "audit" };
  if (aChunks.size() != aDocument.auditChunks) {
    aFindings.Add(kPlace,
                  "audit_missing",
                  std::to_string(aChunks.size()) + " chunks are present, but " +
                    std::to_string(aDocument.auditChunks) + " were written");
  }
  std::vector<AuditEntry> all;
  for (std::size_t i = 0; i < aChunks.size(); ++i) {
    std::vector<AuditEntry> entries =
      ParseChunk(aChunks[i], "audit/" + std::to_string(i), aFindings);
    all.insert(all.end(), entries.begin(), entries.end());
  }
  VerifyAuditEntries(all, "audit", aFindings);
  if (!all.empty() && (all.front().version != 1 || !all.front().previousDigest.empty())) {
    aFindings.Add(kPlace, "audit_missing", "the first entry is missing");
  }
  if ((all.empty() ? "" : all.back().digest) != aDocument.auditAnchor) {
    aFindings.Add(kPlace, "audit_chain", "the chunks do not lead to the document's audit tail");
  }
}

} // namespace

std::optional<AuditChunk> MakeAuditChunk(const ConfigDocument& aDocument)
{
  std::size_t count = CountEntriesToMove(aDocument);
  if (count == 0) {
    return std::nullopt;
  }
  JsonValue entries = JsonValue::Array();
  for (std::size_t i = 0; i < count; ++i) {
    entries.items.push_back(EncodeAuditEntry(aDocument.audit[i]));
  }
  JsonValue value = JsonValue::Object();
  value.Set("entries", std::move(entries));
  return AuditChunk{ "audit/" + std::to_string(aDocument.auditChunks), ToJsonText(value), count };
}

void TrimAuditTail(ConfigDocument& aDocument)
{
  std::size_t count = CountEntriesToMove(aDocument);
  if (count == 0) {
    return;
  }
  auto end = aDocument.audit.begin() + static_cast<std::ptrdiff_t>(count);
  aDocument.auditAnchor = (end - 1)->digest;
  aDocument.audit.erase(aDocument.audit.begin(), end);
  ++aDocument.auditChunks;
}

std::string AuditDigest(const AuditEntry& aEntry)
{
  return Sha256Hex(ToJsonText(EncodeAuditEntry(aEntry, false)));
}

void VerifyAuditEntries(const std::vector<AuditEntry>& aEntries,
                        const std::string& aSource,
                        Findings& aFindings)
{
  const AuditEntry* previous = nullptr;
  for (const AuditEntry& entry : aEntries) {
    VerifyEntry(entry, previous, { aSource }, aFindings);
    previous = &entry;
  }
}

Findings VerifyAudit(const ConfigDocument& aDocument, const std::vector<std::string>& aChunks)
{
  Findings findings;
  const SourceLocation kPlace{ "config" };
  if (!aChunks.empty()) {
    VerifyChunks(aDocument, aChunks, findings);
  }
  VerifyAuditEntries(aDocument.audit, kPlace.source, findings);
  if (aDocument.audit.empty()) {
    if (aDocument.version != 0) {
      findings.Add(kPlace, "audit_missing", "the document has no audit entries");
    }
    return findings;
  }
  const AuditEntry& newest = aDocument.audit.back();
  if (aDocument.audit.front().previousDigest != aDocument.auditAnchor) {
    findings.Add(kPlace, "audit_chain", "the oldest entry does not continue the last chunk");
  }
  if (aDocument.auditChunks == 0 && aDocument.audit.front().version != 1) {
    findings.Add(kPlace, "audit_missing", "the first entry is missing");
  }
  if (newest.version != aDocument.version) {
    findings.Add(kPlace, "audit_missing", "the entry of the document's version is missing");
  }
  if (newest.contentDigest != ContentDigest(aDocument)) {
    findings.Add(kPlace, "audit_content", "rows were changed without an audit entry");
  }
  return findings;
}

} // namespace daisydrift
