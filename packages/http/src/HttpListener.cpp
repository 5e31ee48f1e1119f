#include "daisydrift/http/HttpListener.h"

#include "ConnectionUtils.h"
#include "MessageParser.h"

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <boost/intrusive/list.hpp>

namespace daisydrift {

using http::MessageParser;
using http::ParseError;

namespace {

/// Length of the accept queue; larger than the largest burst of reconnecting clients.
constexpr int kListenBacklog = 1024;
/// Delay after a failed accept, for example when file descriptors run out.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 100 };

int HttpStatusFor(ParseError aParseError)
{
  switch (aParseError) {
    case ParseError::HeaderTooLarge:
      return 431;
    case ParseError::BodyTooLarge:
      return 413;
    default:
      return 400;
  }
}

using ConnectionHook =
  boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// Interface through which the listener keeps track of its connections.
class TrackedConnection : public ConnectionHook
{
public:
  virtual ~TrackedConnection() = default;
  /// Closes the connection unless a byte of a request has arrived.
  virtual void CloseIfIdle() = 0;
};

} // namespace

/// State shared by the listener and its connections, which may outlive the listener.
struct HttpListener::State
{
  AsioLoop& loop;
  HttpServerLimits limits;
  Handler handler;
  asio::ip::tcp::acceptor acceptor;
  boost::intrusive::list<TrackedConnection, boost::intrusive::constant_time_size<false>>
    connections;
  std::size_t openConnections = 0;
  std::size_t openExchanges = 0;
  bool isDraining = false;

