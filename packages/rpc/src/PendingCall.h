#pragma once
// A call whose result a thread waits for.

#include "ClientConnection.h"
#include "WireCodec.h"
#include "daisydrift/rpc/PeerResult.h"

#include <future>

namespace daisydrift {

/// A call in flight, independent of its request and reply types. Used on the event loop's thread,
/// except for the waiting caller.
class PendingCall
{
public:
  PendingCall(bool aIsHeartbeat, Duration aSilence, Duration aTimeout)
    : isHeartbeat(aIsHeartbeat)
    , silence(aSilence)
    , timeout(aTimeout)
  {
  }
  virtual ~PendingCall() = default;

  /// Sends the call over aConnection; resolves when the response has been passed to the caller.
  virtual kj::Promise<void> Send(ClientConnection& aConnection) = 0;
  /// Completes the call with an error.
  virtual void Fail(std::error_code aError, PeerFailure aFailure) = 0;

  const bool isHeartbeat;
  /// The call fails when no byte has arrived on its connection for this long, and after `timeout`
  /// in all.
  const Duration silence;
  const Duration timeout;
  /// Set when the call is sent over a connection.
  kj::Own<ClientConnection> connection;
  /// When the call was sent over the connection.
  kj::TimePoint sentAt = kj::origin<kj::TimePoint>();
};

/// A call of one method. The caller owns the request and waits until the call has finished.
template<typename Reply>
class TypedCall final : public PendingCall
{
public:
  /// Sends the encoded request and decodes the response.
  using Exchange = std::function<kj::Promise<PeerResult<Reply>>(ClientConnection&)>;

  TypedCall(bool aIsHeartbeat, Duration aSilence, Duration aTimeout, Exchange aExchange)
    : PendingCall(aIsHeartbeat, aSilence, aTimeout)
    , exchange(std::move(aExchange))
  {
  }
  /// Fails the call if it is still running because its channel is destroyed. The error tells
  /// whether the call may have been sent.
  ~TypedCall() override
  {
    this->Fail(this->connection ? Errc::OutcomeUnknown : Errc::Unreachable,
               PeerFailure::Disconnected);
  }

  kj::Promise<void> Send(ClientConnection& aConnection) override
  {
    return this->exchange(aConnection).then([this](PeerResult<Reply> aResult) {
      this->Finish(std::move(aResult));
    });
  }

  void Fail(std::error_code aError, PeerFailure aFailure) override
  {
    this->Finish(PeerResult<Reply>(aError, aFailure));
  }

  std::future<PeerResult<Reply>> Future() { return this->promise.get_future(); }

private:
  void Finish(PeerResult<Reply> aResult)
  {
    if (!this->isFinished) {
      this->isFinished = true;
      this->promise.set_value(std::move(aResult));
    }
  }

  Exchange exchange;
  std::promise<PeerResult<Reply>> promise;
  bool isFinished = false;
};

} // namespace daisydrift
