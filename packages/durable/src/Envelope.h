#pragma once
// Frame around stored bytes: a kind and a digest, so that damage is found before decoding.

#include "daisydrift/base.h"

#include <capnp/message.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace daisydrift {

/// What an envelope holds. The values are stored, so they never change.
enum class EnvelopeKind : char
{
  Record = 'R',
  SnapshotHead = 'H',
  Snapshot = 'S'
};

/// 64-bit FNV-1a digest. It finds damage, not forgery: the store's content is trusted.
/// aStart continues an earlier digest.
std::uint64_t Digest64(std::string_view aBytes, std::uint64_t aStart = 0xcbf29ce484222325);

/// Bounds of a stored message.
struct EnvelopeLimits
{
  /// Largest envelope.
  std::size_t packedBytes = 0;
  /// Largest message after unpacking; zeros pack to a thousandth, so this is a bound of its own.
  std::size_t unpackedBytes = 0;
};

/// Packs a message into an envelope. Errors: InvalidArgument (over the limits, so that it could not
/// be opened again).
Result<std::string> SealMessage(EnvelopeKind aKind,
                                const EnvelopeLimits& aLimits,
                                capnp::MessageBuilder& aMessage);

/// Checks the envelope and hands the message to aRead; aRead returns false when a value is out of
/// range. Errors: Corrupt. Never throws.
std::error_code OpenMessage(EnvelopeKind aKind,
                            const EnvelopeLimits& aLimits,
                            std::string_view aBytes,
                            const std::function<bool(capnp::MessageReader&)>& aRead) noexcept;

} // namespace daisydrift
