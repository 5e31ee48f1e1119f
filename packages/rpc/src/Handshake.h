#pragma once
// Mutual authentication with the shared secret at the start of a connection.

#include "TimeLimitedStream.h"

#include <string>

namespace daisydrift {

/// Version of the handshake and of the calls after it. Increment it with every change that older
/// instances cannot read.
constexpr std::uint16_t kProtocolVersion = 1;

/// The client and the server exchange nonces. Then first the client and after it the server send an
/// HMAC-SHA256, keyed with the secret, over a label of their side, the version and both nonces. The
/// nonces prevent a replay of a recorded proof, the labels its reflection. The promises fail when
/// the connection is lost or too slow, or when a message is malformed.

/// Client side; resolves to false when either side rejects the other's proof.
kj::Promise<bool> AuthenticateAsClient(TimeLimitedStream& aStream, std::string aSecret);
/// Server side; resolves to false when the client's proof is invalid.
kj::Promise<bool> AuthenticateAsServer(TimeLimitedStream& aStream, std::string aSecret);

} // namespace daisydrift
