#pragma once
// A connection of the listener, and the state that all connections share.

#include "daisydrift/http/HttpListener.h"

#include "ConnectionUtils.h"
#include "MessageParser.h"

#include <asio/steady_timer.hpp>

#include <boost/intrusive/list.hpp>

namespace daisydrift {

namespace http {
/// Refusal of a request for which there is no memory; it was not run.
HttpResponse OutOfMemoryResponse();
} // namespace http

/// Memory of a connection without a request, with what Asio and the system's allocator add.
inline constexpr std::size_t kConnectionBytes = 2048;

/// Order in which connections are closed for new ones.
enum class ConnectionProgress
{
  /// The last response is sent, and what the client sends on is dropped.
  Lingering,
  /// No byte has arrived.
  Silent,
  /// Its first request is incomplete.
  FirstRequest,
  /// Idle after a request.
  Idle,
  /// Must not be closed.
  Busy
};

/// Reads requests from one socket and writes their responses, one after the other.
class HttpListener::Connection
  : public RefCounted<Connection>
  , public boost::intrusive::list_base_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
  /// aClient identifies the client's address.
  Connection(std::shared_ptr<State> aState, asio::ip::tcp::socket aSocket, std::uint64_t aClient);
  ~Connection();

  /// Closes the connection at once if there is no memory for it.
  void Start();
  /// Closes the connection unless a byte of a request has arrived.
  void CloseIfIdle();
  /// Closes the connection with what it holds.
  void Close();
  ConnectionProgress Progress() const;
  /// Identifies who sends the present request.
  std::uint64_t Client() const { return this->client; }
  std::size_t HeldBytes() const { return this->reservation.Bytes(); }
  /// True while a request is arriving.
  bool IsReceiving() const;
  /// Answers with aResponse, a refusal, without reading the request to its end, and closes the
  /// connection. aCause is one of HttpRefusal.
  void Refuse(HttpResponse aResponse, const char* aCause);
  void ReportRefusal(const char* aCause) const;

private:
  friend class HttpListener::Exchange;
  enum class Phase
  {
    Reading,
    Handling,
    Writing,
    Lingering,
    Closed
  };

  /// An exchange lasts from the first byte of a request until its answer is sent.
  void BeginExchange();
  void EndExchange();
  void CancelRead();
  bool HasUnreadBytes() const;
  void StartTimeout(Duration aTimeout);
  void CancelTimeout();
  void OnTimeout();
  void WaitForBytes();
  void OnReadable(std::error_code aError);
  void ReadRequest();
  bool ParsePending();
  bool ParseInput(const char* aData, std::size_t aSize, std::size_t& aUsed);
  bool DecideByHeader();
  bool Hold(std::size_t aBytes);
  void Handle();
  void Write(HttpResponse aResponse);
  void WriteSome();
  void OnWritten(std::error_code aError);
  void CheckWriteRate();
  void Discard();

  std::shared_ptr<State> state;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  http::MessageParser parser;
  MemoryBudget::Reservation reservation;
  /// Bytes that were read behind the present request, from pendingPosition on.
  std::string pending;
  std::string output;
  std::size_t pendingPosition = 0;
  std::size_t written = 0;
  /// Bytes that the client had received when the present window of the minimum rate began.
  std::size_t receivedBefore = 0;
  std::size_t discardedBytes = 0;
  std::uint64_t timeoutNumber = 0;
  std::uint64_t client;
  Phase phase = Phase::Reading;
  bool mustClose = false;
  /// What the client sends on is read before the connection is closed, since unread bytes would
  /// reset it and may cost the client the response.
  bool mustLinger = false;
  bool isExchangeOpen = false;
  bool isHeaderDecided = false;
  /// The minimum rate applies to the present response, since it was not written at once.
  bool hasWriteWindow = false;
  bool hasServed = false;
  /// A wait for bytes is outstanding.
  bool isWaiting = false;
  /// The timeout has passed; the bytes that have arrived are the last that are read.
  bool isOverdue = false;
};

/// State shared by the listener and its connections, which may outlive the listener.
struct HttpListener::State
{
  AsioLoop& loop;
  HttpServerLimits limits;
  Handler handler;
  HttpProtection protection;
  asio::ip::tcp::acceptor acceptor;
  /// Address of the connection that was accepted last.
  asio::ip::tcp::endpoint peer;
  /// In the order in which they were accepted.
  boost::intrusive::list<Connection, boost::intrusive::constant_time_size<false>> connections;
  std::size_t openConnections = 0;
  std::size_t openExchanges = 0;
  bool isDraining = false;
  /// Bytes that arrive are read here first, so that a connection without a request needs no buffer.
  std::array<char, http::kReadBufferBytes> input;

  void Accept(const std::shared_ptr<State>& aSelf);
  /// Accepts the connections that wait in the accept queue; a close of the port would reset them.
  void AcceptWaiting(const std::shared_ptr<State>& aSelf);
  void StartConnection(const std::shared_ptr<State>& aSelf, asio::ip::tcp::socket aSocket);
  /// Closes the connection with the least progress. Returns false when none may be closed.
  bool CloseLeastProgress();
  /// Refuses an unfinished request so that aFor may hold aBytes. Returns false when there is none
  /// that has to give way.
  bool MakeRoom(std::size_t aBytes, const Connection& aFor);
  /// Refuses the largest unfinished request of the client that has most of them, if that is not the
  /// client of aFor and they are more than a client may keep.
  bool RefuseOfBusiestClient(const Connection& aFor);
  /// Refuses the unfinished request that holds most, if that is more than aBytes. Returns false
  /// when there is none.
  bool RefuseLargestAbove(std::size_t aBytes, const Connection& aExcept);
};

} // namespace daisydrift
