#include "daisydrift/http/HttpClient.h"

#include "ConnectionUtils.h"
#include "MessageParser.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>

namespace daisydrift {

using http::MessageParser;

namespace {
/// Large enough for responses of the store, which contain up to a megabyte of items in base64.
constexpr std::size_t kMaxResponseBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxResponseHeaderBytes = 16384;
} // namespace

struct HttpClient::PendingRequest
{
  HttpRequest request;
  TimePoint sentAt;
  HttpTimeLimits limits;
  HttpCallback done;
  HttpProgressHook onProgress;
  bool isQueued = true;
};

struct HttpClient::Pool
{
  HttpClient& client;
  SocketEndpoint endpoint;
  std::string hostHeader;
  std::vector<Ref<Connection>> idleConnections;
  std::deque<std::shared_ptr<PendingRequest>> pendingRequests;
  std::size_t openConnections = 0;
};

/// A connection to one endpoint; carries one request at a time.
class HttpClient::Connection
  : public RefCounted<Connection>
  , public IdleHook
{
public:
  Connection(Pool& aPool, AsioLoop& aLoop)
    : loop(aLoop)
    , pool(&aPool)
    , socket(aLoop.Context())
    , timer(aLoop.Context())
    , parser(MessageParser::Kind::Response, kMaxResponseHeaderBytes, kMaxResponseBodyBytes)
  {
  }

  void StartExchange(std::shared_ptr<PendingRequest> aPending)
  {
    this->currentRequest = std::move(aPending);
    this->parser.Reset();
    ++this->exchangeNumber;
    const PendingRequest& pending = *this->currentRequest;
    this->deadline = pending.sentAt + std::min(pending.limits.response, pending.limits.total);
    this->WaitForDeadline();
    if (this->loop.Now() >= this->deadline) {
      return; // The timer ends the exchange; a request is not sent after its time.
    }
    if (this->socket.is_open()) {
      this->Write();
    } else {
      this->Connect();
    }
  }

  void Close()
  {
    std::error_code ignored; // The socket may have failed already.
    this->socket.close(ignored);
    this->timer.cancel();
  }

  /// Closes the connection and disconnects it from the pool, which is being destroyed.
  void Detach()
  {
    this->pool = nullptr;
    this->currentRequest.reset();
    this->Close();
  }

private:
  /// Fails the exchange when its deadline has passed, which each part of the response changes.
  void WaitForDeadline()
  {
    this->timer.expires_after(std::max<Duration>(this->deadline - this->loop.Now(), Duration(0)));
    this->timer.async_wait(
      [self = Ref<Connection>(this), id = this->exchangeNumber](std::error_code aError) {
        if (aError || id != self->exchangeNumber) {
          return;
        }
        if (self->loop.Now() < self->deadline) {
          self->WaitForDeadline();
          return;
        }
        self->hasTimedOut = true;
        self->Fail();
      });
  }

  void Connect()
  {
    std::error_code error;
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(this->pool->endpoint.address, error),
                                     this->pool->endpoint.port);
    if (error) {
      this->Fail();
      return;
    }
    this->socket.async_connect(endpoint, [self = Ref<Connection>(this)](std::error_code aError) {
      if (!self->currentRequest) {
        return;
      }
      // A process that was suspended meanwhile must not send what its caller has given up.
      self->hasTimedOut = self->loop.Now() >= self->deadline;
      if (aError || self->hasTimedOut) {
        self->Fail();
        return;
      }
      http::ConfigureSocket(self->socket);
      self->Write();
      self->Read();
    });
  }

  void Write()
  {
    const HttpRequest& request = this->currentRequest->request;
    HttpHeaders headers = request.headers;
    headers.emplace_back("Host", this->pool->hostHeader);
    this->output = http::SerializeMessage(
      request.method + " " + request.target + " HTTP/1.1", headers, request.body);
    this->wasSent = true;
    asio::async_write(this->socket,
                      asio::buffer(this->output),
                      [self = Ref<Connection>(this),
                       id = this->exchangeNumber](std::error_code aError, std::size_t) {
                        if (aError && id == self->exchangeNumber) {
                          self->Fail();
                        }
                      });
  }

  /// A read is pending from the connect until the socket fails, also while the connection is idle,
  /// so that a close by the server is noticed at once.
  void Read()
  {
    this->socket.async_read_some(
      asio::buffer(this->input),
      [self = Ref<Connection>(this)](std::error_code aError, std::size_t aSize) {
        self->OnRead(aError, aSize);
      });
  }

