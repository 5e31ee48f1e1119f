#pragma once
// Connection that limits the time a message may take.

#include <capnp/serialize-async.h>
#include <kj/async-io.h>

#include <atomic>
#include <cstdint>

namespace daisydrift {

/// Bytes transferred over connections.
struct ByteCounts
{
  std::atomic<std::uint64_t> sent{ 0 };
  std::atomic<std::uint64_t> received{ 0 };
};

/// Timeouts of a connection.
struct StreamTimeouts
{
  /// From the start of the connection until the first call of BeginMessage, which follows
  /// authentication.
  kj::Duration authentication;
  /// Between two parts of a message that is read or written. The time that a message takes depends
  /// on its size and on the link, so only one that has stopped is given up.
  kj::Duration silence;
  /// For one message after its first byte, and for each write.
  kj::Duration message;
  /// For the first byte of a message; null for no timeout.
  kj::Maybe<kj::Duration> idle;
};

/// Wraps a socket: fails a read or write that stops or exceeds its timeout, and counts bytes. A
/// failed read or write ends the RPC session that uses the stream, which closes the connection.
/// Only for use on the event loop's thread.
class TimeLimitedStream final : public kj::AsyncIoStream
{
public:
  TimeLimitedStream(kj::Own<kj::AsyncIoStream> aInner,
                    kj::Timer& aTimer,
                    const StreamTimeouts& aTimeouts,
                    ByteCounts& aCounts);

  /// Applies the idle timeout to the next read, which waits for a new message.
  void BeginMessage() { this->isAtMessageStart = true; }
  /// Fails all pending and later reads and writes.
  void Abort();
  /// When the last bytes arrived; the start of the connection before that.
  kj::TimePoint LastArrival() const { return this->lastArrival; }

  kj::Promise<size_t> tryRead(void* aBuffer, size_t aMinBytes, size_t aMaxBytes) override;
  kj::Promise<void> write(const void* aBuffer, size_t aSize) override;
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;
  void getsockopt(int aLevel, int aOption, void* aValue, kj::uint* aLength) override;

private:
  kj::Promise<size_t> ReadRemainder(void* aBuffer, size_t aMinBytes, size_t aMaxBytes);
  kj::Promise<void> WriteChunk(kj::Promise<void> aWrite, kj::TimePoint aDeadline);
  /// Writes the pieces from aIndex, of the first one the bytes from aOffset, in chunks.
  kj::Promise<void> WriteChunks(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces,
                                size_t aIndex,
                                size_t aOffset,
                                kj::TimePoint aDeadline);
  kj::Exception AbortedException() const;

  kj::Own<kj::AsyncIoStream> inner;
  kj::Timer& timer;
  StreamTimeouts timeouts;
  ByteCounts& counts;
  kj::TimePoint readDeadline;
  kj::TimePoint lastArrival;
  bool isAtMessageStart = false;
  bool isAborted = false;
  kj::Canceler canceler;
};

/// Cap'n Proto messages over a TimeLimitedStream.
class TimeLimitedMessageStream final : public capnp::MessageStream
{
public:
  explicit TimeLimitedMessageStream(TimeLimitedStream& aStream);

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> aFdSpace,
    capnp::ReaderOptions aOptions,
    kj::ArrayPtr<capnp::word> aScratchSpace) override;
  kj::Promise<void> writeMessage(
    kj::ArrayPtr<const int> aFds,
    kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> aSegments) override;
  kj::Promise<void> writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> aMessages) override;
  kj::Maybe<int> getSendBufferSize() override;
  kj::Promise<void> end() override;

private:
  TimeLimitedStream& stream;
  capnp::AsyncIoMessageStream messages;
};

} // namespace daisydrift
