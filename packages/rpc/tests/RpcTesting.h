#pragma once
// Helpers shared by the tests of the package.

#include "daisydrift/rpc.h"

#include <condition_variable>

namespace daisydrift {

/// Safeguard against a hang only; no test depends on it.
constexpr std::chrono::seconds kHangLimit{ 60 };

/// Gate that threads wait at until it is opened.
class Gate
{
public:
  /// Lets all through from now on.
  void Open();
  /// Waits until open and reports arrival; gives up at the hang limit.
  void Pass();
  /// Waits until aCount threads have arrived; returns false at the hang limit.
  bool AwaitArrivals(unsigned aCount);

private:
  std::mutex mutex;
  std::condition_variable changed;
  bool isOpen = false;
  unsigned arrived = 0;
};

/// Service whose calls are set by the test; unset ones repeat their input.
class TestService : public PeerService
{
public:
  std::function<Result<HeartbeatReply>(const Heartbeat&)> heartbeat;
  std::function<Result<CallReply>(const Call&)> call;
  std::function<Result<ForwardedReply>(const ForwardedRequest&)> forward;
  std::function<Result<ConfigReply>()> config;
  std::function<Result<SuccessorAck>(const SuccessorNotice&)> successor;

  Result<HeartbeatReply> OnHeartbeat(const Heartbeat& aHeartbeat) override;
  Result<CallReply> OnCall(const Call& aCall) override;
  Result<ForwardedReply> OnForwardedRequest(const ForwardedRequest& aRequest) override;
  Result<ConfigReply> OnFetchConfig() override;
  Result<SuccessorAck> OnSuccessor(const SuccessorNotice& aNotice) override;
};

/// Options with the right secret and no time limit that a slow machine could reach.
PeerChannelOptions GoodOptions();

/// A server on the loopback address with its service, and channels to it.
struct Fixture
{
  explicit Fixture(PeerServerOptions aOptions = { .secret = "s3cret" });

  /// A new channel to the server.
  std::unique_ptr<PeerChannel> Channel(PeerChannelOptions aOptions = GoodOptions());
  /// True when a new client with the right secret gets its own call answered.
  bool ServesGoodClient();

  std::shared_ptr<RpcLoop> loop = std::make_shared<RpcLoop>();
  TestService service;
  PeerServer server;
};

/// A call with a body, with a generous deadline.
Call MakeCall(const std::string& aBody);
/// A heartbeat with all fields set.
Heartbeat MakeHeartbeat();

} // namespace daisydrift
