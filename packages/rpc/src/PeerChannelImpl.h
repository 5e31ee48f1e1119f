#pragma once
// Connection of a PeerChannel and the calls on it, on the event loop's thread.

#include "EventLoopThread.h"
#include "PendingCall.h"
#include "daisydrift/rpc/PeerChannel.h"

namespace daisydrift {

/// Opens connections, sends calls over them and replaces them. Only for use on the event loop's
/// thread, except for Counts and Connections.
class PeerChannelImpl final : private kj::TaskSet::ErrorHandler
{
public:
  PeerChannelImpl(EventLoopThread& aLoop, Endpoint aEndpoint, PeerChannelOptions aOptions);
  ~PeerChannelImpl() noexcept(false);

  /// Starts a call; it finishes within its timeout.
  void StartCall(const std::shared_ptr<PendingCall>& aCall);

  /// Closes the connection in use, if any; its calls fail.
  void CloseConnection();

  const ByteCounts& Counts() const { return this->counts; }
  std::uint64_t Connections() const { return this->connections; }

private:
  /// Reason why the last attempt to connect failed.
  struct ConnectFailure
  {
    std::error_code error;
    PeerFailure failure = PeerFailure::None;
  };

  /// Resolves when `current` is usable or the attempt to connect has failed.
  kj::Promise<void> EnsureConnected();
  kj::Promise<void> Connect();
  kj::Promise<void> Authenticate(kj::Own<kj::AsyncIoStream> aStream);
  void SetCurrentConnection(kj::Own<TimeLimitedStream> aStream);
  kj::Promise<void> Send(const std::shared_ptr<PendingCall>& aCall);
  void OnTimeout(PendingCall& aCall);
  void OnException(PendingCall& aCall, const kj::Exception& aException);
  /// Excludes a connection from new calls; its running calls continue.
  void Retire(const ClientConnection& aConnection);
  /// Resolves when one of the two limits of the call has passed.
  kj::Promise<void> AwaitTimeout(const std::shared_ptr<PendingCall>& aCall, kj::TimePoint aStart);
  bool IsUsable();
  void taskFailed(kj::Exception&& aException) override; // NOLINT(readability-identifier-naming)

  EventLoopThread& loop;
  const Endpoint endpoint;
  const PeerChannelOptions options;
  ByteCounts counts;
  std::atomic<std::uint64_t> connections{ 0 };
  /// The connection in use, if any.
  kj::Own<ClientConnection> current;
  ConnectFailure connectFailure;
  bool isConnecting = false;
  kj::ForkedPromise<void> connecting = nullptr;
  /// Declared last so that it is destroyed first, because its tasks use the other members.
  kj::TaskSet tasks;
};

} // namespace daisydrift
