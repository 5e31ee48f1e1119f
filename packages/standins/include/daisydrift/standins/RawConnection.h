#pragma once
// TCP connection on which a test controls every byte.

#include "daisydrift/external.h"

#include <atomic>
#include <memory>
#include <string>
#include <string_view>

namespace daisydrift {

/// Blocking connection. One thread may send while another receives. Close and Reset may be called
/// from any thread and unblock both.
class RawConnection
{
public:
  struct Socket;

  explicit RawConnection(std::unique_ptr<Socket> aSocket);
  ~RawConnection();

  /// Connects to an endpoint; returns null on failure.
  static std::shared_ptr<RawConnection> Connect(const Endpoint& aEndpoint);

  /// Sends all bytes; returns false when the connection is broken.
  bool Send(std::string_view aBytes);
  /// Receives the available bytes, at least one; empty at the end of the stream.
  std::string ReceiveSome();
  /// Receives exactly aCount bytes; fewer at the end of the stream.
  std::string Receive(std::size_t aCount);
  /// Receives up to and including aEnd; less at the end of the stream.
  std::string ReceiveUntil(std::string_view aEnd);
  /// Discards bytes until the other side closes or resets the connection.
  void AwaitClose();
  /// Closes the sending direction only; receiving remains possible.
  void EndSending();
  /// Shuts down both directions.
  void Close();
  /// Makes the connection end with a TCP reset, as the kernel does for a process that died with
  /// unread data. The reset is sent when the object is destroyed.
  void Reset();

private:
  std::unique_ptr<Socket> socket;
  std::atomic<bool> isReset{ false };
};

} // namespace daisydrift
