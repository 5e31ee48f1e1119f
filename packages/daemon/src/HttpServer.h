#pragma once
// HTTP server with limits and a graceful stop, and problem details in responses.

#include "daisydrift/external.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace daisydrift {

/// Limits of one port. A request that exceeds a limit gets status 413, 414 or 431, or its
/// connection is closed.
struct HttpLimits
{
  /// Size of a request's body, bytes.
  std::size_t maxBodyBytes = 1024 * 1024;
  /// Total size of a request's target and of all names and values of its header, bytes.
  std::size_t maxHeaderBytes = 16 * 1024;
  /// Number of threads. Each open connection occupies one, also while it is idle.
  std::size_t threads = 64;
  /// A client that sends nothing for this long in the middle of a request is disconnected.
  std::chrono::milliseconds readTimeout{ 10'000 };
  std::chrono::milliseconds writeTimeout{ 10'000 };
  /// Time after which an idle connection is closed.
  std::chrono::seconds keepAlive{ 5 };
};

/// Files for TLS. Without a certificate the port serves plain HTTP.
struct TlsFiles
{
  std::string certificate;
  std::string key;
  bool IsSet() const { return !this->certificate.empty(); }
};

/// Owns an httplib server and its threads. Handlers must be registered on Server() before Start.
class HttpServer
{
public:
  HttpServer(HttpLimits aLimits, const TlsFiles& aTls);
  ~HttpServer();

  httplib::Server& Server() { return *this->server; }
  /// Returns false when the certificate or its key can't be used.
  bool IsValid() const;
  /// Binds the port and serves on threads of its own; port 0 selects a free port. Returns false
  /// when the port can't be bound.
  bool Start(const Endpoint& aEndpoint);
  /// Stops accepting connections and blocks until the requests in progress are complete.
  void Stop();
  /// Reloads the certificate and its key for new connections. Returns false without TLS, or when a
  /// file can't be loaded. If the certificate file can't be read, the old pair stays in use.
  bool ReloadCertificate(const TlsFiles& aTls);
  /// The address and port that are bound.
  const Endpoint& Address() const { return this->endpoint; }

private:
  struct Runner;

  std::unique_ptr<httplib::Server> server;
  std::unique_ptr<Runner> runner;
  Endpoint endpoint;
  bool isTls = false;
};

/// Problem details (RFC 9457) with extension members.
struct Problem
{
  int status = 500;
  /// Machine-readable code, such as "unknown_key".
  std::string code;
  /// Description for people.
  std::string detail;
  /// Whether the request was executed: "not_run", "ran" or "unknown".
  std::string outcome = "not_run";
  /// Value of the Retry-After header; zero: no header.
  std::chrono::seconds retryAfter{ 0 };
  Findings findings;
};

/// Returns a problem as JSON text.
std::string EncodeProblem(const Problem& aProblem);
/// Sends a problem as the response to a request.
void SendProblem(const Problem& aProblem, httplib::Response& aResponse);

} // namespace daisydrift
