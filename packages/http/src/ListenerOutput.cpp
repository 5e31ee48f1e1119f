// How a connection answers: the output, its minimum rate, and refusals.

#include "ListenerConnection.h"

#include <asio/post.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>

namespace daisydrift {

namespace {
/// Responses up to this length are contained in kConnectionBytes.
constexpr std::size_t kShortResponseBytes = 512;
/// A client that reads less than kMinBytesPerWindow of a response within kWriteWindow is
/// disconnected. The slowest link, 10 Mbit/s, carries 6 MB in that time.
constexpr std::chrono::seconds kWriteWindow{ 5 };
constexpr std::size_t kMinBytesPerWindow = 16384;
/// How long, and how much, is read from a client after the last response.
constexpr std::chrono::seconds kLingerTime{ 1 };
constexpr std::size_t kMaxLingerBytes = 1024 * 1024;
} // namespace

HttpResponse http::OutOfMemoryResponse()
{
  return { 503,
           { { "Content-Type", "application/json" }, { "Retry-After", "1" } },
           R"({"error":"the instance is short of memory"})" };
}

void HttpListener::Connection::ReportRefusal(const char* aCause) const
{
  if (this->state->protection.onRefusal) {
    std::error_code ignored; // The client may have disconnected.
    auto endpoint = this->socket.remote_endpoint(ignored);
    this->state->protection.onRefusal(
      { aCause, ignored ? "" : endpoint.address().to_string(), this->reservation.Bytes() });
  }
}

void HttpListener::Connection::Refuse(HttpResponse aResponse, const char* aCause)
{
  this->ReportRefusal(aCause);
  this->CancelTimeout();
  this->mustClose = true;
  this->mustLinger = true;
  this->parser.Release();
  std::string().swap(this->pending);
  this->pendingPosition = 0;
  this->Write(std::move(aResponse));
}

void HttpListener::Connection::Write(HttpResponse aResponse)
{
  if (this->phase == Phase::Closed) {
    return;
  }
  this->phase = Phase::Writing;
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
  this->written = 0;
  this->receivedBefore = 0;
  this->hasWriteWindow = false;
  std::size_t bytes = this->output.size() > kShortResponseBytes ? this->output.size() : 0;
  bytes += kConnectionBytes + this->pending.size();
  while (!this->reservation.Resize(bytes)) {
    if (!this->state->MakeRoom(bytes, *this)) {
      this->ReportRefusal("output");
      this->Close();
      return;
    }
  }
  this->WriteSome();
}

/// Writes what the connection takes, and the rest when it takes more.
void HttpListener::Connection::WriteSome()
{
  std::error_code error;
  while (!error && this->written < this->output.size()) {
    this->written += this->socket.write_some(
      asio::buffer(this->output.data() + this->written, this->output.size() - this->written),
      error);
  }
  if (error != asio::error::would_block) {
    // Not called directly: the handler of the request may not have returned yet.
    asio::post(this->socket.get_executor(),
               [self = Ref<Connection>(this), error] { self->OnWritten(error); });
    return;
  }
  if (!this->hasWriteWindow) {
    this->hasWriteWindow = true;
    this->StartTimeout(kWriteWindow);
  }
  this->socket.async_wait(asio::ip::tcp::socket::wait_write,
                          [self = Ref<Connection>(this)](std::error_code aError) {
                            if (self->phase == Phase::Writing && !aError) {
                              self->WriteSome();
                            }
                          });
}

void HttpListener::Connection::CheckWriteRate()
{
  // The system takes up to some megabytes that the client has not received yet.
  int queued = 0;
  ::ioctl(this->socket.native_handle(), SIOCOUTQ, &queued);
  std::size_t received = this->written - std::min(this->written, static_cast<std::size_t>(queued));
  if (received < this->receivedBefore + kMinBytesPerWindow) {
    this->ReportRefusal("slow_reader");
    this->Close();
    return;
  }
  this->receivedBefore = received;
  this->StartTimeout(kWriteWindow);
}

void HttpListener::Connection::OnWritten(std::error_code aError)
{
  if (this->phase != Phase::Writing) {
    return;
  }
  this->EndExchange();
  std::string().swap(this->output);
  if (aError || (this->mustClose && !this->mustLinger)) {
    std::error_code ignored; // The client may have closed first.
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->Close();
    return;
  }
  this->reservation.Resize(kConnectionBytes + this->pending.size());
  if (this->mustLinger) {
    std::error_code ignored; // The client may have closed first.
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->phase = Phase::Lingering;
    this->StartTimeout(kLingerTime);
    this->Discard();
    return;
  }
  this->phase = Phase::Reading;
  this->isHeaderDecided = false;
  this->parser.Reset();
  this->StartTimeout(this->state->limits.idleTimeout);
  if (this->pendingPosition < this->pending.size()) {
    this->ReadRequest();
  } else {
    this->WaitForBytes();
  }
}

/// Reads and drops what the client sends after the last response.
void HttpListener::Connection::Discard()
{
  std::error_code error;
  std::size_t total = 0;
  while (!error && total < http::kMaxBytesPerTurn) {
    total += this->socket.read_some(asio::buffer(this->state->input), error);
  }
  this->discardedBytes += total;
  bool isOpen = !error || error == asio::error::would_block;
  if (isOpen && this->discardedBytes < kMaxLingerBytes) {
    this->WaitForBytes();
  } else {
    this->Close();
  }
}

} // namespace daisydrift
