#include "HttpServer.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace daisydrift {

struct HttpServer::Runner
{
  std::thread thread;
  std::function<bool()> raiseBacklog;
};

namespace {

/// Backlog of the listening socket: connections that wait to be accepted. Debian's cpp-httplib uses
/// 5. The SYN packets of a larger burst are dropped, and those callers retransmit after 1 s.
constexpr int kListenBacklog = 512;

/// A server that can increase the backlog of its listening socket.
template<typename Base>
class BacklogServer : public Base
{
public:
  using Base::Base;
  /// Must be called after the port was bound. Calling listen() again changes only the backlog.
  bool RaiseBacklog() { return ::listen(this->svr_sock_, kListenBacklog) == 0; }
};

std::size_t HeaderBytes(const httplib::Request& aRequest)
{
  std::size_t bytes = aRequest.target.size();
  for (const auto& [name, value] : aRequest.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

} // namespace

HttpServer::HttpServer(HttpLimits aLimits, const TlsFiles& aTls)
  : runner(std::make_unique<Runner>())
  , isTls(aTls.IsSet())
{
  if (this->isTls) {
    auto server = std::make_unique<BacklogServer<httplib::SSLServer>>(aTls.certificate.c_str(),
                                                                      aTls.key.c_str());
    this->runner->raiseBacklog = [raw = server.get()] { return raw->RaiseBacklog(); };
    this->server = std::move(server);
  } else {
    auto server = std::make_unique<BacklogServer<httplib::Server>>();
    this->runner->raiseBacklog = [raw = server.get()] { return raw->RaiseBacklog(); };
    this->server = std::move(server);
  }
  this->server->new_task_queue = [threads = aLimits.threads] {
    return new httplib::ThreadPool(threads);
  };
  this->server->set_payload_max_length(aLimits.maxBodyBytes);
  this->server->set_pre_routing_handler(
    [limit = aLimits.maxHeaderBytes](const httplib::Request& aRequest,
                                     httplib::Response& aResponse) {
      if (HeaderBytes(aRequest) <= limit) {
        return httplib::Server::HandlerResponse::Unhandled;
      }
      SendProblem({ 431,
                    "header_too_large",
                    "the request header exceeds the limit of this port",
                    "not_run",
                    {},
                    {} },
                  aResponse);
      return httplib::Server::HandlerResponse::Handled;
    });
  this->server->set_read_timeout(aLimits.readTimeout);
  this->server->set_write_timeout(aLimits.writeTimeout);
  this->server->set_keep_alive_timeout(aLimits.keepAlive.count());
  this->server->set_keep_alive_max_count(100'000);
  this->server->set_tcp_nodelay(true);
  this->server->set_error_handler([](const httplib::Request&, httplib::Response& aResponse) {
    // An upstream's response is returned unchanged, even if its body is empty.
    if (aResponse.body.empty() && !aResponse.has_header("Daisydrift-Outcome")) {
      Problem problem;
      problem.status = aResponse.status;
      problem.code = aResponse.status == 413   ? "body_too_large"
                     : aResponse.status == 404 ? "unknown_path"
                                               : "bad_request";
      problem.detail = "the request can't be served";
      SendProblem(problem, aResponse);
    }
  });
}

HttpServer::~HttpServer()
{
  this->Stop();
}

bool HttpServer::IsValid() const
{
  return this->server->is_valid();
}

bool HttpServer::Start(const Endpoint& aEndpoint)
{
  this->endpoint = aEndpoint;
  if (aEndpoint.port == 0) {
    int port = this->server->bind_to_any_port(aEndpoint.address.c_str());
    if (port <= 0) {
      return false;
    }
    this->endpoint.port = static_cast<std::uint16_t>(port);
  } else if (!this->server->bind_to_port(aEndpoint.address.c_str(), aEndpoint.port)) {
    return false;
  }
  if (!this->runner->raiseBacklog()) {
    return false;
  }
  this->runner->thread = std::thread([this] { this->server->listen_after_bind(); });
  while (!this->server->is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

void HttpServer::Stop()
{
  this->server->stop();
  if (this->runner->thread.joinable()) {
    this->runner->thread.join();
  }
}

bool HttpServer::ReloadCertificate(const TlsFiles& aTls)
{
  if (!this->isTls) {
    return false;
  }
  SSL_CTX* context = static_cast<httplib::SSLServer&>(*this->server).ssl_context();
  return SSL_CTX_use_certificate_chain_file(context, aTls.certificate.c_str()) == 1 &&
         SSL_CTX_use_PrivateKey_file(context, aTls.key.c_str(), SSL_FILETYPE_PEM) == 1;
}

std::string EncodeProblem(const Problem& aProblem)
{
  nlohmann::json json = { { "type", "about:blank" },     { "title", aProblem.code },
                          { "status", aProblem.status }, { "code", aProblem.code },
                          { "detail", aProblem.detail }, { "outcome", aProblem.outcome } };
  if (!aProblem.findings.Empty()) {
    json["findings"] = nlohmann::json::array();
    for (const Finding& finding : aProblem.findings.Items()) {
      json["findings"].push_back({ { "source", finding.place.source },
                                   { "line", finding.place.line },
                                   { "column", finding.place.column },
                                   { "code", finding.code },
                                   { "message", finding.message } });
    }
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void SendProblem(const Problem& aProblem, httplib::Response& aResponse)
{
  aResponse.status = aProblem.status;
  if (aProblem.retryAfter > std::chrono::seconds::zero()) {
    aResponse.set_header("Retry-After", std::to_string(aProblem.retryAfter.count()));
  }
  aResponse.set_content(EncodeProblem(aProblem), "application/problem+json");
}

} // namespace daisydrift
