#pragma once
// HTTP server with its thread. Internal to the package.

#include "daisydrift/external.h"

#include <httplib.h>

#include <thread>

namespace daisydrift {

/// Owns a server and the thread that runs it; stops both when destroyed.
class HttpListener
{
public:
  /// aThreads is the size of the thread pool; each open connection occupies one thread.
  explicit HttpListener(std::size_t aThreads);
  ~HttpListener();

  httplib::Server& Server() { return this->server; }
  /// Binds and starts serving; port 0 selects a free port. Returns false when the port can't be
  /// bound.
  bool Start(const Endpoint& aEndpoint);
  /// Stops serving; further calls do nothing.
  void Stop();
  /// The bound address.
  const Endpoint& Address() const { return this->endpoint; }

private:
  httplib::Server server;
  Endpoint endpoint;
  std::thread thread;
};

} // namespace daisydrift
