#include "daisydrift/config/Digest.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace daisydrift {

std::string Sha256Hex(std::string_view aText)
{
  constexpr const char* kHexDigits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> bytes{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()), aText.size(), bytes.data());
  std::string text;
  text.reserve(2 * bytes.size());
  for (unsigned char byte : bytes) {
    text += kHexDigits[byte >> 4];
    text += kHexDigits[byte & 15];
  }
  return text;
}

bool EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace daisydrift
