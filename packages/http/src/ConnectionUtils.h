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
/// Size of a connection's own buffer, which holds most messages.
inline constexpr std::size_t kReadBufferBytes = 4096;
/// Most bytes that one connection reads in one turn of the event loop, so that it does not delay
/// the others for long.
inline constexpr std::size_t kMaxBytesPerTurn = 1024 * 1024;

/// Sets the options that all sockets of this package have in common.
void ConfigureSocket(asio::ip::tcp::socket& aSocket);

/// Reads bytes that have arrived already; returns their number, or 0 when there are none or the
/// connection has ended, which the next asynchronous read reports.
std::size_t ReadArrived(asio::ip::tcp::socket& aSocket, char* aBuffer, std::size_t aSize);

/// Builds a message from its start line, headers and body; adds a Content-Length header.
std::string SerializeMessage(const std::string& aStartLine,
                             const std::vector<std::pair<std::string, std::string>>& aHeaders,
                             const std::string& aBody);

} // namespace daisydrift::http
