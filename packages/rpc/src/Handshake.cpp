#include "Handshake.h"

#include "generated/peer.capnp.h"

#include <capnp/message.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>

namespace daisydrift {

namespace {

constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kMacBytes = 32;
/// Handshake messages have a few small fields; larger messages are rejected.
constexpr std::uint64_t kMaxHandshakeMessageWords = 64;

using Nonce = std::array<kj::byte, kNonceBytes>;
using Mac = std::array<kj::byte, kMacBytes>;

Nonce MakeNonce()
{
  Nonce nonce{};
  KJ_REQUIRE(RAND_bytes(nonce.data(), nonce.size()) == 1, "no random bytes available");
  return nonce;
}

Mac ComputeMac(const std::string& aSecret,
               const char* aLabel,
               const Nonce& aClientNonce,
               const Nonce& aServerNonce)
{
  std::string input = aLabel;
  input += static_cast<char>(kProtocolVersion >> 8);
  input += static_cast<char>(kProtocolVersion & 0xff);
  input.append(aClientNonce.begin(), aClientNonce.end());
  input.append(aServerNonce.begin(), aServerNonce.end());
  Mac mac{};
  unsigned length = 0;
  KJ_REQUIRE(HMAC(EVP_sha256(),
                  aSecret.data(),
                  static_cast<int>(aSecret.size()),
                  reinterpret_cast<const unsigned char*>(input.data()),
                  input.size(),
                  mac.data(),
                  &length) != nullptr &&
               length == kMacBytes,
             "HMAC failed");
  return mac;
}

bool Matches(capnp::Data::Reader aReceived, const Mac& aExpected)
{
  return aReceived.size() == kMacBytes &&
         CRYPTO_memcmp(aReceived.begin(), aExpected.data(), kMacBytes) == 0;
}

Nonce ReadNonce(std::uint16_t aVersion, capnp::Data::Reader aReceived)
{
  KJ_REQUIRE(aVersion == kProtocolVersion, "the peer uses another protocol version", aVersion);
  KJ_REQUIRE(aReceived.size() == kNonceBytes, "malformed nonce");
  Nonce nonce{};
  std::copy(aReceived.begin(), aReceived.end(), nonce.begin());
  return nonce;
}

/// Sends one handshake message whose fields aFill sets.
template<typename Message, typename Fill>
kj::Promise<void> SendMessage(TimeLimitedStream& aStream, Fill aFill)
{
  auto message = kj::heap<capnp::MallocMessageBuilder>();
  aFill(message->initRoot<Message>());
  kj::Promise<void> sent = capnp::writeMessage(aStream, *message);
  return sent.attach(kj::mv(message));
}

kj::Promise<kj::Own<capnp::MessageReader>> ReadMessage(TimeLimitedStream& aStream)
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxHandshakeMessageWords;
  return capnp::readMessage(aStream, options);
}

kj::Promise<void> SendMac(TimeLimitedStream& aStream, Mac aMac)
{
  return SendMessage<wire::Proof>(aStream, [&aMac](wire::Proof::Builder aProof) {
    aProof.setMac(kj::arrayPtr(aMac.data(), aMac.size()));
  });
}

constexpr const char* kClientLabel = "daisydrift peer client";
constexpr const char* kServerLabel = "daisydrift peer server";

} // namespace

kj::Promise<bool> AuthenticateAsClient(TimeLimitedStream& aStream, std::string aSecret)
{
  Nonce ownNonce = MakeNonce();
  return SendMessage<wire::Hello>(aStream,
                                  [&ownNonce](wire::Hello::Builder aHello) {
                                    aHello.setVersion(kProtocolVersion);
                                    aHello.setNonce(kj::arrayPtr(ownNonce.data(), ownNonce.size()));
                                  })
    .then([&aStream] { return ReadMessage(aStream); })
    .then([&aStream, ownNonce, secret = std::move(aSecret)](
            kj::Own<capnp::MessageReader> aMessage) -> kj::Promise<bool> {
      auto challenge = aMessage->getRoot<wire::Challenge>();
      Nonce peerNonce = ReadNonce(challenge.getVersion(), challenge.getNonce());
      Mac expected = ComputeMac(secret, kServerLabel, ownNonce, peerNonce);
      return SendMac(aStream, ComputeMac(secret, kClientLabel, ownNonce, peerNonce))
        .then([&aStream] { return ReadMessage(aStream); })
        .then([expected](kj::Own<capnp::MessageReader> aReply) {
          return Matches(aReply->getRoot<wire::Proof>().getMac(), expected);
        });
    });
}

kj::Promise<bool> AuthenticateAsServer(TimeLimitedStream& aStream, std::string aSecret)
{
  return ReadMessage(aStream).then([&aStream, secret = std::move(aSecret)](
                                     kj::Own<capnp::MessageReader> aMessage) -> kj::Promise<bool> {
    auto hello = aMessage->getRoot<wire::Hello>();
    Nonce peerNonce = ReadNonce(hello.getVersion(), hello.getNonce());
    Nonce ownNonce = MakeNonce();
    return SendMessage<wire::Challenge>(aStream,
                                        [&ownNonce](wire::Challenge::Builder aChallenge) {
                                          aChallenge.setVersion(kProtocolVersion);
                                          aChallenge.setNonce(
                                            kj::arrayPtr(ownNonce.data(), ownNonce.size()));
                                        })
      .then([&aStream] { return ReadMessage(aStream); })
      .then([&aStream, ownNonce, peerNonce, secret](
              kj::Own<capnp::MessageReader> aProof) -> kj::Promise<bool> {
        Mac expected = ComputeMac(secret, kClientLabel, peerNonce, ownNonce);
        if (!Matches(aProof->getRoot<wire::Proof>().getMac(), expected)) {
          return SendMessage<wire::Proof>(aStream, [](wire::Proof::Builder) {}).then([] {
            return false;
          });
        }
        return SendMac(aStream, ComputeMac(secret, kServerLabel, peerNonce, ownNonce)).then([] {
          return true;
        });
      });
  });
}

} // namespace daisydrift
