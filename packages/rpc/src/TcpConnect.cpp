#include "TcpConnect.h"

#include "SocketAddress.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstring>

namespace daisydrift {

namespace {

/// A connection to a free local port can be connected to itself by TCP's simultaneous open: nobody
/// listens there.
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

ConnectOutcome Fail(int aError)
{
  return ConnectOutcome{ std::error_code(aError, std::system_category()), {} };
}

ConnectOutcome Finish(kj::AsyncIoContext& aIo, kj::AutoCloseFd aSocket)
{
  int error = 0;
  socklen_t length = sizeof(error);
  ::getsockopt(aSocket, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error != 0) {
    return Fail(error);
  }
  if (IsSelfConnected(aSocket)) {
    return Fail(ECONNREFUSED);
  }
  int one = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return ConnectOutcome{ {},
                         aIo.lowLevelProvider->wrapSocketFd(
                           kj::mv(aSocket),
                           kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                             kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK) };
}

} // namespace

kj::Promise<ConnectOutcome> TcpConnect(kj::AsyncIoContext& aIo, const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  if (!ToSocketAddress(aEndpoint, address)) {
    return Fail(EINVAL);
  }
  kj::AutoCloseFd socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (socket.get() < 0) {
    return Fail(errno);
  }
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) {
    return Finish(aIo, kj::mv(socket));
  }
  if (errno != EINPROGRESS) {
    return Fail(errno);
  }
  auto observer = kj::heap<kj::UnixEventPort::FdObserver>(
    aIo.unixEventPort, socket.get(), kj::UnixEventPort::FdObserver::OBSERVE_WRITE);
  kj::Promise<void> connected = observer->whenBecomesWritable();
  // The observer ends before the socket is handed on, because kj makes one of its own.
  return connected.attach(kj::mv(observer)).then([&aIo, socket = kj::mv(socket)]() mutable {
    return Finish(aIo, kj::mv(socket));
  });
}

} // namespace daisydrift
