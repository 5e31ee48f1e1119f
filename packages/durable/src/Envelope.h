#pragma once
// Envelope of a stored message: kind, version and digest, so that damage is detected before
// decoding.

#include "daisydrift/base.h"

#include <capnp/message.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace daisydrift {

/// Type of the message in an envelope. The values are stored and must not change.
enum class EnvelopeKind : char
{
  Record = 'R',
  SnapshotHead = 'H',
  Snapshot = 'S'
};

/// 64-bit digest. It detects damage but not tampering, since the store's content is trusted.
/// aSeedDigest is the digest of preceding bytes, to digest several pieces in a row.
std::uint64_t Digest64(std::string_view aBytes, std::uint64_t aSeedDigest = 0);

/// Size limits of a stored message, in bytes.
struct EnvelopeLimits
{
  /// Largest envelope.
  std::size_t packedBytes = 0;
  /// Largest message after unpacking. Zeros pack to about a thousandth of their size, so the packed
  /// size does not bound it.
  std::size_t unpackedBytes = 0;
};

/// Packs a message into an envelope. Errors: InvalidArgument (over the limits, so that
/// DecodeEnvelope would refuse it).
Result<std::string> EncodeEnvelope(EnvelopeKind aKind,
                                   const EnvelopeLimits& aLimits,
                                   capnp::MessageBuilder& aMessage);

/// Checks the envelope and passes the message to aRead, which returns false when a value is out of
/// range. Errors: Corrupt. Never throws.
std::error_code DecodeEnvelope(EnvelopeKind aKind,
                               const EnvelopeLimits& aLimits,
                               std::string_view aBytes,
                               const std::function<bool(capnp::MessageReader&)>& aRead) noexcept;

} // namespace daisydrift
