#pragma once
// HTTP/1.1 server on the event loop.

#include "daisydrift/base.h"
#include "daisydrift/http/EventLoop.h"
#include "daisydrift/http/HttpMessages.h"

#include <functional>

namespace daisydrift {

/// Size, time and connection limits of a server.
struct HttpServerLimits
{
  std::size_t maxHeaderBytes = 16384;
  std::size_t maxBodyBytes = 262144;
  /// Maximum time from the first byte of a request to its last byte.
  Duration requestTimeout = std::chrono::seconds(5);
  /// Maximum time that an open connection may stay without a request.
  Duration idleTimeout = std::chrono::seconds(60);
  std::size_t maxConnections = 2000;
};

/// One request and its response. An exchange that is destroyed without a response is aborted.
class HttpExchange : public RefCounted<HttpExchange>
{
public:
  virtual ~HttpExchange() = default;
  const HttpRequest& Request() const { return this->request; }
  /// Sends the response; later calls are ignored. Until then the connection stays open and no
  /// further request is read from it.
  virtual void Reply(HttpResponse aResponse) = 0;
  /// Closes the connection without a response.
  virtual void Abort() = 0;

protected:
  HttpRequest request;
};

/// HTTP server on one port. Connections are persistent; requests on one connection are handled one
/// after the other.
class HttpListener
{
public:
  using Handler = std::function<void(const Ref<HttpExchange>&)>;

  HttpListener(AsioLoop& aLoop, HttpServerLimits aLimits, Handler aHandler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Starts to listen on aEndpoint. Returns the error of parsing the address, bind or listen.
  std::error_code Open(const SocketEndpoint& aEndpoint);
  /// The port in use; the system chooses one when the endpoint was opened with port 0.
  unsigned short Port() const;
  /// Replaces the limits. Size limits apply to connections accepted from now on; timeouts also
  /// apply to later requests on open connections.
  void SetLimits(const HttpServerLimits& aLimits);
  /// From now on, each connection is closed after the responses to the requests that have arrived.
  void Drain();
  /// Stops accepting connections and closes those on which no byte of a request has arrived.
  void CloseIdle();
  /// Number of requests of which a byte was received and that have no complete response yet.
  std::size_t OpenExchanges() const;

private:
  struct State;
  class Connection;
  std::shared_ptr<State> state;
};

} // namespace daisydrift
