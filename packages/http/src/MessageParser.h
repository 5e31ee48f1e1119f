#pragma once
// Incremental parser for HTTP requests and responses.

#include "daisydrift/http/HttpMessages.h"

#include <http_parser.h>

#include <cstddef>
#include <limits>

namespace daisydrift::http {

/// Why a message was rejected.
enum class ParseError
{
  None,
  Malformed,
  HeaderTooLarge,
  TooManyFields,
  BodyTooLarge
};

/// Parses one message at a time from a stream of bytes. After a complete message it consumes no
/// further bytes until Reset.
class MessageParser
{
public:
  enum class Kind
  {
    Request,
    Response
  };

  MessageParser(Kind aKind,
                std::size_t aMaxHeaderBytes,
                std::size_t aMaxBodyBytes,
                std::size_t aMaxFields = std::numeric_limits<std::size_t>::max());
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  /// Consumes bytes up to the end of the message; returns the number of consumed bytes.
  std::size_t Consume(const char* aData, std::size_t aSize);
  /// Signals the end of the stream, which completes a response without a Content-Length.
  void ConsumeEndOfStream();
  /// Prepares for the next message.
  void Reset();
  /// From now on, the message's body is checked and not kept.
  void DiscardBody();
  /// Releases what is kept of the message.
  void Release();

  /// Length that the body will have, at most; known when the header is complete.
  std::size_t ExpectedBodyBytes() const { return this->expectedBodyBytes; }
  bool IsHeaderComplete() const { return this->isHeaderComplete; }
  /// Estimate of the memory that the message takes so far, in bytes.
  std::size_t HeldBytes() const;
  bool IsComplete() const { return this->isComplete; }
  /// True when at least one byte of the message was consumed.
  bool HasStarted() const { return this->hasStarted; }
  bool ShouldKeepAlive() const { return this->shouldKeepAlive; }
  ParseError Error() const { return this->parseError; }
  int Status() const { return this->parser.status_code; }
  std::string Method() const;

  std::string target;
  HttpHeaders headers;
  std::string body;

private:
  static const http_parser_settings& Callbacks();
  int AppendHeaderBytes(std::string& aText, const char* aData, std::size_t aSize);
  int BeginField();
  int EndHeader();
  int AppendBody(const char* aData, std::size_t aSize);

  http_parser parser;
  Kind kind;
  std::size_t maxHeaderBytes;
  std::size_t maxBodyBytes;
  std::size_t maxFields;
  std::size_t headerBytes = 0;
  /// Length of the body as far as it has arrived.
  std::size_t bodyBytes = 0;
  std::size_t expectedBodyBytes = 0;
  bool isHeaderComplete = false;
  bool keepsBody = true;
  bool isInHeaderValue = false;
  bool hasStarted = false;
  bool isComplete = false;
  bool shouldKeepAlive = false;
  ParseError parseError = ParseError::None;
};

} // namespace daisydrift::http
