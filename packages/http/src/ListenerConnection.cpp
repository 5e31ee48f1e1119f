#include "ListenerConnection.h"

namespace daisydrift {

using http::MessageParser;
using http::ParseError;

namespace {
/// Bodies up to this length are read before anything is decided, which costs least for ordinary
/// requests.
constexpr std::size_t kShortBodyBytes = 4096;

int HttpStatusFor(ParseError aParseError)
{
  switch (aParseError) {
    case ParseError::HeaderTooLarge:
    case ParseError::TooManyFields:
      return 431;
    case ParseError::BodyTooLarge:
      return 413;
    default:
      return 400;
  }
}

const char* CauseOf(ParseError aParseError)
{
  switch (aParseError) {
    case ParseError::HeaderTooLarge:
      return "header_bytes";
    case ParseError::TooManyFields:
      return "header_fields";
    case ParseError::BodyTooLarge:
      return "body_bytes";
    default:
      return "malformed";
  }
}
} // namespace

class HttpListener::Exchange : public HttpExchange
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
      // Handlers may keep the exchange for longer than its memory is reserved.
      HttpHeaders().swap(this->request.headers);
      std::string().swap(this->request.body);
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

HttpListener::Connection::Connection(std::shared_ptr<State> aState,
                                     asio::ip::tcp::socket aSocket,
                                     std::uint64_t aClient)
  : state(std::move(aState))
  , socket(std::move(aSocket))
  , timer(this->socket.get_executor())
  , parser(MessageParser::Kind::Request,
           this->state->limits.maxHeaderBytes,
           this->state->limits.maxBodyBytes,
           this->state->limits.maxHeaderFields)
  , reservation(this->state->protection.budget)
  , client(aClient)
{
  ++this->state->openConnections;
  this->state->connections.push_back(*this);
}

HttpListener::Connection::~Connection()
{
  this->Close();
}

void HttpListener::Connection::Start()
{
  while (!this->reservation.Resize(kConnectionBytes)) {
    if (!this->state->MakeRoom(kConnectionBytes, *this)) {
      this->ReportRefusal("memory");
      this->Close();
      return;
    }
  }
  http::ConfigureSocket(this->socket);
  this->StartTimeout(this->state->limits.idleTimeout);
  this->WaitForBytes();
}

void HttpListener::Connection::CloseIfIdle()
{
  bool isIdle = this->phase == Phase::Reading && !this->parser.HasStarted();
  if (isIdle || this->phase == Phase::Lingering) {
    this->CancelRead();
  }
}

ConnectionProgress HttpListener::Connection::Progress() const
{
  if (this->phase == Phase::Lingering) {
    return ConnectionProgress::Lingering;
  }
  if (this->phase != Phase::Reading) {
    return ConnectionProgress::Busy;
  }
  if (this->hasServed) {
    return this->IsReceiving() ? ConnectionProgress::Busy : ConnectionProgress::Idle;
  }
  return this->IsReceiving() ? ConnectionProgress::FirstRequest : ConnectionProgress::Silent;
}

bool HttpListener::Connection::IsReceiving() const
{
  return this->phase == Phase::Reading && this->parser.HasStarted();
}

void HttpListener::Connection::BeginExchange()
{
  this->isExchangeOpen = true;
  ++this->state->openExchanges;
}

void HttpListener::Connection::EndExchange()
{
  if (this->isExchangeOpen) {
    this->isExchangeOpen = false;
    --this->state->openExchanges;
  }
}

void HttpListener::Connection::Close()
{
  if (this->phase == Phase::Closed) {
    return;
  }
  this->phase = Phase::Closed;
  this->EndExchange();
  --this->state->openConnections;
  this->unlink();
  std::error_code ignored; // The socket may have failed already.
  this->socket.close(ignored);
  this->CancelTimeout();
  this->parser.Release();
  std::string().swap(this->pending);
  std::string().swap(this->output);
  this->reservation.Resize(0);
}

/// Ends the pending read. Its handler closes the connection if no bytes have arrived.
void HttpListener::Connection::CancelRead()
{
  std::error_code ignored; // The socket may have failed already.
  this->socket.cancel(ignored);
}

/// True when bytes have arrived that no request has consumed yet.
bool HttpListener::Connection::HasUnreadBytes() const
{
  std::error_code ignored; // A failed socket has none.
  return this->pendingPosition < this->pending.size() || this->socket.available(ignored) > 0;
}

void HttpListener::Connection::StartTimeout(Duration aTimeout)
{
  this->isOverdue = false;
  this->timer.expires_after(aTimeout);
  this->timer.async_wait(
    [self = Ref<Connection>(this), number = ++this->timeoutNumber](std::error_code aError) {
      // The action of an earlier timeout may be due already when a new one is started.
      if (!aError && number == self->timeoutNumber) {
        self->OnTimeout();
      }
    });
}

void HttpListener::Connection::CancelTimeout()
{
  ++this->timeoutNumber;
  this->timer.cancel();
}

void HttpListener::Connection::OnTimeout()
{
  switch (this->phase) {
    case Phase::Reading: // Bytes that have arrived while the process was busy are still read.
      this->isOverdue = true;
      this->CancelRead();
      break;
    case Phase::Writing:
      this->CheckWriteRate();
      break;
    case Phase::Lingering:
      this->Close();
      break;
    default:
      break;
  }
}

void HttpListener::Connection::WaitForBytes()
{
  if (this->isWaiting) {
    return;
  }
  this->isWaiting = true;
  this->socket.async_wait(asio::ip::tcp::socket::wait_read,
                          [self = Ref<Connection>(this)](std::error_code aError) {
                            self->isWaiting = false;
                            self->OnReadable(aError);
                          });
}

void HttpListener::Connection::OnReadable(std::error_code aError)
{
  bool isReading = this->phase == Phase::Reading;
  if (!isReading && this->phase != Phase::Lingering) {
    return; // Refused while it waited.
  }
  bool mustRead = aError == asio::error::operation_aborted && isReading && this->HasUnreadBytes();
  if (aError && !mustRead) {
    this->Close();
  } else if (isReading) {
    this->ReadRequest();
  } else {
    this->Discard();
  }
}

/// Reads until the request is complete or no more bytes have arrived.
void HttpListener::Connection::ReadRequest()
{
  if (!this->ParsePending()) {
    return;
  }
  auto& input = this->state->input;
  for (std::size_t total = 0; total < http::kMaxBytesPerTurn;) {
    std::error_code error;
    std::size_t size = this->socket.read_some(asio::buffer(input), error);
    if (error == asio::error::would_block) {
      break;
    }
    if (error) {
      this->Close();
      return;
    }
    total += size;
    std::size_t used = 0;
    if (!this->ParseInput(input.data(), size, used)) {
      return;
    }
  }
  if (this->isOverdue && !this->HasUnreadBytes()) {
    this->Close();
  } else {
    this->WaitForBytes();
  }
}

/// Parses what was read behind the request before. Returns true when the request needs more.
bool HttpListener::Connection::ParsePending()
{
  if (this->pendingPosition == this->pending.size()) {
    return true;
  }
  std::size_t used = 0;
  return this->ParseInput(this->pending.data() + this->pendingPosition,
                          this->pending.size() - this->pendingPosition,
                          used);
}

/// Parses bytes that have arrived; aUsed is set to the number of those that belong to the present
/// request. Returns true when the request needs more.
bool HttpListener::Connection::ParseInput(const char* aData, std::size_t aSize, std::size_t& aUsed)
{
  bool hadStarted = this->parser.HasStarted();
  if (!hadStarted) {
    this->BeginExchange();
  }
  aUsed = this->parser.Consume(aData, aSize);
  if (this->parser.Error() != ParseError::None) {
    this->Refuse({ HttpStatusFor(this->parser.Error()), {}, "" }, CauseOf(this->parser.Error()));
    return false;
  }
  bool isFromPending = this->pendingPosition < this->pending.size();
  if (isFromPending) {
    this->pendingPosition += aUsed;
  } else if (aUsed < aSize) {
    this->pending.assign(aData + aUsed, aSize - aUsed);
  }
  if (this->pendingPosition == this->pending.size() && isFromPending) {
    std::string().swap(this->pending);
    this->pendingPosition = 0;
  }
  if (!this->parser.IsComplete()) {
    if (!hadStarted) {
      this->StartTimeout(this->state->limits.requestTimeout);
    }
    return this->DecideByHeader() && this->Hold(this->parser.HeldBytes());
  }
  if (this->Hold(this->parser.HeldBytes() + this->pending.size())) {
    this->Handle();
  }
  return false;
}

void HttpListener::Connection::Handle()
{
  this->phase = Phase::Handling;
  this->hasServed = true;
  this->CancelTimeout();
  this->mustClose = !this->parser.ShouldKeepAlive();
  Ref<HttpExchange> exchange(new Exchange(Ref<Connection>(this)));
  this->state->handler(exchange);
}

/// Returns false when the request has been answered without its body.
bool HttpListener::Connection::DecideByHeader()
{
  bool isDue = !this->isHeaderDecided && this->parser.IsHeaderComplete() &&
               this->parser.ExpectedBodyBytes() > kShortBodyBytes;
  if (!isDue || !this->state->protection.decideByHeader) {
    return true;
  }
  this->isHeaderDecided = true;
  HttpRequest head{
    this->parser.Method(), std::move(this->parser.target), std::move(this->parser.headers), ""
  };
  HeaderDecision decision = this->state->protection.decideByHeader(head);
  this->parser.target = std::move(head.target);
  this->parser.headers = std::move(head.headers);
  if (decision.response) {
    this->Refuse(std::move(*decision.response), "header");
    return false;
  }
  if (!decision.keepsBody) {
    this->parser.DiscardBody();
  }
  if (!decision.client.empty()) {
    // Differs from each address.
    this->client = std::hash<std::string>()(decision.client) | (std::uint64_t(1) << 63U);
  }
  return true;
}

/// Reserves memory for the request; without it, a larger one is refused, or this one. Returns false
/// in the latter case.
bool HttpListener::Connection::Hold(std::size_t aBytes)
{
  std::size_t wanted = kConnectionBytes + aBytes;
  while (!this->reservation.Resize(wanted)) {
    if (!this->state->MakeRoom(wanted, *this)) {
      this->Refuse(http::OutOfMemoryResponse(), "memory");
      return false;
    }
  }
  return true;
}

} // namespace daisydrift