  /// Returns false when the bytes are malformed or exceed the response, or are not wanted.
  bool Consume(const char* aData, std::size_t aSize)
  {
    const PendingRequest& pending = *this->currentRequest;
    TimePoint formerDeadline = this->deadline;
    this->deadline =
      std::min(this->loop.Now() + pending.limits.silence, pending.sentAt + pending.limits.total);
    if (this->deadline < formerDeadline) {
      this->WaitForDeadline(); // A later deadline is noticed when the timer for this one expires.
    }
    if (pending.onProgress && !pending.onProgress(aSize)) {
      return false;
    }
    std::size_t consumed = this->parser.Consume(aData, aSize);
    return this->parser.Error() == http::ParseError::None && consumed == aSize;
  }

  void OnRead(std::error_code aError, std::size_t aSize)
  {
    if (!this->currentRequest) {
      // The server closed an idle connection or sent data without a request.
      this->isUnusable = true;
      this->Close();
      return;
    }
    if (aError) {
      this->parser.ConsumeEndOfStream();
      this->isUnusable = true;
      if (this->parser.IsComplete()) {
        this->Succeed();
      } else {
        this->Fail();
      }
      return;
    }
    bool isValid = this->Consume(this->input.data(), aSize);
    std::array<char, kArrivedBufferBytes>& arrived = *this->pool->client.arrivedBuffer;
    for (std::size_t total = aSize;
         isValid && !this->parser.IsComplete() && total < http::kMaxBytesPerTurn;) {
      std::size_t size = http::ReadArrived(this->socket, arrived.data(), arrived.size());
      if (size == 0) {
        break;
      }
      isValid = this->Consume(arrived.data(), size);
      total += size;
    }
    if (!isValid) {
      this->Fail();
      return;
    }
    if (!this->parser.IsComplete()) {
      this->Read();
      return;
    }
    if (!this->parser.ShouldKeepAlive()) {
      this->isUnusable = true;
    } else {
      this->Read();
    }
    this->Succeed();
  }

  void Succeed()
  {
    HttpResponse response{ this->parser.Status(),
                           std::move(this->parser.headers),
                           std::move(this->parser.body) };
    this->Finish(Result<HttpResponse>(std::move(response)));
  }

  void Fail()
  {
    this->isUnusable = true;
    Errc unsentError = this->hasTimedOut ? Errc::DeadlineExceeded : Errc::Unreachable;
    this->Finish(Result<HttpResponse>(this->wasSent ? Errc::OutcomeUnknown : unsentError));
  }

  void Finish(const Result<HttpResponse>& aResult)
  {
    if (!this->currentRequest) {
      return;
    }
    Ref<Connection> self(this);
    std::shared_ptr<PendingRequest> finishedRequest = std::move(this->currentRequest);
    this->currentRequest.reset();
    ++this->exchangeNumber;
    this->wasSent = false;
    this->timer.cancel();
    if (this->isUnusable) {
      this->Close();
    }
    // Releases the connection before the callback, so that a request sent by the callback can use
    // it.
    if (this->pool != nullptr) {
      this->pool->client.OnConnectionReleased(*this->pool, self, !this->isUnusable);
    }
    finishedRequest->done(aResult);
  }

public:
  bool IsUnusable() const { return this->isUnusable; }
  Pool& OwnPool() const { return *this->pool; }

private:
  AsioLoop& loop;
  Pool* pool;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  MessageParser parser;
  std::shared_ptr<PendingRequest> currentRequest;
  std::uint64_t exchangeNumber = 0;
  TimePoint deadline;
  std::string output;
  std::array<char, http::kReadBufferBytes> input;
  bool wasSent = false;
  bool hasTimedOut = false;
  bool isUnusable = false;
};

HttpClient::HttpClient(AsioLoop& aLoop, std::size_t aMaxConnections, std::size_t aMaxIdle)
  : loop(aLoop)
  , maxConnections(aMaxConnections)
  , maxIdle(aMaxIdle)
  , arrivedBuffer(std::make_unique<std::array<char, kArrivedBufferBytes>>())
{
}

HttpClient::~HttpClient()
{
  *this->isAlive = false;
  this->idleConnections.clear();
  for (auto& [endpoint, pool] : this->pools) {
    for (const Ref<Connection>& connection : pool->idleConnections) {
      connection->Detach();
    }
  }
}

