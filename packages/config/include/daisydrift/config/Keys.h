#pragma once
// API keys of teams: generation and authentication.

#include "daisydrift/config/ConfigDocument.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace daisydrift {

/// Length of KeyEntry::prefix, the part of a key that may be displayed, in characters.
constexpr std::size_t kKeyPrefixLength = 8;

/// A new key. The text is shown to its owner once and not stored.
struct GeneratedKey
{
  /// `dd_` and 32 random bytes in base 62 (43 characters).
  std::string text;
  /// Id, prefix and digest of the key; the caller sets team and expiry.
  KeyEntry entry;
};

/// Generates a key with the system's cryptographic random number generator. Errors: NotPermitted
/// when the generator fails.
Result<GeneratedKey> GenerateKey();

/// A random id of 32 hexadecimal digits, for edits and idempotency keys. Errors: NotPermitted when
/// the generator fails.
Result<std::string> GenerateId();

/// Digest of a key as stored in KeyEntry::digest.
std::string KeyDigest(std::string_view aKey);

/// Why a key was refused.
enum class KeyRefusal
{
  /// The key was accepted.
  None,
  /// No key in the document has this text.
  Unknown,
  Revoked,
  Expired,
  /// The team of the key is not in the document.
  NoTeam
};

/// Message for callers; contains no part of the key.
const char* Describe(KeyRefusal aRefusal);

/// Result of an authentication.
struct Authentication
{
  KeyRefusal refusal = KeyRefusal::Unknown;
  /// Team and id of the key, when accepted.
  TeamName team;
  std::string keyId;
};

/// Index of the keys of one document, for fast authentication. Immutable, so it is thread-safe.
class KeyIndex
{
public:
  /// Copies the keys; aDocument need not outlive the index.
  explicit KeyIndex(const ConfigDocument& aDocument);

  /// Finds the team of a key. The time depends only on the length of aKey and on its digest, so it
  /// does not reveal stored digests.
  Authentication Authenticate(std::string_view aKey, WallTime aNow) const;

private:
  struct Row
  {
    KeyEntry key;
    bool hasTeam = false;
  };

  /// Rows by digest of the key.
  std::unordered_map<std::string, Row> rows;
};

/// Finds the team of a key without an index by comparing with each key in the document.
Authentication Authenticate(const ConfigDocument& aDocument, std::string_view aKey, WallTime aNow);

} // namespace daisydrift
