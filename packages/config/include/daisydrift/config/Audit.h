#pragma once
// The chained audit entries of the configuration.

#include "daisydrift/config/ConfigDocument.h"

#include <optional>
#include <string>
#include <vector>

namespace daisydrift {

/// The audit tail is moved to a chunk when it reaches this count ...
constexpr std::size_t kMaxAuditTail = 200;
/// ... or this size of its JSON text.
constexpr std::size_t kMaxAuditTailBytes = 128 * 1024;

/// Audit entries moved out of the document.
struct AuditChunk
{
  /// Key in the store, `audit/<n>`.
  std::string key;
  /// JSON text.
  std::string value;
  /// Entries in the chunk, the oldest of the document's tail.
  std::size_t count = 0;
};

/// The chunk that must be written before aDocument is edited again; none while the tail is short.
/// It depends on aDocument only, so racing editors write the same chunk.
std::optional<AuditChunk> SpillAudit(const ConfigDocument& aDocument);

/// Removes the entries of SpillAudit(aDocument) from the tail.
void TrimAudit(ConfigDocument& aDocument);

/// Digest of an entry over all its fields but the digest.
std::string AuditDigest(const AuditEntry& aEntry);

/// Checks that aEntries follow each other without a gap and that no entry was changed. Codes:
/// "audit_changed", "audit_missing", "audit_chain".
void VerifyAuditEntries(const std::vector<AuditEntry>& aEntries,
                        const std::string& aSource,
                        Findings& aFindings);

/// Checks the audit tail of aDocument against itself, its anchor and the document's rows, and, when
/// given, the texts of all chunks from `audit/0`. Detects changed, missing and reordered entries,
/// and rows changed without an entry ("audit_content"). A writer who recomputes every digest is
/// not detected.
Findings VerifyAudit(const ConfigDocument& aDocument, const std::vector<std::string>& aChunks = {});

} // namespace daisydrift
