#include "MessageParser.h"

#include <algorithm>
#include <climits>

namespace daisydrift::http {

namespace {
/// Memory of a header field beside its bytes: two strings, in a list that grows by doubling.
constexpr std::size_t kFieldBytes = 2 * sizeof(HttpHeaders::value_type);
} // namespace

MessageParser::MessageParser(Kind aKind,
                             std::size_t aMaxHeaderBytes,
                             std::size_t aMaxBodyBytes,
                             std::size_t aMaxFields)
  : kind(aKind)
  , maxHeaderBytes(aMaxHeaderBytes)
  , maxBodyBytes(aMaxBodyBytes)
  , maxFields(aMaxFields)
{
  this->Reset();
}

void MessageParser::Reset()
{
  http_parser_init(&this->parser, this->kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  this->parser.data = this;
  this->target.clear();
  this->headers.clear();
  this->body.clear();
  this->headerBytes = 0;
  this->bodyBytes = 0;
  this->expectedBodyBytes = this->maxBodyBytes;
  this->isHeaderComplete = false;
  this->keepsBody = true;
  this->isInHeaderValue = false;
  this->hasStarted = false;
  this->isComplete = false;
  this->shouldKeepAlive = false;
  this->parseError = ParseError::None;
}

int MessageParser::AppendHeaderBytes(std::string& aText, const char* aData, std::size_t aSize)
{
  this->headerBytes += aSize;
  if (this->headerBytes > this->maxHeaderBytes) {
    this->parseError = ParseError::HeaderTooLarge;
    return 1;
  }
  aText.append(aData, aSize);
  return 0;
}

int MessageParser::BeginField()
{
  if (!this->headers.empty() && !this->isInHeaderValue) {
    return 0; // Another part of the same name.
  }
  if (this->headers.size() >= this->maxFields) {
    this->parseError = ParseError::TooManyFields;
    return 1;
  }
  this->headers.emplace_back();
  this->isInHeaderValue = false;
  return 0;
}

int MessageParser::EndHeader()
{
  this->isHeaderComplete = true;
  // A response may have no body in spite of its Content-Length.
  if (this->kind == Kind::Request && this->parser.content_length != ULLONG_MAX) {
    if (this->parser.content_length > this->maxBodyBytes) {
      this->parseError = ParseError::BodyTooLarge;
      return -1;
    }
    this->expectedBodyBytes = this->parser.content_length;
  }
  return 0;
}

int MessageParser::AppendBody(const char* aData, std::size_t aSize)
{
  this->bodyBytes += aSize;
  if (this->bodyBytes > this->maxBodyBytes) {
    this->parseError = ParseError::BodyTooLarge;
    return 1;
  }
  if (!this->keepsBody) {
    return 0;
  }
  if (this->bodyBytes > this->body.capacity()) {
    // Not more than the body needs at most, unlike the growth of a string.
    this->body.reserve(
      std::max(this->bodyBytes, std::min(2 * this->body.capacity(), this->expectedBodyBytes)));
  }
  this->body.append(aData, aSize);
  return 0;
}

void MessageParser::DiscardBody()
{
  this->keepsBody = false;
  std::string().swap(this->body);
}

void MessageParser::Release()
{
  this->DiscardBody();
  std::string().swap(this->target);
  HttpHeaders().swap(this->headers);
}

std::size_t MessageParser::HeldBytes() const
{
  return this->headerBytes + this->headers.size() * kFieldBytes + this->body.capacity();
}

const http_parser_settings& MessageParser::Callbacks()
{
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser* aParser, const char* aData, std::size_t aSize) {
      auto* self = static_cast<MessageParser*>(aParser->data);
      return self->AppendHeaderBytes(self->target, aData, aSize);
    };
    settings.on_header_field = [](http_parser* aParser, const char* aData, std::size_t aSize) {
      auto* self = static_cast<MessageParser*>(aParser->data);
      return self->BeginField() != 0
               ? 1
               : self->AppendHeaderBytes(self->headers.back().first, aData, aSize);
    };
    settings.on_header_value = [](http_parser* aParser, const char* aData, std::size_t aSize) {
      auto* self = static_cast<MessageParser*>(aParser->data);
      self->isInHeaderValue = true;
      return self->AppendHeaderBytes(self->headers.back().second, aData, aSize);
    };
    settings.on_headers_complete = [](http_parser* aParser) {
      return static_cast<MessageParser*>(aParser->data)->EndHeader();
    };
    settings.on_body = [](http_parser* aParser, const char* aData, std::size_t aSize) {
      auto* self = static_cast<MessageParser*>(aParser->data);
      return self->AppendBody(aData, aSize);
    };
    settings.on_message_complete = [](http_parser* aParser) {
      auto* self = static_cast<MessageParser*>(aParser->data);
      self->isComplete = true;
      self->shouldKeepAlive = http_should_keep_alive(aParser) != 0;
      http_parser_pause(aParser, 1);
      return 0;
    };
    return settings;
  }();
  return kSettings;
}

std::size_t MessageParser::Consume(const char* aData, std::size_t aSize)
{
  if (this->isComplete || this->parseError != ParseError::None || aSize == 0) {
    return 0;
  }
  this->hasStarted = true;
  std::size_t used = http_parser_execute(&this->parser, &Callbacks(), aData, aSize);
  http_errno error = HTTP_PARSER_ERRNO(&this->parser);
  if (error != HPE_OK && error != HPE_PAUSED && this->parseError == ParseError::None) {
    this->parseError = ParseError::Malformed;
  }
  return used;
}

void MessageParser::ConsumeEndOfStream()
{
  if (this->hasStarted && !this->isComplete && this->parseError == ParseError::None) {
    http_parser_execute(&this->parser, &Callbacks(), nullptr, 0);
  }
}

std::string MessageParser::Method() const
{
  return http_method_str(static_cast<http_method>(this->parser.method));
}

} // namespace daisydrift::http
