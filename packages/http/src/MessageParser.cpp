#include "MessageParser.h"

namespace daisydrift::http {

MessageParser::MessageParser(Kind aKind, std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes)
  : kind(aKind)
  , maxHeaderBytes(aMaxHeaderBytes)
  , maxBodyBytes(aMaxBodyBytes)
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
      if (self->headers.empty() || self->isInHeaderValue) {
        self->headers.emplace_back();
        self->isInHeaderValue = false;
      }
      return self->AppendHeaderBytes(self->headers.back().first, aData, aSize);
    };
    settings.on_header_value = [](http_parser* aParser, const char* aData, std::size_t aSize) {
      auto* self = static_cast<MessageParser*>(aParser->data);
      self->isInHeaderValue = true;
      return self->AppendHeaderBytes(self->headers.back().second, aData, aSize);
    };
    settings.on_body = [](http_parser* aParser, const char* aData, std::size_t aSize) {
      auto* self = static_cast<MessageParser*>(aParser->data);
      if (self->body.size() + aSize > self->maxBodyBytes) {
        self->parseError = ParseError::BodyTooLarge;
        return 1;
      }
      self->body.append(aData, aSize);
      return 0;
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
