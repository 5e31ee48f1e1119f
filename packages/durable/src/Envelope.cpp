#include "Envelope.h"

#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <array>

namespace daisydrift {

namespace {

/// Format version; a decoder refuses others.
constexpr char kFormatVersion = '1';
/// "dd", kind, version, digest of the payload (little-endian), payload.
constexpr std::size_t kHeaderBytes = 4 + 8;
/// Two packed bytes stand for at most 256 words of zeros.
constexpr std::size_t kMaxExpansion = 1024;
/// The reader counts what it visits; true messages are visited once, with some words counted twice.
constexpr std::size_t kVisitFactor = 2;

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

kj::ArrayPtr<const kj::byte> AsBytes(std::string_view aText)
{
  return { reinterpret_cast<const kj::byte*>(aText.data()), aText.size() };
}

} // namespace

std::uint64_t Digest64(std::string_view aBytes, std::uint64_t aStart)
{
  std::uint64_t hash = aStart;
  for (char byte : aBytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3;
  }
  return hash;
}

Result<std::string> SealMessage(EnvelopeKind aKind,
                                const EnvelopeLimits& aLimits,
                                capnp::MessageBuilder& aMessage)
{
  if (capnp::computeSerializedSizeInWords(aMessage) > aLimits.unpackedBytes / sizeof(capnp::word)) {
    return Errc::InvalidArgument;
  }
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, aMessage);
  auto packed = stream.getArray();
  std::string_view payload(reinterpret_cast<const char*>(packed.begin()), packed.size());
  if (kHeaderBytes + payload.size() > aLimits.packedBytes) {
    return Errc::InvalidArgument;
  }
  auto digest = DigestBytes(aKind, payload);
  std::string bytes;
  bytes.reserve(kHeaderBytes + payload.size());
  bytes.append("dd").append(1, static_cast<char>(aKind)).append(1, kFormatVersion);
  bytes.append(digest.data(), digest.size()).append(payload);
  return bytes;
}

std::error_code OpenMessage(EnvelopeKind aKind,
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
    std::size_t unpacked = std::min(aLimits.unpackedBytes, payload.size() * kMaxExpansion);
    options.traversalLimitInWords = unpacked * kVisitFactor / sizeof(capnp::word);
    capnp::PackedMessageReader reader(stream, options);
    return aRead(reader) ? std::error_code() : make_error_code(Errc::Corrupt);
  } catch (const kj::Exception&) {
    return Errc::Corrupt;
  } catch (const std::exception&) {
    return Errc::Corrupt;
  }
}

} // namespace daisydrift
