#pragma once
// Mutual proof of the shared secret at the start of a connection.

#include "GuardedStream.h"

#include <string>

namespace daisydrift {

/// Version of the handshake and of the calls after it. A change that older instances can't read
/// raises it.
constexpr std::uint16_t kProtocolVersion = 1;

/// The client sends a nonce, the server answers with one of its own, then the client and after it
/// the server send an HMAC-SHA256 with the secret over a label of their side, the version and both
/// nonces. A recorded proof is worthless because the server's nonce is new; a reflected one because
/// of the labels. The promises fail when the connection breaks, is too slow or carries anything
/// else.

/// Client side; resolves to false when either side rejects the other's proof.
kj::Promise<bool> ProveAsClient(GuardedStream& aStream, std::string aSecret);
/// Server side; resolves to false when the client's proof is wrong.
kj::Promise<bool> ProveAsServer(GuardedStream& aStream, std::string aSecret);

} // namespace daisydrift
