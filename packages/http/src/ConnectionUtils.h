#pragma once
// Socket options and message serialization shared by the HTTP client and server.

#include "daisydrift/base.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <string>

namespace daisydrift::http {

/// TCP_USER_TIMEOUT: the kernel closes a connection when sent data stays unacknowledged for this
/// long.
inline constexpr std::chrono::milliseconds kTcpUserTimeout{ 4000 };
/// Maximum number of bytes of one read from a socket.
inline constexpr std::size_t kReadBufferBytes = 4096;

/// Sets the options that all sockets of this package have in common.
void ConfigureSocket(asio::ip::tcp::socket& aSocket);

/// Builds a message from its start line, headers and body; adds a Content-Length header.
std::string SerializeMessage(const std::string& aStartLine,
                             const std::vector<std::pair<std::string, std::string>>& aHeaders,
                             const std::string& aBody);

} // namespace daisydrift::http