  void Accept(const std::shared_ptr<State>& aSelf);
  /// Accepts the connections that wait in the accept queue; a close of the port would reset them.
  void AcceptWaiting(const std::shared_ptr<State>& aSelf);
  void StartConnection(const std::shared_ptr<State>& aSelf, asio::ip::tcp::socket aSocket);
};

class HttpListener::Connection
  : public RefCounted<Connection>
  , public TrackedConnection
{
public:
  Connection(std::shared_ptr<State> aState, asio::ip::tcp::socket aSocket)
    : state(std::move(aState))
    , socket(std::move(aSocket))
    , timer(this->socket.get_executor())
    , parser(MessageParser::Kind::Request,
             this->state->limits.maxHeaderBytes,
             this->state->limits.maxBodyBytes)
  {
    ++this->state->openConnections;
    this->state->connections.push_back(*this);
  }
  ~Connection() override { --this->state->openConnections; }

  void Start()
  {
    http::ConfigureSocket(this->socket);
    this->StartTimeout(this->state->limits.idleTimeout);
    this->Read();
  }

  void CloseIfIdle() override
  {
    if (!this->isHandlingRequest && !this->parser.HasStarted()) {
      this->CancelRead();
    }
  }

private:
  class Exchange : public HttpExchange
  {
  public:
    explicit Exchange(Ref<Connection> aConnection)
      : connection(std::move(aConnection))
    {
      MessageParser& parser = this->connection->parser;
      this->request = {
        parser.Method(), std::move(parser.target), std::move(parser.headers), std::move(parser.body)
      };
    }
    ~Exchange() override
    {
      if (!this->isCompleted) {
        this->Abort();
      }
    }
    void Reply(HttpResponse aResponse) override
    {
      if (!this->isCompleted) {
        this->isCompleted = true;
        this->connection->Write(std::move(aResponse));
      }
    }
    void Abort() override
    {
      if (!this->isCompleted) {
        this->isCompleted = true;
        this->connection->Close();
      }
    }

  private:
    Ref<Connection> connection;
    bool isCompleted = false;
  };

  /// An exchange lasts from the first byte of a request until its answer is sent.
  void BeginExchange()
  {
    this->isExchangeOpen = true;
    ++this->state->openExchanges;
  }

  void EndExchange()
  {
    if (this->isExchangeOpen) {
      this->isExchangeOpen = false;
      --this->state->openExchanges;
    }
  }

  void Close()
  {
    this->EndExchange();
    std::error_code ignored; // The socket may have failed already.
    this->socket.close(ignored);
    this->timer.cancel();
  }

  /// Ends the pending read. Its handler closes the connection if no bytes have arrived.
  void CancelRead()
  {
    std::error_code ignored; // The socket may have failed already.
    this->socket.cancel(ignored);
  }

  /// True when bytes have arrived that no request has consumed yet.
  bool HasUnreadBytes() const
  {
    std::error_code ignored; // A failed socket has none.
    return this->inputPosition < this->inputSize || this->socket.available(ignored) > 0;
  }

  void StartTimeout(Duration aTimeout)
  {
    this->isOverdue = false;
    this->timer.expires_after(aTimeout);
    this->timer.async_wait(
      [self = Ref<Connection>(this), number = ++this->timeoutNumber](std::error_code aError) {
        // The action of an earlier timeout may be due already when a new one is started.
        if (!aError && number == self->timeoutNumber && !self->isHandlingRequest) {
          self->OnTimeout();
        }
      });
  }

  /// Bytes that have arrived while the process was busy are still read.
  void OnTimeout()
  {
    this->isOverdue = true;
    this->CancelRead();
  }

  void Read()
  {
    this->socket.async_read_some(
      asio::buffer(this->input),
      [self = Ref<Connection>(this)](std::error_code aError, std::size_t aSize) {
        if (aError == asio::error::operation_aborted && self->HasUnreadBytes()) {
          self->Read();
          return;
        }
        if (aError) {
          self->Close();
          return;
        }
        self->inputSize = aSize;
        self->inputPosition = 0;
        self->Parse();
      });
  }

  void Parse()
  {
    for (std::size_t total = this->inputSize;; total += this->inputSize) {
      if (!this->ParseInput()) {
        return;
      }
      this->inputPosition = 0;
      this->inputSize = total < http::kMaxBytesPerTurn
                          ? http::ReadArrived(this->socket, this->input.data(), this->input.size())
                          : 0;
      if (this->inputSize > 0) {
        continue;
      }
      if (this->isOverdue && !this->HasUnreadBytes()) {
        this->Close();
      } else {
        this->Read();
      }
      return;
    }
  }

  /// Parses the bytes read last. Returns true when the request needs more.
  bool ParseInput()
  {
    bool hadStarted = this->parser.HasStarted();
    if (!hadStarted) {
      this->BeginExchange();
    }
    this->inputPosition += this->parser.Consume(this->input.data() + this->inputPosition,
                                                this->inputSize - this->inputPosition);
    if (this->parser.Error() != ParseError::None) {
      this->isHandlingRequest = true;
      this->mustClose = true;
      this->Write({ HttpStatusFor(this->parser.Error()), {}, "" });
      return false;
    }
    if (this->parser.IsComplete()) {
      this->isHandlingRequest = true;
      this->timer.cancel();
      this->mustClose = !this->parser.ShouldKeepAlive();
      Ref<HttpExchange> exchange(new Exchange(Ref<Connection>(this)));
      this->state->handler(exchange);
      return false;
    }
    if (!hadStarted && this->parser.HasStarted()) {
      this->StartTimeout(this->state->limits.requestTimeout);
    }
    return true;
  }

  void Write(HttpResponse aResponse)
  {
    // Requests that have arrived behind this one are answered first.
    if (this->state->isDraining && !this->HasUnreadBytes()) {
      this->mustClose = true;
    }
    if (this->mustClose) {
      aResponse.headers.emplace_back("Connection", "close");
    }
    this->output =
      http::SerializeMessage("HTTP/1.1 " + std::to_string(aResponse.status) + " " +
                               http_status_str(static_cast<http_status>(aResponse.status)),
                             aResponse.headers,
                             aResponse.body);
    asio::async_write(this->socket,
                      asio::buffer(this->output),
                      [self = Ref<Connection>(this)](std::error_code aError, std::size_t) {
                        self->OnWritten(aError);
                      });
  }

  void OnWritten(std::error_code aError)
  {
    this->EndExchange();
    this->isHandlingRequest = false;
    this->output.clear();
    if (aError || this->mustClose) {
      std::error_code ignored; // The client may have closed first.
      this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      this->Close();
      return;
    }
    this->parser.Reset();
    this->StartTimeout(this->state->limits.idleTimeout);
    if (this->inputPosition < this->inputSize) {
      this->Parse();
    } else {
      this->Read();
    }
  }

  std::shared_ptr<State> state;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::uint64_t timeoutNumber = 0;
  MessageParser parser;
  std::array<char, http::kReadBufferBytes> input;
  std::size_t inputSize = 0;
  std::size_t inputPosition = 0;
  std::string output;
  bool isHandlingRequest = false;
  bool mustClose = false;
  bool isExchangeOpen = false;
  /// The timeout has passed; the bytes that have arrived are the last that are read.
  bool isOverdue = false;
};

void HttpListener::State::Accept(const std::shared_ptr<State>& aSelf)
{
  this->acceptor.async_accept(
    [this, self = aSelf](std::error_code aError, asio::ip::tcp::socket aSocket) {
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
    this->acceptor.accept(socket, error); // Ends with would_block.
    if (!error) {
      this->StartConnection(aSelf, std::move(socket));
    }
  }
}

void HttpListener::State::StartConnection(const std::shared_ptr<State>& aSelf,
                                          asio::ip::tcp::socket aSocket)
{
  if (this->openConnections < this->limits.maxConnections) {
    Ref<Connection> connection(new Connection(aSelf, std::move(aSocket)));
    connection->Start();
  }
}

HttpListener::HttpListener(AsioLoop& aLoop, HttpServerLimits aLimits, Handler aHandler)
  : state(std::make_shared<State>(
      State{ aLoop, aLimits, std::move(aHandler), asio::ip::tcp::acceptor(aLoop.Context()) }))
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
  for (TrackedConnection& connection : this->state->connections) {
    connection.CloseIfIdle(); // Leaves the list in its destructor.
  }
}

std::size_t HttpListener::OpenExchanges() const
{
  return this->state->openExchanges;
}

} // namespace daisydrift
