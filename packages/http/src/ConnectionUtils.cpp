#include "ConnectionUtils.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace daisydrift::http {

void ConfigureSocket(asio::ip::tcp::socket& aSocket)
{
  std::error_code ignored; // These options only improve latency and detection of failed peers.
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  aSocket.non_blocking(true, ignored);
  auto timeout = static_cast<unsigned>(kTcpUserTimeout.count());
  setsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

std::size_t ReadArrived(asio::ip::tcp::socket& aSocket, char* aBuffer, std::size_t aSize)
{
  if (!aSocket.non_blocking()) {
    return 0;
  }
  std::error_code error;
  std::size_t size = aSocket.read_some(asio::buffer(aBuffer, aSize), error);
  return error ? 0 : size;
}

std::string SerializeMessage(const std::string& aStartLine,
                             const std::vector<std::pair<std::string, std::string>>& aHeaders,
                             const std::string& aBody)
{
  std::string text;
  text.reserve(aStartLine.size() + aBody.size() + 160);
  text += aStartLine;
  text += "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  text += "Content-Length: ";
  text += std::to_string(aBody.size());
  text += "\r\n\r\n";
  text += aBody;
  return text;
}

} // namespace daisydrift::http
