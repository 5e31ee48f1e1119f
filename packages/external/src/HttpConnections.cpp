#include "HttpConnections.h"

#include <algorithm>
#include <optional>

namespace daisydrift {

namespace {

/// Maximum time to connect. Long enough for one lost SYN, which is retransmitted after 1 s: a burst
/// of connections can overflow the backlog of a listener (5 in cpp-httplib). Below the clock margin
/// of seat checks (2 s).
constexpr std::chrono::milliseconds kMaxConnectTime{ 1500 };
constexpr std::size_t kMaxIdleConnectionsPerEndpoint = 8;
/// Half a megabit a second: a body that takes longer on its link is given up.
constexpr std::uint64_t kSlowestLinkBytesPerSecond = 64'000;

/// Time that a body may take on the slowest link.
std::chrono::milliseconds TransferAllowance(std::uint64_t aBytes)
{
  // No body exceeds some tens of megabytes, so a size claimed beyond it changes nothing.
  constexpr std::uint64_t kMaxBytes = 64'000'000;
  return std::chrono::milliseconds(std::min(aBytes, kMaxBytes) * 1000 / kSlowestLinkBytesPerSecond);
}

std::error_code ErrorFromTransport(httplib::Error aError)
{
  switch (aError) {
    case httplib::Error::Success:
      return {};
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
    case httplib::Error::SSLConnection:
    case httplib::Error::SSLLoadingCerts:
    case httplib::Error::SSLServerVerification:
      return Errc::Unreachable;
    default:
      return Errc::OutcomeUnknown;
  }
}

} // namespace

std::error_code ErrorFromStatus(int aStatus)
{
  if (aStatus >= 200 && aStatus < 300) {
    return {};
  }
  switch (aStatus) {
    case 400:
    case 413:
    case 422:
      return Errc::InvalidArgument;
    case 401:
    case 403:
      return Errc::Unauthenticated;
    case 404:
      return Errc::NotFound;
    case 409:
      return Errc::Conflict;
    case 410:
      return Errc::LeaseExpired;
    case 429:
      return Errc::Overloaded;
    case 503:
      // The platform contract defines 503 as "not executed".
      return Errc::Unreachable;
    default:
      return Errc::OutcomeUnknown;
  }
}

HttpOutcome HttpConnections::Exchange(const Endpoint& aEndpoint,
                                      httplib::Request aRequest,
                                      std::chrono::milliseconds aTimeout,
                                      TransferTime aTransferTime)
{
  std::unique_ptr<httplib::Client> client = this->Acquire(aEndpoint);
  // The caller's checks before the exchange must still hold when the request is written, so the
  // time to connect is short.
  client->set_connection_timeout(std::min(aTimeout, kMaxConnectTime));
  client->set_read_timeout(aTimeout);
  client->set_write_timeout(aTimeout);
  if (aTransferTime == TransferTime::Added) {
    // Once written, a body may still be in the system's buffer, on its way over a slow link.
    client->set_read_timeout(aTimeout + TransferAllowance(aRequest.body.size()));
    // The read timeout limits the silence between two parts; this limits the response as a whole.
    std::optional<std::chrono::steady_clock::time_point> begin;
    aRequest.progress = [begin, aTimeout](std::uint64_t, std::uint64_t aTotal) mutable {
      auto now = std::chrono::steady_clock::now();
      begin = begin.value_or(now);
      return now - *begin <= aTimeout + TransferAllowance(aTotal);
    };
  }
  HttpOutcome outcome;
  httplib::Error transportError = httplib::Error::Success;
  if (!client->send(aRequest, outcome.response, transportError)) {
    outcome.error = ErrorFromTransport(transportError);
    if (!outcome.error) {
      outcome.error = Errc::OutcomeUnknown;
    }
    return outcome;
  }
  this->Release(aEndpoint, std::move(client));
  return outcome;
}

std::unique_ptr<httplib::Client> HttpConnections::Acquire(const Endpoint& aEndpoint)
{
  {
    std::lock_guard lock(this->mutex);
    auto& clients = this->idleClients[aEndpoint];
    if (!clients.empty()) {
      std::unique_ptr<httplib::Client> client = std::move(clients.back());
      clients.pop_back();
      return client;
    }
  }
  auto client = std::make_unique<httplib::Client>(aEndpoint.address, aEndpoint.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_follow_location(false);
  client->set_decompress(false);
  client->set_url_encode(false);
  return client;
}

void HttpConnections::Release(const Endpoint& aEndpoint, std::unique_ptr<httplib::Client> aClient)
{
  std::lock_guard lock(this->mutex);
  auto& clients = this->idleClients[aEndpoint];
  if (clients.size() < kMaxIdleConnectionsPerEndpoint) {
    clients.push_back(std::move(aClient));
  }
}

} // namespace daisydrift
