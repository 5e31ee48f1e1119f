#pragma once
// Asio socket of a RawConnection. Internal to the package.

#include "daisydrift/standins/RawConnection.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace daisydrift {

/// Only blocking calls are made, so the context never runs.
struct RawConnection::Socket
{
  asio::io_context context;
  asio::ip::tcp::socket tcp{ this->context };
};

} // namespace daisydrift
