#pragma once
// JSON encoding of the configuration document.

#include "daisydrift/config/ConfigDocument.h"

#include <optional>
#include <string>

namespace daisydrift {

struct JsonValue;

/// Whether the JSON text contains the digests of API keys.
enum class KeyDigests
{
  /// For the store.
  Included,
  /// For display.
  Omitted
};

/// Encodes the document as JSON. Equal documents have equal texts.
std::string EncodeConfig(const ConfigDocument& aDocument,
                         KeyDigests aKeyDigests = KeyDigests::Included);

/// Parses the document; returns nothing when there is a finding. Digests of keys may be absent when
/// aKeyDigests is Omitted. Findings are those of ReadJson, ObjectReader and ValidateConfig.
std::optional<ConfigDocument> ParseConfig(const std::string& aText,
                                          const std::string& aSource,
                                          Findings& aFindings,
                                          KeyDigests aKeyDigests = KeyDigests::Included);

/// SHA-256 of all rows, without version, row versions and audit log.
std::string ContentDigest(const ConfigDocument& aDocument);

/// JSON encodings of the rows, shared by the document, edits and audit entries.
JsonValue EncodeTeam(const TeamEntry& aTeam);
JsonValue EncodeKey(const KeyEntry& aKey, KeyDigests aKeyDigests);
JsonValue EncodeFailureDomain(const FailureDomainEntry& aDomain);
JsonValue EncodeService(const ServiceEntry& aService);
JsonValue EncodePolicy(const PolicyEntry& aPolicy);
TeamEntry ParseTeam(const JsonValue& aValue, const std::string& aSource, Findings& aFindings);
KeyEntry ParseKey(const JsonValue& aValue,
                  const std::string& aSource,
                  Findings& aFindings,
                  KeyDigests aKeyDigests = KeyDigests::Included);
FailureDomainEntry ParseFailureDomain(const JsonValue& aValue,
                                      const std::string& aSource,
                                      Findings& aFindings);
ServiceEntry ParseService(const JsonValue& aValue, const std::string& aSource, Findings& aFindings);
PolicyEntry ParsePolicy(const JsonValue& aValue, const std::string& aSource, Findings& aFindings);

/// JSON encoding of an audit entry; the digest is omitted when aWithDigest is false.
JsonValue EncodeAuditEntry(const AuditEntry& aEntry, bool aWithDigest = true);
AuditEntry ParseAuditEntry(const JsonValue& aValue,
                           const std::string& aSource,
                           Findings& aFindings);

} // namespace daisydrift
