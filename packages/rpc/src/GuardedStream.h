#pragma once
// Connection with limits on the time that a message may take.

#include <capnp/serialize-async.h>
#include <kj/async-io.h>

#include <atomic>
#include <cstdint>

namespace daisydrift {

/// Bytes that went over connections.
struct ByteCounts
{
  std::atomic<std::uint64_t> sent{ 0 };
  std::atomic<std::uint64_t> received{ 0 };
};

/// Time limits of a connection.
struct StreamLimits
{
  /// From the opening until the first BeginMessage, that is, for authentication.
  kj::Duration authentication;
  /// For one message once its first byte has come, and for each write.
  kj::Duration message;
  /// For the first byte of a message; null for no limit.
  kj::Maybe<kj::Duration> idle;
};

/// Wraps a socket: fails a read or write that exceeds its limit, and counts bytes. A failed read or
/// write ends the RPC session above it, which closes the connection. Only for use on the loop's
/// thread.
class GuardedStream final : public kj::AsyncIoStream
{
public:
  GuardedStream(kj::Own<kj::AsyncIoStream> aInner,
                kj::Timer& aTimer,
                const StreamLimits& aLimits,
                ByteCounts& aCounts);

  /// The next read waits for a new message.
  void BeginMessage() { this->isAtMessageStart = true; }
  /// Fails all running and later reads and writes.
  void Abort();

  kj::Promise<size_t> tryRead(void* aBuffer, size_t aMinBytes, size_t aMaxBytes) override;
  kj::Promise<void> write(const void* aBuffer, size_t aSize) override;
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;
  void getsockopt(int aLevel, int aOption, void* aValue, kj::uint* aLength) override;

private:
  kj::Promise<size_t> ReadRest(void* aBuffer, size_t aMinBytes, size_t aMaxBytes);
  kj::Promise<void> Limit(kj::Promise<void> aWrite);
  kj::Exception AbortedException() const;

  kj::Own<kj::AsyncIoStream> inner;
  kj::Timer& timer;
  StreamLimits limits;
  ByteCounts& counts;
  kj::TimePoint readDeadline;
  bool isAtMessageStart = false;
  bool isAborted = false;
  kj::Canceler canceler;
};

/// Messages over a GuardedStream.
class GuardedMessages final : public capnp::MessageStream
{
public:
  explicit GuardedMessages(GuardedStream& aStream);

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
  GuardedStream& stream;
  capnp::AsyncIoMessageStream messages;
};

} // namespace daisydrift