void HttpClient::Send(const SocketEndpoint& aEndpoint,
                      HttpRequest aRequest,
                      Duration aTimeout,
                      HttpCallback aDone)
{
  this->Send(aEndpoint,
             std::move(aRequest),
             HttpTimeLimits{ aTimeout, aTimeout, aTimeout },
             std::move(aDone));
}

void HttpClient::Send(const SocketEndpoint& aEndpoint,
                      HttpRequest aRequest,
                      const HttpTimeLimits& aLimits,
                      HttpCallback aDone,
                      HttpProgressHook aOnProgress)
{
  auto found = this->pools.find(aEndpoint);
  if (found == this->pools.end()) {
    auto pool = std::make_unique<Pool>(Pool{ *this, aEndpoint });
    pool->hostHeader = aEndpoint.address + ":" + std::to_string(aEndpoint.port);
    found = this->pools.emplace(aEndpoint, std::move(pool)).first;
  }
  Pool& pool = *found->second;
  auto pending = std::make_shared<PendingRequest>(PendingRequest{
    std::move(aRequest), this->loop.Now(), aLimits, std::move(aDone), std::move(aOnProgress) });
  pool.pendingRequests.push_back(pending);
  this->StartPendingRequests(pool);
  if (pending->isQueued) {
    this->loop.After(aLimits.response, [alive = this->isAlive, &pool, pending] {
      if (*alive && pending->isQueued) {
        auto& queue = pool.pendingRequests;
        queue.erase(std::find(queue.begin(), queue.end(), pending));
        pending->isQueued = false;
        pending->done(Errc::DeadlineExceeded);
      }
    });
  }
}

void HttpClient::StartPendingRequests(Pool& aPool)
{
  while (!aPool.pendingRequests.empty()) {
    while (!aPool.idleConnections.empty() && aPool.idleConnections.back()->IsUnusable()) {
      this->RemoveIdle(aPool, aPool.idleConnections.back());
      --aPool.openConnections;
    }
    Ref<Connection> connection;
    if (!aPool.idleConnections.empty()) {
      connection = aPool.idleConnections.back();
      this->RemoveIdle(aPool, connection);
    } else if (aPool.openConnections < this->maxConnections) {
      connection = Ref<Connection>(new Connection(aPool, this->loop));
      ++aPool.openConnections;
    } else {
      return;
    }
    std::shared_ptr<PendingRequest> next = std::move(aPool.pendingRequests.front());
    aPool.pendingRequests.pop_front();
    next->isQueued = false;
    connection->StartExchange(std::move(next));
  }
}

void HttpClient::OnConnectionReleased(Pool& aPool,
                                      const Ref<Connection>& aConnection,
                                      bool aIsReusable)
{
  if (aIsReusable) {
    aPool.idleConnections.push_back(aConnection);
    this->idleConnections.push_back(*aConnection);
  } else {
    --aPool.openConnections;
    // A fault that makes one connection hang or resets it may also affect the idle connections to
    // the same endpoint.
    this->CloseIdleConnections(aPool.endpoint);
  }
  if (!aPool.pendingRequests.empty()) {
    this->StartPendingRequests(aPool);
  }
  this->EvictIdleConnections();
}

void HttpClient::RemoveIdle(Pool& aPool, const Ref<Connection>& aConnection)
{
  Ref<Connection> connection = aConnection; // The pool may hold the last other reference.
  this->idleConnections.erase(this->idleConnections.iterator_to(*connection));
  std::erase(aPool.idleConnections, connection);
}

void HttpClient::EvictIdleConnections()
{
  while (this->idleConnections.size() > this->maxIdle) {
    Ref<Connection> oldest(static_cast<Connection*>(&this->idleConnections.front()));
    Pool& pool = oldest->OwnPool();
    this->RemoveIdle(pool, oldest);
    --pool.openConnections;
    oldest->Close();
    ++this->evictions;
  }
}

void HttpClient::CloseIdleConnections(const SocketEndpoint& aEndpoint)
{
  auto found = this->pools.find(aEndpoint);
  if (found == this->pools.end()) {
    return;
  }
  for (const Ref<Connection>& connection : found->second->idleConnections) {
    this->idleConnections.erase(this->idleConnections.iterator_to(*connection));
    connection->Close();
  }
  found->second->openConnections -= found->second->idleConnections.size();
  found->second->idleConnections.clear();
}

} // namespace daisydrift
