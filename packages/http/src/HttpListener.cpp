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
  virtual bool IsIdle() const = 0;
  virtual void Close() = 0;
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

  bool IsIdle() const override { return !this->isHandlingRequest && !this->parser.HasStarted(); }

  void Close() override
  {
    std::error_code ignored; // The socket may have failed already.
    this->socket.close(ignored);
    this->timer.cancel();
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
      ++this->connection->state->openExchanges;
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
        --this->connection->state->openExchanges;
        this->connection->Close();
      }
    }

  private:
    Ref<Connection> connection;
    bool isCompleted = false;
  };

  void StartTimeout(Duration aTimeout)
  {
    this->timer.expires_after(aTimeout);
    this->timer.async_wait([self = Ref<Connection>(this)](std::error_code aError) {
      if (!aError && !self->isHandlingRequest) {
        self->Close();
      }
    });
  }

  void Read()
  {
    this->socket.async_read_some(
      asio::buffer(this->input),
      [self = Ref<Connection>(this)](std::error_code aError, std::size_t aSize) {
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
      if (this->inputSize == 0) {
        this->Read();
        return;
      }
    }
  }

  /// Parses the bytes read last. Returns true when the request needs more.
  bool ParseInput()
  {
    bool hadStarted = this->parser.HasStarted();
    this->inputPosition += this->parser.Consume(this->input.data() + this->inputPosition,
                                                this->inputSize - this->inputPosition);
    if (this->parser.Error() != ParseError::None) {
      this->isHandlingRequest = true;
      this->mustClose = true;
      ++this->state->openExchanges;
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
    if (this->state->isDraining) {
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
    --this->state->openExchanges;
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
  MessageParser parser;
  std::array<char, http::kReadBufferBytes> input;
  std::size_t inputSize = 0;
  std::size_t inputPosition = 0;
  std::string output;
  bool isHandlingRequest = false;
  bool mustClose = false;
};

void HttpListener::State::Accept(const std::shared_ptr<State>& aSelf)
{
  this->acceptor.async_accept(
    [this, self = aSelf](std::error_code aError, asio::ip::tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted || !this->acceptor.is_open()) {
        return;
      }
      if (aError) {
        LogLine(LogLevel::Warning, "accept_failed").Add("error", aError);
        this->loop.After(kAcceptRetryDelay, [this, self] { this->Accept(self); });
        return;
      }
      if (this->openConnections < this->limits.maxConnections) {
        Ref<Connection> connection(new Connection(self, std::move(aSocket)));
        connection->Start();
      }
      this->Accept(self);
    });
}

HttpListener::HttpListener(AsioLoop& aLoop, HttpServerLimits aLimits, Handler aHandler)
  : state(std::make_shared<State>(
      State{ aLoop, aLimits, std::move(aHandler), asio::ip::tcp::acceptor(aLoop.Context()) }))
{
}

HttpListener::~HttpListener()
{
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
  std::error_code ignored; // The acceptor may never have been opened.
  this->state->acceptor.close(ignored);
  for (TrackedConnection& connection : this->state->connections) {
    if (connection.IsIdle()) {
      connection.Close(); // Leaves the list in its destructor, after its pending read has failed.
    }
  }
}

std::size_t HttpListener::OpenExchanges() const
{
  return this->state->openExchanges;
}

} // namespace daisydrift
