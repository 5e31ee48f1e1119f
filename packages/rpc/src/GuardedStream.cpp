#include "GuardedStream.h"

namespace daisydrift {

GuardedStream::GuardedStream(kj::Own<kj::AsyncIoStream> aInner,
                             kj::Timer& aTimer,
                             const StreamLimits& aLimits,
                             ByteCounts& aCounts)
  : inner(kj::mv(aInner))
  , timer(aTimer)
  , limits(aLimits)
  , counts(aCounts)
  , readDeadline(aTimer.now() + aLimits.authentication)
{
}

void GuardedStream::Abort()
{
  this->isAborted = true;
  this->canceler.cancel(this->AbortedException());
}

kj::Exception GuardedStream::AbortedException() const
{
  return KJ_EXCEPTION(DISCONNECTED, "connection closed by this side");
}

kj::Promise<size_t> GuardedStream::tryRead(void* aBuffer, size_t aMinBytes, size_t aMaxBytes)
{
  if (this->isAborted) {
    return this->AbortedException();
  }
  if (!this->isAtMessageStart) {
    return this->ReadRest(aBuffer, aMinBytes, aMaxBytes);
  }
  this->isAtMessageStart = false;
  kj::Promise<size_t> first = this->canceler.wrap(this->inner->tryRead(aBuffer, 1, aMaxBytes));
  KJ_IF_MAYBE (idle, this->limits.idle) {
    first = this->timer.timeoutAfter(*idle, kj::mv(first));
  }
  return first.then([this, aBuffer, aMinBytes, aMaxBytes](size_t aRead) -> kj::Promise<size_t> {
    this->counts.received += aRead;
    this->readDeadline = this->timer.now() + this->limits.message;
    if (aRead == 0 || aRead >= aMinBytes) {
      return aRead;
    }
    return this
      ->ReadRest(static_cast<kj::byte*>(aBuffer) + aRead, aMinBytes - aRead, aMaxBytes - aRead)
      .then([aRead](size_t aRest) { return aRead + aRest; });
  });
}

kj::Promise<size_t> GuardedStream::ReadRest(void* aBuffer, size_t aMinBytes, size_t aMaxBytes)
{
  return this->timer
    .timeoutAt(this->readDeadline,
               this->canceler.wrap(this->inner->tryRead(aBuffer, aMinBytes, aMaxBytes)))
    .then([this](size_t aRead) {
      this->counts.received += aRead;
      return aRead;
    });
}

kj::Promise<void> GuardedStream::write(const void* aBuffer, size_t aSize)
{
  if (this->isAborted) {
    return this->AbortedException();
  }
  this->counts.sent += aSize;
  return this->Limit(this->inner->write(aBuffer, aSize));
}

kj::Promise<void> GuardedStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces)
{
  if (this->isAborted) {
    return this->AbortedException();
  }
  for (const auto& piece : aPieces) {
    this->counts.sent += piece.size();
  }
  return this->Limit(this->inner->write(aPieces));
}

kj::Promise<void> GuardedStream::Limit(kj::Promise<void> aWrite)
{
  return this->timer.timeoutAfter(this->limits.message, this->canceler.wrap(kj::mv(aWrite)));
}

kj::Promise<void> GuardedStream::whenWriteDisconnected()
{
  return this->inner->whenWriteDisconnected();
}

void GuardedStream::shutdownWrite()
{
  this->inner->shutdownWrite();
}

void GuardedStream::abortRead()
{
  this->inner->abortRead();
}

void GuardedStream::getsockopt(int aLevel, int aOption, void* aValue, kj::uint* aLength)
{
  this->inner->getsockopt(aLevel, aOption, aValue, aLength);
}

GuardedMessages::GuardedMessages(GuardedStream& aStream)
  : stream(aStream)
  , messages(aStream)
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> GuardedMessages::tryReadMessage(
  kj::ArrayPtr<kj::AutoCloseFd> aFdSpace,
  capnp::ReaderOptions aOptions,
  kj::ArrayPtr<capnp::word> aScratchSpace)
{
  this->stream.BeginMessage();
  return this->messages.tryReadMessage(aFdSpace, aOptions, aScratchSpace);
}

kj::Promise<void> GuardedMessages::writeMessage(
  kj::ArrayPtr<const int> aFds,
  kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> aSegments)
{
  return this->messages.writeMessage(aFds, aSegments);
}

kj::Promise<void> GuardedMessages::writeMessages(
  kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> aMessages)
{
  return this->messages.writeMessages(aMessages);
}

kj::Maybe<int> GuardedMessages::getSendBufferSize()
{
  return this->messages.getSendBufferSize();
}

kj::Promise<void> GuardedMessages::end()
{
  return this->messages.end();
}

} // namespace daisydrift
