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
std::uint64_t Digest64(std::string_view aBytes);

/// Packs a message into an envelope.
std::string SealMessage(EnvelopeKind aKind, capnp::MessageBuilder& aMessage);

/// Checks the envelope and hands the message to aRead; aRead returns false when a value is out of
/// range. aMaxBytes bounds the envelope, and thirty-two times as much the unpacked message, since
/// packed zeros expand. Errors: Corrupt. Never throws.
std::error_code OpenMessage(EnvelopeKind aKind,
                            std::string_view aBytes,
                            std::size_t aMaxBytes,
                            const std::function<bool(capnp::MessageReader&)>& aRead) noexcept;

} // namespace daisydrift
