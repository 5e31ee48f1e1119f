#pragma once
// Connection of a PeerChannel and the calls on it, on the loop's thread.

#include "LoopThread.h"
#include "PendingCall.h"
#include "daisydrift/rpc/PeerChannel.h"

namespace daisydrift {

/// Opens connections, sends calls over them and replaces them. Only for use on the loop's thread,
/// apart from Counts and Connections.
class ChannelCore final : private kj::TaskSet::ErrorHandler
{
public:
  ChannelCore(LoopThread& aLoop, Endpoint aEndpoint, PeerChannelOptions aOptions);
  ~ChannelCore() noexcept(false);

  /// Begins a call; it ends by its timeout at the latest.
  void Begin(const std::shared_ptr<PendingCall>& aCall);

  const ByteCounts& Counts() const { return this->counts; }
  std::uint64_t Connections() const { return this->connections; }

private:
  /// Why the last attempt to connect failed.
  struct OpenFailure
  {
    std::error_code error;
    PeerFailure failure = PeerFailure::None;
  };

  /// Resolves when `current` is usable or the attempt has failed.
  kj::Promise<void> Connected();
  kj::Promise<void> Open();
  kj::Promise<void> Authenticate(kj::Own<kj::AsyncIoStream> aStream);
  void Adopt(kj::Own<GuardedStream> aStream);
  kj::Promise<void> Send(const std::shared_ptr<PendingCall>& aCall);
  void OnTimeout(PendingCall& aCall);
  void OnException(PendingCall& aCall, const kj::Exception& aException);
  /// Takes a connection out of use; its running calls go on.
  void Retire(const PeerLink& aLink);
  bool IsUsable();
  void taskFailed(kj::Exception&& aException) override; // NOLINT(readability-identifier-naming)

  LoopThread& loop;
  const Endpoint endpoint;
  const PeerChannelOptions options;
  ByteCounts counts;
  std::atomic<std::uint64_t> connections{ 0 };
  /// The connection in use, if any.
  kj::Own<PeerLink> current;
  OpenFailure openFailure;
  bool isOpening = false;
  kj::ForkedPromise<void> opening = nullptr;
  /// Declared last: it ends first, and its tasks use the rest.
  kj::TaskSet tasks;
};

} // namespace daisydrift
