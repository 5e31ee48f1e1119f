#include "TimeLimitedStream.h"

#include <algorithm>

namespace daisydrift {

namespace {

/// Largest part of a message that is written with one time limit. A link that takes longer than the
/// limit of 5 s for it counts as unresponsive.
constexpr size_t kWriteChunkBytes = 64 * 1024;

} // namespace

TimeLimitedStream::TimeLimitedStream(kj::Own<kj::AsyncIoStream> aInner,
                                     kj::Timer& aTimer,
                                     const StreamTimeouts& aTimeouts,
                                     ByteCounts& aCounts)
  : inner(kj::mv(aInner))
  , timer(aTimer)
  , timeouts(aTimeouts)
  , counts(aCounts)
  , readDeadline(aTimer.now() + aTimeouts.authentication)
  , lastArrival(aTimer.now())
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
    this->lastArrival = this->timer.now();
    this->readDeadline = this->lastArrival + this->timeouts.message;
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
  if (this->isAborted) {
    return this->AbortedException();
  }
  // Each part is read by itself, so that its arrival extends the time limit of the next one.
  kj::TimePoint deadline = std::min(this->readDeadline, this->timer.now() + this->timeouts.silence);
  return this->timer
    .timeoutAt(deadline, this->canceler.wrap(this->inner->tryRead(aBuffer, 1, aMaxBytes)))
    .then([this, aBuffer, aMinBytes, aMaxBytes](size_t aRead) -> kj::Promise<size_t> {
      this->counts.received += aRead;
      this->lastArrival = this->timer.now();
      if (aRead == 0 || aRead >= aMinBytes) {
        return aRead;
      }
      return this
        ->ReadRemainder(
          static_cast<kj::byte*>(aBuffer) + aRead, aMinBytes - aRead, aMaxBytes - aRead)
        .then([aRead](size_t aRemaining) { return aRead + aRemaining; });
    });
}

kj::Promise<void> TimeLimitedStream::write(const void* aBuffer, size_t aSize)
{
  auto piece = kj::heap(kj::arrayPtr(static_cast<const kj::byte*>(aBuffer), aSize));
  kj::Promise<void> written = this->write(kj::arrayPtr(&*piece, 1));
  return written.attach(kj::mv(piece));
}

kj::Promise<void> TimeLimitedStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces)
{
  if (this->isAborted) {
    return this->AbortedException();
  }
  size_t bytes = 0;
  for (const auto& piece : aPieces) {
    bytes += piece.size();
  }
  this->counts.sent += bytes;
  kj::TimePoint deadline = this->timer.now() + this->timeouts.message;
  if (bytes <= kWriteChunkBytes) {
    return this->WriteChunk(this->inner->write(aPieces), deadline);
  }
  return this->WriteChunks(aPieces, 0, 0, deadline);
}

kj::Promise<void> TimeLimitedStream::WriteChunk(kj::Promise<void> aWrite, kj::TimePoint aDeadline)
{
  kj::TimePoint deadline = std::min(aDeadline, this->timer.now() + this->timeouts.silence);
  return this->timer.timeoutAt(deadline, this->canceler.wrap(kj::mv(aWrite)));
}

kj::Promise<void> TimeLimitedStream::WriteChunks(
  kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces,
  size_t aIndex,
  size_t aOffset,
  kj::TimePoint aDeadline)
{
  while (aIndex < aPieces.size() && aOffset == aPieces[aIndex].size()) {
    ++aIndex;
    aOffset = 0;
  }
  if (aIndex == aPieces.size()) {
    return kj::READY_NOW;
  }
  if (this->isAborted) {
    return this->AbortedException();
  }
  const auto& piece = aPieces[aIndex];
  size_t size = std::min(kWriteChunkBytes, piece.size() - aOffset);
  return this->WriteChunk(this->inner->write(piece.begin() + aOffset, size), aDeadline)
    .then([this, aPieces, aIndex, aOffset, size, aDeadline] {
      return this->WriteChunks(aPieces, aIndex, aOffset + size, aDeadline);
    });
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
