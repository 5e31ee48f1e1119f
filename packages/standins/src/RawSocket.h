#pragma once
// Asio socket of a RawConnection. Internal to the package.

#include "daisydrift/standins/RawConnection.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace daisydrift {

/// All calls are blocking, so the context is never run.
struct RawConnection::Socket
{
  asio::io_context context;
  asio::ip::tcp::socket tcp{ this->context };
};

} // namespace daisydrift
