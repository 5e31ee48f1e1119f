#include "RawSocket.h"

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

namespace daisydrift {

RawConnection::RawConnection(std::unique_ptr<Socket> aSocket)
  : socket(std::move(aSocket))
{
}

RawConnection::~RawConnection()
{
  asio::error_code error;
  if (this->isReset) {
    // With this option an explicit close sends a reset; Asio's destructor would revert the option.
    this->socket->tcp.set_option(asio::socket_base::linger(true, 0), error);
    this->socket->tcp.close(error);
    return;
  }
  this->Close();
}

std::shared_ptr<RawConnection> RawConnection::Connect(const Endpoint& aEndpoint)
{
  auto socket = std::make_unique<Socket>();
  asio::error_code error;
  socket->tcp.connect({ asio::ip::make_address(aEndpoint.address), aEndpoint.port }, error);
  if (error) {
    return nullptr;
  }
  socket->tcp.set_option(asio::ip::tcp::no_delay(true), error);
  return std::make_shared<RawConnection>(std::move(socket));
}

bool RawConnection::Send(std::string_view aBytes)
{
  asio::error_code error;
  asio::write(this->socket->tcp, asio::buffer(aBytes), error);
  return !error;
}

std::string RawConnection::ReceiveSome()
{
  std::string bytes(65536, '\0');
  asio::error_code error;
  bytes.resize(this->socket->tcp.read_some(asio::buffer(bytes), error));
  return bytes;
}

std::string RawConnection::Receive(std::size_t aCount)
{
  std::string bytes(aCount, '\0');
  asio::error_code error;
  bytes.resize(asio::read(this->socket->tcp, asio::buffer(bytes), error));
  return bytes;
}

std::string RawConnection::ReceiveUntil(std::string_view aEnd)
{
  std::string bytes;
  while (!bytes.ends_with(aEnd)) {
    std::string next = this->Receive(1);
    if (next.empty()) {
      break;
    }
    bytes += next;
  }
  return bytes;
}

void RawConnection::AwaitClose()
{
  while (!this->ReceiveSome().empty()) {
  }
}

void RawConnection::EndSending()
{
  if (this->isReset) {
    return;
  }
  asio::error_code error;
  this->socket->tcp.shutdown(asio::ip::tcp::socket::shutdown_send, error);
}

void RawConnection::Close()
{
  // The descriptor stays open until the destructor, because another thread may be using it.
  asio::error_code error;
  this->socket->tcp.shutdown(asio::ip::tcp::socket::shutdown_both, error);
}

void RawConnection::Reset()
{
  // Unblocks a pending receive. The destructor sets the option that makes closing send a reset,
  // because Asio does not allow setting it concurrently with other calls.
  asio::error_code error;
  this->isReset = true;
  this->socket->tcp.shutdown(asio::ip::tcp::socket::shutdown_receive, error);
}

} // namespace daisydrift
