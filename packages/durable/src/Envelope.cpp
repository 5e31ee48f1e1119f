#include "Envelope.h"

#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace daisydrift {

namespace {

/// Format version; a decoder refuses all others.
constexpr char kFormatVersion = '1';
/// Layout: "dd", kind, version, digest (little-endian), payload.
constexpr std::size_t kHeaderBytes = 4 + 8;
/// Largest ratio of unpacked to packed size: two packed bytes encode at most 256 words of zeros.
constexpr std::size_t kMaxUnpackRatio = 1024;
/// Cap'n Proto's traversal limit counts the words that are read. A valid message is read once, but
/// some of its words are counted twice.
constexpr std::size_t kTraversalFactor = 2;

/// Digest of kind, version and payload.
std::array<char, 8> DigestBytes(EnvelopeKind aKind, std::string_view aPayload)
{
  std::string prefix{ static_cast<char>(aKind), kFormatVersion };
  std::uint64_t digest = Digest64(aPayload, Digest64(prefix));
  std::array<char, 8> bytes{};
  for (char& byte : bytes) {
    byte = static_cast<char>(digest & 0xff);
    digest >>= 8;
  }
  return bytes;
}

/// Output stream that appends to a string, which saves a copy of a snapshot of several megabytes.
class StringOutput : public kj::OutputStream
{
public:
  explicit StringOutput(std::string& aOut)
    : out(aOut)
  {
  }
  void write(const void* aBuffer, std::size_t aSize) override
  {
    this->out.append(static_cast<const char*>(aBuffer), aSize);
  }

private:
  std::string& out;
};

kj::ArrayPtr<const kj::byte> AsBytes(std::string_view aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

} // namespace

std::uint64_t Digest64(std::string_view aBytes, std::uint64_t aSeedDigest)
{
  // Each step is a bijection of the hash, so a change within one word always changes the digest.
  auto mix = [](std::uint64_t aHash, std::uint64_t aWord) {
    std::uint64_t product = (aHash ^ aWord) * 0x9e3779b97f4a7c15;
    return product ^ (product >> 32);
  };
  std::uint64_t hash = mix(aSeedDigest, aBytes.size());
  while (!aBytes.empty()) {
    std::uint64_t word = 0;
    std::size_t bytes = std::min(aBytes.size(), sizeof(word));
    std::memcpy(&word, aBytes.data(), bytes);
    hash = mix(hash, word);
    aBytes.remove_prefix(bytes);
  }
  return hash;
}

Result<std::string> EncodeEnvelope(EnvelopeKind aKind,
                                   const EnvelopeLimits& aLimits,
                                   capnp::MessageBuilder& aMessage)
{
  if (capnp::computeSerializedSizeInWords(aMessage) > aLimits.unpackedBytes / sizeof(capnp::word)) {
    return Errc::InvalidArgument;
  }
  std::string bytes(kHeaderBytes, '\0');
  StringOutput stream(bytes);
  capnp::writePackedMessage(stream, aMessage);
  if (bytes.size() > aLimits.packedBytes) {
    return Errc::InvalidArgument;
  }
  std::string header{ 'd', 'd', static_cast<char>(aKind), kFormatVersion };
  auto digest = DigestBytes(aKind, std::string_view(bytes).substr(kHeaderBytes));
  bytes.replace(0, kHeaderBytes, header.append(digest.data(), digest.size()));
  return bytes;
}

std::error_code DecodeEnvelope(EnvelopeKind aKind,
                               const EnvelopeLimits& aLimits,
                               std::string_view aBytes,
                               const std::function<bool(capnp::MessageReader&)>& aRead) noexcept
{
  if (aBytes.size() < kHeaderBytes || aBytes.size() > aLimits.packedBytes ||
      aBytes.substr(0, 2) != "dd" || aBytes[2] != static_cast<char>(aKind) ||
      aBytes[3] != kFormatVersion) {
    return Errc::Corrupt;
  }
  std::string_view payload = aBytes.substr(kHeaderBytes);
  auto digest = DigestBytes(aKind, payload);
  if (aBytes.substr(4, digest.size()) != std::string_view(digest.data(), digest.size())) {
    return Errc::Corrupt;
  }
  try {
    kj::ArrayInputStream stream(AsBytes(payload));
    capnp::ReaderOptions options;
    std::size_t unpacked = std::min(aLimits.unpackedBytes, payload.size() * kMaxUnpackRatio);
    options.traversalLimitInWords = unpacked * kTraversalFactor / sizeof(capnp::word);
    capnp::PackedMessageReader reader(stream, options);
    return aRead(reader) ? std::error_code() : make_error_code(Errc::Corrupt);
  } catch (const kj::Exception&) {
    return Errc::Corrupt;
  } catch (const std::exception&) {
    return Errc::Corrupt;
  }
}

} // namespace daisydrift
