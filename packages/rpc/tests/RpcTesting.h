#pragma once
// Helpers shared by the tests of the package.

#include "daisydrift/rpc.h"

#include <condition_variable>

namespace daisydrift {

/// Only keeps a failing test from hanging; no result depends on it.
constexpr std::chrono::seconds kHangTimeout{ 60 };

/// Blocks threads until it is opened.
class Gate
{
public:
  /// Unblocks all waiting threads and lets later ones pass.
  void Open();
  /// Records the arrival and waits until the gate is open, at most for kHangTimeout.
  void Pass();
  /// Waits until aCount threads have arrived; returns false after kHangTimeout.
  bool WaitForArrivals(unsigned aCount);

private:
  std::mutex mutex;
  std::condition_variable changed;
  bool isOpen = false;
  unsigned arrived = 0;
};

/// Service whose handlers the test sets; the defaults echo the request or return fixed values.
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

/// Options with the correct secret and timeouts that a slow machine does not reach.
PeerChannelOptions ValidOptions();

/// A server on the loopback address with its service.
struct Fixture
{
  explicit Fixture(PeerServerOptions aOptions = { .secret = "s3cret" });

  /// Creates a channel to the server.
  std::unique_ptr<PeerChannel> Channel(PeerChannelOptions aOptions = ValidOptions());
  /// True when a new client with the correct secret receives the reply to its own call.
  bool ServesValidClient();

  std::shared_ptr<RpcEventLoop> loop = std::make_shared<RpcEventLoop>();
  TestService service;
  PeerServer server;
};

/// A call with the given body and a timeout of kHangTimeout.
Call MakeCall(const std::string& aBody);
/// A heartbeat with all fields set.
Heartbeat MakeHeartbeat();

} // namespace daisydrift
