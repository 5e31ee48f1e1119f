#include "TimeLimitedStream.h"

namespace daisydrift {

TimeLimitedStream::TimeLimitedStream(kj::Own<kj::AsyncIoStream> aInner,
                                     kj::Timer& aTimer,
                                     const StreamTimeouts& aTimeouts,
                                     ByteCounts& aCounts)
  : inner(kj::mv(aInner))
  , timer(aTimer)
  , timeouts(aTimeouts)
  , counts(aCounts)
  , readDeadline(aTimer.now() + aTimeouts.authentication)
{
}

void TimeLimitedStream::Abort()
{
  this->isAborted = true;
  this->canceler.cancel(this->AbortedException());
}

kj::Exception TimeLimitedStream::AbortedException() const
{
  return KJ_EXCEPTION(DISCONNECTED, "connection closed by this side");
}

kj::Promise<size_t> TimeLimitedStream::tryRead(void* aBuffer, size_t aMinBytes, size_t aMaxBytes)
{
  if (this->isAborted) {
    return this->AbortedException();
  }
  if (!this->isAtMessageStart) {
    return this->ReadRemainder(aBuffer, aMinBytes, aMaxBytes);
  }
  this->isAtMessageStart = false;
  kj::Promise<size_t> firstRead = this->canceler.wrap(this->inner->tryRead(aBuffer, 1, aMaxBytes));
  KJ_IF_MAYBE (idle, this->timeouts.idle) {
    firstRead = this->timer.timeoutAfter(*idle, kj::mv(firstRead));
  }
  return firstRead.then([this, aBuffer, aMinBytes, aMaxBytes](size_t aRead) -> kj::Promise<size_t> {
    this->counts.received += aRead;
    this->readDeadline = this->timer.now() + this->timeouts.message;
    if (aRead == 0 || aRead >= aMinBytes) {
      return aRead;
    }
    return this
      ->ReadRemainder(static_cast<kj::byte*>(aBuffer) + aRead, aMinBytes - aRead, aMaxBytes - aRead)
      .then([aRead](size_t aRemaining) { return aRead + aRemaining; });
  });
}

kj::Promise<size_t> TimeLimitedStream::ReadRemainder(void* aBuffer,
                                                     size_t aMinBytes,
                                                     size_t aMaxBytes)
{
  return this->timer
    .timeoutAt(this->readDeadline,
               this->canceler.wrap(this->inner->tryRead(aBuffer, aMinBytes, aMaxBytes)))
    .then([this](size_t aRead) {
      this->counts.received += aRead;
      return aRead;
    });
}

kj::Promise<void> TimeLimitedStream::write(const void* aBuffer, size_t aSize)
{
  if (this->isAborted) {
    return this->AbortedException();
  }
  this->counts.sent += aSize;
  return this->WithTimeout(this->inner->write(aBuffer, aSize));
}

kj::Promise<void> TimeLimitedStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces)
{
  if (this->isAborted) {
    return this->AbortedException();
  }
  for (const auto& piece : aPieces) {
    this->counts.sent += piece.size();
  }
  return this->WithTimeout(this->inner->write(aPieces));
}

kj::Promise<void> TimeLimitedStream::WithTimeout(kj::Promise<void> aWrite)
{
  return this->timer.timeoutAfter(this->timeouts.message, this->canceler.wrap(kj::mv(aWrite)));
}

kj::Promise<void> TimeLimitedStream::whenWriteDisconnected()
{
  return this->inner->whenWriteDisconnected();
}

void TimeLimitedStream::shutdownWrite()
{
  this->inner->shutdownWrite();
}

void TimeLimitedStream::abortRead()
{
  this->inner->abortRead();
}

void TimeLimitedStream::getsockopt(int aLevel, int aOption, void* aValue, kj::uint* aLength)
{
  this->inner->getsockopt(aLevel, aOption, aValue, aLength);
}

TimeLimitedMessageStream::TimeLimitedMessageStream(TimeLimitedStream& aStream)
  : stream(aStream)
  , messages(aStream)
{
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> TimeLimitedMessageStream::tryReadMessage(
  kj::ArrayPtr<kj::AutoCloseFd> aFdSpace,
  capnp::ReaderOptions aOptions,
  kj::ArrayPtr<capnp::word> aScratchSpace)
{
  this->stream.BeginMessage();
  return this->messages.tryReadMessage(aFdSpace, aOptions, aScratchSpace);
}

kj::Promise<void> TimeLimitedMessageStream::writeMessage(
  kj::ArrayPtr<const int> aFds,
  kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> aSegments)
{
  return this->messages.writeMessage(aFds, aSegments);
}

kj::Promise<void> TimeLimitedMessageStream::writeMessages(
  kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> aMessages)
{
  return this->messages.writeMessages(aMessages);
}

kj::Maybe<int> TimeLimitedMessageStream::getSendBufferSize()
{
  return this->messages.getSendBufferSize();
}

kj::Promise<void> TimeLimitedMessageStream::end()
{
  return this->messages.end();
}

} // namespace daisydrift
