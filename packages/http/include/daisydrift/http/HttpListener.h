#pragma once
// HTTP/1.1 server on the event loop.

#include "daisydrift/base.h"
#include "daisydrift/http/EventLoop.h"
#include "daisydrift/http/HttpMessages.h"
#include "daisydrift/http/MemoryBudget.h"

#include <functional>
#include <optional>

namespace daisydrift {

/// Size, time and connection limits of a server.
struct HttpServerLimits
{
  std::size_t maxHeaderBytes = 16384;
  /// Clients send some ten fields.
  std::size_t maxHeaderFields = 100;
  std::size_t maxBodyBytes = 262144;
  /// Maximum time from the first byte of a request to its last byte.
  Duration requestTimeout = std::chrono::seconds(5);
  /// Maximum time that an open connection may stay without a request.
  Duration idleTimeout = std::chrono::seconds(60);
  std::size_t maxConnections = 2000;
};

/// What is decided about a request before its body has arrived.
struct HeaderDecision
{
  /// The response; the body is then not read, and the connection closed.
  std::optional<HttpResponse> response;
  /// False when the handler does not need the body, which is then not kept.
  bool keepsBody = true;
  /// Who sent the request, such as a team; empty for the client's address. While memory is short,
  /// one client's unfinished requests give way to those of others.
  std::string client;
};

/// A request that the listener refused, or a connection that it closed, by itself.
struct HttpRefusal
{
  /// Short name, one of a fixed set: `memory`, `client_memory`, `output`, `connections`, `header`,
  /// `header_bytes`, `header_fields`, `body_bytes`, `malformed`, `slow_reader`.
  const char* cause = "";
  /// IPv4 address of the client; empty when it has disconnected.
  std::string address;
  /// Bytes that the connection held.
  std::size_t heldBytes = 0;
};

/// Protection of a listener against its clients.
struct HttpProtection
{
  /// Memory of all connections of the listener together; without a budget it is not limited.
  Ref<MemoryBudget> budget;
  /// Called with a request that announces a body which is not short, before it is read.
  std::function<HeaderDecision(const HttpRequest&)> decideByHeader;
  std::function<void(const HttpRefusal&)> onRefusal;
};

/// One request and its response. An exchange that is destroyed without a response is aborted.
class HttpExchange : public RefCounted<HttpExchange>
{
public:
  virtual ~HttpExchange() = default;
  const HttpRequest& Request() const { return this->request; }
  /// Sends the response; later calls are ignored. Until then the connection stays open and no
  /// further request is read from it. Header fields and body of the request are released.
  virtual void Reply(HttpResponse aResponse) = 0;
  /// Closes the connection without a response.
  virtual void Abort() = 0;

protected:
  HttpRequest request;
};

/// HTTP server on one port. Connections are persistent; requests on one connection are handled one
/// after the other. Memory is limited by a budget: when it is used up, the unfinished request that
/// holds most is refused with status 503, the newest one first among equals. A client with many
/// unfinished requests then gives way to others. At the limit of connections, the one with the
/// least progress is closed for a new one.
class HttpListener
{
public:
  using Handler = std::function<void(const Ref<HttpExchange>&)>;

  HttpListener(AsioLoop& aLoop,
               HttpServerLimits aLimits,
               Handler aHandler,
               HttpProtection aProtection = {});
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
  std::size_t OpenConnections() const;
  /// Most bytes that one connection holds.
  std::size_t LargestHolderBytes() const;

private:
  struct State;
  class Connection;
  class Exchange;
  std::shared_ptr<State> state;
};

} // namespace daisydrift
