#pragma once
// HTTP/1.1 client with a pool of persistent connections for each endpoint.

#include "daisydrift/base.h"
#include "daisydrift/http/EventLoop.h"
#include "daisydrift/http/HttpMessages.h"

#include <boost/intrusive/list.hpp>

#include <array>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>

namespace daisydrift {

/// Receives the result of one request. Errors: Unreachable (the connection was refused or reset
/// before anything was sent), DeadlineExceeded (no connection in time, nothing was sent),
/// OutcomeUnknown (sending began, but no complete response arrived).
using HttpCallback = std::function<void(const Result<HttpResponse>&)>;

/// Called with the number of bytes of each part of a response that arrives. Returns false to give
/// up the response, which then ends with OutcomeUnknown.
using HttpProgressHook = std::function<bool(std::size_t)>;

/// Time limits of a request whose response may be long. The time that a response takes depends on
/// its size and on the link, so only a response that has stopped arriving is given up.
struct HttpTimeLimits
{
  /// From Send until the response begins.
  Duration response;
  /// Between two parts of a response that has begun.
  Duration silence;
  /// From Send until the response is complete.
  Duration total;
};

/// Keeps a pool of connections for each endpoint. A connection carries one request at a time and is
/// reused afterwards; it is closed when a request on it fails. Requests beyond the connection limit
/// of an endpoint are queued first in, first out; the time in the queue counts against their
/// timeout. Callbacks run on the event loop, never within Send.
class HttpClient
{
public:
  /// aMaxConnections is the connection limit for each endpoint. aMaxIdle limits the idle
  /// connections to all endpoints together: beyond it, the one that has been idle longest is
  /// closed, since each takes a descriptor.
  HttpClient(AsioLoop& aLoop,
             std::size_t aMaxConnections,
             std::size_t aMaxIdle = std::numeric_limits<std::size_t>::max());
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends aRequest; aDone is called exactly once, after aTimeout at the latest.
  void Send(const SocketEndpoint& aEndpoint,
            HttpRequest aRequest,
            Duration aTimeout,
            HttpCallback aDone);
  /// As above; aDone is called when the first of the limits has passed, at the latest.
  void Send(const SocketEndpoint& aEndpoint,
            HttpRequest aRequest,
            const HttpTimeLimits& aLimits,
            HttpCallback aDone,
            HttpProgressHook aOnProgress = {});
  /// Closes the idle connections to aEndpoint, for example when it is no longer used.
  void CloseIdleConnections(const SocketEndpoint& aEndpoint);
  std::size_t CountIdleConnections() const { return this->idleConnections.size(); }
  /// Number of connections that were closed because too many were idle.
  std::uint64_t CountEvictions() const { return this->evictions; }

private:
  class Connection;
  /// Place of a connection in the list of those that are idle.
  struct IdleHook : public boost::intrusive::list_base_hook<>
  {};
  struct Pool;
  struct PendingRequest;
  void StartPendingRequests(Pool& aPool);
  void OnConnectionReleased(Pool& aPool, const Ref<Connection>& aConnection, bool aIsReusable);
  /// Takes an idle connection out of its pool.
  void RemoveIdle(Pool& aPool, const Ref<Connection>& aConnection);
  void EvictIdleConnections();

  /// Size of the buffer for long responses, which all connections share.
  static constexpr std::size_t kArrivedBufferBytes = 64 * 1024;

  AsioLoop& loop;
  std::size_t maxConnections;
  std::size_t maxIdle;
  std::uint64_t evictions = 0;
  std::unique_ptr<std::array<char, kArrivedBufferBytes>> arrivedBuffer;
  /// The idle connections of all pools, which own them; the one that has been idle longest is
  /// first.
  boost::intrusive::list<IdleHook> idleConnections;
  std::map<SocketEndpoint, std::unique_ptr<Pool>> pools;
  std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace daisydrift
