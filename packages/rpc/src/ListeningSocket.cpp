#include "ListeningSocket.h"

#include "SocketAddress.h"

#include <sys/socket.h>

namespace daisydrift {

namespace {

/// Connections that may wait to be accepted; more than all peers open at once after a restart.
constexpr int kListenBacklog = 128;

std::error_code LastError()
{
  return { errno, std::system_category() };
}

} // namespace

ListeningSocket::ListeningSocket(kj::AutoCloseFd aSocket, Endpoint aAddress)
  : socket(kj::mv(aSocket))
  , address(std::move(aAddress))
{
}

Result<ListeningSocket> ListeningSocket::Open(const Endpoint& aEndpoint)
{
  sockaddr_in address{};
  if (!ToSocketAddress(aEndpoint, address)) {
    return Errc::InvalidArgument;
  }
  kj::AutoCloseFd socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (socket.get() < 0) {
    return LastError();
  }
  int one = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t length = sizeof(address);
  if (::bind(socket, generic, length) != 0 || ::listen(socket, kListenBacklog) != 0 ||
      ::getsockname(socket, generic, &length) != 0) {
    return LastError();
  }
  return ListeningSocket(kj::mv(socket), { aEndpoint.address, ntohs(address.sin_port) });
}

kj::Own<kj::ConnectionReceiver> ListeningSocket::Release(kj::LowLevelAsyncIoProvider& aProvider)
{
  return aProvider.wrapListenSocketFd(kj::mv(this->socket),
                                      kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC |
                                        kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK);
}

} // namespace daisydrift
