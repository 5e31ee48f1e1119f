#include "daisydrift/config/Keys.h"

#include "daisydrift/config/Digest.h"

#include <openssl/crypto.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace daisydrift {

namespace {

/// Number of random bytes of a key.
constexpr std::size_t kKeyBytes = 32;

/// Number of base-62 digits for kKeyBytes bytes: 32 * 8 / log2(62) = 42.99.
constexpr std::size_t kKeyDigits = 43;

constexpr const char* kKeyMarker = "dd_";

using KeyBytes = std::array<unsigned char, kKeyBytes>;

/// Converts aBytes, a big-endian number, to base 62.
std::string ToBase62(KeyBytes aBytes)
{
  constexpr const char* kDigits = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
  constexpr unsigned kBase = 62;
  std::string text(kKeyDigits, '0');
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    unsigned remainder = 0;
    for (unsigned char& byte : aBytes) {
      unsigned value = remainder * 256 + byte;
      byte = static_cast<unsigned char>(value / kBase);
      remainder = value % kBase;
    }
    *digit = kDigits[remainder];
  }
  OPENSSL_cleanse(aBytes.data(), aBytes.size());
  return text;
}

Authentication CheckKey(const KeyEntry& aKey, bool aHasTeam, WallTime aNow)
{
  if (aKey.revokedAt) {
    return { KeyRefusal::Revoked, {}, {} };
  }
  if (aKey.expiry && aNow >= *aKey.expiry) {
    return { KeyRefusal::Expired, {}, {} };
  }
  if (!aHasTeam) {
    return { KeyRefusal::NoTeam, {}, {} };
  }
  return { KeyRefusal::None, aKey.team, aKey.id };
}

} // namespace

Result<GeneratedKey> GenerateKey()
{
  KeyBytes bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return Errc::NotPermitted;
  }
  Result<std::string> id = GenerateId();
  if (!id) {
    return id.Error();
  }
  GeneratedKey key;
  key.text = kKeyMarker + ToBase62(bytes);
  OPENSSL_cleanse(bytes.data(), bytes.size());
  key.entry.id = *id;
  key.entry.prefix = key.text.substr(0, kKeyPrefixLength);
  key.entry.digest = KeyDigest(key.text);
  return key;
}

Result<std::string> GenerateId()
{
  constexpr const char* kHexDigits = "0123456789abcdef";
  std::array<unsigned char, 16> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    return Errc::NotPermitted;
  }
  std::string text;
  for (unsigned char byte : bytes) {
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 15];
  }
  return text;
}

std::string KeyDigest(std::string_view aKey)
{
  return Sha256Hex(aKey);
}

const char* Describe(KeyRefusal aRefusal)
{
  switch (aRefusal) {
    case KeyRefusal::None:
      return "accepted";
    case KeyRefusal::Unknown:
      return "the key is unknown";
    case KeyRefusal::Revoked:
      return "the key is revoked";
    case KeyRefusal::Expired:
      return "the key has expired";
    case KeyRefusal::NoTeam:
      return "the team of the key does not exist";
  }
  return "";
}

KeyIndex::KeyIndex(const ConfigDocument& aDocument)
{
  for (const auto& [id, key] : aDocument.keys) {
    if (!key.digest.empty()) {
      this->rows.emplace(key.digest, Row{ key, aDocument.teams.count(key.team) > 0 });
    }
  }
}

Authentication KeyIndex::Authenticate(std::string_view aKey, WallTime aNow) const
{
  // The time of the lookup depends only on the digest. A caller can't choose the digest digit by
  // digit, so the timing does not reveal stored digests.
  std::string digest = KeyDigest(aKey);
  auto found = this->rows.find(digest);
  if (found == this->rows.end() || !EqualInConstantTime(found->first, digest)) {
    return {};
  }
  return CheckKey(found->second.key, found->second.hasTeam, aNow);
}

Authentication Authenticate(const ConfigDocument& aDocument, std::string_view aKey, WallTime aNow)
{
  std::string digest = KeyDigest(aKey);
  const KeyEntry* match = nullptr;
  for (const auto& [id, key] : aDocument.keys) {
    if (EqualInConstantTime(key.digest, digest)) {
      match = &key;
    }
  }
  if (match == nullptr) {
    return {};
  }
  return CheckKey(*match, aDocument.teams.count(match->team) > 0, aNow);
}

} // namespace daisydrift
