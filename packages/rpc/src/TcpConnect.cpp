#include "TcpConnect.h"

#include "SocketAddress.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstring>

namespace daisydrift {

namespace {

/// True when a socket is connected to itself. TCP's simultaneous open does that on a connection to
/// a local port on which no process listens.
bool IsSelfConnected(int aSocket)
{
  sockaddr_in local{};
  sockaddr_in remote{};
  socklen_t length = sizeof(local);
  ::getsockname(aSocket, reinterpret_cast<sockaddr*>(&local), &length);
  length = sizeof(remote);
  ::getpeername(aSocket, reinterpret_cast<sockaddr*>(&remote), &length);
  return local.sin_port == remote.sin_port && local.sin_addr.s_addr == remote.sin_addr.s_addr;
}

ConnectResult MakeFailure(int aError)
{
  return ConnectResult{ std::error_code(aError, std::system_category()), {} };
}

ConnectResult FinishConnecting(kj::AsyncIoContext& aIo, kj::AutoCloseFd aSocket)
{
  int error = 0;
  socklen_t length = sizeof(error);
  ::getsockopt(aSocket, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    return MakeFailure(error);
  }
  if (IsSelfConnected(aSocket)) {
    return MakeFailure(ECONNREFUSED);
  }
  int one = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return ConnectResult{ {},
                        aIo.lowLevelProvider->wrapSocketFd(
                          kj::mv(aSocket),
                          kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                            kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK) };
}

} // namespace

kj::Promise<ConnectResult> TcpConnect(kj::AsyncIoContext& aIo, const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  if (!ToSocketAddress(aEndpoint, address)) {
    return MakeFailure(EINVAL);
  }
  kj::AutoCloseFd socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (socket.get() < 0) {
    return MakeFailure(errno);
  }
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    return FinishConnecting(aIo, kj::mv(socket));
  }
  if (errno != EINPROGRESS) {
    return MakeFailure(errno);
  }
  auto observer = kj::heap<kj::UnixEventPort::FdObserver>(
    aIo.unixEventPort, socket.get(), kj::UnixEventPort::FdObserver::OBSERVE_WRITE);
  kj::Promise<void> connected = observer->whenBecomesWritable();
  // The observer is destroyed before kj wraps the socket, because kj creates its own observer.
  return connected.attach(kj::mv(observer)).then([&aIo, socket = kj::mv(socket)]() mutable {
    return FinishConnecting(aIo, kj::mv(socket));
  });
}

} // namespace daisydrift
