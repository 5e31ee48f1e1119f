#include "daisydrift/http/HttpListener.h"

#include "ListenerConnection.h"

#include <algorithm>
#include <unordered_map>

namespace daisydrift {

namespace {
/// Length of the accept queue; larger than the largest burst of reconnecting clients.
constexpr int kListenBacklog = 1024;
/// Delay after a failed accept, for example when file descriptors run out.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };
/// Unfinished requests that a client keeps while memory is short. Callers send one at a time on
/// each of a few connections, and a body of the largest legal size takes 0.2 s at 10 Mbit/s.
constexpr std::size_t kUnfinishedRequestsKept = 8;
} // namespace

void HttpListener::State::Accept(const std::shared_ptr<State>& aSelf)
{
  this->acceptor.async_accept(
    this->peer, [this, self = aSelf](std::error_code aError, asio::ip::tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError && this->acceptor.is_open()) {
        LogLine(LogLevel::Warning, "accept_failed").Add("error", aError);
        this->loop.After(kAcceptRetryDelay, [this, self] { this->Accept(self); });
        return;
      }
      if (!aError) {
        this->StartConnection(self, std::move(aSocket));
      }
      if (this->acceptor.is_open()) {
        this->Accept(self);
      }
    });
}

void HttpListener::State::AcceptWaiting(const std::shared_ptr<State>& aSelf)
{
  std::error_code error;
  this->acceptor.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(this->loop.Context());
    this->acceptor.accept(socket, this->peer, error); // Ends with would_block.
    if (!error) {
      this->StartConnection(aSelf, std::move(socket));
    }
  }
}

void HttpListener::State::StartConnection(const std::shared_ptr<State>& aSelf,
                                          asio::ip::tcp::socket aSocket)
{
  bool hasRoom = this->openConnections < this->limits.maxConnections;
  while (!hasRoom && this->CloseLeastProgress()) {
    hasRoom = this->openConnections < this->limits.maxConnections;
  }
  if (hasRoom) {
    std::uint64_t client = this->peer.address().to_v4().to_uint();
    Ref<Connection> connection(new Connection(aSelf, std::move(aSocket), client));
    connection->Start();
  } else if (this->protection.onRefusal) {
    this->protection.onRefusal({ "connections", "", 0 });
  }
}

bool HttpListener::State::CloseLeastProgress()
{
  Connection* least = nullptr;
  ConnectionProgress leastProgress = ConnectionProgress::Busy;
  for (Connection& connection : this->connections) {
    ConnectionProgress progress = connection.Progress();
    if (progress < leastProgress) {
      least = &connection;
      leastProgress = progress;
    }
  }
  if (least == nullptr) {
    return false;
  }
  least->ReportRefusal("connections");
  least->Close();
  return true;
}

bool HttpListener::State::MakeRoom(std::size_t aBytes, const Connection& aFor)
{
  return this->RefuseLargestAbove(aBytes, aFor) || this->RefuseOfBusiestClient(aFor);
}

bool HttpListener::State::RefuseOfBusiestClient(const Connection& aFor)
{
  std::unordered_map<std::uint64_t, std::size_t> unfinished;
  for (const Connection& connection : this->connections) {
    unfinished[connection.Client()] += connection.IsReceiving() ? 1 : 0;
  }
  // In the order of the connections, since the order of the table is arbitrary.
  std::uint64_t busiest = aFor.Client();
  for (const Connection& connection : this->connections) {
    if (unfinished[connection.Client()] > unfinished[busiest]) {
      busiest = connection.Client();
    }
  }
  if (busiest == aFor.Client() || unfinished[busiest] <= kUnfinishedRequestsKept) {
    return false;
  }
  Connection* largest = nullptr;
  for (Connection& connection : this->connections) {
    bool isCandidate = connection.Client() == busiest && connection.IsReceiving();
    if (isCandidate && (largest == nullptr || connection.HeldBytes() >= largest->HeldBytes())) {
      largest = &connection;
    }
  }
  largest->Refuse(http::OutOfMemoryResponse(), "client_memory");
  return true;
}

bool HttpListener::State::RefuseLargestAbove(std::size_t aBytes, const Connection& aExcept)
{
  Connection* largest = nullptr;
  std::size_t largestBytes = aBytes;
  for (Connection& connection : this->connections) {
    bool isCandidate = &connection != &aExcept && connection.IsReceiving();
    // The last one among equals is the newest.
    if (isCandidate && connection.HeldBytes() > aBytes && connection.HeldBytes() >= largestBytes) {
      largest = &connection;
      largestBytes = connection.HeldBytes();
    }
  }
  if (largest == nullptr) {
    return false;
  }
  largest->Refuse(http::OutOfMemoryResponse(), "memory");
  return true;
}

HttpListener::HttpListener(AsioLoop& aLoop,
                           HttpServerLimits aLimits,
                           Handler aHandler,
                           HttpProtection aProtection)
  : state(std::make_shared<State>(State{ aLoop,
                                         aLimits,
                                         std::move(aHandler),
                                         std::move(aProtection),
                                         asio::ip::tcp::acceptor(aLoop.Context()) }))
{
}

HttpListener::~HttpListener()
{
  std::error_code ignored; // The acceptor may never have been opened.
  this->state->acceptor.close(ignored);
  this->CloseIdle();
}

std::error_code HttpListener::Open(const SocketEndpoint& aEndpoint)
{
  std::error_code error;
  asio::ip::tcp::acceptor& acceptor = this->state->acceptor;
  asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(aEndpoint.address, error),
                                   aEndpoint.port);
  if (!error) {
    acceptor.open(asio::ip::tcp::v4(), error);
  }
  if (!error) {
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(kListenBacklog, error);
  }
  if (!error) {
    this->state->Accept(this->state);
  }
  return error;
}

unsigned short HttpListener::Port() const
{
  return this->state->acceptor.local_endpoint().port();
}

void HttpListener::SetLimits(const HttpServerLimits& aLimits)
{
  this->state->limits = aLimits;
}

void HttpListener::Drain()
{
  this->state->isDraining = true;
}

void HttpListener::CloseIdle()
{
  if (this->state->acceptor.is_open()) {
    this->state->AcceptWaiting(this->state);
    std::error_code ignored; // The port is released all the same.
    this->state->acceptor.close(ignored);
  }
  for (Connection& connection : this->state->connections) {
    connection.CloseIfIdle(); // Leaves the list in its destructor.
  }
}

std::size_t HttpListener::OpenExchanges() const
{
  return this->state->openExchanges;
}

std::size_t HttpListener::OpenConnections() const
{
  return this->state->openConnections;
}

std::size_t HttpListener::LargestHolderBytes() const
{
  std::size_t largest = 0;
  for (const Connection& connection : this->state->connections) {
    largest = std::max(largest, connection.HeldBytes());
  }
  return largest;
}

} // namespace daisydrift
