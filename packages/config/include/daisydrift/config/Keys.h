#pragma once
// Keys of teams: generation and authentication.

#include "daisydrift/config/ConfigDocument.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace daisydrift {

/// Characters of a key shown to people, as part of KeyEntry::prefix.
constexpr std::size_t kKeyPrefixLength = 8;

/// A new key. The text is given to its owner once and kept nowhere.
struct GeneratedKey
{
  /// `dd_` and 43 characters in base 62: 32 random bytes.
  std::string text;
  /// Id, prefix and digest of the key; team and expiry are left to the caller.
  KeyEntry entry;
};

/// Makes a key from the system's cryptographic random generator. Errors: NotPermitted when the
/// generator fails.
Result<GeneratedKey> GenerateKey();

/// A random id of 32 hexadecimal digits, for edits and idempotency keys. Errors: NotPermitted when
/// the generator fails.
Result<std::string> GenerateId();

/// Digest of a key as kept in the document.
std::string KeyDigest(std::string_view aKey);

/// Why a key was refused.
enum class KeyRefusal
{
  /// Accepted.
  None,
  /// No key has this text.
  Unknown,
  Revoked,
  Expired,
  /// The team of the key is not in the document.
  NoTeam
};

/// Text of a refusal for callers; holds nothing of the key.
const char* Describe(KeyRefusal aRefusal);

/// Outcome of an authentication.
struct Authentication
{
  KeyRefusal refusal = KeyRefusal::Unknown;
  /// Team and id of the key, when accepted.
  TeamName team;
  std::string keyId;
};

/// Index of the keys of one document, for fast authentication. Immutable, so threads may share it.
class KeyIndex
{
public:
  /// Copies what is needed from aDocument.
  explicit KeyIndex(const ConfigDocument& aDocument);

  /// Finds the team of a key. Takes constant time, apart from the length of aKey.
  Authentication Authenticate(std::string_view aKey, WallTime aNow) const;

private:
  struct Row
  {
    KeyEntry key;
    bool hasTeam = false;
  };

  /// By digest.
  std::unordered_map<std::string, Row> rows;
};

/// Finds the team of a key without an index, comparing with every key.
Authentication Authenticate(const ConfigDocument& aDocument, std::string_view aKey, WallTime aNow);

} // namespace daisydrift
