#pragma once
// A call that a thread waits for.

#include "PeerLink.h"
#include "WireCodec.h"
#include "daisydrift/rpc/PeerResult.h"

#include <future>

namespace daisydrift {

/// A call on its way, without its types. Used on the loop's thread, apart from the waiting caller.
class PendingCall
{
public:
  PendingCall(bool aIsHeartbeat, Duration aTimeout)
    : isHeartbeat(aIsHeartbeat)
    , timeout(aTimeout)
  {
  }
  virtual ~PendingCall() = default;

  /// Sends the call over aLink; resolves when the answer has been passed to the caller.
  virtual kj::Promise<void> Send(PeerLink& aLink) = 0;
  /// Ends the call with an error.
  virtual void Fail(std::error_code aError, PeerFailure aFailure) = 0;

  const bool isHeartbeat;
  const Duration timeout;
  /// Set when the call is given to a connection.
  kj::Own<PeerLink> link;
};

/// A call of one method. The request belongs to the caller, who waits until the call has ended.
template<typename Reply>
class TypedCall final : public PendingCall
{
public:
  /// Sends the encoded request and reads the answer into a result.
  using Exchange = std::function<kj::Promise<PeerResult<Reply>>(PeerLink&)>;

  TypedCall(bool aIsHeartbeat, Duration aTimeout, Exchange aExchange)
    : PendingCall(aIsHeartbeat, aTimeout)
    , exchange(std::move(aExchange))
  {
  }
  /// A call dropped with its channel ends with what is known of it.
  ~TypedCall() override
  {
    this->Fail(this->link ? Errc::OutcomeUnknown : Errc::Unreachable, PeerFailure::Disconnected);
  }

  kj::Promise<void> Send(PeerLink& aLink) override
  {
    return this->exchange(aLink).then(
      [this](PeerResult<Reply> aResult) { this->Finish(std::move(aResult)); });
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
