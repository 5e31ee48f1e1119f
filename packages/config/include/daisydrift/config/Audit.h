#pragma once
// The audit log of the configuration: entries linked by digests. The newest entries, the audit
// tail, are part of the document; older ones are in chunks with store keys of their own.

#include "daisydrift/config/ConfigDocument.h"

#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// Entries are moved from the audit tail to a chunk when the tail reaches this number of entries.
constexpr std::size_t kMaxAuditTailEntries = 200;
/// Entries are also moved when the JSON text of the tail reaches this size in bytes.
constexpr std::size_t kMaxAuditTailBytes = 128 * 1024;

/// Audit entries to be moved out of the document.
struct AuditChunk
{
  /// Key in the store, `audit/<n>`.
  std::string key;
  /// JSON text.
  std::string value;
  /// Number of entries in the chunk: the oldest ones of the audit tail.
  std::size_t count = 0;
};

/// The chunk that must be written to the store before aDocument is edited again; none while the
/// tail is within its limits. It depends only on aDocument, so concurrent editors write the same
/// chunk.
std::optional<AuditChunk> MakeAuditChunk(const ConfigDocument& aDocument);

/// Removes the entries of MakeAuditChunk(aDocument) from the audit tail.
void TrimAuditTail(ConfigDocument& aDocument);

/// SHA-256 over all fields of an entry except its digest.
std::string AuditDigest(const AuditEntry& aEntry);

/// Checks that aEntries are consecutive and that no entry was changed. Codes of findings:
/// "audit_changed", "audit_missing", "audit_chain".
void VerifyAuditEntries(const std::vector<AuditEntry>& aEntries,
                        const std::string& aSource,
                        Findings& aFindings);

/// Checks the audit tail of aDocument, its link to the last chunk and the document's rows, and,
/// when given, the texts of all chunks from `audit/0`. Detects changed, missing and reordered
/// entries, and rows changed without an entry ("audit_content"). Does not detect a writer that
/// recomputes all digests.
Findings VerifyAudit(const ConfigDocument& aDocument, const std::vector<std::string>& aChunks = {});

} // namespace daisydrift
