// Guards against a server that accepts a peer without the secret, or a replayed proof.

#include "RpcTesting.h"

#include "daisydrift/standins.h"

#include <gtest/gtest.h>

namespace daisydrift {
namespace {

using namespace std::chrono_literals;

class PeerAuthentication : public testing::Test
{
protected:
  PeerAuthentication()
  {
    this->fixture.service.heartbeat = [this](const Heartbeat& aHeartbeat) {
      ++this->served;
      return aHeartbeat;
    };
  }

  std::atomic<unsigned> served{ 0 };
  Fixture fixture;
};

TEST_F(PeerAuthentication, WrongSecretIsRejectedAndNothingIsSent)
{
  for (const char* secret : { "wrong", "s3cre", "s3cret ", "" }) {
    PeerChannelOptions options = ValidOptions();
    options.secret = secret;
    auto reply = this->fixture.Channel(options)->SendHeartbeat(MakeHeartbeat(), kHangTimeout);
    EXPECT_EQ(reply.Error(), Errc::Unauthenticated) << secret;
    EXPECT_EQ(reply.Failure(), PeerFailure::AuthenticationFailed) << secret;
  }
  EXPECT_EQ(this->served, 0u);
  EXPECT_TRUE(this->fixture.ServesValidClient());
}

TEST_F(PeerAuthentication, ReplayedProofIsRejected)
{
  std::string recorded;
  {
    TcpRelay relay(this->fixture.server.Address());
    PeerChannel channel(this->fixture.loop, relay.Address(), ValidOptions());
    ASSERT_TRUE(channel.SendHeartbeat(MakeHeartbeat(), kHangTimeout));
    recorded = relay.SentByClient(0);
  }
  ASSERT_EQ(this->served, 1u);
  auto attacker = RawConnection::Connect(this->fixture.server.Address());
  ASSERT_TRUE(attacker);
  attacker->Send(recorded);
  attacker->AwaitClose();
  EXPECT_EQ(this->served, 1u);
  EXPECT_TRUE(this->fixture.ServesValidClient());
}

// Guards against a server without the secret that reflects the client's own messages.
TEST_F(PeerAuthentication, ReflectedProofIsRejected)
{
  RawListener mirror([](RawConnection& aConnection, unsigned) {
    for (std::string bytes = aConnection.ReceiveSome(); !bytes.empty();
         bytes = aConnection.ReceiveSome()) {
      aConnection.Send(bytes);
    }
  });
  PeerChannel channel(this->fixture.loop, mirror.Address(), ValidOptions());
  auto reply = channel.SendHeartbeat(MakeHeartbeat(), kHangTimeout);
  EXPECT_EQ(reply.Error(), Errc::Unauthenticated);
  EXPECT_EQ(reply.Failure(), PeerFailure::AuthenticationFailed);
}

TEST(PeerAuthenticationLimit, ConnectionWithoutProofIsClosed)
{
  PeerServerOptions options{ .secret = "s3cret" };
  options.authenticationTimeout = 50ms;
  Fixture fixture(options);
  for (std::size_t length : { 0, 1, 5, 8, 12 }) {
    auto idle = RawConnection::Connect(fixture.server.Address());
    ASSERT_TRUE(idle);
    idle->Send(std::string("\0\0\0\0\x05\0\0\0\0\0\0\0", 12).substr(0, length));
    idle->AwaitClose();
  }
}

TEST(PeerAuthenticationLimit, ServerNeedsASecretAndAnAddress)
{
  auto loop = std::make_shared<RpcEventLoop>();
  TestService service;
  PeerServer withoutSecret(loop, service, {});
  EXPECT_EQ(withoutSecret.Start({ "127.0.0.1", 0 }), Errc::InvalidArgument);
  PeerServer server(loop, service, { .secret = "s3cret" });
  EXPECT_EQ(server.Start({ "localhost", 0 }), Errc::InvalidArgument);
  ASSERT_FALSE(server.Start({ "127.0.0.1", 0 }));
  PeerServer second(loop, service, { .secret = "s3cret" });
  EXPECT_EQ(second.Start(server.Address()), std::errc::address_in_use);
}

} // namespace
} // namespace daisydrift
