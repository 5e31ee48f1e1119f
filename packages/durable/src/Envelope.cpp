#include "Envelope.h"

#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <array>

namespace daisydrift {

namespace {

/// Format version; a decoder refuses others.
constexpr char kFormatVersion = '1';
/// "dd", kind, version, digest of the payload (little-endian), payload.
constexpr std::size_t kHeaderBytes = 4 + 8;
/// Bound of the expansion by unpacking; real messages expand about threefold.
constexpr std::size_t kMaxExpansion = 32;

std::array<char, 8> DigestBytes(std::string_view aPayload)
{
  std::uint64_t digest = Digest64(aPayload);
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

std::uint64_t Digest64(std::string_view aBytes)
{
  std::uint64_t hash = 0xcbf29ce484222325;
  for (char byte : aBytes) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3;
  }
  return hash;
}

std::string SealMessage(EnvelopeKind aKind, capnp::MessageBuilder& aMessage)
{
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, aMessage);
  auto packed = stream.getArray();
  std::string_view payload(reinterpret_cast<const char*>(packed.begin()), packed.size());
  auto digest = DigestBytes(payload);
  std::string bytes;
  bytes.reserve(kHeaderBytes + payload.size());
  bytes.append("dd").append(1, static_cast<char>(aKind)).append(1, kFormatVersion);
  bytes.append(digest.data(), digest.size()).append(payload);
  return bytes;
}

std::error_code OpenMessage(EnvelopeKind aKind,
                            std::string_view aBytes,
                            std::size_t aMaxBytes,
                            const std::function<bool(capnp::MessageReader&)>& aRead) noexcept
{
  if (aBytes.size() < kHeaderBytes || aBytes.size() > aMaxBytes || aBytes.substr(0, 2) != "dd" ||
      aBytes[2] != static_cast<char>(aKind) || aBytes[3] != kFormatVersion) {
    return Errc::Corrupt;
  }
  std::string_view payload = aBytes.substr(kHeaderBytes);
  auto digest = DigestBytes(payload);
  if (aBytes.substr(4, digest.size()) != std::string_view(digest.data(), digest.size())) {
    return Errc::Corrupt;
  }
  try {
    kj::ArrayInputStream stream(AsBytes(payload));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = aMaxBytes * kMaxExpansion / sizeof(capnp::word);
    capnp::PackedMessageReader reader(stream, options);
    return aRead(reader) ? std::error_code() : make_error_code(Errc::Corrupt);
  } catch (const kj::Exception&) {
    return Errc::Corrupt;
  } catch (const std::exception&) {
    return Errc::Corrupt;
  }
}

} // namespace daisydrift
